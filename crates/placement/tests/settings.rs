//! What the settings reader takes and rejects.

use asterramp_placement::deployment::RetryBudgetRule;
use asterramp_placement::settings;
use std::time::Duration;
use test_case::test_case;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn rule(span: Duration, min_retries: f64, retries_per_session: f64) -> RetryBudgetRule {
    RetryBudgetRule {
        window: span,
        min_retries,
        retries_per_session,
    }
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
fn read(told: &str) -> Result<settings::ProxySettings, settings::SettingsError> {
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
        (Ok(setup), Some(sum)) => assert_eq!(setup.deployment.total_connection_quota, sum),
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
    let over = read(told).unwrap().deployment.slow_start.overload_window;
    assert!(
        !over.is_zero() && over.as_millis() as u64 == span,
        "{over:?}"
    );
}
