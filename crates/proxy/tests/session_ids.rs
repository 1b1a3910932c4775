//! Requests of clients that have left, and ids that come again: no request is sent for a client that is gone, and no id runs
//! twice, whichever process it comes to.

mod support;

use asterramp_hot_restart::HotRestartMessage;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;
use support::{
    LineConnection, OPEN_LINE, OPEN_LINE_SESSION_ID, ProxyHarness, ProxyOptions, TIMEOUT,
    TestPredecessor,
};
use test_case::test_case;

/// The session id in [`request`].
const SESSION_ID: &str = "00000000000000aa";
/// Clients that leave at once.
const CLIENTS: usize = 40;
/// Lines that a client of an open session sends before it leaves.
const LINES: usize = 50;

/// A request of this listener with the id [`SESSION_ID`].
fn request(listener: &str) -> String {
    OPEN_LINE
        .replace(OPEN_LINE_SESSION_ID, SESSION_ID)
        .replace("c=feed", &format!("c={listener}"))
}

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

/// When the first client of an id leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Left {
    BeforeUp,
    AfterUp,
}

/// Sends a request with [`SESSION_ID`], which is written to the server, and leaves. The server ends the session then.
fn run_once_and_leave(proxy: &ProxyHarness, listener: &str, left: Left) {
    run_line_once_and_leave(proxy, &request(listener), left);
}

/// The same with another request.
fn run_line_once_and_leave(proxy: &ProxyHarness, line: &str, left: Left) {
    let mut client = proxy.connect(line);
    let (mut server, _) = proxy.accept_at(0);
    if left == Left::AfterUp {
        server.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
    }
    Leaving::Fin.leave(client);
    if left == Left::AfterUp {
        assert_eq!(server.read_line(), "FIN");
    }
}

/// Checks that a request with [`SESSION_ID`] is rejected without being sent to a server.
fn assert_does_not_run_again(proxy: &ProxyHarness, listener: &str) {
    let mut again = proxy.connect(&request(listener));
    proxy.assert_no_dial();
    assert_eq!(again.read_line(), "ERR");
}

/// Picture (c), second half: an id ran twice when it came again after its client had left.
#[test_case("feed", Left::BeforeUp, 50)]
#[test_case("feed", Left::AfterUp, 50)]
#[test_case("order", Left::BeforeUp, 50)]
#[test_case("order", Left::AfterUp, 50)]
#[test_case("feed", Left::BeforeUp, 1_000)]
#[test_case("feed", Left::AfterUp, 1_000)]
#[test_case("order", Left::BeforeUp, 1_000)]
#[test_case("order", Left::AfterUp, 1_000)]
fn an_id_does_not_run_again_after_its_client_has_left(listener: &str, left: Left, pause_ms: u64) {
    let proxy = ProxyHarness::new(1);
    run_once_and_leave(&proxy, listener, left);
    sleep(Duration::from_millis(pause_ms));
    assert_does_not_run_again(&proxy, listener);
}

/// Picture (c), second half: an id ran twice when it came again at the other process of an upgrade, whether its client had
/// left before the upgrade or during it.
#[test_case("feed", Left::BeforeUp, "before")]
#[test_case("feed", Left::AfterUp, "before")]
#[test_case("order", Left::BeforeUp, "before")]
#[test_case("order", Left::AfterUp, "before")]
#[test_case("feed", Left::BeforeUp, "during")]
#[test_case("order", Left::BeforeUp, "during")]
fn an_id_does_not_run_again_at_the_successor(listener: &str, left: Left, when: &str) {
    let proxy = ProxyHarness::with_admin_http(1);
    if when == "before" {
        run_once_and_leave(&proxy, listener, left);
        let (_second, _watch) = proxy.start_ready_process();
        return assert_does_not_run_again(&proxy, listener);
    }
    let client = proxy.connect(&request(listener));
    let (_server, _) = proxy.accept_at(0);
    let (_second, _watch) = proxy.start_ready_process();
    Leaving::Fin.leave(client);
    sleep(Duration::from_millis(50));
    assert_does_not_run_again(&proxy, listener);
}

