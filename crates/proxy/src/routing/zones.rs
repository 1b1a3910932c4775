//! Connects the placement engine with zone failover: what an event shows about a server goes to [`ZoneFailover`], and
//! what that decides goes to the engine as events. No I/O.

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
    /// What led to it.
    pub cause: ZoneInput,
}

/// Zone failover, with the endpoint list that it needs to tell which servers a complete list leaves out.
#[derive(Clone, Debug)]
pub struct ZoneTracker {
    /// State of each zone.
    pub failover: ZoneFailover,
    /// Last entry of each server that discovery has listed, by index.
    endpoints: Vec<Option<Endpoint>>,
}

/// What the end of an attempt or probe shows about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerSign {
    Response,
    Failure,
    /// Neither.
    Unclear,
}

/// A reset shows neither: whoever sends it is up, and may have dropped this connection alone.
fn sign_of(outcome: Outcome) -> ServerSign {
    match outcome {
        Outcome::Ok | Outcome::ServerError | Outcome::Full => ServerSign::Response,
        Outcome::TimedOut | Outcome::Unreachable => ServerSign::Failure,
        Outcome::Reset | Outcome::Cancelled | Outcome::NotSent => ServerSign::Unclear,
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
    /// `None` where there is only one zone: a proxy then has no other to use.
    pub fn new(zone_count: usize, settings: ZoneFailoverSettings) -> Option<ZoneTracker> {
        if zone_count <= 1 {
            return None;
        }
        Some(ZoneTracker {
            failover: ZoneFailover::new(settings, zone_count),
            endpoints: Vec::new(),
        })
    }

    /// Observes an event before the engine handles it. `session_server` is the server of the event's session, if any.
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
            // A saved list says which servers there are, but is no sign that discovery is up.
            EndpointUpdate::Stale(entries) | EndpointUpdate::Inherited(entries) => {
                self.observe_entries(now, entries);
            }
            EndpointUpdate::Failed => {}
        }
    }

    /// Servers that a complete list leaves out are gone.
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
        match sign_of(outcome) {
            ServerSign::Response => self.failover.server_responded(now, server),
            ServerSign::Failure => self.failover.server_failed(now, server),
            ServerSign::Unclear => {}
        }
    }

    /// Moves what was decided to `events`, which the engine handles, and to `transitions`, which are logged.
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
