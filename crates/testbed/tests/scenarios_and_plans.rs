//! Errors of scenario files, and the plans of clients and faults that are drawn from a scenario.

mod help;

use asterramp_testbed::plan::Plan;
use asterramp_testbed::scenario::Scenario;
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test_case("length = \"5s\"", "length = \"5 parsecs\"", &["length", "ms, s or m"]; "time with an unknown unit")]
#[test_case("length = \"5s\"", "length = \"5s\"\nlenght = 1", &["lenght", "expected one of", "length"]; "unknown key")]
#[test_case("count = 4", "count = 0", &["fleet.hosts, their number", "1 to"]; "no hosts")]
#[test_case("count = 4", "count = 4\nplace = \"c\"", &["fleet.hosts.0.place", "\"a\", \"b\""]; "unknown zone")]
#[test_case("kind = \"repeatable\"", "kind = \"often\"", &["often", "`repeatable`"]; "unknown kind")]
#[test_case("rate = 45.0", "rate = -1", &["traffic.rate", "0 to"]; "negative rate")]
#[test_case("name = \"acme\"", "name = \"a b\"", &["members.0.name", "letters"]; "name with a space")]
#[test_case("name = \"order\"", "name = \"feed\"", &["listeners.1.name", "its own"]; "duplicate name")]
#[test_case("[platform]", "[[faults]]\nat = \"1s\"\nkind = \"host-mute\"\non = [4]\n[platform]", &["faults.0.on", "1 to 4"]; "fault of a host that does not exist")]
#[test_case("[platform]", "[[faults]]\nat = \"1s\"\nkind = \"host-odd\"\n[platform]", &["host-odd", "`host-mute`"]; "unknown fault")]
#[test_case("[[members]]\nname = \"acme\"", "[[members]]\nname = \"acme\"\nportion = 0", &["members", "one must be more"]; "all portions are zero")]
fn an_invalid_scenario_is_reported_with_the_key_and_the_allowed_values(
    from: &str,
    to: &str,
    expected_words: &[&str],
) {
    assert!(help::BASE_SCENARIO.contains(from));
    let error = Scenario::read(&help::BASE_SCENARIO.replacen(from, to, 1))
        .unwrap_err()
        .to_string();
    assert!(
        expected_words.iter().all(|word| error.contains(word)),
        "{error}"
    );
}

#[test]
fn the_same_seed_gives_the_same_plan_and_chaos_only_adds_faults() {
    let scenario = help::base_with_tables("");
    let plan = Plan::new(&scenario, 5, None);
    assert_eq!(plan, Plan::new(&scenario, 5, None));
    assert_ne!(plan.clients, Plan::new(&scenario, 6, None).clients);
    let chaos = Plan::new(&scenario, 5, Some(1));
    assert_eq!((&chaos.clients, &chaos.hosts), (&plan.clients, &plan.hosts));
    assert!(chaos.faults.len() >= 5 && chaos == Plan::new(&scenario, 5, Some(1)));
    assert_ne!(chaos.faults, Plan::new(&scenario, 5, Some(2)).faults);
}

#[test]
fn arrivals_follow_the_rate_curve_and_session_lengths_the_median() {
    let fault = "[[faults]]\nat = \"1s\"\nkind = \"clients-bad\"";
    let text = format!("{}\n{fault}", help::BASE_SCENARIO)
        .replace("length = \"5s\"", "length = \"300s\"")
        .replace(
            "rate = 45.0",
            "rate = 45.0\ncurve = [{ at = \"100s\", times = 1.0 }, { at = \"200s\", times = 3.0 }]",
        );
    let plan = Plan::new(&Scenario::read(&text).unwrap(), 1, None);
    let arrival_rate = |from: u64, to: u64| {
        let inside = plan
            .clients
            .iter()
            .filter(|client| client.at >= ms(from * 1000) && client.at < ms(to * 1000));
        inside.count() as f64 / (to - from) as f64
    };
    for (from, to, rate) in [(0, 100, 45.0), (100, 200, 90.0), (200, 299, 135.0)] {
        assert!(
            (arrival_rate(from, to) / rate - 1.0).abs() < 0.06,
            "{from}: {}",
            arrival_rate(from, to)
        );
    }
    let mut session_lengths: Vec<Duration> = plan
        .clients
        .iter()
        .map(|client| client.session_length)
        .collect();
    session_lengths.sort_unstable();
    assert!((session_lengths[session_lengths.len() / 2].as_secs_f64() - 2.0).abs() < 0.1);
}
