//! Session setups per second that the remaining zones can take: tables of load reports and the resulting rate.

use asterramp_zone_failover::capacity::{ServerLoadReport, setup_rate};
use std::time::Duration;
use test_case::test_case;

fn report(utilization: f64, connections: f64, age_seconds: u64) -> ServerLoadReport {
    ServerLoadReport {
        utilization,
        connections,
        age: Duration::from_secs(age_seconds),
    }
}

/// Two servers at a utilization of 0.45 with 30 connections each have capacity for 26.7 more connections each. A hundred
/// proxies share the 800 connections of 30 such servers, which are given out three times in 1.5 s.
#[test_case(&[report(0.45, 30.0, 0), report(0.45, 30.0, 1)], 30, 100 => Some(1600); "servers at half load")]
#[test_case(&[report(0.45, 30.0, 0), report(0.45, 30.0, 1)], 30, 1 => Some(160_000); "a single proxy gets all of it")]
#[test_case(&[report(1.2, 30.0, 0), report(0.9, 30.0, 1)], 30, 100 => Some(0); "full servers have no capacity")]
#[test_case(&[report(0.45, 30.0, 0), report(1.25, 30.0, 1)], 30, 100 => Some(424); "overload of one server does not reduce the capacity of another")]
#[test_case(&[report(0.45, 30.0, 0)], 30, 100 => None; "one report is too few")]
#[test_case(&[report(0.45, 30.0, 0), report(0.45, 30.0, 6)], 30, 100 => None; "an old report does not count")]
#[test_case(&[report(0.0, 0.0, 0), report(0.0, 0.0, 0)], 30, 100 => None; "load per connection is unknown without connections")]
#[test_case(&[report(f64::NAN, 30.0, 0), report(0.45, 30.0, 0)], 30, 100 => None; "a utilization that is not a number does not count")]
#[test_case(&[report(0.45, 30.0, 0), report(0.45, 30.0, 0)], 0, 0 => Some(0); "no ready server")]
fn setup_rate_in_hundredths_per_second(
    reports: &[ServerLoadReport],
    ready_servers: usize,
    proxies: u32,
) -> Option<i64> {
    setup_rate(reports.iter().copied(), ready_servers, proxies)
        .map(|rate| (rate * 100.0).round() as i64)
}
