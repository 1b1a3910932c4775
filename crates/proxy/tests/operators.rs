//! Operators' calls, figures, drains that are called for, and processes that replace each other.
#![allow(clippy::too_many_lines)] // Not yet brought to the workspace lints.

mod support;

use asterramp_hot_restart::{
    BufferedBytes, EndpointRecord, EndpointRecordState, HotRestartMessage, MAX_MESSAGE_BYTES,
    SessionOffer,
};
use asterramp_proxy::protocol::http_server::{HttpRequest, HttpStatus, parse};
use asterramp_proxy::transport::{seqpacket, socket};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fd::{AsFd, OwnedFd};
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};
use support::{LineConnection, OPEN_LINE, ProxyHarness, http_call, read_response};
use test_case::test_case;

const GOOD: &str = "GET /ops/stats?of=all HTTP/1.1\r\nHost: a\r\nAccept: */*\r\n\r\n";

#[test_case("GET / HTTP/1.1\r\n\r\n", 400; "no host")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n", 400; "two hosts")]
#[test_case("GET / HTTP/1.0\r\nHost: a\r\n\r\n", 505; "another version")]
#[test_case("GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400; "four words")]
#[test_case("get / HTTP/1.1\r\nHost: a\r\n\r\n", 400; "no method")]
#[test_case("GET ops HTTP/1.1\r\nHost: a\r\n\r\n", 400; "no path")]
#[test_case("GET / HTTP/1.1\r\nHost a\r\n\r\n", 400; "no colon")]
#[test_case("GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400; "a blank in a name")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400; "no length")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400; "two lengths")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413; "long body")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", 411; "chunks")]
#[test_case("GET /ops/nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404; "unknown path")]
#[test_case("POST /ops/stats HTTP/1.1\r\nHost: a\r\n\r\n", 405; "wrong method")]
#[test_case("GET /ops/drain/start HTTP/1.1\r\nHost: a\r\n\r\n", 405; "a drain is posted")]
#[test_case(GOOD, 200; "good")]
fn calls_get_one_answer_and_a_close(says: &str, status: u16) {
    let world = ProxyHarness::with_admin_http(1);
    let mut stream = TcpStream::connect(world.admin_http).unwrap();
    // A second call behind it is not looked at.
    stream.write_all([says, GOOD].concat().as_bytes()).unwrap();
    assert_eq!(read_response(stream).0, status);
}

#[test]
fn a_call_is_read_once_it_is_whole_and_not_before() {
    let text = "POST /ops/drain/stop HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    (0..text.len()).for_each(|n| assert_eq!(parse(&text.as_bytes()[..n]), Ok(None), "cut at {n}"));
    assert_eq!(
        parse(text.as_bytes()),
        Ok(Some(HttpRequest {
            method: "POST",
            path: "/ops/drain/stop"
        }))
    );
    assert_eq!(parse(&[b'x'; 5_000]), Err(HttpStatus::HeaderFieldsTooLarge));
    assert_eq!(
        parse(b"GET \xff HTTP/1.1\r\nHost: a\r\n\r\n"),
        Err(HttpStatus::BadRequest("the head is not text"))
    );
}

#[test]
fn callers_that_say_little_or_never_read_keep_nobody_out() {
    let world = ProxyHarness::with_admin_http(1);
    let caller = |says: &str| {
        let mut stream = TcpStream::connect(world.admin_http).unwrap();
        stream.set_read_timeout(Some(support::TIMEOUT)).unwrap();
        stream.write_all(says.as_bytes()).unwrap();
        stream
    };
    let _clients: Vec<LineConnection> = (0..400).map(|_| world.connect("")).collect();
    let half = caller("GET /ops/stats HT");
    let _idle: Vec<TcpStream> = (0..60)
        .map(|n| caller(["", "GET /ops/re", GOOD][n % 3]))
        .collect();
    let since = Instant::now();
    assert_eq!(http_call(world.admin_http, "GET /ops/readiness").0, 200);
    assert!(
        since.elapsed() < Duration::from_millis(500),
        "{:?}",
        since.elapsed()
    );
    assert_eq!(read_response(half).0, 0, "the one idle longest goes first");
    assert_eq!(
        read_response(caller("GET /ops/stats HT")).0,
        408,
        "half a call meets its deadline"
    );
    let cut = caller("GET /ops/stats HT");
    cut.shutdown(Shutdown::Write).unwrap();
    assert_eq!(read_response(cut).0, 400);
}

