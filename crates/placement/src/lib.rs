//! Placement decisions of asterramp, a load balancer for long-lived connections: which server a session is placed on,
//! when it is retried, rejected or migrated, and which servers are probed.
//!
//! [`PlacementEngine`] takes [`PlacementEvent`]s and returns [`PlacementAction`]s; it does no I/O and reads no clock.
//! It decides by a [`Deployment`], which [`settings`] reads. `docs/design.md` gives the reason for each rule.

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

pub use action::PlacementAction;
pub use deployment::Deployment;
pub use engine::PlacementEngine;
pub use event::PlacementEvent;
