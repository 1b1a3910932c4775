//! The control socket: an operator's questions and orders, a line each, on the loop that serves. Whoever does not
//! read holds back only its own answers.

use super::{ConnectionRole, ReasonCode, Router, TimerKey};
use crate::transport::poller::Interest;
use crate::transport::{SlotKey, socket};
use asterramp_admin_protocol::{
    AdminCommand, AdminReply, AdminRequest, AdmissionStatus, LONGEST, ProxyStatus, WarmStartStatus,
    ZoneStatus,
};
use asterramp_admission::RejectReason;
use asterramp_drain::{DrainError, DrainState};
use asterramp_leader_lease::FencedOrder;
use asterramp_placement::event::EndpointState;
use asterramp_warm_start::EndpointSource;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long a peer may say nothing, or take none of an answer.
const SILENT: Duration = Duration::from_secs(60);
/// Peers taken in a turn.
const TURN: usize = 8;

#[derive(Debug)]
pub struct AdminSocket {
    path: PathBuf,
    door: SlotKey,
    peers: usize,
    most: usize,
    /// Within how long a drain empties the proxy where nobody says.
    pub deadline: Duration,
}

impl Router {
    /// Opens the socket. A file that a crashed proxy left is taken over; one that somebody listens at is not.
    pub fn open_admin_socket(
        &mut self,
        path: &Path,
        most: usize,
        deadline: Duration,
    ) -> io::Result<()> {
        let door = socket::listen_unix(path, socket::SocketType::STREAM)?;
        let door = self.register(
            door,
            ConnectionRole::AdminSocketListener,
            Interest {
                read: true,
                write: false,
            },
        );
        let door = door.ok_or_else(|| io::Error::other("it cannot be watched"))?;
        self.resource_budget = self.resource_budget.without(most + 1);
        self.admin_socket = Some(AdminSocket {
            path: path.to_path_buf(),
            door,
            peers: 0,
            most,
            deadline,
        });
        Ok(())
    }

    pub fn set_default_drain_deadline(&mut self, deadline: Duration) {
        self.admin_socket
            .iter_mut()
            .for_each(|control| control.deadline = deadline);
    }

    /// Takes the socket's file away.
    pub fn close_admin_socket(&mut self) {
        if let Some(control) = self.admin_socket.take() {
            self.close(control.door);
            let _ = std::fs::remove_file(control.path);
        }
    }

    pub(super) fn accept_admin_socket(&mut self) {
        for _ in 0..TURN {
            let Some(control) = &self.admin_socket else {
                return;
            };
            let (door, full) = (control.door, control.peers >= control.most);
            let Some(conn) = self.connections.get(door) else {
                return;
            };
            let fd = match socket::accept_unix(&conn.stream) {
                Ok(Some(fd)) => fd,
                Ok(None) => return,
                Err(e) => {
                    return self
                        .log_event(ReasonCode::AdminSocketError, format!("accept error={e}"));
                }
            };
            // Dropped, it closes.
            if full || !socket::peer_is_same_user(&fd) {
                let why = if full {
                    "too many peers"
                } else {
                    "another user"
                };
                self.log_event(ReasonCode::AdminSocketError, format!("peer why={why:?}"));
                continue;
            }
            if let Some(key) = self.register(
                fd,
                ConnectionRole::AdminSocket,
                Interest {
                    read: true,
                    write: false,
                },
            ) {
                self.admin_socket
                    .iter_mut()
                    .for_each(|control| control.peers += 1);
                self.deadlines
                    .set(TimerKey::Connection(key), self.now + SILENT);
            }
        }
    }

