//! Who may do work on behalf of a whole fleet, and which of its orders still count. No I/O and no clock.
//!
//! `Owner` is a candidate at the store: it knows when it may act, and stops itself before another can begin. `Fence` is
//! what a receiver holds against orders. `docs/ownership.md` says which of the two stops which case.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod fence;
#[cfg(feature = "injected-faults")]
mod injected_fault;
mod lease;

pub use fence::{FencedOrder, FencingGuard, FencingTicket, OrderRejection};
#[cfg(feature = "injected-faults")]
pub use injected_fault::InjectedFault;
pub use lease::{LeaseCandidate, LeaseSettings, LeaseState};

/// The store's change number of an owner's node; it only grows. 0 is nobody's.
pub type Term = u64;
