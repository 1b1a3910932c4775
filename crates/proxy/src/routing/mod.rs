//! Carries out on sockets what the module and the lives of sessions decide. Decides nothing.

mod admin_http;
pub mod admin_socket;
mod admission;
mod client;
mod dial;
mod discovery_watch;
mod endpoints;
mod forwarding;
mod graceful_shutdown;
mod hot_restart;
pub mod metrics;
pub mod peers;
mod probe;
pub mod report;
pub mod session_state;
pub mod session_table;
pub mod warm_start;
pub mod zones;

use crate::protocol::client::{FAILED, refusal};
use crate::protocol::discovery::List;
use crate::transport::poll::{Ready, Want};
use crate::transport::{Deadlines, End, Key, Poll, Slots, Stream, socket};
use admin_http::Calls;
use asterramp_admission::Door;
use asterramp_drain::{Drain, State, Terms};
use asterramp_leader_lease::{Fence, Term};
use asterramp_placement::Event;
use asterramp_placement::event::{Load, Outcome, ServerId};
use asterramp_placement::settings::Setup;
use asterramp_zone_failover::Terms as SiteTerms;
use client::{Budget, Tally};
use discovery_watch::Watch;
use endpoints::Roster;
use hot_restart::{Estate, Kin};
use metrics::Figures;
use peers::Peers;
use report::{Code, Report};
use rustix::fd::OwnedFd;
use session_state::{Answer, Effect, Input, Life, Stage};
use session_table::{Exchange, Held, Task};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use warm_start::{Anew, Keeping, Starting};
use zones::Places;

/// How long discovery is waited for before clients are served by the list of old.
const PATIENCE: Duration = Duration::from_millis(500);
/// How long a connection that was told its end may take to close.
const LINGER: Duration = Duration::from_secs(1);
/// Most bytes that are read of a connection right before it closes.
const UNREAD: usize = 64 << 10;
/// Most bytes that an ended connection may still send.
const DISCARD: usize = 1 << 20;

/// What is made of whole places goes by the deployment's own figures.
fn site_terms(setup: &Setup) -> SiteTerms {
    let probe = setup.connect_within * 3;
    SiteTerms {
        may_look: setup.deployment.may_probe,
        under_way: probe,
        ..SiteTerms::default()
    }
}

