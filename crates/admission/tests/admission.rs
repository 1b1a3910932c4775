//! Rank, rate, quota and Retry-After of admission.

use asterramp_admission::{AdmissionControl, AdmissionRequest, AdmissionSettings, RejectReason};
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Two listeners, the second with more priority weight, and two tenants, the first with a quota of three quarters. Listeners
/// rank by weight while costs are not known.
fn two_listeners_and_tenants() -> AdmissionControl {
    AdmissionControl::new(
        AdmissionSettings {
            priority_weights: vec![0.6, 1.0],
            quotas: vec![0.75, 0.25],
            max_retry_after: ms(2_000),
            rank_by_weight_alone: true,
        },
        7,
    )
}

/// A request that ranks first.
const FIRST: AdmissionRequest = AdmissionRequest {
    listener: 1,
    tenant: 0,
    reconnecting: true,
    failed_before: false,
};

/// Counts of admissions within ten seconds of [`FIRST`] and of `request`, each of which is made every 10 ms.
fn admitted_beside_first(
    admission: &mut AdmissionControl,
    request: AdmissionRequest,
    rate: f64,
) -> (u32, u32) {
    admission.set_rate(ms(0), Some(rate));
    let mut first = 0;
    let mut other = 0;
    for at in (0..10_000).step_by(10) {
        // `request` is made first, so that the order of requests does not favour the one that ranks first.
        other += u32::from(admission.admit(ms(at), request).is_ok());
        first += u32::from(admission.admit(ms(at), FIRST).is_ok());
    }
    (first, other)
}

#[test_case(AdmissionRequest { listener: 0, ..FIRST }; "less priority weight")]
#[test_case(AdmissionRequest { failed_before: true, ..FIRST }; "failed before")]
#[test_case(AdmissionRequest { reconnecting: false, ..FIRST }; "new session")]
fn request_of_lower_rank_is_rejected_first(request: AdmissionRequest) {
    for rate in [5.0, 20.0, 60.0] {
        let (first, lower) = admitted_beside_first(&mut two_listeners_and_tenants(), request, rate);
        assert!(
            f64::from(first) > 9.0 * rate,
            "{first} of the first rank at {rate} per second"
        );
        assert!(lower < first / 8, "{lower} of lower rank beside {first}");
    }
}

#[test]
fn weight_ranks_listeners_of_unknown_cost_only_if_enabled() {
    let mut admission = AdmissionControl::new(
        AdmissionSettings {
            priority_weights: vec![0.6, 1.0],
            ..AdmissionSettings::default()
        },
        7,
    );
    // All listeners rank equally, so the request that is made first takes the tokens.
    let (first, other) = admitted_beside_first(
        &mut admission,
        AdmissionRequest {
            listener: 0,
            ..FIRST
        },
        20.0,
    );
    assert!(other > 180 && first < 20, "{first} and {other}");
}

#[test]
fn all_are_admitted_if_capacity_suffices() {
    let mut admission = two_listeners_and_tenants();
    // A few are rejected at first, while the bucket is filling.
    let (first, lower) = admitted_beside_first(
        &mut admission,
        AdmissionRequest {
            listener: 0,
            ..FIRST
        },
        400.0,
    );
    assert!(first >= 980 && lower >= 960, "{first} and {lower} of 1000");
    admission.set_rate(ms(20_000), None);
    assert!((0..500).all(|_| admission.admit(ms(20_000), FIRST).is_ok()));
}

#[test_case(5.0)]
#[test_case(40.0)]
fn rate_is_kept_for_requests_of_mixed_rank(rate: f64) {
    let mut admission = two_listeners_and_tenants();
    admission.set_rate(ms(0), Some(rate));
    let requests = (0..20_000u64).step_by(5);
    let admitted = requests
        .filter(|at| {
            admission
                .admit(
                    ms(*at),
                    AdmissionRequest {
                        listener: (*at % 2) as u8,
                        ..FIRST
                    },
                )
                .is_ok()
        })
        .count() as f64;
    assert!(
        (admitted - rate * 20.0).abs() <= 12.0,
        "{admitted} at {rate} per second"
    );
}

#[test]
fn tenant_over_its_quota_ranks_lower() {
    let mut admission = two_listeners_and_tenants();
    // Tenant 1 has a quota of a quarter, and has made all of the recent requests.
    (0..40).for_each(|at| {
        assert!(
            admission
                .admit(ms(at * 10), AdmissionRequest { tenant: 1, ..FIRST })
                .is_ok()
        )
    });
    admission.set_rate(ms(400), Some(10.0));
    let mut by_tenant = [0, 0];
    for at in (400..4_400).step_by(10) {
        for tenant in [1, 0] {
            by_tenant[usize::from(tenant)] += u32::from(
                admission
                    .admit(ms(at), AdmissionRequest { tenant, ..FIRST })
                    .is_ok(),
            );
        }
    }
    assert!(by_tenant[0] > 30 && by_tenant[1] < 8, "{by_tenant:?}");
    let over_quota: u64 = admission
        .rejection_counts()
        .map(|counts| counts[RejectReason::OverQuota as usize])
        .sum();
    assert!(over_quota > 0);
}

