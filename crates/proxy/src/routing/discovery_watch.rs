//! The discovery watch: a long-lived HTTP request whose response body carries endpoint lists, one per line.
//!
//! The watch is reopened whenever it ends or times out. Where discovery has to be polled, the placement engine decides
//! when; otherwise the delay before reopening doubles with each failed attempt, up to a bound.

use super::endpoints::MAX_ENDPOINTS;
use super::probe::ProbeStage;
use super::{ConnectionRole, ReasonCode, Router, TimerKey};
use crate::protocol::discovery::{self, EndpointList, EndpointListError};
use crate::protocol::http_client::{ChunkedResponse, watch_request};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Endpoint, EndpointState, EndpointUpdate, Outcome, ServerId};
use asterramp_placement::settings::ProxySettings;
use asterramp_warm_start::CandidateState;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time without a complete line before the watch counts as dead, even if its connection is up. By the protocol
/// discovery sends at least a blank line every 2 s.
const LINE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the first line of a watch may take at the first attempt; doubles with each attempt up to [`LINE_TIMEOUT`].
///
/// By the protocol the proxy must know of a change within 6 s after its watch fell silent. The timeout of the silent
/// watch, two attempts and the delays between them fit into that.
const MIN_FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(1);
/// First delay before the watch is reopened; doubles with each attempt.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(25);
/// Longest delay before the watch is reopened; half of the drain grace, if that is shorter.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// State of the discovery watch; at most one is open at a time.
#[derive(Debug)]
pub(super) struct DiscoveryWatch {
    address: SocketAddr,
    /// Revision after which the next request asks for changes; 0 asks for the complete list.
    revision: u64,
    /// Connection of the open watch; `None` while no watch is open.
    connection: Option<SlotKey>,
    request_sent: bool,
    response: ChunkedResponse,
    /// Delay before the next attempt.
    reconnect_delay: Duration,
    /// Upper bound of `reconnect_delay`. A drain that is announced while no watch is open counts as known to the proxy
    /// all the same, so the delay takes at most half of the drain grace and leaves the rest to act on it.
    max_reconnect_delay: Duration,
    /// How long the first line of the next attempt may take.
    first_line_timeout: Duration,
    /// Whether discovery has to be polled. The requests of all proxies then wait in one queue, and the placement engine
    /// paces them; a retry delay that ignores the other proxies would keep that queue full.
    paced_by_engine: bool,
    /// When the last complete line was received; `None` before the first.
    last_line_at: Option<Duration>,
}

impl DiscoveryWatch {
    /// A watch that is not open yet and will ask for changes after `revision`.
    pub(super) fn new(
        address: SocketAddr,
        revision: u64,
        settings: &ProxySettings,
    ) -> DiscoveryWatch {
        let paced_by_engine = settings.deployment.max_endpoint_list_age.is_some();
        DiscoveryWatch {
            address,
            revision,
            connection: None,
            request_sent: false,
            response: ChunkedResponse::default(),
            reconnect_delay: MIN_RECONNECT_DELAY,
            max_reconnect_delay: (settings.drain_grace / 2)
                .clamp(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY),
            first_line_timeout: first_line_timeout(paced_by_engine),
            paced_by_engine,
            last_line_at: None,
        }
    }

    /// Revision of the last list without an invalid entry; at first the one that the watch was created with.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// When discovery last sent a complete line; `None` before the first.
    pub(super) fn last_line_at(&self) -> Option<Duration> {
        self.last_line_at
    }

    /// Switches to another discovery service and asks it for the complete list: its revisions may be unrelated to those
    /// of the former.
    fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.revision = 0;
        self.response = ChunkedResponse::default();
        self.reset_delays();
    }

    fn reset_delays(&mut self) {
        self.reconnect_delay = MIN_RECONNECT_DELAY;
        self.first_line_timeout = first_line_timeout(self.paced_by_engine);
    }

    /// Timeout of the first line for the attempt that begins now; doubles the one for the next attempt.
    fn take_first_line_timeout(&mut self) -> Duration {
        let timeout = self.first_line_timeout;
        self.first_line_timeout = (timeout * 2).min(LINE_TIMEOUT);
        timeout
    }

    /// Delay before the next attempt; doubles the one before the attempt after that.
    fn take_reconnect_delay(&mut self) -> Duration {
        let delay = self.reconnect_delay;
        self.reconnect_delay = (delay * 2).min(self.max_reconnect_delay);
        delay
    }
}

/// Timeout of the first line at the first attempt. Pushed lists come from an agent on the proxy's own machine, which
/// responds at once; a polled discovery service queues requests.
fn first_line_timeout(paced_by_engine: bool) -> Duration {
    if paced_by_engine {
        LINE_TIMEOUT
    } else {
        MIN_FIRST_LINE_TIMEOUT
    }
}

impl Router {
    /// Applies the endpoint list of the last run, and asks discovery for changes.
    pub(super) fn apply_initial_list(&mut self, list: EndpointList) {
        self.apply_first_list(list, EndpointUpdate::Stale);
    }

