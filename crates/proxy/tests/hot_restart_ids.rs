//! Ids of sessions during a hot restart: a request with the id of a session that is open at either process is rejected, so
//! that no request runs twice.

mod support;

use asterramp_hot_restart::{HotRestartMessage, MAX_PENDING_OFFERS};
use std::collections::HashSet;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use support::{
    HotRestartLink, LineConnection, OPEN_LINE, OPEN_LINE_SESSION_ID, ProxyHarness, TestPredecessor,
};
use test_case::test_case;

/// The session id in [`once_only_line`].
const SESSION_ID: &str = "00000000000000aa";
/// How long a successor waits for its predecessor to stop accepting clients.
const PREDECESSOR_STOP_TIMEOUT: Duration = Duration::from_millis(250);

/// A request line of a once-only listener, with a session id of its own.
fn once_only_line() -> String {
    OPEN_LINE
        .replace(OPEN_LINE_SESSION_ID, SESSION_ID)
        .replace("c=feed", "c=order")
}

fn session_ids() -> Vec<String> {
    vec![SESSION_ID.to_string()]
}

/// Connects as a successor of the present build, which requests the ids of the sessions.
fn requesting_successor_of(proxy: &ProxyHarness) -> HotRestartLink {
    let link = HotRestartLink::as_successor_of(proxy);
    link.send(&HotRestartMessage::SessionIdsRequested);
    link.send(&HotRestartMessage::Serving);
    link
}

/// Connects one client more than a predecessor may offer at once. Each sends this text, which the proxy has read then.
fn connect_more_than_may_be_offered(proxy: &ProxyHarness, text: &str) -> Vec<LineConnection> {
    let clients = (0..=MAX_PENDING_OFFERS)
        .map(|_| proxy.connect(text))
        .collect();
    std::thread::sleep(Duration::from_millis(50));
    clients
}

/// Connects as a successor of an earlier build, which does not request ids, and serves.
fn serving_successor_of(proxy: &ProxyHarness) -> HotRestartLink {
    let link = HotRestartLink::as_successor_of(proxy);
    link.announce_serving();
    link
}

/// Receives the ids of the predecessor's sessions, up to the message with its open descriptors.
fn receive_open_ids(link: &HotRestartLink) -> Vec<String> {
    let mut open_ids = Vec::new();
    loop {
        match link.expect_message().message {
            HotRestartMessage::OpenSessionIds(ids) => open_ids.extend(ids),
            HotRestartMessage::OpenDescriptors(_) => return open_ids,
            other => panic!("{other:?}"),
        }
    }
}

/// Opens a session for [`once_only_line`] at the successor; returns its server's connection.
fn open_once_only_session(proxy: &ProxyHarness) -> LineConnection {
    let mut client = proxy.connect(&once_only_line());
    let (mut server, _) = proxy.accept_at(0);
    server.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    server
}

/// Where a session is that the predecessor began, as the successor receives a request with its id.
#[derive(Clone, Copy, PartialEq)]
enum FirstSession {
    /// At the predecessor; its server has not answered yet.
    BeingSetUp,
    /// At the successor.
    HandedOver,
}

/// Guards against a second run of a once-only request: during a replacement the new process served a client that sent the
/// id of a session that the old one was setting up.
#[test_case(FirstSession::BeingSetUp; "being set up at the predecessor")]
#[test_case(FirstSession::HandedOver; "handed over to the successor")]
fn a_request_with_the_id_of_a_session_of_the_predecessor_is_rejected(first_session: FirstSession) {
    let proxy = ProxyHarness::with_admin_http(1);
    let mut client = proxy.connect(&once_only_line());
    let (mut server, _) = proxy.accept_at(0);
    let (_second, _watch) = proxy.start_ready_process();
    proxy.send_signal("TERM");
    if first_session == FirstSession::HandedOver {
        server.send("UP first\r\n");
        assert_eq!(client.read_line(), "UP first");
    }
    let mut duplicate = proxy.connect(&once_only_line());
    proxy.assert_no_dial();
    assert_eq!(duplicate.read_line(), "ERR");
    if first_session == FirstSession::BeingSetUp {
        server.send("UP first\r\n");
        assert_eq!(client.read_line(), "UP first");
    }
    client.send("on\r\n");
    assert_eq!(server.read_line(), "on");
}

