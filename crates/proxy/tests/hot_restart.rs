//! Hot restarts: a second process takes over from the first, or starts on its own where that is impossible.

mod support;

use asterramp_proxy::transport::{seqpacket, socket};
use rustix::event::{PollFd, PollFlags, poll};
use rustix::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::time::{Duration, Instant};
use support::{
    HotRestartLink, LineConnection, OPEN_LINE, ProxyHarness, http_call, list_line, metric_value,
    wait_until,
};
use test_case::test_case;

/// The connections of a client and of its server.
type OpenSession = (LineConnection, LineConnection);

/// Sends one and a half lines from each side and reads the complete ones. The half lines stay in the proxy's buffers,
/// which a hot restart has to hand over.
fn send_first_halves((client, server): &mut OpenSession) {
    client.send("one\r\ntw");
    server.send("UPDATE 1\r\nUPDA");
    assert_eq!(
        (server.read_line(), client.read_line()),
        ("one".into(), "UPDATE 1".into())
    );
}

/// Sends the rest of the lines begun by [`send_first_halves`], and checks that both arrive complete.
fn send_second_halves((client, server): &mut OpenSession) {
    client.send("o\r\n");
    server.send("TE 2\r\n");
    assert_eq!(
        (server.read_line(), client.read_line()),
        ("two".into(), "UPDATE 2".into())
    );
}

/// Checks that each session forwards lines both ways.
fn assert_all_forward(sessions: &mut [OpenSession]) {
    for (nth, (client, server)) in sessions.iter_mut().enumerate() {
        client.send(&format!("to {nth}\r\n"));
        assert_eq!(server.read_line(), format!("to {nth}"));
        server.send(&format!("from {nth}\r\n"));
        assert_eq!(
            client.read_line(),
            format!("from {nth}"),
            "a session was migrated"
        );
    }
}

#[test]
fn a_second_process_takes_over_the_listener_pending_connections_and_open_sessions() {
    let mut proxy = ProxyHarness::with_admin_http(2);
    let mut sessions: Vec<_> = (0..40).map(|_| proxy.open_session_at(&[0, 1])).collect();
    let mut pending = proxy.connect("OPEN 00000000000000ff 1 c=feed,t=ac");
    send_first_halves(&mut sessions[0]);
    let mut dialing = proxy.connect(OPEN_LINE);
    let (mut slow_server, _) = proxy.accept_at_any(&[0, 1]);
    let (second, _watch) = proxy.start_ready_process();
    send_second_halves(&mut sessions[0]);
    proxy.send_signal("TERM");
    slow_server.send("UP late\r\n");
    assert_eq!(
        dialing.read_line(),
        "UP late",
        "the predecessor did not open the session"
    );
    pending.send("me,d=2000\r\n");
    let (mut server, _) = proxy.accept_at_any(&[0, 1]);
    server.send("UP s\r\n");
    assert_eq!(pending.read_line(), "UP s");
    let (code, log) = proxy.wait_for_exit();
    assert!(
        code == Some(0) && log.contains("followed") && !log.contains("proxy-leaving sess"),
        "{log}"
    );
    sessions.extend([(dialing, slow_server), (pending, server)]);
    assert_all_forward(&mut sessions);
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
    assert_eq!(metric_value(second.admin_http, "svc_inflight"), 42.0);
    assert_eq!(
        metric_value(
            second.admin_http,
            "svc_calls_total{tier=\"feed\",code=\"success\"}"
        ),
        1.0,
        "the successor counts sessions other than the one it opened"
    );
    // A third process takes over from the second.
    let (third, _watch) = proxy.start_ready_process();
    wait_until("the third process has all sessions", || {
        metric_value(third.admin_http, "svc_inflight") == 42.0
    });
    drop(second);
    for (client, server) in &mut sessions {
        client.send("on\r\n");
        assert_eq!(server.read_line(), "on");
    }
}

/// A failure while a second process takes over.
#[derive(Clone, Copy, PartialEq)]
enum Failure {
    SecondKilledBeforeItServes,
    SecondKilledAsItServes,
    /// The first gets a `SIGTERM` before the second serves.
    FirstShutDownEarly,
}

