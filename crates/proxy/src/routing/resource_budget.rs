//! Limits on the connections held at once, by descriptors and memory; the present counts; and the eviction of pending
//! clients in favour of those that request a session.

use super::Router;
use super::events::ReasonCode;
use super::types::{Connection, ConnectionRole};
use crate::protocol::client::ERROR_LINE;
use crate::transport::ReadBuffer;
use std::time::Duration;

/// Descriptors set aside for standard streams, epoll, the listeners, the watch and signals, with some to spare.
const BASE_DESCRIPTORS: usize = 16;
/// Most pending clients for which descriptors are reserved, so that they can be held however many sessions there are.
const MAX_PENDING_RESERVE: usize = 32;
/// The reserve for pending clients is at most one in this many of all descriptors.
const PENDING_RESERVE_DIVISOR: usize = 16;
/// Most connections for probes.
const MAX_PROBES: usize = 64;
/// Connections for probes are at most one in this many of all descriptors, but at least one.
const PROBES_DIVISOR: usize = 8;
/// Descriptors counted for a session whose client is connected: the client's and its server's, though the latter may not
/// be open yet.
const DESCRIPTORS_PER_SESSION: usize = 2;
/// Memory of the process without sessions, in bytes.
const PROGRAM_BYTES: usize = 24 << 20;
/// Most memory of a session, in bytes: both sides' read buffers, and 24 KiB for tables and the kernel's buffers.
const SESSION_BYTES: usize = 2 * ReadBuffer::CAPACITY + 24 * 1024;
/// How long after it connected a pending client is protected from eviction, so that a request in transit can arrive; for
/// a lingering connection, counted from its last message.
const PENDING_GRACE_PERIOD: Duration = Duration::from_millis(20);

/// Limits on what may be held at once, derived from the limits on descriptors and memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResourceBudget {
    /// Most descriptors for sessions: clients and their servers.
    session_descriptors: usize,
    /// Pending clients that may be held in addition to those.
    pending_reserve: usize,
    /// Most connections for probes.
    pub(super) max_probes: usize,
}

impl ResourceBudget {
    /// A budget for a process with these limits. Sessions get three quarters of the memory, less what the process takes
    /// without sessions.
    pub(super) fn new(max_descriptors: usize, max_memory_bytes: usize) -> ResourceBudget {
        let max_probes = (max_descriptors / PROBES_DIVISOR).clamp(1, MAX_PROBES);
        let pending_reserve = MAX_PENDING_RESERVE.min(max_descriptors / PENDING_RESERVE_DIVISOR);
        let by_descriptors =
            max_descriptors.saturating_sub(BASE_DESCRIPTORS + pending_reserve + max_probes);
        let session_memory = (max_memory_bytes / 4 * 3).saturating_sub(PROGRAM_BYTES);
        let by_memory = DESCRIPTORS_PER_SESSION * (session_memory / SESSION_BYTES);
        ResourceBudget {
            session_descriptors: by_descriptors.min(by_memory),
            pending_reserve,
            max_probes,
        }
    }

    /// The budget with fewer descriptors for sessions, for other connections such as those to peers and of operators.
    pub(super) fn reduced_by(self, descriptors: usize) -> ResourceBudget {
        ResourceBudget {
            session_descriptors: self.session_descriptors.saturating_sub(descriptors),
            ..self
        }
    }
}

/// Numbers of connections by role, updated as roles change: recounting them for each new client was too costly with
/// many clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ConnectionCounts {
    /// Clients of sessions.
    clients: usize,
    /// Servers of sessions whose client is gone.
    pub(super) servers_without_client: usize,
    /// Clients that have not requested a session yet, and lingering connections.
    pending: usize,
    /// Connections for probes.
    pub(super) probes: usize,
}

impl ConnectionCounts {
    /// Records a connection's change of role; `from` is `None` for a new connection, `to` for one that is removed.
    pub(super) fn record_role_change(
        &mut self,
        from: Option<ConnectionRole>,
        to: Option<ConnectionRole>,
    ) {
        if let Some(count) = from.and_then(|role| self.count_of(role)) {
            *count -= 1;
        }
        if let Some(count) = to.and_then(|role| self.count_of(role)) {
            *count += 1;
        }
    }

