//! Leader election by a lease at a coordination store, and fencing of a former leader's orders. No I/O and no clock.
//!
//! One process at a time may do work on behalf of the whole fleet. Each that wants to is a [`LeaseContender`]: it queues at
//! the store with an ephemeral node, leads once that node is first, and stops by itself before its successor can begin.
//! Each receiver of orders holds a [`FencingGuard`], which rejects orders that reach it after their time, from a leader
//! that has been succeeded, or that were made for another process. `docs/leader-lease.md` says which of the two prevents
//! which case.
//!
//! Times are a [`Duration`](std::time::Duration) since the start of whichever process reads its clock. A contender and a
//! receiver have different clocks; the only value that goes from one to the other is [`FencingToken::expires_at`], which is
//! in the receiver's time.

mod contender;
mod fence;
#[cfg(feature = "injected-faults")]
mod injected_fault;

pub use contender::{LeaseContender, LeaseSettings, LeaseState, OrderPurpose};
pub use fence::{FencingGuard, FencingToken, OrderRejection, ReceiverClock};
#[cfg(feature = "injected-faults")]
pub use injected_fault::InjectedFault;

/// A leader's fencing number: the store's change number at which its node was created.
///
/// Terms only grow, so that a successor's is above its predecessor's. [`NO_TERM`] is nobody's.
pub type Term = u64;

/// The term of a contender that has not queued yet, and of a receiver that has accepted no order.
pub const NO_TERM: Term = 0;
