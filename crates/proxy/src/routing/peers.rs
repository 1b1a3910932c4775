//! What other proxies are asked after a power loss, and what this one answers: hosts that answer it, with ages. An answer is
//! evidence, never an order: whoever it names is asked first, and no more than that can come of a lie.

use super::{Code, Due, Role, Router};
use crate::protocol::discovery::Listed;
use crate::transport::poll::{Ready, Want};
use crate::transport::{Key, socket};
use asterramp_placement::event::Standing;
use asterramp_warm_start::{Age, Source, State, age};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Of the words below. Another is not heeded.
const VERSION: u32 = 1;
/// Hosts told at most, longest answer that is read, and others asked at once.
const HOSTS: usize = 256;
const LONGEST: usize = 128 << 10;
const ASKED: usize = 8;

/// The call, beside those of `asterramp_admin_protocol::CALLS`.
pub const PATH: &str = "/ops/known";

/// Whom to ask, and what tells a fleet's proxies from others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Others {
    pub fleet: String,
    pub doors: Vec<SocketAddr>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Known {
    v: u32,
    fleet: String,
    stage: String,
    /// Of the list, and when discovery last spoke, Unix time in milliseconds.
    rev: u64,
    told_ms: Option<u64>,
    /// Sessions that are being set up.
    pending: usize,
    hosts: Vec<KnownHost>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KnownHost {
    uid: String,
    endpoint: SocketAddr,
    zone: String,
    cell: u16,
    weight: f64,
    started_ms: Option<u64>,
    /// How long ago it answered or was told of, in milliseconds.
    age_ms: u64,
    unit: Option<f64>,
}

/// A question that is out.
#[derive(Debug, Default)]
pub struct Asked {
    asked: bool,
    text: Vec<u8>,
}

/// Questions that are out, by their connections.
#[derive(Debug, Default)]
pub struct Peers {
    pub others: Others,
    out: Vec<(Key, Asked)>,
    /// With whom the next round begins.
    next: usize,
}

impl Router {
    pub fn others_by(&mut self, others: Others) {
        self.peers = Peers {
            next: self.setup.deployment.number as usize,
            others,
            ..Peers::default()
        };
    }

    /// Asks some of the others, others each time.
    pub(super) fn ask_others(&mut self) {
        self.drop_peers();
        let (doors, from) = (self.peers.others.doors.clone(), self.peers.next);
        let round = doors
            .iter()
            .cycle()
            .skip(from % doors.len().max(1))
            .take(doors.len().min(ASKED));
        for door in round {
            self.peers.next += 1;
            let role = Role::Peer;
            let fd = socket::connect(*door).ok();
            if let Some(key) = fd.and_then(|fd| {
                self.keep(
                    fd,
                    role,
                    Want {
                        read: false,
                        write: true,
                    },
                )
            }) {
                self.peers.out.push((key, Asked::default()));
                self.deadlines
                    .set(Due::Conn(key), self.now + self.setup.connect_within * 2);
            }
        }
        if self.peers.out.is_empty() {
            self.heard_others();
        }
    }

    fn heard_others(&mut self) {
        let now = self.now;
        self.starting
            .iter_mut()
            .for_each(|s| s.recovery.heard_others(now));
        self.heed_start();
    }

    /// Nobody is asked any more.
    pub(super) fn drop_peers(&mut self) {
        for (key, _) in std::mem::take(&mut self.peers.out) {
            self.close(key);
        }
    }

    pub(super) fn peer_woken(&mut self, event: Ready) {
        let Some(at) = self.peers.out.iter().position(|out| out.0 == event.key) else {
            return;
        };
        let Asked { asked, text } = &mut self.peers.out[at].1;
        let Some(conn) = self.conns.get_mut(event.key) else {
            return;
        };
        if !*asked {
            if !conn.stream.is_up() {
                return self.peer_ended(event.key, "it cannot be reached");
            }
            *asked = true;
            let call = format!("GET {PATH} HTTP/1.1\r\nHost: proxy\r\n\r\n");
            conn.stream.send(&[call.as_bytes()]);
            return self.want_own(event.key);
        }
        conn.stream.fill(event.broken);
        let bytes = conn.stream.inbound.bytes();
        let (n, ended) = (bytes.len(), conn.stream.ended.is_some());
        text.extend_from_slice(bytes);
        conn.stream.inbound.consume(n);
        if text.len() > LONGEST {
            return self.peer_ended(event.key, "its answer is too long");
        }
        if !ended {
            return self.want_own(event.key);
        }
        let text = std::mem::take(text);
        match known(&text, &self.peers.others.fleet) {
            Ok(known) => {
                self.told_by_other(known);
                self.peer_ended(event.key, "");
            }
            Err(why) => self.peer_ended(event.key, &why),
        }
    }

    /// A question is over; with the last of them the others have been heard.
    pub(super) fn peer_ended(&mut self, key: Key, why: &str) {
        self.peers.out.retain(|out| out.0 != key);
        self.close(key);
        if !why.is_empty() {
            self.line(Code::PeerBad, format!("peer why={why:?}"));
        }
        if self.peers.out.is_empty() {
            self.heard_others();
        }
    }

    fn told_by_other(&mut self, known: Known) {
        let now = self.now;
        self.count(Code::PeerHeard);
        for host in known.hosts {
            // What it says of ages is by its own clock only as far as they are spans.
            let at = now.checked_sub(Duration::from_millis(host.age_ms));
            let old = at.map_or(Age::Unknown, |at| age(now, Some(at)));
            let zoned = self.setup.zones.contains(&host.zone);
            let good =
                zoned && host.weight.is_finite() && host.weight >= 0.0 && host.uid.len() <= 256;
            let Some(starting) = self.starting.as_mut().filter(|_| good) else {
                continue;
            };
            // One that is known already stands where it did: another's word moves nobody.
            if let Some(id) = self.roster.find(&host.uid) {
                if let Some(at) = self.roster.address(id).filter(|at| *at == host.endpoint) {
                    starting
                        .recovery
                        .word(now, id, at, Source::Heard, old, known.rev);
                }
                continue;
            }
            let line = Listed {
                uid: host.uid,
                endpoint: host.endpoint,
                zone: host.zone,
                cell: host.cell,
                standing: Standing::Gone,
                weight: host.weight,
                started: host.started_ms.map(Duration::from_millis),
            };
            // It does not count as listed before it answers.
            let Some((entry, _)) = self.roster.take(line) else {
                continue;
            };
            self.roster.stands_at(entry.server, host.endpoint);
            starting.remember(
                entry.server,
                host.unit.filter(|unit| unit.is_finite() && *unit > 0.0),
            );
            starting.recovery.word(
                now,
                entry.server,
                host.endpoint,
                Source::Heard,
                old,
                known.rev,
            );
        }
    }

    /// What this proxy answers: hosts that answer it, or that discovery calls ready, those last heard first.
    pub(super) fn told_known(&self) -> String {
        let now = self.now;
        let answers = |id: u32| match self.starting() {
            Some(start) => matches!(start.hosts().state(id), State::Answers | State::Told),
            None => true,
        };
        let normal = self
            .starting()
            .is_none_or(|start| start.stage() == asterramp_warm_start::Stage::Normal);
        let mut hosts: Vec<KnownHost> = (0..)
            .zip(self.roster.lines().zip(self.roster.hosts()))
            .filter(|(id, (line, _))| line.standing == Standing::Ready && (normal || answers(*id)))
            .map(|(_, (line, host))| KnownHost {
                uid: line.uid,
                endpoint: line.endpoint,
                zone: line.zone,
                cell: line.cell,
                weight: if line.weight.is_finite() {
                    line.weight
                } else {
                    1.0
                },
                started_ms: line.started.map(|at| at.as_millis() as u64),
                age_ms: now
                    .saturating_sub(host.told.max(self.watch.heard().unwrap_or(self.began)))
                    .as_millis() as u64,
                unit: host
                    .load
                    .asked
                    .zip(host.load.connections)
                    .filter(|load| load.1 >= 8.0)
                    .map(|l| l.0 / l.1),
            })
            .collect();
        hosts.sort_by_key(|host| host.age_ms);
        hosts.truncate(HOSTS);
        let known = Known {
            v: VERSION,
            fleet: self.peers.others.fleet.clone(),
            stage: self
                .starting()
                .map_or("normal", |start| start.stage().name())
                .into(),
            rev: self.watch.rev(),
            told_ms: self.watch.heard().map(|at| at.as_millis() as u64),
            pending: self.view().pending,
            hosts,
        };
        serde_json::to_string(&known).unwrap_or_default() + "\n"
    }

    /// Whether others are answered at all.
    pub(super) fn tells_others(&self) -> bool {
        !self.peers.others.fleet.is_empty()
    }
}

/// An answer taken apart; what is wrong with it in a few words.
fn known(text: &[u8], fleet: &str) -> Result<Known, String> {
    let end = text
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .ok_or("its answer has no head")?;
    if !text.starts_with(b"HTTP/1.1 200 ") {
        return Err("it answers no".into());
    }
    let known: Known = serde_json::from_slice(&text[end + 4..])
        .map_err(|e| format!("its answer cannot be read: {e}"))?;
    match () {
        () if known.v != VERSION => Err(format!("it speaks version {}", known.v)),
        () if known.fleet != fleet => Err("it is of another fleet".into()),
        () if known.hosts.len() > HOSTS => Err("it names too many hosts".into()),
        () => Ok(known),
    }
}
