//! The predecessor's part of a hot restart: sends its state, offers its connections, and releases
//! or resumes them.

use super::endpoint_records::record_from_endpoint;
use super::{Offer, READABLE};
use crate::routing::forwarding;
use crate::routing::pending_client::GREETING_TIMEOUT;
use crate::routing::session_table::SessionSlot;
use crate::routing::{
    ConnectionRole, ReasonCode, Router, SessionConnections, SessionInput, SessionState, TimerKey,
};
use crate::transport::{SlotKey, seqpacket};
use asterramp_hot_restart::{
    BufferedBytes, EndpointRecord, HotRestartMessage, MAX_ENDPOINTS_PER_MESSAGE, MAX_MESSAGE_BYTES,
    SendOutcome, SessionOffer,
};
use asterramp_placement::event::{Outcome, ServerLoad};
use asterramp_warm_start::WarmStart;
use std::time::Duration;

/// Delay before reporting and offering are tried again, in case the link was full or more sessions
/// have opened meanwhile. Accepted offers are followed by the next ones without this delay.
const OFFER_INTERVAL: Duration = Duration::from_millis(10);

/// An offer in the form in which it is sent.
#[derive(Debug)]
struct PreparedOffer {
    message: HotRestartMessage,
    /// Connections whose descriptors are sent along, in the order that the message prescribes.
    connections: Vec<SlotKey>,
}

impl Router {
    /// Sends the successor the complete endpoint list and then the listener. Returns whether all of
    /// it was sent.
    pub(super) fn send_endpoints_and_listener(&mut self) -> bool {
        let Some(listener) = self.listener else {
            return false;
        };
        let announcement = HotRestartMessage::session_ids_announcement();
        if self.send_hot_restart(&announcement, &[]) != SendOutcome::Sent {
            return false;
        }
        let records: Vec<EndpointRecord> = self
            .endpoints
            .remembered_endpoints()
            .map(record_from_endpoint)
            .collect();
        for records in records.chunks(MAX_ENDPOINTS_PER_MESSAGE) {
            let message = HotRestartMessage::Endpoints(records.to_vec());
            if self.send_hot_restart(&message, &[]) != SendOutcome::Sent {
                return false;
            }
        }
        let message = HotRestartMessage::Listener {
            list_revision: self.revision_for_successor(),
        };
        self.send_hot_restart(&message, &[listener]) == SendOutcome::Sent
    }

    /// Revision after which the successor asks discovery for changes; 0 for the complete list, which an outdated list does
    /// not replace.
    fn revision_for_successor(&self) -> u64 {
        let is_outdated = self
            .warm_start_state()
            .is_some_and(WarmStart::has_outdated_list);
        if is_outdated {
            0
        } else {
            self.discovery_watch.revision()
        }
    }

    /// Reports sessions, and offers connections that may be offered now, up to the limit of pending offers, and schedules
    /// the next attempt.
    pub(in crate::routing) fn continue_offers(&mut self) {
        if !self.has_successor() {
            return;
        }
        self.deadlines
            .set(TimerKey::HotRestart, self.now + OFFER_INTERVAL);
        // The successor must know the sessions of this process before it begins any.
        if !self.report_sessions() {
            return;
        }
        for offer in self.next_offers() {
            let Some(prepared) = self.prepare_offer(offer) else {
                continue;
            };
            let send_outcome = self.send_hot_restart(&prepared.message, &prepared.connections);
            if send_outcome != SendOutcome::Sent {
                return;
            }
            self.suspend_offered(offer, &prepared.connections);
        }
    }

