//! What a process uses of CPU, memory and descriptors, as the system counts it.

use serde::Serialize;
use std::sync::{Arc, Mutex};

/// What a proxy has used up to a second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ResourceUsage {
    /// Since the run began.
    pub second: u64,
    /// Seconds of a core, since the process started.
    pub cpu: f64,
    /// Memory that it holds.
    pub resident_kb: u64,
    /// Descriptors that it has open.
    pub descriptors: u64,
}

/// What a proxy has used, second by second.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageLog(Arc<Mutex<Vec<ResourceUsage>>>);

impl UsageLog {
    pub(super) fn push(&self, usage: ResourceUsage) {
        let mut entries = self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        entries.push(usage);
    }

    /// The entries so far.
    pub(crate) fn take(&self) -> Vec<ResourceUsage> {
        let mut entries = self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        std::mem::take(&mut *entries)
    }
}

/// What a process has used since it started; nothing where it has ended.
pub(super) fn usage_of(process: u32, second: u64) -> Option<ResourceUsage> {
    Some(ResourceUsage {
        second,
        cpu: cpu_seconds(process)?,
        resident_kb: resident_kb(process)?,
        descriptors: descriptors(process)?,
    })
}

fn cpu_seconds(process: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The fields behind the program's name, which may have spaces in it.
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let user_ticks: u64 = fields.get(11)?.parse().ok()?;
    let system_ticks: u64 = fields.get(12)?.parse().ok()?;
    let ticks_per_second = rustix::param::clock_ticks_per_second() as f64;
    Some((user_ticks + system_ticks) as f64 / ticks_per_second)
}

fn resident_kb(process: u32) -> Option<u64> {
    let memory = std::fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
    let pages: u64 = memory.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64 / 1024)
}

fn descriptors(process: u32) -> Option<u64> {
    let entries = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?;
    Some(entries.count() as u64)
}
