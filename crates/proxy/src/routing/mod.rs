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
use admin_http::AdminHttp;
use asterramp_admission::AdmissionControl;
use asterramp_drain::{Drain, DrainSettings, DrainState};
use asterramp_leader_lease::{FencingGuard, Term};
use asterramp_placement::Event;
use asterramp_placement::event::{Load, Outcome, ServerId};
use asterramp_placement::settings::Settings;
use asterramp_zone_failover::ZoneFailoverSettings as SiteTerms;
use client::{ConnectionCounts, ResourceBudget};
use discovery_watch::DiscoveryWatch;
use endpoints::EndpointTable;
use hot_restart::{HotRestart, InheritedListener};
use metrics::Metrics;
use peers::Peers;
use report::{ReasonCode, Report};
use rustix::fd::OwnedFd;
use session_state::{FinalAnswer, SessionEffect, SessionInput, SessionMachine, SessionState};
use session_table::{SessionSlot, SessionTable, SessionTask};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use warm_start::{SnapshotSchedule, WarmStartPlan, WarmStartProgress};
use zones::ZoneTracker;

/// How long discovery is waited for before clients are served by the list of old.
const PATIENCE: Duration = Duration::from_millis(500);
/// How long a connection that was told its end may take to close.
const LINGER: Duration = Duration::from_secs(1);
/// Most bytes that are read of a connection right before it closes.
const UNREAD: usize = 64 << 10;
/// Most bytes that an ended connection may still send.
const DISCARD: usize = 1 << 20;

/// What is made of whole places goes by the deployment's own figures.
fn site_terms(setup: &Settings) -> SiteTerms {
    let probe = setup.connect_timeout * 3;
    SiteTerms {
        may_look: setup.deployment.may_probe,
        under_way: probe,
        ..SiteTerms::default()
    }
}

