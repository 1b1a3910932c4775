//! Reduces the faults of a failing run to a small set with which a rule is still broken, and writes this set as a
//! scenario.

use crate::plan::PlannedFault;
use crate::scenario::{FaultKind, Scenario, ScenarioError, ScenarioFault};
use std::time::Duration;
use thiserror::Error;
use toml::{Table, Value};

/// An error while replacing the faults of a scenario's text.
#[derive(Debug, Error)]
pub enum ShrinkError {
    /// The scenario's text is not TOML.
    #[error(transparent)]
    Parse(#[from] toml::de::Error),
    /// The new scenario cannot be serialized to TOML.
    #[error(transparent)]
    Write(#[from] toml::ser::Error),
    /// The new text is not a valid scenario.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
}

/// Converts a plan's faults to faults of a scenario. Each names its drawn targets, so that it has the same targets when
/// other faults are removed.
pub fn scenario_faults(faults: &[PlannedFault]) -> Vec<ScenarioFault> {
    faults.iter().map(scenario_fault).collect()
}

fn scenario_fault(fault: &PlannedFault) -> ScenarioFault {
    let numbers = |targets: &[u16]| targets.iter().map(|number| u32::from(*number)).collect();
    ScenarioFault {
        at: fault.at,
        duration: fault.until.map(|until| until - fault.at),
        kind: fault.kind,
        targets: Some(numbers(&fault.targets)),
        count: 1,
        magnitude: fault.magnitude,
        span: fault.span,
        link_kind: fault.link_kind,
        to_hosts: fault.to_hosts.as_deref().map(numbers),
        half_open: fault.half_open,
        recovered_part: fault.recovered_part,
    }
}

/// Removes halves, then quarters, and finally single items of a list, as long as `fails` returns true for the rest.
///
/// `fails` is called at most `remaining_runs` times. Runs are not deterministic, so the result for an intermittent
/// failure may hold more items than necessary.
pub fn minimize<T: Clone>(
    all: &[T],
    mut remaining_runs: u32,
    mut fails: impl FnMut(&[T]) -> bool,
) -> Vec<T> {
    let mut remaining = all.to_vec();
    let mut step = remaining.len().div_ceil(2).max(1);
    loop {
        let length_before = remaining.len();
        let mut start = 0;
        while start < remaining.len() && remaining_runs > 0 {
            let end = (start + step).min(remaining.len());
            let without = [&remaining[..start], &remaining[end..]].concat();
            remaining_runs -= 1;
            if fails(&without) {
                remaining = without;
            } else {
                start = end;
            }
        }
        let is_minimal = step == 1 && remaining.len() == length_before;
        if remaining_runs == 0 || is_minimal {
            return remaining;
        }
        step = (step / 2).max(1);
    }
}

/// Replaces the faults in a scenario's TOML text.
pub fn with_faults(text: &str, faults: &[ScenarioFault]) -> Result<String, ShrinkError> {
    let mut table: Table = text.parse()?;
    let tables: Result<Vec<Value>, ShrinkError> = faults.iter().map(fault_table).collect();
    table.insert("faults".into(), Value::Array(tables?));
    let text = toml::to_string(&table)?;
    // The new text must parse as a scenario before it is given out.
    Scenario::read(&text)?;
    Ok(text)
}

fn fault_table(fault: &ScenarioFault) -> Result<Value, ShrinkError> {
    let mut table = Table::new();
    table.insert("at".into(), milliseconds(fault.at));
    if let Some(duration) = fault.duration {
        table.insert("for".into(), milliseconds(duration));
    }
    table.insert("kind".into(), Value::try_from(fault.kind)?);
    // A fault kind without numbered targets does not accept a target list.
    if let Some(targets) = fault
        .targets
        .as_deref()
        .filter(|targets| !targets.is_empty())
    {
        table.insert("on".into(), integers(targets));
    }
    table.insert("much".into(), Value::from(fault.magnitude));
    table.insert("span".into(), milliseconds(fault.span));
    if fault.kind.targets_links() {
        table.insert("way".into(), Value::try_from(fault.link_kind)?);
    }
    if let Some(hosts) = fault.to_hosts.as_deref() {
        table.insert("to".into(), integers(hosts));
    }
    if fault.half_open {
        table.insert("half_open".into(), Value::from(true));
    }
    if fault.kind == FaultKind::PlaceLost {
        table.insert("back".into(), Value::try_from(fault.recovered_part)?);
    }
    Ok(Value::Table(table))
}

fn milliseconds(span: Duration) -> Value {
    Value::from(format!("{}ms", span.as_millis()))
}

fn integers(numbers: &[u32]) -> Value {
    let integers: Vec<i64> = numbers.iter().map(|number| i64::from(*number)).collect();
    Value::from(integers)
}
