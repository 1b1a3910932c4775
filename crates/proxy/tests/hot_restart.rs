//! Hot restarts: a second process takes over from the first, or serves by itself where the first is no help.

mod support;

use asterramp_proxy::transport::{seqpacket, socket};
use rustix::event::{PollFd, PollFlags, poll};
use rustix::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::time::Duration;
use support::{
    HotRestartLink, LineConnection, OPEN_LINE, ProxyHarness, http_call, list_line, metric_value,
    wait_until,
};
use test_case::test_case;

/// A client and its server.
type OpenSession = (LineConnection, LineConnection);

/// Sends a line and a half from either side; the lines are read, the halves are what a hot restart has to carry over.
fn send_first_halves((client, server): &mut OpenSession) {
    client.send("one\r\ntw");
    server.send("UPDATE 1\r\nUPDA");
    assert_eq!(
        (server.read_line(), client.read_line()),
        ("one".into(), "UPDATE 1".into())
    );
}

/// Sends the rest, and checks that both lines are read.
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
            "nobody is migrated"
        );
    }
}

#[test]
fn a_second_process_takes_over_the_listener_pending_connections_and_open_sessions() {
    let mut proxy = ProxyHarness::with_admin_http(2);
    let mut sessions: Vec<_> = (0..40).map(|_| proxy.open_session_at(&[0, 1])).collect();
    let mut pending = proxy.connect("OPEN 00000000000000ff 1 c=feed,t=ac");
    send_first_halves(&mut sessions[0]);
    let mut waiting = proxy.connect(OPEN_LINE);
    let (mut slow_server, _) = proxy.accept_at_any(&[0, 1]);
    let (second, _watch) = proxy.start_ready_process();
    send_second_halves(&mut sessions[0]);
    proxy.send_signal("TERM");
    slow_server.send("UP late\r\n");
    assert_eq!(waiting.read_line(), "UP late", "opened by the predecessor");
    pending.send("me,d=2000\r\n");
    let (mut server, _) = proxy.accept_at_any(&[0, 1]);
    server.send("UP s\r\n");
    assert_eq!(pending.read_line(), "UP s");
    let (code, log) = proxy.wait_for_exit();
    assert!(
        code == Some(0) && log.contains("followed") && !log.contains("proxy-leaving sess"),
        "{log}"
    );
    sessions.extend([(waiting, slow_server), (pending, server)]);
    assert_all_forward(&mut sessions);
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
    assert_eq!(metric_value(second.admin_http, "svc_inflight"), 42.0);
    assert_eq!(
        metric_value(
            second.admin_http,
            "svc_calls_total{tier=\"feed\",code=\"success\"}"
        ),
        1.0,
        "counts are of this process: of the pending connection alone"
    );
    // And a third from the second.
    let (third, _watch) = proxy.start_ready_process();
    wait_until("all are the third's", || {
        metric_value(third.admin_http, "svc_inflight") == 42.0
    });
    drop(second);
    for (client, server) in &mut sessions {
        client.send("on\r\n");
        assert_eq!(server.read_line(), "on");
    }
}

/// What fails while a second process takes over.
#[derive(Clone, Copy, PartialEq)]
enum Failure {
    SecondKilledBeforeItServes,
    SecondKilledAsItServes,
    /// The first is told to shut down before the second serves.
    FirstShutDownEarly,
}

