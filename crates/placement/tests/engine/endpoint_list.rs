//! The endpoint list: its updates and polls.

use crate::support::{
    IDEMPOTENT, Proxy, count, deployment, dialed_server, endpoint, ms, outcome_letter,
};
use asterramp_placement::event::{Endpoint, EndpointState, EndpointUpdate};
use asterramp_placement::{PlacementAction, PlacementEvent};
use test_case::test_case;

#[test_case(EndpointState::Draining; "draining")]
#[test_case(EndpointState::Gone; "gone")]
fn a_draining_or_removed_server_gets_no_sessions(state: EndpointState) {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    proxy.update_endpoint(Endpoint {
        state,
        ..endpoint(0)
    });
    assert!((0..50).all(|_| dialed_server(&proxy.request_session(None).1) != Some(0)));
    proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Complete(
        vec![],
    )));
    assert_eq!(
        outcome_letter(&proxy.request_session(None).1),
        'R',
        "servers that a complete list leaves out are gone"
    );
}

#[test]
fn the_endpoint_list_is_polled_at_start_and_again_with_backoff() {
    let mut config = deployment(IDEMPOTENT);
    config.max_endpoint_list_age = Some(ms(10_000));
    let polls =
        |actions: &[PlacementAction]| count(actions, |a| *a == PlacementAction::PollEndpoints);
    let mut proxy = Proxy::without_endpoints(config, 1);
    assert_eq!(
        polls(
            &proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Stale(
                vec![endpoint(0)]
            )))
        ),
        1
    );
    let mut total = 0;
    for _ in 0..200 {
        let actions = proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Failed));
        assert_eq!(polls(&actions), 0, "not at once");
        total += polls(&proxy.wait(ms(200)));
    }
    assert!(total <= 20, "{total} polls in 40 s");
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 1);
    assert_eq!(
        polls(&proxy.wait(ms(5_000))),
        0,
        "a pushed list is not polled"
    );
}

// While all polls fail, the proxies of a fleet poll discovery at a total rate that it could serve, spread over time.
#[test_case(3, 2; "three")]
#[test_case(100, 20; "a hundred")]
#[test_case(300, 30; "three hundred")]
fn failing_polls_of_a_fleet_back_off_and_spread(proxy_count: u32, max_polls_per_second: usize) {
    let mut config = deployment(IDEMPOTENT);
    config.proxy_count = proxy_count;
    config.max_endpoint_list_age = Some(ms(10_000));
    let mut polls_by_second = [0; 60];
    for nonce in 0..u64::from(proxy_count) {
        let mut proxy = Proxy::new(config.clone(), nonce, vec![endpoint(0)]);
        let started_at = proxy.now;
        let mut last_poll = ms(0);
        while last_poll < ms(58_000) {
            // Each poll fails after 2 s.
            proxy.wait(ms(2_000));
            proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Failed));
            while !proxy
                .wait(ms(100))
                .contains(&PlacementAction::PollEndpoints)
            {}
            let elapsed = proxy.now - started_at;
            assert!(
                elapsed - last_poll < ms(40_000),
                "no poll for {:?}",
                elapsed - last_poll
            );
            if let Some(polls) = polls_by_second.get_mut(elapsed.as_secs() as usize) {
                *polls += 1;
            }
            last_poll = elapsed;
        }
    }
    let last_half = &polls_by_second[30..];
    let most = last_half.iter().max().unwrap_or(&0);
    assert!(
        last_half.iter().sum::<usize>() <= max_polls_per_second * 30
            && *most <= max_polls_per_second * 2,
        "{last_half:?}"
    );
}
