//! The watch on discovery.

use super::{ConnectionRole, ReasonCode, Router, TimerKey};
use crate::protocol::discovery::{self, EndpointList};
use crate::protocol::http_client::{ChunkedResponse, watch_request};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::Event;
use asterramp_placement::event;
use asterramp_placement::settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// Blank lines come every 2 s, by the protocol; without a whole line for this long the watch is dead, whatever else its
/// socket says.
const SILENCE: Duration = Duration::from_secs(3);
/// How long a new one may take to come up and say its first line, at first and at most. What changes while a watch is
/// dead counts as told 6 s after it fell silent, by the protocol: `SILENCE`, two tries and their pauses fit in that.
const ANSWER: Duration = Duration::from_secs(1);
/// Pause before it is opened again, at first and at most.
const PAUSE: Duration = Duration::from_millis(25);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub struct DiscoveryWatch {
    at: SocketAddr,
    rev: u64,
    key: Option<SlotKey>,
    asked: bool,
    answer: ChunkedResponse,
    pause: Duration,
    /// How long the next may take to say its first line.
    patience: Duration,
    /// What discovery tells meanwhile counts as told, so the longest pause leaves time to heed it.
    longest_pause: Duration,
    /// Where discovery answers only when asked, each call waits in one queue with those of all other proxies, and the
    /// module says when to call again; a pause that knows of no others keeps the queue jammed.
    by_module: bool,
    /// When it last said anything.
    heard: Option<Duration>,
}

impl DiscoveryWatch {
    pub fn new(at: SocketAddr, rev: u64, setup: &Settings) -> DiscoveryWatch {
        let longest_pause = (setup.drain_grace / 2).clamp(PAUSE, LONGEST_PAUSE);
        let by_module = setup.deployment.endpoint_poll_delay.is_some();
        DiscoveryWatch {
            at,
            rev,
            key: None,
            asked: false,
            answer: ChunkedResponse::default(),
            pause: PAUSE,
            patience: first_patience(by_module),
            longest_pause,
            by_module,
            heard: None,
        }
    }

    pub fn rev(&self) -> u64 {
        self.rev
    }

    pub fn last_heard(&self) -> Option<Duration> {
        self.heard
    }
}

/// An agent on the proxy's own machine answers at once; a discovery that is asked has a queue.
fn first_patience(by_module: bool) -> Duration {
    if by_module { SILENCE } else { ANSWER }
}

impl Router {
    /// The list as it was before the start, upon which discovery is asked.
    pub(super) fn apply_known_list(&mut self, list: EndpointList) {
        self.begin(list, event::EndpointUpdate::Stale);
    }

    /// The same as the process told it that this one replaces.
    pub(super) fn apply_inherited_list(&mut self, list: EndpointList) {
        self.begin(list, event::EndpointUpdate::Inherited);
    }

    fn begin(
        &mut self,
        list: EndpointList,
        as_told: impl Fn(Vec<event::Endpoint>) -> event::EndpointUpdate,
    ) {
        let entries = list
            .endpoints
            .into_iter()
            .filter_map(|line| Some(self.endpoints.take(line)?.0))
            .collect();
        self.event(Event::Endpoints(as_told(entries)));
        if !self.discovery_watch.by_module {
            self.connect_watch();
        }
    }

    /// Opens the watch, if none is open.
    pub(super) fn connect_watch(&mut self) {
        if self.discovery_watch.key.is_some() {
            return;
        }
        let fd = socket::connect(self.discovery_watch.at).ok();
        self.discovery_watch.key = fd.and_then(|fd| {
            self.register(
                fd,
                ConnectionRole::DiscoveryWatch,
                Interest {
                    read: false,
                    write: true,
                },
            )
        });
        (self.discovery_watch.asked, self.discovery_watch.answer) =
            (false, ChunkedResponse::default());
        if self.discovery_watch.key.is_some() {
            self.deadlines.set(
                TimerKey::DiscoveryWatch,
                self.now + self.discovery_watch.patience,
            );
            self.discovery_watch.patience = (self.discovery_watch.patience * 2).min(SILENCE);
        } else {
            self.end_watch(ReasonCode::WatchEnded, "connect failed");
        }
    }

    /// Discovery may stand elsewhere from now on. What its agent there has is asked for whole, as its versions
    /// need not be those of the other, which ends its watches soon and would tell nothing more.
    pub fn reload(&mut self, now: Duration, discovery: SocketAddr) {
        self.now = now;
        let same = self.discovery_watch.at == discovery;
        self.log_event(
            ReasonCode::ConfigReloaded,
            format!("discovery={discovery} changed={}", !same),
        );
        if !same {
            self.discovery_watch
                .key
                .take()
                .into_iter()
                .for_each(|key| drop(self.close(key)));
            self.discovery_watch = DiscoveryWatch {
                at: discovery,
                rev: 0,
                pause: PAUSE,
                answer: ChunkedResponse::default(),
                ..self.discovery_watch
            };
            self.discovery_watch.patience = first_patience(self.discovery_watch.by_module);
            self.connect_watch();
        }
    }

