//! What survivors have room for, by tables.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_zone_failover::room::{ServerCapacity, pace};
use std::time::Duration;
use test_case::test_case;

fn word(asked: f64, connections: f64, seconds: u64) -> ServerCapacity {
    ServerCapacity {
        asked,
        connections,
        age: Duration::from_secs(seconds),
    }
}

/// Two hosts at 0.45 with 30 connections each have room for 26.7 each; of 30 hosts, a hundred proxies share 800.
#[test_case(&[word(0.45, 30.0, 0), word(0.45, 30.0, 1)], 30, 100 => Some(1600); "half empty")]
#[test_case(&[word(0.45, 30.0, 0), word(0.45, 30.0, 1)], 30, 1 => Some(160_000); "one proxy alone")]
#[test_case(&[word(1.2, 30.0, 0), word(0.9, 30.0, 1)], 30, 100 => Some(0); "full")]
#[test_case(&[word(0.45, 30.0, 0), word(1.25, 30.0, 1)], 30, 100 => Some(424); "what one is over, another has no more")]
#[test_case(&[word(0.45, 30.0, 0)], 30, 100 => None; "one word says nothing of all")]
#[test_case(&[word(0.45, 30.0, 0), word(0.45, 30.0, 6)], 30, 100 => None; "an old word is none")]
#[test_case(&[word(0.0, 0.0, 0), word(0.0, 0.0, 0)], 30, 100 => None; "nobody is connected anywhere")]
#[test_case(&[word(f64::NAN, 30.0, 0), word(0.45, 30.0, 0)], 30, 100 => None; "no number")]
#[test_case(&[word(0.45, 30.0, 0), word(0.45, 30.0, 0)], 0, 0 => Some(0); "nobody ready")]
fn the_pace_in_hundredths(words: &[ServerCapacity], ready: usize, proxies: u32) -> Option<i64> {
    pace(words.iter().copied(), ready, proxies).map(|pace| (pace * 100.0).round() as i64)
}
