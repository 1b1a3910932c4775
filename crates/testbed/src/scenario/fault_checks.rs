//! The checks of a scenario's faults: their targets, their magnitudes, and which keys each kind may have.

use super::definition::Scenario;
use super::error::ScenarioError;
use super::faults::{FaultKind, LinkKind, RecoveredPart, ScenarioFault};
use super::value_checks::check_range;
use std::ops::RangeInclusive;

/// Checks one fault and returns the first error.
pub(super) fn check_fault(
    scenario: &Scenario,
    index: usize,
    fault: &ScenarioFault,
) -> Result<(), ScenarioError> {
    check_range(
        format!("faults.{index}.on or .count"),
        f64::from(required_targets(fault)),
        1.0..=f64::from(available_targets(scenario, fault.kind)),
    )?;
    let key = format!("faults.{index}.much");
    check_range(key, fault.magnitude, allowed_magnitude(fault.kind))?;
    if let Some(key) = misplaced_key(scenario, fault) {
        return Err(ScenarioError::MisplacedFaultKey {
            index,
            key,
            kind: fault.kind,
        });
    }
    let hosts = scenario.hosts();
    match fault.to_hosts.iter().flatten().max() {
        Some(&host) if host >= hosts => Err(ScenarioError::UnknownLinkTarget {
            index,
            host,
            last: hosts - 1,
        }),
        _ => Ok(()),
    }
}

/// How many possible targets must exist for the fault: enough for its greatest target number, or for its `count`.
fn required_targets(fault: &ScenarioFault) -> u32 {
    let greatest_number = fault.targets.iter().flatten().copied().max();
    greatest_number.map_or(fault.count, |number| number + 1)
}

/// How many targets a fault of this kind can have; unlimited for kinds that have none.
fn available_targets(scenario: &Scenario, kind: FaultKind) -> u32 {
    if kind.targets_hosts() {
        scenario.hosts()
    } else if kind.targets_proxies() || kind.targets_links() {
        scenario.proxies.count
    } else if kind.targets_zones() {
        scenario.zones.len() as u32
    } else {
        u32::MAX
    }
}

fn allowed_magnitude(kind: FaultKind) -> RangeInclusive<f64> {
    match kind {
        FaultKind::ClientsBad => 1.0..=500.0,
        FaultKind::LinkSlowed => 1.0..=1e6,
        FaultKind::ClientsReconnect | FaultKind::ClientsDeaf => 0.0..=1.0,
        _ => 0.001..=1.0,
    }
}

/// The first key of a fault that has no meaning for its kind.
fn misplaced_key(scenario: &Scenario, fault: &ScenarioFault) -> Option<&'static str> {
    let kind = fault.kind;
    let targets_links = kind.targets_links();
    if fault.to_hosts.is_some() && !(targets_links && fault.link_kind == LinkKind::ProxyHost) {
        Some("to")
    } else if fault.link_kind != LinkKind::default() && !targets_links {
        Some("way")
    } else if fault.half_open && !(targets_links || kind.targets_zones()) {
        Some("half_open")
    } else if kind == FaultKind::DiskSpoilt && !scenario.proxies.saves_snapshots {
        Some("on")
    } else if fault.recovered_part != RecoveredPart::All && kind != FaultKind::PlaceLost {
        Some("back")
    } else {
        None
    }
}
