//! The watch on discovery.

use super::{Code, Due, Role, Router};
use crate::protocol::discovery::{self, List};
use crate::protocol::http::{Answer, watch_request};
use crate::transport::poll::{Ready, Want};
use crate::transport::{Key, socket};
use asterramp_placement::Event;
use asterramp_placement::event;
use asterramp_placement::settings::Setup;
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
pub struct Watch {
    at: SocketAddr,
    rev: u64,
    key: Option<Key>,
    asked: bool,
    answer: Answer,
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

impl Watch {
    pub fn new(at: SocketAddr, rev: u64, setup: &Setup) -> Watch {
        let longest_pause = (setup.drain_grace / 2).clamp(PAUSE, LONGEST_PAUSE);
        let by_module = setup.deployment.ask_roster.is_some();
        Watch {
            at,
            rev,
            key: None,
            asked: false,
            answer: Answer::default(),
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

    pub fn heard(&self) -> Option<Duration> {
        self.heard
    }
}

/// An agent on the proxy's own machine answers at once; a discovery that is asked has a queue.
fn first_patience(by_module: bool) -> Duration {
    if by_module { SILENCE } else { ANSWER }
}

impl Router {
    /// The list as it was before the start, upon which discovery is asked.
    pub(super) fn known(&mut self, list: List) {
        self.begin(list, event::Roster::Stale);
    }

    /// The same as the process told it that this one replaces.
    pub(super) fn told_by_elder(&mut self, list: List) {
        self.begin(list, event::Roster::Inherited);
    }

    fn begin(&mut self, list: List, as_told: impl Fn(Vec<event::Entry>) -> event::Roster) {
        let entries = list
            .lines
            .into_iter()
            .filter_map(|line| Some(self.roster.take(line)?.0))
            .collect();
        self.event(Event::Roster(as_told(entries)));
        if !self.watch.by_module {
            self.connect_watch();
        }
    }

    /// Opens the watch, if none is open.
    pub(super) fn connect_watch(&mut self) {
        if self.watch.key.is_some() {
            return;
        }
        let fd = socket::connect(self.watch.at).ok();
        self.watch.key = fd.and_then(|fd| {
            self.keep(
                fd,
                Role::Watch,
                Want {
                    read: false,
                    write: true,
                },
            )
        });
        (self.watch.asked, self.watch.answer) = (false, Answer::default());
        if self.watch.key.is_some() {
            self.deadlines
                .set(Due::Watch, self.now + self.watch.patience);
            self.watch.patience = (self.watch.patience * 2).min(SILENCE);
        } else {
            self.end_watch(Code::WatchEnded, "connect failed");
        }
    }

    /// Discovery may stand elsewhere from now on. What its agent there has is asked for whole, as its versions
    /// need not be those of the other, which ends its watches soon and would tell nothing more.
    pub fn reload(&mut self, now: Duration, discovery: SocketAddr) {
        self.now = now;
        let same = self.watch.at == discovery;
        self.line(
            Code::Reloaded,
            format!("discovery={discovery} changed={}", !same),
        );
        if !same {
            self.watch
                .key
                .take()
                .into_iter()
                .for_each(|key| drop(self.close(key)));
            self.watch = Watch {
                at: discovery,
                rev: 0,
                pause: PAUSE,
                answer: Answer::default(),
                ..self.watch
            };
            self.watch.patience = first_patience(self.watch.by_module);
            self.connect_watch();
        }
    }

    pub(super) fn watch_due(&mut self) {
        if self.watch.key.is_some() {
            self.end_watch(Code::WatchSilent, "silent");
        } else {
            self.connect_watch();
        }
    }

    fn end_watch(&mut self, code: Code, why: &str) {
        self.line(code, format!("watch why={why:?}"));
        self.watch
            .key
            .take()
            .into_iter()
            .for_each(|key| drop(self.close(key)));
        if self.watch.by_module {
            self.deadlines.clear(Due::Watch);
            return self.event(Event::Roster(event::Roster::Failed));
        }
        self.deadlines.set(Due::Watch, self.now + self.watch.pause);
        self.watch.pause = (self.watch.pause * 2).min(self.watch.longest_pause);
    }

    pub(super) fn watch_woken(&mut self, event: Ready) {
        let Some(conn) = self.conns.get_mut(event.key) else {
            return;
        };
        if !self.watch.asked {
            if !conn.stream.is_up() {
                return self.end_watch(Code::WatchEnded, "connect failed");
            }
            self.watch.asked = true;
            let request = watch_request(&self.watch.at.to_string(), self.watch.rev);
            conn.stream.send(&[request.as_bytes()]);
            return self.want_own(event.key);
        }
        conn.stream.fill(event.broken);
        let bytes = conn.stream.inbound.bytes();
        let (n, mut lines) = (bytes.len(), Vec::new());
        let fed = self.watch.answer.feed(bytes, &mut lines);
        let ended = conn.stream.ended.is_some() || self.watch.answer.over();
        conn.stream.inbound.consume(n);
        // Half a line, or an answer without end, would keep a dead watch alive.
        if !lines.is_empty() {
            self.watch.heard = Some(self.now);
            self.deadlines.set(Due::Watch, self.now + SILENCE);
            self.exchange.discovery_lives(self.now);
        }
        for line in lines {
            if let Err(why) = self.listed(&line) {
                self.line(Code::RosterBad, format!("roster why={why:?}"));
                return self.end_watch(Code::WatchEnded, "bad list");
            }
        }
        match fed {
            Err(fault) => self.end_watch(Code::WatchEnded, &fault.to_string()),
            Ok(()) if ended => self.end_watch(Code::WatchEnded, "closed"),
            Ok(()) => self.want_own(event.key),
        }
    }

    /// One line of the watch; blank ones only show that discovery lives. Of a list with a bad entry the rest is
    /// heeded, as a drain may be in it, but it is asked for again from the version before, and what it leaves
    /// out is not gone.
    fn listed(&mut self, line: &[u8]) -> Result<(), String> {
        if !line.is_empty() {
            let list = discovery::read(line)?;
            let whole = list.whole && list.bad.is_none();
            let mut entries = Vec::with_capacity(list.lines.len());
            for line in list.lines {
                let Some((entry, stale)) = self.roster.take(line) else {
                    self.count(Code::RosterFull);
                    continue;
                };
                entries.push(entry);
                if stale {
                    self.unneeded_probe(entry.server);
                }
            }
            if self.is_older(list.rev) {
                self.told_older(list.rev, entries);
            } else {
                self.told(entries, whole);
            }
            list.bad.map_or(Ok(()), Err)?;
            self.watch.rev = list.rev;
            self.count(Code::RosterTaken);
            self.state_changed();
        }
        (self.watch.pause, self.watch.patience) = (PAUSE, first_patience(self.watch.by_module));
        if !self.serving && self.starting.is_none() {
            self.serve("discovery");
        }
        Ok(())
    }

    fn told(&mut self, mut entries: Vec<event::Entry>, whole: bool) {
        if whole {
            self.roster.only(&entries);
        }
        self.told_start(&mut entries, whole);
        let told = if whole {
            event::Roster::Whole
        } else {
            event::Roster::Changes
        };
        self.event(Event::Roster(told(entries)));
    }

    /// Its server is gone or stands elsewhere: what is asked there now is answered by nobody.
    fn unneeded_probe(&mut self, server: event::ServerId) {
        let Some(key) = self.roster.probe(server) else {
            return;
        };
        match self.conns.get(key).map(|conn| conn.role) {
            Some(Role::Probe(_, super::probe::Stage::Idle)) => self.drop_probe(server, key),
            _ => self.probe_ended(server, event::Outcome::CalledOff),
        }
    }
}
