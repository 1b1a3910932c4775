//! The watch on discovery: a long-lived HTTP request whose response brings endpoint lists, one on each line.
//!
//! The watch is opened again whenever it ends or falls silent. Where discovery has to be polled, the placement engine
//! says when; otherwise the delay between two watches grows up to a bound.

use super::probe::ProbeStage;
use super::{ConnectionRole, ReasonCode, Router, TimerKey};
use crate::protocol::discovery::{self, EndpointList, EndpointListError};
use crate::protocol::http_client::{ChunkedResponse, watch_request};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Endpoint, EndpointUpdate, Outcome, ServerId};
use asterramp_placement::settings::ProxySettings;
use std::net::SocketAddr;
use std::time::Duration;

/// After so long without a complete line the watch counts as dead, whatever else its socket shows. By the protocol
/// discovery sends at least a blank line every 2 s.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// How long the first line of a watch may take at the first attempt; it doubles up to [`MAX_SILENCE`].
///
/// By the protocol the proxy has to know of a change 6 s after its watch fell silent. The silence itself, two attempts
/// and the delays between them fit in that.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the watch is opened again, at first; it doubles up to at most [`MAX_RECONNECT_DELAY`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(25);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// The state of the watch; one is open at most.
#[derive(Debug)]
pub(super) struct DiscoveryWatch {
    address: SocketAddr,
    /// The revision after which changes are asked for.
    revision: u64,
    /// The open watch's connection.
    connection: Option<SlotKey>,
    request_sent: bool,
    response: ChunkedResponse,
    /// Delay before the next attempt.
    reconnect_delay: Duration,
    /// The bound of that delay. The proxy counts as knowing what discovery says meanwhile, so that half of the time
    /// in which it has to act on it is left.
    max_reconnect_delay: Duration,
    /// How long the first line of the next attempt may take.
    first_line_timeout: Duration,
    /// Discovery answers only when polled: requests wait in one queue with those of all other proxies, and the
    /// placement engine paces them. A delay of the proxy's own, which knows of no others, would keep that queue full.
    paced_by_engine: bool,
    /// When the last complete line came.
    last_line_at: Option<Duration>,
}

impl DiscoveryWatch {
    /// A watch that is not open yet and asks for changes after a revision.
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

    /// The revision of the last list that could be read whole.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// When discovery last sent a complete line.
    pub(super) fn last_line_at(&self) -> Option<Duration> {
        self.last_line_at
    }

    /// Asks another discovery from now on, for everything that it has: its revisions need not be those of the former.
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

    /// How long the attempt that begins now may take to its first line; the next may take twice as long.
    fn take_first_line_timeout(&mut self) -> Duration {
        let timeout = self.first_line_timeout;
        self.first_line_timeout = (timeout * 2).min(MAX_SILENCE);
        timeout
    }

    /// The delay before the next attempt; the one after that waits twice as long.
    fn take_reconnect_delay(&mut self) -> Duration {
        let delay = self.reconnect_delay;
        self.reconnect_delay = (delay * 2).min(self.max_reconnect_delay);
        delay
    }
}

/// An agent on the proxy's own machine answers at once; a discovery that is polled has a queue.
fn first_line_timeout(paced_by_engine: bool) -> Duration {
    if paced_by_engine {
        MAX_SILENCE
    } else {
        FIRST_LINE_TIMEOUT
    }
}

impl Router {
    /// Begins with the list known from before the start, and asks discovery for changes.
    pub(super) fn apply_initial_list(&mut self, list: EndpointList) {
        self.apply_first_list(list, EndpointUpdate::Stale);
    }

    /// Begins with the list of the process that this one replaces, and asks discovery for changes.
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

    /// Applies a configuration that was read again: discovery may be at another address from now on. The former one's
    /// watch is closed, as that agent will end and say nothing more.
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

    fn close_watch(&mut self) {
        if let Some(connection) = self.discovery_watch.connection.take() {
            self.close(connection);
        }
    }

    /// The watch's deadline has passed: an open one is silent, and a closed one is to be opened again.
    pub(super) fn watch_deadline(&mut self) {
        if self.discovery_watch.connection.is_some() {
            self.end_watch(ReasonCode::WatchSilent, "silent");
        } else {
            self.connect_watch();
        }
    }

    /// Closes the watch and arranges for the next.
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

    /// The watch's connection is ready: at first to send the request, afterwards with input.
    pub(super) fn watch_ready(&mut self, event: ReadyEvent) {
        if !self.discovery_watch.request_sent {
            return self.send_watch_request(event.key);
        }
        let Some(input) = self.read_watch(event) else {
            return;
        };
        // Half a line, or a response without end, must not keep a dead watch alive.
        if !input.lines.is_empty() {
            self.discovery_watch.last_line_at = Some(self.now);
            self.deadlines
                .set(TimerKey::DiscoveryWatch, self.now + MAX_SILENCE);
            self.session_table.record_discovery_activity(self.now);
        }
        for line in input.lines {
            if let Err(error) = self.apply_watch_line(&line) {
                self.log_event(
                    ReasonCode::EndpointListInvalid,
                    format!("roster why={:?}", error.to_string()),
                );
                return self.end_watch(ReasonCode::WatchEnded, "bad list");
            }
        }
        match input.end {
            Some(reason) => self.end_watch(ReasonCode::WatchEnded, &reason),
            None => self.update_interest(event.key),
        }
    }

    /// Sends the request at the connection's first writability, unless that shows that it failed.
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

    /// Reads the watch's connection once; `None` where it is gone.
    fn read_watch(&mut self, event: ReadyEvent) -> Option<WatchInput> {
        let stream = &mut self.connections.get_mut(event.key)?.stream;
        let response = &mut self.discovery_watch.response;
        stream.read_once(event.failed);
        let bytes = stream.inbound.bytes();
        let read = bytes.len();
        let mut lines = Vec::new();
        let fed = response.feed(bytes, &mut lines);
        stream.inbound.consume(read);
        let end = match fed {
            Err(error) => Some(error.to_string()),
            Ok(()) if stream.ended.is_some() || response.is_complete() => Some("closed".into()),
            Ok(()) => None,
        };
        Some(WatchInput { lines, end })
    }

    /// Applies one line of the watch; a blank one only shows that discovery is alive.
    ///
    /// A list with an invalid entry fails. The rest of it is applied nevertheless, as a drain may be in it, but what
    /// it leaves out is not gone, and it is asked for again from the revision before.
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
        let mut endpoints = Vec::with_capacity(list.endpoints.len());
        for listed in list.endpoints {
            let Some(change) = self.endpoints.update(listed) else {
                self.count_event(ReasonCode::EndpointTableFull);
                continue;
            };
            endpoints.push(change.endpoint);
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

    /// Ends the health check of a server that is gone or has moved: nobody will answer it.
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

/// What one read of the watch brought.
struct WatchInput {
    /// Complete lines of the response's body.
    lines: Vec<Vec<u8>>,
    /// Why the watch can't go on, if it can't.
    end: Option<String>,
}
