//! A session at a host, from its request to the end of its connection.

use super::connection::HostConnection;
use super::dial::Dial;
use super::faults::HostFaults;
use super::protocol::{ClientMessage, OpenRequest};
use super::state::Host;
use crate::event_log::{Event, HostReply};
use crate::line_reader::Line;
use crate::load_model::SetUpOutcome;
use std::collections::VecDeque;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The time over which a draining host spreads the moves of its open sessions, in milliseconds.
const DRAIN_SPREAD_MS: u64 = 1_500;
/// The difference between the move times of dials with consecutive numbers, in milliseconds, modulo
/// [`DRAIN_SPREAD_MS`]; a prime, so that the times of many dials are spread evenly.
const DRAIN_STEP_MS: u64 = 131;
/// A message that takes longer than this from its client to its host is recorded as [`Event::Held`].
const MAX_MESSAGE_TRANSIT: Duration = Duration::from_secs(1);

/// Serves a session whose request has been read. The dial is stored in `dial_slot`, so that the caller can end it if
/// the host's process ends meanwhile.
pub(super) async fn serve_session(
    host: &Host,
    connection: &mut HostConnection,
    dial_slot: &mut Option<Dial>,
    request: OpenRequest,
) {
    let number = host.context.new_dial_number();
    let dial = dial_slot.insert(Dial::new(request.session, number));
    record_dial(host, connection, dial, request.inherited);
    let mut faults = host.subscribe_faults();
    if !connection.wait_while_frozen(&mut faults).await {
        return;
    }
    if !request.inherited {
        let outcome = set_up_session(host, connection, dial, &mut faults).await;
        if outcome.is_break() {
            return;
        }
    }
    dial.connect(host, &request);
    host.context.pending_dials.end(request.session, number);
    dial.record_reply(host, HostReply::Up);
    let load = request.work_units();
    connection
        .send(&format!("UP r-{number}\r\nLOAD {load:.1}\r\n"))
        .await;
    let session = OpenSession {
        host,
        connection,
        dial,
        pending_answers: VecDeque::new(),
        move_at: None,
    };
    session.serve(faults).await;
}

/// Records a dial, and each earlier dial of the same session whose connection the kernel has not seen end.
fn record_dial(host: &Host, connection: &HostConnection, dial: &Dial, inherited: bool) {
    let (context, id, number) = (&host.context, dial.session, dial.number);
    context.event_log.record(Event::Dialled {
        id,
        host: host.number,
        dial: number,
        inherited,
    });
    // Behind a relay, the end of an earlier connection may arrive after the request of a later one, so the kernel's
    // state proves nothing.
    let handle = match connection.relay {
        Some(_) => None,
        None => connection.lines.duplicate_handle(),
    };
    if let Some(relay) = connection.relay {
        host.relayed_dials.insert(relay, id, number);
    }
    for earlier in context.pending_dials.begin(id, number, handle) {
        context.event_log.record(Event::StillOut {
            id,
            host: host.number,
            dial: number,
            earlier,
        });
    }
}

/// Sets a session up as the faults and the load model allow; breaks if the session is not established.
async fn set_up_session(
    host: &Host,
    connection: &mut HostConnection,
    dial: &mut Dial,
    faults: &mut watch::Receiver<HostFaults>,
) -> ControlFlow<()> {
    let now = *faults.borrow_and_update();
    if now.ignores_sessions {
        connection.lines.wait_for_end().await;
        return ControlFlow::Break(());
    }
    if now.resets_sessions {
        dial.end(host, true);
        connection.reset();
        return ControlFlow::Break(());
    }
    if now.rejects_by_error {
        let text = format!("ERR{}\r\n", host.load_report());
        dial.finish(host, connection, HostReply::Err, &text).await;
        return ControlFlow::Break(());
    }
    let outcome = if now.draining {
        SetUpOutcome::Full
    } else {
        host.model()
            .begin_set_up(host.context.event_log.now(), dial.session)
    };
    match outcome {
        SetUpOutcome::Full => {
            let text = format!("BUSY{}\r\n", host.load_report());
            dial.finish(host, connection, HostReply::Busy, &text).await;
            ControlFlow::Break(())
        }
        SetUpOutcome::Collapsed => {
            host.collapse();
            ControlFlow::Break(())
        }
        SetUpOutcome::UpAfter(took) => {
            dial.setting_up = true;
            let up_at = Instant::now() + took + now.answer_delay;
            wait_for_set_up(connection, faults, up_at).await
        }
    }
}

