//! The successor's part: checks what the predecessor offers, and adopts it.

use super::HotRestart;
use crate::protocol::client::{ClientGreeting, OpenRequest, parse_greeting};
use crate::routing::client;
use crate::routing::pending_client::GREETING_TIMEOUT;
use crate::routing::{
    ConnectionRole, ReasonCode, Router, SessionConnections, SessionInput, SessionMachine, TimerKey,
};
use crate::transport::{BufferedStream, SlotKey};
use asterramp_hot_restart::{
    BufferedBytes, HotRestartInput, HotRestartMessage, HotRestartState, OfferError, SessionOffer,
};
use asterramp_placement::event::{Outcome, ServerLoad};
use rustix::fd::OwnedFd;
use std::time::Duration;
use std::vec;

/// Why an offer is rejected. Operators see the texts in the log, so they must not change.
#[derive(Debug, thiserror::Error)]
enum InvalidOffer {
    /// This process is not taking over from another.
    #[error("nothing may be offered now")]
    NotTakingOver,
    /// The message is no offer.
    #[error("no offer")]
    NotAnOffer,
    /// Fewer descriptors came along than the message needs.
    #[error("a descriptor is missing")]
    MissingDescriptor,
    /// More unforwarded bytes than a connection may buffer.
    #[error("more bytes than may wait")]
    TooManyBytes,
    /// The client's first line does not open a session.
    #[error("its first line is none")]
    NoOpeningLine,
    /// The first line names a listener or a tenant that is not in the settings.
    #[error("a name is unknown")]
    UnknownName,
    /// The endpoint table does not contain the session's server.
    #[error("its server is unknown")]
    UnknownServer,
    /// This process has a session with the same id.
    #[error("it is open here")]
    AlreadyOpen,
    /// The acceptance could not be sent, or too many offers are unconfirmed.
    #[error(transparent)]
    Ownership(#[from] OfferError),
}

/// A valid offer, which can be adopted.
#[derive(Debug)]
pub(super) enum ReceivedOffer {
    /// A client's connection without a complete first line.
    PendingConnection(BufferedStream),
    /// An open session with its two connections.
    Session(Box<ReceivedSession>),
}

/// An open session, as the predecessor passed it on.
#[derive(Debug)]
pub(super) struct ReceivedSession {
    machine: SessionMachine,
    session: SessionConnections,
    client: ReceivedStream,
    server: ReceivedStream,
    /// How much longer the server may take to answer the client's last line; `None` if no answer is
    /// awaited.
    response_timeout: Option<Duration>,
}

/// One of a session's connections, with what the predecessor had read from it.
#[derive(Debug)]
struct ReceivedStream {
    stream: BufferedStream,
    /// How many of its buffered bytes, from the front, are complete, validated lines.
    validated_len: usize,
}

impl ReceivedOffer {
    fn descriptor_count(&self) -> usize {
        match self {
            ReceivedOffer::PendingConnection(_) => 1,
            ReceivedOffer::Session(_) => 2,
        }
    }
}

impl Router {
    /// Handles an offer of the predecessor. A valid offer is accepted, and the predecessor is
    /// notified of that before the connection is used; an invalid one ends the handover.
    pub(super) fn receive_offer(&mut self, offer: HotRestartMessage, descriptors: Vec<OwnedFd>) {
        match self.accept_offer(offer, descriptors) {
            Ok(accepted) => {
                self.handle_hot_restart_input(HotRestartInput::OfferReceived);
                if let Some(received) = accepted {
                    self.adopt(received);
                }
            }
            Err(error) => {
                let text = error.to_string();
                self.log_event(ReasonCode::HotRestartFailed, format!("offer why={text:?}"));
                self.handle_hot_restart_input(HotRestartInput::PeerFailed);
            }
        }
    }

