//! What other proxies are asked after a power loss, and what this one answers: hosts that answer it, with ages. An answer is
//! evidence, never an order: whoever it names is asked first, and no more than that can come of a lie.

use super::{ConnectionRole, ReasonCode, Router, TimerKey};
use crate::protocol::discovery::ListedEndpoint;
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::event::EndpointState;
use asterramp_warm_start::{EndpointSource, EndpointTrustState, InformationAge, age};
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
pub struct PeerSettings {
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
pub struct PeerQuery {
    asked: bool,
    text: Vec<u8>,
}

/// Questions that are out, by their connections.
#[derive(Debug, Default)]
pub struct Peers {
    pub others: PeerSettings,
    out: Vec<(SlotKey, PeerQuery)>,
    /// With whom the next round begins.
    next: usize,
}

impl Router {
    pub fn configure_peers(&mut self, others: PeerSettings) {
        self.peers = Peers {
            next: self.settings.deployment.proxy_index as usize,
            others,
            ..Peers::default()
        };
    }

    /// Asks some of the others, others each time.
    pub(super) fn query_peers(&mut self) {
        self.close_peers();
        let (doors, from) = (self.peers.others.doors.clone(), self.peers.next);
        let round = doors
            .iter()
            .cycle()
            .skip(from % doors.len().max(1))
            .take(doors.len().min(ASKED));
        for door in round {
            self.peers.next += 1;
            let role = ConnectionRole::Peer;
            let fd = socket::connect(*door).ok();
            if let Some(key) = fd.and_then(|fd| {
                self.register(
                    fd,
                    role,
                    Interest {
                        read: false,
                        write: true,
                    },
                )
            }) {
                self.peers.out.push((key, PeerQuery::default()));
                self.deadlines.set(
                    TimerKey::Connection(key),
                    self.now + self.settings.connect_timeout * 2,
                );
            }
        }
        if self.peers.out.is_empty() {
            self.heard_others();
        }
    }

    fn heard_others(&mut self) {
        let now = self.now;
        self.warm_start
            .iter_mut()
            .for_each(|s| s.recovery.heard_others(now));
        self.apply_warm_start_effects();
    }

    /// Nobody is asked any more.
    pub(super) fn close_peers(&mut self) {
        for (key, _) in std::mem::take(&mut self.peers.out) {
            self.close(key);
        }
    }

    pub(super) fn peer_ready(&mut self, event: ReadyEvent) {
        let Some(at) = self.peers.out.iter().position(|out| out.0 == event.key) else {
            return;
        };
        let PeerQuery { asked, text } = &mut self.peers.out[at].1;
        let Some(conn) = self.connections.get_mut(event.key) else {
            return;
        };
        if !*asked {
            if !conn.stream.is_connected() {
                return self.peer_closed(event.key, "it cannot be reached");
            }
            *asked = true;
            let call = format!("GET {PATH} HTTP/1.1\r\nHost: proxy\r\n\r\n");
            conn.stream.send(&[call.as_bytes()]);
            return self.watch_own_io(event.key);
        }
        conn.stream.read_once(event.failed);
        let bytes = conn.stream.inbound.bytes();
        let (n, ended) = (bytes.len(), conn.stream.ended.is_some());
        text.extend_from_slice(bytes);
        conn.stream.inbound.consume(n);
        if text.len() > LONGEST {
            return self.peer_closed(event.key, "its answer is too long");
        }
        if !ended {
            return self.watch_own_io(event.key);
        }
        let text = std::mem::take(text);
        match known(&text, &self.peers.others.fleet) {
            Ok(known) => {
                self.told_by_other(known);
                self.peer_closed(event.key, "");
            }
            Err(why) => self.peer_closed(event.key, &why),
        }
    }

