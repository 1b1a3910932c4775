//! After a power loss, a proxy asks others which endpoints they know, and answers those that ask.
//!
//! An answer is evidence, never an order: the endpoints in it are probed first, so a false one costs no more than that.

mod message;
mod response;

use super::types::{ConnectionRole, TimerKey};
use super::{ReasonCode, Router};
use crate::protocol::discovery::ListedEndpoint;
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::event::{EndpointState, ServerId};
use asterramp_warm_start::{EndpointReport, EndpointSource, InformationAge, information_age};
use message::{Known, KnownHost};
use std::net::SocketAddr;
use std::time::Duration;

/// Path of the HTTP call, beside those of `asterramp_admin_protocol::CALLS`.
pub const KNOWN_ENDPOINTS_PATH: &str = "/ops/known";

/// Longest answer that is read, in bytes.
const MAX_ANSWER_LEN: usize = 128 << 10;
/// Proxies that are asked at once.
const MAX_QUERIES: usize = 8;
/// An answer is waited for this many times as long as a connection.
const ANSWER_TIMEOUT_FACTOR: u32 = 2;
/// Longest uid that is taken from an answer, in bytes.
const MAX_UID_LEN: usize = 256;

/// Whom to ask, and what tells a fleet's proxies from others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerSettings {
    /// Name of the fleet; empty where proxies neither ask nor answer.
    pub fleet: String,
    /// Addresses of the other proxies.
    pub addresses: Vec<SocketAddr>,
}

/// Why a proxy's answer is not used.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection failed.
    #[error("it cannot be reached")]
    Unreachable,
    /// No answer came in time.
    #[error("it does not answer in time")]
    TimedOut,
    /// The answer is longer than an answer may be.
    #[error("its answer is too long")]
    TooLong,
    /// The connection ended within the HTTP head.
    #[error("its answer has no head")]
    NoHead,
    /// The HTTP status is not 200.
    #[error("it answers no")]
    Refused,
    /// The body is not the expected JSON.
    #[error("its answer cannot be read: {0}")]
    Unreadable(#[source] serde_json::Error),
    /// The message has another version.
    #[error("it speaks version {0}")]
    OtherVersion(u32),
    /// The proxy belongs to another fleet.
    #[error("it is of another fleet")]
    OtherFleet,
    /// The answer names more endpoints than an answer may.
    #[error("it names too many hosts")]
    TooManyEndpoints,
}

/// A query that is out.
#[derive(Debug)]
struct PeerQuery {
    connection: SlotKey,
    is_sent: bool,
    /// What has come of the answer.
    answer: Vec<u8>,
}

/// Queries that are out, and whom to ask next.
#[derive(Debug, Default)]
pub struct Peers {
    settings: PeerSettings,
    queries: Vec<PeerQuery>,
    /// Index of the address with which the next round begins.
    next_address: usize,
}

impl Router {
    /// Sets whom to ask. Each proxy of a fleet begins with another address.
    pub fn configure_peers(&mut self, settings: PeerSettings) {
        self.peers = Peers {
            settings,
            queries: Vec::new(),
            next_address: self.settings.deployment.proxy_index as usize,
        };
    }

