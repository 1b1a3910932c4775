//! The rule that a host that is draining or gone gets no new session after the grace period.

use super::rule::{Rule, SessionFinding};
use super::session_context::{SessionContext, findings as findings_of};
use super::session_history::DialHistory;

/// Dials of a host made later than the grace period after the proxy was notified of the host's drain.
pub(super) fn findings(context: &SessionContext<'_>) -> Vec<SessionFinding> {
    let grace = context.settings.drain_grace + context.settings.tolerance;
    let too_late = |dial: &DialHistory| {
        let proxies = &context.run.proxies;
        let drained_for =
            proxies.drained_for(context.request.proxy, dial.host, dial.line_read_at)?;
        let drained_ms = drained_for.as_millis();
        (drained_for > grace).then(|| {
            format!(
                "dialled at host {} {drained_ms} ms after its drain",
                dial.host
            )
        })
    };
    let new_dials = context.dials().filter(|dial| !dial.inherited);
    findings_of(Rule::DrainsRespected, new_dials.filter_map(too_late))
}
