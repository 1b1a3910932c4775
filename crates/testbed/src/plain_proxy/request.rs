//! What a client asks for by an `OPEN` line.

use super::configuration::ListenerConfiguration;
use super::state::ProxyState;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait that a client may state, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// A session that a client asks for.
pub(super) struct SessionRequest<'a> {
    /// Its line.
    pub(super) line: &'a str,
    /// How long the client waits, as its line says.
    pub(super) wait_ms: u64,
    /// By when the client wants its answer.
    pub(super) deadline: Instant,
    /// The host that has the client's earlier session.
    pub(super) assigned: Option<&'a str>,
    pub(super) listener: &'a ListenerConfiguration,
}

/// What an `OPEN` line asks for; `None` for one that cannot be served.
pub(super) fn read_request<'a>(state: &'a ProxyState, line: &'a str) -> Option<SessionRequest<'a>> {
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