    fn count_of(&mut self, role: ConnectionRole) -> Option<&mut usize> {
        match role {
            ConnectionRole::Client(_) => Some(&mut self.clients),
            ConnectionRole::PendingClient | ConnectionRole::Lingering { .. } => {
                Some(&mut self.pending)
            }
            ConnectionRole::Probe(..) => Some(&mut self.probes),
            // A server is counted with its client, before it is connected; the others are not counted.
            ConnectionRole::Server(_)
            | ConnectionRole::DiscoveryWatch
            | ConnectionRole::Peer
            | ConnectionRole::HotRestartListener
            | ConnectionRole::HotRestart
            | ConnectionRole::Listener
            | ConnectionRole::SignalPipe
            | ConnectionRole::AdminSocketListener
            | ConnectionRole::AdminSocket
            | ConnectionRole::AdminHttpListener
            | ConnectionRole::AdminHttp { .. } => None,
        }
    }

    /// Clients that have not requested a session yet, and lingering connections.
    pub(super) fn pending(&self) -> usize {
        self.pending
    }

    /// Sessions whose client is connected.
    pub(super) fn clients(&self) -> usize {
        self.clients
    }

    /// Descriptors for sessions, including those that clients' servers will need.
    fn session_descriptors(&self) -> usize {
        DESCRIPTORS_PER_SESSION * self.clients + self.servers_without_client
    }
}

impl Router {
    /// Whether there are descriptors for one more session; evicts pending clients for it if need be.
    pub(super) fn ensure_descriptors_for_session(&mut self) -> bool {
        loop {
            self.check_counts();
            let sessions = self.connection_counts.session_descriptors() + DESCRIPTORS_PER_SESSION;
            let limit = self.session_descriptor_limit();
            // The client of the new session is still counted as pending.
            let others = self.connection_counts.pending.saturating_sub(1);
            if sessions + others <= limit + self.resource_budget.pending_reserve {
                return sessions <= limit;
            }
            if sessions > limit || !self.evict_pending_client() {
                return false;
            }
        }
    }

    /// Whether one more pending client may be held; evicts another one for it if need be. Pending clients may take half
    /// of the descriptors that sessions leave, so that they never keep out clients with a request.
    pub(super) fn ensure_descriptors_for_pending_client(&mut self) -> bool {
        self.check_counts();
        let sessions = self.connection_counts.session_descriptors();
        let free = self.session_descriptor_limit().saturating_sub(sessions);
        let limit = (free / 2).max(self.resource_budget.pending_reserve);
        self.connection_counts.pending < limit || self.evict_pending_client()
    }

    /// Most descriptors that sessions may take now: the budget less what the predecessor of this process still holds.
    fn session_descriptor_limit(&self) -> usize {
        self.resource_budget
            .session_descriptors
            .saturating_sub(self.predecessor_descriptors())
    }

    /// In debug builds, checks the counts against a recount of the connections.
    fn check_counts(&self) {
        debug_assert_eq!(
            (
                self.connection_counts.session_descriptors(),
                self.connection_counts.pending
            ),
            self.recount_connections(),
            "the connection counts are wrong"
        );
    }

    /// Counts descriptors for sessions, and pending clients, from the table of connections.
    fn recount_connections(&self) -> (usize, usize) {
        let sessions = &self.session_table.sessions;
        let has_no_server = |session| {
            sessions
                .get(session)
                .is_none_or(|slot| slot.driver_data.server.is_none())
        };
        let mut session_descriptors = 0;
        let mut pending = 0;
        for (_, connection) in self.connections.iter() {
            match connection.role {
                ConnectionRole::Client(session) => {
                    session_descriptors += 1 + usize::from(has_no_server(session));
                }
                ConnectionRole::Server(_) => session_descriptors += 1,
                ConnectionRole::PendingClient | ConnectionRole::Lingering { .. } => pending += 1,
                _ => {}
            }
        }
        (session_descriptors, pending)
    }

    /// Closes the pending client that has been idle longest, if any is past its grace period; returns whether it did.
    /// Many connections that send no request, or stay after their last message, would otherwise keep out clients that
    /// request a session.
    fn evict_pending_client(&mut self) -> bool {
        let oldest = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                is_evictable(connection)
                    && connection.last_activity + PENDING_GRACE_PERIOD <= self.now
            })
            .filter(|(key, _)| !self.is_connection_offered(*key))
            .min_by_key(|(_, connection)| connection.last_activity);
        let Some((key, _)) = oldest else {
            return false;
        };
        if let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| connection.role == ConnectionRole::PendingClient)
        {
            connection.stream.send(&[ERROR_LINE]);
            self.log_event(ReasonCode::PendingClientEvicted, "client");
        }
        self.close(key);
        true
    }
}

/// Whether a connection may be closed in favour of another: it has not requested a session, or lingers with its last
/// message sent.
fn is_evictable(connection: &Connection) -> bool {
    match connection.role {
        ConnectionRole::PendingClient => true,
        ConnectionRole::Lingering { .. } => connection.stream.is_flushed(),
        _ => false,
    }
}
