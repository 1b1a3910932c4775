//! Explores every order of events in the life of a few sessions. The placement engine, the session table, the slots and
//! the deadlines are the production code; sockets, clients, servers and the clock are modelled.
//!
//! An [`action::Action`] leads from one [`system_state::SystemState`] to the next, within the bounds of a
//! [`shape::Shape`], and every [`properties::Property`] is checked after each action. [`walk`] draws actions at random; a
//! [`trace::Trace`] records the actions that led to a violation. Four smaller models cover hot restart, zone failover, warm
//! start and leader lease. `docs/model-checker.md` describes what the checks prove and what they leave out.

pub mod action;
mod action_text;
pub mod explorer;
pub mod hot_restart;
mod known_states;
pub mod leader_lease;
pub mod model;
mod monitor;
pub mod placement_model;
pub mod properties;
mod server_model;
pub mod shape;
pub mod system_state;
pub mod trace;
pub mod walk;
pub mod warm_start;
pub mod zone_failover;

pub use action_text::ParseChoiceError;
