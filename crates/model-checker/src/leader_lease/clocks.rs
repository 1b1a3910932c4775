//! The true time, and the clocks of contenders and receivers, of which some are wrong.

use super::settings::RECEIVER_COUNT;
use std::time::Duration;

/// The true time at the beginning.
pub(super) const START_TIME: Duration = Duration::from_secs(1_000);
/// By how much the true time goes on at once.
pub(super) const TICK: Duration = Duration::from_millis(1_000);
/// The contender whose clock runs too slow: it loses one tick in `SLOWNESS`.
const CONTENDER_WITH_SLOW_CLOCK: usize = 0;
const SLOWNESS: u32 = 8;
/// How far each receiver's clock is ahead of the truth.
const RECEIVER_AHEAD: [Duration; RECEIVER_COUNT] = [Duration::from_secs(86_400), Duration::ZERO];
/// How far each receiver's clock is behind the truth.
const RECEIVER_BEHIND: [Duration; RECEIVER_COUNT] = [Duration::ZERO, Duration::from_secs(500)];

/// The time by a contender's clock.
pub(super) fn contender_time(contender: usize, now: Duration) -> Duration {
    if contender == CONTENDER_WITH_SLOW_CLOCK {
        now - (now - START_TIME) / SLOWNESS
    } else {
        now
    }
}

/// The time by a receiver's clock.
pub(super) fn receiver_time(receiver: usize, now: Duration) -> Duration {
    now + RECEIVER_AHEAD[receiver] - RECEIVER_BEHIND[receiver]
}

/// The true time at which a receiver's clock shows `time`.
pub(super) fn receiver_to_true_time(receiver: usize, time: Duration) -> Duration {
    (time + RECEIVER_BEHIND[receiver]).saturating_sub(RECEIVER_AHEAD[receiver])
}

/// How far the slow clock is from its next lost tick: the clocks go on alike from equal phases.
pub(super) fn slow_clock_phase(now: Duration) -> u128 {
    now.as_millis() / TICK.as_millis() % u128::from(SLOWNESS)
}