/// Open sessions go on or are migrated, and are never cut off.
#[test_case(Failure::SecondKilledBeforeItServes; "second killed before it serves")]
#[test_case(Failure::SecondKilledAsItServes; "second killed as it serves")]
#[test_case(Failure::FirstShutDownEarly; "first shut down before the second serves")]
fn a_failed_replacement_cuts_nobody_off(failure: Failure) {
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
    // Those that the second had taken ended with it; it took none before it served.
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

/// What a second process finds where it looks for the first.
#[derive(Clone, Copy)]
enum Found {
    Nothing,
    PlainFile,
    /// A socket at which nobody listens.
    StaleSocket,
    /// A socket of another type.
    StreamSocket,
    /// A process that does this once the second has connected.
    Process(Predecessor),
}

#[derive(Clone, Copy)]
enum Predecessor {
    SaysNothing,
    Closes,
    Sends(&'static [u8]),
}

/// Puts what is to be found at a path. It returns the sockets that have to stay open.
fn put(found: Found, path: &Path) -> Option<OwnedFd> {
    match found {
        Found::Nothing => None,
        Found::PlainFile => {
            std::fs::write(path, "x").unwrap();
            None
        }
        Found::StaleSocket => {
            drop(UnixListener::bind(path).unwrap());
            None
        }
        Found::StreamSocket => Some(UnixListener::bind(path).unwrap().into()),
        Found::Process(_) => {
            Some(socket::listen_unix(path, socket::SocketType::SEQPACKET).unwrap())
        }
    }
}

/// Accepts the second process and plays the predecessor.
fn play(predecessor: Predecessor, listener: &OwnedFd) {
    poll(&mut [PollFd::new(listener, PollFlags::IN)], None).unwrap();
    let link = socket::accept_unix(listener).unwrap().unwrap();
    match predecessor {
        Predecessor::SaysNothing => std::thread::sleep(Duration::from_millis(900)),
        Predecessor::Closes => {}
        Predecessor::Sends(bytes) => {
            seqpacket::send(&link, bytes, &[]).unwrap();
        }
    }
}

#[test_case(Found::Nothing; "nothing")]
#[test_case(Found::PlainFile; "a file that is no socket")]
#[test_case(Found::StaleSocket; "a socket that nobody listens at")]
#[test_case(Found::StreamSocket; "a socket of another type")]
#[test_case(Found::Process(Predecessor::SaysNothing); "a process that says nothing")]
#[test_case(Found::Process(Predecessor::Closes); "a process that closes the link")]
#[test_case(Found::Process(Predecessor::Sends(&[b'x'; 100])); "a process that sends rubbish")]
#[test_case(Found::Process(Predecessor::Sends(b"ARH\x63\x03\0\0\0\0")); "a process of another version")]
fn a_second_process_starts_by_itself_where_the_first_is_no_help(found: Found) {
    let proxy = ProxyHarness::with_admin_http(1);
    let (mut client, mut server) = proxy.open_session();
    let path = proxy.hot_restart_socket();
    std::fs::remove_file(&path).unwrap();
    let listener = put(found, &path);
    let second = proxy.start_second_process();
    if let (Found::Process(predecessor), Some(listener)) = (found, listener) {
        play(predecessor, &listener);
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
        "the first shuts down as ever"
    );
    (0..4).for_each(|_| drop(proxy.open_session()));
}

/// What may go on at the first process while a second takes over.
#[derive(Clone, Copy, PartialEq)]
enum GoingOn {
    Drain,
    /// Another process is taking over already, and never serves.
    AnotherReplacement,
    DiscoveryOutage,
}

#[test_case(GoingOn::Drain; "it drains")]
#[test_case(GoingOn::AnotherReplacement; "one replaces it already")]
#[test_case(GoingOn::DiscoveryOutage; "discovery is silent")]
fn a_second_process_serves_whatever_goes_on_at_the_first(going_on: GoingOn) {
    let proxy = ProxyHarness::with_admin_http(1);
    let (mut client, mut server) = proxy.open_session();
    let mut other_successor = None;
    match going_on {
        GoingOn::Drain => assert_eq!(http_call(proxy.admin_http, "POST /ops/drain/start").0, 200),
        GoingOn::AnotherReplacement => {
            other_successor = Some(HotRestartLink::as_successor_of(&proxy));
        }
        GoingOn::DiscoveryOutage => {}
    }
    let second = proxy.start_second_process();
    let watch = proxy.accept_watch().lists;
    if going_on != GoingOn::DiscoveryOutage {
        watch.send(list_line(8, false, &[])).unwrap();
    }
    assert!(second.becomes_ready(), "it serves whatever goes on there");
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
    proxy.send_signal("TERM");
    client.send("on\r\n");
    assert_eq!(server.read_line(), "on", "open sessions are not cut off");
    if going_on == GoingOn::AnotherReplacement {
        // The one that came first never serves, so open sessions are migrated as at any shutdown.
        drop(other_successor);
        assert_eq!(client.read_line(), "MOVE");
    } else {
        server.send("still\r\n");
        assert_eq!(client.read_line(), "still", "it was handed over");
    }
    drop(proxy.open_session());
}
