//! A client's open connection: a message now and then, its answer, and the signals that it follows.

use super::attempt::{AttemptOutcome, LATE_ANSWER_WINDOW};
use super::service_credit::ServiceCredit;
use crate::context::{ClientSignal, RunContext};
use crate::event_log::{Event, SessionId};
use crate::line_reader::{Line, LineReader};
use crate::plan::{PlannedClient, SeededRng};
use rand::RngExt;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The oldest message that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct UnansweredMessage {
    number: u64,
    sent_at: Duration,
}

/// What came of a wait on an open connection.
enum Wakeup {
    Line(Line),
    /// It is time for the next message, or to leave.
    TimeIsUp,
    ReconnectSignal,
    StopReadingSignal,
}

/// A connection over which a session is up.
pub(super) struct OpenConnection<'a> {
    context: &'a RunContext,
    planned: &'a PlannedClient,
    random: &'a mut SeededRng,
    session: SessionId,
    lines: LineReader,
    write: OwnedWriteHalf,
    credit: ServiceCredit<'a>,
    reconnect: watch::Receiver<ClientSignal>,
    stop_reading: watch::Receiver<ClientSignal>,
    next_message_at: Duration,
    /// The number of the last message.
    last_message: u64,
    unanswered: Option<UnansweredMessage>,
    /// Its host has said by `MOVE` or `BYE` that it will end.
    end_announced: bool,
}

impl<'a> OpenConnection<'a> {
    pub(super) fn new(
        context: &'a RunContext,
        planned: &'a PlannedClient,
        random: &'a mut SeededRng,
        session: SessionId,
        lines: LineReader,
        write: OwnedWriteHalf,
    ) -> OpenConnection<'a> {
        let mut reconnect = context.client_signals.reconnect.subscribe();
        let mut stop_reading = context.client_signals.stop_reading.subscribe();
        reconnect.mark_unchanged();
        stop_reading.mark_unchanged();
        let credit = ServiceCredit::new(context, planned);
        let interval = context.scenario.traffic.message_interval;
        let next_message_at = context.now() + interval.mul_f64(random.random::<f64>());
        OpenConnection {
            context,
            planned,
            random,
            session,
            lines,
            write,
            credit,
            reconnect,
            stop_reading,
            next_message_at,
            last_message: 0,
            unanswered: None,
            end_announced: false,
        }
    }

    /// Sends a line now and then and reads the answers, until the client wants no more or the connection ends.
    pub(super) async fn serve(mut self, ends: Duration) -> AttemptOutcome {
        loop {
            let now = self.context.now();
            if now >= ends {
                self.leave(ends).await;
                return AttemptOutcome::Done;
            }
            if now >= self.next_message_at {
                self.send_message(now).await;
                continue;
            }
            let wait = self.next_message_at.min(ends).saturating_sub(now);
            match self.wait(wait).await {
                Wakeup::TimeIsUp => {}
                Wakeup::Line(line) => {
                    if let Some(outcome) = self.handle_line(line) {
                        return outcome;
                    }
                }
                Wakeup::ReconnectSignal => {
                    let signal = *self.reconnect.borrow_and_update();
                    if self.follows(signal) {
                        self.credit.close(self.context.now());
                        return AttemptOutcome::Broken;
                    }
                }
                Wakeup::StopReadingSignal => {
                    let signal = *self.stop_reading.borrow_and_update();
                    if self.follows(signal) {
                        self.stop_reading_for(signal.span).await;
                    }
                }
            }
        }
    }

    async fn wait(&mut self, span: Duration) -> Wakeup {
        tokio::select! {
            line = self.lines.next() => Wakeup::Line(line),
            _ = sleep(span) => Wakeup::TimeIsUp,
            _ = self.reconnect.changed() => Wakeup::ReconnectSignal,
            _ = self.stop_reading.changed() => Wakeup::StopReadingSignal,
        }
    }

    /// Whether a signal to a share of all clients reaches this one.
    fn follows(&mut self, signal: ClientSignal) -> bool {
        self.random.random::<f64>() < signal.share
    }

    /// Leaves the connection alone for a while.
    async fn stop_reading_for(&mut self, span: Duration) {
        self.credit.close(self.context.now());
        sleep(span).await;
        self.credit.begin(self.context.now());
        self.unanswered = None;
    }

    async fn send_message(&mut self, now: Duration) {
        // What is not answered by now was not served in time.
        self.credit.well_served &= self.unanswered.is_none();
        self.credit.close(now);
        self.credit.begin(now);
        let interval = self.context.scenario.traffic.message_interval;
        self.last_message += 1;
        self.next_message_at = now + interval;
        let number = self.last_message;
        self.unanswered.get_or_insert(UnansweredMessage {
            number,
            sent_at: now,
        });
        let clock = self.context.event_log.now().as_micros();
        let text = format!("MSG {number} {clock}\r\n");
        // One whose proxy takes nothing any more is cut off by it sooner or later.
        let _ = timeout(interval, self.write.write_all(text.as_bytes())).await;
    }

    /// Handles what came; an outcome where the connection is over.
    fn handle_line(&mut self, line: Line) -> Option<AttemptOutcome> {
        let (event_log, id) = (&self.context.event_log, self.session);
        if let Some(end) = line.connection_end() {
            let told = self.end_announced;
            event_log.record(Event::Ended { id, end, told });
            self.credit.close(self.context.now());
            return Some(AttemptOutcome::Broken);
        }
        let Line::Text(text) = line else {
            let line = "no text".into();
            event_log.record(Event::Garbled { id, line });
            return None;
        };
        match text.split_once(' ').unwrap_or((&text, "")) {
            ("ACK", number) if self.is_sent(number) => {
                self.handle_acknowledgement(number.parse().unwrap_or(0));
            }
            ("LOAD", _) => {}
            ("MOVE" | "BYE", _) => self.end_announced = true,
            _ => event_log.record(Event::Garbled { id, line: text }),
        }
        None
    }

    /// Whether a message of this number has been sent.
    fn is_sent(&self, number: &str) -> bool {
        let sent = 1..=self.last_message;
        number
            .parse()
            .is_ok_and(|number: u64| sent.contains(&number))
    }

    fn handle_acknowledgement(&mut self, number: u64) {
        let answered = self.unanswered.take_if(|message| number >= message.number);
        if let Some(message) = answered {
            let listener = &self.context.scenario.listeners[usize::from(self.planned.listener)];
            let took = self.context.now().saturating_sub(message.sent_at);
            self.credit.well_served =
                took <= listener.message_target && number == self.last_message;
            let mut marks = self.context.service_score.measurements();
            marks.messages.saturating_record(took.as_micros() as u64);
        }
    }

    /// Ends the connection. Half of the clients say so, and read what the host says to that.
    async fn leave(&mut self, ends: Duration) {
        self.credit.close(ends);
        let says_so = self.planned.seed.is_multiple_of(2);
        if says_so && self.write.write_all(b"END\r\n").await.is_ok() {
            let _ = timeout(LATE_ANSWER_WINDOW, read_to_end(&mut self.lines)).await;
        }
        let _ = timeout(LATE_ANSWER_WINDOW, self.write.shutdown()).await;
    }
}

async fn read_to_end(lines: &mut LineReader) {
    while let Line::Text(_) | Line::Invalid = lines.next().await {}
}
