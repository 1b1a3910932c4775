//! The proxy's parsers and encoders of lines, greetings, server lines, HTTP, JSON and endpoint lists, by tables of cases.

use asterramp_placement::event::EndpointState;
use asterramp_proxy::protocol::client::{ClientGreeting, busy_line, parse_greeting};
use asterramp_proxy::protocol::discovery;
use asterramp_proxy::protocol::http_client::{ChunkedResponse, HttpResponseError, watch_request};
use asterramp_proxy::protocol::json::{self, JsonValue};
use asterramp_proxy::protocol::line::{self, LineError};
use asterramp_proxy::protocol::server::{ServerLine, parse_server_line, report_value};
use std::time::Duration;
use test_case::test_case;

/// A valid head of the response to a watch.
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer: x\r\n\r\n";

// Lines.

#[test_case(b"PING\r\nrest", Ok(Some(("PING", 6))); "complete")]
#[test_case(b"PING\r", Ok(None); "incomplete")]
#[test_case(b"PI\nNG\r\n", Err(LineError::Malformed("line end")); "line feed alone")]
#[test_case(b"\xc3\x28\r\n", Err(LineError::NotText); "not text")]
#[test_case(&[b'a'; 4095], Ok(None); "incomplete, within the limit")]
#[test_case(&[b'a'; 4096], Err(LineError::TooLong); "incomplete, at the limit")]
fn a_first_line_ends_in_crlf_within_the_length_limit(
    bytes: &[u8],
    expected: Result<Option<(&str, usize)>, LineError>,
) {
    assert_eq!(line::first_line(bytes), expected);
}

// Log lines contain both forms, the error's text and its `Debug` form.
#[test_case(LineError::TooLong, "too long", "TooLong"; "too long")]
#[test_case(LineError::NotText, "not text", "NotText"; "not text")]
#[test_case(LineError::Unknown, "unknown", "Unknown"; "unknown")]
#[test_case(LineError::Malformed("d"), "malformed d", "Malformed(\"d\")"; "malformed")]
fn line_errors_keep_the_texts_that_operators_search_for(
    error: LineError,
    display: &str,
    debug: &str,
) {
    assert_eq!(
        (error.to_string(), format!("{error:?}")),
        (display.into(), debug.into())
    );
}

// Greetings of clients, and responses to them.

#[test]
fn a_greeting_is_parsed_into_its_fields() {
    let text = "OPEN 9b1f 7f3a c=feed,h=1.5,d=250,t=acme,g=ff,again=1,at=s-1";
    let Ok(ClientGreeting::Open(open)) = parse_greeting(text) else {
        panic!("{:?}", parse_greeting(text))
    };
    assert_eq!(
        (open.id, open.key, open.listener, open.tenant),
        ("9b1f", 0x7f3a, "feed", Some("acme"))
    );
    assert_eq!(
        (open.wait, open.group, open.restored_server_uid),
        (Duration::from_millis(250), Some(255), Some("s-1"))
    );
    assert_eq!((&text[open.wait_range], open.reconnecting), ("250", true));
    assert_eq!(parse_greeting("PING"), Ok(ClientGreeting::Ping));
}

#[test_case("OPEN"; "first word only")]
#[test_case("OPEN 1 2"; "no parameters")]
#[test_case("OPEN 1 2 c=a,d=1 x"; "too many words")]
#[test_case("OPEN 1 123456789abcdef01 c=a,d=1"; "key too long")]
#[test_case("OPEN 1 2 c=a,d"; "no value")]
#[test_case("OPEN 1 2 c=a,d=-1"; "negative wait")]
#[test_case("OPEN 1 2 c=a,d=nan"; "not a number")]
#[test_case("OPEN 1 2 c=a,d=1e3"; "not plain digits")]
#[test_case("OPEN 1 2 c=a,d=3600001"; "wait longer than an hour")]
#[test_case("OPEN 1 2 c=a,d=1,g=x"; "invalid group")]
#[test_case("open 1 2 c=a,d=1"; "lower case")]
#[test_case("PING "; "trailing space")]
fn a_malformed_greeting_is_rejected(text: &str) {
    assert!(parse_greeting(text).is_err());
}

