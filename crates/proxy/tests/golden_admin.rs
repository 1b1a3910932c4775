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
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use support::{ProxyHarness, ProxyOptions, TIMEOUT, assert_golden, endpoint_json, list_line};

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

/// A proxy with a control socket, and one connection to that.
struct Operated {
    harness: ProxyHarness,
    socket: PathBuf,
    operator: PathBuf,
    folder: PathBuf,
}

impl Drop for Operated {
    fn drop(&mut self) {
        for file in [&self.socket, &self.operator] {
            let _ = std::fs::remove_file(file);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Operated {
    /// `more` is of the operator's file; `<folder>` in it becomes one of this proxy's own.
    fn new(servers: usize, more: &str) -> Operated {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("asterramp-golden-admin-{}-{nth}", std::process::id());
        let at = |end: &str| std::env::temp_dir().join(format!("{name}.{end}"));
        let (socket, operator, folder) = (at("sock"), at("toml"), at("d"));
        let more = more.replace("<folder>", &folder.display().to_string());
        // A drain closes for as long as its deadline lets it, whatever the machine is busy with.
        let text = format!(
            "[control]\nsocket = {socket:?}\n[drain]\nclosing = \"20s\"\nquiet = \"20s\"\n{more}"
        );
        std::fs::write(&operator, text).unwrap();
        let harness = ProxyOptions::new(servers)
            .operator_file(&operator)
            .admin_http()
            .start();
        Operated {
            harness,
            socket,
            operator,
            folder,
        }
    }

    fn ask(&self, line: &str) -> String {
        let stream = UnixStream::connect(&self.socket).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut stream = BufReader::new(stream);
        // Of one that is too long the proxy stops reading before its end.
        let _ = stream.get_mut().write_all(format!("{line}\n").as_bytes());
        let mut reply = String::new();
        stream.read_line(&mut reply).unwrap();
        reply
    }

    /// The same with its question before it, as it stands in the golden text.
    fn told(&self, line: &str) -> String {
        format!("{line}\n    {}", placeholders(&self.ask(line)))
    }

    /// The first status that says so, as it stands in the golden text.
    fn until(&self, part: &str) -> String {
        let end = Instant::now() + TIMEOUT;
        loop {
            let reply = self.ask(STATUS);
            if reply.contains(part) {
                return format!("until {part}\n    {}", placeholders(&reply));
            }
            assert!(Instant::now() < end, "never {part}: {reply}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// A number that a status tells.
    fn number(&self, field: &str) -> u64 {
        let reply = self.ask(STATUS);
        let after = reply.split(&format!("\"{field}\":")).nth(1).unwrap();
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().unwrap()
    }

    /// The bytes of the answer to an operator's HTTP call.
    fn call(&self, request: &str) -> String {
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
fn a_drain_by_the_control_socket_is_told_as_ever() {
    let proxy = Operated::new(1, "pace = 40\nback = \"0s\"\n");
    let mut text = proxy.told(STATUS);
    text += &proxy.told(r#"{"v":1,"do":"ready"}"#);
    text += &proxy.told(r#"{"v":1,"do":"undrain"}"#);
    let _pairs: Vec<_> = (0..2).map(|_| proxy.harness.open_session()).collect();
    text += &proxy.told(STATUS);
    text += &proxy.told(r#"{"v":1,"do":"stats"}"#);
    text += &proxy.told(r#"{"v":1,"do":"drain"}"#);
    text += &proxy.told(r#"{"v":1,"do":"ready"}"#);
    text += &proxy.told(r#"{"v":1,"do":"drain","deadline_ms":2000,"pace":20.0}"#);
    text += &proxy.until("\"state\":\"empty\"");
    text += &proxy.told(r#"{"v":1,"do":"stats"}"#);
    text += &proxy.told(r#"{"v":1,"do":"undrain"}"#);
    text += &proxy.told(r#"{"v":1,"do":"undrain"}"#);
    text += &proxy.told(r#"{"v":1,"do":"ready"}"#);
    // One that stays, so that the proxy goes on for a while after it is told to leave.
    let _stays = proxy.harness.open_session();
    proxy.harness.send_signal("TERM");
    text += &proxy.until("\"state\":\"exiting\"");
    text += &proxy.told(r#"{"v":1,"do":"drain"}"#);
    text += &proxy.told(r#"{"v":1,"do":"undrain"}"#);
    text += &proxy.told(r#"{"v":1,"do":"ready"}"#);
    assert_golden("admin/drain.txt", &text);
}

#[test]
fn what_is_no_request_gets_the_same_error_from_a_proxy() {
    let proxy = Operated::new(1, "");
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
        text += &proxy.told(line);
    }
    text += &format!("(2000 times x)\n    {}", proxy.ask(&"x".repeat(2_000)));
    assert_golden("admin/no_requests.txt", &text);
}

#[test]
fn orders_of_an_owner_are_heard_or_refused_in_the_same_words() {
    let proxy = Operated::new(1, "");
    let boot = proxy.number("boot");
    let late = proxy.number("clock_us");
    let until = late + 60_000_000;
    let order = |verb: &str, term: u64, boot: u64, until: u64| {
        let owner = format!("{{\"term\":{term},\"boot\":{boot},\"until_us\":{until}}}");
        proxy.ask(&format!("{{\"v\":1,\"do\":\"{verb}\",\"owner\":{owner}}}"))
    };
    let mut text = String::new();
    let mut told = |what: &str, reply: String| {
        text += &format!("{what}\n    {}", placeholders(&reply));
    };
    told("hear, no term", order("hear", 0, boot, until));
    told("hear, term 5", order("hear", 5, boot, until));
    told("hear, term 5 again", order("hear", 5, boot, until));
    told("hear, term 4", order("hear", 4, boot, until));
    told("drain, term 4", order("drain", 4, boot, until));
    told("drain, late", order("drain", 6, boot, late));
    told("drain, another process", order("drain", 6, boot ^ 1, until));
    told("status, term 4", order("status", 4, boot, until));
    told("status, term 6", order("status", 6, boot, until));
    told("undrain, term 7", order("undrain", 7, boot, until));
    told("ready, term 7", order("ready", 7, boot, until));
    told("leave, another process", order("leave", 7, boot ^ 1, until));
    told("leave, term 6", order("leave", 6, boot, until));
    told("leave, term 7", order("leave", 7, boot, until));
    assert_golden("admin/owners.txt", &text);
}

#[test]
fn what_else_is_switched_on_is_told_in_the_same_fields() {
    let file = "[state]\nfolder = \"<folder>\"\nevery = \"200ms\"\n[recovery]\nstages = true\n";
    let proxy = Operated::new(2, file);
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
    let mut reply = proxy.ask(STATUS);
    while !settled(&reply) {
        assert!(Instant::now() < end, "{reply}");
        std::thread::sleep(Duration::from_millis(20));
        reply = proxy.ask(STATUS);
    }
    // How often was saved hangs on times; the fields stay.
    let start = reply.split("\"start\":").nth(1).unwrap();
    let names: Vec<&str> = start.split('"').skip(1).step_by(2).collect();
    let text = names.join("\n") + "\n";
    assert_golden("admin/start_fields.txt", &text);
}

#[test]
fn calls_over_http_get_the_same_bytes() {
    let proxy = Operated::new(1, "");
    let end = " HTTP/1.1\r\nHost: a\r\n\r\n";
    let call = |what: &str| proxy.call(&format!("{what}{end}"));
    let mut text = call("GET /ops/readiness");
    text += &call("GET /ops/stats");
    let up = proxy.harness.open_session();
    text += &call("GET /ops/stats?of=all");
    drop(up);
    for what in [
        "GET /ops/nothing",
        "GET /",
        "POST /ops/stats",
        "POST /ops/readiness",
        "GET /ops/drain/start",
        "GET /ops/drain/stop",
        "GET /ops/known",
        "POST /ops/known",
        "POST /ops/drain/stop",
    ] {
        text += &call(what);
    }
    for request in [
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
        "nonsense\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n",
        // Half a call, which meets its deadline.
        "GET /ops/stats HT",
    ] {
        text += &proxy.call(request);
    }
    let long = format!(
        "GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "x".repeat(5_000)
    );
    text += &proxy
        .call(&long)
        .replace(&"x".repeat(5_000), "(5000 times x)");
    text += &call("POST /ops/drain/start");
    text += &call("POST /ops/drain/start");
    text += &call("GET /ops/readiness");
    text += &call("POST /ops/drain/stop");
    let _stays = proxy.harness.open_session();
    proxy.harness.send_signal("TERM");
    text += &proxy
        .until("\"state\":\"exiting\"")
        .replace(STATUS, "status");
    text += &call("GET /ops/readiness");
    text += &call("POST /ops/drain/start");
    text += &call("POST /ops/drain/stop");
    assert_golden("admin/calls.txt", &text);
}

fn listeners() -> [String; 2] {
    ["feed", "odd \"x\" \\ and\nmore"].map(String::from)
}

/// Counts and gauges, with nothing and with something to tell.
fn session_stats() -> String {
    let listeners = listeners();
    let mut metrics = Metrics::new(listeners.len());
    let none = GaugeValues {
        inflight: 0,
        listed: 0,
        down: 0,
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
        inflight: 4,
        listed: 5,
        down: 6,
    };
    text += &format!("something\n{}", metrics.text(&listeners, some));
    text
}

#[test]
fn stats_have_the_same_text_with_nothing_and_with_something_to_tell() {
    let listeners = listeners();
    let mut text = session_stats();
    let names = ["a", "b", "c", "d", "e \"x\""].map(String::from);
    let places = ZoneState::ALL.into_iter().zip(1..).map(|(state, n)| {
        let mut place = Zone::default();
        place.state = state;
        place.dropped_suspicions = n;
        place.false_alarms = n * 10;
        place
    });
    let places: Vec<Zone> = places.collect();
    text += &format!("places\n{}", zones_text(names.iter().zip(&places)));
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
