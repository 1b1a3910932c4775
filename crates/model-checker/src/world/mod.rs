//! The placement world: the session table and the drain that serve, and a model of the clients, servers, sockets and the
//! clock around them.
//!
//! An [`Action`] happens (`events`, `drain`), the code reacts, and what it wants done is carried out
//! (`effects`) as the router does it on sockets. Then the properties are checked (`invariants`, [`crate::properties`]).

mod connection;
mod drain;
mod effects;
mod events;
mod fingerprint;
mod invariants;
mod possible_actions;

use crate::action::{Action, Choice};
use crate::monitor::Monitor;
use crate::properties::Violation;
use crate::server_model::ServerModel;
use crate::shape::{CONNECT_TIMEOUT, Shape};
use asterramp_drain::Drain;
use asterramp_placement::Event;
use asterramp_placement::event::{EndpointState, EndpointUpdate, ServerId};
use asterramp_proxy::routing::session_table::SessionTable;
use asterramp_proxy::transport::{Deadlines, SlotKey, SlotMap};
use connection::{Connection, SessionConnections};
use std::collections::BTreeSet;
use std::time::Duration;

/// What the clock shows at the start. It is not zero, since servers may have started before.
const START: Duration = Duration::from_secs(100);
/// The longest that a world goes on; every session has ended long before.
const HORIZON: Duration = Duration::from_secs(10);
/// Servers are spread over so many zones.
const ZONES: u8 = 2;
/// Seeds of the placement engine's random numbers, by random range. The first number in [0, 1) that is drawn is 0, 0.5, just
/// below 0.75 or just below 0.25.
const RANGE_SEEDS: [u64; 4] = [0, 0x8000_0000, 0x4000_0001, 0xc000_0003];
/// The seed between actions, so that worlds do not differ by it.
const IDLE_SEED: u64 = 0;

/// What the clock waits for. The order decides which of several at one time falls due first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Deadline {
    /// The placement engine's timer.
    Tick,
    /// The drain is asked for advice.
    DrainAdvice,
    /// The deadline of a session.
    Session(SlotKey),
}

/// One state of the model.
#[derive(Clone, Debug)]
pub struct World {
    now: Duration,
    session_table: SessionTable<SessionConnections>,
    /// Connections to servers.
    connections: SlotMap<Connection>,
    deadlines: Deadlines<Deadline>,
    servers: Vec<ServerModel>,
    /// The id of the next server that replaces another. It follows from the servers, and is no part of the fingerprint.
    next_server_id: ServerId,
    /// Keys of the sessions that have arrived, by number.
    session_keys: Vec<Option<SlotKey>>,
    /// Servers with a probe under way.
    probes: BTreeSet<ServerId>,
    /// Connections closed since the last deadline, which may still have an event.
    closed_connections: Vec<(SlotKey, Connection)>,
    endpoint_changes_left: u8,
    stale_events_left: u8,
    operator_orders_left: u8,
    drain: Drain,
    last_arrival: Duration,
    monitor: Monitor,
    /// What was done by the last action; no part of the fingerprint.
    last_effects: Vec<String>,
}

impl World {
    /// The world with which a shape begins: the proxy knows its servers, and no client has come.
    pub fn new(shape: &Shape) -> World {
        let mut world = World {
            now: START,
            session_table: SessionTable::new(shape.deployment(), IDLE_SEED, CONNECT_TIMEOUT),
            connections: SlotMap::default(),
            deadlines: Deadlines::default(),
            servers: initial_servers(shape),
            next_server_id: ServerId::from(shape.servers),
            session_keys: vec![None; shape.sessions.len()],
            probes: BTreeSet::new(),
            closed_connections: Vec::new(),
            endpoint_changes_left: shape.endpoint_changes,
            stale_events_left: shape.stale_events,
            operator_orders_left: shape.operator_orders,
            drain: Drain::new(drain::DRAIN_SETTINGS),
            last_arrival: START,
            monitor: Monitor::new(shape),
            last_effects: Vec::new(),
        };
        let endpoints = world.servers.iter().map(ServerModel::endpoint).collect();
        let list = Event::Endpoints(EndpointUpdate::Complete(endpoints));
        world.session_table.event(START, list);
        world.carry_out_tasks();
        world
    }

    /// Lets something happen that [`World::actions`] gives.
    ///
    /// # Errors
    ///
    /// A property that does not hold during this action or behind it.
    pub fn apply(&mut self, shape: &Shape, choice: Choice) -> Result<(), Violation> {
        self.last_effects.clear();
        // What chance does is a choice of whoever explores.
        let range = usize::from(choice.random_range) % RANGE_SEEDS.len();
        self.session_table.engine.reseed(RANGE_SEEDS[range]);
        if choice.action == Action::NextDeadline {
            self.closed_connections.clear();
        }
        self.perform(shape, choice.action);
        self.carry_out_tasks();
        self.session_table.engine.reseed(IDLE_SEED);
        self.check(shape)
    }

    /// The time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - START
    }

    /// What the code did during the last action, a line each.
    pub fn last_effects(&self) -> &[String] {
        &self.last_effects
    }
}

/// The servers at the start. At most the last is warming up, or there would be nowhere else to go.
fn initial_servers(shape: &Shape) -> Vec<ServerModel> {
    let server = |number: u8| {
        let is_last = number + 1 == shape.servers;
        let is_warming_up = shape.slow_start && is_last;
        ServerModel {
            id: ServerId::from(number),
            zone: number % ZONES,
            state: EndpointState::Ready,
            started_at: is_warming_up.then_some(START),
        }
    };
    (0..shape.servers).map(server).collect()
}
