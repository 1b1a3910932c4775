//! Every decision of a proxy: where a session is dialled, when it is dialled again, refused or torn down, and
//! what is asked of servers and of the roster.
//!
//! Make one `Choice` a proxy from its `Deployment` and a nonce, hand it each `Event` with the time since
//! the clock began, and carry out the `Action`s that it appends, in order. The interface is those three
//! types, in `deployment.rs`, `event.rs` and `action.rs`; `docs/design.md` says what follows Charon and
//! what departs from it.

use crate::action::Action;
use crate::deployment::{Circle, Deployment, Kind};
use crate::event::{Arrival, Entry, Event, Load, Note, Outcome, Roster, ServerId, SessId, Standing};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Span over which the rate of ending connections is averaged.
const CHURN: f64 = 10.0;
/// Pace of the periodic timer.
const TICK: Duration = Duration::from_millis(100);
/// Pace at which a server in use is probed, and how much slower while it is under half load.
const PROBE: Duration = Duration::from_millis(1000);
const CALM: f64 = 2.0;
/// How old a count may be when a probe brings it; sends younger than that are added to it.
const STALE: Duration = Duration::from_millis(1000);
/// Share of a server that may be asked for before sessions look beyond their zone, and past which it takes
/// only sessions of groups that it holds.
const NEAR: f64 = 0.5;
const ROOM: f64 = 0.6;
/// Share from which it takes no more, and from which it is relieved down to `FULL`.
const FULL: f64 = 0.85;
const OVER: f64 = 0.95;
/// Unanswered probes in a row that make a server silent.
const SILENT: u32 = 2;
/// Stands for a connection's share while no report has told one.
const UNKNOWN_UNIT: f64 = 1e-6;
/// Share of failures, smoothed, from which a server is left alone, and for how long at first and at most.
const SICK: f64 = 0.4;
const REST: Duration = Duration::from_millis(1000);
const REST_MOST: Duration = Duration::from_millis(8000);

/// Where a session stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    Choosing,
    Dialling,
    Open,
    /// Answered, with a dial or connection still to be reported.
    Parting,
    #[default]
    Over,
}

/// What happens to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    Arrived,
    Inherited,
    Dialled,
    GivenUp,
    Began,
    Failed,
    Closed,
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Nothing,
    Place,
    Answer,
    Stand,
    CallOff,
    Release,
}

/// State, input, next state, effect. What is not listed is late or stray, and ignored.
const TABLE: &[(State, Input, State, Effect)] = &[
    (State::Choosing, Input::Arrived, State::Choosing, Effect::Place),
    (State::Choosing, Input::Inherited, State::Open, Effect::Stand),
    (State::Choosing, Input::Dialled, State::Dialling, Effect::Nothing),
    (State::Choosing, Input::GivenUp, State::Over, Effect::Answer),
    (State::Dialling, Input::Began, State::Open, Effect::Stand),
    (State::Dialling, Input::Failed, State::Choosing, Effect::Place),
    (State::Dialling, Input::Closed, State::Over, Effect::Nothing),
    (State::Dialling, Input::Left, State::Parting, Effect::CallOff),
    (State::Open, Input::Left, State::Parting, Effect::Release),
    (State::Open, Input::Failed, State::Over, Effect::Release),
    (State::Open, Input::Closed, State::Over, Effect::Release),
    (State::Parting, Input::Failed, State::Over, Effect::Nothing),
    (State::Parting, Input::Closed, State::Over, Effect::Nothing),
];

#[derive(Clone, Debug, Default)]
struct Session {
    state: State,
    arrival: Arrival,
    server: ServerId,
    dials: u32,
    dialled: Duration,
    /// The first dial that may have run: when it was sent, and to which server.
    ran: Option<(Duration, ServerId)>,
    tried: Vec<ServerId>,
}

#[derive(Clone, Debug, Default)]
struct Server {
    entry: Entry,
    /// Charon's score, speed and time of last update.
    g: f64,
    v: f64,
    t: Duration,
    /// Share of the server that one connection takes, by its own reports.
    unit: Option<f64>,
    /// Last probed count, and our sends too young to be in it.
    counted: Option<f64>,
    sends: Vec<Duration>,
    open: u32,
    /// How many of each group; a group costs its server once.
    groups: BTreeMap<u64, u32>,
    /// Rate of ends that clients chose; drops by the server would make lives look short.
    left: f64,
    /// Not relieved again before what was moved shows in its reports.
    relieved: Duration,
    /// Probes in a row that met no answer.
    silent: u32,
    /// Smoothed share of failures, and the rest that follows from it.
    sick: f64,
    rest: Duration,
    shut_until: Duration,
    /// What may still be sent to it while it is cold.
    budget: f64,
}

