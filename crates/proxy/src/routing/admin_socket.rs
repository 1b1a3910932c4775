//! The control socket: an operator's questions and orders, a line each, on the loop that serves. Whoever does not
//! read holds back only its own answers.

use super::{Code, Due, Role, Router};
use crate::transport::poll::Want;
use crate::transport::{Key, socket};
use asterramp_admin_protocol::{
    LONGEST, PlaceStatus, Reply, Request, RoomStatus, StartStatus, Status, Verb,
};
use asterramp_admission::Reason;
use asterramp_drain::{Refusal, State};
use asterramp_leader_lease::Order;
use asterramp_placement::event::Standing;
use asterramp_warm_start::Source;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long a peer may say nothing, or take none of an answer.
const SILENT: Duration = Duration::from_secs(60);
/// Peers taken in a turn.
const TURN: usize = 8;

#[derive(Debug)]
pub struct Control {
    path: PathBuf,
    door: Key,
    peers: usize,
    most: usize,
    /// Within how long a drain empties the proxy where nobody says.
    pub deadline: Duration,
}

impl Router {
    /// Opens the socket. A file that a crashed proxy left is taken over; one that somebody listens at is not.
    pub fn open_control(&mut self, path: &Path, most: usize, deadline: Duration) -> io::Result<()> {
        let door = socket::listen_unix(path, socket::SocketType::STREAM)?;
        let door = self.keep(
            door,
            Role::ControlDoor,
            Want {
                read: true,
                write: false,
            },
        );
        let door = door.ok_or_else(|| io::Error::other("it cannot be watched"))?;
        self.budget = self.budget.without(most + 1);
        self.control = Some(Control {
            path: path.to_path_buf(),
            door,
            peers: 0,
            most,
            deadline,
        });
        Ok(())
    }

    pub fn control_deadline(&mut self, deadline: Duration) {
        self.control
            .iter_mut()
            .for_each(|control| control.deadline = deadline);
    }

    /// Takes the socket's file away.
    pub fn close_control(&mut self) {
        if let Some(control) = self.control.take() {
            self.close(control.door);
            let _ = std::fs::remove_file(control.path);
        }
    }

    pub(super) fn accept_control(&mut self) {
        for _ in 0..TURN {
            let Some(control) = &self.control else { return };
            let (door, full) = (control.door, control.peers >= control.most);
            let Some(conn) = self.conns.get(door) else {
                return;
            };
            let fd = match socket::accept_unix(&conn.stream) {
                Ok(Some(fd)) => fd,
                Ok(None) => return,
                Err(e) => return self.line(Code::ControlBad, format!("accept error={e}")),
            };
            // Dropped, it closes.
            if full || !socket::is_own_user(&fd) {
                let why = if full {
                    "too many peers"
                } else {
                    "another user"
                };
                self.line(Code::ControlBad, format!("peer why={why:?}"));
                continue;
            }
            if let Some(key) = self.keep(
                fd,
                Role::Control,
                Want {
                    read: true,
                    write: false,
                },
            ) {
                self.control
                    .iter_mut()
                    .for_each(|control| control.peers += 1);
                self.deadlines.set(Due::Conn(key), self.now + SILENT);
            }
        }
    }

    pub(super) fn control_woken(&mut self, key: Key) {
        loop {
            let Some(conn) = self.conns.get_mut(key) else {
                return;
            };
            if conn.stream.ended.is_some() {
                return self.drop_control(key);
            }
            // The next question is looked at once the last one's answer is written.
            if !conn.stream.sent() {
                return self.want(
                    key,
                    Want {
                        read: false,
                        write: true,
                    },
                );
            }
            let bytes = conn.stream.inbound.bytes();
            let end = bytes.iter().take(LONGEST).position(|b| *b == b'\n');
            let Some(end) = end else {
                if bytes.len() < LONGEST {
                    return self.want_own(key);
                }
                conn.stream
                    .send(&[Reply::error("a request is too long").line().as_bytes()]);
                self.line(Code::ControlBad, "request why=\"too long\"");
                return self.drop_control(key);
            };
            let request = Request::read(&bytes[..end]);
            conn.stream.inbound.consume(end + 1);
            self.deadlines.set(Due::Conn(key), self.now + SILENT);
            let reply = match request {
                Ok(request) => self.obey(&request).unwrap_or_else(Reply::error),
                Err(why) => {
                    self.line(Code::ControlBad, format!("request why={why:?}"));
                    Reply::error(why)
                }
            };
            let Some(conn) = self.conns.get_mut(key) else {
                return;
            };
            conn.stream.send(&[reply.line().as_bytes()]);
        }
    }

    pub(super) fn drop_control(&mut self, key: Key) {
        self.close(key);
        self.control
            .iter_mut()
            .for_each(|control| control.peers = control.peers.saturating_sub(1));
    }

