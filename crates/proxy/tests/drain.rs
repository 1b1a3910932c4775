//! Drains on request, by the admin socket and by HTTP: what clients and fronts see, and how a drain is taken back.

mod support;

use std::time::{Duration, Instant};
use support::{
    LineConnection, OPEN_LINE, ProxyHarness, ProxyWithAdminSocket, endpoint_json, http_call,
    list_line, operator_file_text,
};

/// The clients and servers of some open sessions.
fn open_sessions(proxy: &ProxyHarness, count: usize) -> Vec<(LineConnection, LineConnection)> {
    (0..count).map(|_| proxy.open_session()).collect()
}

#[test]
fn a_drain_migrates_all_serves_whoever_still_comes_and_is_taken_back() {
    let mut operated = ProxyWithAdminSocket::start("");
    let mut sessions = open_sessions(&operated.proxy, 12);
    operated.run_ok(&["drain", "--deadline", "3s"]);
    assert_eq!(operated.ping(), "ERR", "the front is notified");
    // Whom the front still sends is served.
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
        "who comes while it is empty is migrated too"
    );
    assert_serves_at_once_after_undrain(&operated);
    assert!(
        !operated.run(&["undrain"]).status.success(),
        "it does not drain any more"
    );
    operated.proxy.send_signal("TERM");
    let (code, log) = operated.proxy.wait_for_exit();
    assert_eq!(code, Some(0));
    assert_drain_states_logged(&log, &["closing", "moving", "empty", "serving", "exiting"]);
    assert!(
        !operated.admin_socket.exists(),
        "the socket's file is left behind"
    );
}

fn assert_serves_at_once_after_undrain(operated: &ProxyWithAdminSocket) {
    let undrained_at = Instant::now();
    operated.run_ok(&["undrain"]);
    assert_eq!(operated.ping(), "PONG");
    let (mut client, mut server) = operated.proxy.open_session();
    assert!(
        undrained_at.elapsed() < Duration::from_secs(1),
        "back within a second"
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
fn a_waiting_session_is_answered_in_its_own_time_and_an_undrain_halfway_leaves_the_rest() {
    let operated = ProxyWithAdminSocket::start("pace = 10\n");
    let mut sessions = open_sessions(&operated.proxy, 20);
    let mut waiting = operated.proxy.connect(&OPEN_LINE.replace("feed", "order"));
    let (mut server, _) = operated.proxy.accept_at(0);
    operated.run_ok(&["drain", "--deadline", "60s"]);
    // It is answered as ever, by what its server says within its own time.
    server.send("UP r9\r\n");
    assert_eq!(waiting.read_line(), "UP r9");
    std::thread::sleep(Duration::from_millis(1_000));
    operated.run_ok(&["undrain"]);
    let left_alone = sessions
        .iter_mut()
        .filter_map(|(client, _)| client.is_quiet().then_some(()))
        .count();
    assert!((8..20).contains(&left_alone), "{left_alone}");
}

#[test]
fn a_second_drain_changes_the_deadline_and_sigterm_ends_it_for_good() {
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
fn a_drain_goes_on_while_discovery_is_down_and_while_the_configuration_is_read_again() {
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
        "no time before the next drain is asked for any more"
    );
}

#[test]
fn inherited_sessions_are_migrated_like_others() {
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

/// Operators' HTTP calls about a drain; each returns its status.
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
fn a_drain_by_http_empties_the_proxy_in_time_and_is_taken_back() {
    let proxy = ProxyHarness::with_admin_http(1);
    let drain = HttpDrain(&proxy);
    assert_eq!(
        (drain.stop(), drain.readiness()),
        (200, 200),
        "nothing to stop is a success"
    );
    let mut sessions = open_sessions(&proxy, 8);
    // Its server says nothing, and it would wait for longer than the drain may take.
    let mut waiting = proxy.connect(&OPEN_LINE.replace("d=2000", "d=60000"));
    let _silent = [proxy.accept_at(0), proxy.accept_at(0)];
    let (client_of_half_line, mut server_of_half_line) = proxy.open_session();
    server_of_half_line.send("hal");
    sessions.push((client_of_half_line, server_of_half_line));
    let began_at = Instant::now();
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
            "no line is cut, nobody cut off"
        );
    }
    assert_eq!(
        waiting.read_line(),
        "ERR",
        "whoever waits at the deadline is answered"
    );
    assert!(
        began_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        began_at.elapsed()
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
    // The capacity of all that were migrated or answered is free again.
    (0..12).for_each(|_| drop(proxy.open_session()));
    let (mut stays, _server) = proxy.open_session();
    assert!(stays.is_quiet(), "no migration is left over");
    proxy.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(
        (drain.start(), drain.stop(), drain.readiness()),
        (200, 503, 503),
        "it goes for good"
    );
}
