//! Probes: when servers are probed, and the sessions that wait for the answers.

use crate::support::{IDEMPOTENT, IS_PROBE, Proxy, count, deployment, ms, outcome_letter};
use asterramp_placement::event::SessionRequest;
use asterramp_placement::{PlacementAction, PlacementEvent};
use test_case::test_case;

// The number of probes grows with the connections that a proxy holds, not with the product of proxies and servers.
#[test_case(1, 4; "one connection")]
#[test_case(8, 22; "eight")]
fn servers_in_use_are_probed_every_few_seconds(open: usize, at_least: usize) {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 1);
    proxy.open_sessions(open);
    let mut probes = 0;
    for _ in 0..300 {
        proxy.report_load(0, 10.0, 0.2);
        probes += count(&proxy.wait(ms(100)), IS_PROBE);
    }
    assert!(
        (at_least..at_least * 3 / 2).contains(&probes),
        "{probes} in 30 s"
    );
}

// With one connection the probe interval is 6 s, which is too long when the clients of a failed proxy arrive. The
// interval follows the current number of connections.
#[test]
fn a_server_that_fills_is_probed_soon() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 1);
    proxy.open_session(None);
    proxy.wait(ms(300));
    proxy.open_sessions(20);
    assert!(count(&proxy.wait(ms(1_300)), IS_PROBE) > 0);
}

#[test_case(3; "three servers")]
#[test_case(120; "a hundred and twenty")]
fn only_the_two_candidates_of_a_session_are_probed(servers: u32) {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), servers);
    assert_eq!(
        count(&proxy.wait(ms(5_000)), IS_PROBE),
        0,
        "no probes without connections"
    );
    let actions = proxy.request_session(None).1;
    assert_eq!(
        (count(&actions, IS_PROBE), outcome_letter(&actions)),
        (2, 'D')
    );
    proxy.now += ms(100);
    assert!(count(&proxy.request_session(None).1, IS_PROBE) <= 2);
}

// A session waits for probes only until its probe deadline. If its client leaves in the meantime, it gets no answer.
#[test_case(true => '-'; "client left")]
#[test_case(false => 'D'; "no probe answered")]
fn waiting_for_probes_ends(client_leaves: bool) -> char {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 3);
    let request = SessionRequest {
        answer_deadline: proxy.now + ms(4_800),
        ..SessionRequest::default()
    };
    assert_eq!(
        outcome_letter(&proxy.handle(PlacementEvent::SessionRequested(request))),
        '-'
    );
    if client_leaves {
        assert_eq!(
            proxy.handle(PlacementEvent::ClientLeft { session: 0 }),
            [PlacementAction::ReleaseSession { session: 0 }]
        );
    }
    outcome_letter(&proxy.wait(ms(500)))
}

#[test]
fn no_probe_and_no_cancel_where_they_are_not_allowed() {
    let mut config = deployment(IDEMPOTENT);
    config.may_probe = false;
    config.may_cancel = false;
    config.max_attempts = 0;
    let mut proxy = Proxy::with_servers(config, 2);
    let (session, actions) = proxy.request_session(None);
    assert_eq!(outcome_letter(&actions), 'D', "without any report");
    let actions = [
        proxy.handle(PlacementEvent::ClientLeft { session }),
        proxy.wait(ms(5_000)),
    ]
    .concat();
    assert!(
        actions
            .iter()
            .all(|action| matches!(action, PlacementAction::SetTimer { .. })),
        "{actions:?}"
    );
}
