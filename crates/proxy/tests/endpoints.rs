//! Endpoint lists, the discovery watch and health checks.

mod support;

use std::time::{Duration, Instant};
use support::{
    OPEN_LINE, OpenedWatch, ProxyHarness, ProxyOptions, SETTINGS, TIMEOUT, endpoint_json,
    list_line, settings_with_health_checks,
};
use test_case::test_case;

/// Opens and closes four sessions, each of which must be placed on `server`.
fn open_four_sessions_at(proxy: &ProxyHarness, server: usize) {
    for _ in 0..4 {
        proxy.open_session_at(&[server]);
    }
}

#[test]
fn endpoint_lists_are_applied_at_once_and_invalid_ones_as_far_as_they_are_readable() {
    let proxy = ProxyHarness::new(2);
    proxy
        .watch
        .send(list_line(
            9,
            false,
            &[endpoint_json(0, proxy.server_address(0), "draining")],
        ))
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    open_four_sessions_at(&proxy, 1);
    // The valid entries of an invalid list are applied, and the list is requested again.
    let partly_invalid = [
        endpoint_json(0, proxy.server_address(0), "ready"),
        "{\"uid\":1}".into(),
        endpoint_json(1, proxy.server_address(1), "draining"),
    ];
    proxy
        .watch
        .send(list_line(10, true, &partly_invalid))
        .unwrap();
    let OpenedWatch {
        request,
        lists: watch,
    } = proxy.accept_watch();
    assert!(request.contains("stream=1&index=9 "), "{request}");
    open_four_sessions_at(&proxy, 0);
    watch
        .send(list_line(
            10,
            false,
            &[
                endpoint_json(0, proxy.server_address(0), "gone"),
                endpoint_json(1, proxy.server_address(1), "ready"),
            ],
        ))
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    open_four_sessions_at(&proxy, 1);
    watch.send("{\"rev\":11,\"targets\":[{\n".into()).unwrap();
    let OpenedWatch {
        request,
        lists: watch,
    } = proxy.accept_watch();
    assert!(request.contains("stream=1&index=10 "), "{request}");
    open_four_sessions_at(&proxy, 1);
    // The same uid at another address.
    watch
        .send(list_line(
            11,
            true,
            &[endpoint_json(1, proxy.server_address(0), "ready")],
        ))
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    open_four_sessions_at(&proxy, 0);
}

#[test]
fn endpoints_beyond_the_limit_are_ignored_and_changes_of_known_ones_are_applied() {
    let mut proxy = ProxyHarness::new(2);
    let address = proxy.servers[0].local_addr().unwrap();
    let mut targets: Vec<String> = (10..6_000)
        .map(|nth| endpoint_json(nth, address, "draining"))
        .collect();
    targets.push(endpoint_json(0, address, "draining"));
    proxy.watch.send(list_line(9, false, &targets)).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    // These sessions open: in a process that has never opened one, the first failure starts a pause between new
    // sessions.
    let open: Vec<_> = (0..4).map(|_| proxy.open_session_at(&[1])).collect();
    drop(open);
    proxy.send_signal("TERM");
    let (_, log) = proxy.wait_for_exit();
    // Of 2 configured and 5,990 further endpoints, the table holds 4,096.
    assert!(log.contains(" roster-full=1896 "), "{log}");
}

// The requests of all proxies to a polled discovery wait in one queue, so the placement engine paces them.
#[test_case("pushed", true, 20; "closed")]
#[test_case("pushed", false, 2_000; "without heartbeats")]
#[test_case("on_request", true, 150; "closed, with a polled discovery")]
fn a_dead_watch_is_reopened(discovery: &str, closed: bool, min_delay_ms: u64) {
    let settings = SETTINGS.replace(
        "\"pushed\"",
        &format!("\"{discovery}\",\"rules.must_ask_in\":2000000"),
    );
    let proxy = ProxyOptions::new(1).settings(&settings).start();
    let started_at = Instant::now();
    if closed {
        proxy.watch.send(String::new()).unwrap();
    }
    let OpenedWatch {
        request,
        lists: _watch,
    } = proxy.accept_watch_within(TIMEOUT + TIMEOUT);
    assert!(
        started_at.elapsed() > Duration::from_millis(min_delay_ms),
        "reopened after {:?}",
        started_at.elapsed()
    );
    assert!(request.contains("stream=1&index=8 "), "{request}");
}