fn figure(world: &ProxyHarness, name: &str) -> f64 {
    let (status, text) = http_call(world.admin_http, "GET /ops/stats");
    let found = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    assert_eq!(status, 200);
    found.unwrap_or_else(|| panic!("no {name} in {text}"))
}

fn ends(world: &ProxyHarness, tier: &str) -> [f64; 3] {
    ["success", "busy", "failure"].map(|code| {
        figure(
            world,
            &format!("svc_calls_total{{tier=\"{tier}\",code=\"{code}\"}}"),
        )
    })
}

fn until(what: &str, so: impl Fn() -> bool) {
    let end = Instant::now() + support::TIMEOUT;
    while !so() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// How it ends, what it counts as, and how many lines a server was written whole.
#[test_case("served", [1.0, 0.0, 0.0], 1.0)]
#[test_case("client resets", [1.0, 0.0, 0.0], 1.0)]
#[test_case("moved", [1.0, 0.0, 0.0], 1.0)]
#[test_case("refused", [0.0, 1.0, 0.0], 2.0)]
#[test_case("left in set-up", [0.0, 0.0, 1.0], 1.0)]
#[test_case("spoke in set-up", [0.0, 0.0, 1.0], 1.0)]
fn every_session_counts_once_and_leaves_nothing_in_flight(
    how: &str,
    counts: [f64; 3],
    attempts: f64,
) {
    let world = ProxyHarness::with_admin_http(2);
    assert_eq!(
        (ends(&world, "feed"), ends(&world, "order")),
        ([0.0; 3], [0.0; 3]),
        "all stand from the start"
    );
    assert_eq!(
        (
            figure(&world, "svc_hosts_listed"),
            figure(&world, "svc_hosts_down")
        ),
        (2.0, 0.0)
    );
    assert_eq!(
        figure(&world, "svc_place_state{place=\"b\",state=\"whole\"}"),
        1.0
    );
    let mut client = world.connect(OPEN_LINE);
    let (mut server, _) = world.accept_at_any(&[0, 1]);
    assert_eq!(
        (
            figure(&world, "svc_inflight"),
            figure(&world, "svc_backend_calls_total")
        ),
        (1.0, 1.0)
    );
    let up = |client: &mut LineConnection, server: &mut LineConnection| {
        server.send("UP r\r\n");
        assert_eq!(client.read_line(), "UP r");
    };
    match how {
        "served" => {
            up(&mut client, &mut server);
            server.send("BYE\r\n");
        }
        "client resets" => {
            up(&mut client, &mut server);
            client.close("RST", &mut server);
        }
        "moved" => {
            up(&mut client, &mut server);
            assert_eq!(http_call(world.admin_http, "POST /ops/drain/start").0, 200);
            assert_eq!(client.read_line(), "MOVE");
        }
        "refused" => {
            server.send("BUSY\r\n");
            world.accept_at_any(&[0, 1]).0.send("BUSY\r\n");
            assert!(client.read_line().starts_with("BUSY"));
        }
        "left in set-up" => client.close("FIN", &mut server),
        _ => client.send("early\r\n"),
    }
    until(how, || figure(&world, "svc_inflight") == 0.0);
    assert_eq!(
        (ends(&world, "feed"), ends(&world, "order")),
        (counts, [0.0; 3])
    );
    assert_eq!(figure(&world, "svc_backend_calls_total"), attempts);
}

#[test]
fn a_drain_that_is_called_for_empties_the_proxy_in_time_and_is_taken_back() {
    let world = ProxyHarness::with_admin_http(1);
    let start = || http_call(world.admin_http, "POST /ops/drain/start").0;
    let stop = || http_call(world.admin_http, "POST /ops/drain/stop").0;
    let ready = || http_call(world.admin_http, "GET /ops/readiness").0;
    assert_eq!((stop(), ready()), (200, 200), "nothing to stop is a yes");
    let mut pairs: Vec<_> = (0..8).map(|_| world.open_session()).collect();
    // Its server says nothing, and it would wait for longer than the drain may take.
    let mut waits = world.connect(&OPEN_LINE.replace("d=2000", "d=60000"));
    let _silent = [world.accept_at(0), world.accept_at(0)];
    let (half, mut host) = world.open_session();
    host.send("hal");
    let since = Instant::now();
    assert_eq!((start(), start(), ready()), (200, 200, 503));
    assert_eq!(world.connect("PING\r\n").read_line(), "ERR");
    let late = world.open_session();
    for (client, _) in pairs.iter_mut().chain([&mut (half, late.1)]) {
        assert_eq!(
            [client.read_line(), client.read_line()],
            ["MOVE", "FIN"],
            "no line is cut, nobody cut off"
        );
    }
    assert_eq!(
        waits.read_line(),
        "ERR",
        "whoever waits at the deadline is answered"
    );
    assert!(
        since.elapsed() < Duration::from_secs(4),
        "{:?}",
        since.elapsed()
    );
    assert_eq!((stop(), stop(), ready()), (200, 200, 200));
    assert_eq!(world.connect("PING\r\n").read_line(), "PONG");
    // The places of all that were moved or answered are free again.
    (0..12).for_each(|_| drop(world.open_session()));
    let (mut stays, _server) = world.open_session();
    assert!(stays.is_quiet(), "no move is left over");
    world.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(
        (start(), stop(), ready()),
        (200, 503, 503),
        "it goes for good"
    );
}

#[test]
fn a_second_process_takes_over_the_door_the_strangers_and_what_stands() {
    let mut world = ProxyHarness::with_admin_http(2);
    let mut pairs: Vec<_> = (0..40).map(|_| world.open_session_at(&[0, 1])).collect();
    let mut stranger = world.connect("OPEN 00000000000000ff 1 c=feed,t=ac");
    // A line half sent, on both sides, and one that no one has answered.
    pairs[0].0.send("one\r\ntw");
    pairs[0].1.send("UPDATE 1\r\nUPDA");
    assert_eq!(
        (pairs[0].1.read_line(), pairs[0].0.read_line()),
        ("one".into(), "UPDATE 1".into())
    );
    let mut set_up = world.connect(OPEN_LINE);
    let (mut slow, _) = world.accept_at_any(&[0, 1]);
    let (second, _watch) = world.start_ready_process();
    pairs[0].0.send("o\r\n");
    pairs[0].1.send("TE 2\r\n");
    assert_eq!(
        (pairs[0].1.read_line(), pairs[0].0.read_line()),
        ("two".into(), "UPDATE 2".into())
    );
    world.send_signal("TERM");
    slow.send("UP late\r\n");
    assert_eq!(set_up.read_line(), "UP late", "set up by the elder");
    stranger.send("me,d=2000\r\n");
    let (mut server, _) = world.accept_at_any(&[0, 1]);
    server.send("UP s\r\n");
    assert_eq!(stranger.read_line(), "UP s");
    let (code, log) = world.wait_for_exit();
    assert!(
        code == Some(0) && log.contains("followed") && !log.contains("proxy-leaving sess"),
        "{log}"
    );
    pairs.extend([(set_up, slow), (stranger, server)]);
    for (n, (client, server)) in pairs.iter_mut().enumerate() {
        client.send(&format!("to {n}\r\n"));
        assert_eq!(server.read_line(), format!("to {n}"));
        server.send(&format!("from {n}\r\n"));
        assert_eq!(client.read_line(), format!("from {n}"), "nobody is moved");
    }
    assert_eq!(world.connect("PING\r\n").read_line(), "PONG");
    world.admin_http = second.admin_http;
    assert_eq!(figure(&world, "svc_inflight"), 42.0);
    assert_eq!(
        ends(&world, "feed")[0],
        1.0,
        "counts are of this process: the stranger's alone"
    );
    // And a third from the second.
    let (third, _watch) = world.start_ready_process();
    world.admin_http = third.admin_http;
    until("all are the third's", || {
        figure(&world, "svc_inflight") == 42.0
    });
    drop(second);
    for (client, server) in &mut pairs {
        client.send("on\r\n");
        assert_eq!(server.read_line(), "on");
    }
}

/// When the second process dies, or the first is told to go: what stands goes on or is moved, never cut off.
#[test_case("second killed before it serves")]
#[test_case("second killed as it serves")]
#[test_case("first told to go before the yes")]
fn a_broken_replacement_cuts_nobody_off(how: &str) {
    let world = ProxyHarness::with_admin_http(1);
    let mut pairs: Vec<_> = (0..20).map(|_| world.open_session()).collect();
    let mut second = world.start_second_process();
    let (_, watch) = world
        .watches
        .recv_timeout(support::TIMEOUT)
        .expect("a watch");
    let first_goes = how.starts_with("first");
    if first_goes {
        world.send_signal("TERM");
        std::thread::sleep(Duration::from_millis(100));
    }
    if how.ends_with("as it serves") || first_goes {
        watch.send(support::list_line(8, false, &[])).unwrap();
        assert!(second.becomes_ready());
    }
    if !first_goes {
        second.process.kill().unwrap();
        second.process.wait().unwrap();
        // Those that the second had taken end with it; it took none before it served.
        if how.ends_with("as it serves") {
            let (client, server) = world.open_session();
            pairs = vec![(client, server)];
        }
    }
    for (client, server) in &mut pairs {
        client.send("on\r\n");
        assert_eq!(server.read_line(), "on");
    }
    assert_eq!(world.connect("PING\r\n").read_line(), "PONG");
    drop(world.open_session());
}

/// What a second process may find where it looks for the first.
#[test_case("nothing")]
#[test_case("a file"; "a file that is no socket")]
#[test_case("stale"; "a socket that nobody listens at")]
#[test_case("another kind")]
#[test_case("silent")]
#[test_case("hangs up")]
#[test_case("nonsense")]
#[test_case("another version")]
fn a_second_process_starts_by_itself_where_the_first_is_no_help(finds: &str) {
    let world = ProxyHarness::with_admin_http(1);
    let (mut client, mut server) = world.open_session();
    let at = world.hot_restart_socket();
    std::fs::remove_file(&at).unwrap();
    let mut door = None;
    match finds {
        "nothing" => {}
        "a file" => std::fs::write(&at, "x").unwrap(),
        "another kind" | "stale" => {
            let listener = std::os::unix::net::UnixListener::bind(&at).unwrap();
            door = (finds != "stale").then(|| listener.into());
        }
        _ => door = Some(socket::listen_unix(&at, socket::SocketType::SEQPACKET).unwrap()),
    }
    let second = world.start_second_process();
    if let Some(door) = door.filter(|_| finds != "another kind") {
        let text: &[u8] = match finds {
            "nonsense" => &[b'x'; 100],
            "another version" => b"ARH\x63\x03\0\0\0\0",
            _ => b"",
        };
        poll(&mut [PollFd::new(&door, PollFlags::IN)], None).unwrap();
        let peer = socket::accept_unix(&door).unwrap().unwrap();
        if finds == "silent" {
            std::thread::sleep(Duration::from_millis(900));
        } else if !text.is_empty() {
            seqpacket::send(&peer, text, &[]).unwrap();
        }
    }
    let (_, watch) = world
        .watches
        .recv_timeout(support::TIMEOUT)
        .expect("a watch");
    watch.send(support::list_line(8, false, &[])).unwrap();
    assert!(second.becomes_ready());
    assert_eq!(world.connect("PING\r\n").read_line(), "PONG");
    world.send_signal("TERM");
    client.send("on\r\n");
    assert_eq!(
        (server.read_line(), client.read_line()),
        ("on".into(), "MOVE".into()),
        "the first leaves as ever"
    );
    (0..4).for_each(|_| drop(world.open_session()));
}

/// The next word of the other side of a link, with its descriptors; `None` at its end.
fn word(link: &OwnedFd) -> Option<(HotRestartMessage, Vec<OwnedFd>)> {
    let time = Timespec {
        tv_sec: 3,
        tv_nsec: 0,
    };
    assert_eq!(
        poll(&mut [PollFd::new(link, PollFlags::IN)], Some(&time)),
        Ok(1),
        "it says nothing"
    );
    let (message, with) = seqpacket::receive(link, MAX_MESSAGE_BYTES)
        .unwrap()
        .expect("a message");
    (!message.is_empty()).then(|| (HotRestartMessage::decode(&message).unwrap(), with))
}

/// A younger that is a test: it has come, says that it serves, and is offered what stands.
fn younger(world: &ProxyHarness, offers: usize) -> (OwnedFd, Vec<Vec<OwnedFd>>) {
    let link = seqpacket::connect(&world.hot_restart_socket()).unwrap();
    assert!(seqpacket::send(&link, &HotRestartMessage::Hello.encode(), &[]).unwrap());
    while !matches!(word(&link), Some((HotRestartMessage::Listener { .. }, _))) {}
    assert!(seqpacket::send(&link, &HotRestartMessage::Serving.encode(), &[]).unwrap());
    assert!(matches!(
        word(&link),
        Some((HotRestartMessage::OpenDescriptors(_), _))
    ));
    let offered = (0..offers).map(|_| match word(&link) {
        Some((HotRestartMessage::SessionOffer(_), with)) => with,
        other => panic!("{other:?}"),
    });
    let offered = offered.collect();
    (link, offered)
}

/// What is offered is left alone by the elder, and goes on there if the younger ends, or says what makes no sense,
/// before it has said that it takes it; what it took is its own.
#[test_case(&[], "ends"; "nothing taken, it ends")]
#[test_case(&[], "babbles"; "nothing taken, it babbles")]
#[test_case(&[0], "ends"; "one taken, it ends")]
#[test_case(&[0], "babbles"; "one taken, it babbles")]
#[test_case(&[0], "babbles first"; "it babbles, and takes one before that is heard")]
fn an_offer_is_nobodys_until_it_is_taken(taken: &[usize], then: &str) {
    let world = ProxyHarness::with_admin_http(1);
    let mut pairs: Vec<_> = (0..2).map(|_| world.open_session()).collect();
    let (link, mut offered) = younger(&world, 2);
    for (client, server) in &mut pairs {
        client.send("while nobody's\r\n");
        assert!(
            server.is_quiet(),
            "the elder leaves alone what it has offered"
        );
    }
    if then == "babbles first" {
        world.send_signal("STOP");
        assert!(seqpacket::send(&link, b"what is this", &[]).unwrap());
    }
    for _ in taken {
        assert!(seqpacket::send(&link, &HotRestartMessage::OfferAccepted.encode(), &[]).unwrap());
        let client = TcpStream::from(offered.remove(0).remove(0));
        assert_eq!(
            LineConnection::of(client).read_line(),
            "while nobody's",
            "it is the younger's to read"
        );
    }
    if then == "babbles first" {
        world.send_signal("CONT");
    } else if then == "babbles" {
        assert!(seqpacket::send(&link, b"what is this", &[]).unwrap());
    }
    if then != "ends" {
        assert!(
            matches!(word(&link), Some((HotRestartMessage::HandoverStopped, _))),
            "the elder says what becomes of the rest"
        );
        assert!(word(&link).is_none());
    }
    drop((link, offered));
    for (nth, (client, server)) in pairs.iter_mut().enumerate() {
        if taken.contains(&nth) {
            assert_eq!(client.read_line(), "FIN", "it ended with the younger");
            continue;
        }
        assert_eq!(server.read_line(), "while nobody's");
        server.send("on\r\n");
        assert_eq!(client.read_line(), "on");
    }
}

/// What a client says as it is handed over is read by the younger alone, wherever the elder stands then.
#[test_case("with the yes", true; "a session, in the elder's wake-up that offers it")]
#[test_case("with the yes", false; "a stranger, in the elder's wake-up that offers it")]
#[test_case("before it is taken", true; "a session, before the elder hears that it is taken")]
#[test_case("before it is taken", false; "a stranger, before the elder hears that it is taken")]
#[test_case("before the end", true; "a session, before the elder ends without hearing")]
#[test_case("before the end", false; "a stranger, before the elder ends without hearing")]
fn what_comes_in_a_handover_is_the_youngers_to_read(when: &str, open: bool) {
    let mut world = ProxyHarness::with_admin_http(1);
    let (mut client, _server) = if open {
        let (client, server) = world.open_session();
        (client, Some(server))
    } else {
        (world.connect("OPEN 0000"), None)
    };
    let link = seqpacket::connect(&world.hot_restart_socket()).unwrap();
    assert!(seqpacket::send(&link, &HotRestartMessage::Hello.encode(), &[]).unwrap());
    while !matches!(word(&link), Some((HotRestartMessage::Listener { .. }, _))) {}
    if when == "with the yes" {
        world.send_signal("STOP");
        std::thread::sleep(Duration::from_millis(30));
    }
    assert!(seqpacket::send(&link, &HotRestartMessage::Serving.encode(), &[]).unwrap());
    if when == "with the yes" {
        client.send("on\r\n");
        world.send_signal("CONT");
    }
    assert!(matches!(
        word(&link),
        Some((HotRestartMessage::OpenDescriptors(_), _))
    ));
    let mut with = match word(&link) {
        Some((HotRestartMessage::SessionOffer(_), with)) if open => with,
        Some((HotRestartMessage::PendingConnectionOffer(bytes), with)) if !open => {
            assert_eq!(bytes.bytes, b"OPEN 0000", "it had been read");
            with
        }
        other => panic!("{other:?}"),
    };
    if when != "with the yes" {
        client.send("on\r\n");
    }
    if when == "before the end" {
        world.send_signal("TERM");
        assert_eq!(world.wait_for_exit().0, Some(0));
    } else {
        assert!(seqpacket::send(&link, &HotRestartMessage::OfferAccepted.encode(), &[]).unwrap());
        // With nothing left to hand over and told to go, it goes.
        world.send_signal("TERM");
        assert_eq!(world.wait_for_exit().0, Some(0));
    }
    assert_eq!(
        LineConnection::of(TcpStream::from(with.remove(0))).read_line(),
        "on"
    );
}

/// An elder that is a test, and dies with offers in the link. The younger takes them, unless the elder said that it
/// keeps them.
#[test_case(false, &["on", "on"]; "it dies")]
#[test_case(true, &["FIN", "FIN"]; "it keeps them")]
fn offers_of_a_dead_elder_are_the_youngers(keeps: bool, hear: &[&str]) {
    let mut world = ProxyHarness::with_admin_http(1);
    world.process.kill().unwrap();
    world.process.wait().unwrap();
    std::fs::remove_file(world.hot_restart_socket()).unwrap();
    let door = socket::listen(world.listen_address, true).unwrap();
    let meeting =
        socket::listen_unix(&world.hot_restart_socket(), socket::SocketType::SEQPACKET).unwrap();
    let second = world.start_second_process();
    poll(&mut [PollFd::new(&meeting, PollFlags::IN)], None).unwrap();
    let link = socket::accept_unix(&meeting).unwrap().unwrap();
    assert!(matches!(word(&link), Some((HotRestartMessage::Hello, _))));
    let at = world.servers[0].local_addr().unwrap().to_string();
    let host = EndpointRecord {
        uid: "s-0".into(),
        address: at,
        zone: "a".into(),
        cell: 0,
        state: EndpointRecordState::Ready,
        weight: 1.0,
        started: None,
    };
    assert!(
        seqpacket::send(
            &link,
            &HotRestartMessage::Endpoints(vec![host]).encode(),
            &[]
        )
        .unwrap()
    );
    assert!(
        seqpacket::send(
            &link,
            &HotRestartMessage::Listener { list_revision: 7 }.encode(),
            &[door.as_fd()]
        )
        .unwrap()
    );
    let (_, watch) = world
        .watches
        .recv_timeout(support::TIMEOUT)
        .expect("a watch");
    watch.send(support::list_line(8, false, &[])).unwrap();
    assert!(matches!(word(&link), Some((HotRestartMessage::Serving, _))) && second.becomes_ready());
    let to = |what: &str| {
        Command::new("kill")
            .args([what, &second.process.id().to_string()])
            .status()
    };
    let pair = || {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let outer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (LineConnection::of(outer), listener.accept().unwrap().0)
    };
    let mut ends = Vec::new();
    for nth in 0..=hear.len() {
        let ((client, inner), (server, outer)) = (pair(), pair());
        let line = OPEN_LINE
            .replace("9b1f03aa5c7e2d41", &format!("00000000000000a{nth}"))
            .into_bytes();
        let bytes = || BufferedBytes {
            validated: 0,
            bytes: Vec::new(),
        };
        let offer = SessionOffer {
            opening_line: line,
            server_uid: "s-0".into(),
            answer_within: None,
            from_client: bytes(),
            from_server: bytes(),
        };
        assert!(
            seqpacket::send(
                &link,
                &HotRestartMessage::SessionOffer(offer).encode(),
                &[inner.as_fd(), outer.as_fd()]
            )
            .unwrap()
        );
        ends.push((client, server));
        if nth == 0 {
            // This one is taken, and the elder never reads that it is. From then on the younger does not run, so it can
            // say nothing more before the elder is dead.
            let (client, server) = &mut ends[0];
            server.send("first\r\n");
            assert_eq!(client.read_line(), "first");
            assert!(to("-STOP").unwrap().success());
        }
    }
    if keeps {
        assert!(seqpacket::send(&link, &HotRestartMessage::HandoverStopped.encode(), &[]).unwrap());
    }
    drop((link, door, meeting));
    assert!(to("-CONT").unwrap().success());
    for ((client, server), hears) in ends.iter_mut().zip([&["on"], hear].concat()) {
        let _ = server.0.get_mut().write_all(b"on\r\n");
        assert_eq!(client.read_line(), hears);
    }
    assert_eq!(world.connect("PING\r\n").read_line(), "PONG");
}

/// What may go on at the first process while a second takes over.
#[test_case("a drain"; "it drains")]
#[test_case("another replacement"; "one replaces it already")]
#[test_case("no discovery"; "discovery is silent")]
fn a_replacement_meets_what_goes_on(meets: &str) {
    let world = ProxyHarness::with_admin_http(1);
    let (mut client, mut server) = world.open_session();
    let mut first = None;
    match meets {
        "a drain" => assert_eq!(http_call(world.admin_http, "POST /ops/drain/start").0, 200),
        "another replacement" => {
            let link = seqpacket::connect(&world.hot_restart_socket()).unwrap();
            assert!(seqpacket::send(&link, &HotRestartMessage::Hello.encode(), &[]).unwrap());
            while !matches!(word(&link), Some((HotRestartMessage::Listener { .. }, _))) {}
            first = Some(link);
        }
        _ => {}
    }
    let second = world.start_second_process();
    let (_, watch) = world
        .watches
        .recv_timeout(support::TIMEOUT)
        .expect("a watch");
    if meets != "no discovery" {
        watch.send(support::list_line(8, false, &[])).unwrap();
    }
    assert!(second.becomes_ready(), "it serves whatever goes on there");
    assert_eq!(world.connect("PING\r\n").read_line(), "PONG");
    world.send_signal("TERM");
    client.send("on\r\n");
    assert_eq!(server.read_line(), "on", "what stands is not cut off");
    if meets == "another replacement" {
        // The one that came first never serves, so what stands is moved as at any leaving.
        drop(first);
        assert_eq!(client.read_line(), "MOVE");
    } else {
        server.send("still\r\n");
        assert_eq!(client.read_line(), "still", "it was handed over");
    }
    drop(world.open_session());
}
