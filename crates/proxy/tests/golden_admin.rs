//! Compares the proxy's replies at its admin socket, its responses to admin HTTP requests and its metrics with those of an
//! earlier build. The files under `golden/admin/` were written by that build and never change; the Rust names in this file
//! may.

mod support;

use asterramp_admission::RejectReason;
use asterramp_proxy::routing::metrics::{
    GaugeValues, Metrics, SessionEnd, load_shed_text, warm_start_text, zones_text,
};
use asterramp_proxy::routing::warm_start::SnapshotCounts;
use asterramp_warm_start::{WarmStart, WarmStartSettings};
use asterramp_zone_failover::{Zone, ZoneState};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use support::{
    ProxyHarness, ProxyOptions, TIMEOUT, assert_golden, endpoint_json, list_line, temporary_path,
};

/// Fields of a status whose numbers differ between runs: times, identifiers of the process, and the number of connections
/// that have sent nothing yet or are being closed.
const VARYING_FIELDS: [&str; 9] = [
    "pid",
    "up_ms",
    "expected_ms",
    "deadline_ms",
    "discovery_ms",
    "strangers",
    "since_ms",
    "boot",
    "clock_us",
];

/// The reply with `<n>` in place of each number that differs between runs.
fn with_placeholders(reply: &str) -> String {
    let mut text = reply.to_string();
    for field in VARYING_FIELDS {
        let name = format!("\"{field}\":");
        let mut shown = String::new();
        let mut rest = text.as_str();
        while let Some(at) = rest.find(&name) {
            let (before, after) = rest.split_at(at + name.len());
            shown += before;
            let digits = after.len() - after.trim_start_matches(|c: char| c.is_ascii_digit()).len();
            shown += if digits > 0 { "<n>" } else { "" };
            rest = &after[digits..];
        }
        text = shown + rest;
    }
    text
}

/// A proxy with an admin socket and an admin HTTP listener, whose replies are recorded.
struct RecordedProxy {
    harness: ProxyHarness,
    admin_socket: PathBuf,
    operator_file: PathBuf,
    /// A directory for the proxy's files, removed with the test; nothing creates it unless the operator file names it.
    directory: PathBuf,
}

