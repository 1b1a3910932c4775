//! The bounds of the model and the settings of the code that decides.

use asterramp_zone_failover::{ZoneFailoverSettings, ZoneId};
use std::time::Duration;

/// Round figures, so that different orders of actions lead to equal states.
pub(super) const SETTINGS: ZoneFailoverSettings = ZoneFailoverSettings {
    suspicion_timeout: Duration::from_millis(2_000),
    probe_interval: Duration::from_millis(1_000),
    hold_down: Duration::from_millis(2_000),
    max_hold_down: Duration::from_millis(4_000),
    recovery_ramp: Duration::from_millis(3_000),
    discovery_delay: Duration::from_millis(2_000),
    in_flight_timeout: Duration::ZERO,
    probing_allowed: true,
};
/// The clock at the beginning.
pub(super) const START_TIME: Duration = Duration::from_secs(1_000);
/// By how much the clock goes on at once.
pub(super) const TICK: Duration = Duration::from_millis(500);

pub(super) const ZONE_COUNT: usize = 3;
pub(super) const SERVER_COUNT: usize = 8;
/// The zone of each server.
pub(super) const ZONE_OF_SERVER: [ZoneId; SERVER_COUNT] = [0, 0, 0, 1, 1, 1, 2, 2];

/// The servers of a zone.
pub(super) fn servers_in_zone(zone: ZoneId) -> impl Iterator<Item = usize> {
    (0..SERVER_COUNT).filter(move |server| ZONE_OF_SERVER[*server] == zone)
}
