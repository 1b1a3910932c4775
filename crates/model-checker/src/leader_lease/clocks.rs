//! The true time, and the clocks of contenders and receivers, some of which deviate from it.

use super::settings::RECEIVER_COUNT;
use std::time::Duration;

/// The true time in the initial state.
pub(super) const START_TIME: Duration = Duration::from_secs(1_000);
/// Step by which the true time advances.
pub(super) const TICK: Duration = Duration::from_millis(1_000);
/// The contender whose clock runs slow.
const CONTENDER_WITH_SLOW_CLOCK: usize = 0;
/// True ticks in which the slow clock falls behind by one tick; a lower value makes it slower.
const TICKS_PER_LOST_TICK: u32 = 8;
/// How far each receiver's clock is ahead of the true time.
const RECEIVER_CLOCK_AHEAD: [Duration; RECEIVER_COUNT] =
    [Duration::from_secs(86_400), Duration::ZERO];
/// How far each receiver's clock is behind the true time.
const RECEIVER_CLOCK_BEHIND: [Duration; RECEIVER_COUNT] =
    [Duration::ZERO, Duration::from_secs(500)];

/// The time that a contender's clock shows at the true time `now`.
pub(super) fn contender_time(contender: usize, now: Duration) -> Duration {
    if contender == CONTENDER_WITH_SLOW_CLOCK {
        now - (now - START_TIME) / TICKS_PER_LOST_TICK
    } else {
        now
    }
}

/// The time that a receiver's clock shows at the true time `now`.
pub(super) fn receiver_time(receiver: usize, now: Duration) -> Duration {
    now + RECEIVER_CLOCK_AHEAD[receiver] - RECEIVER_CLOCK_BEHIND[receiver]
}

/// The true time at which a receiver's clock shows `time`.
pub(super) fn receiver_to_true_time(receiver: usize, time: Duration) -> Duration {
    (time + RECEIVER_CLOCK_BEHIND[receiver]).saturating_sub(RECEIVER_CLOCK_AHEAD[receiver])
}

/// True ticks, modulo `TICKS_PER_LOST_TICK`. States with equal phases have clocks that advance equally from then on.
pub(super) fn slow_clock_phase(now: Duration) -> u128 {
    now.as_millis() / TICK.as_millis() % u128::from(TICKS_PER_LOST_TICK)
}
