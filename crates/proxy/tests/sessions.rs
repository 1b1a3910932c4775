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
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=99999999999999999999999\r\n", true; "a wait longer than any client means")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=100\r\nmore\r\n", true; "more than one line")]
#[test_case(b"OPEN 1 zz c=feed,t=acme,d=100\r\n", true; "bad key")]
#[test_case(b"OPEN 1 2 c=none,t=acme,d=100\r\n", true; "unknown listener")]
#[test_case(b"OPEN 1 2 c=feed,t=none,d=100\r\n", true; "unknown tenant")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=100\n", true; "line feed alone")]
#[test_case(b"OPEN \xff\xfe 2 c=feed,t=acme,d=100\r\n", true; "not text")]
#[test_case(b"OPEN 1 2 c=feed", false; "incomplete")]
#[test_case(&[b'x'; 5000], true; "too long")]
fn a_bad_first_line_is_answered_with_one_error_and_a_close(text: &[u8], stays: bool) {
    let proxy = ProxyHarness::new(1);
    let mut client = proxy.connect("");
    client.0.get_mut().write_all(text).unwrap();
    if !stays {
        client.0.get_mut().shutdown(Shutdown::Write).unwrap();
    }
    assert_eq!([client.read_line(), client.read_line()], ["ERR", "FIN"]);
    proxy.assert_no_pending_dial("it was forwarded");
}

#[test]
fn a_second_request_with_an_open_id_and_lines_before_the_answer_are_never_forwarded() {
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
    proxy.assert_no_pending_dial("it was dialled again");
    let mut again = proxy.connect(line);
    proxy.accept_at(0).0.send("UP r\r\n");
    assert_eq!(again.read_line(), "UP r");
}

/// The wait in a request, in milliseconds.
fn wait_ms(line: &str) -> u64 {
    let (_, value) = line.split_once("d=").unwrap();
    value.split(',').next().unwrap().parse().unwrap()
}

// What servers answer to each dial, what the client receives and how many dials there are.
#[test_case("feed", &["UP r9\r\n"], "UP r9", 1; "up")]
#[test_case("feed", &["BUSY\r\n", "UP r9\r\n"], "UP r9", 2; "full, then up")]
#[test_case("feed", &["ERR\r\n", "UP r9\r\n"], "UP r9", 2; "erred, then up")]
#[test_case("feed", &["", "UP r9\r\n"], "UP r9", 2; "ended, then up")]
#[test_case("feed", &["what\r\n", "UP r9\r\n"], "UP r9", 2; "unknown answer, then up")]
#[test_case("feed", &["BUSY\r\n", "BUSY\r\n"], "BUSY 1000", 2; "full twice")]
#[test_case("order", &["BUSY\r\n", "UP r9\r\n"], "UP r9", 2; "not idempotent, and never ran")]
#[test_case("order", &["ERR\r\n"], "ERR", 1; "not idempotent, and may have run")]
#[test_case("order", &[""], "ERR", 1; "not idempotent, and its connection ended")]
#[test_case("order", &["MOVE\r\n"], "ERR", 1; "not idempotent, and moved")]
fn a_client_gets_the_outcome_of_its_last_attempt(
    listener: &str,
    answers: &[&str],
    receives: &str,
    dials: usize,
) {
    let proxy = ProxyHarness::new(1);
    let mut client = proxy.connect(&OPEN_LINE.replace("feed", listener));
    let mut open = Vec::new();
    for answer in answers {
        let (mut server, line) = proxy.accept_at(0);
        let wait = wait_ms(&line);
        let unchanged = OPEN_LINE
            .trim_end()
            .replace("feed", listener)
            .replace("d=2000", &format!("d={wait}"));
        assert!(
            line[21..] == unchanged[21..] && wait > 300 && wait < 2000,
            "{line}"
        );
        server.send(answer);
        open.extend(Some(server).filter(|_| !answer.is_empty()));
    }
    assert_eq!(client.read_line(), receives);
    std::thread::sleep(Duration::from_millis(100));
    assert!(
        proxy.servers[0].accept().is_err() && open.len() <= dials,
        "more dials"
    );
}