/// Sessions are refused by what they are worth and whose they are.
fn gate_terms(setup: &Settings) -> asterramp_admission::AdmissionSettings {
    let worths = setup
        .deployment
        .listeners
        .iter()
        .map(|l| l.priority_weight)
        .collect();
    let (portions, longest) = (
        setup.tenant_shares.clone(),
        setup.deployment.max_retry_after,
    );
    asterramp_admission::AdmissionSettings {
        worths,
        portions,
        longest,
        by_worth: false,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKey {
    Tick,
    DiscoveryWatch,
    Listener,
    WarmStart,
    Shutdown,
    HotRestart,
    Connection(Key),
    Session(Key),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionRole {
    Listener,
    /// What can be read once a signal has come.
    SignalPipe,
    AdminSocketListener,
    /// An operator's.
    AdminSocket,
    AdminHttpListener,
    /// Where a process that replaces this one comes; it, or the one that this one replaces.
    HotRestartListener,
    HotRestart,
    /// An operator's, of one call.
    AdminHttp {
        answered: bool,
    },
    /// Has not said yet what it wants.
    PendingClient,
    Client(Key),
    Server(Key),
    Probe(ServerId, probe::ProbeStage),
    DiscoveryWatch,
    /// Another proxy that is asked what it knows.
    Peer,
    /// Has been told its end.
    Lingering {
        discarded: usize,
    },
}

#[derive(Debug)]
struct Connection {
    stream: Stream,
    role: ConnectionRole,
    /// Bytes at the front of what came that are whole, checked lines.
    complete_len: usize,
    /// When some of them were last passed on, or the connection came, or was told its end.
    last_activity: Duration,
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
    pub settings: Settings,
    pub seed: u64,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they do.
    pub operator: Option<SocketAddr>,
    /// Where the process that replaces this one finds it; none where none may.
    pub hot_restart_socket: Option<PathBuf>,
    pub known_endpoints: List,
    /// How a start goes on from what was saved; `None` where discovery and the list of old are believed.
    pub warm_start: Option<WarmStartPlan>,
    pub max_descriptors: usize,
    pub max_memory_mb: usize,
}

pub struct Router {
    session_table: SessionTable<Session>,
    settings: Settings,
    resource_budget: ResourceBudget,
    poll: Poll,
    ready: Vec<Ready>,
    connections: Slots<Connection>,
    endpoints: EndpointTable,
    /// Ids of the sessions there are, by which a second of the same is known.
    session_ids: HashSet<String>,
    /// What the descriptors are held for; counted as they come and go, since counting them anew for each client
    /// made many clients dear.
    connection_counts: ConnectionCounts,
    discovery_watch: DiscoveryWatch,
    listener: Option<Key>,
    /// Whether clients and the front are let in.
    serving: bool,
    deadlines: Deadlines<TimerKey>,
    pub log_events: Vec<Report>,
    now: Duration,
    drain: Drain,
    /// Who is let in while room is short.
    admission: AdmissionControl,
    /// Whether it is kept at all.
    admission_enabled: bool,
    /// The drain's state as last told in the log.
    logged_drain_state: DrainState,
    done: bool,
    admin_socket: Option<admin_socket::AdminSocket>,
    /// Against late orders of the fleet's owners.
    fencing_guard: FencingGuard,
    admin_http: Option<AdminHttp>,
    hot_restart: Option<HotRestart>,
    warm_start: Option<WarmStartProgress>,
    peers: Peers,
    snapshots: Option<SnapshotSchedule>,
    metrics: Metrics,
    started_at: Duration,
    last_arrival: Duration,
    sessions_accepted: u64,
}

impl Router {
    pub fn new(start: Start, now: Duration) -> io::Result<Router> {
        let Start {
            settings: setup,
            seed,
            listen,
            discovery,
            operator,
            hot_restart_socket: kin,
            known_endpoints: known,
            warm_start: anew,
            max_descriptors: sockets,
            max_memory_mb: memory,
        } = start;
        let estate = kin
            .as_ref()
            .map(|path| InheritedListener::request(path, listen))
            .unwrap_or(Ok(None));
        let (estate, why) =
            estate.map_or_else(|why| (None, Some(why.to_string())), |estate| (estate, None));
        let rev = estate.as_ref().map_or(known.rev, |estate| estate.list.rev);
        let mut router = Router {
            session_table: SessionTable::new(setup.deployment.clone(), seed, setup.connect_timeout),
            resource_budget: ResourceBudget::new(sockets, memory),
            poll: Poll::new()?,
            ready: Vec::new(),
            connections: Slots::default(),
            session_ids: HashSet::new(),
            connection_counts: ConnectionCounts::default(),
            endpoints: EndpointTable::new(setup.zones.clone()),
            discovery_watch: DiscoveryWatch::new(discovery, rev, &setup),
            listener: None,
            serving: false,
            deadlines: Deadlines::default(),
            log_events: Vec::new(),
            now,
            drain: Drain::new(DrainSettings::default()),
            admission: AdmissionControl::new(gate_terms(&setup), seed),
            admission_enabled: true,
            logged_drain_state: DrainState::Serving,
            done: false,
            admin_socket: None,
            fencing_guard: FencingGuard::new(now.as_micros() as u64, 0),
            admin_http: None,
            hot_restart: None,
            warm_start: None,
            peers: Peers::default(),
            snapshots: None,
            metrics: Metrics::new(setup.listeners.len()),
            started_at: now,
            last_arrival: Duration::ZERO,
            sessions_accepted: 0,
            settings: setup,
        };
        router.session_table.zones =
            ZoneTracker::new(router.settings.zones.len(), site_terms(&router.settings));
        let named = |key: &str, at: SocketAddr, e: io::Error| {
            io::Error::new(e.kind(), format!("{key}: {at}: {e}"))
        };
        why.into_iter().for_each(|why| {
            router.log_event(ReasonCode::HandoverBad, format!("elder why={why:?}"))
        });
        let (door, link, list) = match estate {
            Some(estate) => (estate.listener, Some(estate.link), Some(estate.list)),
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
            router.open_hot_restart(path, link);
        }
        router.listener = router.register(door, ConnectionRole::Listener, Want::default());
        if let Some(at) = operator {
            router
                .open_admin_http(at)
                .map_err(|e| named("operator", at, e))?;
        }
        match list {
            Some(list) => {
                router.deadlines.set(TimerKey::Listener, now + PATIENCE);
                router.apply_inherited_list(list);
            }
            None => match anew {
                Some(anew) => {
                    // All is asked for: what changed since a list of old says nothing of a discovery that started anew.
                    router.discovery_watch = DiscoveryWatch::new(discovery, 0, &router.settings);
                    router.begin_warm_start(anew, &known);
                    router.connect_watch();
                }
                None => {
                    router.deadlines.set(TimerKey::Listener, now + PATIENCE);
                    router.apply_known_list(known);
                }
            },
        }
        router.run_tasks();
        Ok(router)
    }

    /// What is made of whole places goes by other terms from now on; by none, if it is not wanted.
    pub fn configure_zone_failover(&mut self, terms: Option<SiteTerms>) {
        match (&mut self.session_table.zones, terms) {
            (Some(places), Some(terms)) => {
                let SiteTerms {
                    may_look,
                    under_way,
                    ..
                } = site_terms(&self.settings);
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
    pub fn restore_highest_term(&mut self, kept: Term) {
        self.fencing_guard = FencingGuard::new(self.started_at.as_micros() as u64, kept);
    }

    /// Whether set-ups are paced while room is short, and whether utility alone orders them where nobody has told more.
    pub fn configure_admission(&mut self, paced: bool, by_worth: bool) {
        self.admission_enabled = paced;
        self.admission.by_worth(by_worth);
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
    pub fn process(&mut self, now: Duration) {
        self.now = now;
        let mut ready = std::mem::take(&mut self.ready);
        // Operators are answered in time whatever else there is to do.
        if self.admin_http.is_some() {
            ready.sort_by_key(|event| !self.is_operators(event.key));
        }
        for event in ready.drain(..) {
            self.connection_ready(event);
            self.run_tasks();
        }
        self.ready = ready;
        while let Some(due) = self.deadlines.pop(now) {
            self.deadline_reached(due);
            self.run_tasks();
        }
    }

    /// Wakes at what comes there, whose bytes say nothing.
    pub fn add_wake_source(&mut self, wakes: OwnedFd) -> io::Result<()> {
        let kept = self.register(
            wakes,
            ConnectionRole::SignalPipe,
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
        let role = self.connections.get(key).map(|conn| conn.role);
        matches!(
            role,
            Some(ConnectionRole::AdminHttpListener | ConnectionRole::AdminHttp { .. })
        )
    }

    fn connection_ready(&mut self, event: Ready) {
        // An event of the wake-up in which it was offered: what came is read by one process alone.
        if self.is_connection_offered(event.key) {
            return;
        }
        let Some(conn) = self.connections.get_mut(event.key) else {
            return;
        };
        if conn.role == ConnectionRole::Listener {
            return self.accept();
        }
        if conn.role == ConnectionRole::AdminSocketListener {
            return self.accept_admin_socket();
        }
        if conn.role == ConnectionRole::HotRestartListener {
            return self.accept_successor();
        }
        if conn.role == ConnectionRole::HotRestart {
            return self.hot_restart_ready(event.key);
        }
        if conn.role == ConnectionRole::AdminHttpListener {
            return self.accept_admin_http();
        }
        if conn.role == ConnectionRole::SignalPipe {
            return conn.stream.discard(UNREAD);
        }
        if event.write {
            conn.stream.flush();
        }
        match conn.role {
            ConnectionRole::Server(sess) => self.server_ready(sess, event),
            ConnectionRole::Probe(server, stage) => self.probe_ready(server, stage, event),
            ConnectionRole::DiscoveryWatch => self.watch_ready(event),
            ConnectionRole::Peer => self.peer_ready(event),
            role => {
                conn.stream.fill(event.broken);
                match role {
                    ConnectionRole::Client(sess) => self.client_ready(sess),
                    ConnectionRole::PendingClient => self.read_greeting(event.key),
                    ConnectionRole::AdminSocket => self.admin_socket_ready(event.key),
                    ConnectionRole::AdminHttp { answered } => {
                        self.admin_http_ready(event.key, answered)
                    }
                    _ => self.lingered(event.key),
                }
            }
        }
    }

    fn deadline_reached(&mut self, due: TimerKey) {
        match due {
            TimerKey::Tick => {
                self.event(Event::Tick);
                self.update_admission_rate();
                self.save_snapshot_if_due();
            }
            TimerKey::DiscoveryWatch => self.watch_deadline(),
            TimerKey::Listener if !self.serving => self.start_serving("list of old"),
            TimerKey::Listener => self.open_listener(),
            TimerKey::WarmStart => self.warm_start_deadline(),
            TimerKey::Shutdown => self.continue_shutdown(),
            TimerKey::HotRestart => self.continue_offers(),
            TimerKey::Session(sess) => self.session_deadline(sess),
            TimerKey::Connection(key) => self.connection_deadline(key),
        }
    }

    fn connection_deadline(&mut self, key: Key) {
        match self.connections.get(key).map(|conn| conn.role) {
            Some(ConnectionRole::Probe(server, _)) => self.finish_probe(server, Outcome::TimedOut),
            Some(ConnectionRole::PendingClient) => self.greeting_due(key),
            Some(ConnectionRole::AdminSocket) => self.close_admin_connection(key),
            Some(ConnectionRole::HotRestart) => self.hot_restart_deadline(),
            Some(ConnectionRole::Peer) => self.peer_closed(key, "it does not answer in time"),
            Some(ConnectionRole::AdminHttp { answered }) => self.admin_http_deadline(key, answered),
            _ => drop(self.close(key)),
        }
    }

    /// A stranger has had its time. What it wants may have come this moment.
    fn greeting_due(&mut self, key: Key) {
        self.connection_ready(Ready {
            key,
            write: false,
            broken: false,
        });
        self.run_tasks();
        if self
            .connections
            .get(key)
            .is_some_and(|conn| conn.role == ConnectionRole::PendingClient)
        {
            self.log_event(ReasonCode::ClientSilent, "client");
            self.close_gracefully(key, &[FAILED]);
        }
    }

    /// Something happens to a session.
    fn input(&mut self, sess: Key, input: SessionInput) {
        self.session_table.input(self.now, sess, input);
    }

    /// Something that is no session's own.
    fn event(&mut self, event: Event) {
        self.session_table.event(self.now, event);
    }

    fn life(&self, sess: Key) -> Option<&SessionMachine> {
        self.session_table
            .sessions
            .get(sess)
            .map(|held| &held.machine)
    }

    fn own(&mut self, sess: Key) -> Option<&mut Session> {
        self.session_table
            .sessions
            .get_mut(sess)
            .map(|held| &mut held.driver_data)
    }

    /// Carries out what there is to do, until there is no more.
    fn run_tasks(&mut self) {
        while let Some(task) = self.session_table.task() {
            match task {
                SessionTask::Probe(server) => self.probe(server),
                SessionTask::Subscribe => self.connect_watch(),
                SessionTask::Turned((place, state, why)) => {
                    let name = self
                        .settings
                        .zones
                        .get(usize::from(place))
                        .map_or("-", |name| name.as_str());
                    self.log_event(
                        ReasonCode::Place,
                        format!("place={name} state={} why={why:?}", state.name()),
                    );
                }
                SessionTask::Wake(after) => self.deadlines.set(TimerKey::Tick, self.now + after),
                SessionTask::For(sess, effect) => self.carry_out(sess, effect),
            }
        }
    }

    fn carry_out(&mut self, sess: Key, effect: SessionEffect) {
        match effect {
            SessionEffect::Connect { server } => self.dial(sess, server),
            SessionEffect::Ask { wait } => self.send_request_line(sess, wait),
            SessionEffect::Close => {
                let server = self.take_server(sess);
                server.into_iter().for_each(|key| drop(self.close(key)));
            }
            SessionEffect::Watch(Some(at)) => self.deadlines.set(TimerKey::Session(sess), at),
            SessionEffect::Watch(None) => self.deadlines.clear(TimerKey::Session(sess)),
            SessionEffect::Answer(FinalAnswer::Busy(come_back)) => {
                self.answer_client(sess, refusal(come_back).as_bytes(), ReasonCode::Refused);
            }
            SessionEffect::Answer(FinalAnswer::Failed(code)) => {
                self.answer_client(sess, FAILED, code)
            }
            SessionEffect::Drop => {
                let client = self.take_client(sess);
                if let Some(key) = client {
                    self.ended(sess, metrics::SessionEnd::Failure);
                    self.close(key);
                }
            }
            SessionEffect::Pass => self.forward(sess),
            SessionEffect::SendAway => self.migrate(sess, ReasonCode::Relieved),
            SessionEffect::Restore => self.restore(sess),
            SessionEffect::Forget => self.forget(sess),
            SessionEffect::Log(code) => self.log_session_end(sess, code),
            SessionEffect::Count(code) => {
                if matches!(code, ReasonCode::Up | ReasonCode::Restored) {
                    self.ended(sess, metrics::SessionEnd::Success);
                }
                self.count_event(code);
            }
            // The exchange has told it.
            SessionEffect::Tell(_) => {}
        }
    }

    /// A session has come to its one end, as its client sees it.
    fn ended(&mut self, sess: Key, end: metrics::SessionEnd) {
        let listener = self.life(sess).map(|life| life.arrival.listener);
        listener
            .into_iter()
            .for_each(|listener| self.metrics.ended(listener, end));
    }

    /// Parts a session from its client's connection. A server's that stays behind holds one descriptor, where
    /// the two held two, as a client alone does.
    fn take_client(&mut self, sess: Key) -> Option<Key> {
        let own = self.own(sess)?;
        let (client, alone) = (own.client.take(), own.server.is_some());
        self.connection_counts.lone += usize::from(client.is_some() && alone);
        client
    }

    fn take_server(&mut self, sess: Key) -> Option<Key> {
        let own = self.own(sess)?;
        let (server, alone) = (own.server.take(), own.client.is_none());
        self.connection_counts.lone -= usize::from(server.is_some() && alone);
        server
    }

    fn forget(&mut self, sess: Key) {
        let (client, server) = (self.take_client(sess), self.take_server(sess));
        if let Some(SessionSlot {
            driver_data: own, ..
        }) = self.session_table.sessions.remove(sess)
        {
            self.deadlines.clear(TimerKey::Session(sess));
            self.session_ids.remove(own.id());
            for key in [client, server].into_iter().flatten() {
                self.close(key);
            }
        }
    }

    /// Takes a socket in; `None` if it cannot be watched.
    fn register(&mut self, fd: OwnedFd, role: ConnectionRole, want: Want) -> Option<Key> {
        self.register_stream(Stream::new(fd, want), role, 0)
    }

    /// The same of one with bytes that came already, the first `whole` of which are checked lines.
    fn register_stream(
        &mut self,
        stream: Stream,
        role: ConnectionRole,
        whole: usize,
    ) -> Option<Key> {
        let want = stream.want;
        let conn = Connection {
            stream,
            role,
            complete_len: whole,
            last_activity: self.now,
        };
        let key = self.connections.insert(conn);
        let added = self.poll.add(&self.connections.get(key)?.stream, key, want);
        if added.is_err() {
            self.connections.remove(key);
            return None;
        }
        self.connection_counts.change(None, Some(role));
        Some(key)
    }

    /// Takes a connection out of the tables; dropped, it closes. What a client or the front has said and nobody read
    /// is read before: a close over it would reset the connection, and with it what was written last. Not so where
    /// another process may have it: that one is to read it, and this one's close ends nothing.
    fn close(&mut self, key: Key) -> Option<Stream> {
        let lent = self.is_connection_offered(key);
        let (role, mut stream) = self.let_out(key)?;
        let theirs = matches!(
            role,
            ConnectionRole::PendingClient
                | ConnectionRole::Client(_)
                | ConnectionRole::Lingering { .. }
                | ConnectionRole::AdminHttp { .. }
        );
        if theirs && !lent {
            stream.discard(UNREAD);
        }
        Some(stream)
    }

    /// Takes a connection out of the tables as it is.
    fn let_out(&mut self, key: Key) -> Option<(ConnectionRole, Stream)> {
        self.deadlines.clear(TimerKey::Connection(key));
        let conn = self.connections.remove(key)?;
        self.connection_counts.change(Some(conn.role), None);
        Some((conn.role, conn.stream))
    }

    /// What a connection is for from now on.
    fn set_role(&mut self, key: Key, role: ConnectionRole) {
        if let Some(conn) = self.connections.get_mut(key) {
            let before = std::mem::replace(&mut conn.role, role);
            self.connection_counts.change(Some(before), Some(role));
        }
    }

    fn set_interest(&mut self, key: Key, want: Want) {
        if let Some(conn) = self
            .connections
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
        if let Some(conn) = self.connections.get(key) {
            self.set_interest(
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
    fn close_gracefully(&mut self, key: Key, text: &[&[u8]]) {
        if let Some(conn) = self.connections.get_mut(key) {
            conn.stream.send(text);
            conn.last_activity = self.now;
            self.set_role(key, ConnectionRole::Lingering { discarded: 0 });
            self.deadlines
                .set(TimerKey::Connection(key), self.now + LINGER);
            self.lingered(key);
        }
    }

    fn lingered(&mut self, key: Key) {
        let Some(conn) = self.connections.get_mut(key) else {
            return;
        };
        let ConnectionRole::Lingering { discarded } = &mut conn.role else {
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

    fn count_event(&mut self, code: ReasonCode) {
        self.log_events.push(Report::Count(code));
    }

    fn log_event(&mut self, code: ReasonCode, about: impl Into<String>) {
        self.log_events.push(Report::Line(code, about.into()));
    }
}