    /// The next offers, pending connections first, up to the limit of pending offers.
    fn next_offers(&self) -> Vec<Offer> {
        let Some(hot_restart) = &self.hot_restart else {
            return Vec::new();
        };
        let pending_connections = self
            .connections
            .iter()
            .filter(|(key, _)| self.may_offer_pending_connection(*key))
            .map(|(key, _)| Offer::PendingConnection(key));
        let sessions = self
            .session_table
            .sessions
            .iter()
            .filter(|(key, slot)| self.may_offer_session(*key, slot))
            .map(|(key, _)| Offer::Session(key));
        pending_connections
            .chain(sessions)
            .take(hot_restart.ownership.free_offer_slots())
            .collect()
    }

    fn may_offer_pending_connection(&self, key: SlotKey) -> bool {
        let awaits_first_line = self
            .connections
            .get(key)
            .is_some_and(|connection| connection.role == ConnectionRole::PendingClient);
        awaits_first_line
            && self.has_no_pending_io(Some(key))
            && !self.is_pending_offer(Offer::PendingConnection(key))
    }

    /// Whether a session is open on both sides and can be offered: this process has no output left
    /// to write, and neither side has begun to end the session.
    fn may_offer_session(&self, key: SlotKey, slot: &SessionSlot<SessionConnections>) -> bool {
        let is_open = slot.machine.state == SessionState::Open && !slot.machine.client_left;
        is_open
            && slot.driver_data.announced_end.is_none()
            && self.has_no_pending_io(slot.driver_data.client)
            && self.has_no_pending_io(slot.driver_data.server)
            && !self.is_session_offered(key)
    }

    /// Whether a connection has not ended and has no buffered output.
    fn has_no_pending_io(&self, key: Option<SlotKey>) -> bool {
        key.and_then(|key| self.connections.get(key))
            .is_some_and(|connection| {
                connection.stream.ended.is_none() && connection.stream.is_flushed()
            })
    }

    fn prepare_offer(&self, offer: Offer) -> Option<PreparedOffer> {
        match offer {
            Offer::PendingConnection(key) => Some(PreparedOffer {
                message: HotRestartMessage::PendingConnectionOffer(self.buffered_bytes(key)?),
                connections: vec![key],
            }),
            Offer::Session(key) => self.prepare_session_offer(key),
        }
    }

    fn prepare_session_offer(&self, key: SlotKey) -> Option<PreparedOffer> {
        let slot = self.session_table.sessions.get(key)?;
        let client = slot.driver_data.client?;
        let server = slot.driver_data.server?;
        let offer = SessionOffer {
            opening_line: slot.driver_data.request_line.clone(),
            server_uid: self.endpoints.uid(slot.machine.server).into(),
            response_timeout: self.remaining_response_timeout(key, &slot.driver_data),
            from_client: self.buffered_bytes(client)?,
            from_server: self.buffered_bytes(server)?,
        };
        Some(PreparedOffer {
            message: HotRestartMessage::SessionOffer(offer),
            connections: vec![client, server],
        })
    }

    /// How long until the session is migrated because its server does not answer a line; `None` if
    /// no answer is awaited. While the answer is not overdue, the session's timer runs until it is;
    /// the successor regards it as overdue from the beginning, so the time from there until the
    /// migration is added.
    fn remaining_response_timeout(
        &self,
        key: SlotKey,
        session: &SessionConnections,
    ) -> Option<Duration> {
        if !session.awaiting_response {
            return None;
        }
        let timer = self.deadlines.get(TimerKey::Session(key))?;
        let time_after_overdue = if session.response_overdue {
            Duration::ZERO
        } else {
            forwarding::time_from_overdue_to_migration(self.settings.connect_timeout)
        };
        Some(timer.saturating_sub(self.now) + time_after_overdue)
    }

    /// What this process has read from a connection and not forwarded yet.
    fn buffered_bytes(&self, key: SlotKey) -> Option<BufferedBytes> {
        let connection = self.connections.get(key)?;
        Some(BufferedBytes {
            validated_len: connection.complete_len,
            bytes: connection.stream.inbound.bytes().to_vec(),
        })
    }

