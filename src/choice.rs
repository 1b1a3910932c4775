//! Every decision of a proxy: where a session is dialled, when it is dialled again, refused or torn down, and
//! what is asked of servers and of the roster.
//!
//! Make one `Choice` a proxy from its `Deployment` and a nonce, hand it each `Event` with the time since the clock
//! began, and carry out the `Action`s that it appends, in order. The interface is those three types, in
//! `deployment.rs`, `event.rs` and `action.rs`; `docs/design.md` says what follows Charon and what departs from it.

use crate::action::Action;
use crate::deployment::{Circle, Deployment, Kind};
use crate::event::{Arrival, Entry, Event, Load, Outcome, Roster, ServerId, SessId, Standing};
use std::collections::BTreeSet;
use std::time::Duration;

/// Span over which the rate of ending connections is averaged.
const CHURN: f64 = 10.0;
/// Pace of the periodic timer.
const TICK: Duration = Duration::from_millis(100);
/// Pace at which a server in use is probed.
const PROBE: Duration = Duration::from_millis(1000);
const CALM: f64 = 2.0;
/// How old a count may be when a probe brings it; sends younger than that are added to it.
const STALE: Duration = Duration::from_millis(1500);
/// Share of a server that may be asked for before sessions look beyond their zone, and beyond servers that hold
/// their group.
const NEAR: f64 = 0.5;
const ROOM: f64 = 0.75;
/// Share from which it takes no more, and from which it is relieved down to `FULL`.
const FULL: f64 = 0.85;
const OVER: f64 = 0.95;
/// Stands for a connection's share while no report has told one.
const UNKNOWN_UNIT: f64 = 1e-6;
/// Share of failures, smoothed, from which a server is left alone, and for how long at first and at most.
const SICK: f64 = 0.4;
const REST: Duration = Duration::from_millis(1000);
const REST_MOST: Duration = Duration::from_millis(8000);

/// Where a session stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Choosing,
    Dialling,
    Open,
    /// Answered, with a dial or connection still to be reported.
    Parting,
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
    Spared,
    Spoiled,
    Closed,
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Nothing,
    Place,
    Again,
    Answer,
    SetUp,
    CallOff,
    Finish,
    Release,
}

/// State, input, next state, effect. What is not listed is late or stray, and ignored.
const TABLE: &[(State, Input, State, Effect)] = &[
    (State::Choosing, Input::Arrived, State::Choosing, Effect::Place),
    (State::Choosing, Input::Inherited, State::Open, Effect::SetUp),
    (State::Choosing, Input::Dialled, State::Dialling, Effect::Nothing),
    (State::Choosing, Input::GivenUp, State::Over, Effect::Answer),
    (State::Dialling, Input::Began, State::Open, Effect::SetUp),
    (State::Dialling, Input::Spared, State::Choosing, Effect::Again),
    (State::Dialling, Input::Spoiled, State::Choosing, Effect::Again),
    (State::Dialling, Input::Closed, State::Over, Effect::Finish),
    (State::Dialling, Input::Left, State::Parting, Effect::CallOff),
    (State::Open, Input::Left, State::Parting, Effect::Release),
    (State::Open, Input::Spared, State::Over, Effect::Release),
    (State::Open, Input::Spoiled, State::Over, Effect::Release),
    (State::Open, Input::Closed, State::Over, Effect::Release),
    (State::Parting, Input::Spared, State::Over, Effect::Nothing),
    (State::Parting, Input::Spoiled, State::Over, Effect::Nothing),
    (State::Parting, Input::Closed, State::Over, Effect::Nothing),
];

#[derive(Clone, Debug)]
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
    /// Rate of ends that clients chose; drops by the server would make lives look short.
    left: f64,
    /// Not relieved again before what was moved shows in its reports.
    relieved: Duration,
    /// Smoothed share of failures, and the rest that follows from it.
    sick: f64,
    rest: Duration,
    shut_until: Duration,
    /// What may still be sent to it while it is cold.
    budget: f64,
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
    sessions: Vec<Option<Session>>,
    servers: Vec<Option<Server>>,
    due: BTreeSet<(Duration, Due)>,
    awake: bool,
    calls_failed: u32,
    /// What setting up takes of late, over all servers.
    set_up: Duration,
    now: Duration,
}

