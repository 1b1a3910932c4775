//! Requests of clients that have left: none is sent for a client that is gone, whichever process it came to.

mod support;

use asterramp_hot_restart::HotRestartMessage;
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::Duration;
use support::{LineConnection, OPEN_LINE, ProxyHarness, TestPredecessor};
use test_case::test_case;

/// Clients that leave at once.
const CLIENTS: usize = 40;
/// Lines that a client of an open session sends before it leaves.
const LINES: usize = 50;

/// How a client ends its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaving {
    Fin,
    Reset,
}

impl Leaving {
    fn leave(self, client: LineConnection) {
        let stream = client.0.into_inner();
        match self {
            Leaving::Fin => stream.shutdown(Shutdown::Both).unwrap(),
            Leaving::Reset => reset(stream),
        }
    }
}

/// Closes a connection with a reset, as a close does while there is unread input.
fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// What a client sends before its request, and how much of what it is sent it leaves unread.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Before {
    Nothing,
    Pings,
}

/// Picture (c), first half: nothing is sent to a server for a client that left before the proxy read its request.
#[test_case(Leaving::Fin, Before::Nothing)]
#[test_case(Leaving::Reset, Before::Nothing)]
#[test_case(Leaving::Fin, Before::Pings)]
#[test_case(Leaving::Reset, Before::Pings)]
fn requests_of_clients_that_have_left_are_not_sent(leaving: Leaving, before: Before) {
    let proxy = ProxyHarness::new(1);
    proxy.send_signal("STOP");
    for _ in 0..CLIENTS {
        let pings = match before {
            Before::Nothing => String::new(),
            Before::Pings => "PING\r\n".repeat(1_000),
        };
        leaving.leave(proxy.connect(&format!("{pings}{OPEN_LINE}")));
    }
    proxy.send_signal("CONT");
    proxy.assert_no_dial();
    proxy.open_session();
}

/// Picture (c), first half, at the other process of an upgrade: the client leaves after its connection was handed over.
#[test_case(Leaving::Fin)]
#[test_case(Leaving::Reset)]
fn requests_of_clients_that_have_left_are_not_sent_by_a_successor(leaving: Leaving) {
    let proxy = ProxyHarness::with_admin_http(1);
    let (request_start, request_end) = OPEN_LINE.split_at(8);
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| proxy.connect(request_start)).collect();
    let (second, _watch) = proxy.start_ready_process();
    sleep(Duration::from_millis(300));
    second.send_signal("STOP");
    for mut client in clients.drain(..) {
        client.send(request_end);
        leaving.leave(client);
    }
    second.send_signal("CONT");
    proxy.assert_no_dial();
}

/// Picture (c), first half: lines of a client that reset its connection were sent on to its server afterwards.
#[test]
fn lines_of_a_client_that_has_reset_its_connection_are_not_sent_on() {
    let proxy = ProxyHarness::new(1);
    let (mut client, mut server) = proxy.open_session();
    proxy.send_signal("STOP");
    client.send(&"late\r\n".repeat(LINES));
    Leaving::Reset.leave(client);
    proxy.send_signal("CONT");
    assert_eq!(server.read_line(), "RST");
}

/// The same where the client resets its connection while its session is handed over.
#[test]
fn lines_of_a_client_that_resets_during_a_handover_are_not_sent_on() {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let (predecessor, _successor) = TestPredecessor::of_the_present_build(&mut proxy);
    predecessor
        .link
        .send(&HotRestartMessage::OpenDescriptors(2));
    let lines = "late\r\n".repeat(LINES);
    let mut server = predecessor.offer_session_of_gone_client(lines.as_bytes());
    assert_eq!(server.read_line(), "RST");
}
