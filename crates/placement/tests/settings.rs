//! Settings that the reader accepts and rejects.

use asterramp_placement::deployment::RetryBudgetRule;
use asterramp_placement::settings;
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

#[test_case("", Some([1.0, 1.0]); "absent")]
#[test_case("0.utility=5 1.utility=2", Some([1.0, 0.4]); "both")]
#[test_case("0.utility=0.25", Some([0.25, 1.0]); "one of them, a fraction")]
#[test_case("0.utility=0", Some([0.0, 1.0]); "zero")]
#[test_case("0.utility=0 1.utility=0", Some([1.0, 1.0]); "all zero")]
#[test_case("0.utility=-1", None; "negative")]
#[test_case("0.utility=1e300", None; "huge")]
#[test_case("0.utility=NaN", None; "no number")]
#[test_case("0.utility=much", None; "a word")]
fn utilities_are_checked_and_become_weights(settings: &str, weights: Option<[f64; 2]>) {
    let text = "discovery=pushed instances=1 self_index=0 listeners.count=2 rules.cold_share=0.3 rules.cold=1 \
                rules.tip_multiple=4 listeners.0.semantics=read_like listeners.0.handshake_target=1 \
                listeners.1.semantics=read_like listeners.1.handshake_target=1";
    let utilities: Vec<String> = settings
        .split_whitespace()
        .map(|pair| format!("listeners.{pair}"))
        .collect();
    let all = text
        .split_whitespace()
        .chain(utilities.iter().map(String::as_str));
    match (
        settings::read(all.map(|pair| pair.split_once('=').unwrap())),
        weights,
    ) {
        (Ok(read), Some(weights)) => {
            assert!(
                read.deployment
                    .listeners
                    .iter()
                    .map(|listener| listener.priority_weight)
                    .eq(weights)
            )
        }
        (Err(error), None) => assert!(error.to_string().contains("listeners.0.utility"), "{error}"),
        (read, _) => panic!("{read:?}"),
    }
}

/// Reads the required settings and the given ones, which are pairs of path and value separated by spaces.
fn read(settings: &str) -> Result<settings::ProxySettings, settings::SettingsError> {
    let text = "discovery=pushed instances=1 self_index=0 listeners.count=0 rules.cold_share=0.3 rules.cold=1 \
                rules.tip_multiple=4";
    let all = text.split_whitespace().chain(settings.split_whitespace());
    settings::read(all.map(|pair| pair.split_once('=').unwrap()))
}

#[test_case("", Ok(None); "absent")]
#[test_case("counted_over=2000000 min_extra=10 repeat_ratio=0.1", Ok(Some(rule(ms(2_000), 10.0, 0.1))); "all")]
#[test_case("counted_over=2000000 repeat_ratio=0.1", Ok(Some(rule(ms(2_000), 0.0, 0.1))); "no minimum")]
#[test_case("counted_over=2000000 min_extra=2.5", Ok(Some(rule(ms(2_000), 2.5, 0.0))); "no share, a fractional minimum")]
#[test_case("counted_over=2000000", Ok(None); "a window alone")]
#[test_case("counted_over=0 min_extra=0 repeat_ratio=0", Ok(None); "all zero")]
#[test_case("min_extra=10 repeat_ratio=0.1", Err("rules.counted_over"); "no window")]
#[test_case("counted_over=0 repeat_ratio=0.1", Err("rules.counted_over"); "a window of zero")]
#[test_case("counted_over=-1 repeat_ratio=0.1", Err("rules.counted_over"); "a negative window")]
#[test_case("counted_over=1e300 repeat_ratio=0.1", Err("rules.counted_over"); "a huge window")]
#[test_case("counted_over=2000000 repeat_ratio=-0.1", Err("rules.repeat_ratio"); "a negative share")]
#[test_case("counted_over=2000000 repeat_ratio=NaN", Err("rules.repeat_ratio"); "no number")]
#[test_case("counted_over=2000000 min_extra=many", Err("rules.min_extra"); "a word")]
fn the_retry_budget_is_checked(settings: &str, expected: Result<Option<RetryBudgetRule>, &str>) {
    let rules: String = settings
        .split_whitespace()
        .map(|pair| format!("rules.{pair} "))
        .collect();
    match (read(&rules), expected) {
        (Ok(read), Ok(rule)) => assert_eq!(read.deployment.retry_budget, rule),
        (Err(error), Err(path)) => assert!(error.to_string().contains(path), "{error}"),
        (read, _) => panic!("{read:?}"),
    }
}

#[test_case("", Some(0.0); "absent")]
#[test_case("238.0,97.0", Some(335.0); "two tenants")]
#[test_case("12.5", Some(12.5); "one, a fraction")]
#[test_case("0,40", Some(40.0); "zero for one")]
#[test_case("0", Some(0.0); "zero")]
#[test_case("-1,97", None; "negative")]
#[test_case("1e300", None; "huge")]
#[test_case("NaN", None; "no number")]
#[test_case("many", None; "a word")]
fn connection_quotas_are_checked_and_summed(quotas: &str, sum: Option<f64>) {
    match (
        read(&format!("specifics.tenant_quota_connections={quotas}")),
        sum,
    ) {
        (Ok(read), Some(sum)) => assert_eq!(read.deployment.total_connection_quota, sum),
        (Err(error), None) => assert!(
            error
                .to_string()
                .contains("specifics.tenant_quota_connections"),
            "{error}"
        ),
        (read, _) => panic!("{read:?}"),
    }
}

// With a connect timeout of zero no connection could ever be opened.
#[test_case("", 1_000_000; "absent")]
#[test_case("permissions.dial_timeout=200000", 200_000; "set")]
#[test_case("permissions.dial_timeout=0", 1_000_000; "zero")]
#[test_case("permissions.dial_timeout=1", 1; "the smallest")]
#[test_case("permissions.dial_timeout=4294967295000000", 4_294_967_295_000_000; "the largest")]
fn the_connect_timeout_is_never_zero(settings: &str, micros: u128) {
    assert_eq!(read(settings).unwrap().connect_timeout.as_micros(), micros);
}

// With an overload window of zero the allowance for a cold server would lapse at once, and it would never be used.
#[test_case("", 1_000; "absent")]
#[test_case("rules.overload_for=1500000", 1_500; "set")]
#[test_case("rules.overload_for=0", 1_000; "zero")]
#[test_case("rules.overload_for=1", 0; "the smallest")]
fn the_overload_window_is_never_zero(settings: &str, millis: u64) {
    let window = read(settings)
        .unwrap()
        .deployment
        .slow_start
        .overload_window;
    assert!(
        !window.is_zero() && window.as_millis() as u64 == millis,
        "{window:?}"
    );
}
