//! The router's connections: registers them with epoll, tracks their roles and interest, and closes them.

use super::Router;
use super::types::{Connection, ConnectionRole, TimerKey};
use crate::transport::poller::Interest;
use crate::transport::{BufferedStream, SlotKey, StreamEnd};
use rustix::fd::OwnedFd;
use std::time::Duration;

/// How long the other side may take to close a connection after its last message; it is closed then in any case.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of unread input that are dropped right before a connection is closed.
pub(super) const MAX_BYTES_DISCARDED_AT_CLOSE: usize = 64 << 10;
/// Most bytes that a lingering connection may send before it is closed without waiting further.
const MAX_LINGER_BYTES: usize = 1 << 20;

impl Router {
    /// Registers a descriptor with epoll; returns `None` and closes it if that fails.
    pub(super) fn register(
        &mut self,
        fd: OwnedFd,
        role: ConnectionRole,
        interest: Interest,
    ) -> Option<SlotKey> {
        self.register_stream(BufferedStream::new(fd, interest), role, 0)
    }

    /// Registers a stream that may have input already, of which the first `complete_len` bytes are checked, complete
    /// lines; returns `None` and closes it if that fails.
    pub(super) fn register_stream(
        &mut self,
        stream: BufferedStream,
        role: ConnectionRole,
        complete_len: usize,
    ) -> Option<SlotKey> {
        let interest = stream.interest;
        let connection = Connection {
            stream,
            role,
            complete_len,
            last_activity: self.now,
        };
        let key = self.connections.insert(connection);
        let added = self
            .poller
            .add(&self.connections.get(key)?.stream, key, interest);
        if added.is_err() {
            self.connections.remove(key);
            return None;
        }
        self.connection_counts.record_role_change(None, Some(role));
        Some(key)
    }

    /// Removes a connection from the tables; it closes when the returned stream is dropped.
    ///
    /// Unread input of a client or an HTTP caller is dropped first: closing with unread input would reset the
    /// connection, and the other side could lose what was written last. A connection that is offered to another process
    /// keeps its input for that process to read; this process's close does not end it.
    pub(super) fn close(&mut self, key: SlotKey) -> Option<BufferedStream> {
        let is_offered = self.is_connection_offered(key);
        let (role, mut stream) = self.unregister(key)?;
        let discards_unread_input = matches!(
            role,
            ConnectionRole::PendingClient
                | ConnectionRole::Client(_)
                | ConnectionRole::Lingering { .. }
                | ConnectionRole::AdminHttp { .. }
        );
        if discards_unread_input && !is_offered {
            stream.discard_input(MAX_BYTES_DISCARDED_AT_CLOSE);
        }
        Some(stream)
    }

    /// Removes a connection from the tables without reading from it.
    pub(super) fn unregister(&mut self, key: SlotKey) -> Option<(ConnectionRole, BufferedStream)> {
        self.deadlines.clear(TimerKey::Connection(key));
        let connection = self.connections.remove(key)?;
        self.connection_counts
            .record_role_change(Some(connection.role), None);
        Some((connection.role, connection.stream))
    }

    /// Changes the role of a connection, and the counts by role.
    pub(super) fn set_role(&mut self, key: SlotKey, role: ConnectionRole) {
        if let Some(connection) = self.connections.get_mut(key) {
            let previous_role = std::mem::replace(&mut connection.role, role);
            self.connection_counts
                .record_role_change(Some(previous_role), Some(role));
        }
    }

    /// Changes the readiness that a connection is watched for.
    pub(super) fn set_interest(&mut self, key: SlotKey, interest: Interest) {
        if let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| connection.stream.interest != interest)
        {
            connection.stream.interest = interest;
            // Fails only for a socket that is not registered, and every connection in the table is.
            let _ = self.poller.modify(&connection.stream, key, interest);
        }
    }

    /// Watches a connection that the router itself exchanges messages on: for input while there is space, and for
    /// writability while output is unsent.
    pub(super) fn update_interest(&mut self, key: SlotKey) {
        if let Some(connection) = self.connections.get(key) {
            let interest = Interest {
                read: connection.stream.can_read(),
                write: !connection.stream.is_flushed(),
            };
            self.set_interest(key, interest);
        }
    }

    /// Sends a last message, given in parts, shuts down the sending side and waits up to [`LINGER_TIMEOUT`] for the
    /// other side to close: closing at once would reset the connection if input is unread, and lose the message.
    pub(super) fn close_gracefully(&mut self, key: SlotKey, message_parts: &[&[u8]]) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.stream.send(message_parts);
            connection.last_activity = self.now;
            self.set_role(key, ConnectionRole::Lingering { discarded: 0 });
            self.deadlines
                .set(TimerKey::Connection(key), self.now + LINGER_TIMEOUT);
            self.lingering_ready(key);
        }
    }

    /// Drops the input of a lingering connection, and closes it once the other side has closed and all output is sent.
    pub(super) fn lingering_ready(&mut self, key: SlotKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let ConnectionRole::Lingering { discarded } = &mut connection.role else {
            return;
        };
        let stream = &mut connection.stream;
        let received = stream.inbound.bytes().len();
        stream.inbound.consume(received);
        *discarded += received;
        let is_finished =
            stream.ended.is_some() && stream.is_flushed() || *discarded > MAX_LINGER_BYTES;
        if is_finished || stream.ended == Some(StreamEnd::Reset) {
            self.close(key);
            return;
        }
        if stream.is_flushed() {
            stream.shutdown_write();
        }
        self.update_interest(key);
    }
}
