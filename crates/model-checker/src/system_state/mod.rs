//! The state of the placement model: the production session table and drain, and a model of the clients, servers, sockets
//! and the clock around them.
//!
//! An [`Action`] is applied (`events`, `drain`), the production code handles it, and the resulting tasks are carried out
//! (`effects`) as the router does on sockets. Then the properties are checked (`invariants`, [`crate::properties`]). Each
//! group of modules below uses only the groups above it.

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

/// Seeds of the placement engine's random numbers, by the number of the random range. The first number in [0, 1) that is
/// drawn with them is 0, 0.5, just below 0.75 and just below 0.25.
const RANGE_SEEDS: [u64; 4] = [0, 0x8000_0000, 0x4000_0001, 0xc000_0003];

impl SystemState {
    /// The initial state of a shape: the proxy has its endpoint list, and no session has arrived.
    pub fn new(shape: &Shape) -> SystemState {
        let mut state = SystemState::initial(shape);
        let endpoints = state.servers.iter().map(ServerModel::endpoint).collect();
        let list = PlacementEvent::EndpointsUpdated(EndpointUpdate::Complete(endpoints));
        state.session_table.handle_event(state.now, list);
        state.carry_out_tasks();
        state
    }

    /// Applies one of [`SystemState::actions`], carries out the resulting tasks and checks the properties.
    ///
    /// # Errors
    ///
    /// A property that does not hold during the action or after it.
    pub fn apply(&mut self, shape: &Shape, choice: Choice) -> Result<(), Violation> {
        self.last_effects.clear();
        // The explorer chooses the random numbers, as it does the action.
        let range = usize::from(choice.random_range) % RANGE_SEEDS.len();
        self.session_table.engine.reseed(RANGE_SEEDS[range]);
        if choice.action == Action::NextDeadline {
            self.closed_connections.clear();
        }
        self.apply_action(shape, choice.action);
        self.carry_out_tasks();
        self.session_table.engine.reseed(IDLE_SEED);
        self.check_properties(shape)
    }
}