/// A server that the gate would let a session through to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: ServerId,
    load: f64,
    holds: bool,
    near: bool,
    rested: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Probe(ServerId),
    AskRoster,
}

/// Multiply-with-carry.
#[derive(Clone, Debug)]
struct Chance(u64);

impl Chance {
    fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 0xfffe_b81b + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

/// The decisions of one proxy.
#[derive(Clone, Debug)]
pub struct Choice {
    facts: Deployment,
    chance: Chance,
    now: Duration,
    sessions: Vec<Session>,
    servers: Vec<Server>,
    due: BTreeSet<(Duration, Due)>,
    calls_failed: u32,
    /// What setting up takes of late, over all servers; `None` before the first event.
    set_up: Option<Duration>,
}

impl Choice {
    pub fn new(facts: Deployment, nonce: u64) -> Self {
        let chance = Chance((nonce ^ (nonce >> 32)) & 0xffff_ffff | 1 << 32);
        let (sessions, servers, due) = (Vec::new(), Vec::new(), BTreeSet::new());
        Choice { facts, chance, now: Duration::ZERO, sessions, servers, due, calls_failed: 0, set_up: None }
    }

    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if self.set_up.is_none() {
            self.set_up = Some(Duration::ZERO);
            out.push(Action::Wake { after: TICK });
            out.extend(self.facts.ask_roster.map(|_| Action::Subscribe));
        }
        match event {
            Event::Roster(roster) => self.learn(roster),
            Event::Arrived(arrival) => self.enter(arrival, None, out),
            Event::Inherited(arrival, server) => self.enter(arrival, Some(server), out),
            Event::Began { sess, dial } => self.advance(sess, Some(dial), Input::Began, out),
            Event::Ended { sess, dial, outcome, over, load } => {
                self.ended(sess, dial, outcome, load);
                self.advance(sess, Some(dial), if over { Input::Closed } else { Input::Failed }, out);
            }
            Event::Noted { server, note: Note::Delay(span), .. } => self.delayed(server, span, out),
            Event::Noted { .. } => {}
            Event::Probed { server, outcome, load } => self.probed(server, outcome, load, out),
            Event::Left { sess } => self.advance(sess, None, Input::Left, out),
            Event::Tick => self.tick(out),
        }
    }

    fn enter(&mut self, arrival: Arrival, held_by: Option<ServerId>, out: &mut Vec<Action>) {
        let at = arrival.sess as usize;
        grow(&mut self.sessions, at);
        if self.sessions[at].state != State::Over
            || usize::from(arrival.listener) >= self.facts.listeners.len()
        {
            return;
        }
        let (server, dials) = (held_by.unwrap_or_default(), u32::from(held_by.is_some()));
        grow(&mut self.servers, server as usize);
        let (state, dialled) = (State::Choosing, self.now);
        self.sessions[at] = Session { state, arrival, server, dials, dialled, ran: None, tried: Vec::new() };
        let input = if held_by.is_some() { Input::Inherited } else { Input::Arrived };
        self.advance(arrival.sess, None, input, out);
    }

    /// Reads the table until a session rests. `dial` names the dial that an input speaks of; an older one
    /// is stray.
    fn advance(&mut self, sess: SessId, dial: Option<u8>, input: Input, out: &mut Vec<Action>) {
        let mut next = self.speaks_of(sess, dial).then_some(input);
        while let Some(input) = next {
            let s = &mut self.sessions[sess as usize];
            let Some(row) = TABLE.iter().find(|row| row.0 == s.state && row.1 == input) else { return };
            s.state = row.2;
            next = self.effect(sess, row.3, out);
            if row.2 == State::Over {
                out.push(Action::Forget { sess });
            }
        }
    }

    fn speaks_of(&self, sess: SessId, dial: Option<u8>) -> bool {
        self.sessions.get(sess as usize).is_some_and(|s| dial.is_none_or(|d| u32::from(d) + 1 == s.dials))
    }

