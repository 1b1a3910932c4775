//! Health checks: a probe asks a server for its load report, over a connection that is kept open for the next probe.

use super::events::outcome_log_name;
use super::types::{ConnectionRole, TimerKey};
use super::{ReasonCode, Router};
use crate::protocol::line;
use crate::protocol::server::{STATS_LINE, ServerLine, load_from_report, parse_server_line};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Outcome, ServerId, ServerLoad};
use asterramp_placement::settings::LoadReportFormat;

/// Timeout of a probe's response, as a multiple of the connect timeout; greater than 1 so that a slow server does not
/// count as one that does not respond.
const RESPONSE_TIMEOUT_FACTOR: u32 = 2;

/// The state of a probe's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeStage {
    /// The connection is being established.
    Connecting,
    /// The request was sent on a new connection.
    AwaitingResponse,
    /// The request was sent on a connection that had been idle, which the server may have closed just before.
    AwaitingResponseAfterIdle,
    /// The connection is kept for the next probe; no request is outstanding.
    Idle,
}

/// What a server has sent in response to a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProbeResponse {
    /// No complete line yet.
    Incomplete,
    /// Not a line of the protocol.
    Malformed,
    /// One line of `line_len` bytes, its end included.
    Complete {
        outcome: Outcome,
        load: ServerLoad,
        line_len: usize,
    },
}

impl ProbeResponse {
    fn parse(bytes: &[u8], report_format: &LoadReportFormat) -> ProbeResponse {
        let (text, line_len) = match line::first_line(bytes) {
            Ok(Some(line)) => line,
            Ok(None) => return ProbeResponse::Incomplete,
            Err(_) => return ProbeResponse::Malformed,
        };
        let (outcome, load) = match parse_server_line(text) {
            ServerLine::Pong(report) => (Outcome::Ok, load_from_report(report_format, report)),
            ServerLine::Busy(report) => (Outcome::Full, load_from_report(report_format, report)),
            _ => (Outcome::ServerError, ServerLoad::default()),
        };
        ProbeResponse::Complete {
            outcome,
            load,
            line_len,
        }
    }
}

impl Router {
    /// Probes a server, over the connection kept from its last probe if that is still usable, or else over a new one.
    pub(super) fn start_probe(&mut self, server: ServerId) {
        if let Some(key) = self.endpoints.probe_connection(server) {
            if self.is_reusable(key) {
                return self.send_probe(server, key, ProbeStage::AwaitingResponseAfterIdle);
            }
            // It was closed meanwhile, or holds a late line that would be taken for the next response.
            self.close_stale_probe(server, key);
        }
        if !self.ensure_connection_for_probe() {
            return self.report_probe(server, Outcome::NotSent, ServerLoad::default());
        }
        if let Some(key) = self.connect_probe(server) {
            self.endpoints.set_probe_connection(server, Some(key));
            let deadline = self.now + self.settings.connect_timeout;
            self.deadlines.set(TimerKey::Connection(key), deadline);
        } else {
            self.report_probe(server, Outcome::Unreachable, ServerLoad::default());
        }
    }

    /// Whether one more probe connection may be opened; at the limit, closes an idle one for it.
    fn ensure_connection_for_probe(&mut self) -> bool {
        if self.connection_counts.probes < self.resource_budget.max_probes {
            return true;
        }
        let idle = self
            .connections
            .iter()
            .find_map(|(key, connection)| match connection.role {
                ConnectionRole::Probe(server, ProbeStage::Idle) => Some((server, key)),
                _ => None,
            });
        let Some((server, key)) = idle else {
            return false;
        };
        self.close_probe(server, key);
        true
    }

    fn connect_probe(&mut self, server: ServerId) -> Option<SlotKey> {
        let address = self.endpoints.address(server)?;
        let fd = socket::connect(address).ok()?;
        let role = ConnectionRole::Probe(server, ProbeStage::Connecting);
        self.register(fd, role, Interest::WRITE)
    }

