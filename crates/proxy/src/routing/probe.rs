//! Health checks: a probe asks a server for its load report, over a connection that is kept for the next probe.

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

/// A probe waits for its reply this many times as long as for its connection: a slow server is not yet a silent one.
const REPLY_TIMEOUT_FACTOR: u32 = 2;

/// How far a probe's connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeStage {
    /// The connection is being made.
    Connecting,
    /// The request was sent on a new connection.
    AwaitingReply,
    /// The request was sent on a connection that had been idle, which the server may have closed just before.
    AwaitingReplyAfterIdle,
    /// No request is out.
    Idle,
}

/// What a server has sent in reply to a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProbeReply {
    /// No whole line yet.
    Incomplete,
    /// Not a line of the protocol.
    Malformed,
    /// One line of `line_len` bytes.
    Complete {
        outcome: Outcome,
        load: ServerLoad,
        line_len: usize,
    },
}

impl ProbeReply {
    fn parse(bytes: &[u8], load_reports: &LoadReportFormat) -> ProbeReply {
        let (text, line_len) = match line::first_line(bytes) {
            Ok(Some(line)) => line,
            Ok(None) => return ProbeReply::Incomplete,
            Err(_) => return ProbeReply::Malformed,
        };
        let (outcome, load) = match parse_server_line(text) {
            ServerLine::Pong(report) => (Outcome::Ok, load_from_report(load_reports, report)),
            ServerLine::Busy(report) => (Outcome::Full, load_from_report(load_reports, report)),
            _ => (Outcome::ServerError, ServerLoad::default()),
        };
        ProbeReply::Complete {
            outcome,
            load,
            line_len,
        }
    }
}

impl Router {
    /// Probes a server, over the connection kept from its last probe where that is still good.
    pub(super) fn start_probe(&mut self, server: ServerId) {
        if let Some(key) = self.endpoints.probe_connection(server) {
            if self.is_up_and_silent(key) {
                return self.send_probe(server, key, ProbeStage::AwaitingReplyAfterIdle);
            }
            // Closed meanwhile, or with a late line in it that would be taken for the next reply.
            self.discard_probe(server, key);
        }
        if !self.make_room_for_probe() {
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

    /// Whether there may be one more probe connection; closes an idle one for it where needed.
    fn make_room_for_probe(&mut self) -> bool {
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

    /// Whether a kept connection is up and has brought nothing since its last reply.
    fn is_up_and_silent(&mut self, key: SlotKey) -> bool {
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
        let deadline = self.now + self.settings.connect_timeout * REPLY_TIMEOUT_FACTOR;
        self.deadlines.set(TimerKey::Connection(key), deadline);
        self.count_event(ReasonCode::ProbeSent);
        self.update_interest(key);
    }

    /// Something came on a probe's connection, or it came up.
    pub(super) fn probe_ready(&mut self, server: ServerId, stage: ProbeStage, event: ReadyEvent) {
        match stage {
            ProbeStage::Connecting => self.probe_connected(server, event.key),
            ProbeStage::Idle => self.idle_probe_ready(server, event),
            ProbeStage::AwaitingReply | ProbeStage::AwaitingReplyAfterIdle => {
                self.read_probe_reply(server, stage, event);
            }
        }
    }

    fn probe_connected(&mut self, server: ServerId, key: SlotKey) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        if connection.stream.is_connected() {
            self.send_probe(server, key, ProbeStage::AwaitingReply);
        } else {
            self.fail_probe(server, Outcome::Unreachable);
        }
    }

    /// An idle connection is of no use once the server has closed it or sent a line on it.
    fn idle_probe_ready(&mut self, server: ServerId, event: ReadyEvent) {
        let Some(connection) = self.connections.get_mut(event.key) else {
            return;
        };
        connection.stream.read_once(event.failed);
        let has_ended = connection.stream.ended.is_some();
        let line = line::first_line(connection.stream.inbound.bytes());
        if has_ended || !matches!(line, Ok(None)) {
            self.discard_probe(server, event.key);
        }
    }

    fn read_probe_reply(&mut self, server: ServerId, stage: ProbeStage, event: ReadyEvent) {
        let key = event.key;
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.stream.read_once(event.failed);
        let has_ended = connection.stream.ended.is_some();
        let bytes = connection.stream.inbound.bytes();
        match ProbeReply::parse(bytes, &self.settings.load_report_format) {
            ProbeReply::Incomplete if !has_ended => self.update_interest(key),
            ProbeReply::Incomplete if stage == ProbeStage::AwaitingReplyAfterIdle => {
                // The server closed an idle connection, which says nothing about its health. A probe is idempotent.
                self.discard_probe(server, key);
                self.start_probe(server);
            }
            ProbeReply::Incomplete => self.fail_probe(server, Outcome::Reset),
            ProbeReply::Malformed => self.fail_probe(server, Outcome::ServerError),
            ProbeReply::Complete {
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

    /// Ends a probe that got no reply.
    pub(super) fn fail_probe(&mut self, server: ServerId, outcome: Outcome) {
        let about = format!(
            "probe server={} outcome={}",
            self.endpoints.uid(server),
            outcome_log_name(outcome)
        );
        self.log_event(ReasonCode::ProbeFailed, about);
        if let Some(key) = self.endpoints.probe_connection(server) {
            self.close_probe(server, key);
        }
        self.report_probe(server, outcome, ServerLoad::default());
    }

    /// Closes a server's probe connection.
    pub(super) fn close_probe(&mut self, server: ServerId, key: SlotKey) {
        self.close(key);
        self.endpoints.set_probe_connection(server, None);
    }

    /// Closes a kept connection that is of no use any more.
    fn discard_probe(&mut self, server: ServerId, key: SlotKey) {
        self.close_probe(server, key);
        self.count_event(ReasonCode::ProbeClosed);
    }

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
