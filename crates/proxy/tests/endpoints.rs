//! What the proxy knows of its endpoints: lists, the discovery watch and health checks.

mod support;

use std::time::{Duration, Instant};
use support::{
    OPEN_LINE, OpenedWatch, ProxyHarness, ProxyOptions, SETTINGS, TIMEOUT, endpoint_json,
    list_line, settings_with_health_checks,
};
use test_case::test_case;

/// Opens and ends four sessions, each of which has to be dialled at one server.
fn open_four_sessions_at(proxy: &ProxyHarness, server: usize) {
    for _ in 0..4 {
        proxy.open_session_at(&[server]);
    }
}

#[test]
fn endpoint_lists_are_applied_as_they_come_and_bad_ones_as_far_as_they_can_be_read() {
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
    // What can be read of a bad list is applied, and the list is asked for again.
    let bad = [
        endpoint_json(0, proxy.server_address(0), "ready"),
        "{\"uid\":1}".into(),
        endpoint_json(1, proxy.server_address(1), "draining"),
    ];
    proxy.watch.send(list_line(10, true, &bad)).unwrap();
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
    // The same uid at another endpoint.
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
fn endpoints_beyond_the_limit_are_left_out_and_hide_no_change_of_known_ones() {
    let mut proxy = ProxyHarness::new(2);
    let at = proxy.servers[0].local_addr().unwrap();
    let mut targets: Vec<String> = (10..6_000)
        .map(|nth| endpoint_json(nth, at, "draining"))
        .collect();
    targets.push(endpoint_json(0, at, "draining"));
    proxy.watch.send(list_line(9, false, &targets)).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    // They are established: at a process at which no session ever was, a first failure would hold the next back.
    let open: Vec<_> = (0..4).map(|_| proxy.open_session_at(&[1])).collect();
    drop(open);
    proxy.send_signal("TERM");
    let (_, log) = proxy.wait_for_exit();
    assert!(log.contains(" roster-full=1896 "), "{log}");
}

// Requests to a discovery that is polled wait in one queue with those of all other proxies, so the placement engine
// paces them.
#[test_case("pushed", true, 20; "ended")]
#[test_case("pushed", false, 2_000; "without its blank lines")]
#[test_case("on_request", true, 150; "ended, where it is polled")]
fn a_dead_watch_is_opened_again(discovery: &str, ended: bool, min_delay_ms: u64) {
    let settings = SETTINGS.replace(
        "\"pushed\"",
        &format!("\"{discovery}\",\"rules.must_ask_in\":2000000"),
    );
    let proxy = ProxyOptions::new(1).settings(&settings).start();
    let begin = Instant::now();
    if ended {
        proxy.watch.send(String::new()).unwrap();
    }
    let OpenedWatch {
        request,
        lists: _watch,
    } = proxy.accept_watch_within(TIMEOUT + TIMEOUT);
    assert!(
        begin.elapsed() > Duration::from_millis(min_delay_ms),
        "asked again after {:?}",
        begin.elapsed()
    );
    assert!(request.contains("stream=1&index=8 "), "{request}");
}

// Bytes without the end of a line keep no watch alive.
#[test_case("{\"rev\":9,"; "half a line")]
#[test_case(" "; "spaces")]
fn a_watch_without_complete_lines_is_opened_again(text: &str) {
    let proxy = ProxyHarness::new(1);
    let begin = Instant::now();
    let OpenedWatch {
        request,
        lists: _watch,
    } = loop {
        let _ = proxy.watch.send(text.into());
        match proxy.watches.recv_timeout(Duration::from_millis(300)) {
            Ok(opened) => break opened,
            Err(_) => assert!(
                begin.elapsed() < Duration::from_secs(5),
                "it counts as alive"
            ),
        }
    };
    assert!(request.contains("stream=1&index=8 "), "{request}");
    assert!(
        begin.elapsed() >= Duration::from_secs(2),
        "blank lines may take 2 s"
    );
}

// The proxy has to know of a change 6 s after its watch fell silent, whatever failed meanwhile.
#[test_case(0; "the next answers")]
#[test_case(1; "the next is silent too")]
#[test_case(2; "the two next")]
fn a_change_during_a_silent_watch_is_known_in_time(silent: usize) {
    let proxy = ProxyHarness::new(2);
    let begin = Instant::now();
    let mut silent_watches = Vec::new();
    for _ in 0..silent {
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
        begin.elapsed() < Duration::from_millis(6_300),
        "{:?}",
        begin.elapsed()
    );
    for _ in 0..6 {
        proxy.open_session_at(&[1]);
    }
}

#[test]
fn a_watch_that_keeps_ending_is_opened_again_without_long_delays() {
    let proxy = ProxyHarness::new(1);
    let (begin, mut watch) = (Instant::now(), proxy.watch.clone());
    let mut last = begin;
    for _ in 0..12 {
        let _ = watch.send(String::new());
        watch = proxy.accept_watch().lists;
        assert!(
            last.elapsed() < Duration::from_millis(800),
            "{:?}",
            last.elapsed()
        );
        last = Instant::now();
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
    assert_eq!(line, "STATS", "a candidate is checked first");
    // Longer than a connection may take to be established: slow, but not silent.
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
        "a server with sessions is checked again"
    );
}
