//! Slow start of recently started servers.

use crate::support::{IDEMPOTENT, Proxy, deployment, dialed_server, endpoint, ms};
use asterramp_placement::event::{Endpoint, EndpointUpdate, Outcome};
use asterramp_placement::{Deployment, PlacementEvent};
use test_case::test_case;

#[test_case(1, 1; "one proxy")]
#[test_case(3, 3; "three proxies, one limit for all")]
#[test_case(3, 9; "nine")]
#[test_case(20, 20; "twenty")]
#[test_case(100, 100; "a hundred")]
fn a_cold_server_is_used_and_not_overloaded(simulated_proxies: u64, proxy_count: u32) {
    let mut config = deployment(IDEMPOTENT);
    config.proxy_count = proxy_count;
    let mut dial_times: Vec<u64> = Vec::new();
    for nonce in 0..simulated_proxies {
        config.proxy_index = nonce as u32;
        let mut proxy = Proxy::new(config.clone(), nonce, (0..4).map(endpoint).collect());
        let sessions: Vec<_> = (0..28).map(|_| proxy.open_session(None).0).collect();
        for session in &sessions[..7] {
            proxy.end_attempt(*session, 0, Outcome::Ok, true);
        }
        for server in 0..4 {
            proxy.report_load(server, 20.0, 0.7);
        }
        proxy.update_endpoint(Endpoint {
            started_at: Some(proxy.now),
            ..endpoint(9)
        });
        for step in 0..190 {
            proxy.wait(ms(100));
            proxy.report_load(9, 0.0, 0.0);
            let (session, actions) = proxy.request_session(None);
            dial_times.extend((dialed_server(&actions) == Some(9)).then_some(step * 100));
            proxy.end_attempt(session, 0, Outcome::Cancelled, true);
        }
    }
    dial_times.sort_unstable();
    // 29 sessions fill the warm server, whose capacity grows from a quarter to all of that in 20 s. Over any 2 s, more
    // than four times the rate that would fill its current capacity in 20 s overload it. Random variation may add 1.5
    // times the square root of that limit.
    for start in &dial_times {
        let dials_in_window = dial_times
            .iter()
            .filter(|at| (*start..*start + 2_000).contains(*at))
            .count() as f64;
        let limit = 4.0 * (0.25 + 0.75 * (*start as f64 + 2_000.0) / 20_000.0) * 29.0 / 20.0 * 2.0;
        assert!(
            dials_in_window <= limit + 1.5 * limit.sqrt(),
            "{dials_in_window} dials within 2 s from {start} ms on; the limit is {limit:.1}"
        );
    }
    assert!(
        dial_times.len() > 12 * simulated_proxies as usize / proxy_count as usize,
        "{} dials while the server warmed up",
        dial_times.len()
    );
}

// Without reports of the load per connection, it is estimated from the connections that warm servers hold and from the
// tenants' connection quota, whichever allows more connections per server.
#[test_case(0, 0.0 => true; "no connections, no quota")]
#[test_case(60, 0.0 => false; "fifteen connections each, no quota")]
#[test_case(0, 450.0 => false; "no connections, a quota of 45 each")]
#[test_case(60, 80.0 => false; "fifteen connections each, a lower quota")]
fn without_reports_capacity_is_estimated_from_connections_and_quota(
    open: usize,
    quota: f64,
) -> bool {
    let mut config = deployment(IDEMPOTENT);
    config.may_probe = false;
    config.proxy_count = 3;
    config.proxy_index = 1;
    // Divided by ten servers, as the engine counts all ids up to the new server's.
    config.total_connection_quota = quota;
    let mut proxy = Proxy::with_servers(config, 4);
    proxy.open_sessions(open);
    for _ in 0..20 {
        proxy.wait(ms(100));
    }
    // All other servers are removed from the list.
    proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Complete(
        vec![Endpoint {
            started_at: Some(proxy.now),
            ..endpoint(9)
        }],
    )));
    let mut dials = 0;
    for _ in 0..100 {
        proxy.wait(ms(100));
        for _ in 0..4 {
            dials += usize::from(dialed_server(&proxy.request_session(None).1).is_some());
        }
    }
    // Fifteen connections per proxy fill the server in 20 s. Dials are limited to three quarters of four times that
    // rate, in proportion to the capacity that the server has while it warms up.
    assert!(dials <= 11, "{dials}");
    dials < 4
}

// The predecessor process may be spending this proxy's allowance for a cold server at the same time.
#[test]
fn an_inherited_cold_server_starts_without_allowance() {
    let first_dial = |proxy_index: u32, inherited: bool| {
        let mut proxy = Proxy::without_endpoints(
            Deployment {
                proxy_index,
                proxy_count: 3,
                ..deployment(IDEMPOTENT)
            },
            7,
        );
        let cold = vec![Endpoint {
            started_at: Some(proxy.now),
            ..endpoint(0)
        }];
        proxy.handle(PlacementEvent::EndpointsUpdated(if inherited {
            EndpointUpdate::Inherited(cold)
        } else {
            EndpointUpdate::Complete(cold)
        }));
        (0..600).find(|_| {
            proxy.wait(ms(100));
            dialed_server(&proxy.request_session(None).1).is_some()
        })
    };
    let steps: Vec<_> = (0..20)
        .map(|index| (first_dial(index, true), first_dial(index, false)))
        .collect();
    assert!(
        steps
            .iter()
            .all(|(inherited, listed)| inherited.is_some() && inherited >= listed),
        "{steps:?}"
    );
    let total = |steps: Vec<Option<i32>>| steps.into_iter().flatten().sum::<i32>();
    let (inherited, listed) = steps.into_iter().unzip();
    assert!(
        total(inherited) > total(listed) + 20,
        "inherited servers wait longer in total"
    );
}
