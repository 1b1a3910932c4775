//! Probes, over connections that are kept.

use super::{Code, Due, Role, Router};
use crate::protocol::line;
use crate::protocol::server::{STATS, Said, load, said};
use crate::transport::poll::{Ready, Want};
use crate::transport::{Key, socket};
use asterramp_placement::Event;
use asterramp_placement::event::{Load, Outcome, ServerId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Connecting,
    Asked,
    /// The same over a connection that rested before: its server may have ended it just then.
    AskedAgain,
    Idle,
}

impl Router {
    pub(super) fn probe(&mut self, server: ServerId) {
        if let Some(key) = self.roster.probe(server) {
            if self.is_at_rest(key) {
                return self.ask_stats(server, key, Stage::AskedAgain);
            }
            // Ended meanwhile, or with a late word in it that would be taken for the next answer.
            self.drop_probe(server, key);
            self.count(Code::ProbeClosed);
        }
        if self.tally.probes >= self.budget.probes {
            let spare = self.conns.iter().find_map(|(key, conn)| match conn.role {
                Role::Probe(other, Stage::Idle) => Some((other, key)),
                _ => None,
            });
            match spare {
                Some((other, key)) => self.drop_probe(other, key),
                None => return self.probed(server, Outcome::NeverSent, Load::default()),
            }
        }
        let fd = self
            .roster
            .address(server)
            .and_then(|address| socket::connect(address).ok());
        let role = Role::Probe(server, Stage::Connecting);
        match fd.and_then(|fd| {
            self.keep(
                fd,
                role,
                Want {
                    read: false,
                    write: true,
                },
            )
        }) {
            Some(key) => {
                self.roster.set_probe(server, Some(key));
                self.deadlines
                    .set(Due::Conn(key), self.now + self.setup.connect_within);
            }
            None => self.probed(server, Outcome::Unreachable, Load::default()),
        }
    }

    /// Whether a kept connection is up and has said nothing since its last answer.
    fn is_at_rest(&mut self, key: Key) -> bool {
        let Some(conn) = self.conns.get_mut(key) else {
            return false;
        };
        conn.stream.fill(false);
        conn.stream.ended.is_none() && conn.stream.inbound.is_empty()
    }

    fn ask_stats(&mut self, server: ServerId, key: Key, stage: Stage) {
        let Some(conn) = self.conns.get_mut(key) else {
            self.roster.set_probe(server, None);
            return self.probed(server, Outcome::Reset, Load::default());
        };
        conn.role = Role::Probe(server, stage);
        conn.stream.send(&[STATS]);
        // Twice as long as a connection may take to come up: a slow server is not yet a silent one.
        self.deadlines
            .set(Due::Conn(key), self.now + self.setup.connect_within * 2);
        self.count(Code::Probed);
        self.want_own(key);
    }

    pub(super) fn probe_woken(&mut self, server: ServerId, stage: Stage, event: Ready) {
        let Some(conn) = self.conns.get_mut(event.key) else {
            return;
        };
        if stage == Stage::Connecting {
            return match conn.stream.is_up() {
                true => self.ask_stats(server, event.key, Stage::Asked),
                false => self.probe_ended(server, Outcome::Unreachable),
            };
        }
        conn.stream.fill(event.broken);
        let ended = conn.stream.ended.is_some();
        let found = line::first(conn.stream.inbound.bytes());
        if stage == Stage::Idle {
            if ended || !matches!(found, Ok(None)) {
                self.drop_probe(server, event.key);
                self.count(Code::ProbeClosed);
            }
            return;
        }
        let (text, n) = match found {
            Ok(Some(line)) => line,
            Ok(None) if !ended => return self.want_own(event.key),
            // A probe has no effect, and that its connection was ended at rest tells nothing of its server.
            Ok(None) if stage == Stage::AskedAgain => {
                self.drop_probe(server, event.key);
                self.count(Code::ProbeClosed);
                return self.probe(server);
            }
            Ok(None) => return self.probe_ended(server, Outcome::Reset),
            Err(_) => return self.probe_ended(server, Outcome::Erred),
        };
        let (outcome, load) = match said(text) {
            Said::Pong(report) => (Outcome::Ok, load(&self.setup.reports, report)),
            Said::Full(report) => (Outcome::Full, load(&self.setup.reports, report)),
            _ => (Outcome::Erred, Load::default()),
        };
        conn.stream.inbound.consume(n);
        conn.role = Role::Probe(server, Stage::Idle);
        self.deadlines.clear(Due::Conn(event.key));
        if ended {
            self.drop_probe(server, event.key);
        }
        self.probed(server, outcome, load);
    }

    /// A probe without an answer.
    pub(super) fn probe_ended(&mut self, server: ServerId, outcome: Outcome) {
        let about = format!(
            "probe server={} outcome={outcome:?}",
            self.roster.name(server)
        );
        self.line(Code::ProbeFailed, about);
        self.roster
            .probe(server)
            .into_iter()
            .for_each(|key| self.drop_probe(server, key));
        self.probed(server, outcome, Load::default());
    }

    pub(super) fn drop_probe(&mut self, server: ServerId, key: Key) {
        self.close(key);
        self.roster.set_probe(server, None);
    }

    fn probed(&mut self, server: ServerId, outcome: Outcome, load: Load) {
        if outcome == Outcome::Ok {
            self.roster.reported(server, load, self.now);
        }
        self.event(Event::Probed {
            server,
            outcome,
            load,
        });
        self.probed_at_start(server, outcome);
    }
}