/// Open sessions continue or are migrated, and are never cut off, except those that the second process had taken over.
#[test_case(Failure::SecondKilledBeforeItServes; "second killed before it serves")]
#[test_case(Failure::SecondKilledAsItServes; "second killed as it serves")]
#[test_case(Failure::FirstShutDownEarly; "first shut down before the second serves")]
fn a_failed_replacement_cuts_off_no_session_of_the_first_process(failure: Failure) {
    let proxy = ProxyHarness::with_admin_http(1);
    let mut sessions: Vec<_> = (0..20).map(|_| proxy.open_session()).collect();
    let mut second = proxy.start_second_process();
    let watch = proxy.accept_watch().lists;
    if failure == Failure::FirstShutDownEarly {
        proxy.send_signal("TERM");
        std::thread::sleep(Duration::from_millis(100));
    }
    if failure != Failure::SecondKilledBeforeItServes {
        watch.send(list_line(8, false, &[])).unwrap();
        assert!(second.becomes_ready());
    }
    if failure != Failure::FirstShutDownEarly {
        second.process.kill().unwrap();
        second.process.wait().unwrap();
    }
    // Sessions that the second had taken over ended with it; it takes over none before it serves.
    if failure == Failure::SecondKilledAsItServes {
        sessions = vec![proxy.open_session()];
    }
    for (client, server) in &mut sessions {
        client.send("on\r\n");
        assert_eq!(server.read_line(), "on");
    }
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
    drop(proxy.open_session());
}

/// What a second process finds at the path of the hot restart socket.
#[derive(Clone, Copy)]
enum PathContent {
    Nothing,
    PlainFile,
    /// The file of a socket without a listener.
    StaleSocket,
    /// A listening socket of type `SOCK_STREAM` in place of `SOCK_SEQPACKET`.
    StreamSocket,
    /// A listening process with this behaviour.
    Process(Predecessor),
}

