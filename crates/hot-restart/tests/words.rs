//! Words are read as they are written, nothing else is, and each stage takes only what makes sense there.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_hot_restart::{
    BufferedBytes, EndpointRecord, HotRestartEffect, HotRestartInput, HotRestartState, Message,
    OpenConnection,
};
use std::time::Duration;
use test_case::test_case;

fn words() -> Vec<Message> {
    let host = |standing, started| EndpointRecord {
        uid: "s-1".into(),
        endpoint: "10.0.0.1:80".into(),
        zone: "".into(),
        cell: 7,
        standing,
        weight: 0.5,
        started,
    };
    let bytes = |whole, text: &[u8]| BufferedBytes {
        whole,
        bytes: text.to_vec(),
    };
    let pair = |waits| OpenConnection {
        line: b"OPEN 1 2 c=a\r\n".to_vec(),
        uid: "s-1".into(),
        waits,
        client: bytes(3, b"a\r\nb"),
        server: bytes(0, b""),
    };
    vec![
        Message::Hello,
        Message::Hosts(vec![host(0, None), host(2, Some(Duration::from_millis(9)))]),
        Message::Hosts(Vec::new()),
        Message::Door { rev: u64::MAX },
        Message::Serves,
        Message::Holds(9),
        Message::Pair(pair(None)),
        Message::Pair(pair(Some(Duration::from_millis(20)))),
        Message::Stranger(bytes(0, b"OPE")),
        Message::Taken,
        Message::Kept,
    ]
}

#[test]
fn words_are_read_as_written_and_never_where_cut_or_lengthened() {
    for word in words() {
        let message = word.write();
        assert_eq!(Message::read(&message), Ok(word.clone()));
        (0..message.len())
            .for_each(|n| assert!(Message::read(&message[..n]).is_err(), "{word:?} cut at {n}"));
        assert!(
            Message::read(&[&message[..], b"x"].concat()).is_err(),
            "{word:?} and more"
        );
    }
}

#[test_case(0, b'B'; "another magic")]
#[test_case(3, 2; "another version")]
#[test_case(4, 99; "an unknown word")]
#[test_case(5, 200; "a wrong length")]
fn a_changed_byte_is_found(at: usize, byte: u8) {
    for word in words() {
        let mut message = word.write();
        message[at] = byte;
        assert!(Message::read(&message).is_err(), "{word:?}");
    }
}

#[test]
fn any_bytes_are_read_without_a_panic() {
    let mut chance = 1u32;
    for word in words() {
        for _ in 0..2_000 {
            let mut message = word.write();
            for _ in 0..3 {
                chance = chance.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                let at = 5 + (chance >> 8) as usize % (message.len() - 4);
                message
                    .get_mut(at)
                    .into_iter()
                    .for_each(|byte| *byte = (chance >> 24) as u8);
            }
            let _ = Message::read(&message);
        }
    }
}

#[test_case(
    HotRestartState::Alone,
    HotRestartInput::Came,
    HotRestartState::Called,
    HotRestartEffect::Nothing
)]
#[test_case(HotRestartState::Called, HotRestartInput::Serves, HotRestartState::Alone, HotRestartEffect::HangUp; "out of turn")]
#[test_case(HotRestartState::Told, HotRestartInput::Came, HotRestartState::Told, HotRestartEffect::TurnAway; "a second at once")]
#[test_case(HotRestartState::Told, HotRestartInput::Offered, HotRestartState::Alone, HotRestartEffect::HangUp; "the younger offers")]
#[test_case(
    HotRestartState::Handing,
    HotRestartInput::Broke,
    HotRestartState::Alone,
    HotRestartEffect::KeepOn
)]
#[test_case(
    HotRestartState::Handing,
    HotRestartInput::Over,
    HotRestartState::Alone,
    HotRestartEffect::GoOn
)]
#[test_case(HotRestartState::Handing, HotRestartInput::Said, HotRestartState::Alone, HotRestartEffect::KeepOn; "said again")]
#[test_case(
    HotRestartState::Taking,
    HotRestartInput::Over,
    HotRestartState::Alone,
    HotRestartEffect::Inherit
)]
#[test_case(
    HotRestartState::Taking,
    HotRestartInput::Kept,
    HotRestartState::Taking,
    HotRestartEffect::Leave
)]
#[test_case(
    HotRestartState::Taking,
    HotRestartInput::Broke,
    HotRestartState::Alone,
    HotRestartEffect::HangUp
)]
#[test_case(HotRestartState::Told, HotRestartInput::Over, HotRestartState::Alone, HotRestartEffect::HangUp; "it never served")]
#[test_case(HotRestartState::Taking, HotRestartInput::Serves, HotRestartState::Alone, HotRestartEffect::HangUp; "the elder serves")]
fn stages(
    mut stage: HotRestartState,
    input: HotRestartInput,
    next: HotRestartState,
    act: HotRestartEffect,
) {
    assert_eq!((stage.step(input), stage), (act, next));
}
