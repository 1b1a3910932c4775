//! The session state machine: a client leaves or is rejected, or a deadline passes, while its dial is being
//! established.

use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Outcome, ServerLoad, SessionRequest};
use asterramp_proxy::routing::session_state::{SessionEffect, SessionInput, SessionMachine};
use std::time::Duration;
use test_case::test_case;

/// How long a server may take to respond to a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A session whose first dial begins at time zero, and the effects of that input.
fn session_with_first_dial(
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

// Servers remember an idempotency key for a limited time, so a retry has to be written before the key expires.
#[test_case(40, Some(Outcome::NotSent); "established as the key expires")]
#[test_case(39, None; "established just before the key expires")]
fn a_request_is_not_written_after_its_write_deadline(
    established_ms: u64,
    outcome: Option<Outcome>,
) {
    let request = SessionRequest {
        answer_deadline: ms(2_000),
        ..SessionRequest::default()
    };
    let (mut machine, mut effects) = session_with_first_dial(request, ms(400), ms(40));
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
    let reported_outcome = effects.iter().find_map(|effect| match effect {
        SessionEffect::Notify(PlacementEvent::AttemptEnded { outcome, .. }) => Some(*outcome),
        _ => None,
    });
    assert_eq!(
        (reported_outcome, sends_request(&effects)),
        (outcome, outcome.is_none()),
        "{effects:?}"
    );
}

/// Before the request is written, the server has executed nothing, so the dial is closed without asking the placement
/// engine, whose settings may forbid it to cancel.
#[test_case(&[], SessionInput::ClientLeft; "client leaves while its dial connects")]
#[test_case(&[SessionInput::Connected { dial: 0 }], SessionInput::ClientLeft; "client leaves as its dial is established")]
#[test_case(&[], SessionInput::ClientSentEarlyData; "client sends data while its dial connects")]
#[test_case(&[SessionInput::Connected { dial: 0 }], SessionInput::ClientSentEarlyData; "client sends data as its dial is established")]
#[test_case(&[], SessionInput::DrainCutoff; "drain cutoff while its dial connects")]
#[test_case(&[SessionInput::Connected { dial: 0 }], SessionInput::DrainCutoff; "drain cutoff as its dial is established")]
fn no_request_is_written_for_a_client_that_no_longer_waits(
    earlier_inputs: &[SessionInput],
    last_input: SessionInput,
) {
    let (mut machine, mut effects) =
        session_with_first_dial(SessionRequest::default(), ms(400), ms(400));
    for input in earlier_inputs {
        machine.step(ms(1), *input, &mut effects);
    }
    effects.clear();
    machine.step(ms(1), last_input, &mut effects);
    // Events that were queued at that moment have no further effect.
    machine.step(ms(1), SessionInput::Connected { dial: 0 }, &mut effects);
    machine.step(
        ms(1),
        SessionInput::RequestWritten { dial: 0 },
        &mut effects,
    );
    let reports_cancelled_session = |effect: &&SessionEffect| {
        matches!(
            effect,
            SessionEffect::Notify(PlacementEvent::AttemptEnded {
                session_over: true,
                outcome: Outcome::Cancelled,
                ..
            })
        )
    };
    let closes_server = |effect: &&SessionEffect| matches!(effect, SessionEffect::CloseServer);
    assert_eq!(
        (
            effects.iter().filter(reports_cancelled_session).count(),
            effects.iter().filter(closes_server).count()
        ),
        (1, 1),
        "{effects:?}"
    );
    assert!(!sends_request(&effects), "{effects:?}");
}

/// A session whose first dial has ample time, and its effects so far.
fn dialled_session() -> (SessionMachine, Vec<SessionEffect>) {
    let request = SessionRequest {
        answer_deadline: ms(2_000),
        ..SessionRequest::default()
    };
    session_with_first_dial(request, ms(400), ms(400))
}

const CONNECTED: SessionInput = SessionInput::Connected { dial: 0 };
const WRITTEN: SessionInput = SessionInput::RequestWritten { dial: 0 };
const ACCEPTED: SessionInput = SessionInput::ServerAccepted { dial: 0 };
const DISCONNECTED: SessionInput = SessionInput::ServerDisconnected { dial: 0 };

const fn declined(outcome: Outcome) -> SessionInput {
    SessionInput::ServerDeclined {
        dial: 0,
        outcome,
        load: ServerLoad {
            utilization: None,
            connections: None,
        },
    }
}

/// Guards against an id that runs twice, and against one that never ran and is rejected: whether a server may have acted on the
/// request, by what became of the first dial.
#[test_case(&[], false; "the dial connects")]
#[test_case(&[SessionInput::Unreachable { dial: 0 }], false; "the server cannot be reached")]
#[test_case(&[CONNECTED], false; "the request is being written")]
#[test_case(&[CONNECTED, SessionInput::ClientLeft], false; "the client leaves before the last byte")]
#[test_case(&[CONNECTED, DISCONNECTED], false; "the server disconnects before the last byte")]
#[test_case(&[CONNECTED, WRITTEN], true; "the request is written")]
#[test_case(&[CONNECTED, WRITTEN, declined(Outcome::Full)], false; "the server is full")]
#[test_case(&[CONNECTED, WRITTEN, declined(Outcome::ServerError)], true; "the server fails")]
#[test_case(&[CONNECTED, WRITTEN, DISCONNECTED], true; "the server disconnects")]
#[test_case(&[CONNECTED, WRITTEN, SessionInput::DeadlineReached], true; "the server is silent")]
#[test_case(&[CONNECTED, WRITTEN, SessionInput::Cancel], true; "the dial is cancelled")]
#[test_case(&[CONNECTED, WRITTEN, SessionInput::ClientLeft], true; "the client leaves before the response")]
#[test_case(&[CONNECTED, WRITTEN, SessionInput::ClientLeft, declined(Outcome::Full)], false; "the client leaves and the server is full")]
#[test_case(&[CONNECTED, WRITTEN, ACCEPTED], true; "the server accepts")]
fn a_request_may_have_run_once_it_is_written_unless_its_outcome_proves_the_contrary(
    inputs: &[SessionInput],
    may_have_run: bool,
) {
    let (mut machine, mut effects) = dialled_session();
    for input in inputs {
        machine.step(ms(10), *input, &mut effects);
    }
    assert_eq!(machine.may_have_run(), may_have_run, "{effects:?}");
}

/// An earlier dial that may have run is not forgotten when a later one is rejected.
#[test]
fn a_request_of_an_earlier_dial_may_have_run() {
    let (mut machine, mut effects) = dialled_session();
    let second_dial = SessionInput::Dial {
        server: 2,
        timeout: ms(400),
        write_timeout: ms(400),
    };
    for input in [CONNECTED, WRITTEN, DISCONNECTED, second_dial] {
        machine.step(ms(10), input, &mut effects);
    }
    machine.step(ms(20), SessionInput::Unreachable { dial: 1 }, &mut effects);
    assert!(machine.may_have_run(), "{effects:?}");
}

/// A client that is told to try again may send the same id, whatever its listener allows to run twice.
#[test]
fn an_id_may_come_again_after_a_rejection() {
    let (mut machine, mut effects) = dialled_session();
    let rejection = SessionInput::Reject {
        retry_after: ms(100),
    };
    for input in [CONNECTED, WRITTEN, DISCONNECTED] {
        machine.step(ms(10), input, &mut effects);
    }
    assert!(!machine.may_come_again());
    machine.step(ms(20), rejection, &mut effects);
    assert!(machine.may_have_run() && machine.may_come_again());
}