    /// Applies the predecessor's endpoint list, and asks discovery for changes.
    pub(super) fn apply_inherited_list(&mut self, list: EndpointList) {
        self.apply_first_list(list, EndpointUpdate::Inherited);
    }

    fn apply_first_list(
        &mut self,
        list: EndpointList,
        as_update: impl Fn(Vec<Endpoint>) -> EndpointUpdate,
    ) {
        let endpoints = list
            .endpoints
            .into_iter()
            .filter_map(|listed| Some(self.endpoints.update(listed)?.endpoint))
            .collect();
        self.handle_placement_event(PlacementEvent::EndpointsUpdated(as_update(endpoints)));
        if !self.discovery_watch.paced_by_engine {
            self.connect_watch();
        }
    }

    /// Opens the watch, if none is open.
    pub(super) fn connect_watch(&mut self) {
        if self.discovery_watch.connection.is_some() {
            return;
        }
        let connection = socket::connect(self.discovery_watch.address)
            .ok()
            .and_then(|fd| self.register(fd, ConnectionRole::DiscoveryWatch, Interest::WRITE));
        self.discovery_watch.connection = connection;
        self.discovery_watch.request_sent = false;
        self.discovery_watch.response = ChunkedResponse::default();
        if connection.is_none() {
            self.end_watch(ReasonCode::WatchEnded, "connect failed");
            return;
        }
        let timeout = self.discovery_watch.take_first_line_timeout();
        self.deadlines
            .set(TimerKey::DiscoveryWatch, self.now + timeout);
    }

    /// Applies a reloaded configuration, in which `discovery` may be a new address. The watch on the former address is
    /// closed, since the agent there is about to end and sends no more changes.
    pub fn reload(&mut self, now: Duration, discovery: SocketAddr) {
        self.now = now;
        let changed = self.discovery_watch.address != discovery;
        self.log_event(
            ReasonCode::ConfigReloaded,
            format!("discovery={discovery} changed={changed}"),
        );
        if changed {
            self.close_watch();
            self.discovery_watch.change_address(discovery);
            self.connect_watch();
        }
    }

    /// Requests the complete list: at once where lists are pushed, or where a poll is under way, else with the next poll.
    pub(super) fn request_complete_list(&mut self) {
        let was_open = self.discovery_watch.connection.is_some();
        self.close_watch();
        self.discovery_watch.revision = 0;
        self.discovery_watch.reset_delays();
        if was_open || !self.discovery_watch.paced_by_engine {
            self.connect_watch();
        }
    }

    fn close_watch(&mut self) {
        if let Some(connection) = self.discovery_watch.connection.take() {
            self.close(connection);
        }
    }

    /// Handles the watch's deadline: an open watch has timed out and ends; a closed one is reopened.
    pub(super) fn watch_deadline(&mut self) {
        if self.discovery_watch.connection.is_some() {
            self.end_watch(ReasonCode::WatchSilent, "silent");
        } else {
            self.connect_watch();
        }
    }

    /// Closes the watch, and schedules the next attempt; where discovery is polled, reports the failure to the
    /// placement engine instead.
    fn end_watch(&mut self, code: ReasonCode, reason: &str) {
        self.log_event(code, format!("watch why={reason:?}"));
        self.close_watch();
        if self.discovery_watch.paced_by_engine {
            self.deadlines.clear(TimerKey::DiscoveryWatch);
            self.handle_placement_event(PlacementEvent::EndpointsUpdated(EndpointUpdate::Failed));
            return;
        }
        let delay = self.discovery_watch.take_reconnect_delay();
        self.deadlines
            .set(TimerKey::DiscoveryWatch, self.now + delay);
    }

    /// Handles readiness of the watch's connection: sends the request at first, reads the response afterwards.
    pub(super) fn watch_ready(&mut self, event: ReadyEvent) {
        if !self.discovery_watch.request_sent {
            return self.send_watch_request(event.key);
        }
        let Some(input) = self.read_watch(event) else {
            return;
        };
        // Only complete lines extend the deadline: part of a line, or a line without end, must not keep a dead watch
        // open.
        if !input.lines.is_empty() {
            self.discovery_watch.last_line_at = Some(self.now);
            self.deadlines
                .set(TimerKey::DiscoveryWatch, self.now + LINE_TIMEOUT);
            self.session_table.record_discovery_activity(self.now);
        }
        for line in input.lines {
            if let Err(error) = self.apply_watch_line(&line) {
                self.log_event(
                    ReasonCode::EndpointListInvalid,
                    format!("endpoint list why={:?}", error.to_string()),
                );
                return self.end_watch(ReasonCode::WatchEnded, "bad list");
            }
        }
        match input.end {
            Some(reason) => self.end_watch(ReasonCode::WatchEnded, &reason),
            None => self.update_interest(event.key),
        }
    }

    /// Sends the request once the connection is writable, or ends the watch if connecting failed.
    fn send_watch_request(&mut self, key: SlotKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if !connection.stream.is_connected() {
            return self.end_watch(ReasonCode::WatchEnded, "connect failed");
        }
        self.discovery_watch.request_sent = true;
        let request = watch_request(
            &self.discovery_watch.address.to_string(),
            self.discovery_watch.revision,
        );
        connection.stream.send(&[request.as_bytes()]);
        self.update_interest(key);
    }

