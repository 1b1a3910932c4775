//! The model round the code that serves: clients, hosts, sockets and a clock. A step happens, the code reacts,
//! and what it wants done is carried out here as the router does on sockets.

use crate::properties::{Breach, Monitor};
use crate::shape::Shape;
use crate::step::{Move, Step, Told, Word};
use asterramp_drain::{
    ADVICE_INTERVAL, Drain, DrainSettings, DrainState, DrainView, ShutdownSchedule,
};
use asterramp_placement::Event;
use asterramp_placement::event::{
    Endpoint, EndpointState, EndpointUpdate, Load, Outcome, ServerId, SessionRequest,
};
use asterramp_proxy::routing::session_state::{
    FinalAnswer, SessionEffect, SessionInput, SessionState,
};
use asterramp_proxy::routing::session_table::{SessionTable, SessionTask};
use asterramp_proxy::transport::{Deadlines, SlotKey, SlotMap};
use std::collections::BTreeSet;
use std::time::Duration;

/// The clock of all worlds begins here: hosts may have started before.
pub const START: Duration = Duration::from_secs(100);
/// Longest that a world goes on; every session has ended long before.
pub const HORIZON: Duration = Duration::from_secs(10);
/// The drain's terms here, and within how long it is to empty the proxy.
const TERMS: DrainSettings = DrainSettings {
    max_closing_time: Duration::from_millis(60),
    quiet_period: Duration::from_millis(40),
    max_migrations_per_second: 20.0,
    time_before_next_drain: Duration::ZERO,
};
const WITHIN: Duration = Duration::from_millis(200);
/// How long after SIGTERM whoever still waits is answered, at most.
const GOING_DOWN: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    /// The drain is asked what to do now.
    Leave,
    Session(SlotKey),
}

/// Where a dial's connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    Connecting,
    /// Its line is being written.
    Up,
    Written,
    Open,
}

#[derive(Clone, Copy, Debug)]
struct Conn {
    sess: SlotKey,
    number: u8,
    dial: u8,
    wire: Wire,
}

/// What the driver keeps with a session, as the router does.
#[derive(Clone, Debug)]
pub struct Own {
    pub number: u8,
    client: bool,
    /// The client has gone, and nobody has looked yet.
    gone: bool,
    server: Option<SlotKey>,
}

#[derive(Clone, Debug)]
pub struct Host {
    pub uid: ServerId,
    pub zone: u8,
    pub standing: EndpointState,
    pub started: Option<Duration>,
}

#[derive(Clone, Debug)]
pub struct World {
    pub now: Duration,
    exchange: SessionTable<Own>,
    conns: SlotMap<Conn>,
    deadlines: Deadlines<Due>,
    pub hosts: Vec<Host>,
    uids: ServerId,
    /// Sessions by number, once they have come.
    came: Vec<Option<SlotKey>>,
    probes: BTreeSet<ServerId>,
    /// Connections closed in this turn, with whose they were and what they might still say.
    closed: Vec<(SlotKey, Conn)>,
    told_left: u8,
    stale_left: u8,
    orders_left: u8,
    drain: Drain,
    last_came: Duration,
    pub monitor: Monitor,
    /// What was done in the last step, for traces; not part of what makes worlds equal.
    pub done: Vec<String>,
}

/// Feeds what makes two worlds equal into a hash of 128 bits; that two unequal ones meet is out of the question
/// at the sizes explored.
struct Digest(u64, u64);

impl std::fmt::Write for Digest {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        for byte in text.as_bytes() {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
            self.1 = (self.1.rotate_left(7) ^ u64::from(*byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        }
        Ok(())
    }
}

impl World {
    pub fn new(shape: &Shape) -> World {
        let started = shape.cold.then_some(START);
        let host = |n: u8| Host {
            uid: ServerId::from(n),
            zone: n % 2,
            standing: EndpointState::Ready,
            // Only the last is cold, or there would be nowhere else to go.
            started: started.filter(|_| n + 1 == shape.hosts),
        };
        let mut world = World {
            now: START,
            exchange: SessionTable::new(shape.deployment(), 0, shape.connect_within()),
            conns: SlotMap::default(),
            deadlines: Deadlines::default(),
            hosts: (0..shape.hosts).map(host).collect(),
            uids: ServerId::from(shape.hosts),
            came: vec![None; shape.sessions.len()],
            probes: BTreeSet::new(),
            closed: Vec::new(),
            told_left: shape.told,
            stale_left: shape.stale,
            orders_left: shape.orders,
            drain: Drain::new(TERMS),
            last_came: START,
            monitor: Monitor::new(shape),
            done: Vec::new(),
        };
        let entries = world.hosts.iter().map(Host::entry).collect();
        world
            .exchange
            .event(START, Event::Endpoints(EndpointUpdate::Complete(entries)));
        world.settle();
        world
    }

