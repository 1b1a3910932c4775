//! Parsers of external input never panic, keep their bounds, and read valid input correctly.

use asterramp_admin_protocol::AdminRequest;
use asterramp_operator_config::OperatorConfig;
use asterramp_placement::settings;
use asterramp_proxy::protocol::client::{ClientGreeting, parse_greeting};
use asterramp_proxy::protocol::http_client::ChunkedResponse;
use asterramp_proxy::protocol::json::{self, JsonValue};
use asterramp_proxy::protocol::line::{self, MAX_LINE_LENGTH};
use asterramp_proxy::protocol::server::{ServerLine, parse_server_line, report_value};
use asterramp_proxy::protocol::{discovery, http_client};
use proptest::prelude::*;

/// Number of cases of each property, unless `PROPTEST_CASES` gives another.
const DEFAULT_CASES: u32 = 512;
/// Nesting depth of arrays and objects that no parsed JSON may exceed. The parser's own limit is lower.
const MAX_JSON_DEPTH: usize = 64;

/// JSON texts with some nesting and unusual numbers and strings; not all of them are valid.
fn json_text() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_string()),
        Just("true".to_string()),
        any::<f64>()
            .prop_filter("finite", |n| n.is_finite())
            .prop_map(|n| n.to_string()),
        "[-]?[0-9]{1,30}(\\.[0-9]{1,9})?(e[+-]?[0-9]{1,3})?",
        "[a-z0-9 \\\\/\"\u{e9}\u{1f600}]{0,12}"
            .prop_map(|s| format!("{:?}", s).replace("\\u{", "\\u00")),
    ];
    leaf.prop_recursive(6, 64, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6)
                .prop_map(|all| format!("[{}]", all.join(","))),
            prop::collection::vec(("[a-z]{1,6}", inner), 0..6).prop_map(|all| {
                let pairs: Vec<String> = all.iter().map(|(k, v)| format!("\"{k}\":{v}")).collect();
                format!("{{{}}}", pairs.join(","))
            }),
        ]
    })
}

/// First lines of a client that are valid or nearly so.
fn open_request() -> impl Strategy<Value = String> {
    let value = prop_oneof![
        "[0-9a-f]{1,20}",
        "[0-9.e+-]{1,12}",
        "[a-z]{0,8}",
        Just("\u{0}".to_string())
    ];
    let pair = ("(c|t|d|g|r|again|at|h|x|)", value).prop_map(|(k, v)| format!("{k}={v}"));
    let list = prop::collection::vec(pair, 0..9).prop_map(|pairs| pairs.join(","));
    (
        "(OPEN|PING|open|)",
        "[0-9a-z]{0,20}",
        "[0-9a-f]{0,20}",
        list,
    )
        .prop_map(|(word, id, key, list)| format!("{word} {id} {key} {list}"))
}

/// Entries of an endpoint list that are valid or nearly so.
fn endpoint_text() -> impl Strategy<Value = String> {
    ("[a-z0-9-]{0,12}", "(127\\.0\\.0\\.1:[0-9]{1,6}|x|)", "(ready|draining|gone|odd)", any::<i64>())
        .prop_map(|(uid, endpoint, state, boot)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"a","state":"{state}","boot_ms":{boot}}}"#
            )
        })
}

/// Whether arrays and objects are nested at most `max_depth` deep.
fn is_nested_within(value: &JsonValue, max_depth: usize) -> bool {
    match value {
        JsonValue::Array(items) => {
            max_depth > 0
                && items
                    .iter()
                    .all(|item| is_nested_within(item, max_depth - 1))
        }
        JsonValue::Object(members) => {
            max_depth > 0
                && members
                    .iter()
                    .all(|(_, value)| is_nested_within(value, max_depth - 1))
        }
        _ => true,
    }
}

/// The configuration of all properties: as many cases as `PROPTEST_CASES` gives, or else [`DEFAULT_CASES`].
fn proptest_config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(DEFAULT_CASES);
    ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Complete and valid settings, of which a test replaces or removes a few.
