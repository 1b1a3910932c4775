//! The reference point of times and incarnations in fingerprints.

use super::clocks::receiver_time;
use asterramp_leader_lease::{FencingToken, ReceiverClock, Term};
use std::time::Duration;

/// The reference point of times and incarnations in fingerprints. They are relative so that states which differ only in
/// when they were reached have equal fingerprints.
#[derive(Clone, Copy, Debug)]
pub(super) struct FingerprintReference {
    /// The true time.
    pub(super) now: Duration,
    /// Receiver processes started so far, by all receivers together.
    pub(super) incarnation_count: u64,
}

impl FingerprintReference {
    /// Number of receiver processes that were started after the one with this incarnation.
    pub(super) fn later_incarnations(self, incarnation: u64) -> u64 {
        self.incarnation_count - incarnation
    }

    /// A reading of a receiver's clock as the relative incarnation of the process that read it, and its age.
    pub(super) fn relative_clock(self, receiver: usize, clock: ReceiverClock) -> (u64, Duration) {
        let age = receiver_time(receiver, self.now) - clock.now;
        (self.later_incarnations(clock.incarnation), age)
    }

    /// A token for a receiver as its term, the relative incarnation of the process that it is for, and the milliseconds
    /// until it expires; 0 once it has expired.
    pub(super) fn relative_token(self, receiver: usize, token: FencingToken) -> (Term, u64, u128) {
        let clock = receiver_time(receiver, self.now);
        let remaining = token.expires_at.saturating_sub(clock).as_millis();
        let later_incarnations = self.later_incarnations(token.incarnation);
        (token.term, later_incarnations, remaining)
    }
}
