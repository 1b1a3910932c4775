//! Probes, over connections that are kept.

use super::{ConnectionRole, ReasonCode, Router, TimerKey};
use crate::protocol::line;
use crate::protocol::server::{STATS_LINE, ServerLine, load_from_report, parse_server_line};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::Event;
use asterramp_placement::event::{Load, Outcome, ServerId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStage {
    Connecting,
    Asked,
    /// The same over a connection that rested before: its server may have ended it just then.
    AskedAgain,
    Idle,
}

impl Router {
    pub(super) fn probe(&mut self, server: ServerId) {
        if let Some(key) = self.endpoints.probe(server) {
            if self.is_at_rest(key) {
                return self.ask_stats(server, key, ProbeStage::AskedAgain);
            }
            // Ended meanwhile, or with a late word in it that would be taken for the next answer.
            self.close_probe(server, key);
            self.count_event(ReasonCode::ProbeClosed);
        }
        if self.connection_counts.probes >= self.resource_budget.probes {
            let spare = self
                .connections
                .iter()
                .find_map(|(key, conn)| match conn.role {
                    ConnectionRole::Probe(other, ProbeStage::Idle) => Some((other, key)),
                    _ => None,
                });
            match spare {
                Some((other, key)) => self.close_probe(other, key),
                None => return self.probed(server, Outcome::NeverSent, Load::default()),
            }
        }
        let fd = self
            .endpoints
            .address(server)
            .and_then(|address| socket::connect(address).ok());
        let role = ConnectionRole::Probe(server, ProbeStage::Connecting);
        match fd.and_then(|fd| {
            self.register(
                fd,
                role,
                Interest {
                    read: false,
                    write: true,
                },
            )
        }) {
            Some(key) => {
                self.endpoints.set_probe(server, Some(key));
                self.deadlines.set(
                    TimerKey::Connection(key),
                    self.now + self.settings.connect_timeout,
                );
            }
            None => self.probed(server, Outcome::Unreachable, Load::default()),
        }
    }

    /// Whether a kept connection is up and has said nothing since its last answer.
    fn is_at_rest(&mut self, key: SlotKey) -> bool {
        let Some(conn) = self.connections.get_mut(key) else {
            return false;
        };
        conn.stream.read_once(false);
        conn.stream.ended.is_none() && conn.stream.inbound.is_empty()
    }

    fn ask_stats(&mut self, server: ServerId, key: SlotKey, stage: ProbeStage) {
        let Some(conn) = self.connections.get_mut(key) else {
            self.endpoints.set_probe(server, None);
            return self.probed(server, Outcome::Reset, Load::default());
        };
        conn.role = ConnectionRole::Probe(server, stage);
        conn.stream.send(&[STATS_LINE]);
        // Twice as long as a connection may take to come up: a slow server is not yet a silent one.
        self.deadlines.set(
            TimerKey::Connection(key),
            self.now + self.settings.connect_timeout * 2,
        );
        self.count_event(ReasonCode::ProbeSent);
        self.watch_own_io(key);
    }

    pub(super) fn probe_ready(&mut self, server: ServerId, stage: ProbeStage, event: ReadyEvent) {
        let Some(conn) = self.connections.get_mut(event.key) else {
            return;
        };
        if stage == ProbeStage::Connecting {
            return match conn.stream.is_connected() {
                true => self.ask_stats(server, event.key, ProbeStage::Asked),
                false => self.finish_probe(server, Outcome::Unreachable),
            };
        }
        conn.stream.read_once(event.failed);
        let ended = conn.stream.ended.is_some();
        let found = line::first_line(conn.stream.inbound.bytes());
        if stage == ProbeStage::Idle {
            if ended || !matches!(found, Ok(None)) {
                self.close_probe(server, event.key);
                self.count_event(ReasonCode::ProbeClosed);
            }
            return;
        }
        let (text, n) = match found {
            Ok(Some(line)) => line,
            Ok(None) if !ended => return self.watch_own_io(event.key),
            // A probe has no effect, and that its connection was ended at rest tells nothing of its server.
            Ok(None) if stage == ProbeStage::AskedAgain => {
                self.close_probe(server, event.key);
                self.count_event(ReasonCode::ProbeClosed);
                return self.probe(server);
            }
            Ok(None) => return self.finish_probe(server, Outcome::Reset),
            Err(_) => return self.finish_probe(server, Outcome::Erred),
        };
        let (outcome, load) = match parse_server_line(text) {
            ServerLine::Pong(report) => (
                Outcome::Ok,
                load_from_report(&self.settings.load_reports, report),
            ),
            ServerLine::Busy(report) => (
                Outcome::Full,
                load_from_report(&self.settings.load_reports, report),
            ),
            _ => (Outcome::Erred, Load::default()),
        };
        conn.stream.inbound.consume(n);
        conn.role = ConnectionRole::Probe(server, ProbeStage::Idle);
        self.deadlines.clear(TimerKey::Connection(event.key));
        if ended {
            self.close_probe(server, event.key);
        }
        self.probed(server, outcome, load);
    }

    /// A probe without an answer.
    pub(super) fn finish_probe(&mut self, server: ServerId, outcome: Outcome) {
        let about = format!(
            "probe server={} outcome={outcome:?}",
            self.endpoints.name(server)
        );
        self.log_event(ReasonCode::ProbeFailed, about);
        self.endpoints
            .probe(server)
            .into_iter()
            .for_each(|key| self.close_probe(server, key));
        self.probed(server, outcome, Load::default());
    }

    pub(super) fn close_probe(&mut self, server: ServerId, key: SlotKey) {
        self.close(key);
        self.endpoints.set_probe(server, None);
    }

    fn probed(&mut self, server: ServerId, outcome: Outcome, load: Load) {
        if outcome == Outcome::Ok {
            self.endpoints.reported(server, load, self.now);
        }
        self.event(Event::ProbeEnded {
            server,
            outcome,
            load,
        });
        self.note_warm_start_probe(server, outcome);
    }
}
