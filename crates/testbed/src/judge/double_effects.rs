//! The rule that a session that may have run is not run again where that could have an effect twice.

use super::rule::{Rule, SessionFinding};
use super::session_context::{SessionContext, findings as findings_of};
use super::session_history::DialHistory;
use crate::event_log::ClientAnswer;
use crate::scenario::{IdempotencyScope, RetrySafety};

/// Retries, and rejections after which the client retries, that could run the session a second time.
pub(super) fn findings(context: &SessionContext<'_>) -> Vec<SessionFinding> {
    let dials: Vec<&DialHistory> = context.dials().collect();
    let first_effect = dials.iter().position(|dial| dial.may_have_run());
    let Some(first_effect) = first_effect.filter(|_| !is_repeatable(context)) else {
        return Vec::new();
    };
    let first = dials[first_effect];
    let unsafe_retries = dials[first_effect + 1..]
        .iter()
        .filter(|retry| !retry_is_safe(context, first, retry))
        .map(|retry| {
            let (at, before) = (retry.host, first.host);
            format!("dialled at host {at} though host {before} may have run it")
        });
    let unsafe_rejection = unsafe_rejection(context, first);
    findings_of(
        Rule::NoDuplicateEffect,
        unsafe_retries.chain(unsafe_rejection),
    )
}

fn is_repeatable(context: &SessionContext<'_>) -> bool {
    context.policy.retry_safety == RetrySafety::Idempotent
}

/// Whether the host of the retry discards it as a repeat, by its idempotency key.
fn retry_is_safe(context: &SessionContext<'_>, first: &DialHistory, retry: &DialHistory) -> bool {
    let location = |dial: &DialHistory| context.settings.hosts[usize::from(dial.host)];
    let (first_location, retry_location) = (location(first), location(retry));
    let in_scope = match context.policy.idempotency_scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => first_location.zone == retry_location.zone,
        IdempotencyScope::Cell => first_location == retry_location,
    };
    let elapsed = retry.line_read_at.saturating_sub(first.line_read_at);
    let forgotten = elapsed > context.policy.key_ttl + context.settings.tolerance;
    context.policy.retry_safety != RetrySafety::NotIdempotent && in_scope && !forgotten
}

/// A client that is rejected asks again, anywhere.
fn unsafe_rejection(context: &SessionContext<'_>, first: &DialHistory) -> Option<String> {
    let answer = context.session.answers.first()?;
    let rejected = matches!(answer.answer, ClientAnswer::Busy(_));
    let known_everywhere = context.policy.retry_safety != RetrySafety::NotIdempotent
        && context.policy.idempotency_scope == IdempotencyScope::All;
    (rejected && !known_everywhere)
        .then(|| format!("refused though host {} may have run it", first.host))
}
