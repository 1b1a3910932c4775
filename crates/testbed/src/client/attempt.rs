//! One attempt of a client to get a session, and the connection that comes of it.

use super::open_connection::OpenConnection;
use crate::context::RunContext;
use crate::discovery::host_uid;
use crate::event_log::{ClientAnswer, Event, SessionId};
use crate::front::Front;
use crate::line_reader::{Line, LineReader};
use crate::plan::{PlannedClient, SeededRng};
use crate::scenario::Listener;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// How long a client waits for a connection to its proxy.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long past its time a client stays to see whether an answer comes, or anything behind one.
pub(super) const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(1);
/// How many of a standard host's units of work a line's `h` counts.
const WORK_UNITS: f64 = 1e6;

/// How one connection, or the attempt to have one, ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    /// The client wanted no more.
    Done,
    /// Moved, or cut off, once it was up.
    Broken,
    /// Answered by `BUSY`.
    Rejected {
        /// After which time it may come again, if that was said.
        retry_after: Option<Duration>,
    },
    /// Answered by anything else, or not at all.
    Failed,
    /// There was no proxy that took a connection.
    Unreachable,
}

/// A client of the plan.
pub(super) struct Client<'a> {
    pub(super) context: &'a RunContext,
    front: &'a Front,
    planned: &'a PlannedClient,
    pub(super) random: SeededRng,
    /// Since when it has wanted what it has not got.
    pub(super) unserved_since: Duration,
    /// It had a connection before.
    pub(super) reconnects: bool,
}

/// A connection to a proxy.
struct ProxyConnection {
    proxy: u16,
    lines: LineReader,
    write: OwnedWriteHalf,
}

