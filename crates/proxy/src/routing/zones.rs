//! Connects the placement engine with zone failover. Evidence about servers in the engine's events is passed to
//! [`ZoneFailover`], whose decisions are returned to the engine as further events. No I/O.

use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Endpoint, EndpointState, EndpointUpdate, Outcome, ServerId};
use asterramp_zone_failover::{
    ServerState, ZoneEffect, ZoneFailover, ZoneFailoverSettings, ZoneId, ZoneInput, ZoneState,
};
use std::time::Duration;

/// A change of a zone's state, to be logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTransition {
    /// The zone.
    pub zone: ZoneId,
    /// Its new state.
    pub state: ZoneState,
    /// The input that caused the change.
    pub cause: ZoneInput,
}

/// Zone failover, with the endpoints that are needed to find which servers a complete list omits.
#[derive(Clone, Debug)]
pub struct ZoneTracker {
    /// The state machine of all zones.
    pub failover: ZoneFailover,
    /// Last entry of each server, by server index; `None` for servers that discovery has not listed.
    endpoints: Vec<Option<Endpoint>>,
}

/// What the outcome of an attempt or probe shows about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerEvidence {
    /// The server responded, if only with a rejection or an error.
    Response,
    /// The server did not respond.
    Failure,
    /// The outcome shows neither.
    Inconclusive,
}

/// A reset is inconclusive: its sender is up, and may have dropped only this connection.
fn evidence_from_outcome(outcome: Outcome) -> ServerEvidence {
    match outcome {
        Outcome::Ok | Outcome::ServerError | Outcome::Full => ServerEvidence::Response,
        Outcome::TimedOut | Outcome::Unreachable => ServerEvidence::Failure,
        Outcome::Reset | Outcome::Cancelled | Outcome::NotSent => ServerEvidence::Inconclusive,
    }
}

fn server_state(state: EndpointState) -> ServerState {
    match state {
        EndpointState::Ready => ServerState::Ready,
        EndpointState::Draining => ServerState::Draining,
        EndpointState::Gone => ServerState::Gone,
    }
}

impl ZoneTracker {
    /// `None` for fewer than two zones, as there is no other zone to fail over to.
    pub fn new(zone_count: usize, settings: ZoneFailoverSettings) -> Option<ZoneTracker> {
        if zone_count <= 1 {
            return None;
        }
        Some(ZoneTracker {
            failover: ZoneFailover::new(settings, zone_count),
            endpoints: Vec::new(),
        })
    }

    /// Evaluates an event before the engine handles it. `session_server` is the server of the event's session, if it
    /// has one.
    pub fn observe(
        &mut self,
        now: Duration,
        event: &PlacementEvent,
        session_server: Option<ServerId>,
    ) {
        match event {
            PlacementEvent::EndpointsUpdated(update) => self.observe_update(now, update),
            PlacementEvent::SessionOpened { .. } => {
                if let Some(server) = session_server {
                    self.failover.server_responded(now, server);
                }
            }
            PlacementEvent::ProbeEnded {
                server, outcome, ..
            } => self.observe_outcome(now, *server, *outcome),
            PlacementEvent::AttemptEnded {
                outcome,
                session_over: false,
                ..
            } => {
                if let Some(server) = session_server {
                    self.observe_outcome(now, server, *outcome);
                }
            }
            PlacementEvent::Tick => {
                let is_due = self.failover.next_timer().is_some_and(|due| due <= now);
                if is_due {
                    self.failover.tick(now);
                }
            }
            _ => {}
        }
    }

    fn observe_update(&mut self, now: Duration, update: &EndpointUpdate) {
        match update {
            EndpointUpdate::Complete(entries) => {
                self.mark_unlisted_as_gone(now, entries);
                self.observe_entries(now, entries);
                self.failover.discovery_responded(now);
            }
            EndpointUpdate::Changes(entries) => {
                self.observe_entries(now, entries);
                self.failover.discovery_responded(now);
            }
            // A saved or inherited list names servers, but does not show that discovery is up.
            EndpointUpdate::Stale(entries) | EndpointUpdate::Inherited(entries) => {
                self.observe_entries(now, entries);
            }
            EndpointUpdate::Failed => {}
        }
    }

    /// Marks servers as gone that a complete list omits.
    fn mark_unlisted_as_gone(&mut self, now: Duration, entries: &[Endpoint]) {
        let mut unlisted: Vec<Endpoint> = self.endpoints.iter().flatten().copied().collect();
        unlisted.retain(|known| entries.iter().all(|entry| entry.server != known.server));
        for known in unlisted {
            let gone = Endpoint {
                state: EndpointState::Gone,
                ..known
            };
            self.observe_entry(now, gone);
        }
    }

    fn observe_entries(&mut self, now: Duration, entries: &[Endpoint]) {
        for entry in entries {
            self.observe_entry(now, *entry);
        }
    }

    fn observe_entry(&mut self, now: Duration, entry: Endpoint) {
        let index = entry.server as usize;
        if self.endpoints.len() <= index {
            self.endpoints.resize(index + 1, None);
        }
        self.endpoints[index] = Some(entry);
        let state = server_state(entry.state);
        self.failover
            .server_listed(now, entry.server, entry.zone, state, entry.started_at);
    }

    fn observe_outcome(&mut self, now: Duration, server: ServerId, outcome: Outcome) {
        match evidence_from_outcome(outcome) {
            ServerEvidence::Response => self.failover.server_responded(now, server),
            ServerEvidence::Failure => self.failover.server_failed(now, server),
            ServerEvidence::Inconclusive => {}
        }
    }

    /// Moves pending decisions to `events`, which the engine handles, and changes of state to `transitions`, which are
    /// logged.
    pub fn take_decisions(
        &mut self,
        events: &mut impl Extend<PlacementEvent>,
        transitions: &mut Vec<ZoneTransition>,
    ) {
        for effect in self.failover.drain_effects() {
            match effect {
                ZoneEffect::SetShare { zone, share } => {
                    events.extend([PlacementEvent::ZoneShareChanged { zone, share }]);
                }
                ZoneEffect::Probe { server } => {
                    events.extend([PlacementEvent::ProbeRequested { server }])
                }
                ZoneEffect::StateChanged { zone, state, cause } => {
                    transitions.push(ZoneTransition { zone, state, cause });
                }
            }
        }
    }
}
