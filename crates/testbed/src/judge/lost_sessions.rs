//! The rule that no session is lost: it gets one final answer in time, its lines are neither delayed nor invented, and
//! its open connection is not cut off.

use super::intervals::Interval;
use super::rule::{Rule, SessionFinding};
use super::session_context::{SessionContext, findings as findings_of};
use std::time::Duration;

/// How long a line may take between client and host through the proxy.
const MAX_LINE_DELAY: Duration = Duration::from_secs(1);

/// Every way in which the session's events show it lost.
pub(super) fn findings(context: &SessionContext<'_>) -> Vec<SessionFinding> {
    let mut descriptions = Vec::new();
    descriptions.extend(several_answers(context));
    descriptions.extend(late_or_missing_answer(context));
    descriptions.extend(unexpected_lines(context));
    descriptions.extend(delayed_lines(context));
    descriptions.extend(cut_off(context));
    descriptions.extend(dials_after_answer(context));
    descriptions.extend(too_many_dials(context));
    findings_of(Rule::NoSessionLost, descriptions)
}

fn several_answers(context: &SessionContext<'_>) -> Option<String> {
    let answers = context.session.answers.len();
    (answers > 1).then(|| format!("{answers} final answers"))
}

fn late_or_missing_answer(context: &SessionContext<'_>) -> Option<String> {
    let (request, session) = (&context.request, context.session);
    let due = context.answer_due();
    if context.client_link_failed(due.saturating_add(context.settings.tolerance)) {
        return None;
    }
    if let Some(answer) = session.answers.first() {
        let late = answer.at > due && !request.inherited;
        let late_by = answer.at.saturating_sub(context.wait_over()).as_millis();
        return late.then(|| format!("answered {late_by} ms after its time"));
    }
    if session.client_left.is_some_and(|left| left <= due) {
        return None;
    }
    if let Some(cut) = session.cut {
        let excused = context.died_with_proxy(cut.at);
        let description = format!("its connection ended by {:?} without an answer", cut.end);
        return (!excused).then_some(description);
    }
    let excused = context.run.end < due || context.died_with_proxy(due) || request.inherited;
    (!excused).then(|| "no answer in time".into())
}

fn unexpected_lines(context: &SessionContext<'_>) -> impl Iterator<Item = String> {
    let lines = context.session.unexpected_lines.iter();
    lines.map(|line| format!("its client read {line:?}, which no host sent"))
}

/// Lines that were delayed for longer than [`MAX_LINE_DELAY`]. A stopped proxy and a failed link excuse any delay.
fn delayed_lines(context: &SessionContext<'_>) -> Vec<String> {
    let delays = &context.session.line_delays;
    let excused = || {
        context.proxy_stalled()
            || context.host_link_failed()
            || context.client_link_failed(Duration::MAX)
    };
    if delays.is_empty() || excused() {
        return Vec::new();
    }
    delays
        .iter()
        .filter(|delay| **delay > MAX_LINE_DELAY + context.settings.tolerance)
        .map(|delay| format!("a line was delayed by {} ms", delay.as_millis()))
        .collect()
}

/// An open connection that ended without `MOVE` or `BYE`, unless its host ended it, its proxy was killed or the
/// client's link failed.
fn cut_off(context: &SessionContext<'_>) -> Option<String> {
    let end = context.session.end.filter(|end| !end.notified)?;
    let accepted_by = context.dials().find(|dial| dial.accepted());
    let by_host = accepted_by.is_some_and(|dial| dial.end.is_none_or(|end| end.by_host));
    let until = end.at + context.settings.tolerance;
    let open = Interval {
        from: context.request.at,
        to: until,
    };
    let proxy_died = context.run.proxies.died(context.request.proxy, open);
    let excused = by_host || proxy_died || context.client_link_failed(until);
    (!excused).then(|| format!("its open connection was cut off by {:?}", end.end))
}

fn dials_after_answer(context: &SessionContext<'_>) -> Vec<String> {
    let Some(answer) = context.session.answers.first() else {
        return Vec::new();
    };
    let answered = answer.at + context.settings.tolerance;
    context
        .dials()
        .filter(|dial| dial.line_read_at > answered)
        .map(|dial| format!("dialled at host {} after its final answer", dial.host))
        .collect()
}

fn too_many_dials(context: &SessionContext<'_>) -> Option<String> {
    let dials = context.session.dials.len();
    (dials > context.settings.max_dials).then(|| format!("{dials} dials"))
}
