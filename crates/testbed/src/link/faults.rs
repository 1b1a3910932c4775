//! The combined effect of injected faults on a link.

use crate::scenario::FaultKind;
use std::time::Duration;

/// A direction of a link, relative to the side that dials its relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// From the dialling side to the target.
    Forward,
    /// From the target to the dialling side.
    Backward,
}

/// The combined effect of a link's faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Bytes from the dialling side do not arrive.
    pub drops_forward: bool,
    /// Bytes to the dialling side do not arrive.
    pub drops_backward: bool,
    /// New connections are refused.
    pub refuses: bool,
    /// All connections are reset, open and new ones.
    pub resets: bool,
    /// The delay added to every transfer of bytes.
    pub delay: Duration,
    /// The most bytes per second in each direction; `None`: no limit.
    pub bytes_per_second: Option<f64>,
}

impl LinkFaults {
    /// The effect of one fault; `magnitude` is the rate of `link-slowed` in bytes per second, `span` the delay of
    /// `link-delayed`. Kinds that do not concern links have no effect.
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

    /// The effect of two sets of faults together: delays add up, and the lowest rate counts.
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

    /// Whether bytes are dropped in either direction, so that no connection can be established.
    pub(super) fn is_cut(&self) -> bool {
        self.drops_forward || self.drops_backward
    }

    /// How long the link takes to transfer so many bytes.
    pub(super) fn transfer_time(&self, bytes: usize) -> Duration {
        let seconds = self
            .bytes_per_second
            .map_or(0.0, |rate| bytes as f64 / rate);
        self.delay + Duration::from_secs_f64(seconds)
    }
}
