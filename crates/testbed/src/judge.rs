//! Holds the rules against what the peers recorded. No I/O and no clock; one pass over the records, then one
//! over the sessions.

mod figures;
mod order;

use crate::event_log::{
    ClientAnswer, ConnectionEnd, Event, HostReply, HostState, LoggedEvent, SessionId,
};
use crate::link::LinkEnds;
use crate::scenario::{RetrySafety, RetryScope, Scenario};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer in time, never two, no dial after it, nothing cut off, held back or made up.
    NoSessionLost,
    NoEffectTwice,
    DrainsKept,
    NoColdServerPushedOver,
    NeverTwoDials,
    /// What a host reads must be a line of the protocol.
    NothingUnreadableSentOn,
    /// A proxy ends only when it is told to, and then well.
    ProxyStays,
    /// Operators are answered within a second, and a second process says yes within six.
    OperatorsAnswered,
    FiguresTrue,
    /// While room is short, what is worth less is refused before what is worth more.
    RefusedInOrder,
}

impl Rule {
    pub fn text(self) -> &'static str {
        match self {
            Rule::NoSessionLost => "no session lost",
            Rule::NoEffectTwice => "no effect twice",
            Rule::DrainsKept => "drains kept",
            Rule::NoColdServerPushedOver => "no cold server pushed over",
            Rule::NeverTwoDials => "never two dials of a session at once",
            Rule::NothingUnreadableSentOn => "nothing unreadable sent on",
            Rule::ProxyStays => "a proxy stays until it is told to leave",
            Rule::OperatorsAnswered => "operators are answered in time",
            Rule::FiguresTrue => "figures are true",
            Rule::RefusedInOrder => "what is worth less is refused first",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub what: String,
    /// What led there, a line each.
    pub timeline: Vec<String>,
}

/// The figures that the rules rest on.
#[derive(Clone, Debug)]
pub struct JudgeSettings {
    pub listeners: Vec<(RetrySafety, RetryScope, Duration)>,
    /// Of each host, its zone and cell.
    pub hosts: Vec<(u8, u16)>,
    pub drain_grace: Duration,
    /// How late an answer may be.
    pub slack: Duration,
    /// How far apart two peers of the rig may note things that happened at once.
    pub blur: Duration,
    pub max_dials: usize,
    /// Whether clients see what proxies count: not where their ways may fail.
    pub figures: bool,
    /// Utility of each listener, where it is to decide who is refused first.
    pub order: Option<Vec<f64>>,
}

impl JudgeSettings {
    pub fn of(scenario: &Scenario, hosts: Vec<(u8, u16)>, late: Duration) -> JudgeSettings {
        JudgeSettings {
            listeners: scenario
                .listeners
                .iter()
                .map(|l| (l.kind, l.circle, l.key_ttl))
                .collect(),
            hosts,
            drain_grace: scenario.platform.drain_grace,
            slack: scenario.platform.answer_slack + late,
            blur: Duration::from_millis(50) + late,
            max_dials: scenario.platform.max_dials as usize,
            figures: true,
            order: scenario
                .proxies
                .by_worth
                .then(|| scenario.listeners.iter().map(|l| l.utility).collect()),
        }
    }
}

#[derive(Debug, Default)]
pub struct Verdict {
    pub breaches: Vec<Violation>,
    pub tally: Tally,
}

#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Tally {
    pub sessions: u64,
    pub accepted: u64,
    pub refused: u64,
    pub torn_down: u64,
    pub left: u64,
    pub moved: u64,
    /// Taken by a proxy that was then killed.
    pub died_with_proxy: u64,
    pub dials: u64,
    pub bad_clients: u64,
    pub bad_clients_owed: u64,
}

#[derive(Debug)]
struct Dial {
    host: u16,
    whole: Duration,
    replies: Vec<(Duration, HostReply)>,
    over: Option<(Duration, bool)>,
    inherited: bool,
}

impl Dial {
    fn may_have_run(&self) -> bool {
        !matches!(self.replies.first(), Some((_, HostReply::Busy)))
    }

    /// Until when it may still take effect: its end, or the answer that ends it.
    fn out_until(&self) -> Duration {
        let answered = self
            .replies
            .iter()
            .find(|r| r.1 != HostReply::Up)
            .map(|r| r.0);
        let over = self.over.map(|over| over.0);
        answered
            .into_iter()
            .chain(over)
            .min()
            .unwrap_or(Duration::MAX)
    }
}

