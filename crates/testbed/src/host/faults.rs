//! The faults that a host has at once, and what they make of it together.

use crate::plan::PlannedFault;
use crate::scenario::FaultKind;
use std::time::Duration;

/// Faults that end a host's process for as long as they last.
const PROCESS_ENDS: [FaultKind; 4] = [
    FaultKind::HostRestarts,
    FaultKind::HostGone,
    FaultKind::PlaceLost,
    FaultKind::PowerCut,
];

/// What the faults of a host make of it now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HostFaults {
    /// Its process is not running.
    pub(super) down: bool,
    /// It accepts connections and answers nothing.
    pub(super) silent: bool,
    /// Its machine is cut off: packets to it are dropped.
    pub(super) vanished: bool,
    /// It answers every session by `ERR`.
    pub(super) rejects_by_error: bool,
    /// It reads sessions and never answers them.
    pub(super) ignores_sessions: bool,
    /// It answers every session by a reset.
    pub(super) resets_sessions: bool,
    /// By how much later than it could it answers a session.
    pub(super) answer_delay: Duration,
    /// It takes no session and moves the ones it has.
    pub(super) draining: bool,
    /// Which of its processes runs: connections of an earlier one are gone.
    pub(super) incarnation: u32,
}

impl HostFaults {
    /// Whether it says nothing at all.
    pub(super) fn is_frozen(&self) -> bool {
        self.silent || self.vanished
    }
}

/// One fault that a host has now.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    /// Its index in the plan.
    number: usize,
    kind: FaultKind,
    span: Duration,
    magnitude: f64,
}

/// All faults that a host has now.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults(Vec<ActiveFault>);

impl ActiveFaults {
    pub(super) fn begin(&mut self, number: usize, planned: &PlannedFault) {
        self.0.push(ActiveFault {
            number,
            kind: planned.kind,
            span: planned.span,
            magnitude: planned.magnitude,
        });
    }

    pub(super) fn end(&mut self, number: usize) {
        self.0.retain(|fault| fault.number != number);
    }

    /// What they make of a host together, given what it was before.
    pub(super) fn combined(&self, before: HostFaults) -> HostFaults {
        let down = PROCESS_ENDS.into_iter().any(|kind| self.has(kind));
        let delays = self.of_kind(FaultKind::HostLate).map(|fault| fault.span);
        HostFaults {
            down,
            silent: self.has(FaultKind::HostSilent),
            vanished: self.has(FaultKind::HostVanished) || self.has(FaultKind::PlaceSilent),
            rejects_by_error: self.has(FaultKind::HostErring),
            ignores_sessions: self.has(FaultKind::HostMute),
            resets_sessions: self.has(FaultKind::HostResets),
            answer_delay: delays.max().unwrap_or_default(),
            draining: self.has(FaultKind::HostDraining),
            incarnation: before.incarnation + u32::from(down && !before.down),
        }
    }

    /// The share of its speed that they leave a host.
    pub(super) fn speed_factor(&self) -> f64 {
        self.of_kind(FaultKind::HostSlow)
            .map(|fault| fault.magnitude)
            .fold(1.0, f64::min)
    }

    fn has(&self, kind: FaultKind) -> bool {
        self.of_kind(kind).next().is_some()
    }

    fn of_kind(&self, kind: FaultKind) -> impl Iterator<Item = &ActiveFault> {
        self.0.iter().filter(move |fault| fault.kind == kind)
    }
}
