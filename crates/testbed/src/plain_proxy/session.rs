//! A client's connection: health checks, and the session from its `OPEN` line to its final answer.

use super::configuration::ListenerConfiguration;
use super::connection::LineConnection;
use super::endpoints::Target;
use super::forwarding::forward;
use super::options::InjectedFault;
use super::state::ProxyState;
use crate::line_reader::Line;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// How long a connection may take to say its next line.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait that a client may state, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;
/// Longest that an attempt which is not the last may take.
const MAX_ATTEMPT: Duration = Duration::from_millis(400);
/// How long an attempt takes where more of them are wanted than is right.
const HURRIED_ATTEMPT: Duration = Duration::from_millis(60);
/// Attempts that [`InjectedFault::ManyDials`] makes beyond what is allowed.
const EXCESS_DIALS: u64 = 3;
/// How long [`InjectedFault::NoAnswer`] says nothing.
const SILENCE: Duration = Duration::from_secs(20);
/// How late [`InjectedFault::LateAnswer`] answers.
const LATENESS: Duration = Duration::from_millis(700);
/// How long after the first answer [`InjectedFault::AnswerTwice`] says the second.
const SECOND_ANSWER_AFTER: Duration = Duration::from_millis(20);
/// How long after the answer [`InjectedFault::DialAfter`] dials, and how long it waits then.
const DIALS_AFTER: Duration = Duration::from_millis(300);

/// The answer to what cannot be read, and to a session that failed and may have run.
const ERROR: &str = "ERR";
/// The answer to a session that did not run, or may run again; its Retry-After is in milliseconds.
const REJECTED: &str = "BUSY 500";

/// A session that a client asks for.
struct SessionRequest<'a> {
    /// Its line.
    line: &'a str,
    /// How long the client waits, as its line says.
    wait_ms: u64,
    /// By when the client wants its answer.
    deadline: Instant,
    /// The host that has the client's earlier session.
    assigned: Option<&'a str>,
    listener: &'a ListenerConfiguration,
}

/// What became of all attempts of a session.
enum Placement {
    /// A host has accepted it.
    Up {
        uid: String,
        first_line: String,
        host: LineConnection,
    },
    /// The client has left, or speaks before it is answered.
    ClientLeft,
    /// No host has; whether one may have run it.
    Failed { may_have_run: bool },
}

/// What became of an attempt.
enum Attempt {
    /// The host has accepted the session with this line.
    Up(String, LineConnection),
    /// The session has not run.
    NotRun,
    /// It may have; the connection, where it is still up.
    MayHaveRun(Option<LineConnection>),
}

/// Serves a connection of a client or the front until it ends.
pub(super) async fn serve_connection(state: Arc<ProxyState>, stream: TcpStream) {
    let mut client = LineConnection::new(stream);
    loop {
        match timeout(FIRST_LINE_TIMEOUT, client.lines.next()).await {
            Ok(Line::Text(line)) if line == "PING" => {
                let is_leaving = state.is_leaving.load(Ordering::Relaxed);
                if is_leaving || client.send("PONG").await.is_err() {
                    return;
                }
            }
            Ok(Line::Text(line)) if line.starts_with("OPEN ") => {
                return serve_session(&state, &line, &mut client).await;
            }
            Ok(Line::Text(line)) if state.injects(InjectedFault::SendOn) => {
                return send_on_unread(&state, &line).await;
            }
            Ok(Line::Fin | Line::Reset) => return,
            _ => return client.close_with(ERROR).await,
        }
    }
}

/// Breaks [`InjectedFault::SendOn`]'s rule: a host gets a line that this proxy cannot read.
async fn send_on_unread(state: &ProxyState, line: &str) {
    if let Some(target) = state.pick(&[])
        && let Ok(mut stream) = TcpStream::connect(target.address).await
    {
        let _ = stream.write_all(format!("{line}\r\n").as_bytes()).await;
        let _ = stream.read_u8().await;
    }
}

async fn serve_session(state: &ProxyState, line: &str, client: &mut LineConnection) {
    let request = read_request(state, line);
    // A client waits for its answer, so more than one line is none of its.
    let Some(request) = request.filter(|_| !client.lines.ready()) else {
        return client.close_with(ERROR).await;
    };
    if state.injects(InjectedFault::RefuseWorth)
        && request.listener.utility >= state.configuration.greatest_utility()
        && state.next_turn().is_multiple_of(2)
    {
        return client.close_with(REJECTED).await;
    }
    match place(state, &request, client).await {
        Placement::Up {
            uid,
            first_line,
            host,
        } => {
            state.endpoints.session_opened(&uid);
            let _ = client.send(&first_line).await;
            forward(state, client, host).await;
            state.endpoints.session_closed(&uid);
        }
        Placement::ClientLeft => {}
        Placement::Failed { may_have_run } => answer(state, &request, may_have_run, client).await,
    }
}