// Bytes without a line end do not count as a heartbeat.
#[test_case("{\"rev\":9,"; "half a line")]
#[test_case(" "; "spaces")]
fn a_watch_without_complete_lines_is_reopened(text: &str) {
    let proxy = ProxyHarness::new(1);
    let started_at = Instant::now();
    let OpenedWatch {
        request,
        lists: _watch,
    } = loop {
        let _ = proxy.watch.send(text.into());
        match proxy.watches.recv_timeout(Duration::from_millis(300)) {
            Ok(opened) => break opened,
            Err(_) => assert!(
                started_at.elapsed() < Duration::from_secs(5),
                "the watch is taken to be alive"
            ),
        }
    };
    assert!(request.contains("stream=1&index=8 "), "{request}");
    assert!(
        started_at.elapsed() >= Duration::from_secs(2),
        "reopened before the heartbeat timeout of 2 s"
    );
}

// The proxy has to know of a change 6 s after its watch became silent, even if the reopened watches are silent as well.
#[test_case(0; "next watch responds")]
#[test_case(1; "next watch is silent")]
#[test_case(2; "next two watches are silent")]
fn a_change_during_a_silent_watch_is_known_in_time(silent_count: usize) {
    let proxy = ProxyHarness::new(2);
    let started_at = Instant::now();
    let mut silent_watches = Vec::new();
    for _ in 0..silent_count {
        silent_watches.push(proxy.accept_watch_within(TIMEOUT + TIMEOUT));
    }
    let watch = proxy.accept_watch_within(TIMEOUT + TIMEOUT).lists;
    watch
        .send(list_line(
            9,
            false,
            &[endpoint_json(0, proxy.server_address(0), "draining")],
        ))
        .unwrap();
    std::thread::sleep(Duration::from_millis(50));
    assert!(
        started_at.elapsed() < Duration::from_millis(6_300),
        "{:?}",
        started_at.elapsed()
    );
    for _ in 0..6 {
        proxy.open_session_at(&[1]);
    }
}

#[test]
fn a_watch_that_keeps_closing_is_reopened_without_long_delays() {
    let proxy = ProxyHarness::new(1);
    let (started_at, mut watch) = (Instant::now(), proxy.watch.clone());
    let mut reopened_at = started_at;
    for _ in 0..12 {
        let _ = watch.send(String::new());
        watch = proxy.accept_watch().lists;
        assert!(
            reopened_at.elapsed() < Duration::from_millis(800),
            "{:?}",
            reopened_at.elapsed()
        );
        reopened_at = Instant::now();
    }
}

#[test]
fn health_checks_reuse_one_connection_and_precede_the_first_dial() {
    let settings = settings_with_health_checks();
    let proxy = ProxyOptions::new(1).settings(&settings).start();
    let (mut clients, mut servers) = (Vec::new(), Vec::new());
    let (mut health_check, line) = {
        clients.push(proxy.connect(OPEN_LINE));
        proxy.accept_at(0)
    };
    assert_eq!(line, "STATS", "no health check before the first dial");
    // Longer than the dial timeout of 200 ms: the health check is slow, but does not fail.
    std::thread::sleep(Duration::from_millis(280));
    health_check.send("PONG x0=0.1,outstanding=3\r\n");
    for _ in 0..8 {
        let (mut server, line) = proxy.accept_at(0);
        assert!(line.starts_with("OPEN "), "{line}");
        server.send("UP r\r\n");
        servers.push(server);
        clients.push(proxy.connect(OPEN_LINE));
    }
    assert_eq!(
        health_check.read_line(),
        "STATS",
        "the health check was not repeated on the same connection"
    );
}