    /// Reads the watch's connection once; `None` if it is closed already.
    fn read_watch(&mut self, event: ReadyEvent) -> Option<WatchInput> {
        let stream = &mut self.connections.get_mut(event.key)?.stream;
        let response = &mut self.discovery_watch.response;
        stream.read_once(event.failed);
        let bytes = stream.inbound.bytes();
        let read_len = bytes.len();
        let mut lines = Vec::new();
        let parsed = response.feed(bytes, &mut lines);
        stream.inbound.consume(read_len);
        let end = match parsed {
            Err(error) => Some(error.to_string()),
            Ok(()) if stream.ended.is_some() || response.is_complete() => Some("closed".into()),
            Ok(()) => None,
        };
        Some(WatchInput { lines, end })
    }

    /// Applies one line of the watch; a blank line is a heartbeat.
    ///
    /// A list with an invalid entry is an error. Its valid entries are applied nevertheless, since one of them may be a
    /// drain, but endpoints that it omits are not marked as gone, and the next request repeats the revision before it.
    fn apply_watch_line(&mut self, line: &[u8]) -> Result<(), EndpointListError> {
        if !line.is_empty() {
            self.apply_watch_list(discovery::parse(line)?)?;
        }
        self.discovery_watch.reset_delays();
        if !self.serving && self.warm_start.is_none() {
            self.start_serving("discovery");
        }
        Ok(())
    }

    fn apply_watch_list(&mut self, list: EndpointList) -> Result<(), EndpointListError> {
        let complete = list.complete && list.first_error.is_none();
        if self.endpoints.overflows_with(&list.endpoints) {
            self.forget_gone_servers();
        }
        let mut endpoints = Vec::with_capacity(list.endpoints.len());
        for listed in list.endpoints {
            let Some(change) = self.endpoints.update(listed) else {
                self.count_event(ReasonCode::EndpointTableFull);
                continue;
            };
            endpoints.push(change.endpoint);
            if change.reuses_index {
                self.reset_server(change.endpoint);
            }
            if change.is_probe_stale {
                self.cancel_stale_probe(change.endpoint.server);
            }
        }
        if self.is_outdated_list(list.revision) {
            self.apply_outdated_list(list.revision, endpoints);
        } else {
            self.apply_endpoints(endpoints, complete);
        }
        if let Some(error) = list.first_error {
            return Err(error);
        }
        self.discovery_watch.revision = list.revision;
        self.count_event(ReasonCode::EndpointsApplied);
        self.mark_snapshot_outdated();
        Ok(())
    }

    /// Forgets servers that are gone and that no session or warm start refers to.
    fn forget_gone_servers(&mut self) {
        let mut is_in_use = vec![false; MAX_ENDPOINTS];
        for (_, slot) in self.session_table.sessions.iter() {
            if let Some(used) = is_in_use.get_mut(slot.machine.server as usize) {
                *used = true;
            }
        }
        let warm_start = self.warm_start.as_ref().map(|progress| &progress.machine);
        self.endpoints.forget_gone(|server| {
            let is_candidate = warm_start.is_some_and(|machine| {
                !machine.is_settled()
                    && machine.candidates().state(server) != CandidateState::Unknown
            });
            is_in_use[server as usize] || is_candidate
        });
    }

    /// Removes what is known of the former server with this index. To the placement engine and to zone failover a server
    /// with another start time is a new one.
    pub(super) fn reset_server(&mut self, endpoint: Endpoint) {
        if let Some(progress) = &mut self.warm_start {
            progress.forget_load_per_connection(endpoint.server);
        }
        let former = Endpoint {
            state: EndpointState::Gone,
            started_at: Some(self.now),
            ..endpoint
        };
        let update = EndpointUpdate::Changes(vec![former]);
        self.handle_placement_event(PlacementEvent::EndpointsUpdated(update));
    }

    fn apply_endpoints(&mut self, mut endpoints: Vec<Endpoint>, complete: bool) {
        if complete {
            self.endpoints.mark_unlisted_as_gone(&endpoints);
        }
        self.record_listed_endpoints(&mut endpoints, complete);
        let update = if complete {
            EndpointUpdate::Complete(endpoints)
        } else {
            EndpointUpdate::Changes(endpoints)
        };
        self.handle_placement_event(PlacementEvent::EndpointsUpdated(update));
    }

    /// Closes the probe connection of a server that is gone or listed at another address, and cancels a probe under
    /// way.
    fn cancel_stale_probe(&mut self, server: ServerId) {
        let Some(key) = self.endpoints.probe_connection(server) else {
            return;
        };
        match self.connections.get(key).map(|connection| connection.role) {
            Some(ConnectionRole::Probe(_, ProbeStage::Idle)) => self.close_probe(server, key),
            _ => self.fail_probe(server, Outcome::Cancelled),
        }
    }
}

/// Result of one read from the watch's connection.
struct WatchInput {
    /// Complete lines of the response's body.
    lines: Vec<Vec<u8>>,
    /// Why the response has ended; `None` while more may follow.
    end: Option<String>,
}
