//! Timeouts and intervals of zone failover.

use std::time::Duration;

/// Timeouts and intervals of zone failover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFailoverSettings {
    /// How long a zone stays suspected until its servers are probed again, or the suspicion is dropped.
    pub suspicion_timeout: Duration,
    /// Interval between probes of a closed zone.
    pub probe_interval: Duration,
    /// How long a zone that is lost again soon after its recovery stays closed at least; doubles with each further loss.
    pub hold_down: Duration,
    /// Upper bound of the hold-down.
    pub max_hold_down: Duration,
    /// Time over which a recovering zone gets its share of traffic back.
    pub recovery_ramp: Duration,
    /// How late discovery may be: a zone lost for longer whose servers are still listed as ready is partitioned.
    pub discovery_delay: Duration,
    /// How long a request that fails may have been in flight. Failures within this time after the proxy was disconnected
    /// itself are not evidence.
    pub in_flight_timeout: Duration,
    /// Whether servers may be probed. If not, a closed zone gets a small share of traffic instead when a probe is due.
    pub probing_allowed: bool,
}

impl Default for ZoneFailoverSettings {
    fn default() -> Self {
        ZoneFailoverSettings {
            suspicion_timeout: Duration::from_secs(3),
            probe_interval: Duration::from_millis(1500),
            hold_down: Duration::from_secs(2),
            max_hold_down: Duration::from_secs(60),
            recovery_ramp: Duration::from_secs(3),
            discovery_delay: Duration::from_secs(6),
            in_flight_timeout: Duration::from_secs(1),
            probing_allowed: true,
        }
    }
}
