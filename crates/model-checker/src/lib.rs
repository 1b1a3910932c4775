//! Explores the life of sessions exhaustively at small size: the placement engine, the session table, slots and deadlines
//! are the code that serves; sockets, clients, servers and the clock are a model.
//!
//! A [`system_state::SystemState`] within the bounds of a [`shape::Shape`] goes on by [`action::Action`]s, and every
//! [`properties::Property`] is checked behind each. [`walk`] draws actions at random; a [`trace::Trace`] keeps what led to a
//! violation. Four smaller models play hot restart, zone failover, warm start and leader lease. `docs/model-checker.md` says what
//! all that shows and what it leaves out.

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
