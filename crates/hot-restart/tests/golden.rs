//! The bytes of every hot-restart message, as the build at 17cc2a9 wrote them. A process of that
//! build and one of this understand each other for as long as these tests pass: the data files are
//! never written anew. The same holds for the transitions of the state machine.
//!
//! A line of a data file is `name bytes outcome`. The outcome is `descriptors N` for a message that
//! is decoded as it was encoded and goes with N descriptors, `becomes BYTES` for one that is read
//! as another value, and `refused TEXT` for one that is not read. `#` begins a comment.
//! Bytes are hex digits; `AA*N` stands for N times the byte AA, and `+` joins parts.

use asterramp_hot_restart::{
    BufferedBytes, EndpointRecord, HotRestartInput, HotRestartState, Message, OpenConnection,
};
use std::collections::BTreeMap;
use std::time::Duration;

const MESSAGES: &str = include_str!("golden/messages.txt");
const ENCODED_ONLY: &str = include_str!("golden/encoded-only.txt");
const REFUSED: &str = include_str!("golden/refused.txt");
const TRANSITIONS: &str = include_str!("golden/transitions.txt");

/// Records in the fullest list of the running system.
const FULL_LIST: u16 = 32;
/// Messages in the file of those refused.
const REFUSED_COUNT: usize = 170;
const LONGEST_NAME: usize = 256;
const LONGEST_MESSAGE: usize = 64 * 1024;

fn host(uid: &str, standing: u8, weight: f64, started: Option<Duration>) -> EndpointRecord {
    EndpointRecord {
        uid: uid.into(),
        endpoint: "10.0.0.1:80".into(),
        zone: "zone-a".into(),
        cell: 7,
        standing,
        weight,
        started,
    }
}

fn bytes(whole: usize, bytes: &[u8]) -> BufferedBytes {
    BufferedBytes {
        whole,
        bytes: bytes.to_vec(),
    }
}

fn pair(waits: Option<Duration>) -> OpenConnection {
    OpenConnection {
        line: b"OPEN s-17 lobby c=lakes\r\n".to_vec(),
        uid: "server-1".into(),
        waits,
        client: bytes(0, b""),
        server: bytes(0, b""),
    }
}

