//! When servers are probed, and who waits for the answers.

use crate::support::{IDEMPOTENT, IS_PROBE, Proxy, count, deployment, ms, outcome_letter};
use asterramp_placement::event::SessionRequest;
use asterramp_placement::{PlacementAction, PlacementEvent};
use test_case::test_case;

// Probes grow with what they are worth to us, not with proxies times servers.
#[test_case(1, 4; "one connection")]
#[test_case(8, 22; "eight")]
fn servers_in_use_are_probed_every_few_seconds(held: usize, at_least: usize) {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 1);
    proxy.open_sessions(held);
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

// Six seconds by the old count are long where a failed proxy's clients come.
#[test]
fn a_server_that_fills_is_probed_within_a_second_or_so() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 1);
    proxy.open_session(None);
    proxy.wait(ms(300));
    proxy.open_sessions(20);
    assert!(count(&proxy.wait(ms(1_300)), IS_PROBE) > 0);
}

#[test_case(3; "three servers")]
#[test_case(120; "a hundred and twenty")]
fn a_session_has_its_two_candidates_asked_and_no_others(servers: u32) {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), servers);
    assert_eq!(
        count(&proxy.wait(ms(5_000)), IS_PROBE),
        0,
        "nothing held, nothing asked"
    );
    let actions = proxy.request_session(None).1;
    assert_eq!(
        (count(&actions, IS_PROBE), outcome_letter(&actions)),
        (2, 'D')
    );
    proxy.now += ms(100);
    assert!(count(&proxy.request_session(None).1, IS_PROBE) <= 2);
}

// A session waits for probes for part of its time only, and one that leaves meanwhile is owed nothing.
#[test_case(true => '-'; "client left")]
#[test_case(false => 'D'; "probes lost")]
fn waiting_for_probes_ends(leaves: bool) -> char {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 3);
    let arrival = SessionRequest {
        answer_deadline: proxy.now + ms(4_800),
        ..SessionRequest::default()
    };
    assert_eq!(
        outcome_letter(&proxy.handle(PlacementEvent::SessionRequested(arrival))),
        '-'
    );
    if leaves {
        assert_eq!(
            proxy.handle(PlacementEvent::ClientLeft { session: 0 }),
            [PlacementAction::ReleaseSession { session: 0 }]
        );
    }
    outcome_letter(&proxy.wait(ms(500)))
}

#[test]
fn no_probe_and_no_cancel_where_they_are_not_allowed() {
    let mut facts = deployment(IDEMPOTENT);
    facts.may_probe = false;
    facts.may_cancel = false;
    facts.max_attempts = 0;
    let mut proxy = Proxy::with(facts, 2);
    let (session, actions) = proxy.request_session(None);
    assert_eq!(outcome_letter(&actions), 'D', "without a single report");
    let actions = [
        proxy.handle(PlacementEvent::ClientLeft { session }),
        proxy.wait(ms(5_000)),
    ]
    .concat();
    assert!(
        actions
            .iter()
            .all(|a| matches!(a, PlacementAction::SetTimer { .. })),
        "{actions:?}"
    );
}
