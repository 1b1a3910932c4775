//! The rule that a host that is draining or gone gets no new session once the grace is over.

use super::rule::{Rule, SessionFinding};
use super::session_context::{SessionContext, findings as findings_of};
use super::session_history::DialHistory;

/// Dials at hosts of whose drain the proxy had been notified for longer than the grace.
pub(super) fn findings(context: &SessionContext<'_>) -> Vec<SessionFinding> {
    let grace = context.settings.drain_grace + context.settings.tolerance;
    let too_late = |dial: &DialHistory| {
        let proxies = &context.run.proxies;
        let drained_for =
            proxies.drained_for(context.request.proxy, dial.host, dial.line_read_at)?;
        let after = drained_for.as_millis();
        (drained_for > grace)
            .then(|| format!("dialled at host {} {after} ms after its drain", dial.host))
    };
    let new_dials = context.dials().filter(|dial| !dial.inherited);
    findings_of(Rule::DrainsRespected, new_dials.filter_map(too_late))
}
