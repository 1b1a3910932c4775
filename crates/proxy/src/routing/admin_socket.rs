//! The admin socket: a Unix socket on which operators' tools send requests, one per line. It is served by the same
//! event loop as clients; a tool that does not read delays only its own replies.

use super::admin_commands::AdminError;
use super::{ConnectionRole, ReasonCode, Router, TimerKey};
use crate::transport::poller::Interest;
use crate::transport::{SlotKey, socket};
use asterramp_admin_protocol::{AdminReply, AdminRequest, AdminRequestError, MAX_REQUEST_BYTES};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long a tool may send nothing, or read none of a reply, before its connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Most connections accepted in one turn of the event loop, so that many at once do not delay clients.
const MAX_ACCEPTS_PER_TURN: usize = 8;

/// Most requests of one connection that are answered in one turn of the event loop, so that a tool that sends at full speed
/// does not delay clients.
const MAX_REQUESTS_PER_TURN: usize = 16;

const READABLE: Interest = Interest {
    read: true,
    write: false,
};
const WRITABLE: Interest = Interest {
    read: false,
    write: true,
};

/// The open admin socket.
#[derive(Debug)]
pub struct AdminSocket {
    path: PathBuf,
    listener: SlotKey,
    open_connections: usize,
    /// Most connections open at once; further ones are rejected.
    max_connections: usize,
    /// How long a drain may take if its request gives no deadline.
    pub(super) default_drain_deadline: Duration,
}

impl Router {
    /// Opens the socket, for at most `max_connections` at once. Their descriptors are deducted from those for clients.
    /// A file that a crashed proxy left is replaced; one on which another process listens is not.
    ///
    /// # Errors
    ///
    /// If the path is in use, or a system call fails.
    pub fn open_admin_socket(
        &mut self,
        path: &Path,
        max_connections: usize,
        default_drain_deadline: Duration,
    ) -> io::Result<()> {
        let socket = socket::listen_unix(path, socket::SocketType::STREAM)?;
        let listener = self
            .register(socket, ConnectionRole::AdminSocketListener, READABLE)
            .ok_or_else(|| io::Error::other("the socket cannot be registered with epoll"))?;
        self.resource_budget = self.resource_budget.reduced_by(max_connections + 1);
        self.admin_socket = Some(AdminSocket {
            path: path.to_path_buf(),
            listener,
            open_connections: 0,
            max_connections,
            default_drain_deadline,
        });
        Ok(())
    }

    /// Changes how long a drain may take if its request gives no deadline.
    pub fn set_default_drain_deadline(&mut self, deadline: Duration) {
        if let Some(admin_socket) = &mut self.admin_socket {
            admin_socket.default_drain_deadline = deadline;
        }
    }

    /// Closes the socket and removes its file.
    pub fn close_admin_socket(&mut self) {
        if let Some(admin_socket) = self.admin_socket.take() {
            self.close(admin_socket.listener);
            // This fails only where the file is gone already.
            let _ = std::fs::remove_file(admin_socket.path);
        }
    }

    /// Accepts connections of the same user, at most [`MAX_ACCEPTS_PER_TURN`].
    pub(super) fn accept_admin_socket(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(admin_socket) = &self.admin_socket else {
                return;
            };
            let is_full = admin_socket.open_connections >= admin_socket.max_connections;
            let Some(listener) = self.connections.get(admin_socket.listener) else {
                return;
            };
            let fd = match socket::accept_unix(&listener.stream) {
                Ok(Some(fd)) => fd,
                Ok(None) => return,
                Err(error) => {
                    return self.log_event(
                        ReasonCode::AdminSocketError,
                        format!("accept error={error}"),
                    );
                }
            };
            // The descriptor of a rejected connection is closed as it is dropped.
            if is_full || !socket::peer_is_same_user(&fd) {
                let why = if is_full {
                    "too many peers"
                } else {
                    "another user"
                };
                self.log_event(ReasonCode::AdminSocketError, format!("peer why={why:?}"));
                continue;
            }
            let Some(key) = self.register(fd, ConnectionRole::AdminSocket, READABLE) else {
                continue;
            };
            if let Some(admin_socket) = &mut self.admin_socket {
                admin_socket.open_connections += 1;
            }
            self.deadlines
                .set(TimerKey::Connection(key), self.now + IDLE_TIMEOUT);
        }
    }

    /// Answers the requests that have arrived on a connection, one after the other, up to [`MAX_REQUESTS_PER_TURN`].
    pub(super) fn admin_socket_ready(&mut self, key: SlotKey) {
        for _ in 0..MAX_REQUESTS_PER_TURN {
            let Some(request) = self.next_admin_request(key) else {
                return;
            };
            self.deadlines
                .set(TimerKey::Connection(key), self.now + IDLE_TIMEOUT);
            let reply = match request {
                Ok(request) => self
                    .execute(&request)
                    .unwrap_or_else(AdminError::into_reply),
                Err(error) => {
                    let why = error.to_string();
                    self.log_event(ReasonCode::AdminSocketError, format!("request why={why:?}"));
                    AdminReply::error(why)
                }
            };
            self.send_reply(key, &reply);
        }
        // What is left has been read already, so only the writable socket wakes the loop for it.
        self.set_interest(key, WRITABLE);
    }

    /// Takes the next request that has arrived on a connection. `None` while there is none, while the last reply is not
    /// written, or if the connection has ended or is closed.
    fn next_admin_request(
        &mut self,
        key: SlotKey,
    ) -> Option<Result<AdminRequest, AdminRequestError>> {
        let connection = self.connections.get_mut(key)?;
        if connection.stream.ended.is_some() {
            self.close_admin_connection(key);
            return None;
        }
        if !connection.stream.is_flushed() {
            self.set_interest(key, WRITABLE);
            return None;
        }
        let received = connection.stream.inbound.bytes();
        let line_end = received
            .iter()
            .take(MAX_REQUEST_BYTES)
            .position(|byte| *byte == b'\n');
        if let Some(line_end) = line_end {
            let request = AdminRequest::parse(&received[..line_end]);
            connection.stream.inbound.consume(line_end + 1);
            return Some(request);
        }
        if received.len() < MAX_REQUEST_BYTES {
            self.update_interest(key);
        } else {
            self.reject_long_request(key);
        }
        None
    }

    /// Rejects a line that exceeds `MAX_REQUEST_BYTES` and closes the connection, since the start of the next request
    /// cannot be found.
    fn reject_long_request(&mut self, key: SlotKey) {
        self.send_reply(key, &AdminReply::error("a request is too long"));
        self.log_event(ReasonCode::AdminSocketError, "request why=\"too long\"");
        self.close_admin_connection(key);
    }

    fn send_reply(&mut self, key: SlotKey, reply: &AdminReply) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.stream.send(&[reply.to_line().as_bytes()]);
        }
    }

    pub(super) fn close_admin_connection(&mut self, key: SlotKey) {
        self.close(key);
        if let Some(admin_socket) = &mut self.admin_socket {
            admin_socket.open_connections = admin_socket.open_connections.saturating_sub(1);
        }
    }
}
