//! Sessions between scripted clients and servers: greetings, attempts, forwarding and ends.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use support::{LineConnection, OPEN_LINE, ProxyHarness, ProxyOptions, SETTINGS};
use test_case::test_case;

#[test_case(b"HELLO\r\n", true; "unknown word")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=x\r\n", true; "bad wait")]
#[test_case(b"OPEN 1 2 c=feed,t=acme\r\n", true; "no wait")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=99999999999999999999999\r\n", true; "wait above one hour")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=100\r\nmore\r\n", true; "more than one line")]
#[test_case(b"OPEN 1 zz c=feed,t=acme,d=100\r\n", true; "bad key")]
#[test_case(b"OPEN 1 2 c=none,t=acme,d=100\r\n", true; "unknown listener")]
#[test_case(b"OPEN 1 2 c=feed,t=none,d=100\r\n", true; "unknown tenant")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=100\n", true; "line feed alone")]
#[test_case(b"OPEN \xff\xfe 2 c=feed,t=acme,d=100\r\n", true; "not text")]
#[test_case(b"OPEN 1 2 c=feed", false; "incomplete")]
#[test_case(&[b'x'; 5000], true; "too long")]
fn an_invalid_first_line_gets_one_error_line_and_a_close(text: &[u8], keeps_write_side_open: bool) {
    let proxy = ProxyHarness::new(1);
    let mut client = proxy.connect("");
    client.0.get_mut().write_all(text).unwrap();
    if !keeps_write_side_open {
        client.0.get_mut().shutdown(Shutdown::Write).unwrap();
    }
    assert_eq!([client.read_line(), client.read_line()], ["ERR", "FIN"]);
    proxy.assert_no_pending_dial("the request was forwarded");
}

#[test]
fn a_request_with_an_id_in_use_and_data_before_the_response_are_never_forwarded() {
    let proxy = ProxyHarness::new(1);
    let line = "OPEN 1 2 c=feed,t=acme,d=2000\r\n";
    let mut first = proxy.connect(line);
    let (mut server, _) = proxy.accept_at(0);
    let mut second = proxy.connect(line);
    assert_eq!([second.read_line(), second.read_line()], ["ERR", "FIN"]);
    first.send("early\r\n");
    assert_eq!(
        [first.read_line(), first.read_line(), server.read_line()],
        ["ERR", "FIN", "FIN"]
    );
    proxy.assert_no_pending_dial("the session was retried");
    // The server has had the first request, so its id must not run again.
    let mut again = proxy.connect(line);
    assert_eq!([again.read_line(), again.read_line()], ["ERR", "FIN"]);
    proxy.assert_no_pending_dial("an id ran twice");
    let mut later = proxy.connect(&line.replace("OPEN 1 ", "OPEN 3 "));
    proxy.accept_at(0).0.send("UP r\r\n");
    assert_eq!(later.read_line(), "UP r");
}

/// The client wait (`d`) in a request line, in milliseconds.
fn wait_ms(line: &str) -> u64 {
    let (_, value) = line.split_once("d=").unwrap();
    value.split(',').next().unwrap().parse().unwrap()
}

// The response of the server to each dial (empty: it closes the connection), the line that the client receives, and the
// most dials allowed.
#[test_case("feed", &["UP r9\r\n"], "UP r9", 1; "opened")]
#[test_case("feed", &["BUSY\r\n", "UP r9\r\n"], "UP r9", 2; "busy, then opened")]
#[test_case("feed", &["ERR\r\n", "UP r9\r\n"], "UP r9", 2; "error, then opened")]
#[test_case("feed", &["", "UP r9\r\n"], "UP r9", 2; "closed, then opened")]
#[test_case("feed", &["what\r\n", "UP r9\r\n"], "UP r9", 2; "unknown response, then opened")]
#[test_case("feed", &["BUSY\r\n", "BUSY\r\n"], "BUSY 1000", 2; "busy twice")]
#[test_case("order", &["BUSY\r\n", "UP r9\r\n"], "UP r9", 2; "not idempotent, not executed")]
#[test_case("order", &["ERR\r\n"], "ERR", 1; "not idempotent, possibly executed")]
#[test_case("order", &[""], "ERR", 1; "not idempotent, connection closed")]
#[test_case("order", &["MOVE\r\n"], "ERR", 1; "not idempotent, moved")]
fn a_client_gets_the_outcome_of_its_last_attempt(
    listener: &str,
    server_responses: &[&str],
    client_receives: &str,
    max_dials: usize,
) {
    let proxy = ProxyHarness::new(1);
    let mut client = proxy.connect(&OPEN_LINE.replace("feed", listener));
    let mut open_dials = Vec::new();
    for response in server_responses {
        let (mut server, line) = proxy.accept_at(0);
        let wait = wait_ms(&line);
        let expected_line = OPEN_LINE
            .trim_end()
            .replace("feed", listener)
            .replace("d=2000", &format!("d={wait}"));
        // The first 21 bytes are `OPEN ` and the id, which differs for each client.
        assert!(
            line[21..] == expected_line[21..] && wait > 300 && wait < 2000,
            "{line}"
        );
        server.send(response);
        open_dials.extend(Some(server).filter(|_| !response.is_empty()));
    }
    assert_eq!(client.read_line(), client_receives);
    std::thread::sleep(Duration::from_millis(100));
    assert!(
        proxy.servers[0].accept().is_err() && open_dials.len() <= max_dials,
        "too many dials"
    );
}