    /// Of all that this world is, but for what the last step did.
    pub fn digest(&self) -> u128 {
        use std::fmt::Write;
        let mut digest = Digest(0xcbf2_9ce4_8422_2325, 0);
        let own = (
            &self.now,
            &self.exchange,
            &self.conns,
            &self.deadlines,
            &self.hosts,
        );
        let more = (
            &self.came,
            &self.probes,
            &self.closed,
            self.told_left,
            self.stale_left,
            self.orders_left,
        );
        let _ = write!(
            digest,
            "{own:?}{more:?}{:?}{:?}{:?}",
            self.drain, self.last_came, self.monitor
        );
        u128::from(digest.0) << 64 | u128::from(digest.1)
    }

    /// Whether every session has come and ended.
    pub fn over(&self, shape: &Shape) -> bool {
        let late = self.now > START + shape.arrivals() || self.leaving();
        let come = self.came.iter().all(|came| came.is_some() || late);
        let open = self.drain.state() == DrainState::Serving
            && self.now > START + shape.ends()
            && self.over_or_open();
        come && (open || self.exchange.sessions.is_empty())
    }

    /// All that may happen next.
    pub fn steps(&self, shape: &Shape, out: &mut Vec<Step>) {
        out.clear();
        let arriving = self.now <= START + shape.arrivals() && !self.leaving();
        for (n, came) in (0..).zip(&self.came) {
            match came {
                // In order, since sessions of one kind are alike.
                None if arriving && (n == 0 || self.came[usize::from(n) - 1].is_some()) => {
                    out.push(Step::Arrives(n));
                }
                None => {}
                Some(key) => self.session_steps(shape, n, *key, out),
            }
        }
        let stale = self.closed.iter().filter(|_| self.stale_left > 0);
        out.extend(stale.map(|closed| Step::Stale(closed.1.number)));
        for (n, host) in (0..).zip(&self.hosts) {
            if self.probes.contains(&host.uid) {
                for word in [Word::Ok, Word::Full, Word::Silent, Word::Refused] {
                    out.push(Step::Probe(n, word));
                }
            }
            if self.told_left > 0 {
                let told: &[Told] = match host.standing {
                    EndpointState::Ready => {
                        &[Told::Draining, Told::Gone, Told::Restarted, Told::Replaced]
                    }
                    _ => &[Told::Ready],
                };
                out.extend(told.iter().map(|told| Step::Told(n, *told)));
            }
        }
        if self.orders_left > 0 && !self.leaving() {
            let serving = self.drain.state() == DrainState::Serving;
            out.push(if serving { Step::Drain } else { Step::Undrain });
        }
        if shape.sigterm && !self.leaving() && self.came.iter().any(Option::is_some) {
            out.push(Step::Sigterm);
        }
        if self.deadlines.next_due().is_some() && self.now < START + HORIZON {
            out.push(Step::Due);
        }
    }

    fn session_steps(&self, shape: &Shape, n: u8, key: SlotKey, out: &mut Vec<Step>) {
        let Some(held) = self
            .exchange
            .sessions
            .get(key)
            .filter(|held| held.driver_data.number == n)
        else {
            return;
        };
        if let Some(conn) = held
            .driver_data
            .server
            .and_then(|server| self.conns.get(server))
        {
            match conn.wire {
                Wire::Connecting => out.extend([Step::Connected(n), Step::Refused(n)]),
                Wire::Up => out.extend([Step::Written(n), Step::HostEnds(n)]),
                Wire::Written => {
                    let words = [Word::Up, Word::Busy, Word::Err, Word::Move];
                    out.extend(words.map(|word| Step::Says(n, word)));
                    out.push(Step::HostEnds(n));
                }
                Wire::Open => out.push(Step::HostEnds(n)),
            }
            if shape.no_socket && conn.wire == Wire::Connecting {
                out.push(Step::NoSocket(n));
            }
        }
        if held.driver_data.client
            && (shape.clients_stray || held.machine.state == SessionState::Open)
        {
            out.push(Step::Leaves(n));
            if held.machine.state != SessionState::Open && !held.driver_data.gone {
                out.push(Step::Speaks(n));
                out.extend(shape.unseen.then_some(Step::LeavesUnseen(n)));
            }
        }
    }

