//! Placement decisions of asterramp, a balancer for long-lived connections.
//!
//! [`choice`] decides; [`setup`] reads settings; the others hold the types in which it is asked and answers.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

pub mod action;
pub mod deployment;
mod endpoint_polling;
pub mod engine;
pub mod event;
mod group_table;
mod load_estimate;
mod outlier_ejection;
mod peer_traffic;
mod probing;
mod random;
pub mod retry_budget;
mod server;
mod session;
mod session_pacing;
pub mod settings;
mod slow_start;
mod timers;
mod zone_shares;

pub use action::Action;
pub use deployment::Deployment;
pub use engine::PlacementEngine;
pub use event::Event;
