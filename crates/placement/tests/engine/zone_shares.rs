//! Shares of zones that another subsystem sets, and what the engine makes of them. Servers 0 to 2 stand in zone 0, where
//! the proxy is, 3 to 5 in zone 1.

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
    // Nothing is near, so that both zones are drawn alike.
    let facts = Deployment {
        zone: 7,
        ..deployment(RetrySafety::Idempotent)
    };
    Proxy::new(facts, 7, (0..6).map(zoned).collect())
}

fn goes_there(proxy: &mut Proxy, sessions: usize) -> usize {
    (0..sessions)
        .filter(|_| proxy.open_session(None).1 >= 3)
        .count()
}

#[test_case(1.0, 60..140; "whole")]
#[test_case(0.5, 30..101; "by half, though it fills less")]
#[test_case(0.0, 0..1; "lost")]
fn a_zone_gets_its_share(open: f64, sessions: std::ops::Range<usize>) {
    let mut proxy = proxy();
    proxy.handle(PlacementEvent::ZoneShareChanged {
        zone: 1,
        share: open,
    });
    let there = goes_there(&mut proxy, 200);
    assert!(sessions.contains(&there), "{there} of 200");
}

#[test]
fn a_restored_zone_is_used_as_before() {
    let mut proxy = proxy();
    for open in [0.0, 0.5, 1.0] {
        proxy.handle(PlacementEvent::ZoneShareChanged {
            zone: 1,
            share: open,
        });
    }
    // Its servers were silent; they answer again.
    for server in 3..6 {
        proxy.report_load(server, 0.0, 0.0);
    }
    assert!((60..140).contains(&goes_there(&mut proxy, 200)));
}

#[test]
fn sessions_at_a_lost_zone_migrate_at_the_next_failed_probe_and_no_others() {
    let mut proxy = proxy();
    let there: Vec<u32> = proxy
        .open_sessions(40)
        .into_iter()
        .filter(|s| s.1 >= 3)
        .map(|s| s.0)
        .collect();
    assert!(there.len() > 5);
    let moved = |actions: &[PlacementAction]| {
        count(actions, |a| matches!(a, PlacementAction::Migrate { .. }))
    };
    assert_eq!(
        moved(&proxy.handle(PlacementEvent::ZoneShareChanged {
            zone: 1,
            share: 0.0
        })),
        0,
        "no crowd at once"
    );
    assert_eq!(
        (0..3)
            .map(|server| moved(&proxy.fail_probe(server)))
            .sum::<usize>(),
        0,
        "one may be lost"
    );
    assert_eq!(
        (3..6)
            .map(|server| moved(&proxy.fail_probe(server)))
            .sum::<usize>(),
        there.len()
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
        placed += count(&proxy.report_load(server, 0.0, 0.0), |a| {
            matches!(a, PlacementAction::Dial { .. })
        });
    }
    let actions = proxy.handle(PlacementEvent::ZoneShareChanged {
        zone: 1,
        share: 0.0,
    });
    assert!(
        actions
            .iter()
            .all(|a| !matches!(a, PlacementAction::Dial { server: 3.., .. })),
        "{actions:?}"
    );
    placed += count(&actions, |a| matches!(a, PlacementAction::Dial { .. }));
    assert_eq!(
        (waiting, placed),
        (12, 12),
        "all waited, and nobody waits for the lost zone any more"
    );
}

#[test]
fn a_lost_zone_is_not_tried_though_all_other_servers_are_ejected() {
    let mut proxy = proxy();
    proxy.handle(PlacementEvent::ZoneShareChanged {
        zone: 1,
        share: 0.0,
    });
    for _ in 0..8 {
        let (session, mut actions) = proxy.request_session(None);
        for dial in 0..4 {
            let Some(server) = dialed_server(&actions) else {
                break;
            };
            assert!(server < 3, "dialed at {server}");
            actions = proxy.end_attempt(session, dial, Outcome::Unreachable, false);
        }
    }
}

#[test]
fn a_requested_probe_is_sent_once() {
    let mut proxy = proxy();
    let asks = |actions: Vec<PlacementAction>| {
        count(&actions, |a| {
            matches!(a, PlacementAction::Probe { server: 4 })
        })
    };
    assert_eq!(
        asks(proxy.handle(PlacementEvent::ProbeRequested { server: 4 })),
        1
    );
    assert_eq!(
        asks(proxy.handle(PlacementEvent::ProbeRequested { server: 4 })),
        0
    );
    assert_eq!(
        proxy.handle(PlacementEvent::ProbeRequested { server: 400 }),
        []
    );
}

#[test]
fn a_server_with_a_late_probe_is_not_dialed_while_another_can_be() {
    let mut proxy = Proxy::with(deployment(RetrySafety::Idempotent), 2);
    proxy.handle(PlacementEvent::ProbeRequested { server: 1 });
    proxy.now += Duration::from_millis(400);
    for _ in 0..20 {
        assert_eq!(dialed_server(&proxy.request_session(None).1), Some(0));
    }
    // Alone, it is tried all the same.
    let mut proxy = Proxy::with(deployment(RetrySafety::Idempotent), 1);
    proxy.handle(PlacementEvent::ProbeRequested { server: 0 });
    proxy.now += Duration::from_millis(400);
    let (_, actions) = proxy.request_session(None);
    let waited = proxy.wait(Duration::from_millis(500));
    assert_eq!(dialed_server(&[actions, waited].concat()), Some(0));
}