    /// Records an offer that has been sent, and stops watching and timing its connections until it
    /// is released or resumed.
    fn suspend_offered(&mut self, offer: Offer, connections: &[SlotKey]) {
        for key in connections {
            if let Some(connection) = self.connections.get(*key) {
                self.poller.remove(&connection.stream);
            }
            self.deadlines.clear(TimerKey::Connection(*key));
        }
        if let Offer::Session(key) = offer {
            self.deadlines.clear(TimerKey::Session(key));
        }
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.ownership.add_offer(offer);
        }
    }

    /// Takes the oldest pending offer, which the successor has accepted; `None` if none is pending.
    pub(super) fn take_accepted_offer(&mut self) -> Option<Offer> {
        self.hot_restart.as_mut()?.ownership.take_oldest_offer()
    }

    /// Releases the offers that a living successor has accepted so far. Receiving on the link ends,
    /// so the successor cannot accept more.
    pub(super) fn release_accepted_offers(&mut self) {
        for _ in 0..self.shut_down_and_count_accepted() {
            if let Some(offer) = self.take_accepted_offer() {
                self.release_offer(offer);
            }
        }
    }

    /// Ends receiving on the link, and returns the number of `OfferAccepted` messages that had
    /// arrived before.
    fn shut_down_and_count_accepted(&self) -> usize {
        let link = self
            .hot_restart_link()
            .and_then(|key| self.connections.get(key));
        let Some(link) = link else {
            return 0;
        };
        // This fails only for a link that has ended, on which nothing more arrives.
        let _ = seqpacket::shutdown_read(&link.stream);
        let mut accepted = 0;
        while let Ok(Some(received)) = seqpacket::receive(&link.stream, MAX_MESSAGE_BYTES) {
            if received.bytes.is_empty() {
                break;
            }
            if HotRestartMessage::decode(&received.bytes) == Ok(HotRestartMessage::OfferAccepted) {
                accepted += 1;
            }
        }
        accepted
    }

    /// Closes this process's descriptors of an offer that the successor owns or may own. Nothing is
    /// read or written on its connections, and they stay open.
    pub(super) fn release_offer(&mut self, offer: Offer) {
        match offer {
            Offer::PendingConnection(key) => {
                self.unregister(key);
            }
            Offer::Session(key) => {
                self.count_event(ReasonCode::SessionHandedOver);
                let client = self.take_client(key);
                let server = self.take_server(key);
                for connection in [client, server].into_iter().flatten() {
                    self.unregister(connection);
                }
                let closed = SessionInput::SessionClosed {
                    outcome: Outcome::Cancelled,
                    load: ServerLoad::default(),
                };
                self.handle_session_input(key, closed);
            }
        }
    }

    /// Serves the connections of an offer again that was not accepted.
    pub(super) fn resume_offer(&mut self, offer: Offer) {
        match offer {
            Offer::PendingConnection(key) => {
                self.resume_watching(key);
                self.deadlines
                    .set(TimerKey::Connection(key), self.now + GREETING_TIMEOUT);
                self.read_greeting(key);
            }
            Offer::Session(key) => self.resume_session(key),
        }
    }

    fn resume_session(&mut self, key: SlotKey) {
        let Some(session) = self.session_mut(key) else {
            return;
        };
        let connections = [session.client, session.server];
        let awaiting_response = session.awaiting_response;
        for connection in connections.into_iter().flatten() {
            self.resume_watching(connection);
        }
        if awaiting_response {
            self.deadlines.set(
                TimerKey::Session(key),
                self.now + forwarding::RESPONSE_TIMEOUT,
            );
            if let Some(session) = self.session_mut(key) {
                session.response_overdue = true;
            }
        }
        self.forward(key);
    }

    fn resume_watching(&mut self, key: SlotKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.stream.interest = READABLE;
            // This fails only for a socket that cannot be watched, and this one was watched before.
            let _ = self
                .poller
                .add(&connection.stream, key, connection.stream.interest);
        }
    }
}
