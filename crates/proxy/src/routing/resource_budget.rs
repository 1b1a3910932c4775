//! How many connections may be held at once: limits by descriptors and memory, the present counts, and what gives way
//! to a client that wants to be served.

use super::Router;
use super::events::ReasonCode;
use super::types::{Connection, ConnectionRole};
use crate::protocol::client::ERROR_LINE;
use crate::transport::ReadBuffer;
use std::time::Duration;

/// Descriptors beside connections: standard streams, epoll, the listeners, the watch, signals, and some to spare.
const BASE_DESCRIPTORS: usize = 16;
/// Pending clients that may always be held, however many sessions there are, where descriptors allow.
const MAX_PENDING_RESERVE: usize = 32;
/// The part of all descriptors that the pending reserve may take: one in so many.
const PENDING_RESERVE_DIVISOR: usize = 16;
/// Health checks' connections at most.
const MAX_PROBES: usize = 64;
/// The part of all descriptors that health checks may take: one in so many.
const PROBES_DIVISOR: usize = 8;
/// What a client that may still be placed holds or will: its own descriptor and its server's.
const DESCRIPTORS_PER_SESSION: usize = 2;
/// Memory of the program without sessions, in bytes.
const PROGRAM_BYTES: usize = 24 << 20;
/// Memory of a session at most, in bytes: both sides' buffers, and what tables and the kernel keep.
const SESSION_BYTES: usize = 2 * ReadBuffer::CAPACITY + 24 * 1024;
/// How long a pending client is safe from being closed in favour of others: time for a line that is on its way.
const PENDING_GRACE: Duration = Duration::from_millis(20);

/// What may be held at once, by the limits on descriptors and memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResourceBudget {
    /// Descriptors for sessions: clients and their servers.
    session_descriptors: usize,
    /// Pending clients that may come on top of those.
    pending_reserve: usize,
    /// Health checks' connections.
    pub(super) max_probes: usize,
}

impl ResourceBudget {
    /// A budget for so many descriptors and so many bytes of memory, of which sessions get three quarters less what the
    /// program takes.
    pub(super) fn new(max_descriptors: usize, max_memory_bytes: usize) -> ResourceBudget {
        let probes = (max_descriptors / PROBES_DIVISOR).clamp(1, MAX_PROBES);
        let pending_reserve = MAX_PENDING_RESERVE.min(max_descriptors / PENDING_RESERVE_DIVISOR);
        let by_descriptors =
            max_descriptors.saturating_sub(BASE_DESCRIPTORS + pending_reserve + probes);
        let session_memory = (max_memory_bytes / 4 * 3).saturating_sub(PROGRAM_BYTES);
        let by_memory = DESCRIPTORS_PER_SESSION * (session_memory / SESSION_BYTES);
        ResourceBudget {
            session_descriptors: by_descriptors.min(by_memory),
            pending_reserve,
            max_probes: probes,
        }
    }

    /// The budget less so many descriptors, which connections to other proxies take.
    pub(super) fn reduced_by(self, descriptors: usize) -> ResourceBudget {
        ResourceBudget {
            session_descriptors: self.session_descriptors.saturating_sub(descriptors),
            ..self
        }
    }
}

/// Connections by what they are for; kept as they come and go, since counting them anew for each client made many
/// clients costly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ConnectionCounts {
    clients: usize,
    /// Servers of sessions whose client is gone.
    pub(super) servers_without_client: usize,
    /// Clients that have asked for nothing yet or were sent their last text.
    pending: usize,
    /// Health checks' connections.
    pub(super) probes: usize,
}

impl ConnectionCounts {
    /// A connection changes from one role to another; `None` is before it comes and after it goes.
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
            // Counted with its client, before it is there.
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

    /// Clients that have asked for nothing yet or were sent their last text.
    pub(super) fn pending(&self) -> usize {
        self.pending
    }

    /// Sessions whose client is there.
    pub(super) fn clients(&self) -> usize {
        self.clients
    }

    /// Descriptors for sessions, those included that clients will need.
    fn session_descriptors(&self) -> usize {
        DESCRIPTORS_PER_SESSION * self.clients + self.servers_without_client
    }
}

impl Router {
    /// Whether there are descriptors for one more session; pending clients are closed for it.
    pub(super) fn ensure_descriptors_for_session(&mut self) -> bool {
        loop {
            self.check_counts();
            let sessions = self.connection_counts.session_descriptors() + DESCRIPTORS_PER_SESSION;
            let limit = self.session_descriptor_limit();
            // The client is among the pending still.
            let others = self.connection_counts.pending.saturating_sub(1);
            if sessions + others <= limit + self.resource_budget.pending_reserve {
                return sessions <= limit;
            }
            if sessions > limit || !self.evict_pending_client() {
                return false;
            }
        }
    }

    /// Whether one more pending client may be held; another is closed for it if it must be. Pending clients may
    /// take half of what sessions leave, so that clients with a request are never kept out by those without.
    pub(super) fn ensure_descriptors_for_pending_client(&mut self) -> bool {
        self.check_counts();
        let sessions = self.connection_counts.session_descriptors();
        let free = self.session_descriptor_limit().saturating_sub(sessions);
        let limit = (free / 2).max(self.resource_budget.pending_reserve);
        self.connection_counts.pending < limit || self.evict_pending_client()
    }

    /// Descriptors that sessions may take, less those that another process of this proxy holds.
    fn session_descriptor_limit(&self) -> usize {
        self.resource_budget
            .session_descriptors
            .saturating_sub(self.predecessor_descriptors())
    }

    /// In debug builds, holds the kept counts against the connections counted anew.
    fn check_counts(&self) {
        debug_assert_eq!(
            (
                self.connection_counts.session_descriptors(),
                self.connection_counts.pending
            ),
            self.counted_anew(),
            "the connection counts are wrong"
        );
    }

    /// Descriptors for sessions, and pending clients, as the table of connections shows them.
    fn counted_anew(&self) -> (usize, usize) {
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

    /// Closes the pending client that has been here longest, if any has had its time: crowds that say nothing, or
    /// stay after their last text, would keep out those that want to be served.
    fn evict_pending_client(&mut self) -> bool {
        let oldest = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                is_evictable(connection) && connection.last_activity + PENDING_GRACE <= self.now
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

/// Whether a connection may be closed in favour of another: it has asked for nothing, or its last text is out.
fn is_evictable(connection: &Connection) -> bool {
    match connection.role {
        ConnectionRole::PendingClient => true,
        ConnectionRole::Lingering { .. } => connection.stream.is_flushed(),
        _ => false,
    }
}