impl Drop for RecordedProxy {
    fn drop(&mut self) {
        for file in [&self.admin_socket, &self.operator_file] {
            let _ = std::fs::remove_file(file);
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl RecordedProxy {
    /// Starts the proxy. The extra lines end its operator file and begin in the `[drain]` section; `<folder>` in them is
    /// replaced by the path of a directory that no other proxy uses.
    fn start(servers: usize, more_lines: &str) -> RecordedProxy {
        let (admin_socket, operator_file) = (temporary_path("sock"), temporary_path("toml"));
        let directory = temporary_path("d");
        let more_lines = more_lines.replace("<folder>", &directory.display().to_string());
        // With 20 s, the `closing` state of a drain lasts as long as the drain's deadline allows, also on a busy machine.
        let text = format!(
            "[control]\nsocket = {admin_socket:?}\n[drain]\nclosing = \"20s\"\nquiet = \"20s\"\n{more_lines}"
        );
        std::fs::write(&operator_file, text).unwrap();
        let harness = ProxyOptions::new(servers)
            .operator_file(&operator_file)
            .admin_http()
            .start();
        RecordedProxy {
            harness,
            admin_socket,
            operator_file,
            directory,
        }
    }

    /// Sends one request line to the admin socket and returns the reply line.
    fn reply_to(&self, line: &str) -> String {
        let stream = UnixStream::connect(&self.admin_socket).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut stream = BufReader::new(stream);
        // Writing may fail: the proxy stops reading a line that is too long before its end.
        let _ = stream.get_mut().write_all(format!("{line}\n").as_bytes());
        let mut reply = String::new();
        stream.read_line(&mut reply).unwrap();
        reply
    }

    /// Sends a request; returns it and its reply in the format of the golden file.
    fn record(&self, line: &str) -> String {
        format!("{line}\n    {}", with_placeholders(&self.reply_to(line)))
    }

    /// Waits for a status reply that contains this part; returns it in the format of the golden file.
    fn record_status_with(&self, part: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let reply = self.reply_to(STATUS);
            if reply.contains(part) {
                return format!("until {part}\n    {}", with_placeholders(&reply));
            }
            assert!(Instant::now() < deadline, "never {part}: {reply}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The number in this field of the status.
    fn status_number(&self, field: &str) -> u64 {
        let reply = self.reply_to(STATUS);
        let after = reply.split(&format!("\"{field}\":")).nth(1).unwrap();
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().unwrap()
    }

    /// Sends an HTTP request; returns it and the bytes of its response in the format of the golden file.
    fn record_http(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.harness.admin_http).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        let shown = response.replace("\r\n", "<CRLF>\n").replace('\n', "\n    ");
        format!(
            "{}\n    {}\n",
            request.replace("\r\n", "<CRLF>"),
            shown.trim_end()
        )
    }
}

/// Requests the status.
const STATUS: &str = r#"{"v":1,"do":"status"}"#;

#[test]
fn a_drain_by_the_admin_socket_gets_the_same_replies() {
    let proxy = RecordedProxy::start(1, "pace = 40\nback = \"0s\"\n");
    let mut text = proxy.record(STATUS);
    text += &proxy.record(r#"{"v":1,"do":"ready"}"#);
    text += &proxy.record(r#"{"v":1,"do":"undrain"}"#);
    let _open_sessions: Vec<_> = (0..2).map(|_| proxy.harness.open_session()).collect();
    text += &proxy.record(STATUS);
    text += &proxy.record(r#"{"v":1,"do":"stats"}"#);
    text += &proxy.record(r#"{"v":1,"do":"drain"}"#);
    text += &proxy.record(r#"{"v":1,"do":"ready"}"#);
    text += &proxy.record(r#"{"v":1,"do":"drain","deadline_ms":2000,"pace":20.0}"#);
    text += &proxy.record_status_with("\"state\":\"empty\"");
    text += &proxy.record(r#"{"v":1,"do":"stats"}"#);
    text += &proxy.record(r#"{"v":1,"do":"undrain"}"#);
    text += &proxy.record(r#"{"v":1,"do":"undrain"}"#);
    text += &proxy.record(r#"{"v":1,"do":"ready"}"#);
    // A session that stays open keeps the proxy running for a while after SIGTERM.
    let _open_session = proxy.harness.open_session();
    proxy.harness.send_signal("TERM");
    text += &proxy.record_status_with("\"state\":\"exiting\"");
    text += &proxy.record(r#"{"v":1,"do":"drain"}"#);
    text += &proxy.record(r#"{"v":1,"do":"undrain"}"#);
    text += &proxy.record(r#"{"v":1,"do":"ready"}"#);
    assert_golden("admin/drain.txt", &text);
}

#[test]
fn an_invalid_request_gets_the_same_error_from_a_proxy() {
    let proxy = RecordedProxy::start(1, "");
    let mut text = String::new();
    for line in [
        "x",
        "{}",
        r#"{"v":2,"do":"status"}"#,
        r#"{"v":1,"do":"halt"}"#,
        r#"{"v":1,"do":"status","odd":1}"#,
        r#"{"v":1,"do":"status","pace":1}"#,
        r#"{"v":1,"do":"drain","pace":0}"#,
        r#"{"v":1,"do":"drain","deadline_ms":99999999999}"#,
        r#"{"v":1,"do":"leave"}"#,
        r#"{"v":1,"do":"hear"}"#,
    ] {
        text += &proxy.record(line);
    }
    text += &format!("(2000 times x)\n    {}", proxy.reply_to(&"x".repeat(2_000)));
    assert_golden("admin/no_requests.txt", &text);
}

#[test]
fn orders_of_a_leader_are_accepted_or_rejected_in_the_same_words() {
    let proxy = RecordedProxy::start(1, "");
    let boot = proxy.status_number("boot");
    let expired_us = proxy.status_number("clock_us");
    let valid_us = expired_us + 60_000_000;
    let order = |command: &str, term: u64, boot: u64, expires_at_us: u64| {
        let owner = format!("{{\"term\":{term},\"boot\":{boot},\"until_us\":{expires_at_us}}}");
        proxy.reply_to(&format!(
            "{{\"v\":1,\"do\":\"{command}\",\"owner\":{owner}}}"
        ))
    };
    let mut text = String::new();
    let mut record = |request: &str, reply: String| {
        text += &format!("{request}\n    {}", with_placeholders(&reply));
    };
    record("hear, no term", order("hear", 0, boot, valid_us));
    record("hear, term 5", order("hear", 5, boot, valid_us));
    record("hear, term 5 again", order("hear", 5, boot, valid_us));
    record("hear, term 4", order("hear", 4, boot, valid_us));
    record("drain, term 4", order("drain", 4, boot, valid_us));
    record("drain, late", order("drain", 6, boot, expired_us));
    record(
        "drain, another process",
        order("drain", 6, boot ^ 1, valid_us),
    );
    record("status, term 4", order("status", 4, boot, valid_us));
    record("status, term 6", order("status", 6, boot, valid_us));
    record("undrain, term 7", order("undrain", 7, boot, valid_us));
    record("ready, term 7", order("ready", 7, boot, valid_us));
    record(
        "leave, another process",
        order("leave", 7, boot ^ 1, valid_us),
    );
    record("leave, term 6", order("leave", 6, boot, valid_us));
    record("leave, term 7", order("leave", 7, boot, valid_us));
    assert_golden("admin/owners.txt", &text);
}

#[test]
fn a_status_with_a_warm_start_has_the_same_fields() {
    let extra_lines =
        "[state]\nfolder = \"<folder>\"\nevery = \"200ms\"\n[recovery]\nstages = true\n";
    let proxy = RecordedProxy::start(2, extra_lines);
    let servers = proxy.harness.servers.iter().enumerate();
    let endpoints: Vec<String> = servers
        .map(|(index, server)| endpoint_json(index, server.local_addr().unwrap(), "ready"))
        .collect();
    proxy
        .harness
        .watch
        .send(list_line(9, true, &endpoints))
        .unwrap();
    let deadline = Instant::now() + TIMEOUT;
    let has_finished_start = |reply: &str| {
        ["\"stage\":\"normal\"", "[[\"told\",2,2]]", "\"saved\":["]
            .iter()
            .all(|part| reply.contains(part))
    };
    let mut reply = proxy.reply_to(STATUS);
    while !has_finished_start(&reply) {
        assert!(Instant::now() < deadline, "{reply}");
        std::thread::sleep(Duration::from_millis(20));
        reply = proxy.reply_to(STATUS);
    }
    // Only the names are compared, since the number of snapshots depends on the timing of the run.
    let start_object = reply.split("\"start\":").nth(1).unwrap();
    let names: Vec<&str> = start_object.split('"').skip(1).step_by(2).collect();
    let text = names.join("\n") + "\n";
    assert_golden("admin/start_fields.txt", &text);
}

/// Methods and paths of HTTP requests, known and unknown.
const METHODS_AND_PATHS: &[&str] = &[
    "GET /ops/nothing",
    "GET /",
    "POST /ops/stats",
    "POST /ops/readiness",
    "GET /ops/drain/start",
    "GET /ops/drain/stop",
    "GET /ops/known",
    "POST /ops/known",
    "POST /ops/drain/stop",
];

/// HTTP requests that are malformed or not supported.
const BAD_HTTP_REQUESTS: &[&str] = &[
    "GET / HTTP/1.1\r\n\r\n",
    "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
    "nonsense\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n",
    // An incomplete request, for which the proxy stops waiting at its time-out.
    "GET /ops/stats HT",
];

#[test]
fn http_requests_get_the_same_bytes_in_response() {
    let proxy = RecordedProxy::start(1, "");
    let request_end = " HTTP/1.1\r\nHost: a\r\n\r\n";
    let record =
        |method_and_path: &str| proxy.record_http(&format!("{method_and_path}{request_end}"));
    let mut text = record("GET /ops/readiness");
    text += &record("GET /ops/stats");
    let open_session = proxy.harness.open_session();
    text += &record("GET /ops/stats?of=all");
    drop(open_session);
    for method_and_path in METHODS_AND_PATHS {
        text += &record(method_and_path);
    }
    for request in BAD_HTTP_REQUESTS {
        text += &proxy.record_http(request);
    }
    let long_request = format!(
        "GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "x".repeat(5_000)
    );
    text += &proxy
        .record_http(&long_request)
        .replace(&"x".repeat(5_000), "(5000 times x)");
    text += &record("POST /ops/drain/start");
    text += &record("POST /ops/drain/start");
    text += &record("GET /ops/readiness");
    text += &record("POST /ops/drain/stop");
    let _open_session = proxy.harness.open_session();
    proxy.harness.send_signal("TERM");
    text += &proxy
        .record_status_with("\"state\":\"exiting\"")
        .replace(STATUS, "status");
    text += &record("GET /ops/readiness");
    text += &record("POST /ops/drain/start");
    text += &record("POST /ops/drain/stop");
    assert_golden("admin/calls.txt", &text);
}

/// Names of listeners; one contains characters that labels have to escape.
fn listeners() -> [String; 2] {
    ["feed", "odd \"x\" \\ and\nmore"].map(String::from)
}

/// The text of session counters and gauges, first with nothing counted, then with values.
fn session_metrics_text() -> String {
    let listeners = listeners();
    let mut metrics = Metrics::new(listeners.len());
    let zero_gauges = GaugeValues {
        sessions_in_flight: 0,
        listed_endpoints: 0,
        down_endpoints: 0,
    };
    let mut text = format!("nothing\n{}", metrics.text(&listeners, zero_gauges));
    for (listener, end, count) in [
        (0, SessionEnd::Success, 7),
        (0, SessionEnd::Rejected, 2),
        (0, SessionEnd::Failure, 1),
        (1, SessionEnd::Failure, 3),
    ] {
        (0..count).for_each(|_| metrics.count_session_end(listener, end));
    }
    (0..11).for_each(|_| metrics.count_attempt());
    let gauges = GaugeValues {
        sessions_in_flight: 4,
        listed_endpoints: 5,
        down_endpoints: 6,
    };
    text += &format!("something\n{}", metrics.text(&listeners, gauges));
    text
}

#[test]
fn metrics_have_the_same_text_with_and_without_values() {
    let listeners = listeners();
    let mut text = session_metrics_text();
    let zone_names = ["a", "b", "c", "d", "e \"x\""].map(String::from);
    let zones = ZoneState::ALL.into_iter().zip(1..).map(|(state, n)| {
        let mut zone = Zone::default();
        zone.state = state;
        zone.dropped_suspicions = n;
        zone.false_alarms = n * 10;
        zone
    });
    let zones: Vec<Zone> = zones.collect();
    text += &format!("places\n{}", zones_text(zone_names.iter().zip(&zones)));
    text += &format!("no places\n{}", zones_text(std::iter::empty()));
    let counts = [[0; RejectReason::ALL.len()], [1, 2, 3, 4, 5]];
    text += &format!(
        "refusals\n{}",
        load_shed_text(listeners.iter().zip(&counts))
    );
    let counts = [[0, 0, 8, 0, 0], [0; RejectReason::ALL.len()]];
    text += &format!(
        "one refusal\n{}",
        load_shed_text(listeners.iter().zip(&counts))
    );
    let warm_start = WarmStart::new(Duration::from_secs(1), WarmStartSettings::default());
    text += &format!("start\n{}", warm_start_text(Some(&warm_start), None));
    text += &format!(
        "start and snapshots\n{}",
        warm_start_text(
            Some(&warm_start),
            Some(SnapshotCounts {
                saved: 3,
                failed: 1
            })
        )
    );
    text += &format!(
        "snapshots\n{}",
        warm_start_text(None, Some(SnapshotCounts::default()))
    );
    text += &format!("neither\n{}", warm_start_text(None, None));
    assert_golden("admin/stats.txt", &text);
}