    /// Makes a step; an error is a broken property.
    pub fn make(&mut self, shape: &Shape, what: Move) -> Result<(), Breach> {
        self.done.clear();
        // What chance does is a choice of the explorer: a draw from the lower half, or from the upper.
        self.exchange
            .engine
            .reseed([0, 0x8000_0000, 0x4000_0001, 0xc000_0003][usize::from(what.chance & 3)]);
        if what.step == Step::Due {
            self.closed.clear();
        }
        self.happen(shape, what.step);
        self.settle();
        self.exchange.engine.reseed(0);
        self.look(shape)
    }

    fn happen(&mut self, shape: &Shape, step: Step) {
        match step {
            Step::Arrives(n) => {
                let arrival = SessionRequest {
                    listener: n,
                    dial_timeout: self.now + shape.wait,
                    ..SessionRequest::default()
                };
                self.monitor.asks(n, self.now + shape.wait);
                self.last_came = self.now;
                if self.drain.state() != DrainState::Serving {
                    self.deadlines.set(Due::Leave, self.now + ADVICE_INTERVAL);
                }
                let own = Own {
                    number: n,
                    client: true,
                    gone: false,
                    server: None,
                };
                let key = self.exchange.start_session(self.now, arrival, false, own);
                self.came[usize::from(n)] = Some(key);
            }
            Step::Connected(n) => self.wire(n, Wire::Up, |dial| SessionInput::Connected { dial }),
            Step::Refused(n) => self.word(n, |dial| SessionInput::Unreachable { dial }),
            Step::NoSocket(n) => self.word(n, |dial| SessionInput::NoSocket { dial }),
            Step::Written(n) => {
                self.monitor.written(n);
                self.wire(n, Wire::Written, |dial| SessionInput::RequestWritten {
                    dial,
                });
            }
            Step::Says(n, Word::Up) => {
                self.wire(n, Wire::Open, |dial| SessionInput::ServerAccepted { dial })
            }
            Step::Says(n, word) => {
                let outcome = match word {
                    Word::Busy => Outcome::Full,
                    Word::Move => Outcome::Cancelled,
                    _ => Outcome::ServerError,
                };
                if word == Word::Busy {
                    self.monitor.never_ran(n);
                }
                self.word(n, |dial| SessionInput::ServerDeclined {
                    dial,
                    outcome,
                    load: Load::default(),
                });
            }
            Step::HostEnds(n) => {
                let open = self.conn(n).is_some_and(|conn| conn.wire == Wire::Open);
                if open {
                    self.close_both(n, Outcome::Reset);
                } else {
                    self.word(n, |dial| SessionInput::ServerEnded { dial });
                }
            }
            Step::Leaves(n) => {
                let Some(key) = self.came[usize::from(n)] else {
                    return;
                };
                let open = self
                    .exchange
                    .sessions
                    .get(key)
                    .is_some_and(|held| held.machine.state == SessionState::Open);
                self.monitor.leaves(n);
                self.exchange.input(self.now, key, SessionInput::ClientLeft);
                if open {
                    self.close_both(n, Outcome::Ok);
                }
            }
            Step::Speaks(n) => {
                let Some(key) = self.came[usize::from(n)] else {
                    return;
                };
                self.exchange
                    .input(self.now, key, SessionInput::ClientSpoke);
            }
            Step::LeavesUnseen(n) => {
                let held =
                    self.came[usize::from(n)].and_then(|key| self.exchange.sessions.get_mut(key));
                held.into_iter()
                    .for_each(|held| held.driver_data.gone = true);
                self.monitor.goes(n);
            }
            Step::Told(n, told) => self.tell(n, told),
            Step::Probe(n, word) => {
                let server = self.hosts[usize::from(n)].uid;
                self.probes.remove(&server);
                let (outcome, load) = match word {
                    Word::Ok => (
                        Outcome::Ok,
                        Load {
                            connections: Some(1.0),
                            utilization: Some(0.1),
                        },
                    ),
                    Word::Full => (
                        Outcome::Ok,
                        Load {
                            connections: Some(20.0),
                            utilization: Some(1.2),
                        },
                    ),
                    Word::Silent => (Outcome::TimedOut, Load::default()),
                    _ => (Outcome::Unreachable, Load::default()),
                };
                self.exchange.event(
                    self.now,
                    Event::ProbeEnded {
                        server,
                        outcome,
                        load,
                    },
                );
            }
            Step::Due => self.due(),
            Step::Stale(n) => self.stale(n),
            Step::Sigterm => {
                // As the router does, by the same machine.
                let answered = self.now + shape.wait.min(GOING_DOWN);
                let part = |part| self.now + (answered - self.now).mul_f64(part);
                let (moving, moved) = (part(0.7), part(1.05));
                let exit = ShutdownSchedule {
                    serve_until: moving,
                    close_listener_at: moving,
                    migrate_from: moving,
                    migrate_until: moved,
                    reject_pending_at: answered,
                    end_at: answered + GOING_DOWN,
                };
                self.drain.begin_shutdown(exit);
                self.deadlines.set(Due::Leave, moving);
            }
            Step::Drain => {
                self.orders_left -= 1;
                if self.drain.start(self.now, WITHIN, None).is_ok() {
                    self.deadlines.set(Due::Leave, self.now);
                }
            }
            Step::Undrain => {
                self.orders_left -= 1;
                if self.drain.cancel(self.now).is_ok() {
                    self.deadlines.clear(Due::Leave);
                }
            }
        }
    }

