//! Serves an accepted connection: health checks, and a session from its `OPEN` line to its end.

use super::attempts::{PlacementOutcome, dial, place};
use super::connection::LineConnection;
use super::forwarding::forward;
use super::options::InjectedFault;
use super::request::{SessionRequest, parse_request};
use super::state::ProxyState;
use crate::line_reader::Line;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Time that a connection without a session has to send its next line before it is refused.
const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which [`InjectedFault::NoAnswer`] keeps a connection open without an answer.
const NO_ANSWER_TIME: Duration = Duration::from_secs(20);
/// Time after the client's deadline at which [`InjectedFault::LateAnswer`] answers.
const ANSWER_LATENESS: Duration = Duration::from_millis(700);
/// Time between the two answers of [`InjectedFault::AnswerTwice`].
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(20);
/// Time from the answer until [`InjectedFault::DialAfter`] dials, and time limit of that dial.
const LATE_DIAL_TIME: Duration = Duration::from_millis(300);

/// The answer to a malformed line, and to a session that failed but may have run and is not idempotent.
const ERROR_ANSWER: &str = "ERR";
/// The answer to a failed session that did not run or is idempotent; the client may retry after the given milliseconds.
const BUSY_ANSWER: &str = "BUSY 500";

/// Serves a connection of a client or of the front until it ends.
pub(super) async fn serve_connection(state: Arc<ProxyState>, stream: TcpStream) {
    let mut client = LineConnection::new(stream);
    loop {
        match timeout(LINE_TIMEOUT, client.lines.next()).await {
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
                return forward_malformed_line(&state, &line).await;
            }
            Ok(Line::Fin | Line::Reset) => return,
            _ => return client.close_with(ERROR_ANSWER).await,
        }
    }
}

/// Sends a malformed line to a host, for [`InjectedFault::SendOn`].
async fn forward_malformed_line(state: &ProxyState, line: &str) {
    if let Some(target) = state.pick(&[])
        && let Ok(mut stream) = TcpStream::connect(target.address).await
    {
        let _ = stream.write_all(format!("{line}\r\n").as_bytes()).await;
        let _ = stream.read_u8().await;
    }
}

async fn serve_session(state: &ProxyState, line: &str, client: &mut LineConnection) {
    let request = parse_request(state, line);
    // A client waits for its answer before it sends more, so a second line is an error.
    let Some(request) = request.filter(|_| !client.lines.is_line_ready()) else {
        return client.close_with(ERROR_ANSWER).await;
    };
    if state.injects(InjectedFault::RefuseWorth)
        && request.listener.priority_weight >= state.configuration.highest_priority_weight()
        && state.next_choice_number().is_multiple_of(2)
    {
        return client.close_with(BUSY_ANSWER).await;
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

/// Sends the final answer to a session that no host has accepted, or does what the injected fault does instead.
async fn answer(
    state: &ProxyState,
    request: &SessionRequest<'_>,
    may_have_run: bool,
    client: &mut LineConnection,
) {
    let may_retry =
        request.listener.is_idempotent || !may_have_run || state.injects(InjectedFault::RefuseRun);
    let text = if may_retry { BUSY_ANSWER } else { ERROR_ANSWER };
    match state.fault {
        Some(InjectedFault::NoAnswer) => sleep(NO_ANSWER_TIME).await,
        Some(InjectedFault::LateAnswer) => {
            let answer_at = request.deadline + ANSWER_LATENESS;
            sleep(answer_at.saturating_duration_since(Instant::now())).await;
            client.close_with(text).await;
        }
        Some(InjectedFault::AnswerTwice) => {
            let _ = client.send(text).await;
            sleep(SECOND_ANSWER_DELAY).await;
            client.close_with(ERROR_ANSWER).await;
        }
        Some(InjectedFault::DialAfter) => {
            let _ = client.send(text).await;
            sleep(LATE_DIAL_TIME).await;
            if let Some(target) = state.pick(&[]) {
                dial(state, request, &target, LATE_DIAL_TIME).await;
            }
        }
        _ => client.close_with(text).await,
    }
}
