//! Odd settings, stray events, and the same actions for the same events.

use crate::support::{IDEMPOTENT, Proxy, deployment, endpoint, ms, outcome_letter};
use asterramp_placement::deployment::RetrySafety;
use asterramp_placement::event::{Endpoint, EndpointUpdate, Outcome, ServerLoad, SessionRequest};
use asterramp_placement::{Deployment, PlacementAction, PlacementEvent};
use test_case::test_case;

// Odd but legal settings neither panic nor leave a session without an answer.
#[test_case(|f| f.proxy_count = 0; "no proxy counted")]
#[test_case(|f| f.packet_passthrough = true; "packets pass through")]
#[test_case(|f| f.weights_reflect_load = true; "weights that sink")]
#[test_case(|f| (f.slow_start.warm_after, f.slow_start.initial_capacity, f.slow_start.overload_factor) = (ms(0), 0.0, 0.0); "no cold rule")]
#[test_case(|f| f.max_endpoint_list_age = Some(ms(0)); "an endpoint list polled without a limit")]
#[test_case(|f| (f.max_retry_after, f.listeners[0].handshake_target) = (ms(0), ms(0)); "no come-back, no target")]
fn odd_settings_serve(odd: fn(&mut Deployment)) {
    let mut facts = deployment(IDEMPOTENT);
    odd(&mut facts);
    let servers = vec![
        Endpoint {
            weight: f64::NAN,
            ..endpoint(0)
        },
        Endpoint {
            weight: 0.0,
            started_at: Some(ms(0)),
            ..endpoint(1)
        },
    ];
    let mut proxy = Proxy::new(facts, 0, servers);
    proxy.report_load(0, 0.0, 0.0);
    proxy.report_load(1, 3.0, 0.0);
    proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Failed));
    proxy.wait(ms(1_000));
    // Others have come up before; where none ever has, the first failure holds back.
    proxy.handle(PlacementEvent::SessionInherited(
        SessionRequest {
            session: 99,
            ..SessionRequest::default()
        },
        0,
    ));
    for _ in 0..9 {
        let (session, actions) = proxy.request_session(Some(1));
        assert_eq!(outcome_letter(&actions), 'D');
        assert_ne!(
            outcome_letter(&proxy.end_attempt(session, 0, Outcome::TimedOut, false)),
            '-'
        );
    }
}

#[test]
fn connections_open_at_the_start_count_and_stray_events_are_ignored() {
    let mut proxy = Proxy::with(deployment(RetrySafety::NotIdempotent), 2);
    let arrival = SessionRequest {
        session: 0,
        ..SessionRequest::default()
    };
    assert!(
        proxy
            .handle(PlacementEvent::SessionInherited(arrival, 5))
            .is_empty(),
        "a server that no list has named"
    );
    let lost = proxy.end_attempt(0, 0, Outcome::Reset, true);
    assert_eq!(lost, [PlacementAction::ReleaseSession { session: 0 }]);
    let load = ServerLoad::default();
    for stray in [
        PlacementEvent::SessionOpened {
            session: 99,
            attempt: 0,
        },
        PlacementEvent::SessionOpened {
            session: 0,
            attempt: 3,
        },
        PlacementEvent::AttemptEnded {
            session: 0,
            attempt: 0,
            outcome: Outcome::Ok,
            session_over: true,
            load,
        },
        PlacementEvent::ClientLeft { session: 42 },
        PlacementEvent::ProbeEnded {
            server: 77,
            outcome: Outcome::Ok,
            load,
        },
    ] {
        assert!(proxy.handle(stray).is_empty());
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = |nonce| {
        let mut proxy = Proxy::new(
            deployment(IDEMPOTENT),
            nonce,
            (0..6).map(endpoint).collect(),
        );
        (0..40)
            .flat_map(|_| [proxy.request_session(None).1, proxy.wait(ms(300))].concat())
            .collect::<Vec<_>>()
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