    fn leaving(&self) -> bool {
        self.drain.state() == DrainState::Exiting
    }

    /// The drain's next advice, carried out.
    fn leave_on(&mut self) {
        let of = |open: bool| -> Vec<(SlotKey, u8)> {
            let sessions = self.exchange.sessions.iter();
            let those = sessions.filter(|(_, held)| {
                (held.machine.state == SessionState::Open) == open && !held.machine.client_left
            });
            those
                .map(|(key, held)| (key, held.driver_data.number))
                .collect()
        };
        let (open, pending) = (of(true), of(false));
        let clients = open.len() + pending.len();
        let (room, last_came) = (None, self.last_came);
        let view = DrainView {
            open_sessions: open.len(),
            pending_sessions: pending.len(),
            clients,
            last_arrival: last_came,
            spare_capacity: room,
        };
        let advice = self.drain.advise(self.now, &view);
        for (_, number) in open.into_iter().take(advice.migrate) {
            self.close_both(number, Outcome::Cancelled);
        }
        if advice.reject_pending {
            for (key, _) in pending {
                let word = if self.leaving() {
                    SessionInput::ShutdownCutoff
                } else {
                    SessionInput::DrainCutoff
                };
                self.exchange.input(self.now, key, word);
            }
        }
        // Nobody is left, or it would leave them: an exit is the end of this world's sessions.
        let over = self.drain.state() == DrainState::Serving || advice.exit;
        if !over && !self.exchange.sessions.is_empty() {
            self.deadlines.set(Due::Leave, self.now + ADVICE_INTERVAL);
        }
    }

    fn conn(&self, n: u8) -> Option<&Conn> {
        let held = self.exchange.sessions.get(self.came[usize::from(n)]?)?;
        self.conns.get(held.driver_data.server?)
    }

    /// A word about the present dial's connection.
    fn word(&mut self, n: u8, input: impl Fn(u8) -> SessionInput) {
        if let Some((sess, dial)) = self.conn(n).map(|conn| (conn.sess, conn.dial)) {
            self.exchange.input(self.now, sess, input(dial));
        }
    }

    fn wire(&mut self, n: u8, wire: Wire, input: impl Fn(u8) -> SessionInput) {
        let held = self.came[usize::from(n)].and_then(|key| self.exchange.sessions.get(key));
        let server = held.and_then(|held| held.driver_data.server);
        if let Some(conn) = server.and_then(|key| self.conns.get_mut(key)) {
            conn.wire = wire;
        }
        self.word(n, input);
    }