    /// Checks and accepts an offer. Returns it if it may be adopted now; `None` if the predecessor
    /// is gone, so that the offer is unconfirmed until the link has ended.
    fn accept_offer(
        &mut self,
        offer: HotRestartMessage,
        descriptors: Vec<OwnedFd>,
    ) -> Result<Option<ReceivedOffer>, InvalidOffer> {
        let is_taking_over =
            |hot_restart: &HotRestart| hot_restart.state == HotRestartState::TakingOver;
        if !self.hot_restart.as_ref().is_some_and(is_taking_over) {
            return Err(InvalidOffer::NotTakingOver);
        }
        let received = self.check_offer(offer, descriptors)?;
        let acceptance = self.send_hot_restart(&HotRestartMessage::OfferAccepted, &[]);
        let Some(hot_restart) = &mut self.hot_restart else {
            return Ok(None);
        };
        Ok(hot_restart.ownership.receive_offer(received, acceptance)?)
    }

    fn check_offer(
        &self,
        offer: HotRestartMessage,
        descriptors: Vec<OwnedFd>,
    ) -> Result<ReceivedOffer, InvalidOffer> {
        let mut descriptors = descriptors.into_iter();
        match offer {
            HotRestartMessage::PendingConnectionOffer(buffered) => {
                let stream = next_stream(&mut descriptors, &buffered)?;
                Ok(ReceivedOffer::PendingConnection(stream))
            }
            HotRestartMessage::SessionOffer(offer) => {
                let received = self.check_session_offer(offer, &mut descriptors)?;
                Ok(ReceivedOffer::Session(Box::new(received)))
            }
            _ => Err(InvalidOffer::NotAnOffer),
        }
    }

    fn check_session_offer(
        &self,
        offer: SessionOffer,
        descriptors: &mut vec::IntoIter<OwnedFd>,
    ) -> Result<ReceivedSession, InvalidOffer> {
        let open = parse_opening_line(&offer.opening_line)?;
        let (listener, tenant) =
            client::listener_and_tenant(&self.settings, &open).ok_or(InvalidOffer::UnknownName)?;
        let server = self
            .endpoints
            .find(&offer.server_uid)
            .ok_or(InvalidOffer::UnknownServer)?;
        if self.session_ids.contains(open.id) {
            return Err(InvalidOffer::AlreadyOpen);
        }
        let request = client::session_request(&open, self.now, listener, tenant);
        let session = SessionConnections {
            client: None,
            server: None,
            request_line: offer.opening_line.clone(),
            wait_range: open.wait_range.clone(),
            restored_server_uid: None,
            awaiting_response: offer.response_timeout.is_some(),
            response_overdue: true,
            announced_end: None,
        };
        let machine =
            SessionMachine::open(self.now, request, server, self.settings.connect_timeout);
        Ok(ReceivedSession {
            machine,
            session,
            client: ReceivedStream::next(descriptors, &offer.from_client)?,
            server: ReceivedStream::next(descriptors, &offer.from_server)?,
            response_timeout: offer.response_timeout,
        })
    }

    /// Takes the offers whose acceptance the predecessor could not be notified of.
    pub(super) fn take_unconfirmed_offers(&mut self) -> Vec<ReceivedOffer> {
        self.hot_restart
            .as_mut()
            .map(|hot_restart| hot_restart.ownership.take_unconfirmed())
            .unwrap_or_default()
    }

    /// Closes this process's descriptors of the offers whose acceptance the predecessor could not
    /// be notified of. The connections stay open, since the predecessor has descriptors of them
    /// too.
    pub(super) fn discard_unconfirmed_offers(&mut self) {
        drop(self.take_unconfirmed_offers());
    }

    /// Takes an accepted offer into service: its connections are watched, and what the predecessor
    /// had read from them is processed.
    pub(super) fn adopt(&mut self, received: ReceivedOffer) {
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.peer_descriptors = hot_restart
                .peer_descriptors
                .saturating_sub(received.descriptor_count());
        }
        match received {
            ReceivedOffer::PendingConnection(stream) => self.adopt_pending_connection(stream),
            ReceivedOffer::Session(session) => self.adopt_session(*session),
        }
    }