    pub(super) fn watch_deadline(&mut self) {
        if self.discovery_watch.key.is_some() {
            self.end_watch(ReasonCode::WatchSilent, "silent");
        } else {
            self.connect_watch();
        }
    }

    fn end_watch(&mut self, code: ReasonCode, why: &str) {
        self.log_event(code, format!("watch why={why:?}"));
        self.discovery_watch
            .key
            .take()
            .into_iter()
            .for_each(|key| drop(self.close(key)));
        if self.discovery_watch.by_module {
            self.deadlines.clear(TimerKey::DiscoveryWatch);
            return self.event(Event::Endpoints(event::EndpointUpdate::Failed));
        }
        self.deadlines.set(
            TimerKey::DiscoveryWatch,
            self.now + self.discovery_watch.pause,
        );
        self.discovery_watch.pause =
            (self.discovery_watch.pause * 2).min(self.discovery_watch.longest_pause);
    }

    pub(super) fn watch_ready(&mut self, event: ReadyEvent) {
        let Some(conn) = self.connections.get_mut(event.key) else {
            return;
        };
        if !self.discovery_watch.asked {
            if !conn.stream.is_connected() {
                return self.end_watch(ReasonCode::WatchEnded, "connect failed");
            }
            self.discovery_watch.asked = true;
            let request = watch_request(
                &self.discovery_watch.at.to_string(),
                self.discovery_watch.rev,
            );
            conn.stream.send(&[request.as_bytes()]);
            return self.watch_own_io(event.key);
        }
        conn.stream.read_once(event.failed);
        let bytes = conn.stream.inbound.bytes();
        let (n, mut lines) = (bytes.len(), Vec::new());
        let fed = self.discovery_watch.answer.feed(bytes, &mut lines);
        let ended = conn.stream.ended.is_some() || self.discovery_watch.answer.is_complete();
        conn.stream.inbound.consume(n);
        // Half a line, or an answer without end, would keep a dead watch alive.
        if !lines.is_empty() {
            self.discovery_watch.heard = Some(self.now);
            self.deadlines
                .set(TimerKey::DiscoveryWatch, self.now + SILENCE);
            self.session_table.note_discovery_alive(self.now);
        }
        for line in lines {
            if let Err(why) = self.listed(&line) {
                self.log_event(
                    ReasonCode::EndpointListInvalid,
                    format!("roster why={why:?}"),
                );
                return self.end_watch(ReasonCode::WatchEnded, "bad list");
            }
        }
        match fed {
            Err(fault) => self.end_watch(ReasonCode::WatchEnded, &fault.to_string()),
            Ok(()) if ended => self.end_watch(ReasonCode::WatchEnded, "closed"),
            Ok(()) => self.watch_own_io(event.key),
        }
    }

    /// One line of the watch; blank ones only show that discovery lives. Of a list with a bad entry the rest is
    /// heeded, as a drain may be in it, but it is asked for again from the version before, and what it leaves
    /// out is not gone.
    fn listed(&mut self, line: &[u8]) -> Result<(), String> {
        if !line.is_empty() {
            let list = discovery::parse(line)?;
            let whole = list.complete && list.first_error.is_none();
            let mut entries = Vec::with_capacity(list.endpoints.len());
            for line in list.endpoints {
                let Some((entry, stale)) = self.endpoints.take(line) else {
                    self.count_event(ReasonCode::EndpointTableFull);
                    continue;
                };
                entries.push(entry);
                if stale {
                    self.unneeded_probe(entry.server);
                }
            }
            if self.is_older(list.revision) {
                self.apply_older_list(list.revision, entries);
            } else {
                self.told(entries, whole);
            }
            list.first_error.map_or(Ok(()), Err)?;
            self.discovery_watch.rev = list.revision;
            self.count_event(ReasonCode::EndpointsApplied);
            self.mark_snapshot_outdated();
        }
        (self.discovery_watch.pause, self.discovery_watch.patience) =
            (PAUSE, first_patience(self.discovery_watch.by_module));
        if !self.serving && self.warm_start.is_none() {
            self.start_serving("discovery");
        }
        Ok(())
    }

    fn told(&mut self, mut entries: Vec<event::Endpoint>, whole: bool) {
        if whole {
            self.endpoints.only(&entries);
        }
        self.note_listed_endpoints(&mut entries, whole);
        let told = if whole {
            event::EndpointUpdate::Complete
        } else {
            event::EndpointUpdate::Changes
        };
        self.event(Event::Endpoints(told(entries)));
    }

    /// Its server is gone or stands elsewhere: what is asked there now is answered by nobody.
    fn unneeded_probe(&mut self, server: event::ServerId) {
        let Some(key) = self.endpoints.probe(server) else {
            return;
        };
        match self.connections.get(key).map(|conn| conn.role) {
            Some(ConnectionRole::Probe(_, super::probe::ProbeStage::Idle)) => {
                self.close_probe(server, key)
            }
            _ => self.finish_probe(server, event::Outcome::CalledOff),
        }
    }
}
