//! Where clients connect: when connections are accepted, and how many at a time.

use super::Router;
use super::client::GREETING_TIMEOUT;
use super::events::ReasonCode;
use super::types::{ConnectionRole, TimerKey};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::socket;
use rustix::fd::OwnedFd;
use std::time::Duration;

/// Connections accepted in a turn of the loop, so that a crowd at the listener does not delay the other connections.
const ACCEPTED_PER_TURN: usize = 64;
/// How long nothing is accepted when no more can be held.
const FULL_PAUSE: Duration = Duration::from_millis(5);
/// How long nothing is accepted when accepting failed: trying again at once would spin.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

impl Router {
    /// Begins to serve, by what is known of the servers then; `by` says in the log what that is.
    pub(super) fn start_serving(&mut self, by: &str) {
        self.serving = true;
        self.log_event(ReasonCode::Serving, format!("by {by}"));
        self.open_listener();
        self.announce_serving();
    }

    /// Accepts connections from now on, unless a successor does.
    pub(super) fn open_listener(&mut self) {
        self.deadlines.clear(TimerKey::Listener);
        // The listener has one queue, and a successor takes from it.
        if self.has_successor() {
            return;
        }
        if let Some(listener) = self.listener {
            self.set_interest(listener, Interest::READ);
        }
    }

    /// Accepts what waits, up to the most of a turn and of what may be held.
    pub(super) fn accept(&mut self) {
        for _ in 0..ACCEPTED_PER_TURN {
            let Some(listener) = self.listener.filter(|_| !self.has_successor()) else {
                return;
            };
            let may_accept = self.ensure_descriptors_for_pending_client();
            let Some(connection) = self.connections.get(listener) else {
                return;
            };
            if !may_accept {
                return self.pause_accepting(FULL_PAUSE);
            }
            match socket::accept(&connection.stream) {
                Ok(Some(fd)) => self.add_pending_client(fd),
                Ok(None) => return,
                Err(error) => {
                    self.log_event(ReasonCode::AcceptFailed, format!("door error={error}"));
                    return self.pause_accepting(FAILURE_PAUSE);
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

    /// Accepts all that waits at a listener about to be closed, which would reset it. Whoever cannot be held is
    /// rejected.
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
            // What it wants is often there already.
            self.connection_ready(ReadyEvent {
                key,
                writable: false,
                failed: false,
            });
            self.run_tasks();
        }
    }
}