#[test]
fn listeners_rank_by_weight_and_cost_once_servers_report_it() {
    let heavy = AdmissionRequest {
        listener: 1,
        ..FIRST
    };
    let light = AdmissionRequest {
        listener: 0,
        ..FIRST
    };
    let mut admission = two_listeners_and_tenants();
    let report_costs = |admission: &mut AdmissionControl, at: u64| {
        (0..10).for_each(|_| admission.record_session_cost(ms(at), 1, 6_000.0));
        (0..10).for_each(|_| admission.record_session_cost(ms(at), 0, 1_000.0));
    };
    let admitted = |admission: &mut AdmissionControl, from: u64| {
        admission.set_rate(ms(from), None);
        admission.set_rate(ms(from), Some(10.0));
        let mut by_listener = [0, 0];
        for at in (from..from + 5_000).step_by(10) {
            for request in [light, heavy] {
                by_listener[usize::from(request.listener)] +=
                    u32::from(admission.admit(ms(at), request).is_ok());
            }
        }
        by_listener
    };
    let before = admitted(&mut admission, 0);
    assert!(
        before[1] > 40 && before[0] < 6,
        "by weight alone: {before:?}"
    );
    report_costs(&mut admission, 10_000);
    let after = admitted(&mut admission, 10_000);
    assert!(after[0] > 40 && after[1] < 6, "by cost: {after:?}");
    // Reports that are too old do not count.
    let expired = admitted(&mut admission, 80_000);
    assert!(
        expired[1] > 40 && expired[0] < 6,
        "reports too old: {expired:?}"
    );
    assert!(
        admission
            .session_costs(ms(80_000))
            .all(|cost| cost.is_none())
    );
}

#[test]
fn retries_of_rejected_clients_are_spread() {
    let mut admission = two_listeners_and_tenants();
    admission.set_rate(ms(0), Some(20.0));
    let mut retry_times: Vec<u128> = Vec::new();
    for at in 0..200 {
        retry_times.extend(
            admission
                .admit(ms(at), FIRST)
                .err()
                .map(|rejection| rejection.retry_after.as_millis()),
        );
    }
    retry_times.sort_unstable();
    let (shortest, longest) = (retry_times[0], retry_times[retry_times.len() - 1]);
    assert!(
        shortest >= 200 && longest <= 2_000 && longest > 1_500,
        "{shortest} to {longest} ms"
    );
    // No quarter of a second has half of all retries.
    let most_in_quarter = (0..7)
        .map(|n| {
            retry_times
                .iter()
                .filter(|time| (**time / 250) == n)
                .count()
        })
        .max()
        .unwrap();
    assert!(
        most_in_quarter * 4 < retry_times.len() * 2,
        "{most_in_quarter} of {} in a quarter of a second",
        retry_times.len()
    );
    // With a longest Retry-After of zero, none is given.
    let mut without_retry_after = AdmissionControl::new(
        AdmissionSettings {
            priority_weights: vec![1.0],
            ..AdmissionSettings::default()
        },
        1,
    );
    without_retry_after.set_rate(ms(0), Some(0.0));
    let rejection = without_retry_after
        .admit(ms(0), AdmissionRequest::default())
        .unwrap_err();
    assert_eq!(
        (rejection.reason, rejection.retry_after),
        (RejectReason::NoCapacity, Duration::ZERO)
    );
}

#[test]
fn unknown_listener_or_tenant_is_ignored() {
    let mut admission = two_listeners_and_tenants();
    admission.set_rate(ms(0), Some(1.0));
    let _ = admission.admit(
        ms(0),
        AdmissionRequest {
            listener: 9,
            tenant: 99,
            ..AdmissionRequest::default()
        },
    );
    admission.record_session_cost(ms(0), 9, 1.0);
    admission.record_session_cost(ms(0), 0, f64::NAN);
    assert!(admission.session_costs(ms(0)).all(|cost| cost.is_none()));
}

#[test]
fn names_of_reasons_match_operators_tools() {
    let names = RejectReason::ALL.map(RejectReason::name);
    assert_eq!(
        names,
        ["room", "worth", "over-portion", "failed-before", "new"]
    );
    for (index, reason) in RejectReason::ALL.into_iter().enumerate() {
        assert_eq!(reason as usize, index, "counts are indexed by reason");
    }
}
