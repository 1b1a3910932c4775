//! Violations of the properties of zone failover.

use asterramp_zone_failover::ZoneId;
use thiserror::Error;

/// A violated property of zone failover.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ZoneViolation {
    /// One action causes so many probes that they are taken for an endless loop.
    #[error("{probes} looks in one step")]
    TooManyProbes {
        /// Probes that the action had caused when it was stopped.
        probes: usize,
    },
    /// A zone is closed though too few of its servers have failed.
    #[error("place {zone} is given up at {failed_servers} signs")]
    ClosedTooEarly {
        /// The zone.
        zone: ZoneId,
        /// Servers of the zone that failed since its last response.
        failed_servers: u8,
    },
    /// A zone is closed though no other zone has responded since its first failure, so the proxy itself may be
    /// disconnected.
    #[error("place {zone} is given up though nobody answers anywhere")]
    ClosedWhileDisconnected {
        /// The zone.
        zone: ZoneId,
    },
    /// A zone that was closed twice in a row is reopened before its hold-down is over.
    #[error("place {zone} fell again and is opened at once")]
    OpenedDuringHoldDown {
        /// The zone.
        zone: ZoneId,
    },
    /// A recovering zone's share rises too far in one change.
    #[error("place {zone} goes from {before:.2} to {after:.2}")]
    ShareRampTooSteep {
        /// The zone.
        zone: ZoneId,
        /// Its share before the change.
        before: f64,
        /// Its share after the change.
        after: f64,
    },
    /// All listed zones are closed.
    #[error("all places are shut")]
    AllZonesClosed,
    /// A zone is healthy, but gets less than its regular traffic.
    #[error("place {zone} is whole and open for {share:.2}")]
    HealthyWithoutShare {
        /// The zone.
        zone: ZoneId,
        /// The fraction of its regular traffic that the zone gets.
        share: f64,
    },
    /// A zone whose servers have stopped responding stays open.
    #[error("place {zone} stays {state} though nobody there answers")]
    LossUndetected {
        /// The zone.
        zone: ZoneId,
        /// The state in which it stays.
        state: &'static str,
    },
    /// A zone whose servers all respond stays closed, suspected or recovering.
    #[error("place {zone} stays {state} though all answer")]
    NeverHealthy {
        /// The zone.
        zone: ZoneId,
        /// The state in which it stays.
        state: &'static str,
    },
}