const SETTINGS: &[(&str, &str)] = &[
    ("discovery", "pushed"),
    ("instances", "3"),
    ("self_index", "0"),
    ("zone", "1"),
    ("localities", "a,b"),
    ("listeners.count", "2"),
    ("listeners.0.name", "feed"),
    ("listeners.0.semantics", "read_like"),
    ("listeners.0.handshake_target", "800000"),
    ("listeners.0.give_up", "3000000"),
    ("listeners.1.name", "order"),
    ("listeners.1.semantics", "idempotency_key"),
    ("listeners.1.group", "zone"),
    ("listeners.1.key_ttl", "5000000"),
    ("listeners.1.handshake_target", "800000"),
    ("listeners.1.give_up", "3000000"),
    ("tenants.count", "1"),
    ("tenants.0.name", "acme"),
    ("load_info.fields", "x0,outstanding"),
    ("permissions.max_dials", "4"),
    ("permissions.retry_after", "true"),
    ("permissions.max_retry_after", "2000000"),
    ("permissions.dial_timeout", "200000"),
    ("rules.cold", "8900000"),
    ("rules.cold_share", "0.31"),
    ("rules.tip_multiple", "4.0"),
    ("rules.drain_grace", "1000000"),
    ("specifics.message_aim", "250000.0,150000.0"),
];

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn a_first_line_ends_in_crlf_and_is_no_longer_than_allowed(
        bytes in prop::collection::vec(prop_oneof![any::<u8>(), Just(b'\r'), Just(b'\n')], 0..5000)
    ) {
        if let Ok(Some((text, length))) = line::first_line(&bytes) {
            prop_assert!(length <= MAX_LINE_LENGTH && length <= bytes.len() && text.len() + 2 == length);
            prop_assert!(bytes[..length].ends_with(b"\r\n") && !text.contains('\n'));
        }
    }

    #[test]
    fn a_greeting_has_only_values_of_its_line(text in prop_oneof![open_request(), any::<String>()]) {
        if let Ok(ClientGreeting::Open(open)) = parse_greeting(&text) {
            prop_assert!(text.contains(open.id) && !open.id.is_empty());
            prop_assert!(open.wait.as_secs() <= 3_600);
            let wait: f64 = text[open.wait_range.clone()].parse().unwrap_or(0.0);
            prop_assert!(open.restored_server_uid.is_some() || (wait / 1e3 - open.wait.as_secs_f64()).abs() < 1e-6);
        }
    }

    #[test]
    fn a_load_report_is_a_finite_number(text in any::<String>(), name in "[a-z0-9]{1,6}") {
        if let ServerLine::Load(load) = parse_server_line(&text) {
            prop_assert!(load.is_finite());
        }
        prop_assert!(report_value(&text, &name).is_none_or(|value| value.is_finite() && value >= 0.0));
    }

    #[test]
    fn json_is_parsed_completely_or_rejected(text in json_text(), cut in 0usize..400) {
        let parsed = json::parse(text.as_bytes());
        if let Ok(value) = &parsed {
            prop_assert!(is_nested_within(value, MAX_JSON_DEPTH));
            let mut pairs = Vec::new();
            value.flatten("", &mut pairs);
        }
        let cut = cut.min(text.len());
        let _ = json::parse(&text.as_bytes()[..cut]);
        if let Some(prefix) = text.as_bytes().get(..cut).filter(|_| cut < text.len() && text.starts_with('{')) {
            prop_assert!(json::parse(prefix).is_err(), "an incomplete object was accepted");
        }
    }

    #[test]
    fn no_parser_panics_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        let _ = json::parse(&bytes);
        let _ = discovery::parse(&bytes);
        let mut lines = Vec::new();
        let _ = ChunkedResponse::default().feed(&bytes, &mut lines);
    }

    #[test]
    fn an_endpoint_list_keeps_the_entries_that_are_valid(targets in prop::collection::vec(endpoint_text(), 0..20), rev in any::<u32>()) {
        let text = format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, targets.join(","));
        let list = discovery::parse(text.as_bytes()).unwrap();
        prop_assert_eq!(list.revision, u64::from(rev));
        prop_assert!(list.endpoints.len() <= targets.len());
        prop_assert_eq!(list.first_error.is_none(), list.endpoints.len() == targets.len());
    }

    #[test]
    fn chunks_give_the_same_lines_however_the_bytes_are_split(
        lines in prop::collection::vec("[a-z0-9]{0,40}", 0..8),
        sizes in prop::collection::vec(1usize..64, 1..40),
        cuts in prop::collection::vec(1usize..50, 1..40),
    ) {
        let body: String = lines.iter().map(|line| format!("{line}\n")).collect();
        let mut text = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let (mut rest, mut sizes) = (body.as_str(), sizes.iter().cycle());
        while !rest.is_empty() {
            let size = (*sizes.next().unwrap()).min(rest.len());
            text += &format!("{size:x}\r\n{}\r\n", &rest[..size]);
            rest = &rest[size..];
        }
        let (mut response, mut found, mut bytes) = (ChunkedResponse::default(), Vec::new(), text.as_bytes());
        for cut in cuts.iter().cycle() {
            let length = (*cut).min(bytes.len());
            response.feed(&bytes[..length], &mut found).unwrap();
            bytes = &bytes[length..];
            if bytes.is_empty() {
                break;
            }
        }
        let found: Vec<String> = found.into_iter().map(|line| String::from_utf8(line).unwrap()).collect();
        prop_assert_eq!(found, lines);
    }

    #[test]
    fn settings_are_read_or_rejected_by_their_path(
        changes in prop::collection::vec(
            (0..SETTINGS.len(), prop::option::of("(-?[0-9]{1,25}(\\.[0-9]{1,3})?|[a-z,]{0,9}|NaN|inf|1e308)")), 0..4
        )
    ) {
        let mut pairs: Vec<(&str, Option<String>)> =
            SETTINGS.iter().map(|(path, value)| (*path, Some(value.to_string()))).collect();
        for (index, value) in changes.clone() {
            pairs[index].1 = value;
        }
        let kept = pairs.iter().filter_map(|(path, value)| Some((*path, value.as_deref()?)));
        match settings::read(kept) {
            Ok(read) => {
                prop_assert!(read.listeners.len() <= 255 && read.max_client_wait.as_secs() <= u64::from(u32::MAX));
            }
            Err(error) => {
                let message = error.to_string();
                let names_a_change = changes.iter().any(|(index, _)| {
                    let path = SETTINGS[*index].0;
                    message.contains(path) || path.ends_with(".count") && message.contains("listeners")
                });
                prop_assert!(names_a_change, "{} names none of {:?}", message, changes);
            }
        }
    }

    #[test]
    fn an_operators_file_is_read_or_its_problems_name_its_lines(
        lines in prop::collection::vec(
            "(\\[(control|drain|odd)\\]|(socket|peers|pace|back|odd) ?= ?(\"[a-z0-9/]{0,9}\"|[0-9.]{1,9}|\\[\\]|))", 0..9
        )
    ) {
        let text = lines.join("\n");
        if let Err(problems) = OperatorConfig::parse(&text) {
            prop_assert!(!problems.is_empty());
            prop_assert!(problems.iter().all(|problem| problem.line >= 1 && problem.line <= lines.len().max(1)), "{:?}", problems);
        }
    }

    #[test]
    fn an_admin_request_is_rejected_or_its_rate_is_positive(text in prop_oneof![
        any::<String>(),
        "\\{\"v\":[0-9]{1,3},\"do\":\"(status|drain|undrain|x)\"(,\"(pace|deadline_ms)\":[0-9.e-]{1,9})?\\}",
    ]) {
        if let Ok(request) = AdminRequest::parse(text.as_bytes()) {
            prop_assert!(request.migrations_per_second.is_none_or(|rate| rate.is_finite() && rate > 0.0));
        }
    }
}

#[test]
fn a_watch_request_has_three_lines() {
    let text = http_client::watch_request("127.0.0.1:1", u64::MAX);
    assert_eq!(text.matches("\r\n").count(), 3);
}
