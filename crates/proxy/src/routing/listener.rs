//! The clients' listener: when connections are accepted, and how many at a time.

use super::Router;
use super::events::ReasonCode;
use super::pending_client::GREETING_TIMEOUT;
use super::types::{ConnectionRole, TimerKey};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::socket;
use rustix::fd::OwnedFd;
use std::time::Duration;

/// Most connections accepted in one turn of the event loop, so that a burst of new clients does not delay the other
/// connections.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Pause of accepting when no more connections can be held.
const AT_LIMIT_PAUSE: Duration = Duration::from_millis(5);
/// Pause of accepting after accept failed: retrying at once would busy-loop.
const ACCEPT_FAILURE_PAUSE: Duration = Duration::from_millis(50);

impl Router {
    /// Begins to accept clients; `basis` names in the log where the endpoint list in use is from.
    pub(super) fn start_serving(&mut self, basis: &str) {
        self.serving = true;
        self.log_event(ReasonCode::Serving, format!("by {basis}"));
        self.announce_serving();
        self.open_listener_after_predecessor();
    }

    /// Starts or resumes accepting connections, unless a successor of this process accepts them.
    pub(super) fn open_listener(&mut self) {
        self.deadlines.clear(TimerKey::Listener);
        // Both processes share one accept queue, and the successor takes from it.
        if self.has_successor() {
            return;
        }
        if let Some(listener) = self.listener {
            self.set_interest(listener, Interest::READ);
        }
    }

    /// Accepts connections that wait, within the limits per turn and of connections held.
    pub(super) fn accept(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = self.listener.filter(|_| !self.has_successor()) else {
                return;
            };
            let may_accept = self.ensure_descriptors_for_pending_client();
            let Some(connection) = self.connections.get(listener) else {
                return;
            };
            if !may_accept {
                return self.pause_accepting(AT_LIMIT_PAUSE);
            }
            match socket::accept(&connection.stream) {
                Ok(Some(fd)) => self.add_pending_client(fd),
                Ok(None) => return,
                Err(error) => {
                    self.log_event(ReasonCode::AcceptFailed, format!("listener error={error}"));
                    return self.pause_accepting(ACCEPT_FAILURE_PAUSE);
                }
            }
        }
    }

    fn pause_accepting(&mut self, pause: Duration) {
        if let Some(listener) = self.listener {
            self.set_interest(listener, Interest::default());
            self.deadlines.set(TimerKey::Listener, self.now + pause);
        }
    }

    /// Accepts all connections that wait at a listener about to be closed, since closing it would reset them. Those that
    /// cannot be held are rejected.
    pub(super) fn accept_all(&mut self) {
        for _ in 0..socket::LISTEN_BACKLOG {
            let Some(connection) = self
                .listener
                .filter(|_| !self.has_successor())
                .and_then(|listener| self.connections.get(listener))
            else {
                return;
            };
            let Ok(Some(fd)) = socket::accept(&connection.stream) else {
                return;
            };
            self.add_pending_client(fd);
        }
    }

    fn add_pending_client(&mut self, fd: OwnedFd) {
        if let Some(key) = self.register(fd, ConnectionRole::PendingClient, Interest::READ) {
            self.deadlines
                .set(TimerKey::Connection(key), self.now + GREETING_TIMEOUT);
            // The request has often arrived already.
            self.connection_ready(ReadyEvent {
                key,
                writable: false,
                failed: false,
            });
            self.run_tasks();
        }
    }
}
