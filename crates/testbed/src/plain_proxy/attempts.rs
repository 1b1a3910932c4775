//! Places a session by attempts at one host after another.

use super::connection::LineConnection;
use super::endpoints::Target;
use super::options::InjectedFault;
use super::request::SessionRequest;
use super::state::ProxyState;
use crate::line_reader::Line;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Longest time of an attempt that is not the last; the last has all the time that is left.
const MAX_ATTEMPT_TIME: Duration = Duration::from_millis(400);
/// Longest time of an attempt under [`InjectedFault::DoubleDial`] and [`InjectedFault::ManyDials`], so short that several
/// attempts fit into the client's time.
const SHORT_ATTEMPT_TIME: Duration = Duration::from_millis(60);
/// Attempts that [`InjectedFault::ManyDials`] makes beyond the allowed number.
const EXCESS_DIALS: u64 = 3;

/// The outcome of all attempts of a session.
pub(super) enum PlacementOutcome {
    /// A host has accepted it.
    Up {
        /// The host's uid.
        uid: String,
        /// The host's `UP` line, which the client gets.
        first_line: String,
        /// The connection to the host.
        host: LineConnection,
    },
    /// The client has closed its connection, or sent a line before its answer.
    ClientLeft,
    /// No host has accepted it; `may_have_run` if a host may have run it nevertheless.
    Failed { may_have_run: bool },
}

/// The outcome of one attempt.
pub(super) enum DialOutcome {
    /// The host has accepted the session with this line.
    Up(String, LineConnection),
    /// The host has not run the session.
    NotRun,
    /// The host may have run the session; holds the connection if it is still open.
    MayHaveRun(Option<LineConnection>),
}

/// Makes attempts until a host accepts the session, no further attempt is allowed, or the client's time is over.
pub(super) async fn place(
    state: &ProxyState,
    request: &SessionRequest<'_>,
    client: &mut LineConnection,
) -> PlacementOutcome {
    let many_dials = state.injects(InjectedFault::ManyDials);
    let excess_dials = if many_dials { EXCESS_DIALS } else { 0 };
    let max_dials = state.configuration.max_dials + excess_dials;
    let (mut tried, mut may_have_run) = (Vec::new(), false);
    // Connections left open by `DoubleDial`, which should have been closed before the next attempt.
    let mut unclosed_connections = Vec::new();
    for number in 1..=max_dials {
        let Some(target) = choose_target(state, request, &tried) else {
            break;
        };
        let time_limit = attempt_time(state, request.deadline, number == max_dials);
        let attempt = tokio::select! {
            attempt = dial(state, request, &target, time_limit) => attempt,
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
                    unclosed_connections.extend(connection);
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

/// The host of the next attempt: the one that has the client's earlier session, or one by the policy.
fn choose_target(
    state: &ProxyState,
    request: &SessionRequest<'_>,
    tried: &[String],
) -> Option<Target> {
    match request.assigned {
        Some(uid) => state.endpoints.target(uid),
        None => state.pick(tried),
    }
}

/// The time limit of an attempt. Each but the last has at most half of the time that is left.
fn attempt_time(state: &ProxyState, deadline: Instant, is_last: bool) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    let is_short =
        state.injects(InjectedFault::DoubleDial) || state.injects(InjectedFault::ManyDials);
    if is_short {
        SHORT_ATTEMPT_TIME.min(left)
    } else if is_last {
        left
    } else {
        (left / 2).min(MAX_ATTEMPT_TIME)
    }
}

/// One attempt: sends the session's line to a host, and waits up to `time_limit` for its first line.
pub(super) async fn dial(
    state: &ProxyState,
    request: &SessionRequest<'_>,
    target: &Target,
    time_limit: Duration,
) -> DialOutcome {
    let connect_timeout = state.configuration.connect_timeout.min(time_limit);
    let connecting = timeout(connect_timeout, TcpStream::connect(target.address));
    let Ok(Ok(stream)) = connecting.await else {
        return DialOutcome::NotRun;
    };
    let mut host = LineConnection::new(stream);
    let client_wait = format!(",d={}", request.wait_ms);
    let attempt_wait = format!(",d={}", time_limit.as_millis());
    let line = request.line.replace(&client_wait, &attempt_wait);
    if host.send(&line).await.is_err() {
        return DialOutcome::MayHaveRun(None);
    }
    match timeout(time_limit, host.lines.next()).await {
        Ok(Line::Text(line)) if line.starts_with("UP ") => DialOutcome::Up(line, host),
        Ok(Line::Text(line)) if line.starts_with("BUSY") => DialOutcome::NotRun,
        Ok(_) => DialOutcome::MayHaveRun(None),
        Err(_) => DialOutcome::MayHaveRun(Some(host)),
    }
}
