//! The attempts of a session, one host after the other.

use super::connection::LineConnection;
use super::endpoints::Target;
use super::options::InjectedFault;
use super::request::SessionRequest;
use super::state::ProxyState;
use crate::line_reader::Line;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Longest that an attempt which is not the last may take.
const MAX_ATTEMPT: Duration = Duration::from_millis(400);
/// How long an attempt takes where more of them are wanted than is right.
const HURRIED_ATTEMPT: Duration = Duration::from_millis(60);
/// Attempts that [`InjectedFault::ManyDials`] makes beyond what is allowed.
const EXCESS_DIALS: u64 = 3;

/// What became of all attempts of a session.
pub(super) enum PlacementOutcome {
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
pub(super) enum DialOutcome {
    /// The host has accepted the session with this line.
    Up(String, LineConnection),
    /// The session has not run.
    NotRun,
    /// It may have; the connection, where it is still up.
    MayHaveRun(Option<LineConnection>),
}

/// Attempts until a host accepts the session, no further attempt is allowed, or the client's time is over.
pub(super) async fn place(
    state: &ProxyState,
    request: &SessionRequest<'_>,
    client: &mut LineConnection,
) -> PlacementOutcome {
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
            _ = client.lines.wait_for_end() => return PlacementOutcome::ClientLeft,
        };
        match attempt {
            DialOutcome::Up(first_line, host) => {
                return PlacementOutcome::Up {
                    uid: target.uid,
                    first_line,
                    host,
                };
            }
            DialOutcome::NotRun => {}
            DialOutcome::MayHaveRun(connection) => {
                may_have_run = true;
                if state.injects(InjectedFault::DoubleDial) {
                    kept.extend(connection);
                }
                if !may_run_again(state, request) {
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
    PlacementOutcome::Failed { may_have_run }
}

fn may_run_again(state: &ProxyState, request: &SessionRequest<'_>) -> bool {
    request.listener.is_idempotent || state.injects(InjectedFault::EffectTwice)
}

/// The host of the next attempt.
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

/// One attempt: sends the session to a host, and waits for its first line.
pub(super) async fn dial(
    state: &ProxyState,
    request: &SessionRequest<'_>,
    target: &Target,
    waits: Duration,
) -> DialOutcome {
    let connect_timeout = state.configuration.connect_timeout.min(waits);
    let connecting = timeout(connect_timeout, TcpStream::connect(target.address));
    let Ok(Ok(stream)) = connecting.await else {
        return DialOutcome::NotRun;
    };
    let mut host = LineConnection::new(stream);
    let client_wait = format!(",d={}", request.wait_ms);
    let attempt_wait = format!(",d={}", waits.as_millis());
    let line = request.line.replace(&client_wait, &attempt_wait);
    if host.send(&line).await.is_err() {
        return DialOutcome::MayHaveRun(None);
    }
    match timeout(waits, host.lines.next()).await {
        Ok(Line::Text(line)) if line.starts_with("UP ") => DialOutcome::Up(line, host),
        Ok(Line::Text(line)) if line.starts_with("BUSY") => DialOutcome::NotRun,
        Ok(_) => DialOutcome::MayHaveRun(None),
        Err(_) => DialOutcome::MayHaveRun(Some(host)),
    }
}
