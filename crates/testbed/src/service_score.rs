//! How well clients were served: the time that they wanted to be connected, the part of it that was served well, and how
//! long connections and messages took.

use hdrhistogram::Histogram;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// The longest time that the histograms tell apart, in microseconds.
const LONGEST_RECORDED_US: u64 = 600_000_000;
/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// The service of a run's clients, which all of them add to.
#[derive(Debug)]
pub struct ServiceScore {
    marks: Mutex<ServiceMeasurements>,
    members: usize,
}

/// Time of clients within one second of the plan, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTime {
    /// For how long they wanted to be connected.
    pub wanted: f64,
    /// For how long they were served well.
    pub served: f64,
}

/// The sums behind a [`ServiceScore`].
#[derive(Debug)]
pub struct ServiceMeasurements {
    /// By second; then by listener, and within that by tenant.
    pub seconds: Vec<Vec<ServiceTime>>,
    cells: usize,
    /// By listener, in microseconds from when a client wanted to be connected.
    pub set_ups: Vec<Histogram<u64>>,
    /// From the line's last byte to the answer `UP`, as a client sees it, in microseconds.
    pub answers: Histogram<u64>,
    /// From a client's line to its answer, over an open connection, in microseconds.
    pub messages: Histogram<u64>,
    /// How often a client found no proxy to connect to.
    pub unreachable: u64,
    /// Clients that gave up after too many retries.
    pub given_up: u64,
}

fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, LONGEST_RECORDED_US, HISTOGRAM_DIGITS);
    made.unwrap_or_else(|_| unreachable!("the bounds are in order"))
}

impl ServiceScore {
    /// A score of so many listeners and tenants, without any service yet.
    pub(crate) fn new(listeners: usize, members: usize) -> ServiceScore {
        let marks = ServiceMeasurements {
            seconds: Vec::new(),
            cells: listeners * members,
            set_ups: (0..listeners).map(|_| histogram()).collect(),
            answers: histogram(),
            messages: histogram(),
            unreachable: 0,
            given_up: 0,
        };
        ServiceScore {
            marks: Mutex::new(marks),
            members,
        }
    }

    /// The sums so far.
    pub fn measurements(&self) -> MutexGuard<'_, ServiceMeasurements> {
        self.marks
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// A client of a tenant wanted to be connected to a listener from one time of the plan to another.
    pub(crate) fn add_wanted(&self, listener: u8, member: u16, from: Duration, to: Duration) {
        self.spread(listener, member, from, to, |time, part| time.wanted += part);
    }

    /// A client of a tenant was served well from one time of the plan to another.
    pub(crate) fn add_served(&self, listener: u8, member: u16, from: Duration, to: Duration) {
        self.spread(listener, member, from, to, |time, part| time.served += part);
    }

    /// Adds to each second the part of a time span that lies in it.
    fn spread(
        &self,
        listener: u8,
        member: u16,
        from: Duration,
        to: Duration,
        add: impl Fn(&mut ServiceTime, f64),
    ) {
        let (from, to) = (from.as_secs_f64(), to.as_secs_f64());
        let cell = usize::from(listener) * self.members + usize::from(member);
        let mut marks = self.measurements();
        let cells = marks.cells;
        let mut at = from;
        while at < to {
            let second = at as usize;
            let until = to.min((second + 1) as f64);
            if marks.seconds.len() <= second {
                marks
                    .seconds
                    .resize(second + 1, vec![ServiceTime::default(); cells]);
            }
            add(&mut marks.seconds[second][cell], until - at);
            at = until;
        }
    }
}