    pub(super) fn admin_socket_ready(&mut self, key: SlotKey) {
        loop {
            let Some(conn) = self.connections.get_mut(key) else {
                return;
            };
            if conn.stream.ended.is_some() {
                return self.close_admin_connection(key);
            }
            // The next question is looked at once the last one's answer is written.
            if !conn.stream.is_flushed() {
                return self.set_interest(
                    key,
                    Interest {
                        read: false,
                        write: true,
                    },
                );
            }
            let bytes = conn.stream.inbound.bytes();
            let end = bytes.iter().take(LONGEST).position(|b| *b == b'\n');
            let Some(end) = end else {
                if bytes.len() < LONGEST {
                    return self.watch_own_io(key);
                }
                conn.stream
                    .send(&[AdminReply::error("a request is too long").line().as_bytes()]);
                self.log_event(ReasonCode::AdminSocketError, "request why=\"too long\"");
                return self.close_admin_connection(key);
            };
            let request = AdminRequest::read(&bytes[..end]);
            conn.stream.inbound.consume(end + 1);
            self.deadlines
                .set(TimerKey::Connection(key), self.now + SILENT);
            let reply = match request {
                Ok(request) => self.execute(&request).unwrap_or_else(AdminReply::error),
                Err(why) => {
                    self.log_event(ReasonCode::AdminSocketError, format!("request why={why:?}"));
                    AdminReply::error(why)
                }
            };
            let Some(conn) = self.connections.get_mut(key) else {
                return;
            };
            conn.stream.send(&[reply.line().as_bytes()]);
        }
    }

    pub(super) fn close_admin_connection(&mut self, key: SlotKey) {
        self.close(key);
        self.admin_socket
            .iter_mut()
            .for_each(|control| control.peers = control.peers.saturating_sub(1));
    }

