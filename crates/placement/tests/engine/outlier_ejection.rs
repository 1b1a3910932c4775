//! Ejection of servers that fail.

use crate::support::{IDEMPOTENT, Proxy, deployment, dialed_server, ms, outcome_letter};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Outcome, SessionRequest};
use test_case::test_case;

// A server that fails its sessions is left alone, and tried again after a rest.
#[test_case(Outcome::ServerError; "errs")]
#[test_case(Outcome::TimedOut; "hangs")]
#[test_case(Outcome::Unreachable; "cannot be reached")]
#[test_case(Outcome::Full; "turns sessions away")]
fn a_failing_server_is_ejected(outcome: Outcome) {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    let mut visits = 0;
    for _ in 0..200 {
        proxy.wait(ms(100));
        let (session, actions) = proxy.request_session(None);
        if dialed_server(&actions) == Some(0) {
            visits += 1;
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
    assert!((2..=12).contains(&visits), "{visits} visits in 20 s");
}

// A session that every server turns away, such as one whose id is open elsewhere, is no fault of theirs.
#[test_case(Outcome::ServerError => 0; "errs everywhere")]
#[test_case(Outcome::Reset => 0; "is cut off everywhere")]
#[test_case(Outcome::TimedOut => 3; "hangs everywhere")]
fn a_session_that_fails_everywhere_ejects_no_server(outcome: Outcome) -> usize {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 4);
    let (session, first) = proxy.request_session(None);
    let mut tried = vec![dialed_server(&first).unwrap()];
    for dial in 0..3 {
        // Others come up meanwhile, or the fault would not be its own.
        proxy.now += ms(1);
        proxy.open_session(None);
        tried.extend(dialed_server(
            &proxy.end_attempt(session, dial, outcome, false),
        ));
    }
    assert_eq!(tried.len(), 3);
    let sought: Vec<_> = (0..100)
        .filter_map(|_| dialed_server(&proxy.request_session(None).1))
        .collect();
    tried.into_iter().filter(|id| !sought.contains(id)).count()
}

// Rejected for want of room, while an ejected server is idle after an error or two.
#[test_case(true => 'D'; "it answers probes")]
#[test_case(false => 'R'; "it does not")]
fn an_ejected_server_is_tried_before_a_session_is_rejected(answers: bool) -> char {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    proxy.report_load(0, 50.0, 0.2);
    proxy.report_load(1, 50.0, 0.95);
    // Others have come up before; where none ever has, the first failure holds back.
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