#[derive(Debug, Default)]
struct Case {
    asked: Option<(Duration, u16, u8, Duration)>,
    place: u8,
    inherited: bool,
    answers: Vec<(Duration, ClientAnswer)>,
    cut: Option<(Duration, ConnectionEnd)>,
    left: Option<Duration>,
    ended: Option<(Duration, ConnectionEnd, bool)>,
    garbled: Vec<String>,
    held: Vec<Duration>,
    dials: BTreeMap<u32, Dial>,
    /// Pairs of dials that were out at once beyond doubt.
    twice: Vec<(u32, u32)>,
}

/// When a proxy was told of a host, what, and when that host last started.
type Heard = (Duration, HostState, Option<Duration>);

#[derive(Default)]
struct Lives {
    /// When each proxy was sent a kill and when it was dead: what came between died with it too.
    killed: HashMap<u16, Vec<Duration>>,
    /// What each proxy was told of each host, in order.
    told: HashMap<(u16, u16), Vec<Heard>>,
    /// When each proxy was stopped.
    stalls: Spans<u16>,
    /// When each way failed.
    ways: Spans<LinkEnds>,
}

/// From when to when something was so, by whom it concerns.
struct Spans<K>(HashMap<K, Vec<(Duration, Duration)>>);

impl<K> Default for Spans<K> {
    fn default() -> Self {
        Spans(HashMap::new())
    }
}

impl<K: std::hash::Hash + Eq> Spans<K> {
    fn note(&mut self, key: K, at: Duration, begins: bool) {
        let spans = self.0.entry(key).or_default();
        match spans.last_mut().filter(|last| last.1 == Duration::MAX) {
            Some(last) if !begins => last.1 = at,
            None if begins => spans.push((at, Duration::MAX)),
            _ => {}
        }
    }

    /// Those that were so at any time between.
    fn within(
        &self,
        key: &K,
        from: Duration,
        to: Duration,
    ) -> impl Iterator<Item = (Duration, Duration)> {
        let spans = self.0.get(key).cloned().unwrap_or_default();
        spans
            .into_iter()
            .filter(move |span| span.0 <= to && span.1 >= from)
    }
}

impl Lives {
    fn died(&self, proxy: u16, from: Duration, to: Duration) -> bool {
        self.killed
            .get(&proxy)
            .is_some_and(|all| all.iter().any(|at| (from..=to).contains(at)))
    }

    /// How long ago, at a time, a proxy was first told that a host takes nothing more, if that still holds.
    fn drained_for(&self, proxy: u16, host: u16, at: Duration) -> Option<Duration> {
        let mut since = None;
        for (when, standing, _) in self
            .told
            .get(&(proxy, host))?
            .iter()
            .take_while(|t| t.0 <= at)
        {
            match standing {
                HostState::Ready => since = None,
                _ => since = since.or(Some(*when)),
            }
        }
        // One that was stopped has had no time to heed what it was told.
        let woke = self
            .stalls
            .within(&proxy, Duration::ZERO, at)
            .map(|stall| stall.1.min(at))
            .max();
        since.map(|since| at.saturating_sub(since.max(woke.unwrap_or_default())))
    }

    fn told_start(&self, proxy: u16, host: u16, started: Option<Duration>) -> bool {
        self.told
            .get(&(proxy, host))
            .is_some_and(|told| told.iter().any(|t| t.2 == started))
    }
}

