//! A graceful shutdown, from the signal to the exit.

mod support;

use std::time::{Duration, Instant};
use support::{
    LineConnection, OPEN_LINE, ProxyHarness, ProxyOptions, SETTINGS, TIMEOUT, temporary_path,
};
use test_case::test_case;

#[test]
fn a_shutdown_serves_on_then_migrates_all_and_answers_what_waits() {
    let mut proxy = ProxyHarness::new(1);
    let (mut open, _server) = proxy.open_session();
    let begin = Instant::now();
    proxy.send_signal("USR1");
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(200));
    let (mut late, _late_server) = proxy.open_session();
    let mut pending = proxy.connect(&OPEN_LINE.replace("feed", "order"));
    let (_silent, _) = proxy.accept_at(0);
    let mut slow = proxy.connect(&OPEN_LINE.replace("d=2000", "d=9000"));
    let (_first, _) = proxy.accept_at(0);
    let (mut second, _) = proxy.accept_at(0);
    assert_eq!([open.read_line(), open.read_line()], ["MOVE", "FIN"]);
    assert!(
        begin.elapsed() >= Duration::from_millis(1_350),
        "the others may not be back yet"
    );
    assert_eq!(late.read_line(), "MOVE");
    assert_eq!(pending.read_line(), "ERR");
    // After four fifths of the longest wait it may still be opened, and is migrated then.
    std::thread::sleep(Duration::from_millis(1_750).saturating_sub(begin.elapsed()));
    second.send("UP r3\r\n");
    assert_eq!([slow.read_line(), slow.read_line()], ["UP r3", "MOVE"]);
    drop((open, late, pending, slow));
    let (code, log) = proxy.wait_for_exit();
    let printed: Vec<&str> = log
        .lines()
        .filter(|line| line.starts_with("counters "))
        .collect();
    assert!(
        printed.len() == 2 && printed[0].contains(" up=1 "),
        "on request and at exit: {log}"
    );
    let last = log.lines().last().unwrap_or_default();
    assert!(
        code == Some(0) && begin.elapsed() < TIMEOUT,
        "{code:?} {log}"
    );
    assert!(
        last.starts_with("counters ") && last.contains(" proxy-leaving=3 "),
        "{last}"
    );
}

#[test_case("TERM"; "alone")]
#[test_case("HUP"; "after a reload")]
fn a_shutdown_before_the_proxy_serves_is_orderly(first: &str) {
    let operator_file = temporary_path("toml");
    std::fs::write(&operator_file, "").unwrap();
    let mut proxy = ProxyOptions::new(0)
        .operator_file(&operator_file)
        .start_without_list();
    proxy.send_signal(first);
    proxy.send_signal("TERM");
    let (code, log) = proxy.wait_for_exit();
    std::fs::remove_file(&operator_file).unwrap();
    assert_eq!(code, Some(0), "{log}");
}

#[test]
fn pending_clients_are_answered_as_the_listener_closes() {
    let proxy = ProxyHarness::new(1);
    // One session stays open, or the proxy would have ended before.
    let (_open, _server) = proxy.open_session();
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(1_300));
    let mut clients = Vec::new();
    proxy.send_signal("STOP");
    clients.extend((0..200).map(|_| proxy.connect(OPEN_LINE)));
    std::thread::sleep(Duration::from_millis(800));
    proxy.send_signal("CONT");
    let lines: Vec<String> = clients.iter_mut().map(LineConnection::read_line).collect();
    let answered = |line: &&String| line.starts_with("BUSY") || *line == "ERR";
    assert_eq!(lines.iter().filter(answered).count(), 200, "{lines:?}");
    assert!(clients.iter_mut().all(|client| client.read_line() == "FIN"));
}

#[test]
fn a_client_that_comes_long_after_the_front_should_have_stopped_is_served_and_migrated() {
    let proxy = ProxyHarness::new(1);
    let (_open, _server) = proxy.open_session();
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(900));
    let (mut late, _late_server) = proxy.open_session();
    assert_eq!([late.read_line(), late.read_line()], ["MOVE", "FIN"]);
}

/// The front sends clients for up to 0.4 s after SIGTERM, however short their longest wait is, from none to the
/// longest that the settings may name; and the process has gone before it is killed, 0.7 s after the longest wait (3 s at most).
#[test_case("1", false, 700; "a microsecond")]
#[test_case("100000", false, 800; "a tenth of a second")]
#[test_case("100000", true, 800; "a tenth of a second, with operators")]
#[test_case("500000", true, 1_200; "half a second, with operators")]
#[test_case("0", false, 3_700; "none")]
#[test_case("4294967295000000", false, 3_700; "the longest")]
fn a_client_that_comes_while_the_front_still_sends_is_served_however_short_waits_are(
    wait: &str,
    admin_http: bool,
    exit_within_ms: u64,
) {
    let settings = SETTINGS.replace("\"give_up\":2000000", &format!("\"give_up\":{wait}"));
    let options = ProxyOptions::new(1).settings(&settings);
    let mut proxy = if admin_http {
        options.admin_http().start()
    } else {
        options.start()
    };
    let (mut open, _server) = proxy.open_session();
    let begin = Instant::now();
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(400).saturating_sub(begin.elapsed()));
    let (mut late, _late_server) = proxy.open_session();
    assert_eq!([late.read_line(), late.read_line()], ["MOVE", "FIN"]);
    assert_eq!([open.read_line(), open.read_line()], ["MOVE", "FIN"]);
    drop((open, late));
    assert_eq!(proxy.wait_for_exit().0, Some(0));
    assert!(
        begin.elapsed() < Duration::from_millis(exit_within_ms),
        "{:?}",
        begin.elapsed()
    );
}

// A client that is idle, or has sent half a line, is answered; what it sends in that moment is not forwarded.
#[test_case(""; "idle")]
#[test_case("OPEN 1 2 c=feed"; "half a line")]
fn a_client_idle_until_the_end_is_answered_and_nothing_is_forwarded(text: &str) {
    let mut proxy = ProxyHarness::new(1);
    let (_open, _server) = proxy.open_session();
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(1_300));
    let mut idle = proxy.connect(text);
    // Whoever waits is answered after 2 s, the longest wait of these settings.
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
