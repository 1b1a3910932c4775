//! Robustness: unusual settings, stray events, and determinism.

use crate::support::{IDEMPOTENT, Proxy, deployment, endpoint, ms, outcome_letter};
use asterramp_placement::deployment::RetrySafety;
use asterramp_placement::event::{Endpoint, EndpointUpdate, Outcome, ServerLoad, SessionRequest};
use asterramp_placement::{Deployment, PlacementAction, PlacementEvent};
use test_case::test_case;

// Unusual but valid settings neither cause a panic nor leave a session without an answer.
#[test_case(|config| config.proxy_count = 0; "no proxies")]
#[test_case(|config| config.packet_passthrough = true; "packet passthrough")]
#[test_case(|config| config.weights_reflect_load = true; "weights that reflect load")]
#[test_case(|config| (config.slow_start.warm_after, config.slow_start.initial_capacity, config.slow_start.overload_factor) = (ms(0), 0.0, 0.0); "no slow start")]
#[test_case(|config| config.max_endpoint_list_age = Some(ms(0)); "maximum endpoint list age of zero")]
#[test_case(|config| (config.max_retry_after, config.listeners[0].handshake_target) = (ms(0), ms(0)); "no retry_after, no handshake target")]
fn sessions_are_placed_with_unusual_settings(change: fn(&mut Deployment)) {
    let mut config = deployment(IDEMPOTENT);
    change(&mut config);
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
    let mut proxy = Proxy::new(config, 0, servers);
    proxy.report_load(0, 0.0, 0.0);
    proxy.report_load(1, 3.0, 0.0);
    proxy.handle(PlacementEvent::EndpointsUpdated(EndpointUpdate::Failed));
    proxy.wait(ms(1_000));
    // A session has opened before. If none had, the first failure would start session pacing.
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
fn inherited_sessions_are_tracked_and_stray_events_are_ignored() {
    let mut proxy = Proxy::with_servers(deployment(RetrySafety::NotIdempotent), 2);
    let request = SessionRequest {
        session: 0,
        ..SessionRequest::default()
    };
    assert!(
        proxy
            .handle(PlacementEvent::SessionInherited(request, 5))
            .is_empty(),
        "a server that no list has named"
    );
    let actions = proxy.end_attempt(0, 0, Outcome::Reset, true);
    assert_eq!(actions, [PlacementAction::ReleaseSession { session: 0 }]);
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
    let actions_with = |nonce| {
        let mut proxy = Proxy::new(
            deployment(IDEMPOTENT),
            nonce,
            (0..6).map(endpoint).collect(),
        );
        (0..40)
            .flat_map(|_| [proxy.request_session(None).1, proxy.wait(ms(300))].concat())
            .collect::<Vec<_>>()
    };
    assert_eq!(actions_with(1), actions_with(1));
    assert_ne!(actions_with(1), actions_with(2));
}