    fn effect(&mut self, sess: SessId, effect: Effect, out: &mut Vec<Action>) -> Option<Input> {
        let (now, spread, s) = (self.now, self.spread(), &self.sessions[sess as usize]);
        let (id, dialled, dial) = (s.server as usize, s.dialled, s.dials.saturating_sub(1) as u8);
        let group = s.arrival.group;
        match effect {
            Effect::Nothing => {}
            Effect::Place => return Some(self.place(sess, out)),
            Effect::Answer => out.push(self.answer(sess)),
            Effect::Stand => {
                self.took(now.saturating_sub(dialled));
                let s = &mut self.servers[id];
                s.open += 1;
                group.into_iter().for_each(|group| *s.groups.entry(group).or_default() += 1);
                s.sick *= 0.5;
                s.rest = if s.sick < SICK / 2.0 { REST } else { s.rest };
                s.reset(now, spread);
            }
            Effect::CallOff => {
                self.take_back(sess);
                out.extend(self.facts.may_call_off.then_some(Action::CallOff { sess, dial }));
            }
            Effect::Release => {
                let s = &mut self.servers[id];
                s.age(now);
                s.open = s.open.saturating_sub(1);
                if let Some(left) = group.and_then(|group| s.groups.get_mut(&group)) {
                    *left -= 1;
                }
                s.groups.retain(|_, left| *left > 0);
                s.v += 1.0 / CHURN;
            }
        }
        None
    }

    /// A unit of the score: one connection for each proxy. What one of them sends, the others send unseen.
    fn spread(&self) -> f64 {
        f64::from(self.facts.proxies.max(1))
    }

    fn take_back(&mut self, sess: SessId) {
        let (now, spread, sess) = (self.now, self.spread(), &self.sessions[sess as usize]);
        let s = &mut self.servers[sess.server as usize];
        s.age(now);
        s.g = (s.g - spread).max(0.0);
        if let Some(at) = s.sends.iter().position(|t| *t == sess.dialled) {
            s.sends.swap_remove(at);
        }
    }

    /// Charon's choice among the best pool of servers that is not empty, then the gate.
    fn place(&mut self, sess: SessId, out: &mut Vec<Action>) -> Input {
        let s = &self.sessions[sess as usize];
        let unit = self.mean_unit();
        // A server that fails or hangs rests; if all do, serving goes on as if none did. None with room at
        // all means that one more session would spoil those that stand.
        let open_to: Vec<Candidate> = (0..self.servers.len() as ServerId)
            .filter(|id| self.may_send(sess, *id))
            .map(|id| {
                let to = &self.servers[id as usize];
                let rested = to.shut_until <= self.now && !s.tried.contains(&id);
                let holds = s.arrival.group.is_none_or(|group| to.groups.contains_key(&group));
                let near = to.entry.zone == self.facts.zone;
                Candidate { id, load: self.pressure(to, unit), holds, near, rested }
            })
            .collect();
        let none_rested = !open_to.iter().any(|c| c.rested);
        let pools: [fn(&Candidate) -> bool; 4] = [
            |c| c.load < NEAR && c.near,
            |c| c.load < ROOM && c.holds,
            |c| c.load < ROOM,
            |c| c.load < FULL && c.holds,
        ];
        let pool = |fits: &fn(&Candidate) -> bool| -> Vec<Candidate> {
            open_to.iter().copied().filter(|c| (c.rested || none_rested) && fits(c)).collect()
        };
        let best = pools.iter().map(pool).find(|pool| !pool.is_empty()).unwrap_or_default();
        match self.lower_of_two(&best, sess) {
            Some(chosen) if self.send(sess, chosen, out) => Input::Dialled,
            _ => Input::GivenUp,
        }
    }

    /// Draws two different servers by weight and takes the one with the lower aged score, counted in its
    /// units.
    fn lower_of_two(&mut self, pool: &[Candidate], sess: SessId) -> Option<ServerId> {
        let arrival = self.sessions[sess as usize].arrival;
        let hashed = if self.facts.passes_through { Some(arrival.item) } else { arrival.group };
        let mut drawn: Vec<(f64, &Candidate)> = Vec::with_capacity(pool.len());
        for c in pool {
            let entry = &self.servers[c.id as usize].entry;
            let even = hashed.is_some() && self.facts.live_weights;
            let weight = if even { 1.0 } else { entry.weight.max(1e-6) };
            let u = hashed.map_or_else(|| self.chance.draw(), |h| hash_unit(h, entry.mark));
            drawn.push((-u.max(1e-12).ln() / weight, c));
        }
        drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
        let first = drawn.first()?.1;
        let Some(&(_, second)) = drawn.get(1) else { return Some(first.id) };
        // Each server that holds any of a group pays for it once.
        let first_wins = if first.holds != second.holds {
            first.holds
        } else if first.load == second.load {
            self.chance.draw() < 0.5
        } else {
            first.load < second.load
        };
        Some(if first_wins { first.id } else { second.id })
    }

