//! The order in which sessions are refused while room is short.

use super::{Case, JudgeSettings, Rule};
use crate::event_log::{ClientAnswer, SessionId};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Sessions asked for by which the order of two listeners can be told, and by how much more of what is worth more may be
/// refused: which session comes at which moment is chance.
const FEW: u64 = 40;
const CHANCE: f64 = 0.15;

/// Of sessions that came to a proxy within one second in which it refused any without a dial: how many, how many so refused.
type Sums = BTreeMap<u8, (u64, u64)>;

fn sums<'a>(cases: impl Iterator<Item = &'a Case>) -> Sums {
    let mut seconds: HashMap<(u16, u64), Sums> = HashMap::new();
    for case in cases.filter(|case| !case.inherited) {
        let (Some((at, proxy, listener, _)), Some((_, answer))) =
            (case.asked, case.answers.first())
        else {
            continue;
        };
        let refused = matches!(answer, ClientAnswer::Busy(_)) && case.dials.is_empty();
        let second = seconds.entry((proxy, at.as_secs())).or_default();
        let sum = second.entry(listener).or_default();
        *sum = (sum.0 + 1, sum.1 + u64::from(refused));
    }
    let mut all = Sums::new();
    for second in seconds
        .into_values()
        .filter(|second| second.values().any(|sum| sum.1 > 0))
    {
        for (listener, sum) in second {
            let of = all.entry(listener).or_default();
            *of = (of.0 + sum.0, of.1 + sum.1);
        }
    }
    all
}

/// Listeners of which more is refused than of one that is worth less, where utility is to decide.
pub(super) fn found(
    cases: &BTreeMap<SessionId, Case>,
    terms: &JudgeSettings,
) -> Vec<(Rule, Duration, String)> {
    let Some(utilities) = &terms.order else {
        return Vec::new();
    };
    let sums = sums(cases.values());
    let worth = |listener: u8| {
        utilities
            .get(usize::from(listener))
            .copied()
            .unwrap_or_default()
    };
    let mut found = Vec::new();
    for (more, (all, refused)) in &sums {
        for (less, (others, so)) in sums.iter().filter(|(less, _)| worth(**less) < worth(*more)) {
            let (of, beside) = (*refused as f64 / *all as f64, *so as f64 / *others as f64);
            if *all >= FEW && *others >= FEW && of > beside + CHANCE {
                let what = format!(
                    "of listener {more} {of:.2} were refused, of {less}, worth less, {beside:.2}"
                );
                found.push((Rule::RefusedInOrder, Duration::ZERO, what));
            }
        }
    }
    found
}
