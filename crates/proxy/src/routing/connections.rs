//! The router's connections: watching them, what each is for, and how they are closed.

use super::Router;
use super::types::{Connection, ConnectionRole, TimerKey};
use crate::transport::poller::Interest;
use crate::transport::{BufferedStream, SlotKey, StreamEnd};
use rustix::fd::OwnedFd;
use std::time::Duration;

/// How long a connection that was sent its last text may take to close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes that are read from a connection right before it closes.
pub(super) const MAX_BYTES_DISCARDED_AT_CLOSE: usize = 64 << 10;
/// Most bytes that a lingering connection may still send before it is closed all the same.
const MAX_LINGER_BYTES: usize = 1 << 20;

impl Router {
    /// Begins to watch a descriptor; `None` if it cannot be watched, and is closed.
    pub(super) fn register(
        &mut self,
        fd: OwnedFd,
        role: ConnectionRole,
        want: Interest,
    ) -> Option<SlotKey> {
        self.register_stream(BufferedStream::new(fd, want), role, 0)
    }

    /// The same for a stream with bytes that came already, the first `complete_len` of which are checked lines.
    pub(super) fn register_stream(
        &mut self,
        stream: BufferedStream,
        role: ConnectionRole,
        complete_len: usize,
    ) -> Option<SlotKey> {
        let want = stream.interest;
        let connection = Connection {
            stream,
            role,
            complete_len,
            last_activity: self.now,
        };
        let key = self.connections.insert(connection);
        let added = self
            .poller
            .add(&self.connections.get(key)?.stream, key, want);
        if added.is_err() {
            self.connections.remove(key);
            return None;
        }
        self.connection_counts.record_role_change(None, Some(role));
        Some(key)
    }

    /// Takes a connection out of the tables; dropped, it closes.
    ///
    /// What a client or an HTTP caller has sent and was not read is read before: a close over it would reset the
    /// connection, and with it what was written last. Not so where another process may hold the connection too: that
    /// one is to read it, and this one's close ends nothing.
    pub(super) fn close(&mut self, key: SlotKey) -> Option<BufferedStream> {
        let on_offer = self.is_connection_offered(key);
        let (role, mut stream) = self.unregister(key)?;
        let callers = matches!(
            role,
            ConnectionRole::PendingClient
                | ConnectionRole::Client(_)
                | ConnectionRole::Lingering { .. }
                | ConnectionRole::AdminHttp { .. }
        );
        if callers && !on_offer {
            stream.discard_input(MAX_BYTES_DISCARDED_AT_CLOSE);
        }
        Some(stream)
    }

    /// Takes a connection out of the tables as it is.
    pub(super) fn unregister(&mut self, key: SlotKey) -> Option<(ConnectionRole, BufferedStream)> {
        self.deadlines.clear(TimerKey::Connection(key));
        let connection = self.connections.remove(key)?;
        self.connection_counts
            .record_role_change(Some(connection.role), None);
        Some((connection.role, connection.stream))
    }

    /// Changes what a connection is for.
    pub(super) fn set_role(&mut self, key: SlotKey, role: ConnectionRole) {
        if let Some(connection) = self.connections.get_mut(key) {
            let before = std::mem::replace(&mut connection.role, role);
            self.connection_counts
                .record_role_change(Some(before), Some(role));
        }
    }

    /// Changes what a connection is watched for.
    pub(super) fn set_interest(&mut self, key: SlotKey, want: Interest) {
        if let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| connection.stream.interest != want)
        {
            connection.stream.interest = want;
            // It fails only for a socket that is not watched, and all registered ones are.
            let _ = self.poller.modify(&connection.stream, key, want);
        }
    }

    /// Watches a connection that exchanges texts with the router itself for what it can do next.
    pub(super) fn update_interest(&mut self, key: SlotKey) {
        if let Some(connection) = self.connections.get(key) {
            let want = Interest {
                read: connection.stream.can_read(),
                write: !connection.stream.is_flushed(),
            };
            self.set_interest(key, want);
        }
    }

    /// Sends a last text, ends sending and waits a little for the other side to close: closing at once would reset
    /// the connection over bytes not read yet, and lose the text with it.
    pub(super) fn close_gracefully(&mut self, key: SlotKey, text: &[&[u8]]) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.stream.send(text);
            connection.last_activity = self.now;
            self.set_role(key, ConnectionRole::Lingering { discarded: 0 });
            self.deadlines
                .set(TimerKey::Connection(key), self.now + LINGER_TIMEOUT);
            self.lingering_ready(key);
        }
    }

    /// Discards what a lingering connection sent, and closes it once both sides are done.
    pub(super) fn lingering_ready(&mut self, key: SlotKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let ConnectionRole::Lingering { discarded } = &mut connection.role else {
            return;
        };
        let stream = &mut connection.stream;
        let came = stream.inbound.bytes().len();
        stream.inbound.consume(came);
        *discarded += came;
        let done = stream.ended.is_some() && stream.is_flushed() || *discarded > MAX_LINGER_BYTES;
        if done || stream.ended == Some(StreamEnd::Reset) {
            self.close(key);
            return;
        }
        if stream.is_flushed() {
            stream.shutdown_write();
        }
        self.update_interest(key);
    }
}