    /// A question is over; with the last of them the others have been heard.
    pub(super) fn peer_closed(&mut self, key: SlotKey, why: &str) {
        self.peers.out.retain(|out| out.0 != key);
        self.close(key);
        if !why.is_empty() {
            self.log_event(ReasonCode::PeerFailed, format!("peer why={why:?}"));
        }
        if self.peers.out.is_empty() {
            self.heard_others();
        }
    }

    fn told_by_other(&mut self, known: Known) {
        let now = self.now;
        self.count_event(ReasonCode::PeerAnswered);
        for host in known.hosts {
            // What it says of ages is by its own clock only as far as they are spans.
            let at = now.checked_sub(Duration::from_millis(host.age_ms));
            let old = at.map_or(InformationAge::Unknown, |at| age(now, Some(at)));
            let zoned = self.settings.zones.contains(&host.zone);
            let good =
                zoned && host.weight.is_finite() && host.weight >= 0.0 && host.uid.len() <= 256;
            let Some(starting) = self.warm_start.as_mut().filter(|_| good) else {
                continue;
            };
            // One that is known already stands where it did: another's word moves nobody.
            if let Some(id) = self.endpoints.find(&host.uid) {
                if let Some(at) = self.endpoints.address(id).filter(|at| *at == host.endpoint) {
                    starting
                        .recovery
                        .word(now, id, at, EndpointSource::Heard, old, known.rev);
                }
                continue;
            }
            let line = ListedEndpoint {
                uid: host.uid,
                address: host.endpoint,
                zone: host.zone,
                cell: host.cell,
                state: EndpointState::Gone,
                weight: host.weight,
                started_at: host.started_ms.map(Duration::from_millis),
            };
            // It does not count as listed before it answers.
            let Some((entry, _)) = self.endpoints.take(line) else {
                continue;
            };
            self.endpoints.stands_at(entry.server, host.endpoint);
            starting.restore_load_per_connection(
                entry.server,
                host.unit.filter(|unit| unit.is_finite() && *unit > 0.0),
            );
            starting.recovery.word(
                now,
                entry.server,
                host.endpoint,
                EndpointSource::Heard,
                old,
                known.rev,
            );
        }
    }

    /// What this proxy answers: hosts that answer it, or that discovery calls ready, those last heard first.
    pub(super) fn known_endpoints_text(&self) -> String {
        let now = self.now;
        let answers = |id: u32| match self.warm_start_state() {
            Some(start) => matches!(
                start.hosts().state(id),
                EndpointTrustState::Answers | EndpointTrustState::Told
            ),
            None => true,
        };
        let normal = self
            .warm_start_state()
            .is_none_or(|start| start.stage() == asterramp_warm_start::WarmStartStage::Normal);
        let mut hosts: Vec<KnownHost> = (0..)
            .zip(self.endpoints.lines().zip(self.endpoints.hosts()))
            .filter(|(id, (line, _))| {
                line.state == EndpointState::Ready && (normal || answers(*id))
            })
            .map(|(_, (line, host))| KnownHost {
                uid: line.uid,
                endpoint: line.address,
                zone: line.zone,
                cell: line.cell,
                weight: if line.weight.is_finite() {
                    line.weight
                } else {
                    1.0
                },
                started_ms: line.started_at.map(|at| at.as_millis() as u64),
                age_ms: now
                    .saturating_sub(
                        host.told
                            .max(self.discovery_watch.last_heard().unwrap_or(self.started_at)),
                    )
                    .as_millis() as u64,
                unit: host
                    .load
                    .utilization
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
                .warm_start_state()
                .map_or("normal", |start| start.stage().name())
                .into(),
            rev: self.discovery_watch.rev(),
            told_ms: self
                .discovery_watch
                .last_heard()
                .map(|at| at.as_millis() as u64),
            pending: self.drain_view().pending,
            hosts,
        };
        serde_json::to_string(&known).unwrap_or_default() + "\n"
    }

    /// Whether others are answered at all.
    pub(super) fn answers_peers(&self) -> bool {
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
