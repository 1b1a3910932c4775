//! Queries between proxies: after a power loss, a proxy asks others which endpoints they know, and responds to their
//! queries.
//!
//! Endpoints in a response are not trusted: they are probed before use, so a false one costs no more than a probe.

mod message;
mod response;

use super::types::{ConnectionRole, TimerKey};
use super::{ReasonCode, Router};
use crate::protocol::discovery::ListedEndpoint;
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::event::{EndpointState, ServerId};
use asterramp_warm_start::{
    EndpointReport, EndpointSource, InformationAge, WarmStart, information_age,
};
use message::{Known, KnownHost};
use std::net::SocketAddr;
use std::time::Duration;

/// Path of the HTTP query between proxies, in addition to those of `asterramp_admin_protocol::HTTP_ROUTES`.
pub const KNOWN_ENDPOINTS_PATH: &str = "/ops/known";

/// Longest response that is read, in bytes; a longer one is not used.
const MAX_RESPONSE_BYTES: usize = 128 << 10;
/// Most proxies that are queried in one round.
pub(super) const MAX_QUERIES_PER_ROUND: usize = 8;
/// Timeout of a query, from connecting to the end of the response, as a multiple of the connect timeout.
const QUERY_TIMEOUT_FACTOR: u32 = 2;
/// Longest uid of an endpoint in a response, in bytes; endpoints with a longer one are ignored.
const MAX_UID_BYTES: usize = 256;

/// Which proxies to query, and the fleet whose proxies trust each other's responses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerSettings {
    /// Name of the fleet; empty where this proxy neither queries other proxies nor responds to them.
    pub fleet: String,
    /// Addresses of the other proxies' HTTP listeners for operators; empty if none is queried.
    pub addresses: Vec<SocketAddr>,
}

/// Why a peer's response is not used. Operators see the texts in the log.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection failed.
    #[error("it cannot be reached")]
    Unreachable,
    /// The response was not complete in time.
    #[error("it does not answer in time")]
    TimedOut,
    /// The response is longer than `MAX_RESPONSE_BYTES`.
    #[error("its answer is too long")]
    TooLong,
    /// The connection ended before the end of the HTTP head.
    #[error("its answer has no head")]
    NoHead,
    /// The HTTP status is not 200.
    #[error("it answers no")]
    Refused,
    /// The body is not the expected JSON.
    #[error("its answer cannot be read: {0}")]
    Unreadable(#[source] serde_json::Error),
    /// The message has another version.
    #[error("its answer has version {0}")]
    OtherVersion(u32),
    /// The proxy belongs to another fleet.
    #[error("it is of another fleet")]
    OtherFleet,
    /// The response contains more endpoints than allowed.
    #[error("its answer lists too many endpoints")]
    TooManyEndpoints,
}

/// A query in progress.
#[derive(Debug)]
struct PeerQuery {
    connection: SlotKey,
    is_sent: bool,
    /// The part of the response that has been received.
    response: Vec<u8>,
}

/// Queries in progress, and the order in which peers are queried.
#[derive(Debug, Default)]
pub struct Peers {
    settings: PeerSettings,
    queries: Vec<PeerQuery>,
    /// Index of the address with which the next round begins, modulo the number of addresses.
    next_address: usize,
}

impl Router {
    /// Sets the peers to query. Each proxy of a fleet begins with another address, which spreads the queries.
    pub fn configure_peers(&mut self, settings: PeerSettings) {
        self.peers = Peers {
            settings,
            queries: Vec::new(),
            next_address: self.settings.deployment.proxy_index as usize,
        };
    }

    /// Queries up to [`MAX_QUERIES_PER_ROUND`] peers, beginning after those of the last round. Queries still in
    /// progress are closed.
    pub(super) fn query_peers(&mut self) {
        self.close_peer_queries();
        for address in self.peers.next_round() {
            self.query_peer(address);
        }
        if self.peers.queries.is_empty() {
            self.finish_peer_round();
        }
    }

    fn query_peer(&mut self, address: SocketAddr) {
        let Ok(fd) = socket::connect(address) else {
            return;
        };
        let Some(connection) = self.register(fd, ConnectionRole::Peer, Interest::WRITE) else {
            return;
        };
        self.peers.queries.push(PeerQuery {
            connection,
            is_sent: false,
            response: Vec::new(),
        });
        let deadline = self.now + self.settings.connect_timeout * QUERY_TIMEOUT_FACTOR;
        self.deadlines
            .set(TimerKey::Connection(connection), deadline);
    }

    /// Notifies the warm start that all queries of a round have ended.
    fn finish_peer_round(&mut self) {
        let now = self.now;
        if let Some(progress) = &mut self.warm_start {
            progress.machine.peer_queries_finished(now);
        }
        self.apply_warm_start_effects();
    }

    /// Closes all queries in progress.
    pub(super) fn close_peer_queries(&mut self) {
        for query in std::mem::take(&mut self.peers.queries) {
            self.close(query.connection);
        }
    }

    /// Handles readiness of a query's connection: sends the query at first, reads the response afterwards.
    pub(super) fn peer_ready(&mut self, event: ReadyEvent) {
        let Some(index) = self.peers.find_query(event.key) else {
            return;
        };
        if self.peers.queries[index].is_sent {
            self.read_peer_response(index, event);
        } else {
            self.send_peer_query(index, event.key);
        }
    }

