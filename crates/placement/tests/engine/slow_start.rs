//! Slow start of freshly started servers.

use crate::support::{IDEMPOTENT, Proxy, deployment, dialed_server, endpoint, ms};
use asterramp_placement::event::{Endpoint, EndpointUpdate, Outcome};
use asterramp_placement::{Deployment, PlacementEvent};
use test_case::test_case;

#[test_case(1, 1; "one proxy")]
#[test_case(3, 3; "three proxies, the budget holds for all")]
#[test_case(3, 9; "nine")]
#[test_case(20, 20; "twenty")]
#[test_case(100, 100; "a hundred")]
fn a_cold_server_is_used_and_not_pushed_over(instances: u64, proxies: u32) {
    let mut facts = deployment(IDEMPOTENT);
    facts.proxy_count = proxies;
    let mut sent: Vec<u64> = Vec::new();
    for nonce in 0..instances {
        facts.proxy_index = nonce as u32;
        let mut proxy = Proxy::new(facts.clone(), nonce, (0..4).map(endpoint).collect());
        let held: Vec<_> = (0..28).map(|_| proxy.open_session(None).0).collect();
        for session in &held[..7] {
            proxy.end_attempt(*session, 0, Outcome::Ok, true);
        }
        for s in 0..4 {
            proxy.report_load(s, 20.0, 0.7);
        }
        proxy.update_endpoint(Endpoint {
            started_at: Some(proxy.now),
            ..endpoint(9)
        });
        for step in 0..190 {
            proxy.wait(ms(100));
            proxy.report_load(9, 0.0, 0.0);
            let (session, actions) = proxy.request_session(None);
            sent.extend((dialed_server(&actions) == Some(9)).then_some(step * 100));
            proxy.end_attempt(session, 0, Outcome::Cancelled, true);
        }
    }
    sent.sort_unstable();
    // 29 fill it in the 20 s of its warming, from a quarter of that on; four times as much in two seconds pushes it
    // over. Whole dials by chance may be some more.
    for t in &sent {
        let window = sent
            .iter()
            .filter(|u| (*t..*t + 2_000).contains(*u))
            .count() as f64;
        let limit = 4.0 * (0.25 + 0.75 * (*t as f64 + 2_000.0) / 20_000.0) * 29.0 / 20.0 * 2.0;
        assert!(
            window <= limit + 1.5 * limit.sqrt(),
            "{window} from {t} ms on, {limit:.1} is the limit"
        );
    }
    assert!(
        sent.len() > 12 * instances as usize / proxies as usize,
        "{} while it warmed",
        sent.len()
    );
}

// Where no report tells what a connection takes, warm servers show it by what they bear, and the settings by what is
// planned for all of them; the larger counts.
#[test_case(0, 0.0 => true; "nothing is borne yet, nothing planned")]
#[test_case(60, 0.0 => false; "fifteen each")]
#[test_case(0, 450.0 => false; "nothing is borne yet, as much is planned")]
#[test_case(60, 80.0 => false; "fifteen each, less is planned")]
fn without_reports_warm_servers_show_what_a_cold_one_can_take(open: usize, planned: f64) -> bool {
    let mut facts = deployment(IDEMPOTENT);
    facts.may_probe = false;
    facts.proxy_count = 3;
    facts.proxy_index = 1;
    // For the ten servers that numbers up to the new one's stand for, four of which drain.
    facts.total_connection_quota = planned;
    let mut proxy = Proxy::with(facts, 4);
    proxy.open_sessions(open);
    for _ in 0..20 {
        proxy.wait(ms(100));
    }
    // All others drain.
    proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Complete(
        vec![Endpoint {
            started_at: Some(proxy.now),
            ..endpoint(9)
        }],
    )));
    let mut sent = 0;
    for _ in 0..100 {
        proxy.wait(ms(100));
        for _ in 0..4 {
            sent += usize::from(dialed_server(&proxy.request_session(None).1).is_some());
        }
    }
    // Fifteen in the 20 s of its warming, at three quarters of four times its warmth.
    assert!(sent <= 11, "{sent}");
    sent < 4
}

// What another process of this proxy had of a cold server's budget may be spent this moment.
#[test]
fn an_inherited_cold_server_starts_without_allowance() {
    let first_dial = |number: u32, inherited: bool| {
        let mut proxy = Proxy::without_endpoints(
            Deployment {
                proxy_index: number,
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
        .map(|number| (first_dial(number, true), first_dial(number, false)))
        .collect();
    assert!(
        steps
            .iter()
            .all(|(inherited, told)| inherited.is_some() && inherited >= told),
        "{steps:?}"
    );
    let all = |steps: Vec<Option<i32>>| steps.into_iter().flatten().sum::<i32>();
    let (inherited, told) = steps.into_iter().unzip();
    assert!(
        all(inherited) > all(told) + 20,
        "on the whole it waits longer"
    );
}
