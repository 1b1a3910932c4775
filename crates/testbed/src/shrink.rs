//! Cuts what strikes a run down to the fewest faults with which a rule still breaks, and writes that as a scenario.

use crate::plan::PlannedFault;
use crate::scenario::{Scenario, ScenarioFault};
use std::time::Duration;
use toml::{Table, Value};

/// The faults as they were drawn, each with whom it strikes, so that they strike the same alone.
pub fn drawn(faults: &[PlannedFault]) -> Vec<ScenarioFault> {
    let fault = |struck: &PlannedFault| ScenarioFault {
        at: struck.at,
        lasts: struck.until.map(|until| until - struck.at),
        kind: struck.kind,
        on: Some(struck.on.iter().map(|n| u32::from(*n)).collect()),
        count: 1,
        much: struck.much,
        span: struck.span,
        way: struck.way,
        to: struck
            .to
            .as_ref()
            .map(|to| to.iter().map(|n| u32::from(*n)).collect()),
        half_open: struck.half_open,
        back: struck.back,
    };
    faults.iter().map(fault).collect()
}

/// Takes out halves, then quarters, then single ones, for as long as what is left still fails. A run is not the same
/// twice, so what fails now and then only may keep more than it needs. `fails` is called `tries` times at most.
pub fn fewest<T: Clone>(all: &[T], mut tries: u32, mut fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let mut left = all.to_vec();
    let mut step = left.len().div_ceil(2).max(1);
    loop {
        let (mut at, before) = (0, left.len());
        while at < left.len() && tries > 0 {
            let end = (at + step).min(left.len());
            let without: Vec<T> = left[..at].iter().chain(&left[end..]).cloned().collect();
            tries -= 1;
            if fails(&without) {
                left = without
            } else {
                at = end
            }
        }
        if tries == 0 || step == 1 && left.len() == before {
            return left;
        }
        step = (step / 2).max(1);
    }
}

/// A scenario's text with these faults in place of its own.
pub fn written(text: &str, faults: &[ScenarioFault]) -> Result<String, String> {
    let mut table: Table = text.parse().map_err(|e: toml::de::Error| e.to_string())?;
    let ms = |span: Duration| Value::from(format!("{}ms", span.as_millis()));
    let numbers = |of: &[u32]| Value::from(of.iter().map(|n| i64::from(*n)).collect::<Vec<_>>());
    let named = |value: Result<Value, toml::ser::Error>| value.map_err(|e| e.to_string());
    let mut list = Vec::new();
    for fault in faults {
        let mut entry = Table::new();
        entry.insert("at".into(), ms(fault.at));
        entry.extend(fault.lasts.map(|lasts| ("for".into(), ms(lasts))));
        entry.insert("kind".into(), named(Value::try_from(fault.kind))?);
        // Faults that strike nobody by number take no list of them.
        let on = fault.on.as_deref().filter(|on| !on.is_empty());
        entry.extend(on.map(|on| ("on".into(), numbers(on))));
        entry.insert("much".into(), Value::from(fault.much));
        entry.insert("span".into(), ms(fault.span));
        if fault.kind.strikes_links() {
            entry.insert("way".into(), named(Value::try_from(fault.way))?);
        }
        entry.extend(fault.to.as_deref().map(|to| ("to".into(), numbers(to))));
        entry.extend(
            fault
                .half_open
                .then(|| ("half_open".into(), Value::from(true))),
        );
        if fault.kind == crate::scenario::FaultKind::PlaceLost {
            entry.insert("back".into(), named(Value::try_from(fault.back))?);
        }
        list.push(Value::Table(entry));
    }
    table.insert("faults".into(), Value::Array(list));
    let text = toml::to_string(&table).map_err(|e| e.to_string())?;
    // What is written must be read as it was meant.
    Scenario::read(&text).map(|_| text)
}
