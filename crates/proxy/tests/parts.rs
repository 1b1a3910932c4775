//! Parsers and tables, as tables of cases.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_placement::Event;
use asterramp_placement::event::{EndpointState, Outcome, SessionRequest};
use asterramp_proxy::protocol::client::{ClientGreeting, busy_line, parse_greeting};
use asterramp_proxy::protocol::http_client::ChunkedResponse;
use asterramp_proxy::protocol::json::{self, JsonValue};
use asterramp_proxy::protocol::line::{self, LineError};
use asterramp_proxy::protocol::server::{ServerLine, parse_server_line, report_value};
use asterramp_proxy::protocol::{discovery, http_client};
use asterramp_proxy::routing::session_state::{SessionEffect, SessionInput, SessionMachine};
use asterramp_proxy::transport::{Deadlines, ReadBuffer, SlotMap};
use std::time::Duration;
use test_case::test_case;

#[test_case(b"PING\r\nrest", Ok(Some(("PING", 6))); "whole")]
#[test_case(b"PING\r", Ok(None); "incomplete")]
#[test_case(b"PI\nNG\r\n", Err(LineError::Malformed("line end")); "line feed alone")]
#[test_case(b"\xc3\x28\r\n", Err(LineError::NotText); "not text")]
#[test_case(&[b'a'; 4095], Ok(None); "may still end in time")]
#[test_case(&[b'a'; 4096], Err(LineError::TooLong); "cannot end in time")]
fn first_lines(bytes: &[u8], found: Result<Option<(&str, usize)>, LineError>) {
    assert_eq!(line::first_line(bytes), found);
}

#[test]
fn greetings_say_what_they_hold() {
    let text = "OPEN 9b1f 7f3a c=feed,h=1.5,d=250,t=acme,g=ff,again=1,at=s-1";
    let Ok(ClientGreeting::Open(open)) = parse_greeting(text) else {
        panic!("{:?}", parse_greeting(text))
    };
    assert_eq!(
        (open.id, open.key, open.listener, open.tenant),
        ("9b1f", 0x7f3a, "feed", Some("acme"))
    );
    assert_eq!(
        (open.wait, open.group, open.inherited_from),
        (Duration::from_millis(250), Some(255), Some("s-1"))
    );
    assert_eq!((&text[open.wait_range], open.reconnecting), ("250", true));
    assert_eq!(parse_greeting("PING"), Ok(ClientGreeting::Ping));
}

#[test_case("OPEN"; "nothing")]
#[test_case("OPEN 1 2"; "no list")]
#[test_case("OPEN 1 2 c=a,d=1 x"; "too many words")]
#[test_case("OPEN 1 123456789abcdef01 c=a,d=1"; "key too long")]
#[test_case("OPEN 1 2 c=a,d"; "no value")]
#[test_case("OPEN 1 2 c=a,d=-1"; "negative wait")]
#[test_case("OPEN 1 2 c=a,d=nan"; "no number")]
#[test_case("OPEN 1 2 c=a,d=1e3"; "not plain digits")]
#[test_case("OPEN 1 2 c=a,d=3600001"; "endless wait")]
#[test_case("OPEN 1 2 c=a,d=1,g=x"; "bad group")]
#[test_case("open 1 2 c=a,d=1"; "lower case")]
#[test_case("PING "; "something behind")]
fn bad_greetings(text: &str) {
    assert!(parse_greeting(text).is_err());
}

#[test_case("UP 5" => ServerLine::Up; "up")]
#[test_case("BYE x0=1" => ServerLine::Bye("x0=1"); "served")]
#[test_case("BUSY" => ServerLine::Busy(""); "full")]
#[test_case("LOAD 2.5" => ServerLine::Load(2.5); "work")]
#[test_case("LOAD inf" => ServerLine::Other; "work without bound")]
#[test_case("UPPER" => ServerLine::Other; "longer word")]
fn words_of_servers(line: &str) -> ServerLine<'_> {
    parse_server_line(line)
}

#[test_case("x0=0.5,queue=2", "queue" => Some(2.0); "named")]
#[test_case("x0=0.5", "queue" => None; "absent")]
#[test_case("x0=nan", "x0" => None; "no number")]
#[test_case("x0=-1", "x0" => None; "negative")]
#[test_case("x0", "x0" => None; "no value")]
fn figures_of_reports(report: &str, name: &str) -> Option<f64> {
    report_value(report, name)
}

#[test_case(0 => "BUSY\r\n"; "none")]
#[test_case(1_500 => "BUSY 1500\r\n"; "some")]
fn come_back_times(ms: u64) -> String {
    busy_line(Duration::from_millis(ms))
}

