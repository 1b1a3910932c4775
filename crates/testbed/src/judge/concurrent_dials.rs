//! The rule that a session has at most one dial under way at a time.

use super::rule::{Rule, SessionFinding};
use super::session_context::{SessionContext, findings as findings_of};
use super::session_history::{ConcurrentDials, DialHistory};

/// Dials that were made while the session's previous dial was under way.
///
/// Two cases count: the recorded times overlap by more than the tolerance, or the host that was dialled second found
/// the earlier connection still open in the kernel, which needs no tolerance.
pub(super) fn findings(context: &SessionContext<'_>) -> Vec<SessionFinding> {
    let dials: Vec<(&u32, &DialHistory)> = context.session.dials.iter().collect();
    let concurrent = dials.windows(2).filter_map(|pair| {
        let [(earlier, first), (later, second)] = pair else {
            return None;
        };
        let seen_by_kernel = context.session.concurrent_dials.contains(&ConcurrentDials {
            earlier: **earlier,
            later: **later,
        });
        let second_dialled_at = second.line_read_at + context.settings.tolerance;
        let concurrent = first.under_way_until() > second_dialled_at || seen_by_kernel;
        concurrent.then(|| {
            format!(
                "dials of hosts {} and {} were under way at the same time",
                first.host, second.host
            )
        })
    });
    findings_of(Rule::NoConcurrentDials, concurrent)
}
