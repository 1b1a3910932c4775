//! Migration of sessions away from overloaded or unresponsive servers.

use crate::support::{IDEMPOTENT, Proxy, count, deployment, endpoint, ms};
use asterramp_placement::deployment::RetrySafety;
use asterramp_placement::event::Observation;
use asterramp_placement::{PlacementAction, PlacementEvent};
use test_case::test_case;

// An overloaded or unresponsive server serves none of its connections in time until some have left.
#[test_case(IDEMPOTENT, Some(0.8) => 0; "not overloaded")]
#[test_case(IDEMPOTENT, Some(1.7) => 5; "twice the load that it is reduced to")]
#[test_case(IDEMPOTENT, None => 10; "unresponsive")]
#[test_case(RetrySafety::NotIdempotent, None => 0; "sessions that are not idempotent stay")]
fn sessions_migrate_off_an_overloaded_server(
    retry_safety: RetrySafety,
    utilization: Option<f64>,
) -> usize {
    let mut proxy = Proxy::with_servers(deployment(retry_safety), 1);
    proxy.open_sessions(10);
    let actions = match utilization {
        Some(utilization) => proxy.report_load(0, 10.0, utilization),
        None => [proxy.fail_probe(0), proxy.fail_probe(0)].concat(),
    };
    count(&actions, |action| {
        matches!(action, PlacementAction::Migrate { .. })
    })
}

// A server that slows down in two reports in a row is assumed to have slowed down further since. One that slows down
// once may recover.
#[test_case(&[0.4, 0.6, 0.9] => true; "slower twice in a row")]
#[test_case(&[0.4, 0.4, 0.9] => false; "slower once")]
#[test_case(&[0.9, 0.9, 0.9] => false; "as slow as before")]
#[test_case(&[0.75, 0.82, 0.9] => false; "slightly slower twice in a row")]
fn sessions_migrate_off_a_server_that_slows_down_before_it_is_full(utilizations: &[f64]) -> bool {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 1);
    proxy.open_sessions(20);
    utilizations.iter().any(|utilization| {
        count(&proxy.report_load(0, 20.0, *utilization), |action| {
            matches!(action, PlacementAction::Migrate { .. })
        }) > 0
    })
}

// Late messages reveal a server that lacks CPU time although its reports show spare capacity.
#[test_case(80 => false; "within the target")]
#[test_case(120 => true; "over the target")]
fn late_messages_cause_migration(delay_millis: u64) -> bool {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 1);
    let (session, server) = proxy.open_sessions(10)[0];
    proxy.report_load(0, 10.0, 0.3);
    let actions = proxy.handle(PlacementEvent::ConnectionObserved {
        session,
        server,
        observation: Observation::MessageDelay(ms(delay_millis)),
    });
    count(&actions, |action| {
        matches!(action, PlacementAction::Migrate { .. })
    }) > 0
}

// A backlog keeps all messages late. With spare capacity elsewhere many sessions migrate at once; without it, migrating
// would help none of them.
#[test_case(0.3, 120 => true; "slightly late, spare capacity elsewhere")]
#[test_case(0.3, 900 => false; "very late, spare capacity elsewhere")]
#[test_case(0.9, 900 => true; "very late, no spare capacity")]
fn a_late_server_keeps_most_of_its_connections(utilization: f64, delay_millis: u64) -> bool {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    for server in 0..2 {
        proxy.report_load(server, 40.0, utilization.min(0.4));
    }
    let (session, server) = proxy.open_sessions(40)[0];
    for server in 0..2 {
        proxy.report_load(server, 20.0, utilization);
    }
    proxy.now += ms(2_000);
    let actions = proxy.handle(PlacementEvent::ConnectionObserved {
        session,
        server,
        observation: Observation::MessageDelay(ms(delay_millis)),
    });
    let connections_held = 20.0;
    (count(&actions, |action| {
        matches!(action, PlacementAction::Migrate { .. })
    }) as f64)
        < 0.35 * connections_held
}

// With hundreds of proxies that hold one or two connections each, shares that are rounded up would empty the server.
#[test]
fn proxies_with_few_connections_together_migrate_only_the_excess() {
    let migrated = (0..200).map(|nonce| {
        let mut proxy = Proxy::new(deployment(IDEMPOTENT), nonce, vec![endpoint(0)]);
        proxy.open_session(None);
        count(&proxy.report_load(0, 200.0, 1.0), |action| {
            matches!(action, PlacementAction::Migrate { .. })
        })
    });
    assert!((15..=50).contains(&migrated.sum::<usize>()));
}

#[test]
fn the_next_migration_waits_until_reports_can_show_the_last() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 1);
    proxy.open_sessions(20);
    let migrated = |actions: &[PlacementAction]| {
        count(actions, |action| {
            matches!(action, PlacementAction::Migrate { .. })
        })
    };
    assert!(migrated(&proxy.report_load(0, 20.0, 1.2)) > 0);
    proxy.now += ms(600);
    assert_eq!(migrated(&proxy.report_load(0, 20.0, 1.2)), 0);
    proxy.now += ms(600);
    assert!(migrated(&proxy.report_load(0, 18.0, 1.1)) > 0);
}
