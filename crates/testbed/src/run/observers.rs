//! What is measured beside a run: the testbed's own lateness, and the load of hosts.

use crate::testbed::Testbed;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// How often the testbed's lateness is measured.
const LATENESS_INTERVAL: Duration = Duration::from_millis(5);
/// How often the load of hosts is measured.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// How often a line of progress is shown.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// What each host was asked for, a row each second.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadSamples(Arc<Mutex<Vec<Vec<f32>>>>);

impl LoadSamples {
    /// The rows so far.
    pub(super) fn take(&self) -> Vec<Vec<f32>> {
        let mut rows = self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        std::mem::take(&mut *rows)
    }

    fn push(&self, row: Vec<f32>) {
        let mut rows = self
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        rows.push(row);
    }
}

/// Measures how late this process comes to what it set itself for, at worst.
pub(super) async fn measure_lateness(testbed: Arc<Testbed>) {
    loop {
        let due = testbed.context.now() + LATENESS_INTERVAL;
        sleep(LATENESS_INTERVAL).await;
        testbed.context.record_lateness(due);
    }
}

/// Measures what each host is asked for, as a multiple of what it can do.
pub(super) async fn sample_loads(testbed: Arc<Testbed>, samples: LoadSamples) {
    loop {
        let now = testbed.context.event_log.now();
        let loads = testbed
            .hosts
            .iter()
            .map(|host| host.model().utilization(now) as f32);
        samples.push(loads.collect());
        sleep(LOAD_INTERVAL).await;
    }
}

/// Shows how the run gets on, on standard error.
pub(super) async fn show_progress(testbed: Arc<Testbed>) {
    loop {
        sleep(PROGRESS_INTERVAL).await;
        let now = testbed.context.now();
        if now > testbed.context.scenario.length {
            return;
        }
        let open: u32 = testbed
            .hosts
            .iter()
            .map(|host| host.model().open_sessions())
            .sum();
        let (given_up, unreachable) = {
            let marks = testbed.context.service_score.measurements();
            (marks.given_up, marks.unreachable)
        };
        let now = now.as_secs();
        eprintln!(
            "{now:>4} s  {open:>6} open  {given_up:>4} gave up  {unreachable:>4} times no proxy"
        );
    }
}