impl<'a> Client<'a> {
    pub(super) fn new(
        context: &'a RunContext,
        front: &'a Front,
        planned: &'a PlannedClient,
    ) -> Client<'a> {
        Client {
            context,
            front,
            planned,
            random: SeededRng::seed_from_u64(planned.seed),
            unserved_since: planned.at,
            reconnects: false,
        }
    }

    /// The listener that it connects to.
    pub(super) fn listener(&self) -> &'a Listener {
        &self.context.scenario.listeners[usize::from(self.planned.listener)]
    }

    /// One attempt, and the connection that comes of it.
    pub(super) async fn connect(&mut self, ends: Duration) -> AttemptOutcome {
        let Some(mut connection) = self.connect_to_proxy().await else {
            self.context.service_score.measurements().unreachable += 1;
            return AttemptOutcome::Unreachable;
        };
        let inherited_host = self.planned.inherited_host.filter(|_| !self.reconnects);
        let session = self.context.new_session_id();
        let line = self.open_line(session, inherited_host);
        let written = connection.write.write_all(line.as_bytes()).await;
        if written.is_err() {
            // Nothing shows that it was taken.
            return AttemptOutcome::Unreachable;
        }
        let asked_at = self.context.event_log.now();
        self.record_asked(session, connection.proxy, inherited_host.is_some());
        let answer = match self.wait_for_answer(session, &mut connection.lines).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        match answer {
            ClientAnswer::Up => {
                if inherited_host.is_none() {
                    self.score_set_up(asked_at);
                }
                self.unserved_since = self.context.now();
                OpenConnection::new(
                    self.context,
                    self.planned,
                    &mut self.random,
                    session,
                    connection.lines,
                    connection.write,
                )
                .serve(ends)
                .await
            }
            ClientAnswer::Busy(retry_after_ms) => {
                self.expect_end(session, &mut connection.lines).await;
                let retry_after = retry_after_ms.map(Duration::from_millis);
                AttemptOutcome::Rejected { retry_after }
            }
            ClientAnswer::Failed => {
                self.expect_end(session, &mut connection.lines).await;
                AttemptOutcome::Failed
            }
        }
    }

    /// Connects to the proxy that the front gives it.
    async fn connect_to_proxy(&mut self) -> Option<ProxyConnection> {
        let draw = self.random.random();
        let proxy = self.front.pick(self.planned.zone, draw)?;
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(proxy.address)).await;
        let stream = connected.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Some(ProxyConnection {
            proxy: proxy.number,
            lines: LineReader::new(read),
            write,
        })
    }

    /// A session's first line; `inherited_host` is where it has been connected since before the run.
    fn open_line(&self, session: SessionId, inherited_host: Option<u16>) -> String {
        let planned = self.planned;
        let listener = self.listener();
        let member = &self.context.scenario.tenants[usize::from(planned.tenant)].name;
        let (item, name) = (planned.item, &listener.name);
        let wait = listener.answer_timeout.as_millis();
        let work = planned.work * WORK_UNITS;
        let mut line =
            format!("OPEN {session:016x} {item:016x} c={name},t={member},d={wait},h={work:.1}");
        if let Some(group) = planned.group {
            line += &format!(",g={group:016x}");
        }
        if self.reconnects {
            line += ",again=1";
        }
        if let Some(host) = inherited_host {
            line += &format!(",at={}", host_uid(host));
        }
        line + "\r\n"
    }

    fn record_asked(&self, session: SessionId, proxy: u16, inherited: bool) {
        self.context.event_log.record(Event::Asked {
            id: session,
            proxy,
            place: self.planned.zone,
            listener: self.planned.listener,
            wait: self.listener().answer_timeout,
            inherited,
        });
    }

    /// Waits for the answer and records it, or how the attempt ended without one.
    async fn wait_for_answer(
        &self,
        session: SessionId,
        lines: &mut LineReader,
    ) -> Result<ClientAnswer, AttemptOutcome> {
        let (event_log, id) = (&self.context.event_log, session);
        let wait = self.listener().answer_timeout;
        let longest = wait + self.context.scenario.platform.answer_slack + LATE_ANSWER_WINDOW;
        let patience = self.planned.leaves_after.filter(|_| !self.reconnects);
        let leaves_after = patience.map_or(longest, |patience| patience.min(longest));
        let Ok(line) = timeout(leaves_after, lines.next()).await else {
            event_log.record(Event::Left { id });
            return Err(if leaves_after < wait {
                AttemptOutcome::Done
            } else {
                AttemptOutcome::Failed
            });
        };
        if let Some(end) = line.connection_end() {
            event_log.record(Event::Cut { id, end });
            return Err(AttemptOutcome::Failed);
        }
        let answer = answer_of(&line);
        event_log.record(Event::Answered {
            id,
            answer: answer.clone(),
        });
        Ok(answer)
    }

    /// Scores how long a session took to come up.
    fn score_set_up(&self, asked_at: Duration) {
        let waited = self.context.now().saturating_sub(self.unserved_since);
        let took = self.context.event_log.now() - asked_at;
        let mut marks = self.context.service_score.measurements();
        let set_ups = &mut marks.set_ups[usize::from(self.planned.listener)];
        set_ups.saturating_record(waited.as_micros() as u64);
        marks.answers.saturating_record(took.as_micros() as u64);
    }

    /// Nothing may follow a final answer but the end.
    async fn expect_end(&self, id: SessionId, lines: &mut LineReader) {
        if let Ok(Line::Text(line)) = timeout(LATE_ANSWER_WINDOW, lines.next()).await {
            let answer = if line.starts_with("UP ") {
                ClientAnswer::Up
            } else {
                ClientAnswer::Failed
            };
            self.context
                .event_log
                .record(Event::Answered { id, answer });
        }
    }
}

/// What a first line tells a client.
fn answer_of(line: &Line) -> ClientAnswer {
    match line {
        Line::Text(line) if line.starts_with("UP ") => ClientAnswer::Up,
        Line::Text(line) if line == "BUSY" || line.starts_with("BUSY ") => {
            ClientAnswer::Busy(line.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok()))
        }
        _ => ClientAnswer::Failed,
    }
}
