//! The events that led to a violation, as one line of text each.

use crate::event_log::{Event, LoggedEvent, SessionId};
use std::time::Duration;

/// Longest text of one event; a longer one is truncated.
const MAX_EVENT_TEXT_BYTES: usize = 240;

/// The numbers of the proxies and hosts that took part in a session.
#[derive(Debug, Default)]
struct Participants {
    proxies: Vec<u16>,
    hosts: Vec<u16>,
}

impl Participants {
    fn of(session_events: &[&LoggedEvent]) -> Participants {
        let mut participants = Participants::default();
        for event in session_events {
            match event.seen {
                Event::Asked { proxy, .. } => participants.proxies.push(proxy),
                Event::Dialled { host, .. } => participants.hosts.push(host),
                _ => {}
            }
        }
        participants
    }

    /// Whether an event that has no session concerns these participants. `since` is the time of the session's first
    /// event: restarts of hosts and faults before it are left out.
    fn include(&self, event: &LoggedEvent, since: Duration) -> bool {
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

/// The events of a session and those of its proxies and hosts, up to the session's last event.
pub(super) fn of_session(events: &[LoggedEvent], id: SessionId) -> Vec<String> {
    let is_own = |event: &LoggedEvent| event.seen.id() == Some(id);
    let own: Vec<&LoggedEvent> = events.iter().filter(|event| is_own(event)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let participants = Participants::of(&own);
    events
        .iter()
        .filter(|event| is_own(event) || participants.include(event, first.at))
        .filter(|event| event.at <= last.at)
        .map(line)
        .collect()
}

/// The first event recorded at exactly `at`; empty if there is none.
pub(super) fn event_at(events: &[LoggedEvent], at: Duration) -> String {
    events
        .iter()
        .find(|event| event.at == at)
        .map(line)
        .unwrap_or_default()
}

fn line(event: &LoggedEvent) -> String {
    let mut text = format!("{:?}", event.seen);
    text.truncate(MAX_EVENT_TEXT_BYTES);
    format!("{:>9.3} s  {text}", event.at.as_secs_f64())
}
