//! Zones that get fewer sessions than they would, as another subsystem said.

/// Shares of the zones that don't get all their sessions.
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
    /// From 0, for a lost zone, to 1.
    pub(crate) fn set(&mut self, zone: u8, share: f64) {
        self.reduced.retain(|reduced| reduced.zone != zone);
        if share < 1.0 {
            self.reduced.push(ZoneShare { zone, share });
        }
    }

    /// Whether a session with this draw, in [0, 1), may use the zone.
    pub(crate) fn admits(&self, zone: u8, draw: f64) -> bool {
        self.reduced
            .iter()
            .all(|reduced| reduced.zone != zone || draw < reduced.share)
    }
}
