//! What a running proxy of a build before the renames answered at its control socket and to operators' HTTP calls, and the
//! texts of `GET /ops/stats`. The files under `golden/admin/` were written by such a build and never change; only the
//! Rust names in this file may.

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

/// Fields of a status whose numbers are of this run alone: times, names of the process, and connections that
/// have said nothing or are on their way out.
const OF_THIS_RUN: [&str; 9] = [
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

/// A reply with `<n>` for the numbers that are of this run alone.
fn placeholders(reply: &str) -> String {
    let mut text = reply.to_string();
    for field in OF_THIS_RUN {
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

/// A proxy with an admin socket and an address for HTTP calls, whose replies are recorded.
struct RecordedProxy {
    harness: ProxyHarness,
    admin_socket: PathBuf,
    operator_file: PathBuf,
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
    /// Starts it with more lines at the end of the operator's file; `<folder>` in them becomes a directory of its own.
    fn start(servers: usize, more_lines: &str) -> RecordedProxy {
        let (admin_socket, operator_file) = (temporary_path("sock"), temporary_path("toml"));
        let directory = temporary_path("d");
        let more_lines = more_lines.replace("<folder>", &directory.display().to_string());
        // A drain closes for as long as its deadline lets it, whatever the machine is busy with.
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

    /// The admin socket's reply to a line.
    fn reply_to(&self, line: &str) -> String {
        let stream = UnixStream::connect(&self.admin_socket).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut stream = BufReader::new(stream);
        // Of one that is too long the proxy stops reading before its end.
        let _ = stream.get_mut().write_all(format!("{line}\n").as_bytes());
        let mut reply = String::new();
        stream.read_line(&mut reply).unwrap();
        reply
    }

    /// A request and its reply, as they stand in the golden text.
    fn record(&self, line: &str) -> String {
        format!("{line}\n    {}", placeholders(&self.reply_to(line)))
    }

    /// The first status that contains this, as it stands in the golden text.
    fn record_when(&self, part: &str) -> String {
        let end = Instant::now() + TIMEOUT;
        loop {
            let reply = self.reply_to(STATUS);
            if reply.contains(part) {
                return format!("until {part}\n    {}", placeholders(&reply));
            }
            assert!(Instant::now() < end, "never {part}: {reply}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// A number in the status.
    fn number(&self, field: &str) -> u64 {
        let reply = self.reply_to(STATUS);
        let after = reply.split(&format!("\"{field}\":")).nth(1).unwrap();
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().unwrap()
    }

    /// An operator's HTTP call and the bytes of its response, as they stand in the golden text.
    fn record_call(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.harness.admin_http).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let shown = answer.replace("\r\n", "<CRLF>\n").replace('\n', "\n    ");
        format!(
            "{}\n    {}\n",
            request.replace("\r\n", "<CRLF>"),
            shown.trim_end()
        )
    }
}

const STATUS: &str = r#"{"v":1,"do":"status"}"#;

#[test]
fn a_drain_by_the_admin_socket_gets_the_same_replies() {
    let proxy = RecordedProxy::start(1, "pace = 40\nback = \"0s\"\n");
    let mut text = proxy.record(STATUS);
    text += &proxy.record(r#"{"v":1,"do":"ready"}"#);
    text += &proxy.record(r#"{"v":1,"do":"undrain"}"#);
    let _sessions: Vec<_> = (0..2).map(|_| proxy.harness.open_session()).collect();
    text += &proxy.record(STATUS);
    text += &proxy.record(r#"{"v":1,"do":"stats"}"#);
    text += &proxy.record(r#"{"v":1,"do":"drain"}"#);
    text += &proxy.record(r#"{"v":1,"do":"ready"}"#);
    text += &proxy.record(r#"{"v":1,"do":"drain","deadline_ms":2000,"pace":20.0}"#);
    text += &proxy.record_when("\"state\":\"empty\"");
    text += &proxy.record(r#"{"v":1,"do":"stats"}"#);
    text += &proxy.record(r#"{"v":1,"do":"undrain"}"#);
    text += &proxy.record(r#"{"v":1,"do":"undrain"}"#);
    text += &proxy.record(r#"{"v":1,"do":"ready"}"#);
    // A session that stays open, so that the proxy goes on for a while after SIGTERM.
    let _stays = proxy.harness.open_session();
    proxy.harness.send_signal("TERM");
    text += &proxy.record_when("\"state\":\"exiting\"");
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
    let boot = proxy.number("boot");
    let late = proxy.number("clock_us");
    let until = late + 60_000_000;
    let order = |verb: &str, term: u64, boot: u64, until: u64| {
        let owner = format!("{{\"term\":{term},\"boot\":{boot},\"until_us\":{until}}}");
        proxy.reply_to(&format!("{{\"v\":1,\"do\":\"{verb}\",\"owner\":{owner}}}"))
    };
    let mut text = String::new();
    let mut record = |what: &str, reply: String| {
        text += &format!("{what}\n    {}", placeholders(&reply));
    };
    record("hear, no term", order("hear", 0, boot, until));
    record("hear, term 5", order("hear", 5, boot, until));
    record("hear, term 5 again", order("hear", 5, boot, until));
    record("hear, term 4", order("hear", 4, boot, until));
    record("drain, term 4", order("drain", 4, boot, until));
    record("drain, late", order("drain", 6, boot, late));
    record("drain, another process", order("drain", 6, boot ^ 1, until));
    record("status, term 4", order("status", 4, boot, until));
    record("status, term 6", order("status", 6, boot, until));
    record("undrain, term 7", order("undrain", 7, boot, until));
    record("ready, term 7", order("ready", 7, boot, until));
    record("leave, another process", order("leave", 7, boot ^ 1, until));
    record("leave, term 6", order("leave", 6, boot, until));
    record("leave, term 7", order("leave", 7, boot, until));
    assert_golden("admin/owners.txt", &text);
}

#[test]
fn a_status_with_a_warm_start_has_the_same_fields() {
    let file = "[state]\nfolder = \"<folder>\"\nevery = \"200ms\"\n[recovery]\nstages = true\n";
    let proxy = RecordedProxy::start(2, file);
    let ready = proxy.harness.servers.iter().enumerate();
    let ready: Vec<String> = ready
        .map(|(nth, server)| endpoint_json(nth, server.local_addr().unwrap(), "ready"))
        .collect();
    proxy
        .harness
        .watch
        .send(list_line(9, true, &ready))
        .unwrap();
    let end = Instant::now() + TIMEOUT;
    let settled = |reply: &str| {
        ["\"stage\":\"normal\"", "[[\"told\",2,2]]", "\"saved\":["]
            .iter()
            .all(|part| reply.contains(part))
    };
    let mut reply = proxy.reply_to(STATUS);
    while !settled(&reply) {
        assert!(Instant::now() < end, "{reply}");
        std::thread::sleep(Duration::from_millis(20));
        reply = proxy.reply_to(STATUS);
    }
    // How often was saved hangs on times; the fields stay.
    let start = reply.split("\"start\":").nth(1).unwrap();
    let names: Vec<&str> = start.split('"').skip(1).step_by(2).collect();
    let text = names.join("\n") + "\n";
    assert_golden("admin/start_fields.txt", &text);
}

/// Methods and paths, known and unknown.
const CALLS: &[&str] = &[
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

/// Calls that are not well formed, or not supported.
const MALFORMED_CALLS: &[&str] = &[
    "GET / HTTP/1.1\r\n\r\n",
    "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
    "nonsense\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n",
    // Half a call, which meets its deadline.
    "GET /ops/stats HT",
];

#[test]
fn http_calls_get_the_same_bytes() {
    let proxy = RecordedProxy::start(1, "");
    let end = " HTTP/1.1\r\nHost: a\r\n\r\n";
    let call = |what: &str| proxy.record_call(&format!("{what}{end}"));
    let mut text = call("GET /ops/readiness");
    text += &call("GET /ops/stats");
    let up = proxy.harness.open_session();
    text += &call("GET /ops/stats?of=all");
    drop(up);
    for what in CALLS {
        text += &call(what);
    }
    for request in MALFORMED_CALLS {
        text += &proxy.record_call(request);
    }
    let long = format!(
        "GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "x".repeat(5_000)
    );
    text += &proxy
        .record_call(&long)
        .replace(&"x".repeat(5_000), "(5000 times x)");
    text += &call("POST /ops/drain/start");
    text += &call("POST /ops/drain/start");
    text += &call("GET /ops/readiness");
    text += &call("POST /ops/drain/stop");
    let _stays = proxy.harness.open_session();
    proxy.harness.send_signal("TERM");
    text += &proxy
        .record_when("\"state\":\"exiting\"")
        .replace(STATUS, "status");
    text += &call("GET /ops/readiness");
    text += &call("POST /ops/drain/start");
    text += &call("POST /ops/drain/stop");
    assert_golden("admin/calls.txt", &text);
}

fn listeners() -> [String; 2] {
    ["feed", "odd \"x\" \\ and\nmore"].map(String::from)
}

/// Counts and gauges, with nothing and with something counted.
fn session_stats() -> String {
    let listeners = listeners();
    let mut metrics = Metrics::new(listeners.len());
    let none = GaugeValues {
        sessions_in_flight: 0,
        listed_endpoints: 0,
        down_endpoints: 0,
    };
    let mut text = format!("nothing\n{}", metrics.text(&listeners, none));
    for (listener, end, times) in [
        (0, SessionEnd::Success, 7),
        (0, SessionEnd::Rejected, 2),
        (0, SessionEnd::Failure, 1),
        (1, SessionEnd::Failure, 3),
    ] {
        (0..times).for_each(|_| metrics.count_session_end(listener, end));
    }
    (0..11).for_each(|_| metrics.count_attempt());
    let some = GaugeValues {
        sessions_in_flight: 4,
        listed_endpoints: 5,
        down_endpoints: 6,
    };
    text += &format!("something\n{}", metrics.text(&listeners, some));
    text
}

#[test]
fn metrics_have_the_same_text_with_and_without_values() {
    let listeners = listeners();
    let mut text = session_stats();
    let names = ["a", "b", "c", "d", "e \"x\""].map(String::from);
    let zones = ZoneState::ALL.into_iter().zip(1..).map(|(state, n)| {
        let mut zone = Zone::default();
        zone.state = state;
        zone.dropped_suspicions = n;
        zone.false_alarms = n * 10;
        zone
    });
    let zones: Vec<Zone> = zones.collect();
    text += &format!("places\n{}", zones_text(names.iter().zip(&zones)));
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
    let start = WarmStart::new(Duration::from_secs(1), WarmStartSettings::default());
    text += &format!("start\n{}", warm_start_text(Some(&start), None));
    text += &format!(
        "start and snapshots\n{}",
        warm_start_text(
            Some(&start),
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
