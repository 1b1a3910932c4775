//! A process's use of CPU, memory and descriptors, read from `/proc`.

use serde::Serialize;
use std::sync::{Arc, Mutex};

/// A sample of a process's resource usage.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ResourceUsage {
    /// When it was taken, in seconds since the plan's start.
    pub second: u64,
    /// CPU time since the process started, in seconds of one core.
    pub cpu: f64,
    /// Resident memory in KiB.
    pub resident_kb: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

/// The samples of a proxy's resource usage, about one a second, shared between its task and the run.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageLog(Arc<Mutex<Vec<ResourceUsage>>>);

impl UsageLog {
    pub(super) fn push(&self, usage: ResourceUsage) {
        let mut samples = self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        samples.push(usage);
    }

    /// Removes and returns the samples so far.
    pub(crate) fn take(&self) -> Vec<ResourceUsage> {
        let mut samples = self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        std::mem::take(&mut *samples)
    }
}

/// Takes a sample of a process's resource usage; `None` if it has ended. `second` is the time since the plan's start.
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
    // Skips the program's name, which may contain spaces; after it, fields 11 and 12 are user and system time in ticks.
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
