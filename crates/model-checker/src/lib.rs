//! Explores the life of sessions exhaustively at small size: the module, the exchange, the lives, slots and
//! deadlines are the code that serves; sockets, clients, hosts and the clock are a model. `docs/check.md` says
//! what that shows and what it leaves out.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

pub mod explorer;
pub mod hot_restart;
pub mod leader_lease;
pub mod model;
pub mod placement_model;
pub mod properties;
pub mod shape;
pub mod step;
pub mod trace;
pub mod walk;
pub mod warm_start;
pub mod world;
pub mod zone_failover;
