//! Which server a session goes to.

use crate::support::{
    IDEMPOTENT, IS_PROBE, Proxy, count, deployment, dialed_server, endpoint, load as load_report,
    ms, outcome_letter,
};
use asterramp_placement::deployment::Listener;
use asterramp_placement::event::{Endpoint, EndpointState, ServerId};
use asterramp_placement::{Deployment, PlacementAction};
use test_case::test_case;

#[test_case((10.0, 0.2), (20.0, 0.4) => 0; "fewer connections")]
#[test_case((20.0, 0.4), (10.0, 0.2) => 1; "fewer connections on the second")]
#[test_case((20.0, 0.2), (10.0, 0.4) => 0; "a stronger server with more connections")]
fn the_less_loaded_candidate_wins(a: (f64, f64), b: (f64, f64)) -> ServerId {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    proxy.report_load(0, a.0, a.1);
    proxy.report_load(1, b.0, b.1);
    dialed_server(&proxy.request_session(None).1).unwrap()
}

#[test]
fn weights_decide_how_often_a_server_is_drawn() {
    let servers = [4.0, 1.0, 1.0, 1.0]
        .iter()
        .zip(0..)
        .map(|(w, id)| Endpoint {
            weight: *w,
            ..endpoint(id)
        })
        .collect();
    let mut proxy = Proxy::new(deployment(IDEMPOTENT), 3, servers);
    let mut got = [0; 4];
    for _ in 0..400 {
        for s in 0..4 {
            proxy.report_load(s, 10.0, 0.2);
        }
        proxy.now += ms(2_000);
        got[dialed_server(&proxy.request_session(None).1).unwrap() as usize] += 1;
    }
    assert!(got[0] > 130 && got.iter().all(|n| *n > 40), "{got:?}");
}

#[test_case(30, false => 'D'; "most drain")]
#[test_case(40, false => 'R'; "all drain")]
#[test_case(40, true => 'D'; "all fail, serving goes on as if none did")]
fn the_remaining_servers_are_found(lost: u32, fail: bool) -> char {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 40);
    let drains = |id| Endpoint {
        state: EndpointState::Draining,
        ..endpoint(id)
    };
    for id in 0..lost {
        if fail {
            proxy.fail_probe(id);
        } else {
            proxy.update_endpoint(drains(id));
        }
    }
    let came = outcome_letter(&proxy.request_session(None).1);
    for id in 40..80 {
        proxy.update_endpoint(endpoint(id));
    }
    assert_eq!(
        outcome_letter(&proxy.request_session(None).1),
        'D',
        "a fleet that doubles"
    );
    came
}

// One session more on full servers would spoil those that stand.
#[test_case(0.5 => 'D'; "room")]
#[test_case(0.95 => 'R'; "full")]
fn refused_where_no_server_has_room(asked: f64) -> char {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    for s in 0..2 {
        proxy.report_load(s, 50.0, asked);
    }
    let actions = proxy.request_session(None).1;
    assert!(actions.iter().all(
        |a| !matches!(a, PlacementAction::Reject { retry_after: come_back, .. } if come_back.is_zero())
    ));
    outcome_letter(&actions)
}

// When room runs out, sessions of lower priority are rejected first; with room, or where all priorities are alike, nothing
// differs.
#[test_case(1.0, 1.0, 0.80 => "DD"; "alike, hardly any room")]
#[test_case(1.0, 0.2, 0.60 => "DD"; "lower priority, room")]
#[test_case(1.0, 0.2, 0.80 => "DR"; "lower priority, hardly any room")]
#[test_case(0.2, 1.0, 0.80 => "RD"; "higher priority, hardly any room")]
#[test_case(1.0, 0.0, 0.60 => "DD"; "no priority, room")]
#[test_case(1.0, 0.2, 0.95 => "RR"; "full")]
fn lower_priority_is_rejected_first(first: f64, second: f64, asked: f64) -> String {
    let facts = deployment(IDEMPOTENT);
    let listeners = [first, second]
        .map(|worth| Listener {
            priority_weight: worth,
            ..facts.listeners[0]
        })
        .to_vec();
    let mut proxy = Proxy::with(Deployment { listeners, ..facts }, 2);
    for s in 0..2 {
        proxy.report_load(s, 50.0, asked);
    }
    [0, 1]
        .map(|listener| outcome_letter(&proxy.request_session_at(listener, None).1))
        .iter()
        .collect()
}

// A group is paid for by every server that holds any of it.
#[test]
fn a_group_stays_together_and_proxies_agree_on_where() {
    let home = |nonce| {
        let mut proxy = Proxy::new(
            deployment(IDEMPOTENT),
            nonce,
            (0..8).map(endpoint).collect(),
        );
        for s in 0..8 {
            proxy.report_load(s, 10.0 + f64::from(s), 0.2 + 0.01 * f64::from(s));
        }
        let got: Vec<ServerId> = (0..6).map(|_| proxy.open_session(Some(77)).1).collect();
        assert!(got.iter().all(|s| *s == got[0]), "{got:?}");
        got[0]
    };
    assert!((1..9).all(|nonce| home(nonce) == home(0)));
}

// Walking on through a busy zone would leave some of a group on every server there.
#[test]
fn a_group_takes_its_first_two_near_by_or_the_agreed_order() {
    let servers: Vec<Endpoint> = (0..12)
        .map(|id| Endpoint {
            zone: (id % 2) as u8,
            ..endpoint(id)
        })
        .collect();
    let at = |group, near: f64, far: f64, zone| {
        let mut facts = deployment(IDEMPOTENT);
        facts.zone = zone as u8;
        let mut proxy = Proxy::new(facts, 1, servers.clone());
        let load = |s| if s % 2 == zone { near } else { far } + 0.01 * f64::from(s);
        for s in 0..12 {
            proxy.report_load(s, 10.0, load(s));
        }
        proxy.open_session(group).1
    };
    assert_eq!(
        [at(Some(5), 0.3, 0.3, 0) % 2, at(Some(5), 0.3, 0.3, 1) % 2],
        [0, 1]
    );
    assert_eq!(
        at(Some(5), 0.55, 0.55, 0),
        at(Some(5), 0.55, 0.55, 1),
        "both zones go by one order"
    );
    assert_eq!(at(None, 0.3, 0.1, 0) % 2, 0, "room in its own zone");
    assert_eq!(at(None, 0.8, 0.1, 0) % 2, 1, "beyond it where that is busy");
}

// A long walk for one session costs probes and time, and leaves its group on one server more.
#[test_case(12 => 'D'; "room among the first of its order")]
#[test_case(60 => 'R'; "none among them")]
fn a_session_looks_at_a_few_servers_only(full: u32) -> char {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 64);
    proxy.loads = (0..64)
        .map(|s| (s, load_report(50.0, if s < full { 0.95 } else { 0.2 })))
        .collect();
    let actions = proxy.request_session(Some(3)).1;
    assert!(count(&actions, IS_PROBE) <= 32, "{actions:?}");
    outcome_letter(&actions)
}
