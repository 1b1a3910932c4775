//! What all proxies together send a server that started anew, in one simulated clock.

use crate::support::{Proxy, deployment, dialed_server, endpoint, ms};
use asterramp_placement::Deployment;
use asterramp_placement::deployment::RetrySafety;
use asterramp_placement::event::{Endpoint, EndpointUpdate, PlacementEvent};
use std::time::Duration;
use test_case::test_case;

const STEP: u64 = 20;
const WINDOW: u64 = 1_500;
/// Connections that fill a warm server, and how long it warms.
const FILL: f64 = 60.0;
const WARM: u64 = 20_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Demand {
    /// As much as all can take, from the start on.
    Steady,
    /// Steady, while every second proxy after the other starts again.
    Restarts,
    /// The server is known for 5 s, with others preferred, before all the others drain at once.
    Sudden,
}

/// One of the proxies, which has just started and knows how loaded the warm servers are.
fn started_proxy(facts: &Deployment, seed: u64, number: u64, now: Duration) -> Proxy {
    let facts = Deployment {
        proxy_index: number as u32,
        ..facts.clone()
    };
    let nonce = seed * 1_000 + number;
    let mut proxy = Proxy::new(facts, nonce, (0..4).map(endpoint).collect());
    proxy.now = now;
    for server in 0..4 {
        proxy.report_load(server, FILL * 0.7, 0.7);
    }
    proxy.wait(ms(1_100));
    proxy.now = now;
    proxy
}

/// The highest sum over a window, over what may be sent in it beyond the budget; and what was sent in all.
fn peak(proxies: u64, demand: Demand, seed: u64) -> (f64, f64, usize) {
    let mut facts = deployment(RetrySafety::Idempotent);
    facts.proxy_count = proxies as u32;
    facts.slow_start.warm_after = ms(WARM);
    let start = ms(1_000_000);
    let cold = Endpoint {
        started_at: Some(start),
        hash_key: 71_284 + seed * 104_729,
        ..endpoint(9)
    };
    let begin = |number, now| started_proxy(&facts, seed, number, now);
    let mut all: Vec<Proxy> = (0..proxies).map(|number| begin(number, start)).collect();
    for proxy in &mut all {
        proxy.update_endpoint(cold);
    }
    let mut sent = Vec::new();
    let mut next = 0;
    for at in (0..WARM - 1_000).step_by(STEP as usize) {
        let now = start + ms(at);
        if demand == Demand::Restarts && at.is_multiple_of(200) {
            let nth = next % proxies;
            next += 1;
            all[nth as usize] = begin(nth, now);
            all[nth as usize].update_endpoint(cold);
        }
        for proxy in &mut all {
            proxy.now = now;
            if at.is_multiple_of(100) {
                proxy.handle(PlacementEvent::Tick);
            }
            if demand == Demand::Sudden && at == 5_000 {
                proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Complete(
                    vec![cold],
                )));
            }
            if demand == Demand::Sudden && at < 5_000 {
                continue;
            }
            proxy.report_load(9, 0.0, 0.0);
            for s in 0..4 {
                proxy.report_load(s, FILL, 1.0);
            }
            let (session, actions) = proxy.request_session(None);
            if dialed_server(&actions) == Some(9) {
                sent.push(at);
            }
            proxy.handle(PlacementEvent::ClientLeft { session });
        }
    }
    let (over, n) = worst_window(&sent);
    (over, n, sent.len())
}

/// The most that was sent over any window, over what chance adds to the budget; and that budget.
fn worst_window(sent: &[u64]) -> (f64, f64) {
    let mut worst: (f64, f64) = (f64::MIN, 0.0);
    for t in (0..WARM - 1_000).step_by(100) {
        let count = sent
            .iter()
            .filter(|at| (t..t + WINDOW).contains(*at))
            .count() as f64;
        let warmth = 0.25 + 0.75 * (t as f64 + WINDOW as f64 / 2.0) / WARM as f64;
        let n = 4.0 * warmth * FILL / WARM as f64 * WINDOW as f64;
        let over = (count - n) / (2.0 * n.sqrt() + 2.0);
        if over > worst.0 {
            worst = (over, n);
        }
    }
    worst
}

// Beyond the budget of N only 2 root N + 2 is chance, however many proxies there are and whatever each knows of the others.
#[test_case(1, 4; "one")]
#[test_case(3, 4; "three")]
#[test_case(20, 3; "twenty")]
#[test_case(30, 3; "thirty")]
#[test_case(300, 1; "three hundred")]
fn the_sum_of_all_proxies_stays_within_chance(proxies: u64, seeds: u64) {
    for demand in [Demand::Steady, Demand::Restarts, Demand::Sudden] {
        for seed in 0..seeds {
            let (over, n, sent) = peak(proxies, demand, seed);
            println!(
                "{proxies} {demand:?} {seed}: {over:.2} of the chance over N = {n:.1}; {sent} sent"
            );
            assert!(
                over <= 1.0,
                "{proxies} proxies, {demand:?}: {over:.2} of the chance over N = {n:.1}"
            );
            assert!(
                sent > 40,
                "{proxies} proxies, {demand:?}: {sent} sent while it warmed"
            );
        }
    }
}