#[test]
fn a_silent_dial_times_out_and_is_closed_before_the_next_begins() {
    let proxy = ProxyHarness::new(1);
    let mut client = proxy.connect(OPEN_LINE);
    let (mut first, _) = proxy.accept_at(0);
    let (mut second, _) = proxy.accept_at(0);
    assert_eq!(first.read_line(), "FIN", "never two at once");
    drop(client.0.get_mut().shutdown(Shutdown::Both));
    assert_eq!(second.read_line(), "FIN", "the client has left");
}

#[test]
fn a_session_open_before_the_start_goes_to_its_server_unchanged() {
    let proxy = ProxyHarness::new(3);
    let line = "OPEN 1 2 c=feed,t=acme,d=99999999999,at=s-2\r\n";
    let mut client = proxy.connect(line);
    let (mut server, first) = proxy.accept_at(2);
    assert_eq!(first, line.trim_end());
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

// Which side ends and how, and what the other receives.
#[test_case(true, "", "FIN", &["FIN"]; "client in good order")]
#[test_case(true, "", "RST", &["RST"]; "client by reset")]
#[test_case(false, "", "FIN", &["FIN"]; "server in good order")]
#[test_case(false, "", "RST", &["RST"]; "server by reset")]
#[test_case(false, "BYE x0=0.5\r\n", "FIN", &["BYE x0=0.5", "FIN"]; "server that has served")]
#[test_case(false, "MOVE\r\n", "FIN", &["MOVE", "FIN"]; "server that drains")]
#[test_case(false, "last\r\nincompl", "FIN", &["last", "FIN"]; "server within a line")]
fn the_end_of_a_connection_is_forwarded_in_kind(
    client_ends: bool,
    last_text: &str,
    how: &str,
    receives: &[&str],
) {
    let proxy = ProxyHarness::new(1);
    let (client, server) = proxy.open_session();
    let (mut ending, mut other) = if client_ends {
        (client, server)
    } else {
        (server, client)
    };
    ending.send(last_text);
    let begin = Instant::now();
    ending.close(how, &mut other);
    let received: Vec<String> = receives.iter().map(|_| other.read_line()).collect();
    assert_eq!(received, receives);
    assert!(begin.elapsed() < Duration::from_secs(1));
}

#[test_case(&"x".repeat(5000); "too long")]
#[test_case("no carriage return\n"; "line feed alone")]
fn a_bad_line_in_an_open_session_is_not_forwarded(text: &str) {
    let proxy = ProxyHarness::new(1);
    let (mut client, mut server) = proxy.open_session();
    client.send(text);
    assert_eq!(
        [client.read_line(), client.read_line(), server.read_line()],
        ["ERR", "FIN", "FIN"]
    );
}

#[test]
fn a_client_of_a_silent_server_is_migrated() {
    let proxy = ProxyHarness::new(1);
    let (mut client, _server) = proxy.open_session();
    client.send("ping\r\n");
    let begin = Instant::now();
    assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
    assert!(
        (3..6).contains(&begin.elapsed().as_secs()),
        "{:?}",
        begin.elapsed()
    );
}

#[test]
fn a_line_delayed_by_the_network_migrates_nobody() {
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
        "the network was taken for the server"
    );
}

#[test]
fn a_slow_client_slows_its_server_and_loses_nothing() {
    let proxy = ProxyHarness::new(1);
    let (mut client, server) = proxy.open_session();
    let sender = std::thread::spawn(move || {
        let LineConnection(mut stream) = server;
        let text: String = (0..80_000).map(|n| format!("{n:0>200}\r\n")).collect();
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        stream
    });
    std::thread::sleep(Duration::from_millis(600));
    assert!(!sender.is_finished(), "something buffers sixteen megabytes");
    // Its server cannot answer meanwhile, but is not silent.
    client.send("ping\r\n");
    std::thread::sleep(Duration::from_millis(4_600));
    assert!((0..80_000).all(|n| client.read_line() == format!("{n:0>200}")));
    drop(sender.join().unwrap());
}
