//! The rule that sessions of listeners with less priority weight are rejected first while capacity is short.

use super::rule::{Rule, RunFinding};
use super::run_history::RunHistory;
use super::session_history::SessionHistory;
use super::settings::JudgeSettings;
use crate::event_log::ClientAnswer;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Least number of sessions that a listener needs to be compared with another.
const MIN_SESSIONS: u64 = 40;

/// By how much the rejected share of the listener with more weight may exceed that of the other listener, because which
/// session arrives at which moment is random.
const MAX_SHARE_EXCESS: f64 = 0.15;

/// Sessions of one listener that arrived in seconds in which their proxy rejected at least one session without a dial.
#[derive(Clone, Copy, Debug, Default)]
struct RejectionCounts {
    sessions: u64,
    /// Sessions among them that were rejected without a dial.
    rejected: u64,
}

impl RejectionCounts {
    fn add(&mut self, other: RejectionCounts) {
        self.sessions += other.sessions;
        self.rejected += other.rejected;
    }

    fn rejected_share(&self) -> f64 {
        self.rejected as f64 / self.sessions as f64
    }
}

/// The counts of each listener, by its index.
type ListenerCounts = BTreeMap<u8, RejectionCounts>;

/// Pairs of listeners of which the one with more weight had a clearly larger share rejected. Nothing is checked where
/// the scenario does not reject by priority.
pub(super) fn findings(run: &RunHistory, settings: &JudgeSettings) -> Vec<RunFinding> {
    let Some(weights) = &settings.priority_weights else {
        return Vec::new();
    };
    let weight = |listener: u8| {
        let weight = weights.get(usize::from(listener)).copied();
        weight.unwrap_or_default()
    };
    let counts = counts_while_rejecting(run);
    let mut findings = Vec::new();
    for (heavier, heavier_counts) in &counts {
        for (lighter, lighter_counts) in &counts {
            if weight(*lighter) < weight(*heavier)
                && rejected_too_often(heavier_counts, lighter_counts)
            {
                let description = format!(
                    "of listener {heavier} {:.2} were rejected, of {lighter}, with less weight, {:.2}",
                    heavier_counts.rejected_share(),
                    lighter_counts.rejected_share(),
                );
                findings.push(RunFinding {
                    rule: Rule::RejectedByPriority,
                    at: Duration::ZERO,
                    description,
                });
            }
        }
    }
    findings
}

fn rejected_too_often(heavier: &RejectionCounts, lighter: &RejectionCounts) -> bool {
    heavier.sessions >= MIN_SESSIONS
        && lighter.sessions >= MIN_SESSIONS
        && heavier.rejected_share() > lighter.rejected_share() + MAX_SHARE_EXCESS
}

/// Sums the sessions of each listener over the seconds of each proxy in which it rejected any session without a dial.
/// Inherited and unanswered sessions are left out.
fn counts_while_rejecting(run: &RunHistory) -> ListenerCounts {
    let mut counts_by_second: HashMap<(u16, u64), ListenerCounts> = HashMap::new();
    for session in run.sessions.values() {
        let Some(request) = session.request.filter(|request| !request.inherited) else {
            continue;
        };
        let Some(rejected) = rejected_without_dial(session) else {
            continue;
        };
        let second = counts_by_second
            .entry((request.proxy, request.at.as_secs()))
            .or_default();
        second
            .entry(request.listener)
            .or_default()
            .add(RejectionCounts {
                sessions: 1,
                rejected: u64::from(rejected),
            });
    }
    let mut total = ListenerCounts::new();
    let rejecting = |second: &ListenerCounts| second.values().any(|listener| listener.rejected > 0);
    for second in counts_by_second.into_values().filter(rejecting) {
        for (listener, counts) in second {
            total.entry(listener).or_default().add(counts);
        }
    }
    total
}

/// Whether the session was rejected without a dial; `None` for a session without an answer.
fn rejected_without_dial(session: &SessionHistory) -> Option<bool> {
    let answer = &session.answers.first()?.answer;
    Some(matches!(answer, ClientAnswer::Busy(_)) && session.dials.is_empty())
}
