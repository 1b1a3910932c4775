//! Clients until they are up: the door, first lines, answers.

use super::metrics;
use super::{
    Connection, ConnectionRole, ReasonCode, Router, Session, SessionInput, SessionState, TimerKey,
};
use crate::protocol::client::{self, FAILED, Greeting, Open, PONG, greeting, refusal};
use crate::protocol::line::{self, Fault};
use crate::transport::poll::{Ready, Want};
use crate::transport::{Buffer, End, Key, socket};
use asterramp_admission::{AdmissionRequest, Rejection};
use asterramp_placement::event::SessionRequest;
use asterramp_placement::settings::Settings;
use rustix::fd::OwnedFd;
use std::time::Duration;

/// How long a stranger may take to say what it wants, however often it asks for other things.
pub(super) const GREETING: Duration = Duration::from_secs(2);
/// Connections taken in a turn.
const TURN: usize = 64;
/// How long the door stays shut when nothing more can be taken in, and when taking in failed.
const SHUT: Duration = Duration::from_millis(5);
const FAILING: Duration = Duration::from_millis(50);
/// Descriptors beside connections: standard streams, epoll, the door, the watch, signals, and some to spare.
const BASE: usize = 16;
/// Strangers who may always be let in, however many clients there are.
const EDGE: usize = 32;
/// What a client that may still be placed holds or will: its own descriptor and its server's.
const PAIR: usize = 2;
/// Memory of the program without sessions, and of a session at most.
const PROGRAM: usize = 24 << 20;
const SESSION: usize = 2 * Buffer::LIMIT + 24 * 1024;
/// Come-back time of a client turned away at the limit.
const COME_BACK: Duration = Duration::from_secs(1);
/// How long a stranger is safe from others who want its place: time for a line that is on its way.
const YOUNG: Duration = Duration::from_millis(20);

/// What may be held at once, by the limits on descriptors and memory.
#[derive(Clone, Copy, Debug)]
pub struct ResourceBudget {
    /// Descriptors for clients and their servers.
    held: usize,
    /// Strangers that may come on top of those.
    edge: usize,
    pub probes: usize,
}

impl ResourceBudget {
    /// An operator's peers take theirs from what clients would have.
    pub fn without(self, peers: usize) -> ResourceBudget {
        ResourceBudget {
            held: self.held.saturating_sub(peers),
            ..self
        }
    }

    pub fn new(sockets: usize, memory: usize) -> ResourceBudget {
        let probes = (sockets / 8).clamp(1, 64);
        let edge = EDGE.min(sockets / 16);
        let by_sockets = sockets.saturating_sub(BASE + edge + probes);
        let by_memory = PAIR * ((memory / 4 * 3).saturating_sub(PROGRAM) / SESSION);
        ResourceBudget {
            held: by_sockets.min(by_memory),
            edge,
            probes,
        }
    }
}

/// Connections by what they are for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    clients: usize,
    /// Servers of sessions whose client is gone.
    pub lone: usize,
    /// Who has asked for nothing yet or was told its end.
    strangers: usize,
    pub probes: usize,
}

impl ConnectionCounts {
    pub fn change(&mut self, from: Option<ConnectionRole>, to: Option<ConnectionRole>) {
        if let Some(count) = from.and_then(|role| self.of(role)) {
            *count -= 1;
        }
        if let Some(count) = to.and_then(|role| self.of(role)) {
            *count += 1;
        }
    }

    fn of(&mut self, role: ConnectionRole) -> Option<&mut usize> {
        match role {
            ConnectionRole::Client(_) => Some(&mut self.clients),
            ConnectionRole::PendingClient | ConnectionRole::Lingering { .. } => {
                Some(&mut self.strangers)
            }
            ConnectionRole::Probe(..) => Some(&mut self.probes),
            // A client's counts with it, before it is there.
            ConnectionRole::Server(_)
            | ConnectionRole::DiscoveryWatch
            | ConnectionRole::Peer
            | ConnectionRole::HotRestartListener
            | ConnectionRole::HotRestart => None,
            ConnectionRole::Listener
            | ConnectionRole::SignalPipe
            | ConnectionRole::AdminSocketListener
            | ConnectionRole::AdminSocket
            | ConnectionRole::AdminHttpListener
            | ConnectionRole::AdminHttp { .. } => None,
        }
    }

    pub fn strangers(&self) -> usize {
        self.strangers
    }

    /// Sessions whose client is there.
    pub fn clients(&self) -> usize {
        self.clients
    }

