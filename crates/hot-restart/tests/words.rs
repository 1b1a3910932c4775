//! Words are read as they are written, nothing else is, and each stage takes only what makes sense there.

use asterramp_hot_restart::{Act, Bytes, Host, Input, Pair, Stage, Word};
use std::time::Duration;
use test_case::test_case;

fn words() -> Vec<Word> {
    let host = |standing, started| Host {
        uid: "s-1".into(),
        endpoint: "10.0.0.1:80".into(),
        zone: "".into(),
        cell: 7,
        standing,
        weight: 0.5,
        started,
    };
    let bytes = |whole, text: &[u8]| Bytes {
        whole,
        bytes: text.to_vec(),
    };
    let pair = |waits| Pair {
        line: b"OPEN 1 2 c=a\r\n".to_vec(),
        uid: "s-1".into(),
        waits,
        client: bytes(3, b"a\r\nb"),
        server: bytes(0, b""),
    };
    vec![
        Word::Hello,
        Word::Hosts(vec![host(0, None), host(2, Some(Duration::from_millis(9)))]),
        Word::Hosts(Vec::new()),
        Word::Door { rev: u64::MAX },
        Word::Serves,
        Word::Holds(9),
        Word::Pair(pair(None)),
        Word::Pair(pair(Some(Duration::from_millis(20)))),
        Word::Stranger(bytes(0, b"OPE")),
        Word::Taken,
        Word::Kept,
    ]
}

#[test]
fn words_are_read_as_written_and_never_where_cut_or_lengthened() {
    for word in words() {
        let message = word.write();
        assert_eq!(Word::read(&message), Ok(word.clone()));
        (0..message.len())
            .for_each(|n| assert!(Word::read(&message[..n]).is_err(), "{word:?} cut at {n}"));
        assert!(
            Word::read(&[&message[..], b"x"].concat()).is_err(),
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
        assert!(Word::read(&message).is_err(), "{word:?}");
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
            let _ = Word::read(&message);
        }
    }
}

#[test_case(Stage::Alone, Input::Came, Stage::Called, Act::Nothing)]
#[test_case(Stage::Called, Input::Serves, Stage::Alone, Act::HangUp; "out of turn")]
#[test_case(Stage::Told, Input::Came, Stage::Told, Act::TurnAway; "a second at once")]
#[test_case(Stage::Told, Input::Offered, Stage::Alone, Act::HangUp; "the younger offers")]
#[test_case(Stage::Handing, Input::Broke, Stage::Alone, Act::KeepOn)]
#[test_case(Stage::Handing, Input::Over, Stage::Alone, Act::GoOn)]
#[test_case(Stage::Handing, Input::Said, Stage::Alone, Act::KeepOn; "said again")]
#[test_case(Stage::Taking, Input::Over, Stage::Alone, Act::Inherit)]
#[test_case(Stage::Taking, Input::Kept, Stage::Taking, Act::Leave)]
#[test_case(Stage::Taking, Input::Broke, Stage::Alone, Act::HangUp)]
#[test_case(Stage::Told, Input::Over, Stage::Alone, Act::HangUp; "it never served")]
#[test_case(Stage::Taking, Input::Serves, Stage::Alone, Act::HangUp; "the elder serves")]
fn stages(mut stage: Stage, input: Input, next: Stage, act: Act) {
    assert_eq!((stage.step(input), stage), (act, next));
}
