//! The endpoint list: who is on it, and when it is polled.

use crate::support::{
    IDEMPOTENT, Proxy, count, deployment, dialed_server, endpoint, ms, outcome_letter,
};
use asterramp_placement::event::{Endpoint, EndpointState, EndpointUpdate};
use asterramp_placement::{PlacementAction, PlacementEvent};
use test_case::test_case;

#[test_case(EndpointState::Draining; "draining")]
#[test_case(EndpointState::Gone; "gone")]
fn nothing_goes_to_a_draining_server(standing: EndpointState) {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    proxy.update_endpoint(Endpoint {
        state: standing,
        ..endpoint(0)
    });
    assert!((0..50).all(|_| dialed_server(&proxy.request_session(None).1) != Some(0)));
    proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Complete(
        vec![],
    )));
    assert_eq!(
        outcome_letter(&proxy.request_session(None).1),
        'R',
        "a server that a whole list leaves out is gone"
    );
}

#[test]
fn the_endpoint_list_is_polled_at_start_and_again_with_backoff() {
    let mut facts = deployment(IDEMPOTENT);
    facts.max_endpoint_list_age = Some(ms(10_000));
    let asks =
        |actions: &[PlacementAction]| count(actions, |a| *a == PlacementAction::PollEndpoints);
    let mut proxy = Proxy::without_endpoints(facts, 1);
    assert_eq!(
        asks(
            &proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Stale(
                vec![endpoint(0)]
            )))
        ),
        1
    );
    let mut total = 0;
    for _ in 0..200 {
        let actions = proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Failed));
        assert_eq!(asks(&actions), 0, "not in the same breath");
        total += asks(&proxy.wait(ms(200)));
    }
    assert!(total <= 20, "{total} calls in 40 s");
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 1);
    assert_eq!(
        asks(&proxy.wait(ms(5_000))),
        0,
        "a pushed list is not polled"
    );
}

// Discovery that answers nobody is polled by all proxies of a fleet at a rate that it could serve, and not in step.
#[test_case(3, 2; "three")]
#[test_case(100, 20; "a hundred")]
#[test_case(300, 30; "three hundred")]
fn calls_of_a_fleet_to_a_roster_that_fails_abate_and_spread(proxies: u32, a_second: usize) {
    let mut facts = deployment(IDEMPOTENT);
    facts.proxy_count = proxies;
    facts.max_endpoint_list_age = Some(ms(10_000));
    let mut calls = [0; 60];
    for nonce in 0..u64::from(proxies) {
        let mut proxy = Proxy::new(facts.clone(), nonce, vec![endpoint(0)]);
        let began = proxy.now;
        let mut last = ms(0);
        while last < ms(58_000) {
            // Each call fails after two seconds in the queue.
            proxy.wait(ms(2_000));
            proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Failed));
            while !proxy
                .wait(ms(100))
                .contains(&PlacementAction::PollEndpoints)
            {}
            let now = proxy.now - began;
            assert!(
                now - last < ms(40_000),
                "told of nothing for {:?}",
                now - last
            );
            if let Some(calls) = calls.get_mut(now.as_secs() as usize) {
                *calls += 1;
            }
            last = now;
        }
    }
    let late = &calls[30..];
    let most = late.iter().max().unwrap_or(&0);
    assert!(
        late.iter().sum::<usize>() <= a_second * 30 && *most <= a_second * 2,
        "{late:?}"
    );
}
