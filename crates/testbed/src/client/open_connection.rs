//! A client's open connection: sends messages at intervals, reads their acknowledgements, and obeys signals of the run
//! to reconnect or to stop reading.

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

/// The oldest message that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct UnansweredMessage {
    number: u64,
    /// On the plan's clock.
    sent_at: Duration,
}

/// What ended a wait on an open connection.
enum Wakeup {
    Line(Line),
    /// The next message is due, or the client's time is over.
    TimerExpired,
    ReconnectSignal,
    StopReadingSignal,
}

/// A connection with an open session.
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
    /// On the plan's clock.
    next_message_at: Duration,
    /// Number of the last message sent; 0 before the first.
    last_message: u64,
    unanswered: Option<UnansweredMessage>,
    /// The host has announced the end by `MOVE` or `BYE`.
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

    /// Sends messages and reads lines until `until` on the plan's clock, the end of the connection, or a signal to
    /// reconnect.
    pub(super) async fn run(mut self, until: Duration) -> AttemptOutcome {
        loop {
            let now = self.context.now();
            if now >= until {
                self.leave(until).await;
                return AttemptOutcome::Done;
            }
            if now >= self.next_message_at {
                self.send_message(now).await;
                continue;
            }
            let wait = self.next_message_at.min(until).saturating_sub(now);
            match self.wait(wait).await {
                Wakeup::TimerExpired => {}
                Wakeup::Line(line) => {
                    if let Some(outcome) = self.handle_line(line) {
                        return outcome;
                    }
                }
                Wakeup::ReconnectSignal => {
                    let signal = *self.reconnect.borrow_and_update();
                    if self.is_selected_by(signal) {
                        self.credit.end_interval(self.context.now());
                        return AttemptOutcome::Broken;
                    }
                }
                Wakeup::StopReadingSignal => {
                    let signal = *self.stop_reading.borrow_and_update();
                    if self.is_selected_by(signal) {
                        self.stop_reading_for(signal.span).await;
                    }
                }
            }
        }
    }

    /// Waits for a line or a signal, at most for `span`.
    async fn wait(&mut self, span: Duration) -> Wakeup {
        tokio::select! {
            line = self.lines.next() => Wakeup::Line(line),
            _ = sleep(span) => Wakeup::TimerExpired,
            _ = self.reconnect.changed() => Wakeup::ReconnectSignal,
            _ = self.stop_reading.changed() => Wakeup::StopReadingSignal,
        }
    }

    /// Whether this client is in the share of clients that a signal is for, by a random draw.
    fn is_selected_by(&mut self, signal: ClientSignal) -> bool {
        self.random.random::<f64>() < signal.share
    }

    /// Neither reads nor writes for `span`, which does not count as well served.
    async fn stop_reading_for(&mut self, span: Duration) {
        self.credit.end_interval(self.context.now());
        sleep(span).await;
        self.credit.start_interval(self.context.now());
        self.unanswered = None;
    }

    /// Sends the next message. If an earlier one is still unanswered, the interval that ends now was not well served.
    async fn send_message(&mut self, now: Duration) {
        self.credit.well_served &= self.unanswered.is_none();
        self.credit.end_interval(now);
        self.credit.start_interval(now);
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
        // A write that fails or times out needs no action: the proxy ends such a connection itself.
        let _ = timeout(interval, self.write.write_all(text.as_bytes())).await;
    }

    /// Handles a line or the end of the connection; returns an outcome if the connection is over.
    fn handle_line(&mut self, line: Line) -> Option<AttemptOutcome> {
        let (event_log, id) = (&self.context.event_log, self.session);
        if let Some(end) = line.connection_end() {
            let told = self.end_announced;
            event_log.record(Event::Ended { id, end, told });
            self.credit.end_interval(self.context.now());
            return Some(AttemptOutcome::Broken);
        }
        let Line::Text(text) = line else {
            let line = "no text".into();
            event_log.record(Event::Garbled { id, line });
            return None;
        };
        match text.split_once(' ').unwrap_or((&text, "")) {
            ("ACK", number) if self.was_sent(number) => {
                self.handle_acknowledgement(number.parse().unwrap_or(0));
            }
            ("LOAD", _) => {}
            ("MOVE" | "BYE", _) => self.end_announced = true,
            _ => event_log.record(Event::Garbled { id, line: text }),
        }
        None
    }

    /// Whether `number` is that of a message that was sent.
    fn was_sent(&self, number: &str) -> bool {
        let sent = 1..=self.last_message;
        number
            .parse()
            .is_ok_and(|number: u64| sent.contains(&number))
    }

    /// Records the time of the oldest unanswered message if `number` acknowledges it, and whether the current interval
    /// is well served: the answer is in time, and it is that of the last message.
    fn handle_acknowledgement(&mut self, number: u64) {
        let answered = self.unanswered.take_if(|message| number >= message.number);
        if let Some(message) = answered {
            let listener = &self.context.scenario.listeners[usize::from(self.planned.listener)];
            let message_time = self.context.now().saturating_sub(message.sent_at);
            self.credit.well_served =
                message_time <= listener.message_target && number == self.last_message;
            let mut measurements = self.context.service_score.measurements();
            measurements
                .messages
                .saturating_record(message_time.as_micros() as u64);
        }
    }

    /// Ends the connection. Half of the clients announce it by `END` and read the rest; the others just close.
    async fn leave(&mut self, until: Duration) {
        self.credit.end_interval(until);
        let announces_end = self.planned.seed.is_multiple_of(2);
        if announces_end && self.write.write_all(b"END\r\n").await.is_ok() {
            let _ = timeout(LATE_ANSWER_WINDOW, read_to_end(&mut self.lines)).await;
        }
        let _ = timeout(LATE_ANSWER_WINDOW, self.write.shutdown()).await;
    }
}

async fn read_to_end(lines: &mut LineReader) {
    while let Line::Text(_) | Line::Invalid = lines.next().await {}
}