/// Sessions are refused by what they are worth and whose they are.
fn gate_terms(setup: &Setup) -> asterramp_admission::Terms {
    let worths = setup.deployment.listeners.iter().map(|l| l.worth).collect();
    let (portions, longest) = (setup.portions.clone(), setup.deployment.come_back);
    asterramp_admission::Terms {
        worths,
        portions,
        longest,
        by_worth: false,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    Watch,
    Door,
    Start,
    Leave,
    Kin,
    Conn(Key),
    Session(Key),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Door,
    /// What can be read once a signal has come.
    Wakes,
    ControlDoor,
    /// An operator's.
    Control,
    CallDoor,
    /// Where a process that replaces this one comes; it, or the one that this one replaces.
    KinDoor,
    Kin,
    /// An operator's, of one call.
    Caller {
        answered: bool,
    },
    /// Has not said yet what it wants.
    Greeting,
    Client(Key),
    Server(Key),
    Probe(ServerId, probe::Stage),
    Watch,
    /// Another proxy that is asked what it knows.
    Peer,
    /// Has been told its end.
    Lingering {
        discarded: usize,
    },
}

#[derive(Debug)]
struct Conn {
    stream: Stream,
    role: Role,
    /// Bytes at the front of what came that are whole, checked lines.
    whole: usize,
    /// When some of them were last passed on, or the connection came, or was told its end.
    passed: Duration,
}

/// What a session has on sockets, beside its life.
#[derive(Debug)]
struct Session {
    client: Option<Key>,
    server: Option<Key>,
    line: Vec<u8>,
    wait_at: std::ops::Range<usize>,
    /// Where it was open before this proxy started.
    open_at: Option<String>,
    /// The client has sent a line that the server has not answered yet.
    asked: bool,
    /// It has left that line for longer than one that lives does.
    quiet: bool,
    /// What the server said of the end.
    farewell: Option<(Outcome, Load)>,
}

/// What a proxy starts from.
pub struct Start {
    pub setup: Setup,
    pub seed: u64,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they do.
    pub operator: Option<SocketAddr>,
    /// Where the process that replaces this one finds it; none where none may.
    pub kin: Option<PathBuf>,
    pub known: List,
    /// How a start goes on from what was saved; `None` where discovery and the list of old are believed.
    pub anew: Option<Anew>,
    pub sockets: usize,
    pub memory: usize,
}

pub struct Router {
    exchange: Exchange<Session>,
    setup: Setup,
    budget: Budget,
    poll: Poll,
    ready: Vec<Ready>,
    conns: Slots<Conn>,
    roster: Roster,
    /// Ids of the sessions there are, by which a second of the same is known.
    ids: HashSet<String>,
    /// What the descriptors are held for; counted as they come and go, since counting them anew for each client
    /// made many clients dear.
    tally: Tally,
    watch: Watch,
    door: Option<Key>,
    /// Whether clients and the front are let in.
    serving: bool,
    deadlines: Deadlines<Due>,
    pub reports: Vec<Report>,
    now: Duration,
    drain: Drain,
    /// Who is let in while room is short.
    gate: Door,
    /// Whether it is kept at all.
    gated: bool,
    /// The drain's state as last told in the log.
    state: State,
    done: bool,
    control: Option<admin_socket::Control>,
    /// Against late orders of the fleet's owners.
    fence: Fence,
    calls: Option<Calls>,
    kin: Option<Kin>,
    starting: Option<Starting>,
    peers: Peers,
    keeping: Option<Keeping>,
    figures: Figures,
    began: Duration,
    last_came: Duration,
    taken: u64,
}

impl Router {
    pub fn new(start: Start, now: Duration) -> io::Result<Router> {
        let Start {
            setup,
            seed,
            listen,
            discovery,
            operator,
            kin,
            known,
            anew,
            sockets,
            memory,
        } = start;
        let estate = kin
            .as_ref()
            .map(|path| Estate::ask(path, listen))
            .unwrap_or(Ok(None));
        let (estate, why) = estate.map_or_else(|why| (None, Some(why)), |estate| (estate, None));
        let rev = estate.as_ref().map_or(known.rev, |estate| estate.list.rev);
        let mut router = Router {
            exchange: Exchange::new(setup.deployment.clone(), seed, setup.connect_within),
            budget: Budget::new(sockets, memory),
            poll: Poll::new()?,
            ready: Vec::new(),
            conns: Slots::default(),
            ids: HashSet::new(),
            tally: Tally::default(),
            roster: Roster::new(setup.zones.clone()),
            watch: Watch::new(discovery, rev, &setup),
            door: None,
            serving: false,
            deadlines: Deadlines::default(),
            reports: Vec::new(),
            now,
            drain: Drain::new(Terms::default()),
            gate: Door::new(gate_terms(&setup), seed),
            gated: true,
            state: State::Serving,
            done: false,
            control: None,
            fence: Fence::new(now.as_micros() as u64, 0),
            calls: None,
            kin: None,
            starting: None,
            peers: Peers::default(),
            keeping: None,
            figures: Figures::new(setup.listeners.len()),
            began: now,
            last_came: Duration::ZERO,
            taken: 0,
            setup,
        };
        router.exchange.places = Places::new(router.setup.zones.len(), site_terms(&router.setup));
        let named = |key: &str, at: SocketAddr, e: io::Error| {
            io::Error::new(e.kind(), format!("{key}: {at}: {e}"))
        };
        why.into_iter()
            .for_each(|why| router.line(Code::KinBad, format!("elder why={why:?}")));
        let (door, link, list) = match estate {
            Some(estate) => (estate.door, Some(estate.link), Some(estate.list)),
            None => {
                let door = socket::listen(listen, operator.is_some());
                (
                    door.map_err(|e| named("listen", listen, e.into()))?,
                    None,
                    None,
                )
            }
        };
        if let Some(path) = kin {
            router.meet_kin(path, link);
        }
        router.door = router.keep(door, Role::Door, Want::default());
        if let Some(at) = operator {
            router
                .open_calls(at)
                .map_err(|e| named("operator", at, e))?;
        }
        match list {
            Some(list) => {
                router.deadlines.set(Due::Door, now + PATIENCE);
                router.told_by_elder(list);
            }
            None => match anew {
                Some(anew) => {
                    // All is asked for: what changed since a list of old says nothing of a discovery that started anew.
                    router.watch = Watch::new(discovery, 0, &router.setup);
                    router.begin_anew(anew, &known);
                    router.connect_watch();
                }
                None => {
                    router.deadlines.set(Due::Door, now + PATIENCE);
                    router.known(known);
                }
            },
        }
        router.settle();
        Ok(router)
    }

    /// What is made of whole places goes by other terms from now on; by none, if it is not wanted.
    pub fn sites_by(&mut self, terms: Option<SiteTerms>) {
        match (&mut self.exchange.places, terms) {
            (Some(places), Some(terms)) => {
                let SiteTerms {
                    may_look,
                    under_way,
                    ..
                } = site_terms(&self.setup);
                places.sites.terms(SiteTerms {
                    may_look,
                    under_way,
                    ..terms
                });
            }
            (places, None) => *places = None,
            (None, Some(_)) => {}
        }
    }

    /// The highest term that the process before this one kept.
    pub fn fence_from(&mut self, kept: Term) {
        self.fence = Fence::new(self.began.as_micros() as u64, kept);
    }

    /// Whether set-ups are paced while room is short, and whether utility alone orders them where nobody has told more.
    pub fn gate_by(&mut self, paced: bool, by_worth: bool) {
        self.gated = paced;
        self.gate.by_worth(by_worth);
    }

    /// Waits for sockets, no longer than until the next deadline.
    pub fn wait(&mut self, now: Duration) -> io::Result<()> {
        let next = self
            .deadlines
            .next()
            .map_or(PATIENCE, |at| at.saturating_sub(now));
        Ok(self.poll.wait(next, &mut self.ready)?)
    }

    /// Takes in what is ready and what is due.
    pub fn run(&mut self, now: Duration) {
        self.now = now;
        let mut ready = std::mem::take(&mut self.ready);
        // Operators are answered in time whatever else there is to do.
        if self.calls.is_some() {
            ready.sort_by_key(|event| !self.is_operators(event.key));
        }
        for event in ready.drain(..) {
            self.woken(event);
            self.settle();
        }
        self.ready = ready;
        while let Some(due) = self.deadlines.pop(now) {
            self.fell_due(due);
            self.settle();
        }
    }

    /// Wakes at what comes there, whose bytes say nothing.
    pub fn wake_by(&mut self, wakes: OwnedFd) -> io::Result<()> {
        let kept = self.keep(
            wakes,
            Role::Wakes,
            Want {
                read: true,
                write: false,
            },
        );
        kept.map(drop)
            .ok_or_else(|| io::Error::other("it cannot be watched"))
    }

    pub fn is_done(&self) -> bool {
        self.done
    }

    fn is_operators(&self, key: Key) -> bool {
        let role = self.conns.get(key).map(|conn| conn.role);
        matches!(role, Some(Role::CallDoor | Role::Caller { .. }))
    }

    fn woken(&mut self, event: Ready) {
        // An event of the wake-up in which it was offered: what came is read by one process alone.
        if self.is_lent(event.key) {
            return;
        }
        let Some(conn) = self.conns.get_mut(event.key) else {
            return;
        };
        if conn.role == Role::Door {
            return self.accept();
        }
        if conn.role == Role::ControlDoor {
            return self.accept_control();
        }
        if conn.role == Role::KinDoor {
            return self.accept_kin();
        }
        if conn.role == Role::Kin {
            return self.kin_woken(event.key);
        }
        if conn.role == Role::CallDoor {
            return self.accept_calls();
        }
        if conn.role == Role::Wakes {
            return conn.stream.discard(UNREAD);
        }
        if event.write {
            conn.stream.flush();
        }
        match conn.role {
            Role::Server(sess) => self.server_woken(sess, event),
            Role::Probe(server, stage) => self.probe_woken(server, stage, event),
            Role::Watch => self.watch_woken(event),
            Role::Peer => self.peer_woken(event),
            role => {
                conn.stream.fill(event.broken);
                match role {
                    Role::Client(sess) => self.client_woken(sess),
                    Role::Greeting => self.greeted(event.key),
                    Role::Control => self.control_woken(event.key),
                    Role::Caller { answered } => self.caller_woken(event.key, answered),
                    _ => self.lingered(event.key),
                }
            }
        }
    }

    fn fell_due(&mut self, due: Due) {
        match due {
            Due::Tick => {
                self.event(Event::Tick);
                self.weigh_room();
                self.keep_on();
            }
            Due::Watch => self.watch_due(),
            Due::Door if !self.serving => self.serve("list of old"),
            Due::Door => self.open_door(),
            Due::Start => self.start_due(),
            Due::Leave => self.leave_on(),
            Due::Kin => self.offer_on(),
            Due::Session(sess) => self.session_due(sess),
            Due::Conn(key) => self.conn_due(key),
        }
    }

    fn conn_due(&mut self, key: Key) {
        match self.conns.get(key).map(|conn| conn.role) {
            Some(Role::Probe(server, _)) => self.probe_ended(server, Outcome::TimedOut),
            Some(Role::Greeting) => self.greeting_due(key),
            Some(Role::Control) => self.drop_control(key),
            Some(Role::Kin) => self.kin_due(),
            Some(Role::Peer) => self.peer_ended(key, "it does not answer in time"),
            Some(Role::Caller { answered }) => self.caller_due(key, answered),
            _ => drop(self.close(key)),
        }
    }

    /// A stranger has had its time. What it wants may have come this moment.
    fn greeting_due(&mut self, key: Key) {
        self.woken(Ready {
            key,
            write: false,
            broken: false,
        });
        self.settle();
        if self
            .conns
            .get(key)
            .is_some_and(|conn| conn.role == Role::Greeting)
        {
            self.line(Code::ClientSilent, "client");
            self.dismiss(key, &[FAILED]);
        }
    }

    /// Something happens to a session.
    fn input(&mut self, sess: Key, input: Input) {
        self.exchange.input(self.now, sess, input);
    }

    /// Something that is no session's own.
    fn event(&mut self, event: Event) {
        self.exchange.event(self.now, event);
    }

    fn life(&self, sess: Key) -> Option<&Life> {
        self.exchange.sessions.get(sess).map(|held| &held.life)
    }

    fn own(&mut self, sess: Key) -> Option<&mut Session> {
        self.exchange
            .sessions
            .get_mut(sess)
            .map(|held| &mut held.own)
    }

    /// Carries out what there is to do, until there is no more.
    fn settle(&mut self) {
        while let Some(task) = self.exchange.task() {
            match task {
                Task::Probe(server) => self.probe(server),
                Task::Subscribe => self.connect_watch(),
                Task::Turned((place, state, why)) => {
                    let name = self
                        .setup
                        .zones
                        .get(usize::from(place))
                        .map_or("-", |name| name.as_str());
                    self.line(
                        Code::Place,
                        format!("place={name} state={} why={why:?}", state.name()),
                    );
                }
                Task::Wake(after) => self.deadlines.set(Due::Tick, self.now + after),
                Task::For(sess, effect) => self.carry_out(sess, effect),
            }
        }
    }

    fn carry_out(&mut self, sess: Key, effect: Effect) {
        match effect {
            Effect::Connect { server } => self.dial(sess, server),
            Effect::Ask { wait } => self.ask(sess, wait),
            Effect::Close => {
                let server = self.take_server(sess);
                server.into_iter().for_each(|key| drop(self.close(key)));
            }
            Effect::Watch(Some(at)) => self.deadlines.set(Due::Session(sess), at),
            Effect::Watch(None) => self.deadlines.clear(Due::Session(sess)),
            Effect::Answer(Answer::Busy(come_back)) => {
                self.answer(sess, refusal(come_back).as_bytes(), Code::Refused);
            }
            Effect::Answer(Answer::Failed(code)) => self.answer(sess, FAILED, code),
            Effect::Drop => {
                let client = self.take_client(sess);
                if let Some(key) = client {
                    self.ended(sess, metrics::End::Failure);
                    self.close(key);
                }
            }
            Effect::Pass => self.relay(sess),
            Effect::SendAway => self.move_away(sess, Code::Relieved),
            Effect::Restore => self.restore(sess),
            Effect::Forget => self.forget(sess),
            Effect::Log(code) => self.log_end(sess, code),
            Effect::Count(code) => {
                if matches!(code, Code::Up | Code::Restored) {
                    self.ended(sess, metrics::End::Success);
                }
                self.count(code);
            }
            // The exchange has told it.
            Effect::Tell(_) => {}
        }
    }

    /// A session has come to its one end, as its client sees it.
    fn ended(&mut self, sess: Key, end: metrics::End) {
        let listener = self.life(sess).map(|life| life.arrival.listener);
        listener
            .into_iter()
            .for_each(|listener| self.figures.ended(listener, end));
    }

    /// Parts a session from its client's connection. A server's that stays behind holds one descriptor, where
    /// the two held two, as a client alone does.
    fn take_client(&mut self, sess: Key) -> Option<Key> {
        let own = self.own(sess)?;
        let (client, alone) = (own.client.take(), own.server.is_some());
        self.tally.lone += usize::from(client.is_some() && alone);
        client
    }

    fn take_server(&mut self, sess: Key) -> Option<Key> {
        let own = self.own(sess)?;
        let (server, alone) = (own.server.take(), own.client.is_none());
        self.tally.lone -= usize::from(server.is_some() && alone);
        server
    }

    fn forget(&mut self, sess: Key) {
        let (client, server) = (self.take_client(sess), self.take_server(sess));
        if let Some(Held { own, .. }) = self.exchange.sessions.remove(sess) {
            self.deadlines.clear(Due::Session(sess));
            self.ids.remove(own.id());
            for key in [client, server].into_iter().flatten() {
                self.close(key);
            }
        }
    }

    /// Takes a socket in; `None` if it cannot be watched.
    fn keep(&mut self, fd: OwnedFd, role: Role, want: Want) -> Option<Key> {
        self.keep_stream(Stream::new(fd, want), role, 0)
    }

    /// The same of one with bytes that came already, the first `whole` of which are checked lines.
    fn keep_stream(&mut self, stream: Stream, role: Role, whole: usize) -> Option<Key> {
        let want = stream.want;
        let conn = Conn {
            stream,
            role,
            whole,
            passed: self.now,
        };
        let key = self.conns.insert(conn);
        let added = self.poll.add(&self.conns.get(key)?.stream, key, want);
        if added.is_err() {
            self.conns.remove(key);
            return None;
        }
        self.tally.change(None, Some(role));
        Some(key)
    }

    /// Takes a connection out of the tables; dropped, it closes. What a client or the front has said and nobody read
    /// is read before: a close over it would reset the connection, and with it what was written last. Not so where
    /// another process may have it: that one is to read it, and this one's close ends nothing.
    fn close(&mut self, key: Key) -> Option<Stream> {
        let lent = self.is_lent(key);
        let (role, mut stream) = self.let_out(key)?;
        let theirs = matches!(
            role,
            Role::Greeting | Role::Client(_) | Role::Lingering { .. } | Role::Caller { .. }
        );
        if theirs && !lent {
            stream.discard(UNREAD);
        }
        Some(stream)
    }

    /// Takes a connection out of the tables as it is.
    fn let_out(&mut self, key: Key) -> Option<(Role, Stream)> {
        self.deadlines.clear(Due::Conn(key));
        let conn = self.conns.remove(key)?;
        self.tally.change(Some(conn.role), None);
        Some((conn.role, conn.stream))
    }

    /// What a connection is for from now on.
    fn turn(&mut self, key: Key, role: Role) {
        if let Some(conn) = self.conns.get_mut(key) {
            let before = std::mem::replace(&mut conn.role, role);
            self.tally.change(Some(before), Some(role));
        }
    }

    fn want(&mut self, key: Key, want: Want) {
        if let Some(conn) = self
            .conns
            .get_mut(key)
            .filter(|conn| conn.stream.want != want)
        {
            conn.stream.want = want;
            // It fails only for a socket that is not watched, and all kept ones are.
            let _ = self.poll.change(&conn.stream, key, want);
        }
    }

    /// Watches for what a connection that waits for its own texts and answers can do next.
    fn want_own(&mut self, key: Key) {
        if let Some(conn) = self.conns.get(key) {
            self.want(
                key,
                Want {
                    read: conn.stream.may_read(),
                    write: !conn.stream.sent(),
                },
            );
        }
    }

    /// Tells one side its end, if there is anything to tell, ends sending and waits a little for it to close:
    /// closing at once would reset the connection over bytes not read yet, and the answer with it.
    fn dismiss(&mut self, key: Key, text: &[&[u8]]) {
        if let Some(conn) = self.conns.get_mut(key) {
            conn.stream.send(text);
            conn.passed = self.now;
            self.turn(key, Role::Lingering { discarded: 0 });
            self.deadlines.set(Due::Conn(key), self.now + LINGER);
            self.lingered(key);
        }
    }

    fn lingered(&mut self, key: Key) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Role::Lingering { discarded } = &mut conn.role else {
            return;
        };
        let n = conn.stream.inbound.bytes().len();
        conn.stream.inbound.consume(n);
        *discarded += n;
        let over = conn.stream.ended.is_some() && conn.stream.sent() || *discarded > DISCARD;
        if over || conn.stream.ended == Some(End::Reset) {
            self.close(key);
            return;
        }
        if conn.stream.sent() {
            conn.stream.end_sending();
        }
        self.want_own(key);
    }

    fn count(&mut self, code: Code) {
        self.reports.push(Report::Count(code));
    }

    fn line(&mut self, code: Code, about: impl Into<String>) {
        self.reports.push(Report::Line(code, about.into()));
    }
}
