//! The bounds of the model and the settings of the code that decides.

use asterramp_leader_lease::LeaseSettings;
use std::time::Duration;

pub(super) const CONTENDER_COUNT: usize = 2;
pub(super) const RECEIVER_COUNT: usize = 2;
/// The receiver that may also restart with its disk.
pub(super) const RECEIVER_WITH_DISK: usize = 0;
/// Orders in flight at most.
pub(super) const MAX_ORDERS_IN_FLIGHT: usize = 3;
/// Round figures, so that different orders of actions lead to equal states.
pub(super) const SETTINGS: LeaseSettings = LeaseSettings {
    session_timeout: Duration::from_millis(4_000),
    clock_margin: Duration::from_millis(1_000),
};
