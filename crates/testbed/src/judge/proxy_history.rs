//! What the peers recorded of the proxies, and of the links between them and the other peers.

use super::intervals::{Interval, Intervals};
use crate::event_log::{Event, HostState};
use crate::link_ends::LinkEnds;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// What discovery wrote to a proxy about a host.
#[derive(Clone, Copy, Debug)]
struct EndpointNotification {
    at: Duration,
    state: HostState,
    /// When the host last started.
    host_started: Option<Duration>,
}

/// What the peers recorded of all proxies and links.
#[derive(Debug, Default)]
pub(super) struct ProxyHistory {
    /// Proxies without a process: nobody reads what is written to one of them.
    without_process: HashSet<u16>,
    /// When each proxy was sent SIGKILL and when it was reaped: what came between died with it too.
    deaths: HashMap<u16, Vec<Duration>>,
    /// By proxy and host, in the order in which they were written.
    notifications: HashMap<(u16, u16), Vec<EndpointNotification>>,
    /// When each proxy was stopped by a signal.
    pub(super) stalls: Intervals<u16>,
    /// When each link failed.
    pub(super) link_failures: Intervals<LinkEnds>,
}

impl ProxyHistory {
    /// Takes in an event, if it is about a proxy or a link.
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

    /// Whether a proxy was killed, or reaped after it, at any time of the interval.
    pub(super) fn died(&self, proxy: u16, within: Interval) -> bool {
        let range = within.from..=within.to;
        self.deaths
            .get(&proxy)
            .is_some_and(|deaths| deaths.iter().any(|at| range.contains(at)))
    }

    /// How long ago, at a time, a proxy was notified that a host accepts no new session, if that still holds.
    pub(super) fn drained_for(&self, proxy: u16, host: u16, at: Duration) -> Option<Duration> {
        let notifications = self.notifications.get(&(proxy, host))?;
        let mut drained_since = None;
        for notification in notifications.iter().take_while(|earlier| earlier.at <= at) {
            match notification.state {
                HostState::Ready => drained_since = None,
                _ => drained_since = drained_since.or(Some(notification.at)),
            }
        }
        let resumed = self.last_resumed(proxy, at);
        drained_since.map(|since| at.saturating_sub(since.max(resumed)))
    }

    /// Until when a proxy was last stopped: it has had no time to follow what it was notified of before.
    fn last_resumed(&self, proxy: u16, at: Duration) -> Duration {
        let until_then = Interval {
            from: Duration::ZERO,
            to: at,
        };
        self.stalls
            .overlapping(&proxy, until_then)
            .map(|stall| stall.to.min(at))
            .max()
            .unwrap_or_default()
    }

    /// Whether a proxy was notified, at any time, of this start of a host.
    pub(super) fn was_notified_of_start(
        &self,
        proxy: u16,
        host: u16,
        host_started: Option<Duration>,
    ) -> bool {
        self.notifications
            .get(&(proxy, host))
            .is_some_and(|all| all.iter().any(|one| one.host_started == host_started))
    }
}
