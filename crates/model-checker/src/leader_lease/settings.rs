//! Bounds of the leader-lease model and settings of the production code in it.

use asterramp_leader_lease::LeaseSettings;
use std::time::Duration;

pub(super) const CONTENDER_COUNT: usize = 2;
pub(super) const RECEIVER_COUNT: usize = 2;
/// The receiver that may restart with its disk as well as without it; the other restarts only without.
pub(super) const RECEIVER_WITH_DISK: usize = 0;
/// Most orders in flight; with this many, no further order is sent. Bounds the number of states.
pub(super) const MAX_ORDERS_IN_FLIGHT: usize = 3;
/// All durations are multiples of `TICK`, so that different orders of actions lead to equal states.
pub(super) const SETTINGS: LeaseSettings = LeaseSettings {
    session_timeout: Duration::from_millis(4_000),
    clock_margin: Duration::from_millis(1_000),
};
