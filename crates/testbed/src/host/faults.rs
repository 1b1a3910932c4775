//! The injected faults that a host has now, and their combined effect on its behaviour.

use crate::plan::PlannedFault;
use crate::scenario::FaultKind;
use std::time::Duration;

/// Faults during which a host's process does not run.
const PROCESS_STOPPING_FAULTS: [FaultKind; 4] = [
    FaultKind::HostRestarts,
    FaultKind::HostGone,
    FaultKind::PlaceLost,
    FaultKind::PowerCut,
];

/// The combined effect of a host's faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HostFaults {
    /// The process is not running.
    pub(super) down: bool,
    /// The host accepts connections and sends nothing.
    pub(super) silent: bool,
    /// The machine is cut off: packets to it are dropped.
    pub(super) vanished: bool,
    /// The host answers each session request with `ERR`.
    pub(super) rejects_by_error: bool,
    /// The host reads session requests and never answers them.
    pub(super) ignores_sessions: bool,
    /// The host resets the connection of each session request.
    pub(super) resets_sessions: bool,
    /// The delay added to the time of setting a session up.
    pub(super) answer_delay: Duration,
    /// The host rejects session requests and moves its open sessions away.
    pub(super) draining: bool,
    /// Grows each time the process ends; connections of an earlier incarnation are reset.
    pub(super) incarnation: u32,
}

impl HostFaults {
    /// Whether the host sends nothing at all.
    pub(super) fn is_frozen(&self) -> bool {
        self.silent || self.vanished
    }
}

/// One fault that a host has now.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    /// The fault's index in the plan.
    index: usize,
    kind: FaultKind,
    span: Duration,
    magnitude: f64,
}

/// All faults that a host has now.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults(Vec<ActiveFault>);

impl ActiveFaults {
    pub(super) fn begin(&mut self, index: usize, planned: &PlannedFault) {
        self.0.push(ActiveFault {
            index,
            kind: planned.kind,
            span: planned.span,
            magnitude: planned.magnitude,
        });
    }

    pub(super) fn end(&mut self, index: usize) {
        self.0.retain(|fault| fault.index != index);
    }

    /// The combined effect of the faults; `before` is the effect before the last change, which carries the incarnation.
    pub(super) fn combined(&self, before: HostFaults) -> HostFaults {
        let down = PROCESS_STOPPING_FAULTS
            .into_iter()
            .any(|kind| self.has(kind));
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

    /// The share of its speed that the faults leave the host: that of the severest one.
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
