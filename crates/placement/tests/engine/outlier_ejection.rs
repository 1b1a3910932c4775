//! Ejection of servers that fail.

use crate::support::{IDEMPOTENT, Proxy, came_to, deployment, dialled, ms};
use asterramp_placement::Event;
use asterramp_placement::event::{Outcome, SessionRequest};
use test_case::test_case;

// A server that fails its sessions is left alone, and tried again after a rest.
#[test_case(Outcome::Erred; "errs")]
#[test_case(Outcome::TimedOut; "hangs")]
#[test_case(Outcome::Unreachable; "cannot be reached")]
#[test_case(Outcome::Full; "turns sessions away")]
fn a_failing_server_is_ejected(outcome: Outcome) {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    let mut visits = 0;
    for _ in 0..200 {
        proxy.wait(ms(100));
        let (sess, did) = proxy.arrive(None);
        if dialled(&did) == Some(0) {
            visits += 1;
            assert_ne!(dialled(&proxy.end(sess, 0, outcome, false)), Some(0));
            proxy.tell(Event::SessionOpened {
                session: sess,
                dial: 1,
            });
            proxy.end(sess, 1, Outcome::Ok, true);
        } else {
            proxy.end(sess, 0, Outcome::CalledOff, true);
        }
    }
    assert!((2..=12).contains(&visits), "{visits} visits in 20 s");
}

// A session that every server turns away, such as one whose id is open elsewhere, is no fault of theirs.
#[test_case(Outcome::Erred => 0; "errs everywhere")]
#[test_case(Outcome::Reset => 0; "is cut off everywhere")]
#[test_case(Outcome::TimedOut => 3; "hangs everywhere")]
fn a_session_that_fails_everywhere_ejects_no_server(outcome: Outcome) -> usize {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 4);
    let (sess, first) = proxy.arrive(None);
    let mut tried = vec![dialled(&first).unwrap()];
    for dial in 0..3 {
        // Others come up meanwhile, or the fault would not be its own.
        proxy.now += ms(1);
        proxy.open(None);
        tried.extend(dialled(&proxy.end(sess, dial, outcome, false)));
    }
    assert_eq!(tried.len(), 3);
    let sought: Vec<_> = (0..100)
        .filter_map(|_| dialled(&proxy.arrive(None).1))
        .collect();
    tried.into_iter().filter(|id| !sought.contains(id)).count()
}

// Refused for want of room, while one at rest stands idle after an error or two.
#[test_case(true => 'D'; "it answers probes")]
#[test_case(false => 'R'; "it does not")]
fn an_ejected_server_is_tried_before_a_session_is_rejected(answers: bool) -> char {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    proxy.probed(0, 50.0, 0.2);
    proxy.probed(1, 50.0, 0.95);
    // Others have come up before; where none ever has, the first failure holds back.
    proxy.tell(Event::SessionInherited(
        SessionRequest {
            session: 99,
            ..SessionRequest::default()
        },
        0,
    ));
    let (sess, did) = proxy.arrive(None);
    assert_eq!(dialled(&did), Some(0));
    proxy.end(sess, 0, Outcome::Reset, false);
    (!answers).then(|| proxy.unanswered(0));
    came_to(&proxy.arrive(None).1)
}