impl Choice {
    pub fn new(facts: Deployment, nonce: u64) -> Self {
        let seed = (nonce ^ (nonce >> 32)) & 0xffff_ffff;
        Choice {
            facts,
            chance: Chance(seed | 1 << 32),
            sessions: Vec::new(),
            servers: Vec::new(),
            due: BTreeSet::new(),
            awake: false,
            calls_failed: 0,
            set_up: Duration::ZERO,
            now: Duration::ZERO,
        }
    }

    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if !self.awake {
            self.awake = true;
            out.push(Action::Wake { after: TICK });
            if self.facts.ask_roster.is_some() {
                out.push(Action::Subscribe);
            }
        }
        match event {
            Event::Roster(roster) => self.learn(roster),
            Event::Arrived(arrival) => self.enter(arrival, None, out),
            Event::Inherited(arrival, server) => self.enter(arrival, Some(server), out),
            Event::Began { sess, dial } => self.advance(sess, Some(dial), Input::Began, out),
            Event::Ended { sess, dial, outcome, over, load } => {
                self.ended(sess, dial, outcome, over, load, out)
            }
            Event::Noted { .. } => {}
            Event::Probed { server, outcome, load } => {
                self.probed(server, outcome, load);
                self.relieve(server, load, out);
            }
            Event::Left { sess } => self.advance(sess, None, Input::Left, out),
            Event::Tick => self.tick(out),
        }
    }

    fn enter(&mut self, arrival: Arrival, held_by: Option<ServerId>, out: &mut Vec<Action>) {
        let at = arrival.sess as usize;
        if self.sessions.len() <= at {
            self.sessions.resize(at + 1, None);
        }
        if self.sessions[at].is_some() || usize::from(arrival.listener) >= self.facts.listeners.len() {
            return;
        }
        self.sessions[at] = Some(Session {
            state: State::Choosing,
            arrival,
            server: held_by.unwrap_or_default(),
            dials: u32::from(held_by.is_some()),
            dialled: self.now,
            ran: None,
            tried: Vec::new(),
        });
        let input = if held_by.is_some() { Input::Inherited } else { Input::Arrived };
        self.advance(arrival.sess, None, input, out);
    }

    /// Reads the table until a session rests. `dial` names the dial that an input speaks of; an older one is stray.
    fn advance(&mut self, sess: SessId, dial: Option<u8>, input: Input, out: &mut Vec<Action>) {
        let s = self.sessions.get(sess as usize).and_then(Option::as_ref);
        if s.zip(dial).is_some_and(|(s, d)| u32::from(d) + 1 != s.dials) {
            return;
        }
        let mut next = Some(input);
        while let Some(input) = next {
            let Some(Some(s)) = self.sessions.get_mut(sess as usize) else { return };
            let Some(row) = TABLE.iter().find(|row| row.0 == s.state && row.1 == input) else { return };
            s.state = row.2;
            next = self.effect(sess, row.3, out);
            if row.2 == State::Over {
                self.sessions[sess as usize] = None;
                out.push(Action::Forget { sess });
            }
        }
    }

    fn effect(&mut self, sess: SessId, effect: Effect, out: &mut Vec<Action>) -> Option<Input> {
        let s = self.sessions[sess as usize].clone()?;
        let (server, dial) = (s.server, s.dials.saturating_sub(1));
        match effect {
            Effect::Nothing => {}
            Effect::Place => return Some(self.place(sess, out)),
            Effect::Again => {
                self.take_back(server, s.dialled);
                return Some(self.place(sess, out));
            }
            Effect::Answer => self.answer(sess, out),
            Effect::SetUp => {
                self.took(self.now - s.dialled);
                let (now, spread) = (self.now, f64::from(self.facts.proxies));
                if let Some(s) = self.server(server) {
                    s.open += 1;
                    s.sick *= 0.5;
                    s.rest = if s.sick < SICK / 2.0 { REST } else { s.rest };
                    s.reset(now, spread);
                }
            }
            Effect::CallOff => {
                self.take_back(server, s.dialled);
                if self.facts.may_call_off {
                    out.push(Action::CallOff { sess, dial: dial as u8 });
                }
            }
            Effect::Finish => self.take_back(server, s.dialled),
            Effect::Release => {
                let now = self.now;
                if let Some(s) = self.server(server) {
                    s.age(now);
                    s.open = s.open.saturating_sub(1);
                    s.v += 1.0 / CHURN;
                }
            }
        }
        None
    }

    fn server(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id as usize)?.as_mut()
    }

    fn take_back(&mut self, id: ServerId, sent: Duration) {
        let (now, spread) = (self.now, f64::from(self.facts.proxies));
        if let Some(s) = self.server(id) {
            s.age(now);
            s.g = (s.g - spread).max(0.0);
            if let Some(at) = s.sends.iter().position(|t| *t == sent) {
                s.sends.swap_remove(at);
            }
        }
    }

    /// Charon's choice among the best pool of servers that is not empty, then the gate.
    fn place(&mut self, sess: SessId, out: &mut Vec<Action>) -> Input {
        let Some(Some(s)) = self.sessions.get(sess as usize) else { return Input::GivenUp };
        let (arrival, tried) = (s.arrival, s.tried.clone());
        let open_to: Vec<&Server> =
            self.servers.iter().flatten().filter(|s| self.may_send(sess, s.entry.server)).collect();
        let mean_unit = self.mean(|s| s.unit).unwrap_or(UNKNOWN_UNIT);
        let near = |s: &Server| s.entry.zone == self.facts.zone;
        let load = |s: &Server| self.pressure(s, mean_unit);
        // A server that fails or hangs rests; if all do, serving goes on as if none did. None with room at all
        // means that one more session would spoil those that stand.
        let rested = |s: &Server| s.shut_until <= self.now && !tried.contains(&s.entry.server);
        let pools: [&dyn Fn(&Server) -> bool; 4] = [
            &|s| rested(s) && near(s) && load(s) < NEAR,
            &|s| rested(s) && load(s) < ROOM,
            &|s| rested(s) && load(s) < FULL,
            &|s| !open_to.iter().any(|o| rested(o)) && load(s) < FULL,
        ];
        let pool = pools.iter().map(|fits| open_to.iter().copied().filter(|s| fits(s)).collect::<Vec<_>>());
        let pool = pool.into_iter().find(|pool| !pool.is_empty()).unwrap_or_default();
        let pool: Vec<ServerId> = pool.iter().map(|s| s.entry.server).collect();
        let Some(chosen) = self.lower_of_two(&pool, &arrival, mean_unit) else { return Input::GivenUp };
        if self.send(sess, chosen, out) { Input::Dialled } else { Input::GivenUp }
    }

    /// Draws two different servers by weight and takes the one with the lower aged score, counted in its units.
    fn lower_of_two(&mut self, pool: &[ServerId], arrival: &Arrival, mean_unit: f64) -> Option<ServerId> {
        let hashed = if self.facts.passes_through { Some(arrival.item) } else { arrival.group };
        let mut keys: Vec<(f64, ServerId)> = Vec::with_capacity(pool.len());
        for id in pool {
            let Some(s) = self.servers[*id as usize].as_ref() else { continue };
            let weight =
                if hashed.is_some() && self.facts.live_weights { 1.0 } else { s.entry.weight.max(1e-6) };
            let u = match hashed {
                Some(h) => hash_unit(h, s.entry.mark),
                None => self.chance.draw(),
            };
            keys.push((-(u.max(1e-12)).ln() / weight, *id));
        }
        keys.sort_by(|a, b| a.0.total_cmp(&b.0));
        let first = keys.first()?.1;
        let Some(second) = keys.get(1).map(|k| k.1) else { return Some(first) };
        let [a, b] = [first, second]
            .map(|id| self.servers[id as usize].as_ref().map_or(f64::MAX, |s| self.pressure(s, mean_unit)));
        let holds = |id| {
            self.sessions.iter().flatten().any(|s| {
                s.state == State::Open
                    && s.server == id
                    && arrival.group.is_some()
                    && s.arrival.group == arrival.group
            })
        };
        match (holds(first), holds(second)) {
            (true, false) if a < ROOM => return Some(first),
            (false, true) if b < ROOM => return Some(second),
            _ => {}
        }
        let first_wins = if a == b { self.chance.draw() < 0.5 } else { a < b };
        Some(if first_wins { first } else { second })
    }

    /// The aged score in shares of the server; a cold one can do less, so its connections take larger shares.
    fn pressure(&self, s: &Server, mean_unit: f64) -> f64 {
        s.aged(self.now) * s.unit.unwrap_or(mean_unit / self.warmth(s))
    }

    fn mean(&self, of: impl Fn(&Server) -> Option<f64>) -> Option<f64> {
        let seen: Vec<f64> = self
            .servers
            .iter()
            .flatten()
            .filter(|s| s.entry.standing == Standing::Ready)
            .filter_map(of)
            .collect();
        if seen.is_empty() { None } else { Some(seen.iter().sum::<f64>() / seen.len() as f64) }
    }

    /// Share of its capacity that a server has at least.
    fn warmth(&self, s: &Server) -> f64 {
        let Some(started) = s.entry.started else { return 1.0 };
        let cold = self.facts.cold;
        let up = self.now.saturating_sub(started).as_secs_f64();
        let whole = cold.warm_after.as_secs_f64();
        if up >= whole { 1.0 } else { cold.share + (1.0 - cold.share) * up / whole }
    }

    /// What one proxy may send to a cold server a second, so that all of them together stay under the rule.
    fn cold_rate(&self, s: &Server) -> f64 {
        let (open, ends) =
            self.servers.iter().flatten().fold((0.0, 0.0), |a, s| (a.0 + f64::from(s.open), a.1 + s.left));
        let full = 1.0 / self.mean(|s| s.unit).unwrap_or(1.0).max(1e-3);
        let rate = full * if open > 0.0 { ends / open } else { 0.0 };
        0.5 * self.facts.cold.multiple * self.warmth(s) * rate / f64::from(self.facts.proxies.max(1))
    }

    /// The one gate: each rule stands here, and every dial passes.
    fn may_send(&self, sess: SessId, id: ServerId) -> bool {
        let Some(Some(s)) = self.sessions.get(sess as usize) else { return false };
        let Some(Some(to)) = self.servers.get(id as usize) else { return false };
        let answered = s.state != State::Choosing || self.now >= s.arrival.dial_timeout;
        let spent = s.dials >= self.facts.max_dials.max(1);
        let drained = to.entry.standing != Standing::Ready;
        let cold = self.warmth(to) < 1.0 && to.budget < 1.0;
        let twice = s.ran.is_some_and(|(sent, first)| match self.kind(s) {
            Kind::Repeatable => false,
            Kind::OnceOnly => true,
            Kind::Referenced(circle, ttl) => {
                self.now >= sent + ttl
                    || !self.servers.get(first as usize).and_then(Option::as_ref).is_some_and(
                        |f| match circle {
                            Circle::All => true,
                            Circle::Zone => f.entry.zone == to.entry.zone,
                            Circle::Cell => f.entry.cell == to.entry.cell,
                        },
                    )
            }
        });
        !(answered || spent || drained || cold || twice)
    }

    fn send(&mut self, sess: SessId, id: ServerId, out: &mut Vec<Action>) -> bool {
        if !self.may_send(sess, id) {
            return false;
        }
        let (now, spread) = (self.now, f64::from(self.facts.proxies));
        let time_out = self.time_out(sess);
        if let Some(to) = self.server(id) {
            to.age(now);
            to.g += spread;
            to.sends.push(now);
            to.budget -= 1.0;
        }
        let Some(Some(s)) = self.sessions.get_mut(sess as usize) else { return false };
        s.server = id;
        s.dials += 1;
        s.dialled = now;
        s.tried.push(id);
        out.push(Action::Dial { sess, server: id, time_out });
        true
    }

    /// Half the handshake target at first, so that a second dial can still meet it, then twice as long each time.
    /// Where set-ups are slow everywhere, what they wait for is shared and jammed, and short time-outs would fill
    /// it with work that nobody awaits: then longer than set-ups take.
    fn time_out(&self, sess: SessId) -> Duration {
        let Some(Some(s)) = self.sessions.get(sess as usize) else { return Duration::ZERO };
        let left = s.arrival.dial_timeout.saturating_sub(self.now);
        let target = self.facts.listeners[usize::from(s.arrival.listener)].handshake_target;
        let wait = (target / 2 * (1 << s.dials.min(8))).max(self.set_up * 2);
        if s.dials + 1 >= self.facts.max_dials { left } else { wait.min(left) }
    }

    /// The final answer to a session given up on: a refusal where that promise can be kept, else a teardown.
    fn answer(&mut self, sess: SessId, out: &mut Vec<Action>) {
        let Some(Some(s)) = self.sessions.get(sess as usize) else { return };
        let harmless = s.ran.is_none()
            || match self.kind(s) {
                Kind::Repeatable => true,
                Kind::Referenced(circle, _) => circle == Circle::All,
                Kind::OnceOnly => false,
            };
        out.push(if harmless {
            Action::Refuse { sess, come_back: self.facts.come_back.min(REST) }
        } else {
            Action::TearDown { sess }
        });
    }

    fn ended(
        &mut self,
        sess: SessId,
        dial: u8,
        outcome: Outcome,
        over: bool,
        load: Load,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(Some(s)) = self.sessions.get_mut(sess as usize) else { return };
        if u32::from(dial) + 1 != s.dials {
            return;
        }
        let (id, setting_up, waited) = (s.server, s.state == State::Dialling, now - s.dialled);
        let spared = matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::NeverSent);
        if setting_up && !spared && s.ran.is_none() {
            s.ran = Some((s.dialled, id));
        }
        if setting_up
            && !matches!(outcome, Outcome::Ok | Outcome::Full | Outcome::CalledOff | Outcome::NeverSent)
        {
            self.strike(id);
            if outcome == Outcome::TimedOut {
                self.took(waited * 2);
            }
        }
        if !setting_up && matches!(outcome, Outcome::Ok | Outcome::CalledOff) {
            if let Some(s) = self.server(id) {
                s.age(now);
                s.left += 1.0 / CHURN;
            }
        }
        self.report(id, load);
        let input = match (over, spared) {
            (true, _) => Input::Closed,
            (false, true) => Input::Spared,
            (false, false) => Input::Spoiled,
        };
        self.advance(sess, Some(dial), input, out);
    }

    fn took(&mut self, span: Duration) {
        self.set_up = (self.set_up * 7 + span) / 8;
    }

    /// A dial or probe failed: enough of them and the server rests, longer each time.
    fn strike(&mut self, id: ServerId) {
        let now = self.now;
        if let Some(s) = self.server(id) {
            s.sick += (1.0 - s.sick) * 0.5;
            if s.sick > SICK && s.shut_until <= now {
                s.shut_until = now + s.rest;
                s.rest = (s.rest * 2).min(REST_MOST);
            }
        }
    }

    fn probed(&mut self, id: ServerId, outcome: Outcome, load: Load) {
        if matches!(outcome, Outcome::TimedOut | Outcome::Unreachable | Outcome::Reset) {
            self.strike(id);
        }
        self.report(id, load);
    }

    /// A server asked for more than it can do serves none of its connections in time, and goes on so until some
    /// have gone: each proxy moves its part of the excess, those first whose group it holds least of.
    fn relieve(&mut self, id: ServerId, load: Load, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(asked) = load.asked.filter(|asked| *asked > OVER) else { return };
        let Some(s) = self.server(id).filter(|s| s.relieved <= now) else { return };
        s.relieved = now + STALE;
        let excess = (f64::from(s.open) * (1.0 - FULL / asked)).ceil() as usize;
        let held: Vec<&Arrival> = self
            .sessions
            .iter()
            .flatten()
            .filter(|s| s.state == State::Open && s.server == id && self.kind(s) == Kind::Repeatable)
            .map(|s| &s.arrival)
            .collect();
        let mut order: Vec<(usize, SessId)> =
            held.iter().map(|a| (held.iter().filter(|b| b.group == a.group).count(), a.sess)).collect();
        order.sort_unstable();
        for (_, sess) in order.into_iter().take(excess) {
            out.push(Action::Move { sess });
            self.advance(sess, None, Input::Left, out);
        }
    }

    fn kind(&self, s: &Session) -> Kind {
        self.facts.listeners[usize::from(s.arrival.listener)].kind
    }

    fn report(&mut self, id: ServerId, load: Load) {
        let (now, spread) = (self.now, f64::from(self.facts.proxies));
        let Some(s) = self.server(id) else { return };
        let Some(connections) = load.connections else { return };
        s.counted = Some(connections);
        if let Some(asked) = load.asked.filter(|_| connections >= 1.0) {
            let unit = asked / connections;
            s.unit = Some(s.unit.map_or(unit, |u| (u + unit) / 2.0));
        }
        s.reset(now, spread);
    }

    fn learn(&mut self, roster: Roster) {
        let (entries, whole) = match roster {
            Roster::Failed => {
                // The roster serves all proxies in turn; asking again at once would keep it jammed.
                if let Some(late) = self.facts.ask_roster {
                    self.calls_failed = (self.calls_failed + 1).min(3);
                    let wait =
                        late.mul_f64(0.04 * f64::from(1 << self.calls_failed) * (0.5 + self.chance.draw()));
                    self.due.retain(|d| d.1 != Due::AskRoster);
                    self.due.insert((self.now + wait, Due::AskRoster));
                }
                return;
            }
            Roster::Changes(entries) => (entries, false),
            Roster::Whole(entries) | Roster::Stale(entries) => (entries, true),
        };
        self.calls_failed = 0;
        if whole {
            for s in self.servers.iter_mut().flatten() {
                s.entry.standing = Standing::Gone;
            }
        }
        let now = self.now;
        let g = self.mean(|s| Some(s.aged(now))).unwrap_or(0.0);
        let v = self.mean(|s| Some(s.v)).unwrap_or(0.0);
        for entry in entries {
            let at = entry.server as usize;
            if self.servers.len() <= at {
                self.servers.resize(at + 1, None);
            }
            match self.servers[at].as_mut().filter(|s| s.entry.started == entry.started) {
                Some(s) => s.entry = entry,
                None => {
                    let budget = self.chance.draw();
                    self.servers[at] =
                        Some(Server { entry, g, v, t: now, rest: REST, budget, ..Server::default() });
                    self.due.retain(|d| d.1 != Due::Probe(entry.server));
                    self.due.insert((now, Due::Probe(entry.server)));
                }
            }
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Wake { after: TICK });
        let rates: Vec<f64> =
            self.servers.iter().map(|s| s.as_ref().map_or(0.0, |s| self.cold_rate(s))).collect();
        for (s, rate) in self.servers.iter_mut().zip(rates) {
            let Some(s) = s else { continue };
            s.budget = (s.budget + rate * TICK.as_secs_f64()).min(1.0);
        }
        while let Some(&(at, due)) = self.due.first() {
            if at > self.now {
                break;
            }
            self.due.pop_first();
            match due {
                Due::AskRoster => out.push(Action::Subscribe),
                Due::Probe(id) => {
                    let ready = self.server(id).is_some_and(|s| s.entry.standing == Standing::Ready);
                    if ready && self.facts.may_probe {
                        out.push(Action::Probe { server: id });
                    }
                    let mean_unit = self.mean(|s| s.unit).unwrap_or(UNKNOWN_UNIT);
                    let calm = self.server(id).is_some_and(|s| s.unit.is_some())
                        && self.servers[id as usize]
                            .as_ref()
                            .is_some_and(|s| self.pressure(s, mean_unit) < NEAR);
                    let pace =
                        PROBE.mul_f64((0.9 + 0.2 * self.chance.draw()) * if calm { CALM } else { 1.0 });
                    self.due.insert((self.now + pace, Due::Probe(id)));
                }
            }
        }
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
        self.v *= fade;
        self.left *= fade;
        self.t = now;
    }

    /// The score becomes the last probed count and what we have sent since.
    fn reset(&mut self, now: Duration, spread: f64) {
        self.age(now);
        self.sends.retain(|sent| now.saturating_sub(*sent) < STALE);
        if let Some(counted) = self.counted {
            self.g = counted + self.sends.len() as f64 * spread;
        }
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
