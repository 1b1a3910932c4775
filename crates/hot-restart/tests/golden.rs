//! Compares the bytes of every hot-restart message with those that the build at commit 17cc2a9
//! wrote. While these tests pass, a process of that build and one of the present build can replace
//! each other, so the data files are never regenerated. The transitions of the state machine are
//! compared in the same way.
//!
//! A line of a data file is `name bytes outcome`. The outcome is `descriptors N` for a message that
//! is decoded as it was encoded and sent with N descriptors, `becomes BYTES` for one that is
//! decoded as another value, and `refused TEXT` for one that is refused. `#` begins a comment.
//! Bytes are hex digits; `AA*N` is N times the byte AA, and `+` joins parts.

use asterramp_hot_restart::{
    BufferedBytes, EndpointRecord, EndpointRecordState, HotRestartInput, HotRestartMessage,
    HotRestartState, SessionOffer,
};
use std::collections::BTreeMap;
use std::time::Duration;

const MESSAGES: &str = include_str!("golden/messages.txt");
const ENCODED_ONLY: &str = include_str!("golden/encoded-only.txt");
const REFUSED: &str = include_str!("golden/refused.txt");
const TRANSITIONS: &str = include_str!("golden/transitions.txt");

/// Number of endpoints in a full `Endpoints` message.
const FULL_LIST_LEN: u16 = 32;
/// Number of messages in `refused.txt`.
const REFUSED_COUNT: usize = 170;
/// Length of the longest allowed name in bytes.
const LONGEST_NAME: usize = 256;
/// Length of the longest allowed message in bytes.
const LONGEST_MESSAGE: usize = 64 * 1024;

const STATES: [EndpointRecordState; 3] = [
    EndpointRecordState::Ready,
    EndpointRecordState::Draining,
    EndpointRecordState::Gone,
];

/// An endpoint in the state at an index of [`STATES`].
fn endpoint(uid: &str, state: usize, weight: f64, started_at: Option<Duration>) -> EndpointRecord {
    EndpointRecord {
        uid: uid.into(),
        address: "10.0.0.1:80".into(),
        zone: "zone-a".into(),
        cell: 7,
        state: STATES[state],
        weight,
        started_at,
    }
}

fn buffered(validated_len: usize, bytes: &[u8]) -> BufferedBytes {
    BufferedBytes {
        validated_len,
        bytes: bytes.to_vec(),
    }
}

fn session(response_timeout: Option<Duration>) -> SessionOffer {
    SessionOffer {
        opening_line: b"OPEN s-17 lobby c=lakes\r\n".to_vec(),
        server_uid: "server-1".into(),
        response_timeout,
        from_client: buffered(0, b""),
        from_server: buffered(0, b""),
    }
}

