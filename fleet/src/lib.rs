//! Who may do work on behalf of a whole fleet, and which of its orders still count. No I/O and no clock.
//!
//! `Owner` is a candidate at the store: it knows when it may act, and stops itself before another can begin. `Fence` is
//! what a receiver holds against orders. `docs/ownership.md` says which of the two stops which case.

mod fence;
mod owner;
#[cfg(feature = "planted")]
mod plant;

pub use fence::{Fence, Order, Refused, Ticket};
pub use owner::{Owner, State, Terms};
#[cfg(feature = "planted")]
pub use plant::Plant;

/// The store's change number of an owner's node; it only grows. 0 is nobody's.
pub type Term = u64;

/// Whether a bug is planted here; none is, in a build that serves.
#[cfg(feature = "planted")]
macro_rules! planted {
    ($of:expr, $plant:ident) => {
        $of.plant == Some($crate::plant::Plant::$plant)
    };
}
#[cfg(not(feature = "planted"))]
macro_rules! planted {
    ($of:expr, $plant:ident) => {
        false
    };
}
pub(crate) use planted;