/// The other order of the two requests: the successor may have begun a session with the id of a request that the
/// predecessor reads later. So the predecessor leaves the request to the successor, and reads it only if that ends.
#[test]
fn a_request_that_is_complete_after_the_successor_serves_is_left_to_it() {
    let proxy = ProxyHarness::with_admin_http(1);
    let (request_start, request_end) = OPEN_LINE.split_at(8);
    let mut clients = connect_more_than_may_be_offered(&proxy, request_start);
    let link = serving_successor_of(&proxy);
    for _ in 0..MAX_PENDING_OFFERS {
        let offer = link.expect_message().message;
        assert!(
            matches!(offer, HotRestartMessage::PendingConnectionOffer(_)),
            "{offer:?}"
        );
    }
    for (index, client) in clients.iter_mut().enumerate() {
        let line = request_end.replace(&OPEN_LINE_SESSION_ID[3..], &format!("{index:013x}"));
        client.send(&line);
    }
    proxy.assert_no_dial();
    link.shut_down();
    drop(link);
    let dials = clients.iter().map(|_| proxy.accept_at(0));
    assert_eq!(dials.count(), MAX_PENDING_OFFERS + 1);
}

/// A successor that does not take a complete request keeps its client waiting for a bounded time: the client may try again,
/// and nothing has been sent to a server.
#[test]
fn a_request_that_the_successor_does_not_take_is_rejected_in_time() {
    let proxy = ProxyHarness::with_admin_http(1);
    let (request_start, request_end) = OPEN_LINE.split_at(8);
    let mut clients = connect_more_than_may_be_offered(&proxy, request_start);
    let _link = serving_successor_of(&proxy);
    let sent_at = Instant::now();
    for client in &mut clients {
        client.send(request_end);
    }
    // The offered ones belong to the successor, which the test plays, or to the predecessor once the link has ended.
    let is_answered = |client: &mut LineConnection| {
        let line = client.read_line_within(Duration::from_millis(50));
        line.inspect(|line| assert!(line.starts_with("BUSY"), "{line}"))
            .is_some()
    };
    while !clients.iter_mut().any(is_answered) {}
    assert!(sent_at.elapsed() < Duration::from_millis(1_900));
    proxy.assert_no_pending_dial("a request was sent to a server");
}

/// A client that has left is gone: the predecessor neither begins its session nor offers its connection.
#[test]
fn a_client_that_leaves_while_its_request_waits_for_the_successor_is_dropped() {
    let proxy = ProxyHarness::with_admin_http(1);
    let (request_start, request_end) = OPEN_LINE.split_at(8);
    let mut clients = connect_more_than_may_be_offered(&proxy, request_start);
    let link = serving_successor_of(&proxy);
    let offers: Vec<_> = (0..MAX_PENDING_OFFERS)
        .map(|_| link.expect_message())
        .collect();
    for mut client in clients.drain(..) {
        client.send(request_end);
        client.0.get_mut().shutdown(Shutdown::Both).unwrap();
    }
    proxy.assert_no_dial();
    for _ in &offers {
        link.send(&HotRestartMessage::OfferAccepted);
    }
    proxy.send_signal("TERM");
    assert!(link.receive().is_none(), "a closed connection was offered");
    proxy.assert_no_pending_dial("a session of a client that had left was begun");
}

/// A health check that ends its side after its `PING` cannot be offered, and is answered by the predecessor.
#[test]
fn a_ping_on_a_half_closed_connection_is_answered_during_a_handover() {
    let proxy = ProxyHarness::with_admin_http(1);
    let mut pings = connect_more_than_may_be_offered(&proxy, "PI");
    let _link = serving_successor_of(&proxy);
    for ping in &mut pings {
        ping.send("NG\r\n");
        ping.0.get_mut().shutdown(Shutdown::Write).unwrap();
    }
    std::thread::sleep(Duration::from_millis(300));
    let answers: Vec<_> = pings
        .iter_mut()
        .filter_map(|ping| ping.read_line_within(Duration::from_millis(10)))
        .collect();
    assert_eq!(answers, ["PONG"], "one connection could not be offered");
}

/// A successor accepts clients once its predecessor has stopped, and rejects the ids that the predecessor has open until it
/// reports that they never ran. One of an earlier build reports all that end: they may have run, and stay rejected.
#[test_case(true; "of the present build")]
#[test_case(false; "of an earlier build")]
fn ids_at_the_predecessor_are_rejected_until_it_reports_that_they_never_ran(
    reports_only_reusable: bool,
) {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let (predecessor, _successor) = TestPredecessor::of_the_present_build(&mut proxy);
    let link = &predecessor.link;
    let mut ping = proxy.connect("PING\r\n");
    let early_answer = ping.read_line_within(Duration::from_millis(50));
    assert!(
        early_answer.is_none()
            || predecessor.serving_received_at.elapsed() >= PREDECESSOR_STOP_TIMEOUT,
        "clients were accepted while the predecessor accepted them too"
    );
    if reports_only_reusable {
        link.send(&HotRestartMessage::reusable_ids_announcement());
    }
    link.send(&HotRestartMessage::OpenSessionIds(session_ids()));
    link.send(&HotRestartMessage::OpenDescriptors(1));
    if early_answer.is_none() {
        assert_eq!(ping.read_line(), "PONG");
    }
    assert_eq!(proxy.connect(&once_only_line()).read_line(), "ERR");
    proxy.assert_no_dial();
    link.send(&HotRestartMessage::EndedSessionIds(session_ids()));
    if reports_only_reusable {
        return drop(open_once_only_session(&proxy));
    }
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(proxy.connect(&once_only_line()).read_line(), "ERR");
    proxy.assert_no_dial();
}

