//! Between the events of the module and what is made of whole places: what an event shows goes to the one, what it
//! decides goes back as an event. No I/O.

use asterramp_placement::Event;
use asterramp_placement::event::{Endpoint, EndpointState, EndpointUpdate, Outcome, ServerId};
use asterramp_zone_failover::{
    self as site, ZoneEffect, ZoneFailover, ZoneFailoverSettings, ZoneState,
};
use std::time::Duration;

/// A place's state changed, and why.
pub type ZoneTransition = (u8, ZoneState, &'static str);

#[derive(Clone, Debug)]
pub struct ZoneTracker {
    pub sites: ZoneFailover,
    /// Servers that discovery has told, by index.
    listed: Vec<Option<Endpoint>>,
}

/// What the end of a dial or probe shows of its server; a reset shows neither, as whoever sends it lives and may
/// have let go of this connection alone.
fn shows(outcome: Outcome) -> Option<bool> {
    match outcome {
        Outcome::Ok | Outcome::Erred | Outcome::Full => Some(true),
        Outcome::TimedOut | Outcome::Unreachable => Some(false),
        Outcome::Reset | Outcome::CalledOff | Outcome::NeverSent => None,
    }
}

impl ZoneTracker {
    /// `None` where there is one place: a proxy has no other to go to.
    pub fn new(count: usize, terms: ZoneFailoverSettings) -> Option<ZoneTracker> {
        (count > 1).then(|| ZoneTracker {
            sites: ZoneFailover::new(terms, count),
            listed: Vec::new(),
        })
    }

    /// Something that the module is about to hear. `to` is the server of the session that it is about, if any.
    pub fn hears(&mut self, now: Duration, event: &Event, to: Option<ServerId>) {
        match (event, to) {
            (Event::Endpoints(EndpointUpdate::Complete(entries)), _) => {
                let mut left: Vec<Endpoint> = self.listed.iter().flatten().copied().collect();
                left.retain(|known| entries.iter().all(|entry| entry.server != known.server));
                let gone = left.into_iter().map(|known| Endpoint {
                    state: EndpointState::Gone,
                    ..known
                });
                gone.for_each(|entry| self.listed(now, entry));
                entries.iter().for_each(|entry| self.listed(now, *entry));
                self.sites.told(now);
            }
            (Event::Endpoints(EndpointUpdate::Changes(entries)), _) => {
                entries.iter().for_each(|entry| self.listed(now, *entry));
                self.sites.told(now);
            }
            // A list of old tells where servers stand, and nothing of the present.
            (
                Event::Endpoints(
                    EndpointUpdate::Stale(entries) | EndpointUpdate::Inherited(entries),
                ),
                _,
            ) => {
                entries.iter().for_each(|entry| self.listed(now, *entry));
            }
            (Event::SessionOpened { .. }, Some(server)) => self.sites.sound(now, server),
            (
                Event::ProbeEnded {
                    server, outcome, ..
                },
                _,
            ) => self.shown(now, *server, *outcome),
            (
                Event::AttemptEnded {
                    outcome,
                    session_over: false,
                    ..
                },
                Some(server),
            ) => self.shown(now, server, *outcome),
            (Event::Tick, _) if self.sites.due().is_some_and(|due| due <= now) => {
                self.sites.tick(now)
            }
            _ => {}
        }
    }

    fn listed(&mut self, now: Duration, entry: Endpoint) {
        let at = entry.server as usize;
        if self.listed.len() <= at {
            self.listed.resize(at + 1, None);
        }
        self.listed[at] = Some(entry);
        let standing = match entry.state {
            EndpointState::Ready => site::ServerState::Ready,
            EndpointState::Draining => site::ServerState::Draining,
            EndpointState::Gone => site::ServerState::Gone,
        };
        self.sites
            .listed(now, entry.server, entry.zone, standing, entry.started_at);
    }

    fn shown(&mut self, now: Duration, server: ServerId, outcome: Outcome) {
        match shows(outcome) {
            Some(true) => self.sites.sound(now, server),
            Some(false) => self.sites.sign(now, server),
            None => {}
        }
    }

    /// What the module is to hear, and what changed.
    pub fn decide(&mut self, events: &mut impl Extend<Event>, turns: &mut Vec<ZoneTransition>) {
        for effect in self.sites.effects() {
            match effect {
                ZoneEffect::Open(zone, open) => {
                    events.extend([Event::ZoneShare { zone, share: open }])
                }
                ZoneEffect::Look(server) => events.extend([Event::ProbeRequested { server }]),
                ZoneEffect::Turned(place, state, why) => turns.push((place, state, why)),
            }
        }
    }
}
