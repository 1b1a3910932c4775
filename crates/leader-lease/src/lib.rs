//! Who may do work on behalf of a whole fleet, and which of its orders still count. No I/O and no clock.
//!
//! `Owner` is a candidate at the store: it knows when it may act, and stops itself before another can begin. `Fence` is
//! what a receiver holds against orders. `docs/ownership.md` says which of the two stops which case.

mod fence;
#[cfg(feature = "injected-faults")]
mod injected_fault;
mod lease;

pub use fence::{Fence, Order, Refused, Ticket};
#[cfg(feature = "injected-faults")]
pub use injected_fault::Plant;
pub use lease::{Owner, State, Terms};

/// The store's change number of an owner's node; it only grows. 0 is nobody's.
pub type Term = u64;

/// Whether a bug is planted here; none is, in a build that serves.
#[cfg(feature = "injected-faults")]
macro_rules! planted {
    ($of:expr, $plant:ident) => {
        $of.plant == Some($crate::injected_fault::Plant::$plant)
    };
}
#[cfg(not(feature = "injected-faults"))]
macro_rules! planted {
    ($of:expr, $plant:ident) => {
        false
    };
}
pub(crate) use planted;
