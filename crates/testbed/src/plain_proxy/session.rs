//! A client's connection: health checks, and a session from its `OPEN` line to its end.

use super::attempts::{PlacementOutcome, dial, place};
use super::connection::LineConnection;
use super::forwarding::forward;
use super::options::InjectedFault;
use super::request::{SessionRequest, read_request};
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

/// Serves a connection of a client or the front until it ends.
pub(super) async fn serve_connection(state: Arc<ProxyState>, stream: TcpStream) {
    let mut client = LineConnection::new(stream);
    loop {
        match timeout(FIRST_LINE_TIMEOUT, client.lines.next()).await {
            Ok(Line::Text(line)) if line == "PING" => {
                let is_shutting_down = state.is_shutting_down.load(Ordering::Relaxed);
                if is_shutting_down || client.send("PONG").await.is_err() {
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
    let Some(request) = request.filter(|_| !client.lines.is_line_ready()) else {
        return client.close_with(ERROR).await;
    };
    if state.injects(InjectedFault::RefuseWorth)
        && request.listener.priority_weight >= state.configuration.highest_priority_weight()
        && state.next_choice_number().is_multiple_of(2)
    {
        return client.close_with(REJECTED).await;
    }
    match place(state, &request, client).await {
        PlacementOutcome::Up {
            uid,
            first_line,
            host,
        } => {
            state.endpoints.session_opened(&uid);
            let _ = client.send(&first_line).await;
            forward(state, client, host).await;
            state.endpoints.session_closed(&uid);
        }
        PlacementOutcome::ClientLeft => {}
        PlacementOutcome::Failed { may_have_run } => {
            answer(state, &request, may_have_run, client).await
        }
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
