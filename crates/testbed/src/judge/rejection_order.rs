//! The rule that sessions of less priority weight are rejected first while capacity is short.

use super::rule::{Rule, RunFinding};
use super::run_history::RunHistory;
use super::session_history::SessionHistory;
use super::settings::JudgeSettings;
use crate::event_log::ClientAnswer;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Fewest sessions of a listener by which it can be compared with another.
const MIN_SESSIONS: u64 = 40;

/// By how much a larger share of the listener with more weight may be rejected: which session comes at which moment is
/// chance.
const CHANCE: f64 = 0.15;

/// Sessions of one listener that came to a proxy within a second in which it rejected any without a dial.
#[derive(Clone, Copy, Debug, Default)]
struct RejectionCounts {
    sessions: u64,
    /// Of these, the ones that were rejected without a dial.
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

/// By listener.
type ListenerCounts = BTreeMap<u8, RejectionCounts>;

/// Listeners of which more is rejected than of one of less weight, where the weight decides.
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
    for (more, of_more) in &counts {
        for (less, of_less) in &counts {
            if weight(*less) < weight(*more) && rejected_too_often(of_more, of_less) {
                let what = format!(
                    "of listener {more} {:.2} were refused, of {less}, worth less, {:.2}",
                    of_more.rejected_share(),
                    of_less.rejected_share(),
                );
                findings.push(RunFinding {
                    rule: Rule::RejectedByPriority,
                    at: Duration::ZERO,
                    description: what,
                });
            }
        }
    }
    findings
}

fn rejected_too_often(of_more: &RejectionCounts, of_less: &RejectionCounts) -> bool {
    of_more.sessions >= MIN_SESSIONS
        && of_less.sessions >= MIN_SESSIONS
        && of_more.rejected_share() > of_less.rejected_share() + CHANCE
}

fn counts_while_rejecting(run: &RunHistory) -> ListenerCounts {
    let mut seconds: HashMap<(u16, u64), ListenerCounts> = HashMap::new();
    for session in run.sessions.values() {
        let Some(request) = session.request.filter(|request| !request.inherited) else {
            continue;
        };
        let Some(rejected) = rejected_without_dial(session) else {
            continue;
        };
        let second = seconds
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
    for second in seconds.into_values().filter(rejecting) {
        for (listener, counts) in second {
            total.entry(listener).or_default().add(counts);
        }
    }
    total
}

/// None for a session without an answer.
fn rejected_without_dial(session: &SessionHistory) -> Option<bool> {
    let answer = &session.answers.first()?.answer;
    Some(matches!(answer, ClientAnswer::Busy(_)) && session.dials.is_empty())
}
