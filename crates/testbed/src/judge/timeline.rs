//! The events that led to a violation, a line each.

use crate::event_log::{Event, LoggedEvent, SessionId};
use std::time::Duration;

/// Longest text of one event, in bytes.
const MAX_EVENT_TEXT: usize = 240;

/// Proxies that a session was asked of and hosts that it was dialled at.
#[derive(Debug, Default)]
struct Peers {
    proxies: Vec<u16>,
    hosts: Vec<u16>,
}

impl Peers {
    fn of(session_events: &[&LoggedEvent]) -> Peers {
        let mut peers = Peers::default();
        for event in session_events {
            match event.seen {
                Event::Asked { proxy, .. } => peers.proxies.push(proxy),
                Event::Dialled { host, .. } => peers.hosts.push(host),
                _ => {}
            }
        }
        peers
    }

    /// Whether an event about no session is about these peers; `since` is the time of the session's first event.
    fn are_concerned_by(&self, event: &LoggedEvent, since: Duration) -> bool {
        match event.seen {
            Event::HostListed { proxy, host, .. } => {
                self.proxies.contains(&proxy) && self.hosts.contains(&host)
            }
            Event::HostDown { host } | Event::HostUp { host } => {
                self.hosts.contains(&host) && event.at >= since
            }
            Event::ProxyKilled { proxy }
            | Event::ProxyDead { proxy }
            | Event::ProxyLeaves { proxy } => self.proxies.contains(&proxy),
            Event::Fault { .. } => event.at >= since,
            _ => false,
        }
    }
}

/// The events of one session up to its last, those of its proxies and hosts among them.
pub(super) fn of_session(events: &[LoggedEvent], id: SessionId) -> Vec<String> {
    let is_own = |event: &LoggedEvent| event.seen.id() == Some(id);
    let own: Vec<&LoggedEvent> = events.iter().filter(|event| is_own(event)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let peers = Peers::of(&own);
    events
        .iter()
        .filter(|event| is_own(event) || peers.are_concerned_by(event, first.at))
        .filter(|event| event.at <= last.at)
        .map(line)
        .collect()
}

/// The first event of a time; empty if there is none.
pub(super) fn at(events: &[LoggedEvent], at: Duration) -> String {
    events
        .iter()
        .find(|event| event.at == at)
        .map(line)
        .unwrap_or_default()
}

fn line(event: &LoggedEvent) -> String {
    let mut text = format!("{:?}", event.seen);
    text.truncate(MAX_EVENT_TEXT);
    format!("{:>9.3} s  {text}", event.at.as_secs_f64())
}