fn every_byte() -> Vec<u8> {
    (0..=u8::MAX).collect()
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn start_time() -> Option<Duration> {
    Some(millis(1_785_000_000_123))
}

fn list_of(endpoint: EndpointRecord) -> HotRestartMessage {
    HotRestartMessage::Endpoints(vec![endpoint])
}

/// Messages that are decoded as they were encoded.
fn messages() -> Vec<(&'static str, HotRestartMessage)> {
    [
        plain_messages(),
        list_messages(),
        list_bounds(),
        session_messages(),
        session_bounds(),
        pending_messages(),
    ]
    .concat()
}

fn plain_messages() -> Vec<(&'static str, HotRestartMessage)> {
    vec![
        ("hello", HotRestartMessage::Hello),
        (
            "listener-revision-0",
            HotRestartMessage::Listener { list_revision: 0 },
        ),
        (
            "listener-revision-1",
            HotRestartMessage::Listener { list_revision: 1 },
        ),
        (
            "listener-revision-each-byte",
            HotRestartMessage::Listener {
                list_revision: 0x0102_0304_0506_0708,
            },
        ),
        (
            "listener-revision-largest",
            HotRestartMessage::Listener {
                list_revision: u64::MAX,
            },
        ),
        ("serving", HotRestartMessage::Serving),
        ("descriptors-0", HotRestartMessage::OpenDescriptors(0)),
        ("descriptors-1000", HotRestartMessage::OpenDescriptors(1000)),
        (
            "descriptors-largest",
            HotRestartMessage::OpenDescriptors(u32::MAX),
        ),
        ("accepted", HotRestartMessage::OfferAccepted),
        ("stopped", HotRestartMessage::HandoverStopped),
    ]
}

fn list_messages() -> Vec<(&'static str, HotRestartMessage)> {
    let two = vec![
        endpoint("server-1", 0, 1.0, None),
        endpoint("server-2", 1, 2.5, start_time()),
    ];
    let twice = vec![endpoint("server-1", 0, 1.0, None); 2];
    let full_list = (0..FULL_LIST_LEN).map(|n| EndpointRecord {
        uid: format!("server-{n}"),
        address: format!("[2001:db8::{n:x}]:{}", 8000 + n),
        zone: format!("zone-{}", n % 3),
        cell: n,
        state: STATES[usize::from(n % 3)],
        weight: f64::from(n) / 8.0,
        started_at: (n % 2 == 1).then(|| millis(u64::from(n))),
    });
    vec![
        ("endpoints-none", HotRestartMessage::Endpoints(Vec::new())),
        (
            "endpoints-ready",
            list_of(endpoint("server-1", 0, 1.0, None)),
        ),
        (
            "endpoints-draining",
            list_of(endpoint("server-1", 1, 1.0, None)),
        ),
        (
            "endpoints-gone",
            list_of(endpoint("server-1", 2, 1.0, None)),
        ),
        (
            "endpoints-ready-started",
            list_of(endpoint("server-1", 0, 1.0, start_time())),
        ),
        (
            "endpoints-draining-started",
            list_of(endpoint("server-1", 1, 0.25, start_time())),
        ),
        (
            "endpoints-gone-started",
            list_of(endpoint("server-1", 2, 0.0, start_time())),
        ),
        (
            "endpoints-started-earliest",
            list_of(endpoint("server-1", 0, 1.0, Some(millis(1)))),
        ),
        ("endpoints-two", HotRestartMessage::Endpoints(two)),
        ("endpoints-same-twice", HotRestartMessage::Endpoints(twice)),
        (
            "endpoints-full",
            HotRestartMessage::Endpoints(full_list.collect()),
        ),
    ]
}

fn list_bounds() -> Vec<(&'static str, HotRestartMessage)> {
    let extremes = EndpointRecord {
        cell: u16::MAX,
        weight: f64::MAX,
        started_at: Some(millis(u64::MAX)),
        ..endpoint("server-1", 2, 0.0, None)
    };
    let named = |name: &str, weight| EndpointRecord {
        uid: name.into(),
        address: name.into(),
        zone: name.into(),
        ..endpoint("", 0, weight, None)
    };
    let non_ascii = EndpointRecord {
        zone: "南極-❄".into(),
        ..endpoint("järvi-1", 0, 1.0, None)
    };
    // 128 characters of two bytes each: the bound counts bytes.
    let wide = "ä".repeat(LONGEST_NAME / 2);
    vec![
        (
            "endpoints-weight-negative-zero",
            list_of(endpoint("server-1", 0, -0.0, None)),
        ),
        (
            "endpoints-weight-least",
            list_of(endpoint("server-1", 0, f64::from_bits(1), None)),
        ),
        ("endpoints-extremes", list_of(extremes)),
        ("endpoints-names-empty", list_of(named("", 0.0))),
        (
            "endpoints-names-longest",
            list_of(named(&"n".repeat(LONGEST_NAME), 1.0)),
        ),
        ("endpoints-names-non-ascii", list_of(non_ascii)),
        (
            "endpoints-name-longest-non-ascii",
            list_of(endpoint(&wide, 0, 1.0, None)),
        ),
        (
            "endpoints-name-control-characters",
            list_of(endpoint("a\0b\r\n", 0, 1.0, None)),
        ),
    ]
}

fn session_messages() -> Vec<(&'static str, HotRestartMessage)> {
    let with_buffers = SessionOffer {
        from_client: buffered(6, b"MSG 1\nMSG"),
        from_server: buffered(4, b"ACK\n"),
        ..session(None)
    };
    let with_buffers_and_wait = SessionOffer {
        response_timeout: Some(millis(1500)),
        ..with_buffers.clone()
    };
    let client_only = SessionOffer {
        from_client: buffered(1, b"\n"),
        ..session(None)
    };
    let server_only = SessionOffer {
        from_server: buffered(0, b"half a li"),
        ..session(None)
    };
    let longest_wait = session(Some(millis(u64::from(u32::MAX) - 1)));
    vec![
        ("session", HotRestartMessage::SessionOffer(session(None))),
        (
            "session-wait-0",
            HotRestartMessage::SessionOffer(session(Some(Duration::ZERO))),
        ),
        (
            "session-wait-20ms",
            HotRestartMessage::SessionOffer(session(Some(millis(20)))),
        ),
        (
            "session-wait-longest",
            HotRestartMessage::SessionOffer(longest_wait),
        ),
        (
            "session-buffered",
            HotRestartMessage::SessionOffer(with_buffers),
        ),
        (
            "session-buffered-wait",
            HotRestartMessage::SessionOffer(with_buffers_and_wait),
        ),
        (
            "session-client-only",
            HotRestartMessage::SessionOffer(client_only),
        ),
        (
            "session-server-only",
            HotRestartMessage::SessionOffer(server_only),
        ),
    ]
}

fn session_bounds() -> Vec<(&'static str, HotRestartMessage)> {
    let every_byte = SessionOffer {
        opening_line: every_byte(),
        from_client: buffered(256, &every_byte()),
        from_server: buffered(0, &every_byte()),
        ..session(Some(millis(1)))
    };
    let empty = SessionOffer {
        opening_line: Vec::new(),
        server_uid: "".into(),
        ..session(None)
    };
    let non_ascii = SessionOffer {
        server_uid: "järvi-❄".into(),
        opening_line: "OPEN ä\r\n".into(),
        ..session(None)
    };
    let uid_longest = SessionOffer {
        server_uid: "u".repeat(LONGEST_NAME),
        ..session(None)
    };
    vec![
        (
            "session-every-byte",
            HotRestartMessage::SessionOffer(every_byte),
        ),
        ("session-empty", HotRestartMessage::SessionOffer(empty)),
        (
            "session-non-ascii",
            HotRestartMessage::SessionOffer(non_ascii),
        ),
        (
            "session-uid-longest",
            HotRestartMessage::SessionOffer(uid_longest),
        ),
    ]
}

fn pending_messages() -> Vec<(&'static str, HotRestartMessage)> {
    // With a header of 9 bytes and two lengths of 4 bytes, this message has the greatest allowed
    // length.
    let longest = [b'x'; LONGEST_MESSAGE - 17];
    vec![
        (
            "pending-empty",
            HotRestartMessage::PendingConnectionOffer(buffered(0, b"")),
        ),
        (
            "pending-partial",
            HotRestartMessage::PendingConnectionOffer(buffered(0, b"OPE")),
        ),
        (
            "pending-whole",
            HotRestartMessage::PendingConnectionOffer(buffered(6, b"OPEN\r\n")),
        ),
        (
            "pending-whole-and-partial",
            HotRestartMessage::PendingConnectionOffer(buffered(6, b"OPEN\r\nMS")),
        ),
        (
            "pending-every-byte",
            HotRestartMessage::PendingConnectionOffer(buffered(128, &every_byte())),
        ),
        (
            "pending-longest",
            HotRestartMessage::PendingConnectionOffer(buffered(0, &longest)),
        ),
    ]
}

/// Messages that are not decoded as the same value: the encoding cannot represent them, or the
/// decoder refuses them. How they are encoded must not change either.
fn encoded_only() -> Vec<(&'static str, HotRestartMessage)> {
    let started = |started_at| list_of(endpoint("server-1", 0, 1.0, Some(started_at)));
    let waits = |response_timeout| HotRestartMessage::SessionOffer(session(Some(response_timeout)));
    let long_name = "n".repeat(LONGEST_NAME + 1);
    let too_long = [b'x'; LONGEST_MESSAGE - 16];
    vec![
        ("endpoints-started-zero", started(Duration::ZERO)),
        (
            "endpoints-started-under-a-millisecond",
            started(Duration::from_micros(999)),
        ),
        (
            "endpoints-started-fraction-cut",
            started(Duration::from_micros(1999)),
        ),
        (
            "endpoints-name-too-long",
            list_of(endpoint(&long_name, 0, 1.0, None)),
        ),
        (
            "endpoints-weight-infinite",
            list_of(endpoint("server-1", 0, f64::INFINITY, None)),
        ),
        (
            "session-wait-fraction-cut",
            waits(Duration::from_micros(20_999)),
        ),
        (
            "session-wait-read-as-none",
            waits(millis(u64::from(u32::MAX))),
        ),
        ("session-wait-wrapped", waits(millis((1 << 32) + 5))),
        (
            "pending-whole-beyond-end",
            HotRestartMessage::PendingConnectionOffer(buffered(4, b"OPE")),
        ),
        (
            "pending-too-long",
            HotRestartMessage::PendingConnectionOffer(buffered(0, &too_long)),
        ),
    ]
}

/// A line of a data file without its name.
struct GoldenLine {
    bytes: Vec<u8>,
    /// The outcome, as the data file states it.
    outcome: String,
}

fn golden_lines(file: &'static str) -> BTreeMap<&'static str, GoldenLine> {
    let mut lines = BTreeMap::new();
    for line in file
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        let mut fields = line.splitn(3, ' ');
        let name = fields.next().expect("a line has a name");
        let bytes = decode_hex(fields.next().expect("a line has bytes"));
        let outcome = fields.next().unwrap_or_default().to_string();
        let duplicate = lines.insert(name, GoldenLine { bytes, outcome });
        assert!(duplicate.is_none(), "{name} is listed twice");
    }
    lines
}

fn decode_hex(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in text.split('+') {
        let (digits, times) = part.split_once('*').unwrap_or((part, "1"));
        let digits = digits
            .as_bytes()
            .chunks(2)
            .map(|pair| std::str::from_utf8(pair).expect("the digits are ASCII"));
        let part: Vec<u8> = digits
            .map(|pair| u8::from_str_radix(pair, 16).expect("the digits are hexadecimal"))
            .collect();
        bytes.extend(part.repeat(times.parse().expect("the part has a count")));
    }
    bytes
}

fn assert_same_names<T>(lines: &BTreeMap<&str, GoldenLine>, cases: &[(&str, T)]) {
    let mut names: Vec<&str> = cases.iter().map(|(name, _)| *name).collect();
    names.sort_unstable();
    assert_eq!(lines.keys().copied().collect::<Vec<_>>(), names);
}

#[test]
fn every_message_is_encoded_as_the_golden_bytes_and_decoded_from_them() {
    let lines = golden_lines(MESSAGES);
    let cases = messages();
    assert_same_names(&lines, &cases);
    for (name, message) in cases {
        let golden = &lines[name].bytes;
        assert!(message.encode() == *golden, "{name} is encoded differently");
        let descriptors = format!("descriptors {}", message.descriptor_count());
        assert_eq!(descriptors, lines[name].outcome, "{name}");
        assert_eq!(HotRestartMessage::decode(golden), Ok(message), "{name}");
    }
}

#[test]
fn messages_that_are_not_decoded_alike_are_encoded_as_the_golden_bytes() {
    let lines = golden_lines(ENCODED_ONLY);
    let cases = encoded_only();
    assert_same_names(&lines, &cases);
    for (name, message) in cases {
        let golden = &lines[name].bytes;
        assert!(message.encode() == *golden, "{name} is encoded differently");
        let decoded = HotRestartMessage::decode(golden);
        assert!(
            decoded != Ok(message),
            "{name} is decoded as the same value"
        );
        match lines[name].outcome.split_once(' ') {
            Some(("becomes", bytes)) => {
                let other = decoded.expect("it is decoded as another value");
                assert!(
                    other.encode() == decode_hex(bytes),
                    "{name} is decoded differently"
                );
            }
            Some(("refused", text)) => {
                let refused = decoded.expect_err(name);
                assert_eq!(refused.to_string(), text, "{name}");
            }
            _ => panic!("{name} has no outcome"),
        }
    }
}

#[test]
fn invalid_messages_are_refused_with_the_golden_texts() {
    let lines = golden_lines(REFUSED);
    assert_eq!(lines.len(), REFUSED_COUNT);
    for (name, golden) in lines {
        let text = golden.outcome.strip_prefix("refused ").expect(name);
        let refused = HotRestartMessage::decode(&golden.bytes).expect_err(name);
        assert_eq!(refused.to_string(), text, "{name}");
    }
}

/// The data file uses the present names of the states, inputs and effects.
#[test]
fn every_state_and_input_has_the_transition_of_the_golden_table() {
    let states = [
        HotRestartState::Idle,
        HotRestartState::SuccessorConnected,
        HotRestartState::StateSent,
        HotRestartState::HandingOver,
        HotRestartState::TakingOver,
    ];
    let inputs = [
        HotRestartInput::PeerConnected,
        HotRestartInput::HelloReceived,
        HotRestartInput::ServingReceived,
        HotRestartInput::OfferAcceptedReceived,
        HotRestartInput::OpenDescriptorsReceived,
        HotRestartInput::OfferReceived,
        HotRestartInput::HandoverStoppedReceived,
        HotRestartInput::PeerFailed,
        HotRestartInput::LinkClosed,
    ];
    let mut golden = TRANSITIONS.lines().filter(|line| !line.starts_with('#'));
    for state in states {
        for input in inputs {
            let mut next = state;
            let effect = next.apply(input);
            let transition = format!("{state:?} {input:?} {next:?} {effect:?}");
            assert_eq!(golden.next(), Some(transition.as_str()));
        }
    }
    assert_eq!(golden.next(), None);
}