    /// Descriptors for clients and their servers, those counted that clients will need.
    fn held(&self) -> usize {
        PAIR * self.clients + self.lone
    }
}

impl Router {
    /// Whether one more client can be placed, strangers being sent away for it.
    fn fits(&mut self) -> bool {
        loop {
            let (clients, strangers) = (
                self.connection_counts.held(),
                self.connection_counts.strangers,
            );
            debug_assert_eq!((clients, strangers), self.counted(), "the tally is off");
            let held = self
                .resource_budget
                .held
                .saturating_sub(self.descriptors_of_peer());
            // The client is among the strangers still.
            let all = clients + PAIR + strangers.saturating_sub(1);
            if all <= held + self.resource_budget.edge {
                return clients + PAIR <= held;
            }
            if clients + PAIR > held || !self.make_room() {
                return false;
            }
        }
    }

    /// The tally's figures counted anew.
    fn counted(&self) -> (usize, usize) {
        let sessions = &self.session_table.sessions;
        let unplaced = |sess| {
            sessions
                .get(sess)
                .is_none_or(|held| held.driver_data.server.is_none())
        };
        let (mut clients, mut strangers) = (0, 0);
        for (_, conn) in self.connections.iter() {
            match conn.role {
                ConnectionRole::Client(sess) => clients += 1 + usize::from(unplaced(sess)),
                ConnectionRole::Server(_) => clients += 1,
                ConnectionRole::PendingClient | ConnectionRole::Lingering { .. } => strangers += 1,
                _ => {}
            }
        }
        (clients, strangers)
    }

    /// Closes the stranger that has been here longest, if any has had its time: crowds that say nothing, or
    /// stay when they were told their end, would keep out those that want to be served.
    fn make_room(&mut self) -> bool {
        let old = |conn: &Connection| match conn.role {
            ConnectionRole::PendingClient => true,
            ConnectionRole::Lingering { .. } => conn.stream.sent(),
            _ => false,
        };
        let due = self
            .connections
            .iter()
            .filter(|(_, conn)| old(conn) && conn.last_activity + YOUNG <= self.now);
        let due = due.filter(|(key, _)| !self.is_connection_offered(*key));
        let Some((key, _)) = due.min_by_key(|(_, conn)| conn.last_activity) else {
            return false;
        };
        if let Some(conn) = self
            .connections
            .get_mut(key)
            .filter(|conn| conn.role == ConnectionRole::PendingClient)
        {
            conn.stream.send(&[FAILED]);
            self.log_event(ReasonCode::CrowdedOut, "client");
        }
        self.close(key);
        true
    }

    /// Begins to serve, by what is known of the servers then.
    pub(super) fn start_serving(&mut self, by: &str) {
        self.serving = true;
        self.log_event(ReasonCode::Serving, format!("by {by}"));
        self.open_listener();
        self.announce_serving();
    }

    pub(super) fn open_listener(&mut self) {
        self.deadlines.clear(TimerKey::Listener);
        // The door has one queue, and who follows this process takes from it.
        if self.has_successor() {
            return;
        }
        self.listener.into_iter().for_each(|door| {
            self.set_interest(
                door,
                Want {
                    read: true,
                    write: false,
                },
            )
        });
    }

    pub(super) fn accept(&mut self) {
        for _ in 0..TURN {
            let Some(door) = self.listener.filter(|_| !self.has_successor()) else {
                return;
            };
            // Strangers may take half of what clients leave, so that who says what it wants finds room.
            let (clients, strangers) = (
                self.connection_counts.held(),
                self.connection_counts.strangers,
            );
            debug_assert_eq!((clients, strangers), self.counted(), "the tally is off");
            let most = (self
                .resource_budget
                .held
                .saturating_sub(self.descriptors_of_peer() + clients)
                / 2)
            .max(self.resource_budget.edge);
            let shut = strangers >= most && !self.make_room();
            let Some(conn) = self.connections.get(door) else {
                return;
            };
            let taken = if shut {
                Ok(None)
            } else {
                socket::accept(&conn.stream)
            };
            match taken {
                Ok(Some(fd)) => self.let_in_stranger(fd),
                Ok(None) if !shut => return,
                // Asking again at once would spin on what cannot be taken.
                failed => {
                    if let Err(e) = failed {
                        self.log_event(ReasonCode::AcceptFailed, format!("door error={e}"));
                    }
                    let pause = if failed.is_err() { FAILING } else { SHUT };
                    self.set_interest(door, Want::default());
                    self.deadlines.set(TimerKey::Listener, self.now + pause);
                    return;
                }
            }
        }
    }

