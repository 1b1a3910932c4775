//! Drains requested by the admin socket or admin HTTP: what clients and the front proxy see, and how a drain is
//! cancelled.

mod support;

use std::time::{Duration, Instant};
use support::{
    LineConnection, OPEN_LINE, ProxyHarness, ProxyWithAdminSocket, endpoint_json, http_call,
    list_line, operator_file_text,
};
use test_case::test_case;

/// Opens `count` sessions; returns the client and the server of each.
fn open_sessions(proxy: &ProxyHarness, count: usize) -> Vec<(LineConnection, LineConnection)> {
    (0..count).map(|_| proxy.open_session()).collect()
}

#[test]
fn a_drain_migrates_all_sessions_serves_late_clients_and_is_cancelled() {
    let mut operated = ProxyWithAdminSocket::start("");
    let mut sessions = open_sessions(&operated.proxy, 12);
    operated.run_ok(&["drain", "--deadline", "3s"]);
    assert_eq!(operated.ping(), "ERR", "pings still succeed");
    // A client that the front proxy still sends is served.
    sessions.push(operated.proxy.open_session());
    for (client, server) in &mut sessions {
        assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
        assert_eq!(server.read_line(), "FIN");
    }
    let status = operated.wait_for_drain_state("empty");
    assert!(
        status.contains("\"moved\":13") && status.contains("\"carries\":false"),
        "{status}"
    );
    let (mut late_client, _server) = operated.proxy.open_session();
    assert_eq!(
        late_client.read_line(),
        "MOVE",
        "a client that arrives while the proxy is empty is not migrated"
    );
    assert_serves_at_once_after_undrain(&operated);
    assert!(
        !operated.run(&["undrain"]).status.success(),
        "an undrain without a drain succeeds"
    );
    operated.proxy.send_signal("TERM");
    let (code, log) = operated.proxy.wait_for_exit();
    assert_eq!(code, Some(0));
    assert_drain_states_logged(&log, &["closing", "moving", "empty", "serving", "exiting"]);
    assert!(
        !operated.admin_socket.exists(),
        "the admin socket's file was not removed"
    );
}

fn assert_serves_at_once_after_undrain(operated: &ProxyWithAdminSocket) {
    let undrained_at = Instant::now();
    operated.run_ok(&["undrain"]);
    assert_eq!(operated.ping(), "PONG");
    let (mut client, mut server) = operated.proxy.open_session();
    assert!(
        undrained_at.elapsed() < Duration::from_secs(1),
        "the proxy does not serve within 1 s of the undrain"
    );
    client.send("a\r\n");
    assert_eq!(server.read_line(), "a");
    assert!(client.is_quiet());
}

fn assert_drain_states_logged(log: &str, expected: &[&str]) {
    let logged: Vec<&str> = log
        .lines()
        .filter_map(|line| line.strip_prefix("drain-state state="))
        .filter_map(|states| states.split(' ').next())
        .collect();
    assert!(
        expected.iter().all(|state| logged.contains(state)),
        "{logged:?}"
    );
}

#[test]
fn a_pending_session_opens_during_a_drain_and_an_undrain_halfway_keeps_the_remaining_sessions() {
    let operated = ProxyWithAdminSocket::start("pace = 10\n");
    let mut sessions = open_sessions(&operated.proxy, 20);
    let mut pending = operated.proxy.connect(&OPEN_LINE.replace("feed", "order"));
    let (mut server, _) = operated.proxy.accept_at(0);
    operated.run_ok(&["drain", "--deadline", "60s"]);
    // Until the drain's deadline, the response of its server opens a pending session as usual.
    server.send("UP r9\r\n");
    assert_eq!(pending.read_line(), "UP r9");
    std::thread::sleep(Duration::from_millis(1_000));
    operated.run_ok(&["undrain"]);
    let not_migrated = sessions
        .iter_mut()
        .filter_map(|(client, _)| client.is_quiet().then_some(()))
        .count();
    assert!((8..20).contains(&not_migrated), "{not_migrated}");
}

#[test]
fn a_second_drain_changes_the_deadline_and_after_sigterm_there_is_no_undrain() {
    let mut operated = ProxyWithAdminSocket::start("pace = 1\n");
    let mut sessions = open_sessions(&operated.proxy, 10);
    operated.run_ok(&["drain", "--deadline", "60s"]);
    operated.wait_for_drain_state("moving");
    operated.run_ok(&["drain", "--deadline", "1s"]);
    operated.wait_for_drain_state("late");
    operated.proxy.send_signal("TERM");
    operated.wait_for_drain_state("exiting");
    assert!(
        !operated.run(&["undrain"]).status.success() && !operated.run(&["drain"]).status.success()
    );
    for (client, _) in &mut sessions {
        assert_eq!(client.read_line(), "MOVE");
    }
    drop(sessions);
    assert_eq!(operated.proxy.wait_for_exit().0, Some(0));
}

#[test]
fn a_drain_continues_while_discovery_is_down_and_during_a_reload() {
    let operated = ProxyWithAdminSocket::start("pace = 20\n");
    let mut sessions = open_sessions(&operated.proxy, 10);
    operated.proxy.watch.send(String::new()).unwrap();
    operated.run_ok(&["drain", "--deadline", "20s"]);
    operated.wait_for_drain_state("moving");
    std::fs::write(
        &operated.operator_file,
        operator_file_text(&operated.admin_socket, "pace = 500\nback = \"0s\"\n"),
    )
    .unwrap();
    operated.proxy.send_signal("HUP");
    for (client, _) in &mut sessions {
        assert_eq!(client.read_line(), "MOVE");
    }
    operated.wait_for_drain_state("empty");
    operated.run(&["undrain"]);
    assert!(
        operated
            .wait_for_drain_state("serving")
            .contains("\"carries\":true"),
        "the reload did not remove the time before the next drain"
    );
}

