//! The events about proxies and links, indexed for the rules.

use super::intervals::{Interval, Intervals};
use crate::event_log::{Event, HostState};
use crate::link_ends::LinkEnds;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// A host's state as discovery wrote it to a proxy.
#[derive(Clone, Copy, Debug)]
struct EndpointNotification {
    at: Duration,
    state: HostState,
    /// When the host last started.
    host_started: Option<Duration>,
}

/// The events about all proxies and links of a run.
#[derive(Debug, Default)]
pub(super) struct ProxyHistory {
    /// Proxies that have no process at the moment: what discovery writes to one of them is not read, so it does not
    /// count as a notification.
    without_process: HashSet<u16>,
    /// When each proxy was sent SIGKILL and when it was reaped. Both count as deaths, since the kernel accepts
    /// connections for the proxy until it is reaped, and they are lost as well.
    deaths: HashMap<u16, Vec<Duration>>,
    /// What discovery wrote to each proxy about each host, in the order of writing; the key is (proxy, host).
    notifications: HashMap<(u16, u16), Vec<EndpointNotification>>,
    /// When each proxy was stopped by SIGSTOP.
    pub(super) stalls: Intervals<u16>,
    /// When each link had a fault.
    pub(super) link_failures: Intervals<LinkEnds>,
}

impl ProxyHistory {
    /// Adds an event; events that are about neither a proxy nor a link are ignored.
    pub(super) fn record(&mut self, at: Duration, event: &Event) {
        match event {
            Event::ProxyDead { proxy } => {
                self.without_process.insert(*proxy);
                self.deaths.entry(*proxy).or_default().push(at);
            }
            Event::ProxyExited { proxy, .. } => drop(self.without_process.insert(*proxy)),
            Event::ProxyStarted { proxy } | Event::ProxyServes { proxy } => {
                self.without_process.remove(proxy);
            }
            Event::ProxyKilled { proxy } => self.deaths.entry(*proxy).or_default().push(at),
            Event::ProxyStalls { proxy, stops } => self.stalls.record(*proxy, at, *stops),
            Event::WayFails { ends, fails } => self.link_failures.record(*ends, at, *fails),
            Event::HostListed {
                proxy,
                host,
                standing,
                started,
            } if !self.without_process.contains(proxy) => {
                let notification = EndpointNotification {
                    at,
                    state: *standing,
                    host_started: *started,
                };
                let notifications = self.notifications.entry((*proxy, *host)).or_default();
                notifications.push(notification);
            }
            _ => {}
        }
    }

    /// Whether a proxy was killed, or reaped after a kill, within the interval.
    pub(super) fn died(&self, proxy: u16, within: Interval) -> bool {
        let range = within.from..=within.to;
        self.deaths
            .get(&proxy)
            .is_some_and(|deaths| deaths.iter().any(|at| range.contains(at)))
    }

    /// For how long, at `at`, a proxy has known that a host is draining or gone; `None` if the proxy was not notified
    /// of that, or was notified later that the host is ready. Time before the proxy last resumed from a stop does not
    /// count.
    pub(super) fn drained_for(&self, proxy: u16, host: u16, at: Duration) -> Option<Duration> {
        let notifications = self.notifications.get(&(proxy, host))?;
        let mut drained_since = None;
        for notification in notifications
            .iter()
            .take_while(|notification| notification.at <= at)
        {
            match notification.state {
                HostState::Ready => drained_since = None,
                _ => drained_since = drained_since.or(Some(notification.at)),
            }
        }
        let resumed_at = self.last_resumed(proxy, at);
        drained_since.map(|since| at.saturating_sub(since.max(resumed_at)))
    }

    /// When a proxy last resumed from a stop before `at` (`at` itself if it is still stopped, zero if it never was). A
    /// stopped proxy cannot act on a notification.
    fn last_resumed(&self, proxy: u16, at: Duration) -> Duration {
        let up_to_now = Interval {
            from: Duration::ZERO,
            to: at,
        };
        self.stalls
            .overlapping(&proxy, up_to_now)
            .map(|stall| stall.to.min(at))
            .max()
            .unwrap_or_default()
    }

    /// Whether a proxy was notified, at any time of the run, of the start of a host at `host_started`.
    pub(super) fn was_notified_of_start(
        &self,
        proxy: u16,
        host: u16,
        host_started: Option<Duration>,
    ) -> bool {
        self.notifications
            .get(&(proxy, host))
            .is_some_and(|notifications| {
                let is_same_start =
                    |notification: &EndpointNotification| notification.host_started == host_started;
                notifications.iter().any(is_same_start)
            })
    }
}