/// Feeds an answer in pieces of one size; its lines, or that it is bad.
fn fed(text: &str, size: usize) -> Option<Vec<String>> {
    let (mut answer, mut lines) = (ChunkedResponse::default(), Vec::new());
    for piece in text.as_bytes().chunks(size) {
        answer.feed(piece, &mut lines).ok()?;
    }
    Some(
        lines
            .into_iter()
            .map(|line| String::from_utf8(line).unwrap())
            .collect(),
    )
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer: x\r\n\r\n";

#[test_case("6\r\n{\"a\":1\r\n2\r\n}\n\r\n1\r\n\n\r\n", Some(&["{\"a\":1}", ""]); "a line in two")]
#[test_case("4;x=y\r\n{}\r\n\r\n0\r\n\r\nmore\n", Some(&["{}"]); "extension and last chunk")]
#[test_case("zz\r\n", None; "no size")]
#[test_case("2\r\n{}{}\r\n", None; "longer than its size")]
#[test_case("fffffffffffffffff\r\n", None; "size past all bounds")]
fn chunked_answers_in_pieces_of_any_size(body: &str, lines: Option<&[&str]>) {
    let whole = format!("{HEAD}{body}");
    for size in 1..whole.len() {
        let found = fed(&whole, size);
        assert_eq!(
            found.as_deref(),
            lines
                .map(|l| l.iter().map(|l| l.to_string()).collect::<Vec<_>>())
                .as_deref()
        );
    }
}

#[test_case("HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n"; "other status")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"; "not chunked")]
#[test_case(&"x".repeat(9_000); "endless head")]
fn bad_heads(head: &str) {
    assert_eq!(fed(head, 100), None);
    assert!(
        http_client::watch_request("h:1", 41)
            .starts_with("GET /discovery/hosts?stream=1&index=41 HTTP/1.1\r\n")
    );
}

#[test_case(r#" {"a":[1,-2.5e3,"x\n\u00e9\ud83d\ude00\"",null,true,{}]} "#, true; "all kinds")]
#[test_case("[1,]", false; "comma at the end")]
#[test_case("{\"a\" 1}", false; "no colon")]
#[test_case("\"\\x\"", false; "unknown escape")]
#[test_case("\"\\u12\"", false; "cut escape")]
#[test_case("\"abc", false; "no end")]
#[test_case("1 2", false; "two values")]
#[test_case("--1", false; "no number")]
#[test_case("nul", false; "cut word")]
#[test_case("", false; "nothing")]
#[test_case(&"[".repeat(100_000), false; "too deep")]
fn json_is_read_or_refused(text: &str, good: bool) {
    assert_eq!(json::parse(text.as_bytes()).is_ok(), good);
    let cut = (1..text.len().min(200)).filter(|n| text.is_char_boundary(*n));
    cut.for_each(|n| drop(json::parse(&text.as_bytes()[..n])));
}

#[test]
fn nested_settings_become_flat_ones() {
    let text = r#"{"a":{"b":[1,2.0]},"l":[{"n":"x y,z"},{"n":null}],"t":true,"s":"\ud83d\ude00"}"#;
    let value = json::parse(text.as_bytes()).unwrap();
    let mut pairs = Vec::new();
    value.flatten("", &mut pairs);
    let flat: Vec<String> = pairs
        .into_iter()
        .map(|(path, value)| format!("{path}={value}"))
        .collect();
    assert_eq!(
        flat,
        [
            "a.b=1,2.0",
            "l.count=2",
            "l.0.n=x_y_z",
            "l.1.n=",
            "t=true",
            "s=\u{1f600}"
        ]
    );
    assert_eq!(value.get("t"), Some(&JsonValue::Bool(true)));
}

#[test_case(r#""uid":"s","endpoint":"127.0.0.1:1","state":"ready","pod_group":3,"boot_ms":1500"#, true; "a")]
#[test_case(r#""uid":"s","state":"gone""#, true; "gone, with its uid only")]
#[test_case(r#""uid":"s","state":"ready""#, false; "no endpoint")]
#[test_case(r#""uid":"s","endpoint":"127.0.0.1:1","state":"odd""#, false; "unknown state")]
#[test_case(r#""endpoint":"127.0.0.1:1","state":"ready""#, false; "no uid")]
#[test_case(r#""uid":"s","endpoint":"127.0.0.1:1","state":"ready","boot_ms":-1"#, false; "negative time")]
#[test_case(r#""uid":"s","endpoint":"127.0.0.1:1","state":"ready","boot_ms":1e300"#, false; "endless")]
fn lists_of_servers(target: &str, good: bool) {
    let read = discovery::parse(
        format!("{{\"rev\":4,\"all\":true,\"targets\":[{{{target}}}]}}").as_bytes(),
    );
    assert!(
        read.as_ref()
            .is_ok_and(|list| list.first_error.is_none() == good),
        "{read:?}"
    );
    let list = read
        .into_iter()
        .flat_map(|list| list.endpoints)
        .find(|line| line.state == EndpointState::Ready);
    assert!(list.is_none_or(|l| l.cell == 3
        && l.started_at == Some(Duration::from_millis(1500))
        && l.weight == 1.0));
}

#[test]
fn a_slot_used_again_does_not_answer_to_its_former_key() {
    let mut slots = SlotMap::default();
    let first = slots.insert("first");
    slots.remove(first);
    let second = slots.insert("second");
    assert_eq!((first.slot, slots.get(first)), (second.slot, None));
    assert_eq!(slots.remove(first), None);
    assert_eq!(
        (slots.get(second), slots.key_at(second.slot), slots.len()),
        (Some(&"second"), Some(second), 1)
    );
}

#[test]
fn deadlines_come_in_order_and_one_a_key() {
    let (mut due, at) = (Deadlines::default(), Duration::from_secs);
    [('a', 3), ('b', 1), ('a', 2), ('c', 9)]
        .into_iter()
        .for_each(|(key, s)| due.set(key, at(s)));
    due.clear('c');
    assert_eq!((due.next_due(), due.pop_due(at(0))), (Some(at(1)), None));
    assert_eq!(
        [due.pop_due(at(5)), due.pop_due(at(5)), due.pop_due(at(5))],
        [Some('b'), Some('a'), None]
    );
}

#[test]
fn a_buffer_keeps_order_and_its_bound() {
    let mut buffer = ReadBuffer::default();
    buffer.append(&[1; 8_000]);
    buffer.consume(7_999);
    buffer.append(&[2; 100]);
    assert_eq!(
        (buffer.bytes()[0], buffer.bytes()[1], buffer.free_space()),
        (1, 2, ReadBuffer::CAPACITY - 101)
    );
    buffer.consume(1_000_000);
    assert!(buffer.is_empty() && buffer.free_space() == ReadBuffer::CAPACITY);
}

// A further dial of a referenced session has to be on its way before its mark is forgotten.
#[test_case(40, Some(Outcome::NeverSent); "it comes up after the mark is forgotten")]
#[test_case(39, None; "just before")]
fn a_line_is_not_written_after_its_time(after: u64, outcome: Option<Outcome>) {
    let ms = Duration::from_millis;
    let arrival = SessionRequest {
        dial_timeout: ms(2_000),
        ..SessionRequest::default()
    };
    let mut life = SessionMachine::new(Duration::ZERO, arrival, false, ms(200));
    let mut out = Vec::new();
    life.step(
        Duration::ZERO,
        SessionInput::Dial {
            server: 1,
            timeout: ms(400),
            write_within: ms(40),
        },
        &mut out,
    );
    let watched = |effect: &SessionEffect| matches!(effect, SessionEffect::SetDeadline(Some(at)) if *at == ms(40));
    assert!(out.iter().any(watched), "{out:?}");
    out.clear();
    life.step(ms(after), SessionInput::Connected { dial: 0 }, &mut out);
    let told = out.iter().find_map(|effect| match effect {
        SessionEffect::Notify(Event::AttemptEnded { outcome, .. }) => Some(*outcome),
        _ => None,
    });
    let asks = out
        .iter()
        .any(|effect| matches!(effect, SessionEffect::SendRequest { .. }));
    assert_eq!((told, asks), (outcome, outcome.is_none()), "{out:?}");
}

/// Until its line is at its server nothing runs, so the dial is closed without the module's word, which may not call off.
#[test_case(&[], SessionInput::ClientLeft; "it leaves while its dial connects")]
#[test_case(&[SessionInput::Connected { dial: 0 }], SessionInput::ClientLeft; "it leaves as its dial came up")]
#[test_case(&[], SessionInput::ClientSpoke; "it speaks while its dial connects")]
#[test_case(&[SessionInput::Connected { dial: 0 }], SessionInput::ClientSpoke; "it speaks as its dial came up")]
#[test_case(&[], SessionInput::DrainCutoff; "it is turned away while its dial connects")]
#[test_case(&[SessionInput::Connected { dial: 0 }], SessionInput::DrainCutoff; "it is turned away as its dial came up")]
fn nothing_is_written_for_a_client_that_waits_no_more(before: &[SessionInput], how: SessionInput) {
    let ms = Duration::from_millis;
    let mut life = SessionMachine::new(Duration::ZERO, SessionRequest::default(), false, ms(200));
    let mut out = Vec::new();
    let all = ms(400);
    life.step(
        Duration::ZERO,
        SessionInput::Dial {
            server: 1,
            timeout: all,
            write_within: all,
        },
        &mut out,
    );
    before
        .iter()
        .for_each(|input| life.step(ms(1), *input, &mut out));
    out.clear();
    life.step(ms(1), how, &mut out);
    // What was on its way at that moment finds nothing more to do.
    life.step(ms(1), SessionInput::Connected { dial: 0 }, &mut out);
    life.step(ms(1), SessionInput::RequestWritten { dial: 0 }, &mut out);
    let told = |effect: &&SessionEffect| {
        matches!(
            effect,
            SessionEffect::Notify(Event::AttemptEnded {
                session_over: true,
                outcome: Outcome::CalledOff,
                ..
            })
        )
    };
    let closed = |effect: &&SessionEffect| matches!(effect, SessionEffect::CloseServer);
    assert_eq!(
        (
            out.iter().filter(told).count(),
            out.iter().filter(closed).count()
        ),
        (1, 1),
        "{out:?}"
    );
    assert!(
        !out.iter()
            .any(|effect| matches!(effect, SessionEffect::SendRequest { .. })),
        "{out:?}"
    );
}