pub fn judge(records: &[LoggedEvent], terms: &JudgeSettings) -> Verdict {
    let mut verdict = Verdict::default();
    let mut cases: BTreeMap<SessionId, Case> = BTreeMap::new();
    let mut lives = Lives::default();
    let end = records.iter().map(|r| r.at).max().unwrap_or_default();
    let mut plain = Vec::new();
    // Proxies without a process: what is written to one of them nobody has heard.
    let mut dead = HashSet::new();
    for LoggedEvent { at, seen } in records {
        match seen {
            Event::ProxyDead { proxy } | Event::ProxyExited { proxy, .. } => {
                dead.insert(*proxy);
            }
            Event::ProxyStarted { proxy } | Event::ProxyServes { proxy } => {
                drop(dead.remove(proxy))
            }
            Event::HostListed { proxy, .. } if dead.contains(proxy) => continue,
            _ => {}
        }
        let case = seen.id().map(|id| cases.entry(id).or_default());
        match (seen, case) {
            (
                Event::Asked {
                    proxy,
                    place,
                    listener,
                    wait,
                    inherited,
                    ..
                },
                Some(case),
            ) => {
                case.place = *place;
                (case.asked, case.inherited) = (Some((*at, *proxy, *listener, *wait)), *inherited);
            }
            (Event::Answered { answer, .. }, Some(case)) => {
                case.answers.push((*at, answer.clone()))
            }
            (Event::Cut { end, .. }, Some(case)) => case.cut = Some((*at, *end)),
            (Event::Left { .. }, Some(case)) => case.left = Some(*at),
            (Event::Ended { end, told, .. }, Some(case)) => case.ended = Some((*at, *end, *told)),
            (Event::Garbled { line, .. }, Some(case)) => case.garbled.push(line.clone()),
            (Event::Held { span, .. }, Some(case)) => case.held.push(*span),
            (
                Event::Dialled {
                    host,
                    dial,
                    inherited,
                    ..
                },
                Some(case),
            ) => {
                let (host, inherited) = (*host, *inherited);
                let dialled = Dial {
                    host,
                    whole: *at,
                    replies: Vec::new(),
                    over: None,
                    inherited,
                };
                case.dials.insert(*dial, dialled);
            }
            (Event::StillOut { dial, earlier, .. }, Some(case)) => {
                case.twice.push((*earlier, *dial))
            }
            (Event::Replied { dial, reply, .. }, Some(case)) => {
                case.dials
                    .get_mut(dial)
                    .into_iter()
                    .for_each(|d| d.replies.push((*at, *reply)));
            }
            (Event::DialOver { dial, by_host, .. }, Some(case)) => {
                case.dials
                    .get_mut(dial)
                    .into_iter()
                    .for_each(|d| d.over = d.over.or(Some((*at, *by_host))));
            }
            (Event::ProxyKilled { proxy } | Event::ProxyDead { proxy }, _) => {
                lives.killed.entry(*proxy).or_default().push(*at)
            }
            (Event::ProxyStalls { proxy, stops }, _) => lives.stalls.note(*proxy, *at, *stops),
            (Event::WayFails { ends, fails }, _) => lives.ways.note(*ends, *at, *fails),
            (Event::Replaced { proxy, yes: None }, _) => {
                let what = format!("the process beside proxy {proxy} never said yes");
                plain.push((Rule::OperatorsAnswered, *at, what));
            }
            (
                Event::HostListed {
                    proxy,
                    host,
                    standing,
                    started,
                },
                _,
            ) => {
                lives
                    .told
                    .entry((*proxy, *host))
                    .or_default()
                    .push((*at, *standing, *started));
            }
            (Event::MisbehavingClient { owed, served, sort }, _) => {
                verdict.tally.bad_clients += 1;
                verdict.tally.bad_clients_owed += u64::from(*owed);
                if *served {
                    plain.push((
                        Rule::NoSessionLost,
                        *at,
                        format!("a bad client ({sort}) was served"),
                    ));
                }
            }
            (Event::Unread { host, line }, _) => {
                let what = format!("host {host} read {line:?}");
                plain.push((Rule::NothingUnreadableSentOn, *at, what));
            }
            (Event::ProxyExited { proxy, code, asked }, _) if !asked || *code != Some(0) => {
                let why = if *asked { "after SIGTERM" } else { "by itself" };
                plain.push((
                    Rule::ProxyStays,
                    *at,
                    format!("proxy {proxy} ended {why}, code {code:?}"),
                ));
            }
            _ => {}
        }
    }
    if terms.figures {
        plain.extend(figures::found(records, &cases, &lives, terms));
    }
    plain.extend(order::found(&cases, terms));
    for (rule, at, what) in plain {
        verdict.breaches.push(Violation {
            rule,
            what,
            timeline: vec![around(records, at)],
        });
    }
    for (id, case) in &cases {
        for (rule, what) in found(case, terms, &lives, end) {
            verdict.breaches.push(Violation {
                rule,
                what,
                timeline: timeline(records, *id),
            });
        }
        count(case, &lives, end, &mut verdict.tally);
    }
    for LoggedEvent { at, seen } in records {
        if let Event::Collapsed { host, started, by } = seen {
            let knew = |id: &SessionId| {
                let asked = cases.get(id).and_then(|case| case.asked);
                asked.is_some_and(|asked| lives.told_start(asked.1, *host, *started))
            };
            let knowing = by.iter().filter(|id| knew(id)).count();
            if knowing * 3 >= by.len() * 2 {
                let all = by.len();
                let what =
                    format!("host {host} collapsed: {knowing} of {all} set-ups knew it to be cold");
                let timeline = vec![around(records, *at)];
                verdict.breaches.push(Violation {
                    rule: Rule::NoColdServerPushedOver,
                    what,
                    timeline,
                });
            }
        }
    }
    verdict
}

