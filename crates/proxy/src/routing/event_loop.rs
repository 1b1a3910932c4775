//! The event loop: waits for sockets and deadlines, and dispatches each to its handler.

use super::Router;
use super::connections::MAX_BYTES_DISCARDED_AT_CLOSE;
use super::peers::PeerError;
use super::types::{ConnectionRole, TimerKey};
use crate::transport::SlotKey;
use crate::transport::poller::{Interest, ReadyEvent};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::Outcome;
use rustix::fd::OwnedFd;
use std::io;
use std::time::Duration;

/// Longest wait for sockets while no deadline is set.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(500);

impl Router {
    /// Waits for sockets, no longer than until the next deadline.
    ///
    /// # Errors
    ///
    /// The error of epoll.
    pub fn wait(&mut self, now: Duration) -> io::Result<()> {
        let timeout = self
            .deadlines
            .next_due()
            .map_or(MAX_IDLE_WAIT, |deadline| deadline.saturating_sub(now));
        Ok(self.poller.wait(timeout, &mut self.ready)?)
    }

    /// Handles the sockets that are ready, then the deadlines that have passed.
    pub fn process(&mut self, now: Duration) {
        self.now = now;
        let mut ready = std::mem::take(&mut self.ready);
        if self.admin_http.is_some() || self.hot_restart.is_some() {
            ready.sort_by_key(|event| self.dispatch_priority(event.key));
        }
        for event in ready.drain(..) {
            self.connection_ready(event);
            self.run_tasks();
        }
        self.ready = ready;
        while let Some(timer) = self.deadlines.pop_due(now) {
            self.deadline_reached(timer);
            self.run_tasks();
        }
        self.report_sessions();
    }

    /// Makes [`Router::wait`] return when this descriptor becomes readable; its bytes are discarded.
    ///
    /// # Errors
    ///
    /// If the descriptor cannot be registered with epoll.
    pub fn add_wake_source(&mut self, wake_fd: OwnedFd) -> io::Result<()> {
        self.register(wake_fd, ConnectionRole::SignalPipe, Interest::READ)
            .map(drop)
            .ok_or_else(|| io::Error::other("cannot register the descriptor with epoll"))
    }

    /// Whether a shutdown is over and the process may end.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Rank of a connection among those that are ready in one turn of the loop; lower ranks come first.
    fn dispatch_priority(&self, key: SlotKey) -> u8 {
        match self.connections.get(key).map(|connection| connection.role) {
            // Operators' calls, so that they are answered in time under any load.
            Some(ConnectionRole::AdminHttpListener | ConnectionRole::AdminHttp { .. }) => 0,
            // A client whose session has just ended at the predecessor may come again with the same id.
            Some(ConnectionRole::HotRestart) => 1,
            _ => 2,
        }
    }

    /// Handles readiness of a connection, by its role.
    pub(super) fn connection_ready(&mut self, event: ReadyEvent) {
        // The connection was offered to another process during this turn of the loop: only one of the two processes may
        // read its input.
        if self.is_connection_offered(event.key) {
            return;
        }
        let Some(connection) = self.connections.get_mut(event.key) else {
            return;
        };
        match connection.role {
            ConnectionRole::Listener => return self.accept(),
            ConnectionRole::AdminSocketListener => return self.accept_admin_socket(),
            ConnectionRole::HotRestartListener => return self.accept_successor(),
            ConnectionRole::HotRestart => return self.hot_restart_ready(event.key),
            ConnectionRole::AdminHttpListener => return self.accept_admin_http(),
            ConnectionRole::SignalPipe => {
                return connection
                    .stream
                    .discard_input(MAX_BYTES_DISCARDED_AT_CLOSE);
            }
            _ => {}
        }
        if event.writable {
            connection.stream.flush();
        }
        match connection.role {
            ConnectionRole::Server(session) => self.server_ready(session, event),
            ConnectionRole::Probe(server, stage) => self.probe_ready(server, stage, event),
            ConnectionRole::DiscoveryWatch => self.watch_ready(event),
            ConnectionRole::Peer => self.peer_ready(event),
            role => {
                connection.stream.read_once(event.failed);
                self.inbound_ready(event.key, role);
            }
        }
    }

    /// Handles input or an end on a connection that the other side opened.
    fn inbound_ready(&mut self, key: SlotKey, role: ConnectionRole) {
        match role {
            ConnectionRole::Client(session) => self.client_ready(session),
            ConnectionRole::PendingClient => self.read_greeting(key),
            ConnectionRole::AdminSocket => self.admin_socket_ready(key),
            ConnectionRole::AdminHttp { answered } => self.admin_http_ready(key, answered),
            _ => self.lingering_ready(key),
        }
    }

    fn deadline_reached(&mut self, timer: TimerKey) {
        match timer {
            TimerKey::Tick => {
                self.handle_placement_event(PlacementEvent::Tick);
                self.update_admission_rate();
                self.save_snapshot_if_due();
            }
            TimerKey::DiscoveryWatch => self.watch_deadline(),
            TimerKey::Listener if !self.serving => self.start_serving("list of old"),
            TimerKey::Listener => self.listener_deadline(),
            TimerKey::WarmStart => self.warm_start_deadline(),
            TimerKey::Shutdown => self.continue_shutdown(),
            TimerKey::HotRestart => self.continue_offers(),
            TimerKey::Session(session) => self.session_deadline(session),
            TimerKey::Connection(key) => self.connection_deadline(key),
        }
    }

    fn connection_deadline(&mut self, key: SlotKey) {
        match self.connections.get(key).map(|connection| connection.role) {
            Some(ConnectionRole::Probe(server, _)) => self.fail_probe(server, Outcome::TimedOut),
            Some(ConnectionRole::PendingClient) => self.greeting_deadline(key),
            Some(ConnectionRole::AdminSocket) => self.close_admin_connection(key),
            Some(ConnectionRole::HotRestart) => self.hot_restart_deadline(),
            Some(ConnectionRole::Peer) => self.fail_peer_query(key, &PeerError::TimedOut),
            Some(ConnectionRole::AdminHttp { answered }) => self.admin_http_deadline(key, answered),
            _ => drop(self.close(key)),
        }
    }

    /// Rejects a pending client at its deadline, unless its request has just arrived.
    fn greeting_deadline(&mut self, key: SlotKey) {
        self.connection_ready(ReadyEvent {
            key,
            writable: false,
            failed: false,
        });
        self.run_tasks();
        if self
            .connections
            .get(key)
            .is_some_and(|connection| connection.role == ConnectionRole::PendingClient)
        {
            self.reject_pending_at_deadline(key);
        }
    }
}
