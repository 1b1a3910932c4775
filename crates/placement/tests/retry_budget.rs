//! The retry budget, against an oracle that keeps every retry.

use asterramp_placement::deployment::RetryBudgetRule;
use asterramp_placement::retry_budget::RetryBudget;
use std::time::Duration;
use test_case::test_case;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn rule(over: Duration, free: f64, share: f64) -> RetryBudgetRule {
    RetryBudgetRule {
        window: over,
        min_retries: free,
        retries_per_session: share,
    }
}

/// Traffic in bursts after silence; what the budget lets out must be within the rule at every moment, and, where the
/// rule leaves plenty, be let out.
#[test_case(rule(ms(2_000), 10.0, 0.1); "a few and a share")]
#[test_case(rule(ms(2_000), 3.0, 0.0); "a share of zero")]
#[test_case(rule(ms(2_000), 0.0, 0.1); "none free")]
#[test_case(rule(ms(7), 2.0, 0.5); "a short span, whose edges are hit")]
#[test_case(rule(ms(10_000_000), 5.0, 0.01); "a span longer than the run")]
fn it_stays_within_the_rule_of_an_oracle(rule: RetryBudgetRule) {
    let mut sent = 0;
    for seed in 1..40_u64 {
        let mut budget = RetryBudget::new(Some(rule));
        let mut chance = seed;
        let mut now = ms(1_700_000_000_000);
        let mut retries = Vec::new();
        let mut sessions = Vec::<Duration>::new();
        let mut draw = |n: u64| {
            chance = chance
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (chance >> 33) % n
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
                // Both edges, each the one that is worse for the rule.
                let young = |at: &&Duration| now - **at <= rule.window;
                let inside = |at: &&Duration| now - **at < rule.window;
                let limit = rule.min_retries
                    + rule.retries_per_session * sessions.iter().filter(inside).count() as f64;
                let made = retries.iter().filter(young).count();
                assert!(
                    made as f64 <= limit + 1e-6,
                    "{made} of {limit}, seed {seed}"
                );
            }
        }
        sent += retries.len();
    }
    assert!(
        sent >= 39 * rule.min_retries as usize,
        "it lets hardly any out: {sent}"
    );
}
