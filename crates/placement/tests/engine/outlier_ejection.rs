//! Ejection of servers that fail.

use crate::support::{IDEMPOTENT, Proxy, deployment, dialed_server, ms, outcome_letter};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Outcome, SessionRequest};
use test_case::test_case;

// A server that fails sessions is ejected, and dialed again when the ejection ends.
#[test_case(Outcome::ServerError; "server error")]
#[test_case(Outcome::TimedOut; "timeout")]
#[test_case(Outcome::Unreachable; "unreachable")]
#[test_case(Outcome::Full; "full")]
fn a_failing_server_is_ejected(outcome: Outcome) {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    let mut dials = 0;
    for _ in 0..200 {
        proxy.wait(ms(100));
        let (session, actions) = proxy.request_session(None);
        if dialed_server(&actions) == Some(0) {
            dials += 1;
            assert_ne!(
                dialed_server(&proxy.end_attempt(session, 0, outcome, false)),
                Some(0)
            );
            proxy.handle(PlacementEvent::SessionOpened {
                session,
                attempt: 1,
            });
            proxy.end_attempt(session, 1, Outcome::Ok, true);
        } else {
            proxy.end_attempt(session, 0, Outcome::Cancelled, true);
        }
    }
    assert!((2..=12).contains(&dials), "{dials} dials in 20 s");
}

// A session that every server fails, such as one whose id is already open elsewhere, is itself the cause.
#[test_case(Outcome::ServerError => 0; "server error everywhere")]
#[test_case(Outcome::Reset => 0; "reset everywhere")]
#[test_case(Outcome::TimedOut => 3; "timeout everywhere")]
fn a_session_that_fails_everywhere_ejects_no_server(outcome: Outcome) -> usize {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 4);
    let (session, first) = proxy.request_session(None);
    let mut dialed = vec![dialed_server(&first).unwrap()];
    for attempt in 0..3 {
        // Other sessions open in between, so that the failures start no session pacing.
        proxy.now += ms(1);
        proxy.open_session(None);
        dialed.extend(dialed_server(
            &proxy.end_attempt(session, attempt, outcome, false),
        ));
    }
    assert_eq!(dialed.len(), 3);
    let still_used: Vec<_> = (0..100)
        .filter_map(|_| dialed_server(&proxy.request_session(None).1))
        .collect();
    dialed
        .into_iter()
        .filter(|id| !still_used.contains(id))
        .count()
}

// Otherwise sessions would be rejected because the other servers are full, while an ejected server is idle.
#[test_case(true => 'D'; "answers probes")]
#[test_case(false => 'R'; "does not answer probes")]
fn an_ejected_server_is_tried_before_a_session_is_rejected(answers: bool) -> char {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    proxy.report_load(0, 50.0, 0.2);
    proxy.report_load(1, 50.0, 0.95);
    // A session has opened before. If none had, the first failure would start session pacing.
    proxy.handle(PlacementEvent::SessionInherited(
        SessionRequest {
            session: 99,
            ..SessionRequest::default()
        },
        0,
    ));
    let (session, actions) = proxy.request_session(None);
    assert_eq!(dialed_server(&actions), Some(0));
    proxy.end_attempt(session, 0, Outcome::Reset, false);
    if !answers {
        proxy.fail_probe(0);
    }
    outcome_letter(&proxy.request_session(None).1)
}