    /// The aged score in shares of the server; a cold one can do less, so its connections take larger shares.
    fn pressure(&self, s: &Server, mean_unit: f64) -> f64 {
        s.aged(self.now) * s.unit.unwrap_or(mean_unit / self.warmth(s))
    }

    fn mean(&self, of: impl Fn(&Server) -> Option<f64>) -> Option<f64> {
        let ready = self.servers.iter().filter(|s| s.entry.standing == Standing::Ready);
        let (sum, n) = ready.filter_map(of).fold((0.0, 0.0), |(sum, n), x| (sum + x, n + 1.0));
        (n > 0.0).then_some(sum / n)
    }

    fn mean_unit(&self) -> f64 {
        self.mean(|s| s.unit).unwrap_or(UNKNOWN_UNIT)
    }

    /// Share of its capacity that a server has at least.
    fn warmth(&self, s: &Server) -> f64 {
        let cold = self.facts.cold;
        let up = s.entry.started.map_or(cold.warm_after, |at| self.now.saturating_sub(at));
        let part = up.as_secs_f64() / cold.warm_after.as_secs_f64();
        if up >= cold.warm_after { 1.0 } else { cold.share + (1.0 - cold.share) * part }
    }

    /// Fills the budgets at the rate that one proxy may send to a cold server, so that all of them together
    /// stay under the rule.
    fn fill_budgets(&mut self) {
        let open: f64 = self.servers.iter().map(|s| f64::from(s.open)).sum();
        let left: f64 = self.servers.iter().map(|s| s.left).sum();
        let full = self.mean(|s| s.unit).map_or(1.0, |unit| 1.0 / unit.max(1e-3));
        for id in 0..self.servers.len() {
            let present = self.facts.cold.multiple * self.warmth(&self.servers[id]);
            let rate = present * full * left / open.max(1.0) / self.spread();
            let s = &mut self.servers[id];
            s.budget = (s.budget + rate * TICK.as_secs_f64()).min(1.0);
        }
    }

    /// The one gate: each rule stands here, and every dial passes.
    fn may_send(&self, sess: SessId, id: ServerId) -> bool {
        let (s, to) = (&self.sessions[sess as usize], &self.servers[id as usize]);
        let answered = s.state != State::Choosing || self.now >= s.arrival.dial_timeout;
        let spent = s.dials >= self.facts.max_dials.max(1);
        let drained = to.entry.standing != Standing::Ready;
        let cold = self.warmth(to) < 1.0 && to.budget < 1.0;
        let twice = s.ran.is_some_and(|(sent, first)| {
            let first = &self.servers[first as usize].entry;
            match self.kind(s) {
                Kind::Repeatable => false,
                Kind::OnceOnly => true,
                Kind::Referenced(_, ttl) if self.now >= sent + ttl => true,
                Kind::Referenced(Circle::All, _) => false,
                Kind::Referenced(Circle::Zone, _) => first.zone != to.entry.zone,
                Kind::Referenced(Circle::Cell, _) => first.cell != to.entry.cell,
            }
        });
        !(answered || spent || drained || cold || twice)
    }

    fn send(&mut self, sess: SessId, id: ServerId, out: &mut Vec<Action>) -> bool {
        if !self.may_send(sess, id) {
            return false;
        }
        let (now, spread, time_out) = (self.now, self.spread(), self.time_out(sess));
        let to = &mut self.servers[id as usize];
        to.age(now);
        to.g += spread;
        to.sends.push(now);
        to.budget -= 1.0;
        let s = &mut self.sessions[sess as usize];
        (s.server, s.dials, s.dialled) = (id, s.dials + 1, now);
        s.tried.push(id);
        out.push(Action::Dial { sess, server: id, time_out });
        true
    }

    /// Half the handshake target at first, so that a second dial can still meet it, then twice as long each
    /// time. Where set-ups are slow everywhere, what they wait for is shared and jammed, and short time-
    /// outs would fill it with work that nobody awaits: then longer than set-ups take.
    fn time_out(&self, sess: SessId) -> Duration {
        let s = &self.sessions[sess as usize];
        let left = s.arrival.dial_timeout.saturating_sub(self.now);
        let half = self.facts.listeners[usize::from(s.arrival.listener)].handshake_target / 2;
        let wait = (half * (1 << s.dials.min(8))).max(self.set_up.unwrap_or_default() * 2);
        if s.dials + 1 >= self.facts.max_dials { left } else { wait.min(left) }
    }