/// Waits until the set-up is done and the host may send; breaks if the peer ended the connection meanwhile.
async fn wait_for_set_up(
    connection: &mut HostConnection,
    faults: &mut watch::Receiver<HostFaults>,
    up_at: Instant,
) -> ControlFlow<()> {
    tokio::select! {
        _ = sleep_until(up_at) => {}
        _ = connection.lines.wait_for_end() => return ControlFlow::Break(()),
    }
    if connection.wait_while_frozen(faults).await {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(())
    }
}

/// An answer that is sent once its response time has passed.
struct PendingAnswer {
    due: Instant,
    text: String,
}

/// A session that is up.
struct OpenSession<'a> {
    host: &'a Host,
    connection: &'a mut HostConnection,
    dial: &'a mut Dial,
    /// Answers to send, in the order of their messages.
    pending_answers: VecDeque<PendingAnswer>,
    /// When the draining host moves the session away; `None` if the host has not drained yet.
    move_at: Option<Instant>,
}

impl OpenSession<'_> {
    /// Answers messages until the session ends.
    async fn serve(mut self, mut faults: watch::Receiver<HostFaults>) {
        loop {
            let now = *faults.borrow_and_update();
            if now.draining && self.move_at.is_none() {
                let delay = u64::from(self.dial.number) * DRAIN_STEP_MS % DRAIN_SPREAD_MS;
                self.move_at = Some(Instant::now() + Duration::from_millis(delay));
            }
            let next_answer = self.pending_answers.front().map(|answer| answer.due);
            let next_answer = next_answer.filter(|_| !now.is_frozen());
            let move_at = self.move_at.filter(|_| now.draining && !now.is_frozen());
            tokio::select! {
                _ = faults.changed() => {}
                _ = sleep_until_some(next_answer) => self.send_next_answer().await,
                _ = sleep_until_some(move_at) => return self.finish(HostReply::Move, "MOVE\r\n").await,
                line = self.connection.lines.next() => {
                    if self.handle_line(line).await.is_break() {
                        return;
                    }
                }
            }
        }
    }

    async fn send_next_answer(&mut self) {
        if let Some(answer) = self.pending_answers.pop_front() {
            self.connection.send(&answer.text).await;
        }
    }

    /// Handles a line, or the end of the connection, from the client; breaks if that ends the session.
    async fn handle_line(&mut self, line: Line) -> ControlFlow<()> {
        let Line::Text(line) = line else {
            return ControlFlow::Break(());
        };
        if line == "END" {
            let text = format!("BYE{}\r\n", self.host.load_report());
            self.finish(HostReply::Bye, &text).await;
            return ControlFlow::Break(());
        }
        let event_log = &self.host.context.event_log;
        let now = event_log.now();
        let Some(message) = ClientMessage::parse(&line) else {
            let host = self.host.number;
            event_log.record(Event::Unread { host, line });
            self.connection.send_last("SYNTAX\r\n").await;
            return ControlFlow::Break(());
        };
        let span = now.saturating_sub(message.sent_at);
        if span > MAX_MESSAGE_TRANSIT {
            let id = self.dial.session;
            event_log.record(Event::Held { id, span });
        }
        let response_time = self.host.model().message_time(now);
        self.pending_answers.push_back(PendingAnswer {
            due: Instant::now() + response_time,
            text: format!("ACK {}\r\n", message.number),
        });
        ControlFlow::Continue(())
    }

    async fn finish(&mut self, reply: HostReply, text: &str) {
        self.dial
            .finish(self.host, self.connection, reply, text)
            .await;
    }
}

/// Sleeps until a time; never returns for `None`.
async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