/// The third process of two upgrades: the second passes on what it was told by the first.
#[test]
fn an_id_does_not_run_again_at_the_successor_of_the_successor() {
    let mut proxy = ProxyHarness::with_admin_http(1);
    run_once_and_leave(&proxy, "order", Left::AfterUp);
    let (_second, _watch) = proxy.start_ready_process();
    proxy.send_signal("TERM");
    proxy.wait_for_exit();
    let (_third, _watch) = proxy.start_ready_process();
    assert_does_not_run_again(&proxy, "order");
}

/// An id ran twice when its first process was killed while it was open there.
#[test]
fn an_id_does_not_run_again_after_the_predecessor_was_killed() {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let _client = proxy.connect(&request("order"));
    let (_server, _) = proxy.accept_at(0);
    let (_second, _watch) = proxy.start_ready_process();
    sleep(Duration::from_millis(300));
    proxy.process.kill().unwrap();
    proxy.process.wait().unwrap();
    sleep(Duration::from_millis(50));
    assert_does_not_run_again(&proxy, "order");
}

/// Checks that a once-only request with [`SESSION_ID`] is sent to the server and opened.
fn assert_runs(proxy: &ProxyHarness) {
    let mut client = proxy.connect(&request("order"));
    let (mut server, _) = proxy.accept_at(0);
    server.send("UP r1\r\n");
    assert_eq!(client.read_line_within(TIMEOUT).as_deref(), Some("UP r1"));
}

/// Rejects both dials that the settings allow.
fn reject_all_dials(proxy: &ProxyHarness) {
    for _ in 0..2 {
        let (mut server, _) = proxy.accept_at(0);
        server.send("BUSY\r\n");
    }
}

/// An id of which it is certain that it never ran may come again: its server rejected it, or nothing was sent.
#[test_case("BUSY"; "the server rejected it")]
#[test_case("close"; "the client left before it was sent")]
fn an_id_that_never_ran_may_come_again(why: &str) {
    let proxy = ProxyHarness::new(1);
    if why == "BUSY" {
        let mut client = proxy.connect(&request("order"));
        reject_all_dials(&proxy);
        assert!(client.read_line().starts_with("BUSY"));
    } else {
        proxy.send_signal("STOP");
        Leaving::Fin.leave(proxy.connect(&request("order")));
        proxy.send_signal("CONT");
        proxy.assert_no_dial();
    }
    assert_runs(&proxy);
}

/// `BUSY` says that trying again is harmless, also with the same id: the proxy sends it only where the listener allows that.
#[test]
fn an_id_may_come_again_after_busy() {
    let proxy = ProxyHarness::new(1);
    let mut client = proxy.connect(&request("feed"));
    // The server may have run it the first time.
    for response in ["ERR\r\n", "BUSY\r\n"] {
        proxy.accept_at(0).0.send(response);
    }
    let mut answer = Some(client.read_line());
    let mut again = client;
    // The proxy spares the server for a while, and rejects the request again.
    while let Some(busy) = answer {
        assert!(busy.starts_with("BUSY"), "{busy}");
        sleep(Duration::from_millis(100));
        again = proxy.connect(&request("feed"));
        answer = again.read_line_within(Duration::from_millis(300));
    }
    proxy.accept_at(0).0.send("UP r1\r\n");
    assert_eq!(again.read_line_within(TIMEOUT).as_deref(), Some("UP r1"));
}

/// The same at the successor: what the predecessor reports as ended there has surely never run.
#[test]
fn an_id_that_never_ran_may_come_again_at_the_successor() {
    let proxy = ProxyHarness::with_admin_http(1);
    let mut client = proxy.connect(&request("order"));
    let (mut server, _) = proxy.accept_at(0);
    let (_second, _watch) = proxy.start_ready_process();
    server.send("BUSY\r\n");
    let (mut server, _) = proxy.accept_at(0);
    server.send("BUSY\r\n");
    assert!(client.read_line().starts_with("BUSY"));
    sleep(Duration::from_millis(50));
    assert_runs(&proxy);
}

