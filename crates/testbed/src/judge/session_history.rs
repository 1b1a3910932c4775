//! What the peers recorded of one session.

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
    /// The client was connected before the run began.
    pub(super) inherited: bool,
}

/// A final answer as the client saw it.
#[derive(Clone, Debug)]
pub(super) struct TimedAnswer {
    pub(super) at: Duration,
    pub(super) answer: ClientAnswer,
}

/// A client's connection that ended before an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionCut {
    pub(super) at: Duration,
    pub(super) end: ConnectionEnd,
}

/// A client's open connection that ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct SessionEnd {
    pub(super) at: Duration,
    pub(super) end: ConnectionEnd,
    /// The client was notified of it by `MOVE` or `BYE`.
    pub(super) notified: bool,
}

/// A host's line to a dial.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedReply {
    pub(super) at: Duration,
    pub(super) reply: HostReply,
}

/// The end of a dial's connection as its host saw it.
#[derive(Clone, Copy, Debug)]
pub(super) struct DialEnd {
    pub(super) at: Duration,
    pub(super) by_host: bool,
}

/// A later dial that came while the connection of an earlier one had no end in the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConcurrentDials {
    pub(super) earlier: u32,
    pub(super) later: u32,
}

/// What a host recorded of one dial.
#[derive(Debug)]
pub(super) struct DialHistory {
    pub(super) host: u16,
    /// When the host had read the whole of the session's line.
    pub(super) line_read_at: Duration,
    pub(super) replies: Vec<TimedReply>,
    pub(super) end: Option<DialEnd>,
    pub(super) inherited: bool,
}

impl DialHistory {
    /// Whether the session may have run at this host: unless its first reply was `BUSY`.
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

    /// Until when the dial may still take effect: its end, or the reply that ends it.
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

/// What the peers recorded of one session.
#[derive(Debug, Default)]
pub(super) struct SessionHistory {
    pub(super) request: Option<SessionRequest>,
    pub(super) answers: Vec<TimedAnswer>,
    pub(super) cut: Option<ConnectionCut>,
    /// When the client left before an answer.
    pub(super) client_left: Option<Duration>,
    pub(super) end: Option<SessionEnd>,
    /// What came to the client that no host had sent.
    pub(super) unexpected_lines: Vec<String>,
    /// How long each line that took over a second was on its way.
    pub(super) line_delays: Vec<Duration>,
    /// By the dial's number, which is the order in which they were made.
    pub(super) dials: BTreeMap<u32, DialHistory>,
    pub(super) concurrent_dials: Vec<ConcurrentDials>,
}

impl SessionHistory {
    /// Takes in an event about this session.
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

    /// Takes in an event about one of its dials.
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

/// The request that an event records, if it records one.
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
