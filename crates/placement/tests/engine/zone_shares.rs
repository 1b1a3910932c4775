//! What another subsystem says of whole zones, and what the module makes of it. Servers 0 to 2 stand in zone 0, where
//! the proxy is, 3 to 5 in zone 1.

use crate::support::{Proxy, count, deployment, dialled, entry};
use asterramp_placement::deployment::RetrySafety;
use asterramp_placement::event::{Endpoint, Event, Outcome, ServerId, SessionRequest};
use asterramp_placement::{Action, Deployment};
use std::time::Duration;
use test_case::test_case;

fn proxy() -> Proxy {
    let zoned = |id: ServerId| Endpoint {
        zone: (id / 3) as u8,
        ..entry(id)
    };
    // Nothing is near, so that both zones are drawn alike.
    let facts = Deployment {
        zone: 7,
        ..deployment(RetrySafety::Idempotent)
    };
    Proxy::new(facts, 7, (0..6).map(zoned).collect())
}

fn goes_there(proxy: &mut Proxy, sessions: usize) -> usize {
    (0..sessions).filter(|_| proxy.open(None).1 >= 3).count()
}

#[test_case(1.0, 60..140; "whole")]
#[test_case(0.5, 30..101; "by half, though it fills less")]
#[test_case(0.0, 0..1; "lost")]
fn a_zone_takes_the_part_that_it_is_open_for(open: f64, sessions: std::ops::Range<usize>) {
    let mut proxy = proxy();
    proxy.tell(Event::ZoneShare {
        zone: 1,
        share: open,
    });
    let there = goes_there(&mut proxy, 200);
    assert!(sessions.contains(&there), "{there} of 200");
}

#[test]
fn one_that_is_whole_again_is_used_as_before() {
    let mut proxy = proxy();
    for open in [0.0, 0.5, 1.0] {
        proxy.tell(Event::ZoneShare {
            zone: 1,
            share: open,
        });
    }
    // Its servers were silent; they answer again.
    (3..6).for_each(|server| drop(proxy.probed(server, 0.0, 0.0)));
    assert!((60..140).contains(&goes_there(&mut proxy, 200)));
}

#[test]
fn who_is_at_a_lost_zone_is_moved_at_the_next_probe_that_fails_and_nobody_else() {
    let mut proxy = proxy();
    let there: Vec<u32> = proxy
        .open_many(40)
        .into_iter()
        .filter(|s| s.1 >= 3)
        .map(|s| s.0)
        .collect();
    assert!(there.len() > 5);
    let moved = |did: &[Action]| count(did, |a| matches!(a, Action::Migrate { .. }));
    assert_eq!(
        moved(&proxy.tell(Event::ZoneShare {
            zone: 1,
            share: 0.0
        })),
        0,
        "no crowd at once"
    );
    assert_eq!(
        (0..3)
            .map(|server| moved(&proxy.unanswered(server)))
            .sum::<usize>(),
        0,
        "one may be lost"
    );
    assert_eq!(
        (3..6)
            .map(|server| moved(&proxy.unanswered(server)))
            .sum::<usize>(),
        there.len()
    );
}

#[test]
fn who_waits_for_a_lost_server_is_placed_elsewhere_at_once() {
    let mut proxy = proxy();
    let (mut waiting, mut placed) = (0, 0);
    for sess in 0..12 {
        let dial_timeout = proxy.now + Duration::from_secs(4);
        let did = proxy.tell(Event::SessionRequested(SessionRequest {
            session: sess,
            dial_timeout,
            ..SessionRequest::default()
        }));
        waiting += usize::from(dialled(&did).is_none());
    }
    for server in 0..3 {
        placed += count(&proxy.probed(server, 0.0, 0.0), |a| {
            matches!(a, Action::Dial { .. })
        });
    }
    let did = proxy.tell(Event::ZoneShare {
        zone: 1,
        share: 0.0,
    });
    assert!(
        did.iter()
            .all(|a| !matches!(a, Action::Dial { server: 3.., .. })),
        "{did:?}"
    );
    placed += count(&did, |a| matches!(a, Action::Dial { .. }));
    assert_eq!(
        (waiting, placed),
        (12, 12),
        "all waited, and nobody waits for the lost zone any more"
    );
}

#[test]
fn a_lost_zone_is_not_tried_though_all_others_rest() {
    let mut proxy = proxy();
    proxy.tell(Event::ZoneShare {
        zone: 1,
        share: 0.0,
    });
    for _ in 0..8 {
        let (sess, mut did) = proxy.arrive(None);
        for dial in 0..4 {
            let Some(server) = dialled(&did) else { break };
            assert!(server < 3, "dialled at {server}");
            did = proxy.end(sess, dial, Outcome::Unreachable, false);
        }
    }
}

#[test]
fn a_doubted_server_is_asked_once() {
    let mut proxy = proxy();
    let asks = |did: Vec<Action>| count(&did, |a| matches!(a, Action::Probe { server: 4 }));
    assert_eq!(asks(proxy.tell(Event::ProbeRequested { server: 4 })), 1);
    assert_eq!(asks(proxy.tell(Event::ProbeRequested { server: 4 })), 0);
    assert_eq!(proxy.tell(Event::ProbeRequested { server: 400 }), []);
}

#[test]
fn who_leaves_a_probe_unanswered_is_not_dialled_while_another_can_be() {
    let mut proxy = Proxy::with(deployment(RetrySafety::Idempotent), 2);
    proxy.tell(Event::ProbeRequested { server: 1 });
    proxy.now += Duration::from_millis(400);
    for _ in 0..20 {
        assert_eq!(dialled(&proxy.arrive(None).1), Some(0));
    }
    // Alone, it is tried all the same.
    let mut proxy = Proxy::with(deployment(RetrySafety::Idempotent), 1);
    proxy.tell(Event::ProbeRequested { server: 0 });
    proxy.now += Duration::from_millis(400);
    let (_, did) = proxy.arrive(None);
    let waited = proxy.wait(Duration::from_millis(500));
    assert_eq!(dialled(&[did, waited].concat()), Some(0));
}
