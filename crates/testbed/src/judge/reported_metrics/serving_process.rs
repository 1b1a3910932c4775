//! Which process a proxy's metrics come from, and what it may have counted.

use super::session_lifetime::SessionLifetime;
use crate::event_log::Event;
use crate::judge::intervals::Interval;
use std::collections::BTreeMap;
use std::time::Duration;

/// How old the metrics of an answer may be.
pub(super) const MAX_METRICS_AGE: Duration = Duration::from_millis(500);

/// A metric may always be off by this many sessions.
const ABSOLUTE_ERROR: f64 = 3.0;

/// Which process a proxy's metrics come from.
#[derive(Debug, Default)]
pub(super) struct ServingProcess {
    /// Since when it serves alone.
    alone_since: Duration,
    /// Since when it may have served beside its predecessor.
    serving_since: Duration,
    /// When a successor was started beside it.
    successor_since: Option<Duration>,
    /// Intervals in which there were two processes.
    shared: Vec<Interval>,
}

/// The process that serves for each proxy, followed from event to event.
#[derive(Debug, Default)]
pub(super) struct ServingProcesses(BTreeMap<u16, ServingProcess>);

impl ServingProcesses {
    /// None before the first process of a proxy.
    pub(super) fn get(&self, proxy: u16) -> Option<&ServingProcess> {
        self.0.get(&proxy)
    }

    /// Takes in an event, if it is about a process.
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

/// The fewest and the most sessions that peers saw.
#[derive(Clone, Copy, Debug)]
pub(super) struct CountRange {
    pub(super) min: usize,
    pub(super) max: usize,
}

impl CountRange {
    /// Whether a metric is outside the range by more than it may be off: a few sessions, or a share of the count.
    pub(super) fn excludes(&self, metric: f64, relative_error: f64) -> bool {
        let (min, max) = (self.min as f64, self.max as f64);
        let lowest = min - ABSOLUTE_ERROR.max(min * relative_error);
        metric < lowest || metric > max + ABSOLUTE_ERROR.max(max * relative_error)
    }
}

impl ServingProcess {
    /// Whether another process may have had a part in what happened then.
    fn is_shared(&self, within: Interval) -> bool {
        self.successor_since.is_some_and(|since| within.to >= since)
            || self.shared.iter().any(|shared| shared.overlaps(within))
    }

    /// Sessions that this process may have brought up; the fewest are those that it surely did.
    pub(super) fn brought_up(
        &self,
        lifetimes: &[&SessionLifetime],
        measured: Interval,
    ) -> CountRange {
        let brought_up = || lifetimes.iter().filter_map(|lifetime| lifetime.up);
        let surely = |up: &Duration| {
            let moment = Interval { from: *up, to: *up };
            *up > self.alone_since + MAX_METRICS_AGE
                && *up <= measured.from
                && !self.is_shared(moment)
        };
        let possibly = |up: &Duration| *up >= self.serving_since && *up <= measured.to;
        CountRange {
            min: brought_up().filter(surely).count(),
            max: brought_up().filter(possibly).count(),
        }
    }

    /// Sessions that may have been in flight; the fewest are those that are known to have ended later.
    pub(super) fn in_flight(
        &self,
        lifetimes: &[&SessionLifetime],
        measured: Interval,
    ) -> CountRange {
        let surely = |lifetime: &&&SessionLifetime| {
            lifetime.asked <= measured.from && lifetime.end.is_some_and(|end| end > measured.to)
        };
        let possibly = |lifetime: &&&SessionLifetime| {
            lifetime.asked <= measured.to && lifetime.end.is_none_or(|end| end >= measured.from)
        };
        let min = if self.is_shared(measured) {
            0
        } else {
            lifetimes.iter().filter(surely).count()
        };
        let max = lifetimes.iter().filter(possibly).count();
        CountRange { min, max }
    }
}
