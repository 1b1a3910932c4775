//! Migration away from overloaded or unresponsive servers.

use crate::support::{IDEMPOTENT, Proxy, count, deployment, endpoint, ms};
use asterramp_placement::deployment::RetrySafety;
use asterramp_placement::event::Observation;
use asterramp_placement::{PlacementAction, PlacementEvent};
use test_case::test_case;

// Connections on an overloaded or silent server are served nothing until some have gone.
#[test_case(IDEMPOTENT, Some(0.8) => 0; "not overloaded")]
#[test_case(IDEMPOTENT, Some(1.7) => 5; "twice what it should bear")]
#[test_case(IDEMPOTENT, None => 10; "silent")]
#[test_case(RetrySafety::NotIdempotent, None => 0; "not idempotent connections stay")]
fn an_overloaded_server_is_relieved(kind: RetrySafety, asked: Option<f64>) -> usize {
    let mut proxy = Proxy::with(deployment(kind), 1);
    proxy.open_sessions(10);
    let actions = match asked {
        Some(asked) => proxy.report_load(0, 10.0, asked),
        None => [proxy.fail_probe(0), proxy.fail_probe(0)].concat(),
    };
    count(&actions, |a| matches!(a, PlacementAction::Migrate { .. }))
}

// Where a server slows down from report to report, what it can do now is foreseen; one that jumps may jump back.
#[test_case(&[0.4, 0.6, 0.9] => true; "slower twice running")]
#[test_case(&[0.4, 0.4, 0.9] => false; "slower once")]
#[test_case(&[0.9, 0.9, 0.9] => false; "as slow as before")]
#[test_case(&[0.75, 0.82, 0.9] => false; "a little slower twice running")]
fn a_server_that_slows_down_is_relieved_before_it_is_full(asked: &[f64]) -> bool {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 1);
    proxy.open_sessions(20);
    asked.iter().any(|asked| {
        count(&proxy.report_load(0, 20.0, *asked), |a| {
            matches!(a, PlacementAction::Migrate { .. })
        }) > 0
    })
}

// Slow messages tell of a starved server that its reports call fit.
#[test_case(80 => false; "within the target")]
#[test_case(120 => true; "over it")]
fn slow_messages_relieve_a_server(millis: u64) -> bool {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 1);
    let (session, server) = proxy.open_sessions(10)[0];
    proxy.report_load(0, 10.0, 0.3);
    let actions = proxy.handle(PlacementEvent::ConnectionObserved {
        session,
        server,
        observation: Observation::MessageDelay(ms(millis)),
    });
    count(&actions, |a| matches!(a, PlacementAction::Migrate { .. })) > 0
}

// What is piled up keeps all messages late: with room elsewhere it pays to move many at once, without it none is better off.
#[test_case(0.3, 120 => true; "a little, room elsewhere")]
#[test_case(0.3, 900 => false; "much, room elsewhere")]
#[test_case(0.9, 900 => true; "much, no room")]
fn a_late_server_keeps_most_of_its_connections(asked: f64, millis: u64) -> bool {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    for server in 0..2 {
        proxy.report_load(server, 40.0, asked.min(0.4));
    }
    let (session, server) = proxy.open_sessions(40)[0];
    for server in 0..2 {
        proxy.report_load(server, 20.0, asked);
    }
    proxy.now += ms(2_000);
    let actions = proxy.handle(PlacementEvent::ConnectionObserved {
        session,
        server,
        observation: Observation::MessageDelay(ms(millis)),
    });
    let held = 20.0;
    (count(&actions, |a| matches!(a, PlacementAction::Migrate { .. })) as f64) < 0.35 * held
}

// Where hundreds hold a connection or two each, parts rounded up would empty the server.
#[test]
fn proxies_with_few_connections_move_the_excess_together() {
    let moved = (0..200).map(|nonce| {
        let mut proxy = Proxy::new(deployment(IDEMPOTENT), nonce, vec![endpoint(0)]);
        proxy.open_session(None);
        count(&proxy.report_load(0, 200.0, 1.0), |a| {
            matches!(a, PlacementAction::Migrate { .. })
        })
    });
    assert!((15..=50).contains(&moved.sum::<usize>()));
}

#[test]
fn relief_waits_until_it_can_show_in_reports() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 1);
    proxy.open_sessions(20);
    let moved = |actions: &[PlacementAction]| {
        count(actions, |a| matches!(a, PlacementAction::Migrate { .. }))
    };
    assert!(moved(&proxy.report_load(0, 20.0, 1.2)) > 0);
    proxy.now += ms(600);
    assert_eq!(moved(&proxy.report_load(0, 20.0, 1.2)), 0);
    proxy.now += ms(600);
    assert!(moved(&proxy.report_load(0, 18.0, 1.1)) > 0);
}
