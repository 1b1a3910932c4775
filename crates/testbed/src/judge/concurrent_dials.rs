//! The rule that a session has one dial under way at a time.

use super::rule::{Rule, SessionFinding};
use super::session_context::{SessionContext, findings as findings_of};
use super::session_history::{ConcurrentDials, DialHistory};

/// Dials that were made while the one before was under way: by the clock, or beyond doubt by the kernel.
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
        let second_dialled = second.line_read_at + context.settings.tolerance;
        let concurrent = first.under_way_until() > second_dialled || seen_by_kernel;
        concurrent.then(|| {
            format!(
                "dials at hosts {} and {} were out at once",
                first.host, second.host
            )
        })
    });
    findings_of(Rule::NoConcurrentDials, concurrent)
}
