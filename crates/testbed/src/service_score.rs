//! Measures how well the clients of a run were served: the time that they wanted to be connected, the part of it in
//! which their messages were answered in time, and the latencies of set-ups and messages.

use hdrhistogram::Histogram;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Upper bound of the latency histograms, in microseconds; longer times are recorded as this one.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Decimal digits to which the histograms keep a value apart from its neighbours.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The measurements of a run's clients, shared by all of them.
#[derive(Debug)]
pub struct ServiceScore {
    measurements: Mutex<ServiceMeasurements>,
    /// Number of tenants.
    tenants: usize,
}

/// Time of the clients of one listener and tenant within one second of the plan, summed over the clients, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTime {
    /// Time in which they wanted to be connected.
    pub wanted: f64,
    /// Time within `wanted` in which they were well served.
    pub served: f64,
}

/// The sums and histograms of a [`ServiceScore`].
#[derive(Debug)]
pub struct ServiceMeasurements {
    /// A row for each second of the plan, up to the last one with any time. A row has one cell for each pair of
    /// listener and tenant, ordered by listener and then by tenant.
    pub seconds: Vec<Vec<ServiceTime>>,
    /// Number of cells in a row.
    cells: usize,
    /// Set-up times of each listener, by its index: from when a client wanted to be connected to `UP`, in microseconds.
    /// Earlier failed attempts count in.
    pub set_ups: Vec<Histogram<u64>>,
    /// Answer times: from writing the `OPEN` line to reading `UP` in the same attempt, in microseconds.
    pub answers: Histogram<u64>,
    /// Message times: from a message over an open connection to its `ACK`, in microseconds.
    pub messages: Histogram<u64>,
    /// Attempts that found no proxy or could not connect to it.
    pub unreachable: u64,
    /// Clients that gave up after the scenario's maximum of retries.
    pub given_up: u64,
}

fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    histogram.unwrap_or_else(|_| unreachable!("the bounds are in order"))
}

impl ServiceScore {
    /// An empty score for these numbers of listeners and tenants.
    pub(crate) fn new(listeners: usize, tenants: usize) -> ServiceScore {
        let measurements = ServiceMeasurements {
            seconds: Vec::new(),
            cells: listeners * tenants,
            set_ups: (0..listeners).map(|_| histogram()).collect(),
            answers: histogram(),
            messages: histogram(),
            unreachable: 0,
            given_up: 0,
        };
        ServiceScore {
            measurements: Mutex::new(measurements),
            tenants,
        }
    }

    /// Locks the measurements so far.
    pub fn measurements(&self) -> MutexGuard<'_, ServiceMeasurements> {
        self.measurements
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds the time from `from` to `to`, on the plan's clock, as time in which a client wanted to be connected.
    pub(crate) fn add_wanted(&self, listener: u8, tenant: u16, from: Duration, to: Duration) {
        self.add_by_second(listener, tenant, from, to, |time, seconds| {
            time.wanted += seconds
        });
    }

    /// Adds the time from `from` to `to`, on the plan's clock, as time in which a client was well served.
    pub(crate) fn add_served(&self, listener: u8, tenant: u16, from: Duration, to: Duration) {
        self.add_by_second(listener, tenant, from, to, |time, seconds| {
            time.served += seconds
        });
    }

    /// Splits a time span at whole seconds, and calls `add` with the cell of each second and the part of the span in
    /// it.
    fn add_by_second(
        &self,
        listener: u8,
        tenant: u16,
        from: Duration,
        to: Duration,
        add: impl Fn(&mut ServiceTime, f64),
    ) {
        let (from, to) = (from.as_secs_f64(), to.as_secs_f64());
        let cell = usize::from(listener) * self.tenants + usize::from(tenant);
        let mut measurements = self.measurements();
        let cells = measurements.cells;
        let mut at = from;
        while at < to {
            let second = at as usize;
            let until = to.min((second + 1) as f64);
            if measurements.seconds.len() <= second {
                measurements
                    .seconds
                    .resize(second + 1, vec![ServiceTime::default(); cells]);
            }
            add(&mut measurements.seconds[second][cell], until - at);
            at = until;
        }
    }
}