    /// An open connection ends: both sides are closed, and the life hears.
    fn close_both(&mut self, n: u8, outcome: Outcome) {
        let Some(key) = self.came[usize::from(n)] else {
            return;
        };
        let server = self.exchange.sessions.get_mut(key).and_then(|held| {
            held.driver_data.client = false;
            held.driver_data.server.take()
        });
        if let Some(server) = server {
            self.conns.remove(server);
        }
        self.monitor.ended(n);
        self.exchange.input(
            self.now,
            key,
            SessionInput::SessionClosed {
                outcome,
                load: Load::default(),
            },
        );
    }

    fn tell(&mut self, n: u8, told: Told) {
        self.told_left -= 1;
        let host = &mut self.hosts[usize::from(n)];
        let mut entries = Vec::new();
        match told {
            Told::Ready => host.standing = EndpointState::Ready,
            Told::Draining => host.standing = EndpointState::Draining,
            Told::Gone => host.standing = EndpointState::Gone,
            Told::Restarted => host.started = Some(self.now),
            Told::Replaced => {
                let gone = Endpoint {
                    state: EndpointState::Gone,
                    ..host.entry()
                };
                entries.push(gone);
                (host.uid, host.started) = (self.uids, Some(self.now));
                self.uids += 1;
            }
        }
        entries.push(host.entry());
        for entry in &entries {
            self.monitor.told(entry, self.now);
        }
        self.exchange
            .event(self.now, Event::Endpoints(EndpointUpdate::Changes(entries)));
    }

    fn due(&mut self) {
        let Some(at) = self.deadlines.next_due() else {
            return;
        };
        self.now = self.now.max(at);
        match self.deadlines.pop_due(self.now) {
            Some(Due::Tick) => self.exchange.event(self.now, Event::Tick),
            Some(Due::Session(key)) => {
                self.exchange
                    .input(self.now, key, SessionInput::DeadlineReached)
            }
            Some(Due::Leave) => self.leave_on(),
            None => {}
        }
    }

    /// A connection that was closed a moment ago wakes once more: the epoll batch held it already. As in the
    /// router, its key finds whoever has the slot, if the generations let it.
    fn stale(&mut self, n: u8) {
        self.stale_left -= 1;
        let Some(at) = self.closed.iter().position(|closed| closed.1.number == n) else {
            return;
        };
        let (key, was) = self.closed.remove(at);
        let Some(conn) = self.conns.get(key).copied() else {
            // The socket is gone; were its word heard all the same, it would name its dial.
            return self.late(was);
        };
        self.monitor.made_up(conn.number);
        let dial = conn.dial;
        self.exchange
            .input(self.now, conn.sess, SessionInput::ServerEnded { dial });
    }

    /// A closed dial's late word, given to the life past the table of connections: it names its dial.
    fn late(&mut self, was: Conn) {
        if was.wire == Wire::Written {
            self.exchange.input(
                self.now,
                was.sess,
                SessionInput::ServerAccepted { dial: was.dial },
            );
        }
    }

    /// Carries out what the code wants done, as the router does.
    fn settle(&mut self) {
        while let Some(task) = self.exchange.next_task() {
            match task {
                SessionTask::Probe(server) => {
                    self.probes.insert(server);
                }
                // The lists that it is told are inputs of their own.
                SessionTask::PollEndpoints | SessionTask::ZoneChanged(_) => {}
                SessionTask::SetTimer(after) => self.deadlines.set(Due::Tick, self.now + after),
                SessionTask::Session(key, effect) => self.carry_out(key, effect),
            }
        }
    }

