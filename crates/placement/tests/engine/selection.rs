//! Selection of the server on which a session is placed.

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
fn the_less_loaded_candidate_is_selected(first: (f64, f64), second: (f64, f64)) -> ServerId {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    proxy.report_load(0, first.0, first.1);
    proxy.report_load(1, second.0, second.1);
    dialed_server(&proxy.request_session(None).1).unwrap()
}

#[test]
fn weights_decide_how_often_a_server_is_drawn() {
    let servers = [4.0, 1.0, 1.0, 1.0]
        .iter()
        .zip(0..)
        .map(|(weight, id)| Endpoint {
            weight: *weight,
            ..endpoint(id)
        })
        .collect();
    let mut proxy = Proxy::new(deployment(IDEMPOTENT), 3, servers);
    let mut dials = [0; 4];
    for _ in 0..400 {
        for server in 0..4 {
            proxy.report_load(server, 10.0, 0.2);
        }
        proxy.now += ms(2_000);
        dials[dialed_server(&proxy.request_session(None).1).unwrap() as usize] += 1;
    }
    assert!(
        dials[0] > 130 && dials.iter().all(|count| *count > 40),
        "{dials:?}"
    );
}

#[test_case(30, false => 'D'; "most drain")]
#[test_case(40, false => 'R'; "all drain")]
#[test_case(40, true => 'D'; "all fail and are used as if none did")]
fn remaining_servers_are_used(affected: u32, fail: bool) -> char {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 40);
    let draining = |id| Endpoint {
        state: EndpointState::Draining,
        ..endpoint(id)
    };
    for id in 0..affected {
        if fail {
            proxy.fail_probe(id);
        } else {
            proxy.update_endpoint(draining(id));
        }
    }
    let outcome = outcome_letter(&proxy.request_session(None).1);
    for id in 40..80 {
        proxy.update_endpoint(endpoint(id));
    }
    assert_eq!(
        outcome_letter(&proxy.request_session(None).1),
        'D',
        "new servers are used"
    );
    outcome
}

// Another session on full servers would degrade those that are open.
#[test_case(0.5 => 'D'; "spare capacity")]
#[test_case(0.95 => 'R'; "full")]
fn rejected_where_all_servers_are_full(utilization: f64) -> char {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    for server in 0..2 {
        proxy.report_load(server, 50.0, utilization);
    }
    let actions = proxy.request_session(None).1;
    assert!(actions.iter().all(
        |action| !matches!(action, PlacementAction::Reject { retry_after, .. } if retry_after.is_zero())
    ));
    outcome_letter(&actions)
}

// When servers are nearly full, sessions of lower priority are rejected first. With spare capacity, or if all
// priorities are equal, priority makes no difference.
#[test_case(1.0, 1.0, 0.80 => "DD"; "equal priority, nearly full")]
#[test_case(1.0, 0.2, 0.60 => "DD"; "lower priority, spare capacity")]
#[test_case(1.0, 0.2, 0.80 => "DR"; "lower priority, nearly full")]
#[test_case(0.2, 1.0, 0.80 => "RD"; "higher priority, nearly full")]
#[test_case(1.0, 0.0, 0.60 => "DD"; "no priority, spare capacity")]
#[test_case(1.0, 0.2, 0.95 => "RR"; "full")]
fn lower_priority_is_rejected_first(first: f64, second: f64, utilization: f64) -> String {
    let config = deployment(IDEMPOTENT);
    let listeners = [first, second]
        .map(|priority_weight| Listener {
            priority_weight,
            ..config.listeners[0]
        })
        .to_vec();
    let mut proxy = Proxy::with_servers(
        Deployment {
            listeners,
            ..config
        },
        2,
    );
    for server in 0..2 {
        proxy.report_load(server, 50.0, utilization);
    }
    [0, 1]
        .map(|listener| outcome_letter(&proxy.request_session_at(listener, None).1))
        .iter()
        .collect()
}

// Each server that holds connections of a group bears the group's cost.
#[test]
fn a_group_stays_on_one_server_that_all_proxies_agree_on() {
    let group_server = |nonce| {
        let mut proxy = Proxy::new(
            deployment(IDEMPOTENT),
            nonce,
            (0..8).map(endpoint).collect(),
        );
        for server in 0..8 {
            let number = f64::from(server);
            proxy.report_load(server, 10.0 + number, 0.2 + 0.01 * number);
        }
        let servers: Vec<ServerId> = (0..6).map(|_| proxy.open_session(Some(77)).1).collect();
        assert!(
            servers.iter().all(|server| *server == servers[0]),
            "{servers:?}"
        );
        servers[0]
    };
    assert!((1..9).all(|nonce| group_server(nonce) == group_server(0)));
}

// If a group tried further servers of a busy zone, it would spread over all of them.
#[test]
fn a_group_uses_its_first_two_servers_in_the_zone_or_the_shared_order() {
    let servers: Vec<Endpoint> = (0..12)
        .map(|id| Endpoint {
            zone: (id % 2) as u8,
            ..endpoint(id)
        })
        .collect();
    let selected = |group, local_load: f64, remote_load: f64, zone| {
        let mut config = deployment(IDEMPOTENT);
        config.zone = zone as u8;
        let mut proxy = Proxy::new(config, 1, servers.clone());
        let load = |server| {
            let base = if server % 2 == zone {
                local_load
            } else {
                remote_load
            };
            base + 0.01 * f64::from(server)
        };
        for server in 0..12 {
            proxy.report_load(server, 10.0, load(server));
        }
        proxy.open_session(group).1
    };
    assert_eq!(
        [
            selected(Some(5), 0.3, 0.3, 0) % 2,
            selected(Some(5), 0.3, 0.3, 1) % 2
        ],
        [0, 1]
    );
    assert_eq!(
        selected(Some(5), 0.55, 0.55, 0),
        selected(Some(5), 0.55, 0.55, 1),
        "proxies of both zones use one order"
    );
    assert_eq!(
        selected(None, 0.3, 0.1, 0) % 2,
        0,
        "the proxy's zone while it is lightly loaded"
    );
    assert_eq!(
        selected(None, 0.8, 0.1, 0) % 2,
        1,
        "another zone while the proxy's is busy"
    );
}

// Trying many servers for one session costs probes and time, and may spread its group over one more server.
#[test_case(12 => 'D'; "one of the first has spare capacity")]
#[test_case(60 => 'R'; "all of the first are full")]
fn a_session_considers_only_a_few_servers(full_servers: u32) -> char {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 64);
    proxy.probe_loads = (0..64)
        .map(|server| {
            let utilization = if server < full_servers { 0.95 } else { 0.2 };
            (server, load_report(50.0, utilization))
        })
        .collect();
    let actions = proxy.request_session(Some(3)).1;
    assert!(count(&actions, IS_PROBE) <= 32, "{actions:?}");
    outcome_letter(&actions)
}
