//! Leader election by a lease at a coordination store, and fencing of a former leader's orders. No I/O and no clock.
//!
//! One process at a time may do work on behalf of the whole fleet. Each candidate is a [`LeaseContender`]: it queues at the
//! store with an ephemeral node, leads once that node is first, and stops by itself before its successor can begin. Each
//! receiver of orders has a [`FencingGuard`], which rejects orders that arrive after their expiry, that are from a leader
//! with a successor, or that were made for another process. `docs/leader-lease.md` explains which of the two prevents
//! which case.
//!
//! Times are a [`Duration`](std::time::Duration) since the start of the process whose clock is read. A contender and a
//! receiver have different clocks; the only time that a contender passes to a receiver is [`FencingToken::expires_at`],
//! which is in the receiver's time.

mod contender;
mod fence;
#[cfg(feature = "injected-faults")]
mod injected_fault;

pub use contender::{LeaseContender, LeaseSettings, LeaseState, OrderPurpose};
pub use fence::{FencingGuard, FencingToken, OrderRejection, ReceiverClock};
#[cfg(feature = "injected-faults")]
pub use injected_fault::InjectedFault;

/// A leader's fencing number: the store's transaction number at which its node was created.
///
/// Terms only grow, so a successor's term is greater than its predecessor's. No leader has [`NO_TERM`].
pub type Term = u64;

/// The term of a contender that has not queued yet, and of a receiver that has accepted no order.
pub const NO_TERM: Term = 0;