/// What an `OPEN` line asks for; `None` for one that cannot be served.
fn read_request<'a>(state: &'a ProxyState, line: &'a str) -> Option<SessionRequest<'a>> {
    let field = |name: &str| line.split([',', ' ']).find_map(|p| p.strip_prefix(name));
    let wait_ms = field("d=")?
        .parse()
        .ok()
        .filter(|wait| *wait <= MAX_WAIT_MS)?;
    let listeners = &state.configuration.listeners;
    let listener = listeners
        .iter()
        .find(|listener| listener.name.as_deref() == field("c="))?;
    Some(SessionRequest {
        line,
        wait_ms,
        deadline: Instant::now() + Duration::from_millis(wait_ms),
        assigned: field("at="),
        listener,
    })
}

/// Attempts until a host accepts the session, no further attempt is allowed, or the client's time is over.
async fn place(
    state: &ProxyState,
    request: &SessionRequest<'_>,
    client: &mut LineConnection,
) -> Placement {
    let many_dials = state.injects(InjectedFault::ManyDials);
    let excess = if many_dials { EXCESS_DIALS } else { 0 };
    let max_dials = state.configuration.max_dials + excess;
    let (mut tried, mut may_have_run) = (Vec::new(), false);
    // Connections that should have been closed before the next attempt.
    let mut kept = Vec::new();
    for number in 1..=max_dials {
        let Some(target) = choose(state, request, &tried) else {
            break;
        };
        let waits = attempt_timeout(state, request.deadline, number == max_dials);
        let attempt = tokio::select! {
            attempt = dial(state, request, &target, waits) => attempt,
            _ = client.lines.end() => return Placement::ClientLeft,
        };
        match attempt {
            Attempt::Up(first_line, host) => {
                return Placement::Up {
                    uid: target.uid,
                    first_line,
                    host,
                };
            }
            Attempt::NotRun => {}
            Attempt::MayHaveRun(connection) => {
                may_have_run = true;
                if state.injects(InjectedFault::DoubleDial) {
                    kept.extend(connection);
                }
                if !request.listener.is_idempotent && !state.injects(InjectedFault::EffectTwice) {
                    break;
                }
            }
        }
        if !many_dials {
            tried.push(target.uid);
        }
        if Instant::now() >= request.deadline {
            break;
        }
    }
    Placement::Failed { may_have_run }
}

fn choose(state: &ProxyState, request: &SessionRequest<'_>, tried: &[String]) -> Option<Target> {
    match request.assigned {
        Some(uid) => state.endpoints.target(uid),
        None => state.pick(tried),
    }
}

/// How long an attempt may take: the last has all the time that is left.
fn attempt_timeout(state: &ProxyState, deadline: Instant, is_last: bool) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    let hurries =
        state.injects(InjectedFault::DoubleDial) || state.injects(InjectedFault::ManyDials);
    if hurries {
        HURRIED_ATTEMPT.min(left)
    } else if is_last {
        left
    } else {
        (left / 2).min(MAX_ATTEMPT)
    }
}

async fn dial(
    state: &ProxyState,
    request: &SessionRequest<'_>,
    target: &Target,
    waits: Duration,
) -> Attempt {
    let connect_timeout = state.configuration.connect_timeout.min(waits);
    let connecting = timeout(connect_timeout, TcpStream::connect(target.address));
    let Ok(Ok(stream)) = connecting.await else {
        return Attempt::NotRun;
    };
    let mut host = LineConnection::new(stream);
    let client_wait = format!(",d={}", request.wait_ms);
    let attempt_wait = format!(",d={}", waits.as_millis());
    let line = request.line.replace(&client_wait, &attempt_wait);
    if host.send(&line).await.is_err() {
        return Attempt::MayHaveRun(None);
    }
    match timeout(waits, host.lines.next()).await {
        Ok(Line::Text(line)) if line.starts_with("UP ") => Attempt::Up(line, host),
        Ok(Line::Text(line)) if line.starts_with("BUSY") => Attempt::NotRun,
        Ok(_) => Attempt::MayHaveRun(None),
        Err(_) => Attempt::MayHaveRun(Some(host)),
    }
}

/// The final answer to a session that no host has accepted.
async fn answer(
    state: &ProxyState,
    request: &SessionRequest<'_>,
    may_have_run: bool,
    client: &mut LineConnection,
) {
    let rejects =
        request.listener.is_idempotent || !may_have_run || state.injects(InjectedFault::RefuseRun);
    let text = if rejects { REJECTED } else { ERROR };
    match state.fault {
        Some(InjectedFault::NoAnswer) => sleep(SILENCE).await,
        Some(InjectedFault::LateAnswer) => {
            let late = request.deadline + LATENESS;
            sleep(late.saturating_duration_since(Instant::now())).await;
            client.close_with(text).await;
        }
        Some(InjectedFault::AnswerTwice) => {
            let _ = client.send(text).await;
            sleep(SECOND_ANSWER_AFTER).await;
            client.close_with(ERROR).await;
        }
        Some(InjectedFault::DialAfter) => {
            let _ = client.send(text).await;
            sleep(DIALS_AFTER).await;
            if let Some(target) = state.pick(&[]) {
                dial(state, request, &target, DIALS_AFTER).await;
            }
        }
        _ => client.close_with(text).await,
    }
}
