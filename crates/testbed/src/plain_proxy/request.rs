//! Parses a client's `OPEN` line.

use super::configuration::ListenerConfiguration;
use super::state::ProxyState;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait that an `OPEN` line may state, in milliseconds (one hour); lines with a longer one are refused.
const MAX_WAIT_MS: u64 = 3_600_000;

/// A client's request for a session.
pub(super) struct SessionRequest<'a> {
    /// The `OPEN` line, as the client sent it.
    pub(super) line: &'a str,
    /// How long the client waits for its answer, in milliseconds (the `d=` field).
    pub(super) wait_ms: u64,
    /// When the client's wait is over.
    pub(super) deadline: Instant,
    /// The uid of the host that has the client's earlier session (the `at=` field), if there is one.
    pub(super) assigned: Option<&'a str>,
    /// The listener that the `c=` field names.
    pub(super) listener: &'a ListenerConfiguration,
}

/// Parses an `OPEN` line; `None` if its wait is missing or invalid, or its listener unknown.
pub(super) fn parse_request<'a>(
    state: &'a ProxyState,
    line: &'a str,
) -> Option<SessionRequest<'a>> {
    let field = |name: &str| {
        line.split([',', ' '])
            .find_map(|part| part.strip_prefix(name))
    };
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
