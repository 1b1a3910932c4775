//! Slow start across a fleet: the dials of all proxies together at a server that has just started, in simulated time.

use crate::support::{Proxy, deployment, dialed_server, endpoint, ms};
use asterramp_placement::Deployment;
use asterramp_placement::deployment::RetrySafety;
use asterramp_placement::event::{Endpoint, EndpointUpdate, PlacementEvent};
use std::time::Duration;
use test_case::test_case;

/// Step of the simulated clock.
const STEP_MS: u64 = 20;
/// Window over which the slow-start rule counts dials.
const WINDOW_MS: u64 = 1_500;
/// Connections that fill a warm server.
const CONNECTIONS_AT_CAPACITY: f64 = 60.0;
/// Time from the server's start until it is warm.
const WARM_AFTER_MS: u64 = 20_000;

/// How sessions are requested.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Demand {
    /// As many as all servers can take, from the start on.
    Steady,
    /// Steady, while the proxies restart one after another, one every 200 ms.
    Restarts,
    /// None for 5 s after the server is listed; then all other servers are removed at once.
    Sudden,
}

/// A proxy that has just started and has load reports of the warm servers.
fn started_proxy(config: &Deployment, seed: u64, index: u64, now: Duration) -> Proxy {
    let config = Deployment {
        proxy_index: index as u32,
        ..config.clone()
    };
    let nonce = seed * 1_000 + index;
    let mut proxy = Proxy::new(config, nonce, (0..4).map(endpoint).collect());
    proxy.now = now;
    for server in 0..4 {
        proxy.report_load(server, CONNECTIONS_AT_CAPACITY * 0.7, 0.7);
    }
    proxy.wait(ms(1_100));
    proxy.now = now;
    proxy
}

/// Runs the fleet and returns the result of [`worst_window`] and the number of all dials at the new server.
fn peak(proxy_count: u64, demand: Demand, seed: u64) -> (f64, f64, usize) {
    let mut config = deployment(RetrySafety::Idempotent);
    config.proxy_count = proxy_count as u32;
    config.slow_start.warm_after = ms(WARM_AFTER_MS);
    let start = ms(1_000_000);
    let cold = Endpoint {
        started_at: Some(start),
        hash_key: 71_284 + seed * 104_729,
        ..endpoint(9)
    };
    let new_proxy = |index, now| started_proxy(&config, seed, index, now);
    let mut proxies: Vec<Proxy> = (0..proxy_count)
        .map(|index| new_proxy(index, start))
        .collect();
    for proxy in &mut proxies {
        proxy.update_endpoint(cold);
    }
    let mut dial_times = Vec::new();
    let mut restarts = 0;
    for at in (0..WARM_AFTER_MS - 1_000).step_by(STEP_MS as usize) {
        let now = start + ms(at);
        if demand == Demand::Restarts && at.is_multiple_of(200) {
            let index = restarts % proxy_count;
            restarts += 1;
            proxies[index as usize] = new_proxy(index, now);
            proxies[index as usize].update_endpoint(cold);
        }
        for proxy in &mut proxies {
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
            for server in 0..4 {
                proxy.report_load(server, CONNECTIONS_AT_CAPACITY, 1.0);
            }
            let (session, actions) = proxy.request_session(None);
            if dialed_server(&actions) == Some(9) {
                dial_times.push(at);
            }
            proxy.handle(PlacementEvent::ClientLeft { session });
        }
    }
    let (excess, limit) = worst_window(&dial_times);
    (excess, limit, dial_times.len())
}

/// The largest excess of a window's dials over the slow-start limit N, as a multiple of the random variation
/// 2 sqrt(N) + 2 that is accepted; and that window's N.
fn worst_window(dial_times: &[u64]) -> (f64, f64) {
    let mut worst: (f64, f64) = (f64::MIN, 0.0);
    for window_start in (0..WARM_AFTER_MS - 1_000).step_by(100) {
        let count = dial_times
            .iter()
            .filter(|at| (window_start..window_start + WINDOW_MS).contains(*at))
            .count() as f64;
        let capacity_share =
            0.25 + 0.75 * (window_start as f64 + WINDOW_MS as f64 / 2.0) / WARM_AFTER_MS as f64;
        let limit = 4.0 * capacity_share * CONNECTIONS_AT_CAPACITY / WARM_AFTER_MS as f64
            * WINDOW_MS as f64;
        let excess = (count - limit) / (2.0 * limit.sqrt() + 2.0);
        if excess > worst.0 {
            worst = (excess, limit);
        }
    }
    worst
}

// Dials may exceed the limit N of a window by at most 2 sqrt(N) + 2, the accepted random variation, for any number of
// proxies and regardless of what each knows of the others.
#[test_case(1, 4; "one")]
#[test_case(3, 4; "three")]
#[test_case(20, 3; "twenty")]
#[test_case(30, 3; "thirty")]
#[test_case(300, 1; "three hundred")]
fn all_proxies_together_stay_within_the_slow_start_limit(proxy_count: u64, seeds: u64) {
    for demand in [Demand::Steady, Demand::Restarts, Demand::Sudden] {
        for seed in 0..seeds {
            let (excess, limit, dials) = peak(proxy_count, demand, seed);
            println!(
                "{proxy_count} {demand:?} {seed}: excess {excess:.2} over N = {limit:.1}; {dials} dials"
            );
            assert!(
                excess <= 1.0,
                "{proxy_count} proxies, {demand:?}: excess {excess:.2} over N = {limit:.1}"
            );
            assert!(
                dials > 40,
                "{proxy_count} proxies, {demand:?}: {dials} dials while the server warmed up"
            );
        }
    }
}
