//! `report.json` keeps its keys, their order and its format: reports that are read from files of the build 17cc2a9 are
//! written as the same lines again.

use asterramp_testbed::judge::{Rule, Tally};
use asterramp_testbed::report::{
    HostUtilization, LatencySummary, NamedShare, ProxyUsage, Report, ReportedViolation,
    ServiceSecond, ServiceShares, SetUpLatency,
};
use serde_json::Value;
use test_case::test_case;

/// Every rule, so that the rule of a violation is found by its text.
const RULES: [Rule; 10] = [
    Rule::NoSessionLost,
    Rule::NoDuplicateEffect,
    Rule::DrainsRespected,
    Rule::NoColdHostOverloaded,
    Rule::NoConcurrentDials,
    Rule::NoInvalidLineForwarded,
    Rule::NoUnexpectedExit,
    Rule::OperatorsAnsweredInTime,
    Rule::MetricsAccurate,
    Rule::RejectedByPriority,
];

fn text(value: &Value) -> String {
    value.as_str().unwrap().to_string()
}

fn float(value: &Value) -> f64 {
    value.as_f64().unwrap()
}

fn count(value: &Value) -> u64 {
    value.as_u64().unwrap()
}

fn list<T>(value: &Value, item: fn(&Value) -> T) -> Vec<T> {
    value.as_array().unwrap().iter().map(item).collect()
}

fn report(value: &Value) -> Report {
    Report {
        scenario: text(&value["scenario"]),
        program: text(&value["program"]),
        seed: count(&value["seed"]),
        chaos: value["chaos"].as_u64(),
        simulated: value["simulated"].as_bool().unwrap(),
        void: value["void"].as_bool().unwrap(),
        testbed_late_ms: float(&value["rig_late_ms"]),
        rules_held: value["rules_held"].as_bool().unwrap(),
        violations: list(&value["breaches"], violation),
        tally: tally(&value["tally"]),
        service: service(&value["service"]),
        set_ups: list(&value["set_ups"], set_up),
        answer_ms: latency(&value["answer_ms"]),
        message_ms: latency(&value["message_ms"]),
        clients_gave_up: count(&value["clients_gave_up"]),
        no_proxy: count(&value["no_proxy"]),
        host_utilization: HostUtilization {
            min: float(&value["hosts"]["least"]),
            mean: float(&value["hosts"]["mean"]),
            max: float(&value["hosts"]["most"]),
            peak: float(&value["hosts"]["peak"]),
        },
        proxies: list(&value["proxies"], proxy_usage),
        seconds: list(&value["seconds"], second),
    }
}

fn violation(value: &Value) -> ReportedViolation {
    let rule = RULES
        .into_iter()
        .map(Rule::text)
        .find(|rule| value["rule"] == *rule);
    ReportedViolation {
        rule: rule.unwrap(),
        description: text(&value["what"]),
        timeline: list(&value["timeline"], text),
    }
}

fn tally(value: &Value) -> Tally {
    Tally {
        sessions: count(&value["sessions"]),
        accepted: count(&value["accepted"]),
        rejected: count(&value["refused"]),
        failed: count(&value["torn_down"]),
        client_left: count(&value["left"]),
        migrated: count(&value["moved"]),
        died_with_proxy: count(&value["died_with_proxy"]),
        dials: count(&value["dials"]),
        misbehaving_clients: count(&value["bad_clients"]),
        misbehaving_clients_answered: count(&value["bad_clients_owed"]),
    }
}

fn service(value: &Value) -> ServiceShares {
    ServiceShares {
        overall: float(&value["whole"]),
        worst_ten_seconds: float(&value["worst_ten_seconds"]),
        worst_listener: named_share(&value["worst_listener"]),
        worst_tenant: named_share(&value["worst_member"]),
    }
}

fn named_share(value: &Value) -> NamedShare {
    NamedShare {
        name: text(&value[0]),
        share: float(&value[1]),
    }
}

fn set_up(value: &Value) -> SetUpLatency {
    SetUpLatency {
        listener: text(&value["listener"]),
        within_target: float(&value["within_target"]),
        ms: latency(&value["ms"]),
    }
}

fn latency(value: &Value) -> LatencySummary {
    LatencySummary {
        count: count(&value["count"]),
        p50: float(&value["p50"]),
        p90: float(&value["p90"]),
        p99: float(&value["p99"]),
        max: float(&value["most"]),
    }
}

fn proxy_usage(value: &Value) -> ProxyUsage {
    ProxyUsage {
        cpu_share: float(&value["cpu_share"]),
        cpu_share_max: float(&value["cpu_share_most"]),
        cpu_share_late: float(&value["cpu_share_late"]),
        resident_kb: count(&value["resident_kb"]),
        descriptors: count(&value["descriptors"]),
    }
}

fn second(value: &Value) -> ServiceSecond {
    ServiceSecond {
        wanted: float(&value[0]),
        served: float(&value[1]),
    }
}

/// Splits a line of JSON into the text before its number and the number; `None` if it does not end in a number.
fn split_number(line: &str) -> Option<(&str, f64)> {
    let line = line.trim_end_matches(',');
    let (before, number) = line.rsplit_once(' ')?;
    Some((before, number.parse().ok()?))
}

/// Whether two lines are equal. The JSON parser may round a number to a neighbouring float, so its last digit may differ.
fn is_equal_line(line: &str, golden: &str) -> bool {
    let numbers = split_number(line).zip(split_number(golden));
    let same_number = numbers.is_some_and(|((before, number), (golden_before, golden_number))| {
        before == golden_before && (number - golden_number).abs() <= golden_number * f64::EPSILON
    });
    let same_ending = line.ends_with(',') == golden.ends_with(',');
    line == golden || same_number && same_ending
}

#[test_case(include_str!("golden/report.json"); "run without violations")]
fn the_format_of_a_report_is_unchanged(golden: &str) {
    let report = report(&serde_json::from_str(golden).unwrap());
    let written = serde_json::to_string_pretty(&report).unwrap();
    assert_eq!(written.lines().count(), golden.lines().count());
    for (line, golden) in written.lines().zip(golden.lines()) {
        assert!(is_equal_line(line, golden), "{line}\n{golden}");
    }
}

#[test]
fn the_format_of_a_violation_is_unchanged() {
    let golden = include_str!("golden/violation.json");
    let violation = violation(&serde_json::from_str(golden).unwrap());
    assert_eq!(serde_json::to_string_pretty(&violation).unwrap(), golden);
}
