//! What faults make of a link.

use crate::scenario::FaultKind;
use std::time::Duration;

/// A direction of a link, as seen by whoever dials its relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// From the dialling side.
    Forward,
    /// To the dialling side.
    Backward,
}

/// What the faults of a link make of it now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Bytes from the dialling side are dropped.
    pub drops_forward: bool,
    /// Bytes to the dialling side are dropped.
    pub drops_backward: bool,
    /// New connections are refused.
    pub refuses: bool,
    /// Everything that is sent on it is answered by a reset.
    pub resets: bool,
    /// By how much later bytes arrive.
    pub delay: Duration,
    /// The most bytes a second.
    pub bytes_per_second: Option<f64>,
}

impl LinkFaults {
    /// What one fault makes of a link; `magnitude` is a rate in bytes a second, `span` a delay.
    pub fn of_kind(kind: FaultKind, magnitude: f64, span: Duration) -> LinkFaults {
        let mut faults = LinkFaults::default();
        match kind {
            FaultKind::LinkDropped | FaultKind::PlaceCut | FaultKind::PlaceFlaps => {
                (faults.drops_forward, faults.drops_backward) = (true, true);
            }
            FaultKind::LinkDroppedThere => faults.drops_forward = true,
            FaultKind::LinkDroppedBack => faults.drops_backward = true,
            FaultKind::LinkRefused => faults.refuses = true,
            FaultKind::LinkReset => faults.resets = true,
            FaultKind::LinkDelayed => faults.delay = span,
            FaultKind::LinkSlowed => faults.bytes_per_second = Some(magnitude),
            _ => {}
        }
        faults
    }

    /// What two faults make of a link together.
    pub(super) fn combined_with(self, other: LinkFaults) -> LinkFaults {
        let rates = [self.bytes_per_second, other.bytes_per_second];
        LinkFaults {
            drops_forward: self.drops_forward || other.drops_forward,
            drops_backward: self.drops_backward || other.drops_backward,
            refuses: self.refuses || other.refuses,
            resets: self.resets || other.resets,
            delay: self.delay + other.delay,
            bytes_per_second: rates.into_iter().flatten().reduce(f64::min),
        }
    }

    pub(super) fn drops(&self, direction: Direction) -> bool {
        match direction {
            Direction::Forward => self.drops_forward,
            Direction::Backward => self.drops_backward,
        }
    }

    /// Whether bytes are dropped in any direction, so that no connection comes up.
    pub(super) fn is_cut(&self) -> bool {
        self.drops_forward || self.drops_backward
    }

    /// How long so many bytes take.
    pub(super) fn transfer_time(&self, bytes: usize) -> Duration {
        let seconds = self
            .bytes_per_second
            .map_or(0.0, |rate| bytes as f64 / rate);
        self.delay + Duration::from_secs_f64(seconds)
    }
}
