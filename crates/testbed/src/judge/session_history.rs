//! The events about one session, indexed for the rules. All times are on the event log's clock.

use crate::event_log::{ClientAnswer, ConnectionEnd, Event, HostReply};
use std::collections::BTreeMap;
use std::time::Duration;

/// A client's request for a session.
#[derive(Clone, Copy, Debug)]
pub(super) struct SessionRequest {
    pub(super) at: Duration,
    pub(super) proxy: u16,
    /// Zone of the client.
    pub(super) zone: u8,
    pub(super) listener: u8,
    /// How long the client waits for its answer.
    pub(super) wait: Duration,
    /// The client counts as connected since before the run: the session is part of the run's initial state.
    pub(super) inherited: bool,
}

/// A final answer as the client saw it.
#[derive(Clone, Debug)]
pub(super) struct TimedAnswer {
    pub(super) at: Duration,
    pub(super) answer: ClientAnswer,
}

/// The end of a client's connection before an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionCut {
    pub(super) at: Duration,
    pub(super) end: ConnectionEnd,
}

/// The end of a client's open connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct SessionEnd {
    pub(super) at: Duration,
    pub(super) end: ConnectionEnd,
    /// The client read `MOVE` or `BYE` before it.
    pub(super) notified: bool,
}

/// A host's reply to a dial.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedReply {
    pub(super) at: Duration,
    pub(super) reply: HostReply,
}

/// The end of a dial's connection as its host saw it.
#[derive(Clone, Copy, Debug)]
pub(super) struct DialEnd {
    pub(super) at: Duration,
    /// The host ended it, and not the proxy.
    pub(super) by_host: bool,
}

/// Two dials of a session by their numbers: when the later one reached its host, the kernel still had the connection of
/// the earlier one open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConcurrentDials {
    pub(super) earlier: u32,
    pub(super) later: u32,
}

/// What a host recorded of one dial.
#[derive(Debug)]
pub(super) struct DialHistory {
    pub(super) host: u16,
    /// When the host had read the complete `OPEN` line.
    pub(super) line_read_at: Duration,
    pub(super) replies: Vec<TimedReply>,
    /// `None` if the host recorded no end.
    pub(super) end: Option<DialEnd>,
    /// The dial restores a session that counts as connected since before the run.
    pub(super) inherited: bool,
}

impl DialHistory {
    /// Whether the session may have run at this host, which only `BUSY` as the first reply rules out.
    pub(super) fn may_have_run(&self) -> bool {
        self.replies
            .first()
            .is_none_or(|first| first.reply != HostReply::Busy)
    }

    /// Whether the host accepted the session.
    pub(super) fn accepted(&self) -> bool {
        self.replies
            .iter()
            .any(|reply| reply.reply == HostReply::Up)
    }

    /// Until when the dial may take effect: its end, or the first reply other than `UP`; `Duration::MAX` if neither was
    /// recorded.
    pub(super) fn under_way_until(&self) -> Duration {
        let final_reply = self
            .replies
            .iter()
            .find(|reply| reply.reply != HostReply::Up)
            .map(|reply| reply.at);
        let end = self.end.map(|end| end.at);
        final_reply
            .into_iter()
            .chain(end)
            .min()
            .unwrap_or(Duration::MAX)
    }
}

/// All that was recorded of one session.
#[derive(Debug, Default)]
pub(super) struct SessionHistory {
    /// `None` if only hosts recorded the session.
    pub(super) request: Option<SessionRequest>,
    /// Final answers; more than one is a violation.
    pub(super) answers: Vec<TimedAnswer>,
    pub(super) cut: Option<ConnectionCut>,
    /// When the client left, if it left before an answer.
    pub(super) client_left: Option<Duration>,
    pub(super) end: Option<SessionEnd>,
    /// Lines that the client read although no host had sent them.
    pub(super) unexpected_lines: Vec<String>,
    /// How long lines took between client and host; only delays above a second are recorded.
    pub(super) line_delays: Vec<Duration>,
    /// The dials by number; the numbers ascend in the order of dialling.
    pub(super) dials: BTreeMap<u32, DialHistory>,
    pub(super) concurrent_dials: Vec<ConcurrentDials>,
}

impl SessionHistory {
    /// Adds an event about this session.
    pub(super) fn record(&mut self, at: Duration, event: &Event) {
        match event {
            Event::Asked { .. } => self.request = request(at, event),
            Event::Answered { answer, .. } => self.answers.push(TimedAnswer {
                at,
                answer: answer.clone(),
            }),
            Event::Cut { end, .. } => self.cut = Some(ConnectionCut { at, end: *end }),
            Event::Left { .. } => self.client_left = Some(at),
            Event::Ended { end, told, .. } => {
                let (end, notified) = (*end, *told);
                self.end = Some(SessionEnd { at, end, notified });
            }
            Event::Garbled { line, .. } => self.unexpected_lines.push(line.clone()),
            Event::Held { span, .. } => self.line_delays.push(*span),
            Event::StillOut { dial, earlier, .. } => {
                let (earlier, later) = (*earlier, *dial);
                self.concurrent_dials
                    .push(ConcurrentDials { earlier, later });
            }
            _ => self.record_dial(at, event),
        }
    }

    /// Adds an event about one of the session's dials.
    fn record_dial(&mut self, at: Duration, event: &Event) {
        match event {
            Event::Dialled {
                host,
                dial,
                inherited,
                ..
            } => {
                let history = DialHistory {
                    host: *host,
                    line_read_at: at,
                    replies: Vec::new(),
                    end: None,
                    inherited: *inherited,
                };
                self.dials.insert(*dial, history);
            }
            Event::Replied { dial, reply, .. } => {
                if let Some(dial) = self.dials.get_mut(dial) {
                    dial.replies.push(TimedReply { at, reply: *reply });
                }
            }
            Event::DialOver { dial, by_host, .. } => {
                if let Some(dial) = self.dials.get_mut(dial) {
                    let by_host = *by_host;
                    dial.end.get_or_insert(DialEnd { at, by_host });
                }
            }
            _ => {}
        }
    }
}

/// The request of an `Asked` event; `None` for any other event.
fn request(at: Duration, event: &Event) -> Option<SessionRequest> {
    let Event::Asked {
        proxy,
        place,
        listener,
        wait,
        inherited,
        ..
    } = event
    else {
        return None;
    };
    Some(SessionRequest {
        at,
        proxy: *proxy,
        zone: *place,
        listener: *listener,
        wait: *wait,
        inherited: *inherited,
    })
}
