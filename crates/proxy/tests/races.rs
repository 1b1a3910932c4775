//! Races, each forced: the proxy is stopped while its sockets are made ready, so that it meets all of it in one
//! wake-up.

mod support;

use rustix::net::sockopt::set_socket_linger;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;
use support::{LineConnection, OPEN_LINE, ProxyHarness, ProxyOptions, settings_with_health_checks};
use test_case::test_case;

/// Makes sockets ready while the proxy stands still.
fn while_stopped(proxy: &ProxyHarness, makes_ready: impl FnOnce()) {
    proxy.send_signal("STOP");
    std::thread::sleep(Duration::from_millis(30));
    makes_ready();
    std::thread::sleep(Duration::from_millis(30));
    proxy.send_signal("CONT");
}

/// Ends a client's connection: in good order, by a reset, or behind bytes that nobody has read.
fn leave(mut client: LineConnection, how: &str) {
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

#[test_case("FIN"; "in good order")]
#[test_case("RST"; "by reset")]
#[test_case("bytes"; "behind bytes")]
fn a_client_that_left_before_its_request_was_read_is_not_dialled_for(how: &str) {
    let proxy = ProxyHarness::new(1);
    let client = proxy.connect("");
    std::thread::sleep(Duration::from_millis(50));
    while_stopped(&proxy, || {
        let mut client = client;
        client.send(OPEN_LINE);
        leave(client, how);
    });
    proxy.assert_no_dial();
    proxy.open_session();
}

// The answer that ends the first dial comes in the same wake-up, before the client's end.
#[test_case("BUSY\r\n", "FIN"; "full, in good order")]
#[test_case("BUSY\r\n", "RST"; "full, by reset")]
#[test_case("ERR\r\n", "bytes"; "erred, behind bytes")]
#[test_case("", "FIN"; "ended, in good order")]
fn a_client_that_left_between_two_dials_gets_no_second_dial(answer: &str, how: &str) {
    let proxy = ProxyHarness::new(1);
    // A process at which no session was ever open would hold others back at the first failure.
    let _open = proxy.open_session();
    let client = proxy.connect(OPEN_LINE);
    let (server, _) = proxy.accept_at(0);
    while_stopped(&proxy, || {
        let mut server = server;
        server.send(answer);
        drop(server);
        leave(client, how);
    });
    proxy.assert_no_dial();
    proxy.open_session();
}

#[test]
fn signals_that_come_at_once_are_all_handled() {
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
    let printed = log
        .lines()
        .filter(|line| line.starts_with("counters "))
        .count();
    assert!(
        code == Some(0) && printed == 2 && log.contains("reloaded "),
        "{code:?} {log}"
    );
}

// The descriptor of the client that has been pending longest is needed in the moment in which it speaks.
#[test]
fn a_client_evicted_as_it_sends_is_answered_and_not_reset() {
    let proxy = ProxyOptions::new(1).descriptors(64, 1024).start();
    let mut pending: Vec<LineConnection> = (0..18).map(|_| proxy.connect("")).collect();
    std::thread::sleep(Duration::from_millis(100));
    let mut client = None;
    while_stopped(&proxy, || {
        client = Some(proxy.connect(OPEN_LINE));
        for client in &mut pending {
            client.send("half");
        }
    });
    proxy.accept_at(0).0.send("UP r\r\n");
    assert_eq!(client.unwrap().read_line(), "UP r");
    let lines = [pending[0].read_line(), pending[0].read_line()];
    assert_eq!(lines, ["ERR", "FIN"]);
}

// A kept connection for health checks gets a late answer, or its end, in the moment in which it is to be used again.
#[test_case("PONG x0=9.9,outstanding=900\r\n", false; "a late answer")]
#[test_case("PON", false; "half a line")]
#[test_case("", true; "its end")]
fn a_kept_health_check_connection_is_checked_before_it_is_used_again(text: &str, ends: bool) {
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
    // Until its load report is old and another client needs it.
    std::thread::sleep(Duration::from_millis(2_300));
    let mut next = None;
    while_stopped(&proxy, || {
        next = Some(proxy.connect(OPEN_LINE));
        health_check.send(text);
        if ends {
            health_check.0.get_mut().shutdown(Shutdown::Both).unwrap();
        }
    });
    let (mut other, line) = proxy.accept_at(0);
    assert_eq!(line, "STATS", "over a connection of its own");
    other.send("PONG x0=0.1,outstanding=3\r\n");
    proxy.accept_at(0).0.send("UP r\r\n");
    assert_eq!(next.unwrap().read_line(), "UP r");
}
