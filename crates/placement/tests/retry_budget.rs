//! The budget of further dials, against an oracle that keeps every dial.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_placement::deployment::RetryBudgetRule;
use asterramp_placement::retry_budget::RetryBudget;
use asterramp_placement::settings;
use std::time::Duration;
use test_case::test_case;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn rule(over: Duration, free: f64, share: f64) -> RetryBudgetRule {
    RetryBudgetRule {
        span: over,
        free_retries: free,
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
        let (mut budget, mut chance) = (RetryBudget::new(Some(rule)), seed);
        let (mut now, mut dials, mut taken) =
            (ms(1_700_000_000_000), Vec::new(), Vec::<Duration>::new());
        let mut draw = |n: u64| {
            chance = chance
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (chance >> 33) % n
        };
        for _ in 0..600 {
            now += match draw(40) {
                0 => rule.span.min(ms(20_000)) + ms(draw(3)),
                n if n < 25 => Duration::ZERO,
                _ => {
                    rule.span.min(ms(2_000)) / 16 * draw(4) as u32 + Duration::from_micros(draw(3))
                }
            };
            if draw(3) > 0 {
                budget.record_session(now);
                taken.push(now);
            } else if budget.allows_retry(now) {
                budget.record_retry(now);
                dials.push(now);
                // Both edges, each the one that is worse for the rule.
                let young = |at: &&Duration| now - **at <= rule.span;
                let inside = |at: &&Duration| now - **at < rule.span;
                let limit = rule.free_retries
                    + rule.retries_per_session * taken.iter().filter(inside).count() as f64;
                let made = dials.iter().filter(young).count();
                assert!(
                    made as f64 <= limit + 1e-6,
                    "{made} of {limit}, seed {seed}"
                );
            }
        }
        sent += dials.len();
    }
    assert!(
        sent >= 39 * rule.free_retries as usize,
        "it lets hardly any out: {sent}"
    );
}

#[test_case("", Some([1.0, 1.0]); "absent")]
#[test_case("0.utility=5 1.utility=2", Some([1.0, 0.4]); "both")]
#[test_case("0.utility=0.25", Some([0.25, 1.0]); "one of them, a fraction")]
#[test_case("0.utility=0", Some([0.0, 1.0]); "zero")]
#[test_case("0.utility=0 1.utility=0", Some([1.0, 1.0]); "all zero")]
#[test_case("0.utility=-1", None; "negative")]
#[test_case("0.utility=1e300", None; "huge")]
#[test_case("0.utility=NaN", None; "no number")]
#[test_case("0.utility=much", None; "a word")]
fn utilities_are_checked_and_compared(told: &str, worth: Option<[f64; 2]>) {
    let text = "discovery=pushed instances=1 self_index=0 listeners.count=2 rules.cold_share=0.3 rules.cold=1 \
                rules.tip_multiple=4 listeners.0.semantics=read_like listeners.0.handshake_target=1 \
                listeners.1.semantics=read_like listeners.1.handshake_target=1";
    let told: Vec<String> = told
        .split_whitespace()
        .map(|pair| format!("listeners.{pair}"))
        .collect();
    let all = text
        .split_whitespace()
        .chain(told.iter().map(String::as_str));
    match (
        settings::read(all.map(|pair| pair.split_once('=').unwrap())),
        worth,
    ) {
        (Ok(setup), Some(worth)) => {
            assert!(
                setup
                    .deployment
                    .listeners
                    .iter()
                    .map(|l| l.priority_weight)
                    .eq(worth)
            )
        }
        (Err(why), None) => assert!(why.to_string().contains("listeners.0.utility"), "{why}"),
        (read, _) => panic!("{read:?}"),
    }
}

/// The least that settings may tell, and what is told beside it.
fn read(told: &str) -> Result<settings::Settings, settings::SettingsError> {
    let text = "discovery=pushed instances=1 self_index=0 listeners.count=0 rules.cold_share=0.3 rules.cold=1 \
                rules.tip_multiple=4";
    let all = text.split_whitespace().chain(told.split_whitespace());
    settings::read(all.map(|pair| pair.split_once('=').unwrap()))
}