/// What remembers ids is bounded: where its memory is used up, the oldest ids are forgotten.
#[test]
fn the_oldest_ids_are_forgotten_once_their_memory_is_used_up() {
    // 48 MB leave 1.5 MiB for ids, which are at most 4 KiB long.
    const MEMORY_MB: usize = 48;
    const IDS: usize = 450;
    const ID_BYTES: usize = 3_900;
    let proxy = ProxyOptions::new(1).memory_mb(MEMORY_MB).start();
    run_once_and_leave(&proxy, "feed", Left::AfterUp);
    assert_does_not_run_again(&proxy, "feed");
    for index in 0..IDS {
        let id = format!("{index:0>ID_BYTES$}");
        let line = OPEN_LINE.replace(OPEN_LINE_SESSION_ID, &id);
        run_line_once_and_leave(&proxy, &line, Left::AfterUp);
    }
    run_once_and_leave(&proxy, "feed", Left::AfterUp);
}

/// Clients of [`no_id_runs_twice_whatever_its_clients_do`], each with ids of its own.
const RESTLESS_CLIENTS: u64 = 8;
/// Ids of each of them.
const IDS_OF_EACH_CLIENT: u64 = 8;
/// How often each id is sent.
const REQUESTS_OF_EACH_ID: u64 = 4;

/// How often a server has had a request with each id.
type RequestCounts = Arc<Mutex<HashMap<String, u32>>>;

/// A server that counts the requests with each id, answers after up to 100 ms, and stays until the other side ends.
fn serve_and_count(listener: &TcpListener) -> RequestCounts {
    let counts = RequestCounts::default();
    let counting = counts.clone();
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || {
        for (nth, stream) in (0..).zip(listener.incoming().flatten()) {
            let counts = counting.clone();
            std::thread::spawn(move || {
                let mut server = LineConnection::from_stream(stream);
                let line = server.read_line();
                if let Some(id) = line.split(' ').nth(1) {
                    *counts.lock().unwrap().entry(id.to_string()).or_default() += 1;
                }
                sleep(Duration::from_millis(nth * 37 % 100));
                let _ = server.0.get_mut().write_all(b"UP r1\r\n");
                while !matches!(server.read_line().as_str(), "FIN" | "RST") {}
            });
        }
    });
    counts
}

/// Sends each id of one client several times, leaving after up to 150 ms and coming again 0.05 to 1 s later. The times are
/// drawn from the client's number.
fn send_ids_again_and_again(address: SocketAddr, client: u64) {
    let mut seed = client + 1;
    let mut draw = |below: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) % below
    };
    for nth in 0..IDS_OF_EACH_CLIENT {
        let line = request("order").replace(SESSION_ID, &format!("{client:08x}{nth:08x}"));
        for _ in 0..REQUESTS_OF_EACH_ID {
            let Ok(stream) = TcpStream::connect(address) else {
                continue;
            };
            let mut connection = LineConnection::from_stream(stream);
            let _ = connection.0.get_mut().write_all(line.as_bytes());
            sleep(Duration::from_millis(draw(150)));
            if draw(2) == 0 {
                reset(connection.0.into_inner());
            } else {
                drop(connection);
            }
            sleep(Duration::from_millis(
                50 + draw(if nth % 4 == 0 { 950 } else { 100 }),
            ));
        }
    }
}

/// Picture (c) as a whole: each request that the server saw against each that the clients may have made, over an upgrade.
#[test]
fn no_id_runs_twice_whatever_its_clients_do() {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let counts = serve_and_count(&proxy.servers[0]);
    let address = proxy.listen_address;
    let clients: Vec<_> = (0..RESTLESS_CLIENTS)
        .map(|client| std::thread::spawn(move || send_ids_again_and_again(address, client)))
        .collect();
    sleep(Duration::from_millis(1_500));
    let (_second, _watch) = proxy.start_ready_process();
    proxy.send_signal("TERM");
    proxy.wait_for_exit();
    for client in clients {
        client.join().unwrap();
    }
    let counts = counts.lock().unwrap();
    let twice: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    println!(
        "{} ids ran, {} of them twice or more",
        counts.len(),
        twice.len()
    );
    assert!(twice.is_empty(), "{twice:?}");
    assert!(counts.len() as u64 > RESTLESS_CLIENTS * IDS_OF_EACH_CLIENT / 2);
}
