//! The properties of zone failover that may not hold.

use asterramp_zone_failover::ZoneId;
use thiserror::Error;

/// A property of zone failover that does not hold.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ZoneViolation {
    /// One action leads to so many probes that they might never end.
    #[error("{probes} looks in one step")]
    TooManyProbes {
        /// Probes so far.
        probes: usize,
    },
    /// A zone is closed on too little evidence.
    #[error("place {zone} is given up at {failure_signs} signs")]
    ClosedTooEarly {
        /// The zone.
        zone: ZoneId,
        /// Servers of it that failed since its last response.
        failure_signs: u8,
    },
    /// A zone is closed by a proxy that may be disconnected itself.
    #[error("place {zone} is given up though nobody answers anywhere")]
    ClosedWhileDisconnected {
        /// The zone.
        zone: ZoneId,
    },
    /// A zone that was lost twice in a row is opened before its hold-down is over.
    #[error("place {zone} fell again and is opened at once")]
    OpenedDuringHoldDown {
        /// The zone.
        zone: ZoneId,
    },
    /// A recovering zone gets its share back too fast.
    #[error("place {zone} goes from {before:.2} to {after:.2}")]
    ShareRampTooSteep {
        /// The zone.
        zone: ZoneId,
        /// Its share until now.
        before: f64,
        /// Its share from now on.
        after: f64,
    },
    /// No listed zone is open.
    #[error("all places are shut")]
    AllZonesClosed,
    /// A zone is healthy, but does not get its whole share.
    #[error("place {zone} is whole and open for {share:.2}")]
    HealthyWithoutShare {
        /// The zone.
        zone: ZoneId,
        /// Its share.
        share: f64,
    },
    /// A zone whose servers do not respond stays open.
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
