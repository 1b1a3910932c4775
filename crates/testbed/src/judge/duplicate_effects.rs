//! The rule that a session that may have run on a host is not run again where its effect could be duplicated.

use super::rule::{Rule, SessionFinding};
use super::session_context::{SessionContext, findings as findings_of};
use super::session_history::DialHistory;
use crate::event_log::ClientAnswer;
use crate::scenario::{IdempotencyScope, RetrySafety};

/// Unsafe retries by the proxy, and unsafe rejections: the client of a rejected session retries, so that the session
/// may run a second time.
pub(super) fn findings(context: &SessionContext<'_>) -> Vec<SessionFinding> {
    let dials: Vec<&DialHistory> = context.dials().collect();
    let first_run = dials.iter().position(|dial| dial.may_have_run());
    let Some(first_run) = first_run.filter(|_| !is_idempotent(context)) else {
        return Vec::new();
    };
    let first = dials[first_run];
    let unsafe_retries = dials[first_run + 1..]
        .iter()
        .filter(|retry| !retry_is_safe(context, first, retry))
        .map(|retry| {
            let (retried, earlier) = (retry.host, first.host);
            format!("dialled at host {retried} though host {earlier} may have run it")
        });
    let unsafe_rejection = unsafe_rejection(context, first);
    findings_of(
        Rule::NoDuplicateEffect,
        unsafe_retries.chain(unsafe_rejection),
    )
}

fn is_idempotent(context: &SessionContext<'_>) -> bool {
    context.policy.retry_safety == RetrySafety::Idempotent
}

/// Whether the host of the retry recognizes the session's idempotency key and discards the repeat: the key is shared
/// with that host, and its TTL has not passed since the first run.
fn retry_is_safe(context: &SessionContext<'_>, first: &DialHistory, retry: &DialHistory) -> bool {
    let location = |dial: &DialHistory| context.settings.hosts[usize::from(dial.host)];
    let (first_location, retry_location) = (location(first), location(retry));
    let in_scope = match context.policy.idempotency_scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => first_location.zone == retry_location.zone,
        IdempotencyScope::Cell => first_location == retry_location,
    };
    let elapsed = retry.line_read_at.saturating_sub(first.line_read_at);
    let expired = elapsed > context.policy.key_ttl + context.settings.tolerance;
    context.policy.retry_safety != RetrySafety::NotIdempotent && in_scope && !expired
}

/// A rejection after a possible run is safe only where all hosts share idempotency keys: the client may retry at any
/// proxy, and so reach any host.
fn unsafe_rejection(context: &SessionContext<'_>, first: &DialHistory) -> Option<String> {
    let answer = context.session.answers.first()?;
    let rejected = matches!(answer.answer, ClientAnswer::Busy(_));
    let key_known_to_all_hosts = context.policy.retry_safety != RetrySafety::NotIdempotent
        && context.policy.idempotency_scope == IdempotencyScope::All;
    (rejected && !key_known_to_all_hosts)
        .then(|| format!("rejected though host {} may have run it", first.host))
}