    fn adopt_pending_connection(&mut self, stream: BufferedStream) {
        let Some(key) = self.register_stream(stream, ConnectionRole::PendingClient, 0) else {
            return;
        };
        self.deadlines
            .set(TimerKey::Connection(key), self.now + GREETING_TIMEOUT);
        self.read_greeting(key);
    }

    fn adopt_session(&mut self, received: ReceivedSession) {
        let id = received.session.id();
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.predecessor_sessions.remove(id);
        }
        self.session_ids.insert(id.to_string());
        let awaiting_response = received.session.awaiting_response;
        let key = self
            .session_table
            .inherit_session(self.now, received.machine, received.session);
        let client = self.register_received(received.client, ConnectionRole::Client(key));
        let server = self.register_received(received.server, ConnectionRole::Server(key));
        if let Some(session) = self.session_mut(key) {
            session.client = client;
            session.server = server;
        }
        self.count_event(ReasonCode::SessionAdopted);
        if client.is_none() || server.is_none() {
            return self.abandon_session(key, [client, server]);
        }
        self.check_received_client(client);
        if awaiting_response {
            let timeout = received.response_timeout.unwrap_or_default();
            self.deadlines
                .set(TimerKey::Session(key), self.now + timeout);
        }
        self.forward(key);
    }

    /// Checks whether the client of an adopted session has reset its connection meanwhile: the lines that it had sent are
    /// not passed on then.
    fn check_received_client(&mut self, client: Option<SlotKey>) {
        let connection = client.and_then(|key| self.connections.get_mut(key));
        if let Some(connection) = connection {
            connection.stream.check_reset();
        }
    }

    fn register_received(
        &mut self,
        received: ReceivedStream,
        role: ConnectionRole,
    ) -> Option<SlotKey> {
        self.register_stream(received.stream, role, received.validated_len)
    }

    /// Ends a session of which one connection could not be registered and is closed already.
    fn abandon_session(&mut self, key: SlotKey, connections: [Option<SlotKey>; 2]) {
        for connection in connections.into_iter().flatten() {
            self.close(connection);
        }
        if let Some(session) = self.session_mut(key) {
            session.client = None;
            session.server = None;
        }
        let closed = SessionInput::SessionClosed {
            outcome: Outcome::Reset,
            load: ServerLoad::default(),
        };
        self.handle_session_input(key, closed);
    }
}

/// Parses a session's first line, which must open a session.
fn parse_opening_line(line: &[u8]) -> Result<OpenRequest<'_>, InvalidOffer> {
    let text = line
        .strip_suffix(b"\r\n")
        .and_then(|line| std::str::from_utf8(line).ok())
        .ok_or(InvalidOffer::NoOpeningLine)?;
    match parse_greeting(text) {
        Ok(ClientGreeting::Open(open)) => Ok(open),
        _ => Err(InvalidOffer::NoOpeningLine),
    }
}

impl ReceivedStream {
    fn next(
        descriptors: &mut vec::IntoIter<OwnedFd>,
        buffered: &BufferedBytes,
    ) -> Result<ReceivedStream, InvalidOffer> {
        Ok(ReceivedStream {
            stream: next_stream(descriptors, buffered)?,
            validated_len: buffered.validated_len,
        })
    }
}

/// A stream from the next descriptor, with the bytes that the predecessor had read from it.
fn next_stream(
    descriptors: &mut vec::IntoIter<OwnedFd>,
    buffered: &BufferedBytes,
) -> Result<BufferedStream, InvalidOffer> {
    let fd = descriptors.next().ok_or(InvalidOffer::MissingDescriptor)?;
    BufferedStream::inherited(fd, &buffered.bytes).ok_or(InvalidOffer::TooManyBytes)
}