fn every_byte() -> Vec<u8> {
    (0..=u8::MAX).collect()
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn a_start() -> Option<Duration> {
    Some(millis(1_785_000_000_123))
}

fn list_of(host: EndpointRecord) -> Message {
    Message::Hosts(vec![host])
}

/// Messages that are decoded as they were encoded.
fn messages() -> Vec<(&'static str, Message)> {
    [
        plain_messages(),
        list_messages(),
        list_bounds(),
        session_messages(),
        pending_messages(),
    ]
    .concat()
}

fn plain_messages() -> Vec<(&'static str, Message)> {
    vec![
        ("hello", Message::Hello),
        ("listener-revision-0", Message::Door { rev: 0 }),
        ("listener-revision-1", Message::Door { rev: 1 }),
        (
            "listener-revision-each-byte",
            Message::Door {
                rev: 0x0102_0304_0506_0708,
            },
        ),
        ("listener-revision-largest", Message::Door { rev: u64::MAX }),
        ("serving", Message::Serves),
        ("descriptors-0", Message::Holds(0)),
        ("descriptors-1000", Message::Holds(1000)),
        ("descriptors-largest", Message::Holds(u32::MAX)),
        ("accepted", Message::Taken),
        ("stopped", Message::Kept),
    ]
}

fn list_messages() -> Vec<(&'static str, Message)> {
    let two = vec![
        host("server-1", 0, 1.0, None),
        host("server-2", 1, 2.5, a_start()),
    ];
    let twice = vec![host("server-1", 0, 1.0, None); 2];
    let full_list = (0..FULL_LIST).map(|n| EndpointRecord {
        uid: format!("server-{n}"),
        endpoint: format!("[2001:db8::{n:x}]:{}", 8000 + n),
        zone: format!("zone-{}", n % 3),
        cell: n,
        standing: (n % 3) as u8,
        weight: f64::from(n) / 8.0,
        started: (n % 2 == 1).then(|| millis(u64::from(n))),
    });
    vec![
        ("endpoints-none", Message::Hosts(Vec::new())),
        ("endpoints-ready", list_of(host("server-1", 0, 1.0, None))),
        (
            "endpoints-draining",
            list_of(host("server-1", 1, 1.0, None)),
        ),
        ("endpoints-gone", list_of(host("server-1", 2, 1.0, None))),
        (
            "endpoints-ready-started",
            list_of(host("server-1", 0, 1.0, a_start())),
        ),
        (
            "endpoints-draining-started",
            list_of(host("server-1", 1, 0.25, a_start())),
        ),
        (
            "endpoints-gone-started",
            list_of(host("server-1", 2, 0.0, a_start())),
        ),
        (
            "endpoints-started-earliest",
            list_of(host("server-1", 0, 1.0, Some(millis(1)))),
        ),
        ("endpoints-two", Message::Hosts(two)),
        ("endpoints-same-twice", Message::Hosts(twice)),
        ("endpoints-full", Message::Hosts(full_list.collect())),
    ]
}

fn list_bounds() -> Vec<(&'static str, Message)> {
    let extremes = EndpointRecord {
        cell: u16::MAX,
        weight: f64::MAX,
        started: Some(millis(u64::MAX)),
        ..host("server-1", 2, 0.0, None)
    };
    let named = |name: &str, weight| EndpointRecord {
        uid: name.into(),
        endpoint: name.into(),
        zone: name.into(),
        ..host("", 0, weight, None)
    };
    let non_ascii = EndpointRecord {
        zone: "南極-❄".into(),
        ..host("järvi-1", 0, 1.0, None)
    };
    // 128 characters of two bytes each: the bound counts bytes.
    let wide = "ä".repeat(LONGEST_NAME / 2);
    vec![
        (
            "endpoints-weight-negative-zero",
            list_of(host("server-1", 0, -0.0, None)),
        ),
        (
            "endpoints-weight-least",
            list_of(host("server-1", 0, f64::from_bits(1), None)),
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
            list_of(host(&wide, 0, 1.0, None)),
        ),
        (
            "endpoints-name-control-characters",
            list_of(host("a\0b\r\n", 0, 1.0, None)),
        ),
    ]
}

fn session_messages() -> Vec<(&'static str, Message)> {
    let buffered = OpenConnection {
        client: bytes(6, b"MSG 1\nMSG"),
        server: bytes(4, b"ACK\n"),
        ..pair(None)
    };
    let buffered_wait = OpenConnection {
        waits: Some(millis(1500)),
        ..buffered.clone()
    };
    let client_only = OpenConnection {
        client: bytes(1, b"\n"),
        ..pair(None)
    };
    let server_only = OpenConnection {
        server: bytes(0, b"half a li"),
        ..pair(None)
    };
    let every_byte = OpenConnection {
        line: every_byte(),
        client: bytes(256, &every_byte()),
        server: bytes(0, &every_byte()),
        ..pair(Some(millis(1)))
    };
    let empty = OpenConnection {
        line: Vec::new(),
        uid: "".into(),
        ..pair(None)
    };
    let non_ascii = OpenConnection {
        uid: "järvi-❄".into(),
        line: "OPEN ä\r\n".into(),
        ..pair(None)
    };
    let uid_longest = OpenConnection {
        uid: "u".repeat(LONGEST_NAME),
        ..pair(None)
    };
    let longest_wait = pair(Some(millis(u64::from(u32::MAX) - 1)));
    vec![
        ("session", Message::Pair(pair(None))),
        ("session-wait-0", Message::Pair(pair(Some(Duration::ZERO)))),
        ("session-wait-20ms", Message::Pair(pair(Some(millis(20))))),
        ("session-wait-longest", Message::Pair(longest_wait)),
        ("session-buffered", Message::Pair(buffered)),
        ("session-buffered-wait", Message::Pair(buffered_wait)),
        ("session-client-only", Message::Pair(client_only)),
        ("session-server-only", Message::Pair(server_only)),
        ("session-every-byte", Message::Pair(every_byte)),
        ("session-empty", Message::Pair(empty)),
        ("session-non-ascii", Message::Pair(non_ascii)),
        ("session-uid-longest", Message::Pair(uid_longest)),
    ]
}

fn pending_messages() -> Vec<(&'static str, Message)> {
    // A header of 9 bytes and two lengths of 4: this message is exactly as long as one may be.
    let longest = [b'x'; LONGEST_MESSAGE - 17];
    vec![
        ("pending-empty", Message::Stranger(bytes(0, b""))),
        ("pending-partial", Message::Stranger(bytes(0, b"OPE"))),
        ("pending-whole", Message::Stranger(bytes(6, b"OPEN\r\n"))),
        (
            "pending-whole-and-partial",
            Message::Stranger(bytes(6, b"OPEN\r\nMS")),
        ),
        (
            "pending-every-byte",
            Message::Stranger(bytes(128, &every_byte())),
        ),
        ("pending-longest", Message::Stranger(bytes(0, &longest))),
    ]
}

/// Values that the form cannot carry, or that the other side refuses: how they are encoded stays as
/// well.
fn encoded_only() -> Vec<(&'static str, Message)> {
    let started = |started| list_of(host("server-1", 0, 1.0, Some(started)));
    let waits = |waits| Message::Pair(pair(Some(waits)));
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
            list_of(host(&long_name, 0, 1.0, None)),
        ),
        (
            "endpoints-weight-infinite",
            list_of(host("server-1", 0, f64::INFINITY, None)),
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
            Message::Stranger(bytes(4, b"OPE")),
        ),
        ("pending-too-long", Message::Stranger(bytes(0, &too_long))),
    ]
}

