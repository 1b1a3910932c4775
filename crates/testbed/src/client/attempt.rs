//! One attempt of a client to open a session: connecting to a proxy, sending `OPEN`, waiting for the answer, and
//! running the open connection if the session is accepted.

use super::open_connection::OpenConnection;
use crate::context::RunContext;
use crate::discovery::host_uid;
use crate::event_log::{ClientAnswer, Event, SessionId};
use crate::front_balancer::FrontBalancer;
use crate::line_reader::{Line, LineReader};
use crate::plan::{PlannedClient, SeededRng};
use crate::scenario::Listener;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// How long a client waits for the TCP connection to its proxy.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client keeps reading after its wait is over, or after a final answer, so that late and extra answers are
/// recorded. It also bounds the reading and the shutdown when a client leaves.
pub(super) const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(1);
/// Value of the field `h` of an `OPEN` line for the whole capacity of a standard host.
const STANDARD_HOST_WORK: f64 = 1e6;

/// The outcome of an attempt, including that of the connection if one was opened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    /// The client wants no further connection.
    Done,
    /// The open connection was migrated or cut off.
    Broken,
    /// The proxy answered `BUSY`.
    Rejected {
        /// Pause before the next attempt that the answer asked for, if any.
        retry_after: Option<Duration>,
    },
    /// The proxy answered anything else, or not at all: the session may have taken effect.
    Failed,
    /// No proxy accepted a connection, or it broke before the request was written.
    Unreachable,
}

/// A client of the plan, with its state across attempts.
pub(super) struct Client<'a> {
    pub(super) context: &'a RunContext,
    front: &'a FrontBalancer,
    planned: &'a PlannedClient,
    /// Seeded from the plan.
    pub(super) random: SeededRng,
    /// Since when it has wanted to be connected without being so, on the plan's clock.
    pub(super) unserved_since: Duration,
    /// It has lost an open connection; further attempts are reconnects.
    pub(super) reconnects: bool,
}

/// A connection to a proxy, before `OPEN` is sent.
struct ProxyConnection {
    proxy: u16,
    lines: LineReader,
    write: OwnedWriteHalf,
}

impl<'a> Client<'a> {
    pub(super) fn new(
        context: &'a RunContext,
        front: &'a FrontBalancer,
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

    /// The listener that the client connects to.
    pub(super) fn listener(&self) -> &'a Listener {
        &self.context.scenario.listeners[usize::from(self.planned.listener)]
    }

    /// Makes one attempt, and runs the connection if it is accepted, at the latest until `until` on the plan's clock.
    pub(super) async fn attempt(&mut self, until: Duration) -> AttemptOutcome {
        let Some(mut connection) = self.connect_to_proxy().await else {
            self.context.service_score.measurements().unreachable += 1;
            return AttemptOutcome::Unreachable;
        };
        let inherited_host = self.planned.inherited_host.filter(|_| !self.reconnects);
        let session = self.context.new_session_id();
        let line = self.open_line(session, inherited_host);
        let written = connection.write.write_all(line.as_bytes()).await;
        if written.is_err() {
            // No proxy is known to have read the request.
            return AttemptOutcome::Unreachable;
        }
        let asked_at = self.context.event_log.now();
        self.record_request(session, connection.proxy, inherited_host.is_some());
        let answer = match self.wait_for_answer(session, &mut connection.lines).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        match answer {
            ClientAnswer::Up => {
                if inherited_host.is_none() {
                    self.record_set_up(asked_at);
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
                .run(until)
                .await
            }
            ClientAnswer::Busy(retry_after_ms) => {
                self.record_extra_answer(session, &mut connection.lines)
                    .await;
                let retry_after = retry_after_ms.map(Duration::from_millis);
                AttemptOutcome::Rejected { retry_after }
            }
            ClientAnswer::Failed => {
                self.record_extra_answer(session, &mut connection.lines)
                    .await;
                AttemptOutcome::Failed
            }
        }
    }

    /// Connects to the proxy that the front balancer picks; `None` if there is none or it does not accept.
    async fn connect_to_proxy(&mut self) -> Option<ProxyConnection> {
        let draw = self.random.random();
        let proxy = self.front.select_proxy(self.planned.zone, draw)?;
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

    /// The session's `OPEN` line; `inherited_host` is the host of a session that counts as connected since before the
    /// run.
    fn open_line(&self, session: SessionId, inherited_host: Option<u16>) -> String {
        let planned = self.planned;
        let listener = self.listener();
        let tenant = &self.context.scenario.tenants[usize::from(planned.tenant)].name;
        let (hash_key, name) = (planned.hash_key, &listener.name);
        let wait = listener.answer_timeout.as_millis();
        let work = planned.work * STANDARD_HOST_WORK;
        let mut line =
            format!("OPEN {session:016x} {hash_key:016x} c={name},t={tenant},d={wait},h={work:.1}");
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

    fn record_request(&self, session: SessionId, proxy: u16, inherited: bool) {
        self.context.event_log.record(Event::Asked {
            id: session,
            proxy,
            place: self.planned.zone,
            listener: self.planned.listener,
            wait: self.listener().answer_timeout,
            inherited,
        });
    }

    /// Waits for the answer and records it. Without an answer it records how the attempt ended, and returns its
    /// outcome.
    async fn wait_for_answer(
        &self,
        session: SessionId,
        lines: &mut LineReader,
    ) -> Result<ClientAnswer, AttemptOutcome> {
        let (event_log, id) = (&self.context.event_log, session);
        let wait = self.listener().answer_timeout;
        let max_wait = wait + self.context.scenario.platform.answer_slack + LATE_ANSWER_WINDOW;
        let patience = self.planned.leaves_after.filter(|_| !self.reconnects);
        let leaves_after = patience.map_or(max_wait, |patience| patience.min(max_wait));
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
        let answer = parse_answer(&line);
        event_log.record(Event::Answered {
            id,
            answer: answer.clone(),
        });
        Ok(answer)
    }

    /// Records the set-up time and the answer time of an accepted session.
    fn record_set_up(&self, asked_at: Duration) {
        let waited = self.context.now().saturating_sub(self.unserved_since);
        let answer_time = self.context.event_log.now() - asked_at;
        let mut measurements = self.context.service_score.measurements();
        let set_ups = &mut measurements.set_ups[usize::from(self.planned.listener)];
        set_ups.saturating_record(waited.as_micros() as u64);
        measurements
            .answers
            .saturating_record(answer_time.as_micros() as u64);
    }

    /// Waits for the end of the connection after a final answer. Only the end may follow, so a further line is recorded
    /// as another answer, which breaks a rule.
    async fn record_extra_answer(&self, id: SessionId, lines: &mut LineReader) {
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

/// The client's answer by the first line that it reads.
fn parse_answer(line: &Line) -> ClientAnswer {
    match line {
        Line::Text(line) if line.starts_with("UP ") => ClientAnswer::Up,
        Line::Text(line) if line == "BUSY" || line.starts_with("BUSY ") => {
            ClientAnswer::Busy(line.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok()))
        }
        _ => ClientAnswer::Failed,
    }
}