#[test_case(0 => "BUSY\r\n"; "no time")]
#[test_case(1_500 => "BUSY 1500\r\n"; "a time")]
fn a_rejection_contains_the_time_after_which_to_retry(retry_after_ms: u64) -> String {
    busy_line(Duration::from_millis(retry_after_ms))
}

// Lines and load reports of servers.

#[test_case("UP 5" => ServerLine::Up; "up")]
#[test_case("BYE x0=1" => ServerLine::Bye("x0=1"); "session ended")]
#[test_case("BUSY" => ServerLine::Busy(""); "full")]
#[test_case("LOAD 2.5" => ServerLine::Load(2.5); "load")]
#[test_case("LOAD inf" => ServerLine::Other; "infinite load")]
#[test_case("UPPER" => ServerLine::Other; "longer word")]
fn a_server_line_is_recognised_by_its_first_word(line: &str) -> ServerLine<'_> {
    parse_server_line(line)
}

#[test_case("x0=0.5,queue=2", "queue" => Some(2.0); "present")]
#[test_case("x0=0.5", "queue" => None; "absent")]
#[test_case("x0=nan", "x0" => None; "not a number")]
#[test_case("x0=-1", "x0" => None; "negative")]
#[test_case("x0", "x0" => None; "no value")]
fn only_finite_values_that_are_not_negative_are_read_from_a_load_report(
    report: &str,
    name: &str,
) -> Option<f64> {
    report_value(report, name)
}

// HTTP responses of discovery.

/// Feeds a response in pieces of this many bytes; returns its lines, or its error.
fn response_lines(text: &str, piece_size: usize) -> Result<Vec<String>, HttpResponseError> {
    let mut response = ChunkedResponse::default();
    let mut lines = Vec::new();
    for piece in text.as_bytes().chunks(piece_size) {
        response.feed(piece, &mut lines)?;
    }
    let texts = lines
        .into_iter()
        .map(|line| String::from_utf8(line).unwrap());
    Ok(texts.collect())
}

#[test_case("6\r\n{\"a\":1\r\n2\r\n}\n\r\n1\r\n\n\r\n", Some(&["{\"a\":1}", ""]); "a line in two chunks")]
#[test_case("4;x=y\r\n{}\r\n\r\n0\r\n\r\nmore\n", Some(&["{}"]); "chunk extension and last chunk")]
#[test_case("zz\r\n", None; "no chunk size")]
#[test_case("2\r\n{}{}\r\n", None; "chunk longer than its size")]
#[test_case("fffffffffffffffff\r\n", None; "chunk size too great for 64 bits")]
fn a_chunked_response_gives_the_same_lines_in_pieces_of_any_size(
    body: &str,
    expected: Option<&[&str]>,
) {
    let text = format!("{RESPONSE_HEAD}{body}");
    let expected: Option<Vec<String>> =
        expected.map(|lines| lines.iter().map(|line| line.to_string()).collect());
    for piece_size in 1..text.len() {
        assert_eq!(response_lines(&text, piece_size).ok(), expected);
    }
}

#[test_case("HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n", "status 404"; "other status")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "malformed head"; "not chunked")]
#[test_case(&"x".repeat(9_000), "too long"; "head too long")]
fn a_response_with_a_bad_head_is_rejected(head: &str, error: &str) {
    let found = response_lines(head, 100);
    assert_eq!(found.unwrap_err().to_string(), error);
}

#[test_case("\u{7f}\r\n", "malformed chunk size"; "chunk size")]
#[test_case("1\r\n\nx\r\n", "malformed chunk end"; "chunk end")]
fn a_response_with_bad_chunks_is_rejected(body: &str, error: &str) {
    let found = response_lines(&format!("{RESPONSE_HEAD}{body}"), 100);
    assert_eq!(found.unwrap_err().to_string(), error);
}

#[test]
fn a_watch_request_contains_the_revision_that_the_proxy_has() {
    assert!(
        watch_request("h:1", 41).starts_with("GET /discovery/hosts?stream=1&index=41 HTTP/1.1\r\n")
    );
}

// JSON.