    fn send_peer_query(&mut self, index: usize, key: SlotKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if !connection.stream.is_connected() {
            return self.fail_peer_query(key, &PeerError::Unreachable);
        }
        self.peers.queries[index].is_sent = true;
        let request = format!("GET {KNOWN_ENDPOINTS_PATH} HTTP/1.1\r\nHost: proxy\r\n\r\n");
        connection.stream.send(&[request.as_bytes()]);
        self.update_interest(key);
    }

    fn read_peer_response(&mut self, index: usize, event: ReadyEvent) {
        let key = event.key;
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.stream.read_once(event.failed);
        let has_ended = connection.stream.ended.is_some();
        let response = &mut self.peers.queries[index].response;
        let bytes = connection.stream.inbound.bytes();
        let read_len = bytes.len();
        response.extend_from_slice(bytes);
        connection.stream.inbound.consume(read_len);
        if response.len() > MAX_RESPONSE_BYTES {
            return self.fail_peer_query(key, &PeerError::TooLong);
        }
        if !has_ended {
            return self.update_interest(key);
        }
        let response = std::mem::take(response);
        match message::parse_response(&response, &self.peers.settings.fleet) {
            Ok(known) => {
                self.apply_peer_response(known);
                self.close_peer_query(key);
                self.finish_round_if_last();
            }
            Err(error) => self.fail_peer_query(key, &error),
        }
    }

    /// Ends a query whose response cannot be used, and logs why.
    pub(super) fn fail_peer_query(&mut self, key: SlotKey, error: &PeerError) {
        self.close_peer_query(key);
        let about = format!("peer why={:?}", error.to_string());
        self.log_event(ReasonCode::PeerFailed, about);
        self.finish_round_if_last();
    }

    fn close_peer_query(&mut self, key: SlotKey) {
        self.peers.queries.retain(|query| query.connection != key);
        self.close(key);
    }

    fn finish_round_if_last(&mut self) {
        if self.peers.queries.is_empty() {
            self.finish_peer_round();
        }
    }

    fn apply_peer_response(&mut self, known: Known) {
        self.count_event(ReasonCode::PeerAnswered);
        let is_accepted = self
            .warm_start_state()
            .is_some_and(WarmStart::accepts_reports);
        if !is_accepted {
            return;
        }
        for host in known.hosts {
            if self.is_usable(&host) {
                self.apply_peer_endpoint(host, known.list_revision);
            }
        }
    }

    /// Whether an endpoint of a response has valid values and a zone of this proxy's settings.
    fn is_usable(&self, host: &KnownHost) -> bool {
        self.settings.zones.contains(&host.zone)
            && host.weight.is_finite()
            && host.weight >= 0.0
            && host.uid.len() <= MAX_UID_BYTES
    }

    fn apply_peer_endpoint(&mut self, host: KnownHost, list_revision: u64) {
        // The peer's clock may differ, so its message gives an age rather than a time.
        let confirmed_at = self.now.checked_sub(Duration::from_millis(host.age_ms));
        let age = confirmed_at.map_or(InformationAge::Unknown, |at| {
            information_age(self.now, Some(at))
        });
        if let Some(server) = self.endpoints.find(&host.uid) {
            // A peer's response does not change the address of an endpoint that is known already.
            let address = host.address;
            if self.endpoints.address(server) == Some(address) {
                self.report_peer_endpoint(server, address, age, list_revision);
            }
            return;
        }
        let address = host.address;
        let load_per_connection = host
            .load_per_connection
            .filter(|load| load.is_finite() && *load > 0.0);
        // The endpoint is not used before it has responded to a probe.
        let listed = listed_as_gone(host);
        let Some(change) = self.endpoints.update(listed) else {
            return;
        };
        if change.reuses_index {
            self.reset_server(change.endpoint);
        }
        let server = change.endpoint.server;
        self.endpoints.set_address(server, address);
        if let Some(progress) = &mut self.warm_start {
            progress.restore_load_per_connection(server, load_per_connection);
        }
        self.report_peer_endpoint(server, address, age, list_revision);
    }

    fn report_peer_endpoint(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        information_age: InformationAge,
        list_revision: u64,
    ) {
        let now = self.now;
        let report = EndpointReport {
            id: server,
            address,
            source: EndpointSource::Peer,
            age: information_age,
            list_revision,
        };
        if let Some(progress) = &mut self.warm_start {
            progress.machine.report(now, report);
        }
    }
}

impl Peers {
    fn find_query(&self, connection: SlotKey) -> Option<usize> {
        self.queries
            .iter()
            .position(|query| query.connection == connection)
    }

    /// Addresses to query now. The next round begins after them, whether or not they can be reached.
    fn next_round(&mut self) -> Vec<SocketAddr> {
        let addresses = &self.settings.addresses;
        let first = self.next_address % addresses.len().max(1);
        let round: Vec<SocketAddr> = addresses
            .iter()
            .cycle()
            .skip(first)
            .take(addresses.len().min(MAX_QUERIES_PER_ROUND))
            .copied()
            .collect();
        self.next_address += round.len();
        round
    }
}

/// An endpoint of a response in discovery's form, in the state in which it is not used.
fn listed_as_gone(host: KnownHost) -> ListedEndpoint {
    ListedEndpoint {
        uid: host.uid,
        address: host.address,
        zone: host.zone,
        cell: host.cell,
        state: EndpointState::Gone,
        weight: host.weight,
        started_at: host.started_ms.map(Duration::from_millis),
    }
}
