//! What fingerprints are relative to.

use super::clocks::receiver_time;
use asterramp_leader_lease::{FencingToken, ReceiverClock, Term};
use std::time::Duration;

/// What the times and incarnations in fingerprints are relative to, so that states which differ only by when they were
/// reached are equal.
#[derive(Clone, Copy, Debug)]
pub(super) struct FingerprintReference {
    /// The true time.
    pub(super) now: Duration,
    /// Processes of receivers so far.
    pub(super) incarnations: u64,
}

impl FingerprintReference {
    /// How many processes of receivers have started since this one.
    pub(super) fn later_incarnations(self, incarnation: u64) -> u64 {
        self.incarnations - incarnation
    }

    /// A reading of a receiver's clock: of which process, and how old it is.
    pub(super) fn relative_clock(self, receiver: usize, clock: ReceiverClock) -> (u64, Duration) {
        let age = receiver_time(receiver, self.now) - clock.now;
        (self.later_incarnations(clock.incarnation), age)
    }

    /// A token for a receiver: its term, for which process it is, and for how many milliseconds it still counts.
    pub(super) fn relative_token(self, receiver: usize, token: FencingToken) -> (Term, u64, u128) {
        let clock = receiver_time(receiver, self.now);
        let remaining = token.expires_at.saturating_sub(clock).as_millis();
        let later_incarnations = self.later_incarnations(token.incarnation);
        (token.term, later_incarnations, remaining)
    }
}
