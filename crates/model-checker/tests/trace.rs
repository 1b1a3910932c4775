//! Traces are parsed as they are written, and as earlier builds wrote them.

use asterramp_model_checker::action::{Action, Choice, EndpointChange, ProbeResult, ServerMessage};
use asterramp_model_checker::shape::WALK;
use asterramp_model_checker::system_state::SystemState;
use asterramp_model_checker::trace::Trace;
use proptest::prelude::*;
use test_case::test_case;

/// Recorded by the model checker at commit 17cc2a9, with the injected fault under its former name.
const TIMEOUT_TRACE: &str = include_str!("golden/trace-timeout.txt");
/// A random walk with every kind of action, as written before the actions were renamed in the source code.
const WALK_TRACE: &str = include_str!("golden/trace-walk.txt");
/// Number of effects that the model checker at commit 17cc2a9 printed while it replayed [`WALK_TRACE`].
const WALK_EFFECT_COUNT: usize = 68;

fn server_message() -> impl Strategy<Value = ServerMessage> {
    prop_oneof![
        Just(ServerMessage::Up),
        Just(ServerMessage::Busy),
        Just(ServerMessage::Err),
        Just(ServerMessage::Move),
    ]
}

fn probe_result() -> impl Strategy<Value = ProbeResult> {
    prop_oneof![
        Just(ProbeResult::LightLoad),
        Just(ProbeResult::Overload),
        Just(ProbeResult::TimedOut),
        Just(ProbeResult::Refused),
    ]
}

fn endpoint_change() -> impl Strategy<Value = EndpointChange> {
    prop_oneof![
        Just(EndpointChange::Ready),
        Just(EndpointChange::Draining),
        Just(EndpointChange::Gone),
        Just(EndpointChange::Restarted),
        Just(EndpointChange::Replaced),
    ]
}

fn action() -> impl Strategy<Value = Action> {
    let number = any::<u8>;
    prop_oneof![
        number().prop_map(Action::SessionArrives),
        number().prop_map(Action::DialConnected),
        number().prop_map(Action::DialRefused),
        number().prop_map(Action::DialWithoutSocket),
        number().prop_map(Action::RequestWritten),
        (number(), server_message())
            .prop_map(|(session, message)| Action::ServerAnswers(session, message)),
        number().prop_map(Action::ServerCloses),
        number().prop_map(Action::ClientLeaves),
        number().prop_map(Action::ClientSendsEarly),
        number().prop_map(Action::ClientLeavesUnnoticed),
        (number(), endpoint_change())
            .prop_map(|(server, change)| Action::EndpointChanges(server, change)),
        (number(), probe_result()).prop_map(|(server, result)| Action::ProbeEnds(server, result)),
        Just(Action::NextDeadline),
        number().prop_map(Action::StaleEvent),
        Just(Action::Sigterm),
        Just(Action::OperatorDrains),
        Just(Action::OperatorCancelsDrain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_choice_is_read_as_it_is_written(action in action(), random_range in any::<u8>()) {
        let choice = Choice { action, random_range };
        prop_assert_eq!(choice.to_string().parse(), Ok(choice));
    }
}

#[test]
fn every_possible_action_of_a_long_run_is_read_as_it_is_written() {
    let mut state = SystemState::new(&WALK);
    let mut possible = Vec::new();
    for step in 0..400_usize {
        state.actions(&WALK, &mut possible);
        for action in &possible {
            let choice = Choice {
                action: *action,
                random_range: (step % 4) as u8,
            };
            assert_eq!(choice.to_string().parse(), Ok(choice));
        }
        let Some(action) = possible.get(step * 7 % possible.len()) else {
            break;
        };
        let action = match *action {
            Action::Sigterm => Action::NextDeadline,
            action => action,
        };
        let choice = Choice {
            action,
            random_range: 0,
        };
        state.apply(&WALK, choice).unwrap();
    }
}

#[test_case(TIMEOUT_TRACE; "with an injected fault")]
#[test_case(WALK_TRACE; "with every kind of action")]
fn a_trace_of_an_earlier_build_is_written_as_it_was(text: &str) {
    assert_eq!(Trace::read(text).unwrap().to_string(), text);
}

#[test]
fn the_injected_fault_of_an_earlier_build_keeps_its_name() {
    let trace = Trace::read(TIMEOUT_TRACE).unwrap();
    assert_eq!(
        trace.injected_fault.as_deref(),
        Some("TimeOutProvesNothing")
    );
    assert_eq!(
        trace.violation,
        "NoEffectTwice: session 0 dials again though it may have run"
    );
    assert_eq!(trace.choices.len(), 4);
}

/// The time at the end and the number of effects are those that earlier builds printed.
#[test]
fn a_walk_of_an_earlier_build_replays_to_the_same_end() {
    let mut lines = Vec::new();
    let replayed = Trace::read(WALK_TRACE)
        .unwrap()
        .play(|line| lines.push(line.to_owned()));
    assert_eq!(replayed, Ok(()));
    let actions: Vec<&String> = lines.iter().filter(|line| line.contains(" ms  ")).collect();
    assert_eq!(
        actions.last().map(|line| line.as_str()),
        Some("136. at   900 ms  session 9 client leaves")
    );
    assert_eq!(lines.len() - actions.len(), WALK_EFFECT_COUNT);
}

/// No build writes such lines, but earlier builds accepted them.
#[test_case(
    "session 0 host says full",
    Action::ServerAnswers(0, ServerMessage::Err)
)]
#[test_case("host 1 probe up", Action::ProbeEnds(1, ProbeResult::Refused))]
fn a_word_of_the_other_kind_is_read_as_earlier_builds_did(text: &str, action: Action) {
    let choice = Choice {
        action,
        random_range: 0,
    };
    assert_eq!(text.parse(), Ok(choice));
}

#[test_case("shape none\n1. next deadline", "line 1: shape \"none\" is not known"; "unknown shape")]
#[test_case("shape cold\n1. session 0 flies", "line 2: \"session 0 flies\" is no step"; "unknown action")]
#[test_case("1. next deadline", "no line `shape NAME`"; "no shape")]
#[test_case("shape cold\nnext deadline", "line 2: no numbered step"; "no number")]
#[test_case("shape cold\n\n1. session 300 arrives", "line 3: \"session 300 arrives\" is no step"; "number out of range")]
fn a_malformed_trace_is_reported_by_its_line(text: &str, report: &str) {
    assert_eq!(Trace::read(text).unwrap_err().to_string(), report);
}
