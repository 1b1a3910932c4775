//! Bounds of the zone-failover model and settings of the production code in it.

use asterramp_zone_failover::{ZoneFailoverSettings, ZoneId};
use std::time::Duration;

/// All durations are multiples of `TICK`, so that different orders of actions lead to equal states.
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
/// The time in the initial state.
pub(super) const START_TIME: Duration = Duration::from_secs(1_000);
/// Step by which the clock advances.
pub(super) const TICK: Duration = Duration::from_millis(500);

pub(super) const ZONE_COUNT: usize = 3;
pub(super) const SERVER_COUNT: usize = 8;
/// The zone of each server, by server id.
pub(super) const ZONE_OF_SERVER: [ZoneId; SERVER_COUNT] = [0, 0, 0, 1, 1, 1, 2, 2];

pub(super) fn servers_in_zone(zone: ZoneId) -> impl Iterator<Item = usize> {
    (0..SERVER_COUNT).filter(move |server| ZONE_OF_SERVER[*server] == zone)
}