    /// Does what an operator wants, over whichever door; an error says why it can't.
    pub(super) fn execute(&mut self, request: &AdminRequest) -> Result<AdminReply, &'static str> {
        if let Some(owner) = request.owner {
            let until = Duration::from_micros(owner.until_us);
            let order = FencedOrder {
                term: owner.term,
                boot: owner.boot,
                until,
            };
            let before = self.fencing_guard.highest();
            if let Err(refused) = self.fencing_guard.check(self.now, &order) {
                let (verb, highest) = (request.verb, self.fencing_guard.highest());
                let about = format!(
                    "order={verb:?} term={} heard={highest} why={:?}",
                    owner.term,
                    refused.why()
                );
                self.log_event(ReasonCode::CommandFenced, about);
                return Err(refused.why());
            }
            if self.fencing_guard.highest() > before {
                self.log_event(ReasonCode::LeaderAccepted, format!("term={}", owner.term));
                self.record_term(owner.term);
            }
        }
        let deadline = self
            .admin_socket
            .as_ref()
            .map_or(Duration::ZERO, |control| control.deadline);
        let done = match request.verb {
            AdminCommand::Status | AdminCommand::Hear => Ok(()),
            AdminCommand::Leave => {
                self.begin_shutdown(self.now);
                Ok(())
            }
            AdminCommand::Drain => {
                let within = request.deadline_ms.map_or(deadline, Duration::from_millis);
                self.drain(within, request.pace)
            }
            AdminCommand::Undrain => self.undrain(),
            AdminCommand::Ready if self.accepts_sessions() => {
                return Ok(AdminReply::text("yes\n".into()));
            }
            AdminCommand::Ready => return Err("no clients are taken in"),
            AdminCommand::Stats => return Ok(AdminReply::text(self.metrics_text())),
        };
        match done {
            Ok(()) => Ok(AdminReply::status(self.status())),
            Err(DrainError::Exiting) => Err("the proxy leaves for good"),
            Err(DrainError::NotDraining) => Err("the proxy is not draining"),
        }
    }

    /// What is made of places. A reply has its bound, so of many only those that need a look are told.
    fn places_told(&self) -> Vec<ZoneStatus> {
        let Some(places) = &self.session_table.zones else {
            return Vec::new();
        };
        let mut told: Vec<ZoneStatus> = Vec::new();
        for (name, place) in self.settings.zones.iter().zip(places.failover.zones()) {
            told.push(ZoneStatus {
                name: name.clone(),
                state: place.state.name().into(),
                // Whole since the start, it has turned to nothing.
                since_ms: self
                    .now
                    .saturating_sub(place.since.max(self.started_at))
                    .as_millis() as u64,
                doubts: place.dropped_suspicions,
                false_alarms: place.false_alarms,
            });
        }
        told.sort_by_key(|place| place.state == asterramp_zone_failover::ZoneState::Healthy.name());
        told.truncate(16);
        told
    }

    fn start_told(&self) -> Option<WarmStartStatus> {
        let start = self.warm_start_state()?;
        let source = |source: (EndpointSource, &str)| {
            let counts = start.candidates().counts(source.0);
            (source.1.to_string(), counts.reported, counts.usable)
        };
        let sources = [
            (EndpointSource::Snapshot, "saved"),
            (EndpointSource::Configuration, "configured"),
            (EndpointSource::Peer, "heard"),
            (EndpointSource::Discovery, "told"),
        ];
        Some(WarmStartStatus {
            stage: start.stage().name().into(),
            since_ms: self.now.saturating_sub(start.stage_since()).as_millis() as u64,
            sources: sources
                .into_iter()
                .map(source)
                .filter(|told| told.1 > 0)
                .collect(),
            dropped: start.candidates().dropped(),
            saved: self
                .snapshot_counts()
                .map(|counts| (counts.saved, counts.failed)),
        })
    }

    /// Who was refused for want of room, and what is known of what sessions take; of many listeners the first.
    fn refusals_told(&self) -> Vec<AdmissionStatus> {
        let taken = self.admission.session_costs(self.now);
        let all = self
            .settings
            .listeners
            .iter()
            .zip(self.admission.rejection_counts())
            .zip(taken);
        let told = all.map(|((name, counts), taken)| AdmissionStatus {
            listener: name.clone(),
            refused: RejectReason::ALL
                .into_iter()
                .zip(counts)
                .filter(|(_, n)| **n > 0)
                .map(|(why, n)| (why.name().into(), *n))
                .collect(),
            takes: taken.map(|t| (t.mean, t.mean_deviation, t.age.as_millis() as u64)),
        });
        told.filter(|room| !room.refused.is_empty() || room.takes.is_some())
            .take(16)
            .collect()
    }

    fn status(&self) -> ProxyStatus {
        let view = self.drain_view();
        let ms = |span: Duration| span.as_millis() as u64;
        let mut left: Vec<(String, usize)> = Vec::new();
        if self.drain.state() != DrainState::Serving {
            for (_, held) in self.session_table.sessions.iter() {
                let name = &self.settings.listeners[usize::from(held.machine.request.listener)];
                match left.iter_mut().find(|l| l.0 == *name) {
                    Some(listener) => listener.1 += 1,
                    None => left.push((name.clone(), 1)),
                }
            }
        }
        // A reply has its bound; what is left out is in the sum.
        left.truncate(32);
        ProxyStatus {
            pid: std::process::id(),
            state: self.drain.state().name().into(),
            up_ms: ms(self.now.saturating_sub(self.started_at)),
            open: view.open,
            pending: view.pending,
            strangers: self.connection_counts.pending(),
            moved: self.drain.moved(),
            pace: self.drain.pace(&view),
            room: view.room,
            expected_ms: self.drain.expected(self.now, &view).map(ms),
            deadline_ms: self.drain.left(self.now).map(ms),
            carries: self.drain.carries(self.now),
            taken: self.sessions_accepted,
            left,
            hosts_ready: self
                .endpoints
                .known_endpoints()
                .filter(|host| host.state == EndpointState::Ready)
                .count(),
            hosts: self
                .endpoints
                .known_endpoints()
                .filter(|host| host.state != EndpointState::Gone)
                .count(),
            discovery_ms: self
                .discovery_watch
                .last_heard()
                .map(|at| ms(self.now.saturating_sub(at))),
            places: self.places_told(),
            start: self.start_told(),
            refusals: self.refusals_told(),
            boot: self.fencing_guard.ticket(self.now).boot,
            clock_us: self.now.as_micros() as u64,
            term: self.fencing_guard.highest(),
        }
    }
}
