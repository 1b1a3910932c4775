//! Races, each forced by stopping the proxy (`SIGSTOP`) while its sockets become ready, so that one wake-up delivers
//! all events.

mod support;

use rustix::net::sockopt::set_socket_linger;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;
use support::{LineConnection, OPEN_LINE, ProxyHarness, ProxyOptions, settings_with_health_checks};
use test_case::test_case;

/// Runs `make_ready`, which makes sockets ready, while the proxy is stopped.
fn while_stopped(proxy: &ProxyHarness, make_ready: impl FnOnce()) {
    proxy.send_signal("STOP");
    std::thread::sleep(Duration::from_millis(30));
    make_ready();
    std::thread::sleep(Duration::from_millis(30));
    proxy.send_signal("CONT");
}

/// Ends a client's connection: by a FIN (`FIN`), by a reset (`RST`), or by a FIN after data that the proxy has not
/// read.
fn end_connection(mut client: LineConnection, how: &str) {
    let stream = client.0.get_mut();
    match how {
        "FIN" => stream.shutdown(Shutdown::Write).unwrap(),
        "RST" => set_socket_linger(&*stream, Some(Duration::ZERO)).unwrap(),
        _ => {
            stream.write_all(b"early\r\n").unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
        }
    }
}

#[test_case("FIN"; "by close")]
#[test_case("RST"; "by reset")]
#[test_case("bytes"; "by close after data")]
fn no_dial_begins_for_a_client_that_left_before_its_request_was_read(how: &str) {
    let proxy = ProxyHarness::new(1);
    let client = proxy.connect("");
    std::thread::sleep(Duration::from_millis(50));
    while_stopped(&proxy, || {
        let mut client = client;
        client.send(OPEN_LINE);
        end_connection(client, how);
    });
    proxy.assert_no_dial();
    proxy.open_session();
}

// The response that ends the first dial arrives in the same wake-up, before the end of the client's connection.
#[test_case("BUSY\r\n", "FIN"; "busy, by close")]
#[test_case("BUSY\r\n", "RST"; "busy, by reset")]
#[test_case("ERR\r\n", "bytes"; "error, by close after data")]
#[test_case("", "FIN"; "server closes, by close")]
fn no_second_dial_begins_for_a_client_that_left_between_dials(response: &str, how: &str) {
    let proxy = ProxyHarness::new(1);
    // In a process that has never opened a session, the first failure starts a pause between new sessions.
    let _open = proxy.open_session();
    let client = proxy.connect(OPEN_LINE);
    let (server, _) = proxy.accept_at(0);
    while_stopped(&proxy, || {
        let mut server = server;
        server.send(response);
        drop(server);
        end_connection(client, how);
    });
    proxy.assert_no_dial();
    proxy.open_session();
}

#[test]
fn signals_that_arrive_at_once_are_all_handled() {
    let mut proxy = ProxyHarness::new(1);
    let (mut client, _server) = proxy.open_session();
    while_stopped(&proxy, || {
        for name in ["HUP", "USR1", "TERM"] {
            proxy.send_signal(name);
        }
    });
    assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
    drop(client);
    let (code, log) = proxy.wait_for_exit();
    let counter_lines = log
        .lines()
        .filter(|line| line.starts_with("counters "))
        .count();
    assert!(
        code == Some(0) && counter_lines == 2 && log.contains("reloaded "),
        "{code:?} {log}"
    );
}

// The client that has been pending longest is evicted to free its descriptor, in the wake-up in which its data arrives.
#[test]
fn a_client_evicted_as_its_data_arrives_gets_an_error_line_and_no_reset() {
    let proxy = ProxyOptions::new(1).descriptors(64, 1024).start();
    let mut pending: Vec<LineConnection> = (0..18).map(|_| proxy.connect("")).collect();
    std::thread::sleep(Duration::from_millis(100));
    let mut client = None;
    while_stopped(&proxy, || {
        client = Some(proxy.connect(OPEN_LINE));
        for pending_client in &mut pending {
            pending_client.send("half");
        }
    });
    proxy.accept_at(0).0.send("UP r\r\n");
    assert_eq!(client.unwrap().read_line(), "UP r");
    let lines = [pending[0].read_line(), pending[0].read_line()];
    assert_eq!(lines, ["ERR", "FIN"]);
}

// A health check connection that is kept for reuse gets a late response, or is closed, in the wake-up in which it is
// to be reused.
#[test_case("PONG x0=9.9,outstanding=900\r\n", false; "late response")]
#[test_case("PON", false; "half a line")]
#[test_case("", true; "closed")]
fn a_health_check_connection_is_verified_before_reuse(text: &str, closes: bool) {
    let settings = settings_with_health_checks();
    let proxy = ProxyOptions::new(1).settings(&settings).start();
    let mut first = proxy.connect(OPEN_LINE);
    let (mut health_check, line) = proxy.accept_at(0);
    assert_eq!(line, "STATS");
    health_check.send("PONG x0=0.1,outstanding=3\r\n");
    let (mut server, _) = proxy.accept_at(0);
    server.send("ERR\r\n");
    let (mut server, _) = proxy.accept_at(0);
    server.send("ERR\r\n");
    assert_eq!(first.read_line(), "BUSY 1000");
    // By then the load report is outdated, so the next client needs another health check.
    std::thread::sleep(Duration::from_millis(2_300));
    let mut next = None;
    while_stopped(&proxy, || {
        next = Some(proxy.connect(OPEN_LINE));
        health_check.send(text);
        if closes {
            health_check.0.get_mut().shutdown(Shutdown::Both).unwrap();
        }
    });
    let (mut new_health_check, line) = proxy.accept_at(0);
    assert_eq!(
        line, "STATS",
        "the health check did not use a new connection"
    );
    new_health_check.send("PONG x0=0.1,outstanding=3\r\n");
    proxy.accept_at(0).0.send("UP r\r\n");
    assert_eq!(next.unwrap().read_line(), "UP r");
}