    /// The final answer to a session given up on: a refusal where that promise can be kept, else a teardown.
    fn answer(&self, sess: SessId) -> Action {
        let s = &self.sessions[sess as usize];
        let harmless = matches!(self.kind(s), Kind::Repeatable | Kind::Referenced(Circle::All, _));
        match s.ran {
            Some(_) if !harmless => Action::TearDown { sess },
            _ => Action::Refuse { sess, come_back: self.facts.come_back.min(REST) },
        }
    }

    fn kind(&self, s: &Session) -> Kind {
        self.facts.listeners[usize::from(s.arrival.listener)].kind
    }

    /// What the end of a dial or connection tells of its server.
    fn ended(&mut self, sess: SessId, dial: u8, outcome: Outcome, load: Load) {
        if !self.speaks_of(sess, Some(dial)) {
            return;
        }
        let (now, s) = (self.now, &mut self.sessions[sess as usize]);
        let (id, setting_up, waited) = (s.server, s.state == State::Dialling, now.saturating_sub(s.dialled));
        let unrun = matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::NeverSent);
        if setting_up {
            s.ran = s.ran.or((!unrun).then_some((s.dialled, id)));
            self.take_back(sess);
            if outcome == Outcome::TimedOut {
                self.took(waited * 2);
            }
            if !matches!(outcome, Outcome::Ok | Outcome::CalledOff | Outcome::NeverSent) {
                self.strike(id);
            }
        } else if matches!(outcome, Outcome::Ok | Outcome::CalledOff) {
            let s = &mut self.servers[id as usize];
            s.age(now);
            s.left += 1.0 / CHURN;
        }
        self.report(id, load);
    }

    fn took(&mut self, span: Duration) {
        self.set_up = self.set_up.map(|before| (before * 7 + span) / 8);
    }

    /// A dial or probe failed, or met a full server: enough of that and the server rests, longer each time.
    fn strike(&mut self, id: ServerId) {
        let s = &mut self.servers[id as usize];
        s.sick += (1.0 - s.sick) * 0.5;
        if s.sick > SICK && s.shut_until <= self.now {
            s.shut_until = self.now + s.rest;
            s.rest = (s.rest * 2).min(REST_MOST);
        }
    }

    fn probed(&mut self, id: ServerId, outcome: Outcome, load: Load, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(id as usize) else { return };
        let failed = matches!(outcome, Outcome::TimedOut | Outcome::Unreachable | Outcome::Reset);
        s.silent = if failed { s.silent + 1 } else { 0 };
        if failed {
            if s.silent < SILENT {
                self.plan(self.now + TICK, Due::Probe(id));
            }
            self.strike(id);
        }
        self.report(id, load);
        self.relieve(id, load.asked, out);
    }

    fn report(&mut self, id: ServerId, load: Load) {
        let (now, spread, s) = (self.now, self.spread(), &mut self.servers[id as usize]);
        let Some(connections) = load.connections else { return };
        s.counted = Some(connections);
        if let Some(asked) = load.asked.filter(|_| connections >= 1.0) {
            let unit = asked / connections;
            s.unit = Some(s.unit.map_or(unit, |u| (u + unit) / 2.0));
        }
        s.reset(now, spread);
    }

    /// A server asked for more than it can do serves none of its connections in time, nor does one that has
    /// gone silent, and that lasts until they leave: each proxy moves its part of the excess, those first
    /// whose group it holds least of.
    fn relieve(&mut self, id: ServerId, asked: Option<f64>, out: &mut Vec<Action>) {
        let s = &mut self.servers[id as usize];
        let keep = match asked {
            _ if s.silent >= SILENT => 0.0,
            Some(asked) if asked > OVER => FULL / asked,
            _ => return,
        };
        if s.relieved > self.now {
            return;
        }
        s.relieved = self.now + STALE;
        let excess = (f64::from(s.open) * (1.0 - keep)).ceil() as usize;
        let here =
            |s: &&Session| s.state == State::Open && s.server == id && self.kind(s) == Kind::Repeatable;
        let size = |s: &Session| {
            s.arrival.group.map_or(0, |g| self.servers[id as usize].groups.get(&g).copied().unwrap_or(0))
        };
        let mut order: Vec<(u32, SessId)> =
            self.sessions.iter().filter(here).map(|s| (size(s), s.arrival.sess)).collect();
        order.sort_unstable();
        for (_, sess) in order.into_iter().take(excess) {
            out.push(Action::Move { sess });
            self.advance(sess, None, Input::Left, out);
        }
    }

    /// Messages over their target are served nothing, though the server's reports may not say so, or say it
    /// late.
    fn delayed(&mut self, id: ServerId, span: Duration, out: &mut Vec<Action>) {
        let shortest = self.facts.listeners.iter().filter_map(|l| l.message_target).min();
        if (id as usize) < self.servers.len() && shortest.is_some_and(|target| span > target) {
            self.relieve(id, Some(1.0), out);
        }
    }

    fn learn(&mut self, roster: Roster) {
        let (entries, whole) = match roster {
            Roster::Failed => {
                // The roster serves all proxies in turn; asking again at once would keep it jammed.
                self.calls_failed = (self.calls_failed + 1).min(3);
                let part = 0.04 * f64::from(1 << self.calls_failed) * (0.5 + self.chance.draw());
                let wait = self.facts.ask_roster.unwrap_or_default().mul_f64(part);
                return self.plan(self.now + wait, Due::AskRoster);
            }
            Roster::Changes(entries) => (entries, false),
            Roster::Whole(entries) | Roster::Stale(entries) => (entries, true),
        };
        self.calls_failed = 0;
        for s in self.servers.iter_mut().filter(|_| whole) {
            s.entry.standing = Standing::Gone;
        }
        let t = self.now;
        let g = self.mean(|s| Some(s.aged(t))).unwrap_or(0.0);
        let v = self.mean(|s| Some(s.v)).unwrap_or(0.0);
        for entry in entries {
            grow(&mut self.servers, entry.server as usize);
            let s = &mut self.servers[entry.server as usize];
            if s.rest.is_zero() || s.entry.started != entry.started {
                let (budget, old) = (self.chance.draw(), std::mem::take(s));
                let (open, groups) = (old.open, old.groups);
                *s = Server { entry, g, v, t, open, groups, rest: REST, budget, ..Server::default() };
                self.plan(t, Due::Probe(entry.server));
            }
            self.servers[entry.server as usize].entry = entry;
        }
    }

    fn plan(&mut self, at: Duration, due: Due) {
        self.due.retain(|d| d.1 != due);
        self.due.insert((at, due));
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Wake { after: TICK });
        self.fill_budgets();
        while let Some(&(_, due)) = self.due.first().filter(|d| d.0 <= self.now) {
            self.due.pop_first();
            match due {
                Due::AskRoster => out.push(Action::Subscribe),
                Due::Probe(id) => {
                    let s = &self.servers[id as usize];
                    let ready = s.entry.standing == Standing::Ready && self.facts.may_probe;
                    let calm = s.unit.is_some() && self.pressure(s, 0.0) < NEAR;
                    out.extend(ready.then_some(Action::Probe { server: id }));
                    let pace = (0.9 + 0.2 * self.chance.draw()) * if calm { CALM } else { 1.0 };
                    self.plan(self.now + PROBE.mul_f64(pace), due);
                }
            }
        }
    }
}

fn grow<T: Clone + Default>(list: &mut Vec<T>, at: usize) {
    if list.len() <= at {
        list.resize(at + 1, T::default());
    }
}

impl Server {
    /// g' = max(0, g - v (now - t))
    fn aged(&self, now: Duration) -> f64 {
        (self.g - self.v * now.saturating_sub(self.t).as_secs_f64()).max(0.0)
    }

    fn age(&mut self, now: Duration) {
        self.g = self.aged(now);
        let fade = (-now.saturating_sub(self.t).as_secs_f64() / CHURN).exp();
        (self.v, self.left, self.t) = (self.v * fade, self.left * fade, now);
    }

    /// The score becomes the last probed count and what we have sent since.
    fn reset(&mut self, now: Duration, spread: f64) {
        self.age(now);
        self.sends.retain(|sent| now.saturating_sub(*sent) < STALE);
        self.g = self.counted.map_or(self.g, |counted| counted + self.sends.len() as f64 * spread);
    }
}

/// A number in [0, 1) that every proxy finds for the same pair.
fn hash_unit(a: u64, b: u64) -> f64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for _ in 0..2 {
        x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    ((x ^ (x >> 29)) >> 11) as f64 / (1u64 << 53) as f64
}