    /// Takes in all that wait at a door about to be closed: its close would reset them. Who finds no room is refused.
    pub(super) fn accept_all(&mut self) {
        for _ in 0..socket::BACKLOG {
            let Some(conn) = self
                .listener
                .filter(|_| !self.has_successor())
                .and_then(|door| self.connections.get(door))
            else {
                return;
            };
            let Ok(Some(fd)) = socket::accept(&conn.stream) else {
                return;
            };
            self.let_in_stranger(fd);
        }
    }

    fn let_in_stranger(&mut self, fd: OwnedFd) {
        if let Some(key) = self.register(
            fd,
            ConnectionRole::PendingClient,
            Want {
                read: true,
                write: false,
            },
        ) {
            self.deadlines
                .set(TimerKey::Connection(key), self.now + GREETING);
            // What it wants is often there already.
            self.connection_ready(Ready {
                key,
                write: false,
                broken: false,
            });
            self.run_tasks();
        }
    }

    pub(super) fn read_greeting(&mut self, key: Key) {
        let serves = self.warm_start_serves();
        let Some(conn) = self.connections.get_mut(key) else {
            return;
        };
        // One that asks and takes no answers would pile them up here.
        if !conn.stream.sent() && conn.stream.ended.is_none() {
            return self.set_interest(
                key,
                Want {
                    read: false,
                    write: true,
                },
            );
        }
        let (ended, bytes) = (conn.stream.ended, conn.stream.inbound.bytes());
        let found = line::first(bytes);
        let nothing = bytes.is_empty();
        let asked =
            found.and_then(|line| line.map(|(text, n)| Ok((greeting(text)?, n))).transpose());
        match asked {
            Ok(None) if ended.is_none() => self.want_own(key),
            Ok(None) if nothing || ended == Some(End::Reset) => {
                self.close(key);
                self.log_event(ReasonCode::FrontLeft, "client said nothing more");
            }
            Ok(None) => self.bad_greeting(key, Fault::Malformed("end of line")),
            Err(fault) => self.bad_greeting(key, fault),
            Ok(Some((Greeting::Ping, n))) => {
                conn.stream.inbound.consume(n);
                if !self.drain.answers_pings() || !serves {
                    return self.close_gracefully(key, &[FAILED]);
                }
                conn.stream.send(&[PONG]);
                self.count_event(ReasonCode::Pinged);
                self.read_greeting(key);
            }
            // A client waits for its answer before it says more, so this is none.
            Ok(Some((Greeting::Open(_), n))) if n < bytes.len() => {
                self.bad_greeting(key, Fault::Malformed("more than one line"));
            }
            // The servers would turn it away one after the other, and look unsound by that.
            Ok(Some((Greeting::Open(open), _))) if self.session_ids.contains(open.id) => {
                self.bad_greeting(key, Fault::Malformed("id: open already"));
            }
            Ok(Some((Greeting::Open(open), n))) => match places(&self.settings, &open) {
                None => self.bad_greeting(key, Fault::Malformed("name")),
                Some((listener, member)) => {
                    let arrival = session_request(&open, self.now, listener, member);
                    let failed = open.failed;
                    let own = Session {
                        client: Some(key),
                        server: None,
                        line: bytes[..n].to_vec(),
                        wait_at: open.wait_at.clone(),
                        open_at: open.open_at.map(String::from),
                        asked: false,
                        quiet: false,
                        farewell: None,
                    };
                    self.admit(key, arrival, failed, own, n);
                }
            },
        }
    }

    fn bad_greeting(&mut self, key: Key, fault: Fault) {
        let said = self
            .connections
            .get(key)
            .map(|conn| conn.stream.inbound.bytes())
            .unwrap_or_default();
        let said = said[..said.len().min(160)].escape_ascii().to_string();
        self.log_event(
            ReasonCode::ClientBad,
            format!("client fault=\"{fault}\" line=\"{said}\""),
        );
        self.close_gracefully(key, &[FAILED]);
    }

