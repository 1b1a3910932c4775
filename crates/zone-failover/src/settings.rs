//! Settings of zone failover.

use std::time::Duration;

/// Timeouts, intervals and permissions of zone failover, from the operator's file and the deployment's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFailoverSettings {
    /// How long a zone stays suspected until its servers are probed again, or the suspicion is dropped for lack of
    /// evidence.
    pub suspicion_timeout: Duration,
    /// Interval between probes of a closed zone.
    pub probe_interval: Duration,
    /// Shortest time for which a zone that is lost again soon after its recovery stays closed; doubles with each further
    /// loss.
    pub hold_down: Duration,
    /// Upper bound of the hold-down after doubling.
    pub max_hold_down: Duration,
    /// Time over which a recovering zone gets its full share of traffic back.
    pub recovery_ramp: Duration,
    /// How long discovery may take to remove failed servers: a zone that failed longer ago, and whose servers are still
    /// listed as ready, is partitioned.
    pub discovery_delay: Duration,
    /// Longest time that a request may be in flight before it fails. Failures within this time after the proxy itself was
    /// disconnected are no evidence against a zone.
    pub in_flight_timeout: Duration,
    /// Whether servers may be probed. If not, a closed zone gets the first share of the recovery ramp when a probe is due.
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