#[test]
fn restored_sessions_are_migrated_like_others() {
    let operated = ProxyWithAdminSocket::start("");
    let proxy = &operated.proxy;
    let mut client = proxy.connect("OPEN 1 2 c=feed,t=acme,d=9,at=s-0\r\n");
    let (mut server, _) = proxy.accept_at(0);
    server.send("UP r\r\n");
    assert_eq!(client.read_line(), "UP r");
    let draining = endpoint_json(0, proxy.server_address(0), "draining");
    proxy.watch.send(list_line(9, false, &[draining])).unwrap();
    operated.run_ok(&["drain", "--deadline", "2s", "--wait"]);
    assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
}

/// Admin HTTP requests about a drain; each returns the HTTP status.
struct HttpDrain<'a>(&'a ProxyHarness);

impl HttpDrain<'_> {
    fn start(&self) -> u16 {
        http_call(self.0.admin_http, "POST /ops/drain/start").0
    }

    fn stop(&self) -> u16 {
        http_call(self.0.admin_http, "POST /ops/drain/stop").0
    }

    fn readiness(&self) -> u16 {
        http_call(self.0.admin_http, "GET /ops/readiness").0
    }
}

#[test]
fn a_drain_by_http_empties_the_proxy_in_time_and_is_cancelled() {
    let proxy = ProxyHarness::with_admin_http(1);
    let drain = HttpDrain(&proxy);
    assert_eq!(
        (drain.stop(), drain.readiness()),
        (200, 200),
        "a stop without a drain fails"
    );
    let mut sessions = open_sessions(&proxy, 8);
    // Its servers send no response, and its wait is longer than the drain may take.
    let mut pending = proxy.connect(&OPEN_LINE.replace("d=2000", "d=60000"));
    let _silent = [proxy.accept_at(0), proxy.accept_at(0)];
    let (half_line_client, mut half_line_server) = proxy.open_session();
    half_line_server.send("hal");
    sessions.push((half_line_client, half_line_server));
    let started_at = Instant::now();
    assert_eq!(
        (drain.start(), drain.start(), drain.readiness()),
        (200, 200, 503)
    );
    assert_eq!(proxy.connect("PING\r\n").read_line(), "ERR");
    sessions.push(proxy.open_session());
    for (client, _) in &mut sessions {
        assert_eq!(
            [client.read_line(), client.read_line()],
            ["MOVE", "FIN"],
            "a line was truncated or a session cut off"
        );
    }
    assert_eq!(
        pending.read_line(),
        "ERR",
        "a client pending at the deadline is not answered"
    );
    assert!(
        started_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        started_at.elapsed()
    );
    assert_serves_after_drain_by_http(&proxy);
}

fn assert_serves_after_drain_by_http(proxy: &ProxyHarness) {
    let drain = HttpDrain(proxy);
    assert_eq!(
        (drain.stop(), drain.stop(), drain.readiness()),
        (200, 200, 200)
    );
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
    // The capacity of all sessions that were migrated or rejected has been released.
    (0..12).for_each(|_| drop(proxy.open_session()));
    let (mut new_client, _server) = proxy.open_session();
    assert!(
        new_client.is_quiet(),
        "a migration of the cancelled drain was left over"
    );
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(
        (drain.start(), drain.stop(), drain.readiness()),
        (200, 503, 503),
        "a shutdown can be cancelled"
    );
}

/// A request that meets a drain by HTTP, whose caller checks 4 s after its call whether the proxy is empty.
#[derive(Clone, Copy, PartialEq)]
enum OtherRequest {
    SlowerDrainBefore,
    SlowerDrainAfter,
    ShutdownAfter,
}

impl OtherRequest {
    fn send(self, operated: &ProxyWithAdminSocket) {
        match self {
            OtherRequest::ShutdownAfter => operated.proxy.send_signal("TERM"),
            _ => operated.run_ok(&["drain", "--deadline", "60s", "--pace", "2"]),
        }
    }
}

/// Guards against clients that are held after `POST /ops/drain/start` was answered with success: an operator's slower drain
/// made the call do nothing, and a later request put off its end.
#[test_case(OtherRequest::SlowerDrainBefore; "a slower drain is in progress")]
#[test_case(OtherRequest::SlowerDrainAfter; "a slower drain is requested later")]
#[test_case(OtherRequest::ShutdownAfter; "a shutdown begins later")]
fn a_drain_by_http_empties_the_proxy_in_time_whatever_else_is_requested(other: OtherRequest) {
    let operated = ProxyWithAdminSocket::with_admin_http("pace = 2\n");
    let mut sessions = open_sessions(&operated.proxy, 20);
    if other == OtherRequest::SlowerDrainBefore {
        other.send(&operated);
        operated.wait_for_drain_state("moving");
    }
    let called_at = Instant::now();
    assert_eq!(HttpDrain(&operated.proxy).start(), 200);
    if other != OtherRequest::SlowerDrainBefore {
        std::thread::sleep(Duration::from_millis(2_500));
        other.send(&operated);
    }
    for (client, _) in &mut sessions {
        assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
    }
    let elapsed = called_at.elapsed();
    assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
}