fn count(case: &Case, lives: &Lives, end: Duration, tally: &mut Tally) {
    let Some((at, proxy, ..)) = case.asked else {
        return;
    };
    tally.sessions += 1;
    tally.dials += case.dials.len() as u64;
    match case.answers.first().map(|a| &a.1) {
        Some(ClientAnswer::Up) => tally.accepted += 1,
        Some(ClientAnswer::Busy(_)) => tally.refused += 1,
        Some(ClientAnswer::Failed) => tally.torn_down += 1,
        None if case.left.is_some() => tally.left += 1,
        None => tally.died_with_proxy += u64::from(lives.died(proxy, at, end)),
    }
    tally.moved += u64::from(case.ended.is_some_and(|ended| ended.2));
}

/// Every breach in one session's life.
fn found(case: &Case, terms: &JudgeSettings, lives: &Lives, end: Duration) -> Vec<(Rule, String)> {
    let Some((asked, proxy, listener, wait)) = case.asked else {
        return Vec::new();
    };
    let mut found = Vec::new();
    let mut lost = |what: String| found.push((Rule::NoSessionLost, what));
    let (kind, circle, ttl) = terms.listeners[usize::from(listener)];
    let answered = case.answers.first();
    // A client may note its asking a moment after the kernel has taken the proxy down under it.
    let gone_with_proxy =
        |to: Duration| lives.died(proxy, asked.saturating_sub(terms.blur), to + terms.blur);
    if case.answers.len() > 1 {
        lost(format!("{} final answers", case.answers.len()));
    }
    // A proxy that is stopped does not run; it answers as soon as it does.
    let due = lives
        .stalls
        .within(&proxy, asked, asked + wait + terms.slack)
        .fold(asked + wait + terms.slack, |due, stall| {
            due.max(stall.1.saturating_add(terms.slack))
        });
    let way = LinkEnds::Clients(case.place, proxy);
    let apart = |to: Duration| {
        lives
            .ways
            .within(&way, asked.saturating_sub(terms.blur), to)
            .next()
            .is_some()
    };
    match (answered, case.left, case.cut) {
        (_, _, _) if apart(due.saturating_add(terms.blur)) => {}
        (Some((at, _)), ..) if *at > due && !case.inherited => {
            lost(format!(
                "answered {} ms after its time",
                at.saturating_sub(asked + wait).as_millis()
            ));
        }
        (Some(_), ..) => {}
        (None, Some(left), _) if left <= due => {}
        (None, _, Some((at, _))) if gone_with_proxy(at) => {}
        (None, _, Some((_, how))) => {
            lost(format!("its connection ended by {how:?} without an answer"))
        }
        (None, ..) if end < due || gone_with_proxy(due) || case.inherited => {}
        (None, ..) => lost("no answer in time".into()),
    }
    for line in &case.garbled {
        lost(format!("it was told {line:?}, which no host said"));
    }
    let stalled = lives
        .stalls
        .within(&proxy, asked, Duration::MAX)
        .next()
        .is_some();
    let mut ways = case
        .dials
        .values()
        .map(|dial| LinkEnds::Proxy(proxy, dial.host));
    let parted = ways.any(|way| {
        lives
            .ways
            .within(&way, asked, Duration::MAX)
            .next()
            .is_some()
    });
    let held = case
        .held
        .iter()
        .filter(|_| !stalled && !parted && !apart(Duration::MAX));
    for span in held.filter(|span| **span > Duration::from_secs(1) + terms.blur) {
        lost(format!("a line was held back for {} ms", span.as_millis()));
    }
    if let Some((at, how, false)) = case.ended {
        let up = case
            .dials
            .values()
            .find(|d| d.replies.iter().any(|r| r.1 == HostReply::Up));
        let by_host = up.is_some_and(|d| d.over.is_none_or(|(_, by_host)| by_host));
        if !by_host && !lives.died(proxy, asked, at + terms.blur) && !apart(at + terms.blur) {
            lost(format!("its open connection was cut off by {how:?}"));
        }
    }
    let dials: Vec<&Dial> = case.dials.values().collect();
    if let Some((at, _)) = answered {
        for dial in dials.iter().filter(|d| d.whole > *at + terms.blur) {
            lost(format!(
                "dialled at host {} after its final answer",
                dial.host
            ));
        }
    }
    if dials.len() > terms.max_dials {
        lost(format!("{} dials", dials.len()));
    }
    let seen_out = |pair: &[(&u32, &Dial)]| {
        case.twice
            .iter()
            .any(|two| *two == (*pair[0].0, *pair[1].0))
    };
    for pair in case.dials.iter().collect::<Vec<_>>().windows(2) {
        let [(_, first), (_, second)] = pair else {
            continue;
        };
        if first.out_until() > second.whole + terms.blur || seen_out(pair) {
            let what = format!(
                "dials at hosts {} and {} were out at once",
                first.host, second.host
            );
            found.push((Rule::NeverTwoDials, what));
        }
    }
    if kind != RetrySafety::Repeatable
        && let Some(first) = dials.iter().position(|d| d.may_have_run())
    {
        let at = dials[first];
        for next in &dials[first + 1..] {
            let (here, there) = (
                terms.hosts[usize::from(at.host)],
                terms.hosts[usize::from(next.host)],
            );
            let same = match circle {
                RetryScope::All => true,
                RetryScope::Zone => here.0 == there.0,
                RetryScope::Cell => here == there,
            };
            let late = next.whole.saturating_sub(at.whole) > ttl + terms.blur;
            if kind == RetrySafety::OnceOnly || !same || late {
                let what = format!(
                    "dialled at host {} though host {} may have run it",
                    next.host, at.host
                );
                found.push((Rule::NoEffectTwice, what));
            }
        }
        let refused = matches!(answered, Some((_, ClientAnswer::Busy(_))));
        if refused && (kind == RetrySafety::OnceOnly || circle != RetryScope::All) {
            let what = format!("refused though host {} may have run it", at.host);
            found.push((Rule::NoEffectTwice, what));
        }
    }
    for dial in dials.iter().filter(|d| !d.inherited) {
        let since = lives.drained_for(proxy, dial.host, dial.whole);
        if let Some(since) = since.filter(|since| *since > terms.drain_grace + terms.blur) {
            let what = format!(
                "dialled at host {} {} ms after its drain",
                dial.host,
                since.as_millis()
            );
            found.push((Rule::DrainsKept, what));
        }
    }
    found
}