    /// Does what an operator wants, over whichever door; an error says why it can't.
    pub(super) fn obey(&mut self, request: &Request) -> Result<Reply, &'static str> {
        if let Some(owner) = request.owner {
            let until = Duration::from_micros(owner.until_us);
            let order = Order {
                term: owner.term,
                boot: owner.boot,
                until,
            };
            let before = self.fence.highest();
            if let Err(refused) = self.fence.check(self.now, &order) {
                let (verb, highest) = (request.verb, self.fence.highest());
                let about = format!(
                    "order={verb:?} term={} heard={highest} why={:?}",
                    owner.term,
                    refused.why()
                );
                self.line(Code::OrderRefused, about);
                return Err(refused.why());
            }
            if self.fence.highest() > before {
                self.line(Code::OwnerHeard, format!("term={}", owner.term));
                self.heard_term(owner.term);
            }
        }
        let deadline = self
            .control
            .as_ref()
            .map_or(Duration::ZERO, |control| control.deadline);
        let done = match request.verb {
            Verb::Status | Verb::Hear => Ok(()),
            Verb::Leave => {
                self.leave(self.now);
                Ok(())
            }
            Verb::Drain => {
                let within = request.deadline_ms.map_or(deadline, Duration::from_millis);
                self.drain(within, request.pace)
            }
            Verb::Undrain => self.undrain(),
            Verb::Ready if self.takes() => return Ok(Reply::text("yes\n".into())),
            Verb::Ready => return Err("no clients are taken in"),
            Verb::Stats => return Ok(Reply::text(self.told_figures())),
        };
        match done {
            Ok(()) => Ok(Reply::status(self.status())),
            Err(Refusal::Exiting) => Err("the proxy leaves for good"),
            Err(Refusal::NotDraining) => Err("the proxy is not draining"),
        }
    }

    /// What is made of places. A reply has its bound, so of many only those that need a look are told.
    fn places_told(&self) -> Vec<PlaceStatus> {
        let Some(places) = &self.exchange.places else {
            return Vec::new();
        };
        let mut told: Vec<PlaceStatus> = Vec::new();
        for (name, place) in self.setup.zones.iter().zip(places.sites.places()) {
            told.push(PlaceStatus {
                name: name.clone(),
                state: place.state.name().into(),
                // Whole since the start, it has turned to nothing.
                since_ms: self
                    .now
                    .saturating_sub(place.since.max(self.began))
                    .as_millis() as u64,
                doubts: place.doubts,
                false_alarms: place.false_alarms,
            });
        }
        told.sort_by_key(|place| place.state == asterramp_zone_failover::State::Whole.name());
        told.truncate(16);
        told
    }

    fn start_told(&self) -> Option<StartStatus> {
        let start = self.starting()?;
        let source = |source: (Source, &str)| {
            let (told, good) = start.hosts().by(source.0);
            (source.1.to_string(), told, good)
        };
        let sources = [
            (Source::Saved, "saved"),
            (Source::Configured, "configured"),
            (Source::Heard, "heard"),
            (Source::Told, "told"),
        ];
        Some(StartStatus {
            stage: start.stage().name().into(),
            since_ms: self.now.saturating_sub(start.since()).as_millis() as u64,
            sources: sources
                .into_iter()
                .map(source)
                .filter(|told| told.1 > 0)
                .collect(),
            dropped: start.hosts().dropped,
            saved: self.kept(),
        })
    }

    /// Who was refused for want of room, and what is known of what sessions take; of many listeners the first.
    fn refusals_told(&self) -> Vec<RoomStatus> {
        let taken = self.gate.taken(self.now);
        let all = self
            .setup
            .listeners
            .iter()
            .zip(self.gate.counts())
            .zip(taken);
        let told = all.map(|((name, counts), taken)| RoomStatus {
            listener: name.clone(),
            refused: Reason::ALL
                .into_iter()
                .zip(counts)
                .filter(|(_, n)| **n > 0)
                .map(|(why, n)| (why.name().into(), *n))
                .collect(),
            takes: taken.map(|t| (t.mean, t.off, t.age.as_millis() as u64)),
        });
        told.filter(|room| !room.refused.is_empty() || room.takes.is_some())
            .take(16)
            .collect()
    }

    fn status(&self) -> Status {
        let view = self.view();
        let ms = |span: Duration| span.as_millis() as u64;
        let mut left: Vec<(String, usize)> = Vec::new();
        if self.drain.state() != State::Serving {
            for (_, held) in self.exchange.sessions.iter() {
                let name = &self.setup.listeners[usize::from(held.life.arrival.listener)];
                match left.iter_mut().find(|l| l.0 == *name) {
                    Some(listener) => listener.1 += 1,
                    None => left.push((name.clone(), 1)),
                }
            }
        }
        // A reply has its bound; what is left out is in the sum.
        left.truncate(32);
        Status {
            pid: std::process::id(),
            state: self.drain.state().name().into(),
            up_ms: ms(self.now.saturating_sub(self.began)),
            open: view.open,
            pending: view.pending,
            strangers: self.tally.strangers(),
            moved: self.drain.moved(),
            pace: self.drain.pace(&view),
            room: view.room,
            expected_ms: self.drain.expected(self.now, &view).map(ms),
            deadline_ms: self.drain.left(self.now).map(ms),
            carries: self.drain.carries(self.now),
            taken: self.taken,
            left,
            hosts_ready: self
                .roster
                .hosts()
                .filter(|host| host.standing == Standing::Ready)
                .count(),
            hosts: self
                .roster
                .hosts()
                .filter(|host| host.standing != Standing::Gone)
                .count(),
            discovery_ms: self.watch.heard().map(|at| ms(self.now.saturating_sub(at))),
            places: self.places_told(),
            start: self.start_told(),
            refusals: self.refusals_told(),
            boot: self.fence.ticket(self.now).boot,
            clock_us: self.now.as_micros() as u64,
            term: self.fence.highest(),
        }
    }
}
