//! [`SystemState`], its initial value and its deadlines.

use super::connection::{Connection, SessionConnections};
use crate::monitor::Monitor;
use crate::server_model::ServerModel;
use crate::shape::{CONNECT_TIMEOUT, Shape};
use asterramp_drain::{Drain, DrainSettings};
use asterramp_placement::event::{EndpointState, ServerId};
use asterramp_proxy::routing::session_table::SessionTable;
use asterramp_proxy::transport::{Deadlines, SlotKey, SlotMap};
use std::collections::BTreeSet;
use std::time::Duration;

/// The time on the clock at the start. It is above zero, so that a server may have started before.
pub(super) const START_TIME: Duration = Duration::from_secs(100);
/// Time from the start after which the clock no longer advances to a deadline; every session has ended long before.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(10);
/// Number of zones, over which the servers are spread in turn.
const ZONE_COUNT: u8 = 2;
/// The seed of the placement engine's random numbers between actions; always the same, so that the fingerprints of states
/// do not differ by it.
pub(super) const IDLE_SEED: u64 = 0;
/// Settings of the drain, with times that fit the few hundred milliseconds for which the clients of the shapes wait.
const DRAIN_SETTINGS: DrainSettings = DrainSettings {
    max_closing_time: Duration::from_millis(60),
    quiet_period: Duration::from_millis(40),
    max_migrations_per_second: 20.0,
    time_before_next_drain: Duration::ZERO,
};

/// The key of a deadline. Of deadlines at the same time, the one whose key is lowest in this order falls due first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// The placement engine's timer.
    Tick,
    /// The next call of [`Drain::advise`].
    DrainAdvice,
    /// The deadline of a session.
    Session(SlotKey),
}

/// One state of the placement model: the production session table and drain, and the modelled environment.
#[derive(Clone, Debug)]
pub struct SystemState {
    /// The time on the clock.
    pub(super) now: Duration,
    pub(super) session_table: SessionTable<SessionConnections>,
    /// Connections to servers.
    pub(super) connections: SlotMap<Connection>,
    pub(super) deadlines: Deadlines<Deadline>,
    pub(super) servers: Vec<ServerModel>,
    /// The id of the next server that replaces another. It follows from `servers` and is not part of the fingerprint.
    pub(super) next_server_id: ServerId,
    /// Keys that the session table gave to the sessions, by number; `None` for a session that has not arrived yet. A key
    /// stays after its session has ended.
    pub(super) session_keys: Vec<Option<SlotKey>>,
    /// Servers that are being probed.
    pub(super) probes_in_flight: BTreeSet<ServerId>,
    /// Connections closed since the last deadline, which may still have an event.
    pub(super) closed_connections: Vec<(SlotKey, Connection)>,
    /// Number of changes that the endpoint list may still report.
    pub(super) endpoint_changes_left: u8,
    /// Number of events that may still be delivered for closed connections.
    pub(super) stale_events_left: u8,
    /// Number of commands that the operator may still give.
    pub(super) operator_commands_left: u8,
    pub(super) drain: Drain,
    /// When the last session arrived; the start if none has.
    pub(super) last_arrival: Duration,
    pub(super) monitor: Monitor,
    /// Effects of the last action, as text for the output of a replayed trace; not part of the fingerprint.
    pub(super) last_effects: Vec<String>,
}

impl SystemState {
    /// The state before the proxy has received its endpoint list.
    pub(super) fn initial(shape: &Shape) -> SystemState {
        SystemState {
            now: START_TIME,
            session_table: SessionTable::new(shape.deployment(), IDLE_SEED, CONNECT_TIMEOUT),
            connections: SlotMap::default(),
            deadlines: Deadlines::default(),
            servers: initial_servers(shape),
            next_server_id: ServerId::from(shape.server_count),
            session_keys: vec![None; shape.sessions.len()],
            probes_in_flight: BTreeSet::new(),
            closed_connections: Vec::new(),
            endpoint_changes_left: shape.max_endpoint_changes,
            stale_events_left: shape.max_stale_events,
            operator_commands_left: shape.max_operator_commands,
            drain: Drain::new(DRAIN_SETTINGS),
            last_arrival: START_TIME,
            monitor: Monitor::new(shape),
            last_effects: Vec::new(),
        }
    }

    /// The time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - START_TIME
    }

    /// The effects of the last action, one line each.
    pub fn last_effects(&self) -> &[String] {
        &self.last_effects
    }
}

/// The servers at the start. At most the last one is warming up, so that there is always another to place sessions on.
fn initial_servers(shape: &Shape) -> Vec<ServerModel> {
    let server = |number: u8| {
        let is_last = number + 1 == shape.server_count;
        let is_warming_up = shape.last_server_warming_up && is_last;
        ServerModel {
            id: ServerId::from(number),
            zone: number % ZONE_COUNT,
            state: EndpointState::Ready,
            started_at: is_warming_up.then_some(START_TIME),
        }
    };
    (0..shape.server_count).map(server).collect()
}
