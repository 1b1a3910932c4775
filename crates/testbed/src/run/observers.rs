//! Background tasks of a run that measure the testbed's own lateness and the load of hosts, and show the progress.

use crate::testbed::Testbed;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Duration of the sleep whose delay counts as the testbed's lateness.
const LATENESS_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two samples of the hosts' load.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Samples of the hosts' load: a row for each second, in it a value for each host, as a multiple of its capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadSamples(Arc<Mutex<Vec<Vec<f32>>>>);

impl LoadSamples {
    /// Removes and returns the rows so far.
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

/// Records by how much sleeps of this process overrun, as the testbed's lateness. Never returns.
pub(super) async fn measure_lateness(testbed: Arc<Testbed>) {
    loop {
        let due = testbed.context.now() + LATENESS_INTERVAL;
        sleep(LATENESS_INTERVAL).await;
        testbed.context.record_lateness(due);
    }
}

/// Samples the load of each host, as a multiple of its capacity. Never returns.
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

/// Writes lines of progress to standard error until the scenario's length has passed.
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
            let measurements = testbed.context.service_score.measurements();
            (measurements.given_up, measurements.unreachable)
        };
        let now = now.as_secs();
        eprintln!(
            "{now:>4} s  {open:>6} open  {given_up:>4} gave up  {unreachable:>4} times no proxy"
        );
    }
}