#[test_case(r#" {"a":[1,-2.5e3,"x\n\u00e9\ud83d\ude00\"",null,true,{}]} "#, None; "all kinds")]
#[test_case("[1,]", Some("no value at byte 3"); "trailing comma")]
#[test_case("{\"a\" 1}", Some("no colon at byte 5"); "no colon")]
#[test_case("{a:1}", Some("no text at byte 1"); "key without quotes")]
#[test_case("[1 2]", Some("no comma at byte 3"); "no comma")]
#[test_case("\"\\x\"", Some("unknown escape at byte 3"); "unknown escape")]
#[test_case("\"\\u12\"", Some("unknown escape at byte 7"); "incomplete escape")]
#[test_case("\"abc", Some("text without end at byte 1"); "string without its end")]
#[test_case("\"\t\"", Some("control character at byte 2"); "control character")]
#[test_case("1 2", Some("more than one value at byte 2"); "two values")]
#[test_case("--1", Some("no number at byte 0"); "not a number")]
#[test_case("nul", Some("no value at byte 0"); "incomplete literal")]
#[test_case("", Some("no value at byte 0"); "empty")]
#[test_case(&"[".repeat(100_000), Some("too deep at byte 24"); "nested too deeply")]
fn json_is_parsed_or_rejected_with_the_position_of_its_error(text: &str, error: Option<&str>) {
    let found = json::parse(text.as_bytes()).err();
    assert_eq!(found.map(|error| error.to_string()).as_deref(), error);
    // A text that ends early must not panic, whatever the result.
    let lengths = (1..text.len().min(200)).filter(|length| text.is_char_boundary(*length));
    for length in lengths {
        drop(json::parse(&text.as_bytes()[..length]));
    }
}

#[test]
fn json_that_is_not_utf8_is_rejected_with_the_position_of_its_error() {
    let error = json::parse(b"\"\xc3\x28\"").unwrap_err();
    assert_eq!(
        error.to_string(),
        "invalid utf-8 sequence of 1 bytes from index 1"
    );
}

#[test]
fn nested_settings_are_flattened_to_paths() {
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

// Endpoint lists.

#[test_case(r#""uid":"s","endpoint":"127.0.0.1:1","state":"ready","pod_group":3,"boot_ms":1500"#, None; "complete")]
#[test_case(r#""uid":"s","state":"gone""#, None; "gone, with only its uid")]
#[test_case(r#""uid":"s","state":"ready""#, Some("endpoint"); "no endpoint")]
#[test_case(r#""uid":"s","endpoint":"127.0.0.1:1","state":"odd""#, Some("state"); "unknown state")]
#[test_case(r#""endpoint":"127.0.0.1:1","state":"ready""#, Some("uid"); "no uid")]
#[test_case(r#""uid":"s","endpoint":"127.0.0.1:1","state":"ready","boot_ms":-1"#, Some("boot_ms"); "negative start time")]
#[test_case(r#""uid":"s","endpoint":"127.0.0.1:1","state":"ready","boot_ms":1e300"#, Some("boot_ms"); "start time out of range")]
fn an_entry_of_a_list_is_read_or_left_out_with_an_error_that_names_its_key(
    entry: &str,
    invalid_key: Option<&str>,
) {
    let text = format!("{{\"rev\":4,\"all\":true,\"targets\":[{{{entry}}}]}}");
    let list = discovery::parse(text.as_bytes()).unwrap();
    let error = list.first_error.as_ref().map(ToString::to_string);
    let expected = invalid_key.map(|key| format!("targets.0.{key} is missing or wrong"));
    assert_eq!(error, expected, "{list:?}");
    let ready = list
        .endpoints
        .into_iter()
        .find(|endpoint| endpoint.state == EndpointState::Ready);
    assert!(ready.is_none_or(|endpoint| endpoint.cell == 3
        && endpoint.started_at == Some(Duration::from_millis(1500))
        && endpoint.weight == 1.0));
}

#[test_case("{\"rev\":1}", "targets is missing or no list"; "no list of entries")]
#[test_case("{\"targets\":[]}", "rev is missing or no number"; "no revision")]
#[test_case("{", "no text at byte 1"; "not JSON")]
fn an_unreadable_list_is_rejected_with_the_reason(text: &str, error: &str) {
    let found = discovery::parse(text.as_bytes()).unwrap_err();
    assert_eq!(found.to_string(), error);
}