struct GoldenLine {
    bytes: Vec<u8>,
    text: String,
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
        let text = fields.next().unwrap_or_default().to_string();
        let before = lines.insert(name, GoldenLine { bytes, text });
        assert!(before.is_none(), "{name} stands twice");
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
            .map(|pair| std::str::from_utf8(pair).expect("ASCII"));
        let part: Vec<u8> = digits
            .map(|pair| u8::from_str_radix(pair, 16).expect("hex digits"))
            .collect();
        bytes.extend(part.repeat(times.parse().expect("a count")));
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
        assert!(message.write() == *golden, "{name} is encoded otherwise");
        let descriptors = format!("descriptors {}", message.descriptors());
        assert_eq!(descriptors, lines[name].text, "{name}");
        assert_eq!(Message::read(golden), Ok(message), "{name}");
    }
}

#[test]
fn what_the_form_cannot_carry_is_encoded_as_the_golden_bytes() {
    let lines = golden_lines(ENCODED_ONLY);
    let cases = encoded_only();
    assert_same_names(&lines, &cases);
    for (name, message) in cases {
        let golden = &lines[name].bytes;
        assert!(message.write() == *golden, "{name} is encoded otherwise");
        let decoded = Message::read(golden);
        assert!(decoded != Ok(message), "{name} is carried whole");
        match lines[name].text.split_once(' ') {
            Some(("becomes", bytes)) => {
                let other = decoded.expect("it is read as another value");
                assert!(
                    other.write() == decode_hex(bytes),
                    "{name} is decoded otherwise"
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
fn bad_messages_are_refused_with_the_golden_texts() {
    let lines = golden_lines(REFUSED);
    assert_eq!(lines.len(), REFUSED_COUNT);
    for (name, golden) in lines {
        let text = golden.text.strip_prefix("refused ").expect(name);
        let refused = Message::read(&golden.bytes).expect_err(name);
        assert_eq!(refused.to_string(), text, "{name}");
    }
}

/// The whole table of states and inputs, in the names of today.
#[test]
fn every_state_and_input_does_what_the_golden_table_says() {
    let states = [
        HotRestartState::Alone,
        HotRestartState::Called,
        HotRestartState::Told,
        HotRestartState::Handing,
        HotRestartState::Taking,
    ];
    let inputs = [
        HotRestartInput::Came,
        HotRestartInput::Said,
        HotRestartInput::Serves,
        HotRestartInput::Taken,
        HotRestartInput::Held,
        HotRestartInput::Offered,
        HotRestartInput::Kept,
        HotRestartInput::Broke,
        HotRestartInput::Over,
    ];
    let mut golden = TRANSITIONS.lines().filter(|line| !line.starts_with('#'));
    for state in states {
        for input in inputs {
            let mut next = state;
            let effect = next.step(input);
            let transition = format!("{state:?} {input:?} {next:?} {effect:?}");
            assert_eq!(golden.next(), Some(transition.as_str()));
        }
    }
    assert_eq!(golden.next(), None);
}