/// The records of one session, the newest that matter of its proxy and hosts among them.
fn timeline(records: &[LoggedEvent], id: SessionId) -> Vec<String> {
    let own: Vec<&LoggedEvent> = records.iter().filter(|r| r.seen.id() == Some(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let (mut proxies, mut hosts) = (Vec::new(), Vec::new());
    for record in &own {
        match record.seen {
            Event::Asked { proxy, .. } => proxies.push(proxy),
            Event::Dialled { host, .. } => hosts.push(host),
            _ => {}
        }
    }
    let near = |r: &&LoggedEvent| match r.seen {
        Event::HostListed { proxy, host, .. } => proxies.contains(&proxy) && hosts.contains(&host),
        Event::HostDown { host } | Event::HostUp { host } => {
            hosts.contains(&host) && r.at >= first.at
        }
        Event::ProxyKilled { proxy }
        | Event::ProxyDead { proxy }
        | Event::ProxyLeaves { proxy } => proxies.contains(&proxy),
        Event::Fault { .. } => r.at >= first.at,
        _ => r.seen.id() == Some(id),
    };
    records
        .iter()
        .filter(near)
        .filter(|r| r.at <= last.at)
        .map(line)
        .collect()
}

fn around(records: &[LoggedEvent], at: Duration) -> String {
    records
        .iter()
        .find(|r| r.at == at)
        .map(line)
        .unwrap_or_default()
}

fn line(record: &LoggedEvent) -> String {
    let mut what = format!("{:?}", record.seen);
    what.truncate(240);
    format!("{:>9.3} s  {what}", record.at.as_secs_f64())
}