/// What a faulty predecessor does once the second process has connected.
#[derive(Clone, Copy)]
enum Predecessor {
    Silent,
    Closes,
    Sends(&'static [u8]),
}

/// Creates the content at a path. Returns the listening socket, which has to stay open.
fn create(content: PathContent, path: &Path) -> Option<OwnedFd> {
    match content {
        PathContent::Nothing => None,
        PathContent::PlainFile => {
            std::fs::write(path, "x").unwrap();
            None
        }
        PathContent::StaleSocket => {
            drop(UnixListener::bind(path).unwrap());
            None
        }
        PathContent::StreamSocket => Some(UnixListener::bind(path).unwrap().into()),
        PathContent::Process(_) => {
            Some(socket::listen_unix(path, socket::SocketType::SEQPACKET).unwrap())
        }
    }
}

/// Accepts the second process's connection and behaves as `predecessor`.
fn run_predecessor(predecessor: Predecessor, listener: &OwnedFd) {
    poll(&mut [PollFd::new(listener, PollFlags::IN)], None).unwrap();
    let link = socket::accept_unix(listener).unwrap().unwrap();
    match predecessor {
        Predecessor::Silent => std::thread::sleep(Duration::from_millis(900)),
        Predecessor::Closes => {}
        Predecessor::Sends(bytes) => {
            seqpacket::send(&link, bytes, &[]).unwrap();
        }
    }
}

#[test_case(PathContent::Nothing; "nothing")]
#[test_case(PathContent::PlainFile; "a file that is no socket")]
#[test_case(PathContent::StaleSocket; "a socket without a listener")]
#[test_case(PathContent::StreamSocket; "a socket of another type")]
#[test_case(PathContent::Process(Predecessor::Silent); "a process that sends nothing")]
#[test_case(PathContent::Process(Predecessor::Closes); "a process that closes the link")]
#[test_case(PathContent::Process(Predecessor::Sends(&[b'x'; 100])); "a process that sends rubbish")]
#[test_case(PathContent::Process(Predecessor::Sends(b"ARH\x63\x03\0\0\0\0")); "a process of another version")]
fn a_second_process_starts_on_its_own_where_it_cannot_take_over(content: PathContent) {
    let proxy = ProxyHarness::with_admin_http(1);
    let (mut client, mut server) = proxy.open_session();
    let path = proxy.hot_restart_socket();
    std::fs::remove_file(&path).unwrap();
    let listener = create(content, &path);
    let second = proxy.start_second_process();
    if let (PathContent::Process(predecessor), Some(listener)) = (content, listener) {
        run_predecessor(predecessor, &listener);
    }
    let watch = proxy.accept_watch().lists;
    watch.send(list_line(8, false, &[])).unwrap();
    assert!(second.becomes_ready());
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
    proxy.send_signal("TERM");
    client.send("on\r\n");
    assert_eq!(
        (server.read_line(), client.read_line()),
        ("on".into(), "MOVE".into()),
        "the first process did not shut down as without a hot restart"
    );
    (0..4).for_each(|_| drop(proxy.open_session()));
}

/// What is in progress at the first process while a second takes over.
#[derive(Clone, Copy, PartialEq)]
enum FirstProcessCondition {
    Drain,
    /// Another process has begun to take over, and never serves.
    AnotherReplacement,
    DiscoveryOutage,
}

#[test_case(FirstProcessCondition::Drain; "first process drains")]
#[test_case(FirstProcessCondition::AnotherReplacement; "another replacement in progress")]
#[test_case(FirstProcessCondition::DiscoveryOutage; "discovery is silent")]
fn a_second_process_serves_during_a_drain_another_replacement_or_a_discovery_outage(
    condition: FirstProcessCondition,
) {
    let proxy = ProxyHarness::with_admin_http(1);
    let (mut client, mut server) = proxy.open_session();
    let mut other_successor = None;
    match condition {
        FirstProcessCondition::Drain => {
            assert_eq!(http_call(proxy.admin_http, "POST /ops/drain/start").0, 200)
        }
        FirstProcessCondition::AnotherReplacement => {
            other_successor = Some(HotRestartLink::as_successor_of(&proxy));
        }
        FirstProcessCondition::DiscoveryOutage => {}
    }
    let second = proxy.start_second_process();
    let watch = proxy.accept_watch().lists;
    if condition != FirstProcessCondition::DiscoveryOutage {
        watch.send(list_line(8, false, &[])).unwrap();
    }
    assert!(second.becomes_ready(), "the second process never serves");
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
    proxy.send_signal("TERM");
    client.send("on\r\n");
    assert_eq!(server.read_line(), "on", "an open session was cut off");
    if condition == FirstProcessCondition::AnotherReplacement {
        // The other successor connected first and never serves, so open sessions are migrated as in any shutdown.
        drop(other_successor);
        assert_eq!(client.read_line(), "MOVE");
    } else {
        server.send("still\r\n");
        assert_eq!(
            client.read_line(),
            "still",
            "the session was not handed over"
        );
    }
    drop(proxy.open_session());
}

/// Guards against two processes that begin sessions without a link between them: a third process that connected while the
/// second still took over was turned away and started on its own, so that the second migrated its clients.
#[test]
fn a_third_process_waits_until_the_second_has_taken_over() {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let (mut client, mut server) = proxy.open_session();
    let mut dialing = proxy.connect(OPEN_LINE);
    let (mut slow_server, _) = proxy.accept_at(0);
    let (mut second, _second_watch) = proxy.start_ready_process();
    proxy.send_signal("TERM");
    let third = proxy.start_second_process();
    std::thread::sleep(Duration::from_millis(300));
    let readiness = http_call(third.admin_http, "GET /ops/readiness").0;
    assert_eq!(readiness, 0, "the third does not wait");
    slow_server.send("UP late\r\n");
    assert_eq!(dialing.read_line(), "UP late");
    assert_eq!(proxy.wait_for_exit().0, Some(0));
    let watch = proxy.accept_watch().lists;
    watch.send(list_line(8, false, &[])).unwrap();
    assert!(third.becomes_ready());
    second.send_signal("TERM");
    assert_eq!(second.process.wait().unwrap().code(), Some(0));
    for (client, server) in [(&mut client, &mut server), (&mut dialing, &mut slow_server)] {
        client.send("on\r\n");
        assert_eq!(server.read_line(), "on", "a session was migrated");
    }
    assert_eq!(metric_value(third.admin_http, "svc_inflight"), 2.0);
}

/// A first process that is never told to exit delays the third by a bounded time, less than the 6 s within which it is to be
/// ready.
#[test]
fn a_third_process_starts_on_its_own_if_the_second_goes_on_taking_over() {
    let proxy = ProxyHarness::with_admin_http(1);
    let (_second, _second_watch) = proxy.start_ready_process();
    let started_at = Instant::now();
    let third = proxy.start_second_process();
    let watch = proxy.accept_watch_within(Duration::from_secs(5)).lists;
    watch.send(list_line(8, false, &[])).unwrap();
    assert!(third.becomes_ready());
    assert!(started_at.elapsed() < Duration::from_secs(6));
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
}
