//! The placement world: the session table and the drain that serve, and a model of the clients, servers, sockets and the
//! clock around them.
//!
//! An [`Action`] happens (`events`, `drain`), the code reacts, and what it wants done is carried out (`effects`) as the
//! router does it on sockets. Then the properties are checked (`invariants`, [`crate::properties`]). Each of the modules
//! below uses only those above it.

mod connection;
mod state;

mod fingerprint;
mod sessions;

mod drain;
mod effects;
mod invariants;
mod possible_actions;

mod events;

use crate::action::{Action, Choice};
use crate::properties::Violation;
use crate::server_model::ServerModel;
use crate::shape::Shape;
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::EndpointUpdate;
use state::IDLE_SEED;
pub use state::SystemState;

/// Seeds of the placement engine's random numbers, by random range. The first number in [0, 1) that is drawn is 0, 0.5, just
/// below 0.75 or just below 0.25.
const RANGE_SEEDS: [u64; 4] = [0, 0x8000_0000, 0x4000_0001, 0xc000_0003];

impl SystemState {
    /// The world with which a shape begins: the proxy knows its servers, and no client has come.
    pub fn new(shape: &Shape) -> SystemState {
        let mut state = SystemState::initial(shape);
        let endpoints = state.servers.iter().map(ServerModel::endpoint).collect();
        let list = PlacementEvent::EndpointsUpdated(EndpointUpdate::Complete(endpoints));
        state.session_table.handle_event(state.now, list);
        state.carry_out_tasks();
        state
    }

    /// Lets something happen that [`SystemState::actions`] gives.
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
}
