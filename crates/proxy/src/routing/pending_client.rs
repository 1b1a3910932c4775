//! Clients that have not requested a session yet: reads pings and request lines, within limits of time and of work for each
//! turn of the event loop.

use super::Router;
use super::client::listener_and_tenant;
use super::events::ReasonCode;
use super::metrics::SessionEnd;
use super::types::{ConnectionRole, TimerKey};
use crate::protocol::client::{ClientGreeting, ERROR_LINE, PONG_LINE, busy_line, parse_greeting};
use crate::protocol::line::{self, LineError};
use crate::transport::poller::Interest;
use crate::transport::{SlotKey, StreamEnd};
use std::time::Duration;

/// How long a connection may take to send its request for a session; pings do not extend it.
pub(super) const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a complete request waits for the successor to take it; after that the client is rejected, since a successor
/// that takes longer does not respond.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(500);
/// Most pings of one connection that are answered in one turn of the event loop, so that a client that sends them at full
/// speed does not delay others.
const MAX_PINGS_PER_TURN: usize = 16;
/// Most bytes of a malformed request line that are logged.
const MAX_LOGGED_LINE_BYTES: usize = 160;

impl Router {
    /// Reads the first lines of a pending client: pings, up to [`MAX_PINGS_PER_TURN`], or a request for a session.
    pub(super) fn read_greeting(&mut self, key: SlotKey) {
        for _ in 0..MAX_PINGS_PER_TURN {
            if !self.read_first_line(key) {
                return;
            }
        }
        // What is left has been read already, so only the writable socket wakes the loop for it.
        self.set_interest(key, Interest::WRITE);
    }

    /// Reads the next line of a pending client. Returns whether that was a ping that has been answered, so that another
    /// line may follow.
    fn read_first_line(&mut self, key: SlotKey) -> bool {
        let only_successor_begins_sessions = self.has_successor();
        let Some(connection) = self.connections.get(key) else {
            return false;
        };
        let stream = &connection.stream;
        // The connection will be offered to the successor with what has been read. One that has ended cannot be offered.
        if only_successor_begins_sessions && stream.ended.is_none() {
            self.leave_to_successor(key);
            return false;
        }
        // A client that sends pings and does not read the responses must not make them pile up.
        if !stream.is_flushed() && stream.ended.is_none() {
            self.set_interest(key, Interest::WRITE);
            return false;
        }
        let ended = stream.ended;
        let bytes = stream.inbound.bytes();
        let is_empty = bytes.is_empty();
        match parse_first_line(bytes) {
            Ok(None) if ended.is_none() => self.update_interest(key),
            Ok(None) if is_empty || ended == Some(StreamEnd::Reset) => {
                self.drop_departed_client(key);
            }
            Ok(None) => self.reject_malformed(key, LineError::Malformed("end of line")),
            Err(fault) => self.reject_malformed(key, fault),
            Ok(Some((ClientGreeting::Ping, line_len))) => {
                return self.respond_to_ping(key, line_len);
            }
            Ok(Some((ClientGreeting::Open(_), _))) if only_successor_begins_sessions => {
                self.drop_departed_client(key);
            }
            Ok(Some((ClientGreeting::Open(open), line_len))) => {
                match self.validate_request(key, bytes, &open, line_len) {
                    Ok(request) => self.admit(key, request),
                    Err(fault) => self.reject_malformed(key, fault),
                }
            }
        }
        false
    }

    /// Leaves a pending client's first line to the successor, for a limited time once it is complete.
    fn leave_to_successor(&mut self, key: SlotKey) {
        self.update_interest(key);
        let timer = TimerKey::Connection(key);
        if self.pending_request(key).is_some()
            && let Some(deadline) = self.deadlines.get(timer)
        {
            let latest = self.now + SUCCESSOR_TIMEOUT;
            self.deadlines.set(timer, deadline.min(latest));
        }
    }

    /// The listener of a pending client's complete request; `None` while there is no valid one.
    fn pending_request(&self, key: SlotKey) -> Option<u8> {
        let connection = self.connections.get(key)?;
        match parse_first_line(connection.stream.inbound.bytes()) {
            Ok(Some((ClientGreeting::Open(open), _))) => {
                let (listener, _) = listener_and_tenant(&self.settings, &open)?;
                Some(listener)
            }
            _ => None,
        }
    }

    /// Answers a pending client at its deadline: one whose request the successor has not taken may try again, any other
    /// one has been silent.
    pub(super) fn reject_pending_at_deadline(&mut self, key: SlotKey) {
        let Some(listener) = self.pending_request(key) else {
            self.log_event(ReasonCode::ClientSilent, "client");
            return self.close_gracefully(key, &[ERROR_LINE]);
        };
        self.log_event(
            ReasonCode::HotRestartFailed,
            "request why=\"the successor does not take it\"",
        );
        self.metrics
            .count_session_end(listener, SessionEnd::Rejected);
        let line = busy_line(self.retry_after_at_limit());
        self.close_gracefully(key, &[line.as_bytes()]);
    }

    /// Closes the connection of a client that has left before a session began.
    fn drop_departed_client(&mut self, key: SlotKey) {
        self.close(key);
        self.log_event(
            ReasonCode::ClosedBeforeRequest,
            "client closed without a session request",
        );
    }

    /// The clients that have not requested a session yet.
    pub(super) fn pending_clients(&self) -> Vec<SlotKey> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.role == ConnectionRole::PendingClient)
            .map(|(key, _)| key)
            .collect()
    }

    /// Responds to a ping, the health check of the front proxy; it fails while this proxy is to get no sessions. Returns
    /// whether another line may follow.
    fn respond_to_ping(&mut self, key: SlotKey, line_len: usize) -> bool {
        let accepts_sessions = self.drain.answers_pings() && self.warm_start_admits_sessions();
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        connection.stream.inbound.consume(line_len);
        if !accepts_sessions {
            self.close_gracefully(key, &[ERROR_LINE]);
            return false;
        }
        connection.stream.send(&[PONG_LINE]);
        self.count_event(ReasonCode::PingAnswered);
        true
    }

    fn reject_malformed(&mut self, key: SlotKey, fault: LineError) {
        let bytes = self
            .connections
            .get(key)
            .map(|connection| connection.stream.inbound.bytes())
            .unwrap_or_default();
        let line = bytes[..bytes.len().min(MAX_LOGGED_LINE_BYTES)]
            .escape_ascii()
            .to_string();
        self.log_event(
            ReasonCode::ClientProtocolError,
            format!("client fault=\"{fault}\" line=\"{line}\""),
        );
        self.close_gracefully(key, &[ERROR_LINE]);
    }
}

/// Parses a client's first line and returns it with its length in bytes; `None` if the line is not complete.
fn parse_first_line(bytes: &[u8]) -> Result<Option<(ClientGreeting<'_>, usize)>, LineError> {
    let Some((text, line_len)) = line::first_line(bytes)? else {
        return Ok(None);
    };
    Ok(Some((parse_greeting(text)?, line_len)))
}