    /// Asks some of the other proxies, different ones in each round.
    pub(super) fn query_peers(&mut self) {
        self.close_peers();
        for address in self.peers.next_round() {
            self.query_peer(address);
        }
        if self.peers.queries.is_empty() {
            self.peer_round_ended();
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
            answer: Vec::new(),
        });
        let deadline = self.now + self.settings.connect_timeout * ANSWER_TIMEOUT_FACTOR;
        self.deadlines
            .set(TimerKey::Connection(connection), deadline);
    }

    fn peer_round_ended(&mut self) {
        let now = self.now;
        if let Some(start) = &mut self.warm_start {
            start.machine.peer_queries_finished(now);
        }
        self.apply_warm_start_effects();
    }

    /// Drops all queries.
    pub(super) fn close_peers(&mut self) {
        for query in std::mem::take(&mut self.peers.queries) {
            self.close(query.connection);
        }
    }

    /// Something came on the connection of a query, or it came up.
    pub(super) fn peer_ready(&mut self, event: ReadyEvent) {
        let Some(index) = self.peers.find_query(event.key) else {
            return;
        };
        if self.peers.queries[index].is_sent {
            self.read_peer_answer(index, event);
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

    fn read_peer_answer(&mut self, index: usize, event: ReadyEvent) {
        let key = event.key;
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.stream.read_once(event.failed);
        let has_ended = connection.stream.ended.is_some();
        let answer = &mut self.peers.queries[index].answer;
        let bytes = connection.stream.inbound.bytes();
        let read_len = bytes.len();
        answer.extend_from_slice(bytes);
        connection.stream.inbound.consume(read_len);
        if answer.len() > MAX_ANSWER_LEN {
            return self.fail_peer_query(key, &PeerError::TooLong);
        }
        if !has_ended {
            return self.update_interest(key);
        }
        let answer = std::mem::take(answer);
        match message::parse_response(&answer, &self.peers.settings.fleet) {
            Ok(known) => {
                self.apply_peer_answer(known);
                self.close_peer_query(key);
                self.end_round_if_last();
            }
            Err(error) => self.fail_peer_query(key, &error),
        }
    }

    /// Ends a query whose answer cannot be used.
    pub(super) fn fail_peer_query(&mut self, key: SlotKey, error: &PeerError) {
        self.close_peer_query(key);
        let about = format!("peer why={:?}", error.to_string());
        self.log_event(ReasonCode::PeerFailed, about);
        self.end_round_if_last();
    }

    fn close_peer_query(&mut self, key: SlotKey) {
        self.peers.queries.retain(|query| query.connection != key);
        self.close(key);
    }

    fn end_round_if_last(&mut self) {
        if self.peers.queries.is_empty() {
            self.peer_round_ended();
        }
    }

    fn apply_peer_answer(&mut self, known: Known) {
        self.count_event(ReasonCode::PeerAnswered);
        for host in known.hosts {
            if self.warm_start.is_some() && self.is_usable(&host) {
                self.apply_peer_host(host, known.list_revision);
            }
        }
    }

    fn is_usable(&self, host: &KnownHost) -> bool {
        self.settings.zones.contains(&host.zone)
            && host.weight.is_finite()
            && host.weight >= 0.0
            && host.uid.len() <= MAX_UID_LEN
    }

    fn apply_peer_host(&mut self, host: KnownHost, list_revision: u64) {
        // The peer's clock may differ, but a time span by it is good.
        let news_at = self.now.checked_sub(Duration::from_millis(host.age_ms));
        let age = news_at.map_or(InformationAge::Unknown, |at| {
            information_age(self.now, Some(at))
        });
        if let Some(server) = self.endpoints.find(&host.uid) {
            // A peer's answer does not change the address of an endpoint that is known already.
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
        // It does not count as listed before it responds.
        let listed = listed_as_gone(host);
        let Some(change) = self.endpoints.update(listed) else {
            return;
        };
        let server = change.endpoint.server;
        self.endpoints.set_address(server, address);
        if let Some(start) = &mut self.warm_start {
            start.restore_load_per_connection(server, load_per_connection);
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
        if let Some(start) = &mut self.warm_start {
            start.machine.report(now, report);
        }
    }
}

impl Peers {
    fn find_query(&self, connection: SlotKey) -> Option<usize> {
        self.queries
            .iter()
            .position(|query| query.connection == connection)
    }

    /// Addresses to ask now; the next round goes on after them, whether or not they can be reached.
    fn next_round(&mut self) -> Vec<SocketAddr> {
        let addresses = &self.settings.addresses;
        let first = self.next_address % addresses.len().max(1);
        let round: Vec<SocketAddr> = addresses
            .iter()
            .cycle()
            .skip(first)
            .take(addresses.len().min(MAX_QUERIES))
            .copied()
            .collect();
        self.next_address += round.len();
        round
    }
}

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