/// A predecessor that does not respond keeps clients waiting for a bounded time only, also one of an earlier build.
#[test]
fn a_successor_accepts_clients_though_its_predecessor_does_not_stop_accepting() {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let (predecessor, _successor) = TestPredecessor::of_an_earlier_build(&mut proxy);
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
    assert!(predecessor.serving_received_at.elapsed() < 4 * PREDECESSOR_STOP_TIMEOUT);
    drop(open_once_only_session(&proxy));
}

/// The sessions of a predecessor may have run before they ended with it, or go on if it has stopped the handover.
#[test_case(false; "the predecessor ends")]
#[test_case(true; "the predecessor stops the handover")]
fn ids_at_the_predecessor_are_rejected_after_the_handover(stopped: bool) {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let (predecessor, _successor) = TestPredecessor::of_the_present_build(&mut proxy);
    let link = &predecessor.link;
    link.send(&HotRestartMessage::OpenSessionIds(session_ids()));
    link.send(&HotRestartMessage::OpenDescriptors(1));
    if stopped {
        link.send(&HotRestartMessage::HandoverStopped);
    }
    predecessor.end();
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(proxy.connect(&once_only_line()).read_line(), "ERR");
    proxy.assert_no_dial();
    // An id that the predecessor did not have is served.
    let (_client, _server) = proxy.open_session();
}

/// A predecessor sends the ids of its sessions, whatever state they are in, before it hands any over. Of those that end it
/// reports the ones whose ids may come again, and no other.
#[test]
fn a_predecessor_sends_the_ids_of_its_sessions_and_of_those_that_never_ran() {
    const REJECTED_ID: &str = "00000000000000bb";
    let proxy = ProxyHarness::with_admin_http(1);
    let _open_session = proxy.open_session();
    let mut client = proxy.connect(&once_only_line());
    let (mut server, _) = proxy.accept_at(0);
    let mut rejected_client = proxy.connect(&once_only_line().replace(SESSION_ID, REJECTED_ID));
    let (mut rejecting_server, _) = proxy.accept_at(0);
    let link = requesting_successor_of(&proxy);
    let open_ids = receive_open_ids(&link);
    assert_eq!(open_ids.len(), 3);
    assert!(open_ids.contains(&SESSION_ID.to_string()), "{open_ids:?}");
    drop(link.expect_session_offer());
    server.send("ERR\r\n");
    assert_eq!(client.read_line(), "ERR");
    rejecting_server.send("BUSY\r\n");
    proxy.accept_at(0).0.send("BUSY\r\n");
    assert!(rejected_client.read_line().starts_with("BUSY"));
    link.expect(&HotRestartMessage::EndedSessionIds(vec![
        REJECTED_ID.to_string(),
    ]));
}

/// A successor is sent the ids of sessions that have ended and may have run, too, and first the announcement that later
/// reports name only those that never ran.
#[test]
fn a_predecessor_sends_the_ids_of_ended_sessions() {
    let proxy = ProxyHarness::with_admin_http(1);
    let mut client = proxy.connect(&once_only_line());
    let (mut server, _) = proxy.accept_at(0);
    server.send("ERR\r\n");
    assert_eq!(client.read_line(), "ERR");
    let link = requesting_successor_of(&proxy);
    link.expect(&HotRestartMessage::reusable_ids_announcement());
    assert_eq!(receive_open_ids(&link), session_ids());
}

/// Ids that the link cannot take at once are sent as the successor reads, before anything else.
#[test]
fn ids_that_do_not_fit_into_the_link_are_sent_later() {
    const SESSIONS: usize = 100;
    const ID_BYTES: usize = 3_900;
    let proxy = ProxyHarness::with_admin_http(1);
    let sessions: Vec<_> = (0..SESSIONS)
        .map(|index| {
            let id = format!("{index:0>ID_BYTES$}");
            let mut client = proxy.connect(&OPEN_LINE.replace(OPEN_LINE_SESSION_ID, &id));
            let (mut server, _) = proxy.accept_at(0);
            server.send("UP r1\r\n");
            assert_eq!(client.read_line(), "UP r1");
            (client, server)
        })
        .collect();
    let link = requesting_successor_of(&proxy);
    std::thread::sleep(Duration::from_millis(100));
    let open_ids: HashSet<String> = receive_open_ids(&link).into_iter().collect();
    assert_eq!(open_ids.len(), sessions.len());
    drop(link.expect_session_offer());
}