#[test]
fn a_dial_without_response_times_out_and_is_closed_before_the_next_begins() {
    let proxy = ProxyHarness::new(1);
    let mut client = proxy.connect(OPEN_LINE);
    let (mut first, _) = proxy.accept_at(0);
    let (mut second, _) = proxy.accept_at(0);
    assert_eq!(first.read_line(), "FIN", "two dials were open at once");
    drop(client.0.get_mut().shutdown(Shutdown::Both));
    assert_eq!(second.read_line(), "FIN", "the dial outlasted its client");
}

#[test]
fn the_request_of_a_restored_session_reaches_its_server_unchanged() {
    let proxy = ProxyHarness::new(3);
    let line = "OPEN 1 2 c=feed,t=acme,d=99999999999,at=s-2\r\n";
    let mut client = proxy.connect(line);
    let (mut server, received_line) = proxy.accept_at(2);
    assert_eq!(received_line, line.trim_end());
    server.send("BUSY\r\n");
    let (mut server, _) = proxy.accept_at(2);
    server.send("UP r2\r\n");
    assert_eq!(client.read_line(), "UP r2");
}

#[test]
fn lines_are_forwarded_complete_in_both_directions() {
    let proxy = ProxyHarness::new(1);
    let (mut client, mut server) = proxy.open_session();
    server.send("one\r\ntw");
    assert_eq!(client.read_line(), "one");
    assert!(client.is_quiet(), "half a line was forwarded");
    server.send("o\r\nLOAD 12.5\r\n");
    assert_eq!(
        [client.read_line(), client.read_line()],
        ["two", "LOAD 12.5"]
    );
    client.send("a\r\nb\r\n");
    assert_eq!([server.read_line(), server.read_line()], ["a", "b"]);
}

// Which side closes its connection and how, and what the other side receives.
#[test_case(true, "", "FIN", &["FIN"]; "client closes")]
#[test_case(true, "", "RST", &["RST"]; "client resets")]
#[test_case(false, "", "FIN", &["FIN"]; "server closes")]
#[test_case(false, "", "RST", &["RST"]; "server resets")]
#[test_case(false, "BYE x0=0.5\r\n", "FIN", &["BYE x0=0.5", "FIN"]; "server closes after BYE")]
#[test_case(false, "MOVE\r\n", "FIN", &["MOVE", "FIN"]; "server closes after MOVE")]
#[test_case(false, "last\r\nincompl", "FIN", &["last", "FIN"]; "server closes within a line")]
fn a_close_is_forwarded_as_a_close_and_a_reset_as_a_reset(
    client_closes: bool,
    last_text: &str,
    how: &str,
    expected: &[&str],
) {
    let proxy = ProxyHarness::new(1);
    let (client, server) = proxy.open_session();
    let (mut closing, mut other) = if client_closes {
        (client, server)
    } else {
        (server, client)
    };
    closing.send(last_text);
    let started_at = Instant::now();
    closing.close(how, &mut other);
    let received: Vec<String> = expected.iter().map(|_| other.read_line()).collect();
    assert_eq!(received, expected);
    assert!(started_at.elapsed() < Duration::from_secs(1));
}

#[test_case(&"x".repeat(5000); "too long")]
#[test_case("no carriage return\n"; "line feed alone")]
fn an_invalid_line_in_an_open_session_is_not_forwarded(text: &str) {
    let proxy = ProxyHarness::new(1);
    let (mut client, mut server) = proxy.open_session();
    client.send(text);
    assert_eq!(
        [client.read_line(), client.read_line(), server.read_line()],
        ["ERR", "FIN", "FIN"]
    );
}

#[test]
fn a_client_of_an_unresponsive_server_is_migrated() {
    let proxy = ProxyHarness::new(1);
    let (mut client, _server) = proxy.open_session();
    client.send("ping\r\n");
    let started_at = Instant::now();
    assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
    assert!(
        (3..6).contains(&started_at.elapsed().as_secs()),
        "{:?}",
        started_at.elapsed()
    );
}

#[test]
fn a_network_delay_migrates_no_client() {
    let settings = "\"specifics\":{\"message_aim\":[60000.0,60000.0]},\"weights\"";
    let settings = SETTINGS.replace("\"weights\"", settings);
    let proxy = ProxyOptions::new(1).settings(&settings).start();
    let mut sessions: Vec<(LineConnection, LineConnection)> =
        (0..10).map(|_| proxy.open_session()).collect();
    sessions[0].0.send("ping\r\n");
    assert_eq!(sessions[0].1.read_line(), "ping");
    std::thread::sleep(Duration::from_millis(200));
    sessions[0].1.send("pong\r\n");
    assert_eq!(sessions[0].0.read_line(), "pong");
    assert!(
        sessions.iter_mut().all(|(client, _)| client.is_quiet()),
        "the network delay was attributed to the server"
    );
}

#[test]
fn a_slow_client_exerts_backpressure_and_loses_nothing() {
    let proxy = ProxyHarness::new(1);
    let (mut client, server) = proxy.open_session();
    let sender = std::thread::spawn(move || {
        let LineConnection(mut stream) = server;
        let text: String = (0..80_000).map(|n| format!("{n:0>200}\r\n")).collect();
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        stream
    });
    std::thread::sleep(Duration::from_millis(600));
    assert!(
        !sender.is_finished(),
        "16 MB are buffered for a client that does not read"
    );
    // The blocked server cannot answer this ping, but must not count as unresponsive.
    client.send("ping\r\n");
    std::thread::sleep(Duration::from_millis(4_600));
    assert!((0..80_000).all(|n| client.read_line() == format!("{n:0>200}")));
    drop(sender.join().unwrap());
}
