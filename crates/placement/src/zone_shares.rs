//! Shares of zones that get fewer sessions than selection would send them, as set by zone failover.

/// The zones with a share below 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneShares {
    reduced: Vec<ZoneShare>,
}

#[derive(Clone, Copy, Debug)]
struct ZoneShare {
    zone: u8,
    share: f64,
}

impl ZoneShares {
    /// Sets a zone's share, from 0 for a lost zone to 1 for an unrestricted one.
    pub(crate) fn set(&mut self, zone: u8, share: f64) {
        self.reduced.retain(|reduced| reduced.zone != zone);
        if share < 1.0 {
            self.reduced.push(ZoneShare { zone, share });
        }
    }

    /// Whether a session may use the zone. `draw` is the session's random number in [0, 1).
    pub(crate) fn admits(&self, zone: u8, draw: f64) -> bool {
        self.reduced
            .iter()
            .all(|reduced| reduced.zone != zone || draw < reduced.share)
    }
}