    fn admit(
        &mut self,
        key: Key,
        arrival: SessionRequest,
        failed: bool,
        own: Session,
        line: usize,
    ) {
        if !self.fits() {
            self.log_event(ReasonCode::Edge, format!("sess={}", own.id()));
            self.metrics
                .ended(arrival.listener, metrics::SessionEnd::Busy);
            let come_back = self.settings.deployment.max_retry_after.min(COME_BACK);
            return self.close_gracefully(key, &[refusal(come_back).as_bytes()]);
        }
        let restored = own.open_at.is_some();
        if !restored && let Err(refusal) = self.let_in(arrival, failed) {
            return self.turn_away(key, arrival, &own, refusal);
        }
        self.connections
            .get_mut(key)
            .into_iter()
            .for_each(|conn| conn.stream.inbound.consume(line));
        self.deadlines.clear(TimerKey::Connection(key));
        if !restored {
            self.count_event(ReasonCode::Taken);
        }
        (self.last_arrival, self.sessions_accepted) = (self.now, self.sessions_accepted + 1);
        self.session_ids.insert(own.id().to_string());
        let sess = self.session_table.arrive(self.now, arrival, restored, own);
        self.set_role(key, ConnectionRole::Client(sess));
        self.client_ready(sess);
    }

    /// The order in which clients are refused while room is short; nobody is held for it.
    fn let_in(&mut self, arrival: SessionRequest, failed: bool) -> Result<(), Rejection> {
        let SessionRequest {
            listener,
            tenant: member,
            reconnecting: again,
            ..
        } = arrival;
        self.admission.ask(
            self.now,
            AdmissionRequest {
                listener,
                member,
                again,
                failed,
            },
        )
    }

    fn turn_away(&mut self, key: Key, arrival: SessionRequest, own: &Session, refusal: Rejection) {
        let listener = &self.settings.listeners[usize::from(arrival.listener)];
        let about = format!(
            "sess={} listener={listener} why={}",
            own.id(),
            refusal.reason.name()
        );
        self.log_event(ReasonCode::Short, about);
        self.metrics
            .ended(arrival.listener, metrics::SessionEnd::Busy);
        self.close_gracefully(key, &[client::refusal(refusal.come_back).as_bytes()]);
    }

    pub(super) fn client_ready(&mut self, sess: Key) {
        let Some(held) = self.session_table.sessions.get(sess) else {
            return;
        };
        if held.machine.stage == SessionState::Open {
            return self.forward(sess);
        }
        let Some((key, conn)) = held
            .driver_data
            .client
            .and_then(|key| Some((key, self.connections.get(key)?)))
        else {
            return;
        };
        if !conn.stream.inbound.is_empty() {
            self.input(sess, SessionInput::Spoke);
        } else if conn.stream.ended.is_some() {
            self.input(sess, SessionInput::Left);
        } else {
            self.want_own(key);
        }
    }

    /// The final answer to a session that is not up.
    pub(super) fn answer_client(&mut self, sess: Key, text: &[u8], code: ReasonCode) {
        let client = self.take_client(sess);
        if let Some(client) = client {
            self.ended(
                sess,
                if code == ReasonCode::Refused {
                    metrics::SessionEnd::Busy
                } else {
                    metrics::SessionEnd::Failure
                },
            );
            self.log_session_end(sess, code);
            self.close_gracefully(client, &[text]);
        }
    }

    pub(super) fn log_session_end(&mut self, sess: Key, code: ReasonCode) {
        let Some(held) = self.session_table.sessions.get(sess) else {
            return;
        };
        let (id, life) = (held.driver_data.id(), &held.machine);
        let listener = &self.settings.listeners[usize::from(life.arrival.listener)];
        let server = if life.dials > 0 {
            self.endpoints.name(life.to)
        } else {
            "-"
        };
        let ms = self.now.saturating_sub(life.arrived).as_millis();
        let about = format!(
            "sess={id} listener={listener} server={server} dials={} ms={ms}",
            life.dials
        );
        self.log_event(code, about);
    }
}

impl Session {
    pub(super) fn id(&self) -> &str {
        std::str::from_utf8(&self.line)
            .ok()
            .and_then(|line| line.split(' ').nth(1))
            .unwrap_or_default()
    }
}

pub(super) fn session_request(
    open: &Open,
    now: Duration,
    listener: u8,
    member: u16,
) -> SessionRequest {
    SessionRequest {
        session: 0,
        listener,
        tenant: member,
        group: open.group,
        hash_key: open.item,
        reconnecting: open.again,
        dial_timeout: now + open.wait,
    }
}

/// The places of its listener and its member in the settings.
pub(super) fn places(setup: &Settings, open: &Open) -> Option<(u8, u16)> {
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let listener = place(&setup.listeners, open.listener);
    let member = open
        .member
        .map_or(Some(0), |name| place(&setup.tenants, name));
    listener
        .zip(member)
        .map(|(listener, member)| (listener as u8, member as u16))
}
