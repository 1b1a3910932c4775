//! A graceful shutdown, from the signal to the exit.

mod support;

use std::time::{Duration, Instant};
use support::{
    LineConnection, OPEN_LINE, ProxyHarness, ProxyOptions, SETTINGS, TIMEOUT, temporary_path,
};
use test_case::test_case;

#[test]
fn a_shutdown_serves_at_first_then_migrates_sessions_and_answers_pending_clients() {
    let mut proxy = ProxyHarness::new(1);
    let (mut open_client, _server) = proxy.open_session();
    let started_at = Instant::now();
    proxy.send_signal("USR1");
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(200));
    let (mut late, _late_server) = proxy.open_session();
    let mut pending = proxy.connect(&OPEN_LINE.replace("feed", "order"));
    let (_silent, _) = proxy.accept_at(0);
    let mut slow = proxy.connect(&OPEN_LINE.replace("d=2000", "d=9000"));
    let (_first, _) = proxy.accept_at(0);
    let (mut second, _) = proxy.accept_at(0);
    assert_eq!(
        [open_client.read_line(), open_client.read_line()],
        ["MOVE", "FIN"]
    );
    assert!(
        started_at.elapsed() >= Duration::from_millis(1_350),
        "migration began before restarted proxies may be back"
    );
    assert_eq!(late.read_line(), "MOVE");
    assert_eq!(pending.read_line(), "ERR");
    // After more than four fifths of the longest client wait, a pending session may still open, and is migrated at
    // once.
    std::thread::sleep(Duration::from_millis(1_750).saturating_sub(started_at.elapsed()));
    second.send("UP r3\r\n");
    assert_eq!([slow.read_line(), slow.read_line()], ["UP r3", "MOVE"]);
    drop((open_client, late, pending, slow));
    let (code, log) = proxy.wait_for_exit();
    let counter_lines: Vec<&str> = log
        .lines()
        .filter(|line| line.starts_with("counters "))
        .collect();
    assert!(
        counter_lines.len() == 2 && counter_lines[0].contains(" up=1 "),
        "counters are not printed on SIGUSR1 and at exit: {log}"
    );
    let last = log.lines().last().unwrap_or_default();
    assert!(
        code == Some(0) && started_at.elapsed() < TIMEOUT,
        "{code:?} {log}"
    );
    assert!(
        last.starts_with("counters ") && last.contains(" proxy-leaving=3 "),
        "{last}"
    );
}

#[test_case("TERM"; "alone")]
#[test_case("HUP"; "after a reload")]
fn a_shutdown_before_the_proxy_serves_exits_with_success(first_signal: &str) {
    let operator_file = temporary_path("toml");
    std::fs::write(&operator_file, "").unwrap();
    let mut proxy = ProxyOptions::new(0)
        .operator_file(&operator_file)
        .start_without_list();
    proxy.send_signal(first_signal);
    proxy.send_signal("TERM");
    let (code, log) = proxy.wait_for_exit();
    std::fs::remove_file(&operator_file).unwrap();
    assert_eq!(code, Some(0), "{log}");
}

#[test]
fn pending_clients_are_answered_as_the_listener_closes() {
    let proxy = ProxyHarness::new(1);
    // An open session keeps the proxy running until its listener closes.
    let (_open, _server) = proxy.open_session();
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(1_300));
    let mut clients = Vec::new();
    proxy.send_signal("STOP");
    clients.extend((0..200).map(|_| proxy.connect(OPEN_LINE)));
    std::thread::sleep(Duration::from_millis(800));
    proxy.send_signal("CONT");
    let lines: Vec<String> = clients.iter_mut().map(LineConnection::read_line).collect();
    let is_answer = |line: &&String| line.starts_with("BUSY") || *line == "ERR";
    assert_eq!(lines.iter().filter(is_answer).count(), 200, "{lines:?}");
    assert!(clients.iter_mut().all(|client| client.read_line() == "FIN"));
}

#[test]
fn a_client_that_arrives_long_after_the_front_should_have_stopped_is_served_and_migrated() {
    let proxy = ProxyHarness::new(1);
    let (_open, _server) = proxy.open_session();
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(900));
    let (mut late, _late_server) = proxy.open_session();
    assert_eq!([late.read_line(), late.read_line()], ["MOVE", "FIN"]);
}

/// The front proxy sends clients for up to 0.4 s after SIGTERM, even where the longest client wait in the settings
/// (`give_up`, in microseconds) is shorter. The process has to exit before the platform kills it, 0.7 s after the
/// longest client wait, which counts as 3 s where it is absent or longer.
#[test_case("1", false, 700; "1 us")]
#[test_case("100000", false, 800; "100 ms")]
#[test_case("100000", true, 800; "100 ms, with admin HTTP")]
#[test_case("500000", true, 1_200; "500 ms, with admin HTTP")]
#[test_case("0", false, 3_700; "no longest wait")]
#[test_case("4294967295000000", false, 3_700; "longest valid setting")]
fn a_client_that_arrives_while_the_front_still_sends_is_served_however_short_waits_are(
    longest_wait_us: &str,
    admin_http: bool,
    exit_within_ms: u64,
) {
    let settings = SETTINGS.replace(
        "\"give_up\":2000000",
        &format!("\"give_up\":{longest_wait_us}"),
    );
    let options = ProxyOptions::new(1).settings(&settings);
    let mut proxy = if admin_http {
        options.admin_http().start()
    } else {
        options.start()
    };
    let (mut open, _server) = proxy.open_session();
    let started_at = Instant::now();
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(400).saturating_sub(started_at.elapsed()));
    let (mut late, _late_server) = proxy.open_session();
    assert_eq!([late.read_line(), late.read_line()], ["MOVE", "FIN"]);
    assert_eq!([open.read_line(), open.read_line()], ["MOVE", "FIN"]);
    drop((open, late));
    assert_eq!(proxy.wait_for_exit().0, Some(0));
    assert!(
        started_at.elapsed() < Duration::from_millis(exit_within_ms),
        "{:?}",
        started_at.elapsed()
    );
}

// A client that is idle, or has sent half a line, is answered; what it sends at that time is not forwarded.
#[test_case(""; "idle")]
#[test_case("OPEN 1 2 c=feed"; "half a line")]
fn a_client_idle_until_the_listener_closes_is_answered_and_nothing_is_forwarded(text: &str) {
    let mut proxy = ProxyHarness::new(1);
    let (_open, _server) = proxy.open_session();
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(1_300));
    let mut idle = proxy.connect(text);
    // Pending clients are answered 2 s after SIGTERM: the longest client wait of these settings.
    std::thread::sleep(Duration::from_millis(950));
    idle.send(if text.is_empty() {
        OPEN_LINE
    } else {
        ",t=acme,d=2000\r\n"
    });
    assert_eq!([idle.read_line(), idle.read_line()], ["ERR", "FIN"]);
    proxy.assert_no_dial();
    drop(idle);
    assert_eq!(proxy.wait_for_exit().0, Some(0));
}
