//! One state of the placement world.

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

/// What the clock shows at the start. It is not zero, since servers may have started before.
pub(super) const START_TIME: Duration = Duration::from_secs(100);
/// The longest that a world goes on; every session has ended long before.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(10);
/// Servers are spread over so many zones.
const ZONES: u8 = 2;
/// The seed of the placement engine's random numbers between actions, so that worlds do not differ by it.
pub(super) const IDLE_SEED: u64 = 0;
/// How a drain goes, with times that fit the few hundred milliseconds for which clients wait here.
const DRAIN_SETTINGS: DrainSettings = DrainSettings {
    max_closing_time: Duration::from_millis(60),
    quiet_period: Duration::from_millis(40),
    max_migrations_per_second: 20.0,
    time_before_next_drain: Duration::ZERO,
};

/// What the clock waits for. The order decides which of several at one time falls due first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// The placement engine's timer.
    Tick,
    /// The drain is asked for advice.
    DrainAdvice,
    /// The deadline of a session.
    Session(SlotKey),
}

/// One state of the model.
#[derive(Clone, Debug)]
pub struct SystemState {
    pub(super) now: Duration,
    pub(super) session_table: SessionTable<SessionConnections>,
    /// Connections to servers.
    pub(super) connections: SlotMap<Connection>,
    pub(super) deadlines: Deadlines<Deadline>,
    pub(super) servers: Vec<ServerModel>,
    /// The id of the next server that replaces another. It follows from the servers, and is no part of the fingerprint.
    pub(super) next_server_id: ServerId,
    /// Keys of the sessions that have arrived, by number.
    pub(super) session_keys: Vec<Option<SlotKey>>,
    /// Servers with a probe under way.
    pub(super) probes_in_flight: BTreeSet<ServerId>,
    /// Connections closed since the last deadline, which may still have an event.
    pub(super) closed_connections: Vec<(SlotKey, Connection)>,
    pub(super) endpoint_changes_left: u8,
    pub(super) stale_events_left: u8,
    pub(super) operator_orders_left: u8,
    pub(super) drain: Drain,
    pub(super) last_arrival: Duration,
    pub(super) monitor: Monitor,
    /// What was done by the last action; no part of the fingerprint.
    pub(super) last_effects: Vec<String>,
}

impl SystemState {
    /// The state before the proxy has heard of its servers.
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
            operator_orders_left: shape.max_operator_orders,
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

    /// What the code did during the last action, a line each.
    pub fn last_effects(&self) -> &[String] {
        &self.last_effects
    }
}

/// The servers at the start. At most the last is warming up, or there would be nowhere else to go.
fn initial_servers(shape: &Shape) -> Vec<ServerModel> {
    let server = |number: u8| {
        let is_last = number + 1 == shape.server_count;
        let is_warming_up = shape.last_server_warming_up && is_last;
        ServerModel {
            id: ServerId::from(number),
            zone: number % ZONES,
            state: EndpointState::Ready,
            started_at: is_warming_up.then_some(START_TIME),
        }
    };
    (0..shape.server_count).map(server).collect()
}
