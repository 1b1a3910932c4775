//! Which process of a proxy reports its metrics, and the range of counts that this process may report. During a hot
//! restart a proxy has two processes, each with counters of its own.

use super::session_lifetime::SessionLifetime;
use crate::event_log::Event;
use crate::judge::intervals::Interval;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest age of reported metrics when they are answered.
pub(super) const MAX_METRICS_AGE: Duration = Duration::from_millis(500);

/// Absolute error allowed for any metric, in sessions; it matters where the relative error of a small count is less.
const MAX_ABSOLUTE_ERROR: f64 = 3.0;

/// The process that reports a proxy's metrics.
#[derive(Debug, Default)]
pub(super) struct ServingProcess {
    /// When it became the only process of its proxy.
    alone_since: Duration,
    /// When it may first have served, beside its predecessor.
    serving_since: Duration,
    /// When a successor was started beside it; `None` while there is no successor.
    successor_since: Option<Duration>,
    /// Intervals in which the proxy had two processes.
    shared: Vec<Interval>,
}

/// The serving process of each proxy, updated event by event; the key is the proxy's number.
#[derive(Debug, Default)]
pub(super) struct ServingProcesses(BTreeMap<u16, ServingProcess>);

impl ServingProcesses {
    /// The serving process of a proxy; `None` before its first process has started.
    pub(super) fn get(&self, proxy: u16) -> Option<&ServingProcess> {
        self.0.get(&proxy)
    }

    /// Adds an event; events about anything but a proxy's process are ignored.
    pub(super) fn record(&mut self, at: Duration, event: &Event) {
        match event {
            Event::ProxyBeside { proxy } => {
                self.0.entry(*proxy).or_default().successor_since = Some(at);
            }
            Event::ProxyDead { proxy } => {
                let process = self.0.entry(*proxy).or_default();
                let since = process.successor_since.take();
                let shared = since.map(|since| Interval {
                    from: since,
                    to: at,
                });
                process.shared.extend(shared);
            }
            Event::ProxyStarted { proxy } | Event::ProxyServes { proxy } => {
                let predecessor = self.0.remove(proxy);
                let serving_since = predecessor
                    .and_then(|process| process.successor_since)
                    .unwrap_or(at);
                let process = ServingProcess {
                    alone_since: at,
                    serving_since,
                    successor_since: None,
                    shared: vec![Interval {
                        from: serving_since,
                        to: at,
                    }],
                };
                self.0.insert(*proxy, process);
            }
            _ => {}
        }
    }
}

/// The least and the greatest number of sessions that agree with what the peers saw.
#[derive(Clone, Copy, Debug)]
pub(super) struct CountRange {
    pub(super) min: usize,
    pub(super) max: usize,
}

impl CountRange {
    /// Whether a metric lies outside the range by more than the allowed error, the greater of [`MAX_ABSOLUTE_ERROR`]
    /// and `relative_error` of the bound.
    pub(super) fn excludes(&self, metric: f64, relative_error: f64) -> bool {
        let (min, max) = (self.min as f64, self.max as f64);
        let lowest = min - MAX_ABSOLUTE_ERROR.max(min * relative_error);
        metric < lowest || metric > max + MAX_ABSOLUTE_ERROR.max(max * relative_error)
    }
}

impl ServingProcess {
    /// Whether another process of the proxy may have handled sessions within the interval.
    fn is_shared(&self, within: Interval) -> bool {
        self.successor_since.is_some_and(|since| within.to >= since)
            || self.shared.iter().any(|shared| shared.overlaps(within))
    }

    /// How many sessions this process had opened when it measured: at least those that no other process can have
    /// opened, at most all since it may first have served.
    pub(super) fn opened_sessions(
        &self,
        lifetimes: &[&SessionLifetime],
        measured: Interval,
    ) -> CountRange {
        let opened_sessions = || lifetimes.iter().filter_map(|lifetime| lifetime.up);
        let certainly = |up: &Duration| {
            let instant = Interval { from: *up, to: *up };
            *up > self.alone_since + MAX_METRICS_AGE
                && *up <= measured.from
                && !self.is_shared(instant)
        };
        let possibly = |up: &Duration| *up >= self.serving_since && *up <= measured.to;
        CountRange {
            min: opened_sessions().filter(certainly).count(),
            max: opened_sessions().filter(possibly).count(),
        }
    }

    /// How many sessions may have been in flight: at least those that are known to have ended after the measurement
    /// (none while there are two processes), at most those that are not known to have ended before it.
    pub(super) fn in_flight(
        &self,
        lifetimes: &[&SessionLifetime],
        measured: Interval,
    ) -> CountRange {
        let certainly = |lifetime: &&&SessionLifetime| {
            lifetime.requested <= measured.from && lifetime.end.is_some_and(|end| end > measured.to)
        };
        let possibly = |lifetime: &&&SessionLifetime| {
            lifetime.requested <= measured.to && lifetime.end.is_none_or(|end| end >= measured.from)
        };
        let min = if self.is_shared(measured) {
            0
        } else {
            lifetimes.iter().filter(certainly).count()
        };
        let max = lifetimes.iter().filter(possibly).count();
        CountRange { min, max }
    }
}
