//! Effects of zone shares, which another subsystem sets, and of the probes that it requests. Servers 0 to 2 are in zone
//! 0 and servers 3 to 5 in zone 1; the proxy is in neither.

use crate::support::{Proxy, count, deployment, dialed_server, endpoint};
use asterramp_placement::deployment::RetrySafety;
use asterramp_placement::event::{Endpoint, Outcome, PlacementEvent, ServerId, SessionRequest};
use asterramp_placement::{Deployment, PlacementAction};
use std::time::Duration;
use test_case::test_case;

fn proxy() -> Proxy {
    let zoned = |id: ServerId| Endpoint {
        zone: (id / 3) as u8,
        ..endpoint(id)
    };
    // The proxy's own zone has no servers, so that neither zone is preferred.
    let config = Deployment {
        zone: 7,
        ..deployment(RetrySafety::Idempotent)
    };
    Proxy::new(config, 7, (0..6).map(zoned).collect())
}

/// Opens sessions and returns how many were placed in zone 1.
fn placed_in_zone_1(proxy: &mut Proxy, sessions: usize) -> usize {
    (0..sessions)
        .filter(|_| proxy.open_session(None).1 >= 3)
        .count()
}

#[test_case(1.0, 60..140; "full share")]
#[test_case(0.5, 30..101; "half")]
#[test_case(0.0, 0..1; "lost")]
fn a_zone_gets_its_share(share: f64, expected: std::ops::Range<usize>) {
    let mut proxy = proxy();
    proxy.handle(PlacementEvent::ZoneShareChanged { zone: 1, share });
    let placed = placed_in_zone_1(&mut proxy, 200);
    assert!(expected.contains(&placed), "{placed} of 200");
}

#[test]
fn a_restored_zone_is_used_as_before() {
    let mut proxy = proxy();
    for share in [0.0, 0.5, 1.0] {
        proxy.handle(PlacementEvent::ZoneShareChanged { zone: 1, share });
    }
    // The servers of the lost zone were marked unresponsive; they answer probes again.
    for server in 3..6 {
        proxy.report_load(server, 0.0, 0.0);
    }
    assert!((60..140).contains(&placed_in_zone_1(&mut proxy, 200)));
}

#[test]
fn sessions_at_a_lost_zone_migrate_at_the_next_failed_probe_and_no_others() {
    let mut proxy = proxy();
    let sessions: Vec<u32> = proxy
        .open_sessions(40)
        .into_iter()
        .filter(|(_, server)| *server >= 3)
        .map(|(session, _)| session)
        .collect();
    assert!(sessions.len() > 5);
    let migrated = |actions: &[PlacementAction]| {
        count(actions, |action| {
            matches!(action, PlacementAction::Migrate { .. })
        })
    };
    assert_eq!(
        migrated(&proxy.handle(PlacementEvent::ZoneShareChanged {
            zone: 1,
            share: 0.0
        })),
        0,
        "not all at once"
    );
    assert_eq!(
        (0..3)
            .map(|server| migrated(&proxy.fail_probe(server)))
            .sum::<usize>(),
        0,
        "one failed probe makes no server of the other zone unresponsive"
    );
    assert_eq!(
        (3..6)
            .map(|server| migrated(&proxy.fail_probe(server)))
            .sum::<usize>(),
        sessions.len()
    );
}

#[test]
fn sessions_that_wait_for_a_lost_server_are_placed_elsewhere_at_once() {
    let mut proxy = proxy();
    let mut waiting = 0;
    let mut placed = 0;
    for session in 0..12 {
        let answer_deadline = proxy.now + Duration::from_secs(4);
        let actions = proxy.handle(PlacementEvent::SessionRequested(SessionRequest {
            session,
            answer_deadline,
            ..SessionRequest::default()
        }));
        waiting += usize::from(dialed_server(&actions).is_none());
    }
    for server in 0..3 {
        placed += count(&proxy.report_load(server, 0.0, 0.0), |action| {
            matches!(action, PlacementAction::Dial { .. })
        });
    }
    let actions = proxy.handle(PlacementEvent::ZoneShareChanged {
        zone: 1,
        share: 0.0,
    });
    assert!(
        actions
            .iter()
            .all(|action| !matches!(action, PlacementAction::Dial { server: 3.., .. })),
        "{actions:?}"
    );
    placed += count(&actions, |action| {
        matches!(action, PlacementAction::Dial { .. })
    });
    assert_eq!(
        (waiting, placed),
        (12, 12),
        "all waited, and none still waits for the lost zone"
    );
}

#[test]
fn a_lost_zone_is_not_used_even_if_all_other_servers_are_ejected() {
    let mut proxy = proxy();
    proxy.handle(PlacementEvent::ZoneShareChanged {
        zone: 1,
        share: 0.0,
    });
    for _ in 0..8 {
        let (session, mut actions) = proxy.request_session(None);
        for attempt in 0..4 {
            let Some(server) = dialed_server(&actions) else {
                break;
            };
            assert!(server < 3, "dialed at {server}");
            actions = proxy.end_attempt(session, attempt, Outcome::Unreachable, false);
        }
    }
}

#[test]
fn a_requested_probe_is_sent_once() {
    let mut proxy = proxy();
    let probes = |actions: Vec<PlacementAction>| {
        count(&actions, |action| {
            matches!(action, PlacementAction::Probe { server: 4 })
        })
    };
    assert_eq!(
        probes(proxy.handle(PlacementEvent::ProbeRequested { server: 4 })),
        1
    );
    assert_eq!(
        probes(proxy.handle(PlacementEvent::ProbeRequested { server: 4 })),
        0
    );
    assert_eq!(
        proxy.handle(PlacementEvent::ProbeRequested { server: 400 }),
        []
    );
}

#[test]
fn a_server_with_a_late_probe_is_not_dialed_while_another_can_be() {
    let mut proxy = Proxy::with_servers(deployment(RetrySafety::Idempotent), 2);
    proxy.handle(PlacementEvent::ProbeRequested { server: 1 });
    proxy.now += Duration::from_millis(400);
    for _ in 0..20 {
        assert_eq!(dialed_server(&proxy.request_session(None).1), Some(0));
    }
    // If it is the only server, it is dialed nevertheless.
    let mut proxy = Proxy::with_servers(deployment(RetrySafety::Idempotent), 1);
    proxy.handle(PlacementEvent::ProbeRequested { server: 0 });
    proxy.now += Duration::from_millis(400);
    let (_, actions) = proxy.request_session(None);
    let later_actions = proxy.wait(Duration::from_millis(500));
    assert_eq!(dialed_server(&[actions, later_actions].concat()), Some(0));
}
