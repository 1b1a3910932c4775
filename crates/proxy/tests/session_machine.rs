//! The session state machine where a client leaves, or time runs out, while its dial is being established.

use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Outcome, SessionRequest};
use asterramp_proxy::routing::session_state::{SessionEffect, SessionInput, SessionMachine};
use std::time::Duration;
use test_case::test_case;

/// How long a server may take to answer a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A session whose first dial has begun at time zero, and the effects of that.
fn dialling_session(
    request: SessionRequest,
    timeout: Duration,
    write_timeout: Duration,
) -> (SessionMachine, Vec<SessionEffect>) {
    let mut machine = SessionMachine::new(Duration::ZERO, request, false, RESPONSE_TIMEOUT);
    let mut effects = Vec::new();
    let dial = SessionInput::Dial {
        server: 1,
        timeout,
        write_timeout,
    };
    machine.step(Duration::ZERO, dial, &mut effects);
    (machine, effects)
}

fn sends_request(effects: &[SessionEffect]) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, SessionEffect::SendRequest { .. }))
}

// A further dial of a session with an idempotency key has to be on its way before the key is forgotten.
#[test_case(40, Some(Outcome::NotSent); "established when the key is forgotten")]
#[test_case(39, None; "established just before")]
fn a_request_is_not_written_after_its_time(established_ms: u64, outcome: Option<Outcome>) {
    let request = SessionRequest {
        answer_deadline: ms(2_000),
        ..SessionRequest::default()
    };
    let (mut machine, mut effects) = dialling_session(request, ms(400), ms(40));
    let has_deadline = effects
        .iter()
        .any(|effect| matches!(effect, SessionEffect::SetDeadline(Some(at)) if *at == ms(40)));
    assert!(has_deadline, "{effects:?}");
    effects.clear();
    machine.step(
        ms(established_ms),
        SessionInput::Connected { dial: 0 },
        &mut effects,
    );
    let notified = effects.iter().find_map(|effect| match effect {
        SessionEffect::Notify(PlacementEvent::AttemptEnded { outcome, .. }) => Some(*outcome),
        _ => None,
    });
    assert_eq!(
        (notified, sends_request(&effects)),
        (outcome, outcome.is_none()),
        "{effects:?}"
    );
}

/// Until its request is at its server nothing runs, so the dial is closed without asking the placement engine, which
/// may not cancel.
#[test_case(&[], SessionInput::ClientLeft; "it leaves while its dial connects")]
#[test_case(&[SessionInput::Connected { dial: 0 }], SessionInput::ClientLeft; "it leaves as its dial is established")]
#[test_case(&[], SessionInput::ClientSentEarlyData; "it speaks while its dial connects")]
#[test_case(&[SessionInput::Connected { dial: 0 }], SessionInput::ClientSentEarlyData; "it speaks as its dial is established")]
#[test_case(&[], SessionInput::DrainCutoff; "it is rejected while its dial connects")]
#[test_case(&[SessionInput::Connected { dial: 0 }], SessionInput::DrainCutoff; "it is rejected as its dial is established")]
fn nothing_is_written_for_a_client_that_waits_no_more(before: &[SessionInput], end: SessionInput) {
    let (mut machine, mut effects) = dialling_session(SessionRequest::default(), ms(400), ms(400));
    for input in before {
        machine.step(ms(1), *input, &mut effects);
    }
    effects.clear();
    machine.step(ms(1), end, &mut effects);
    // What was on its way at that moment finds nothing more to do.
    machine.step(ms(1), SessionInput::Connected { dial: 0 }, &mut effects);
    machine.step(
        ms(1),
        SessionInput::RequestWritten { dial: 0 },
        &mut effects,
    );
    let notified = |effect: &&SessionEffect| {
        matches!(
            effect,
            SessionEffect::Notify(PlacementEvent::AttemptEnded {
                session_over: true,
                outcome: Outcome::Cancelled,
                ..
            })
        )
    };
    let closed = |effect: &&SessionEffect| matches!(effect, SessionEffect::CloseServer);
    assert_eq!(
        (
            effects.iter().filter(notified).count(),
            effects.iter().filter(closed).count()
        ),
        (1, 1),
        "{effects:?}"
    );
    assert!(!sends_request(&effects), "{effects:?}");
}
