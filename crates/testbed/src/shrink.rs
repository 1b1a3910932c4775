//! Cuts the faults of a run down to the fewest with which a rule still breaks, and writes those as a scenario.

use crate::plan::PlannedFault;
use crate::scenario::{FaultKind, Scenario, ScenarioError, ScenarioFault};
use std::time::Duration;
use thiserror::Error;
use toml::{Table, Value};

/// Why a scenario could not be written with other faults.
#[derive(Debug, Error)]
pub enum ShrinkError {
    /// The text that the faults go into is not TOML.
    #[error(transparent)]
    Parse(#[from] toml::de::Error),
    /// The scenario has no TOML form.
    #[error(transparent)]
    Write(#[from] toml::ser::Error),
    /// What was written is not a scenario that can be read again.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
}

/// The faults of a plan, each with whom it strikes, so that it strikes the same without the others.
pub fn scenario_faults(faults: &[PlannedFault]) -> Vec<ScenarioFault> {
    faults.iter().map(scenario_fault).collect()
}

fn scenario_fault(fault: &PlannedFault) -> ScenarioFault {
    let numbers = |of: &[u16]| of.iter().map(|number| u32::from(*number)).collect();
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

/// Takes out halves, then quarters, then single items, for as long as what is left still fails.
///
/// `fails` is called `attempts` times at most. Two runs are never the same, so what fails only now and then may keep
/// more than it needs.
pub fn minimize<T: Clone>(
    all: &[T],
    mut attempts: u32,
    mut fails: impl FnMut(&[T]) -> bool,
) -> Vec<T> {
    let mut left = all.to_vec();
    let mut step = left.len().div_ceil(2).max(1);
    loop {
        let length_before = left.len();
        let mut start = 0;
        while start < left.len() && attempts > 0 {
            let end = (start + step).min(left.len());
            let without = [&left[..start], &left[end..]].concat();
            attempts -= 1;
            if fails(&without) {
                left = without;
            } else {
                start = end;
            }
        }
        let nothing_more = step == 1 && left.len() == length_before;
        if attempts == 0 || nothing_more {
            return left;
        }
        step = (step / 2).max(1);
    }
}

/// A scenario's text with these faults in place of its own.
pub fn with_faults(text: &str, faults: &[ScenarioFault]) -> Result<String, ShrinkError> {
    let mut table: Table = text.parse()?;
    let tables: Result<Vec<Value>, ShrinkError> = faults.iter().map(fault_table).collect();
    table.insert("faults".into(), Value::Array(tables?));
    let text = toml::to_string(&table)?;
    // What is written must be read as it was meant.
    Scenario::read(&text)?;
    Ok(text)
}

fn fault_table(fault: &ScenarioFault) -> Result<Value, ShrinkError> {
    let mut table = Table::new();
    table.insert("at".into(), milliseconds(fault.at));
    if let Some(lasts) = fault.duration {
        table.insert("for".into(), milliseconds(lasts));
    }
    table.insert("kind".into(), Value::try_from(fault.kind)?);
    // Faults that strike nobody by number take no list of them.
    if let Some(on) = fault.targets.as_deref().filter(|on| !on.is_empty()) {
        table.insert("on".into(), integers(on));
    }
    table.insert("much".into(), Value::from(fault.magnitude));
    table.insert("span".into(), milliseconds(fault.span));
    if fault.kind.targets_links() {
        table.insert("way".into(), Value::try_from(fault.link_kind)?);
    }
    if let Some(to) = fault.to_hosts.as_deref() {
        table.insert("to".into(), integers(to));
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