#[test_case("", Ok(None); "absent")]
#[test_case("counted_over=2000000 min_extra=10 repeat_ratio=0.1", Ok(Some(rule(ms(2_000), 10.0, 0.1))); "all")]
#[test_case("counted_over=2000000 repeat_ratio=0.1", Ok(Some(rule(ms(2_000), 0.0, 0.1))); "none free")]
#[test_case("counted_over=2000000 min_extra=2.5", Ok(Some(rule(ms(2_000), 2.5, 0.0))); "no share, a fraction")]
#[test_case("counted_over=2000000", Ok(None); "a span alone")]
#[test_case("counted_over=0 min_extra=0 repeat_ratio=0", Ok(None); "all zero")]
#[test_case("min_extra=10 repeat_ratio=0.1", Err("rules.counted_over"); "no span")]
#[test_case("counted_over=0 repeat_ratio=0.1", Err("rules.counted_over"); "a span of zero")]
#[test_case("counted_over=-1 repeat_ratio=0.1", Err("rules.counted_over"); "a negative span")]
#[test_case("counted_over=1e300 repeat_ratio=0.1", Err("rules.counted_over"); "a huge span")]
#[test_case("counted_over=2000000 repeat_ratio=-0.1", Err("rules.repeat_ratio"); "a negative share")]
#[test_case("counted_over=2000000 repeat_ratio=NaN", Err("rules.repeat_ratio"); "no number")]
#[test_case("counted_over=2000000 min_extra=many", Err("rules.min_extra"); "a word")]
fn settings_are_checked(told: &str, reads: Result<Option<RetryBudgetRule>, &str>) {
    let rules: String = told
        .split_whitespace()
        .map(|pair| format!("rules.{pair} "))
        .collect();
    match (read(&rules), reads) {
        (Ok(setup), Ok(rule)) => assert_eq!(setup.deployment.retry_budget, rule),
        (Err(why), Err(path)) => assert!(why.to_string().contains(path), "{why}"),
        (read, _) => panic!("{read:?}"),
    }
}

#[test_case("", Some(0.0); "absent")]
#[test_case("238.0,97.0", Some(335.0); "two members")]
#[test_case("12.5", Some(12.5); "one, a fraction")]
#[test_case("0,40", Some(40.0); "nothing for one")]
#[test_case("0", Some(0.0); "zero")]
#[test_case("-1,97", None; "negative")]
#[test_case("1e300", None; "huge")]
#[test_case("NaN", None; "no number")]
#[test_case("many", None; "a word")]
fn planned_connections_are_checked_and_summed(told: &str, sum: Option<f64>) {
    match (
        read(&format!("specifics.tenant_quota_connections={told}")),
        sum,
    ) {
        (Ok(setup), Some(sum)) => assert_eq!(setup.deployment.planned_connections, sum),
        (Err(why), None) => assert!(
            why.to_string()
                .contains("specifics.tenant_quota_connections"),
            "{why}"
        ),
        (read, _) => panic!("{read:?}"),
    }
}

// Within no time at all no connection could come up, and nothing would be served.
#[test_case("", 1_000_000; "absent")]
#[test_case("permissions.dial_timeout=200000", 200_000; "told")]
#[test_case("permissions.dial_timeout=0", 1_000_000; "zero")]
#[test_case("permissions.dial_timeout=1", 1; "the smallest")]
#[test_case("permissions.dial_timeout=4294967295000000", 4_294_967_295_000_000; "the largest")]
fn a_connection_has_time_to_come_up(told: &str, micros: u128) {
    assert_eq!(read(told).unwrap().connect_timeout.as_micros(), micros);
}

// By no span at all a dial that a cold server may be sent would lapse at once, and it would never be used.
#[test_case("", 1_000; "absent")]
#[test_case("rules.overload_for=1500000", 1_500; "told")]
#[test_case("rules.overload_for=0", 1_000; "zero")]
#[test_case("rules.overload_for=1", 0; "the smallest")]
fn the_span_of_the_cold_rule_is_never_nothing(told: &str, span: u64) {
    let over = read(told).unwrap().deployment.slow_start.span;
    assert!(
        !over.is_zero() && over.as_millis() as u64 == span,
        "{over:?}"
    );
}