    /// Whether a kept connection is still established and has no input since its last response.
    fn is_reusable(&mut self, key: SlotKey) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        connection.stream.read_once(false);
        connection.stream.ended.is_none() && connection.stream.inbound.is_empty()
    }

    fn send_probe(&mut self, server: ServerId, key: SlotKey, stage: ProbeStage) {
        let Some(connection) = self.connections.get_mut(key) else {
            self.endpoints.set_probe_connection(server, None);
            return self.report_probe(server, Outcome::Reset, ServerLoad::default());
        };
        connection.role = ConnectionRole::Probe(server, stage);
        connection.stream.send(&[STATS_LINE]);
        let deadline = self.now + self.settings.connect_timeout * RESPONSE_TIMEOUT_FACTOR;
        self.deadlines.set(TimerKey::Connection(key), deadline);
        self.count_event(ReasonCode::ProbeSent);
        self.update_interest(key);
    }

    /// Handles readiness of a probe's connection.
    pub(super) fn probe_ready(&mut self, server: ServerId, stage: ProbeStage, event: ReadyEvent) {
        match stage {
            ProbeStage::Connecting => self.probe_connected(server, event.key),
            ProbeStage::Idle => self.idle_probe_ready(server, event),
            ProbeStage::AwaitingResponse | ProbeStage::AwaitingResponseAfterIdle => {
                self.read_probe_response(server, stage, event);
            }
        }
    }

    fn probe_connected(&mut self, server: ServerId, key: SlotKey) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        if connection.stream.is_connected() {
            self.send_probe(server, key, ProbeStage::AwaitingResponse);
        } else {
            self.fail_probe(server, Outcome::Unreachable);
        }
    }

    /// Closes an idle connection that the server has closed or sent a line on, since it cannot be used again.
    fn idle_probe_ready(&mut self, server: ServerId, event: ReadyEvent) {
        let Some(connection) = self.connections.get_mut(event.key) else {
            return;
        };
        connection.stream.read_once(event.failed);
        let has_ended = connection.stream.ended.is_some();
        let line = line::first_line(connection.stream.inbound.bytes());
        if has_ended || !matches!(line, Ok(None)) {
            self.close_stale_probe(server, event.key);
        }
    }

    fn read_probe_response(&mut self, server: ServerId, stage: ProbeStage, event: ReadyEvent) {
        let key = event.key;
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.stream.read_once(event.failed);
        let has_ended = connection.stream.ended.is_some();
        let bytes = connection.stream.inbound.bytes();
        match ProbeResponse::parse(bytes, &self.settings.load_report_format) {
            ProbeResponse::Incomplete if !has_ended => self.update_interest(key),
            ProbeResponse::Incomplete if stage == ProbeStage::AwaitingResponseAfterIdle => {
                // The server closed an idle connection, which says nothing about its health. A probe is idempotent.
                self.close_stale_probe(server, key);
                self.start_probe(server);
            }
            ProbeResponse::Incomplete => self.fail_probe(server, Outcome::Reset),
            ProbeResponse::Malformed => self.fail_probe(server, Outcome::ServerError),
            ProbeResponse::Complete {
                outcome,
                load,
                line_len,
            } => {
                connection.stream.inbound.consume(line_len);
                connection.role = ConnectionRole::Probe(server, ProbeStage::Idle);
                self.deadlines.clear(TimerKey::Connection(key));
                if has_ended {
                    self.close_probe(server, key);
                }
                self.report_probe(server, outcome, load);
            }
        }
    }

    /// Ends a probe that got no valid response, and closes its connection.
    pub(super) fn fail_probe(&mut self, server: ServerId, outcome: Outcome) {
        let details = format!(
            "probe server={} outcome={}",
            self.endpoints.uid(server),
            outcome_log_name(outcome)
        );
        self.log_event(ReasonCode::ProbeFailed, details);
        if let Some(key) = self.endpoints.probe_connection(server) {
            self.close_probe(server, key);
        }
        self.report_probe(server, outcome, ServerLoad::default());
    }

    /// Closes a server's probe connection and removes it from the endpoint table.
    pub(super) fn close_probe(&mut self, server: ServerId, key: SlotKey) {
        self.close(key);
        self.endpoints.set_probe_connection(server, None);
    }

    /// Closes a kept connection that cannot be used again, and counts it.
    fn close_stale_probe(&mut self, server: ServerId, key: SlotKey) {
        self.close_probe(server, key);
        self.count_event(ReasonCode::ProbeClosed);
    }

    /// Reports the end of a probe to the placement engine and the warm start; keeps the load of a successful one.
    fn report_probe(&mut self, server: ServerId, outcome: Outcome, load: ServerLoad) {
        if outcome == Outcome::Ok {
            self.endpoints.record_load(server, load, self.now);
        }
        self.handle_placement_event(PlacementEvent::ProbeEnded {
            server,
            outcome,
            load,
        });
        self.record_warm_start_probe(server, outcome);
    }
}
