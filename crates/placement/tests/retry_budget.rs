//! The retry budget, checked against an oracle that records every retry and session.

use asterramp_placement::deployment::RetryBudgetRule;
use asterramp_placement::retry_budget::RetryBudget;
use std::time::Duration;
use test_case::test_case;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rule(window: Duration, min_retries: f64, retries_per_session: f64) -> RetryBudgetRule {
    RetryBudgetRule {
        window,
        min_retries,
        retries_per_session,
    }
}

/// With traffic in bursts after pauses, the retries that the budget allows must be within the rule at all times, and
/// the budget must allow at least the rule's minimum.
#[test_case(rule(ms(2_000), 10.0, 0.1); "a minimum and a share of sessions")]
#[test_case(rule(ms(2_000), 3.0, 0.0); "a minimum only")]
#[test_case(rule(ms(2_000), 0.0, 0.1); "a share of sessions only")]
#[test_case(rule(ms(7), 2.0, 0.5); "a short window, whose edges are hit")]
#[test_case(rule(ms(10_000_000), 5.0, 0.01); "a window longer than the test")]
fn the_budget_stays_within_the_rule_by_an_oracle(rule: RetryBudgetRule) {
    let mut total_retries = 0;
    for seed in 1..40_u64 {
        let mut budget = RetryBudget::new(Some(rule));
        let mut random_state = seed;
        let mut now = ms(1_700_000_000_000);
        let mut retries = Vec::new();
        let mut sessions = Vec::<Duration>::new();
        let mut draw = |limit: u64| {
            random_state = random_state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (random_state >> 33) % limit
        };
        for _ in 0..600 {
            now += match draw(40) {
                0 => rule.window.min(ms(20_000)) + ms(draw(3)),
                n if n < 25 => Duration::ZERO,
                _ => {
                    rule.window.min(ms(2_000)) / 16 * draw(4) as u32
                        + Duration::from_micros(draw(3))
                }
            };
            if draw(3) > 0 {
                budget.record_session(now);
                sessions.push(now);
            } else if budget.allows_retry(now) {
                budget.record_retry(now);
                retries.push(now);
                // The window's edge counts for retries but not for sessions, the stricter choice for both.
                let counts_as_retry = |at: &&Duration| now - **at <= rule.window;
                let counts_as_session = |at: &&Duration| now - **at < rule.window;
                let limit = rule.min_retries
                    + rule.retries_per_session
                        * sessions.iter().filter(counts_as_session).count() as f64;
                let sent = retries.iter().filter(counts_as_retry).count();
                assert!(
                    sent as f64 <= limit + 1e-6,
                    "{sent} of {limit}, seed {seed}"
                );
            }
        }
        total_retries += retries.len();
    }
    assert!(
        total_retries >= 39 * rule.min_retries as usize,
        "too few retries allowed: {total_retries}"
    );
}