    fn carry_out(&mut self, key: SlotKey, effect: SessionEffect) {
        let Some(held) = self.exchange.sessions.get_mut(key) else {
            return;
        };
        let (n, dial, gone) = (
            held.driver_data.number,
            held.machine.dial(),
            held.driver_data.gone && held.driver_data.client,
        );
        match &effect {
            SessionEffect::SetDeadline(_) | SessionEffect::Count(_) | SessionEffect::Log(_) => {}
            effect => self.done.push(format!("session {n}: {effect:?}")),
        }
        // As the router does, who is to be sent something for is looked at once more.
        if gone
            && matches!(
                effect,
                SessionEffect::Connect { .. } | SessionEffect::SendRequest { .. }
            )
        {
            self.monitor.leaves(n);
            if self
                .exchange
                .found_gone(self.now, key, SessionInput::ClientLeft)
            {
                return;
            }
        }
        let Some(held) = self.exchange.sessions.get_mut(key) else {
            return;
        };
        match effect {
            SessionEffect::Connect { server } => {
                let host = self.hosts.iter().find(|host| host.uid == server);
                self.monitor.dials(n, self.now, server, host);
                let conn = Conn {
                    sess: key,
                    number: n,
                    dial,
                    wire: Wire::Connecting,
                };
                held.driver_data.server = Some(self.conns.insert(conn));
            }
            SessionEffect::SendRequest { wait } => self.monitor.asked(n, self.now, wait),
            SessionEffect::CloseServer => {
                if let Some(server) = held.driver_data.server.take()
                    && let Some(conn) = self.conns.remove(server)
                {
                    if self.stale_left > 0 {
                        self.closed.push((server, conn));
                    }
                    self.monitor.closed(n);
                }
            }
            SessionEffect::SetDeadline(Some(at)) => self.deadlines.set(Due::Session(key), at),
            SessionEffect::SetDeadline(None) => self.deadlines.clear(Due::Session(key)),
            SessionEffect::AnswerClient(answer) => {
                if std::mem::replace(&mut held.driver_data.client, false) {
                    self.monitor
                        .answers(n, self.now, matches!(answer, FinalAnswer::Rejected(_)));
                } else {
                    self.monitor.answers_nobody(n);
                }
            }
            SessionEffect::DropClient => held.driver_data.client = false,
            SessionEffect::StartForwarding => {
                let open = held.driver_data.server.is_some();
                self.monitor
                    .opens(n, self.now, open, held.driver_data.client);
            }
            SessionEffect::Migrate => {
                self.close_both(n, Outcome::Cancelled);
            }
            SessionEffect::Forget => {
                let server = held.driver_data.server;
                self.deadlines.clear(Due::Session(key));
                self.exchange.sessions.remove(key);
                if let Some(server) = server {
                    self.conns.remove(server);
                    self.monitor.closed(n);
                }
                self.monitor.forgotten(n);
            }
            SessionEffect::Restore
            | SessionEffect::Log(_)
            | SessionEffect::Count(_)
            | SessionEffect::Notify(_) => {}
        }
    }

    /// The properties that speak of a whole world.
    fn look(&mut self, shape: &Shape) -> Result<(), Breach> {
        self.monitor.late(self.now);
        let sessions = &self.exchange.sessions;
        for (key, conn) in self.conns.iter() {
            let held = sessions
                .get(conn.sess)
                .filter(|held| held.driver_data.server == Some(key));
            if held.is_none() {
                self.monitor
                    .left_behind(conn.number, "a connection that no session knows");
            }
        }
        // A session without a connection and a deadline waits within the module for what probes tell; where
        // there are none, nothing is to come that could end it.
        for (key, held) in sessions.iter().filter(|_| !shape.may_probe) {
            if held.driver_data.server.is_none() && !self.watched(|due| due == Due::Session(key)) {
                self.monitor
                    .left_behind(held.driver_data.number, "a session that nothing will end");
            }
        }
        let stray = |due| matches!(due, Due::Session(key) if sessions.get(key).is_none());
        if self.watched(stray) {
            self.monitor
                .left_behind(0, "a deadline of a session that is gone");
        }
        if self.now > START + shape.arrivals() + shape.wait * 2 + GOING_DOWN && !self.over_or_open()
        {
            self.monitor.left_behind(0, "a session long after its time");
        }
        self.monitor.verdict()
    }

    fn watched(&self, which: impl Fn(Due) -> bool) -> bool {
        let mut deadlines = self.deadlines.clone();
        std::iter::from_fn(|| deadlines.pop_due(Duration::MAX)).any(which)
    }

    fn over_or_open(&self) -> bool {
        self.exchange
            .sessions
            .iter()
            .all(|(_, held)| held.machine.state == SessionState::Open)
    }
}

impl Host {
    fn entry(&self) -> Endpoint {
        Endpoint {
            load_per_connection: None,
            server: self.uid,
            hash_key: u64::from(self.uid) + 1,
            zone: self.zone,
            cell: 0,
            state: self.standing,
            weight: 1.0,
            started_at: self.started,
        }
    }
}
