//! Hot restarts in which the test is one of the two processes: who reads an offered connection, whatever either does.

mod support;

use asterramp_hot_restart::{
    BufferedBytes, EndpointRecord, EndpointRecordState, HotRestartMessage, SessionOffer,
};
use asterramp_proxy::transport::socket;
use rustix::fd::{AsFd, OwnedFd};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use support::{
    HotRestartLink, LineConnection, OPEN_LINE, OPEN_LINE_SESSION_ID, ProxyHarness, SecondProcess,
    list_line,
};
use test_case::test_case;

/// Bytes that are no message.
const RUBBISH: &[u8] = b"what is this";

/// How a successor fails that was offered two sessions, and accepted none or one.
#[derive(Clone, Copy, PartialEq)]
enum SuccessorFailure {
    Close,
    Rubbish,
    /// The rubbish is sent before the acceptances, but the predecessor reads both at once.
    RubbishBeforeAccepting,
}

/// A client's socket as it was handed over.
fn adopted_client(mut descriptors: Vec<OwnedFd>) -> LineConnection {
    LineConnection::from_stream(TcpStream::from(descriptors.remove(0)))
}

/// What is offered is left alone by the predecessor, and goes on there if the successor ends, or sends rubbish, before
/// it has accepted; what it accepted is its own.
#[test_case(0, SuccessorFailure::Close; "nothing accepted, it ends")]
#[test_case(0, SuccessorFailure::Rubbish; "nothing accepted, it sends rubbish")]
#[test_case(1, SuccessorFailure::Close; "one accepted, it ends")]
#[test_case(1, SuccessorFailure::Rubbish; "one accepted, it sends rubbish")]
#[test_case(1, SuccessorFailure::RubbishBeforeAccepting; "it sends rubbish, and accepts one before that is read")]
fn an_offered_session_is_nobodys_until_it_is_accepted(accepted: usize, failure: SuccessorFailure) {
    let proxy = ProxyHarness::with_admin_http(1);
    let mut sessions: Vec<_> = (0..2).map(|_| proxy.open_session()).collect();
    let link = HotRestartLink::as_successor_of(&proxy);
    link.announce_serving();
    let mut offered: Vec<_> = (0..2).map(|_| link.expect_session_offer()).collect();
    for (client, server) in &mut sessions {
        client.send("while nobody's\r\n");
        assert!(
            server.is_quiet(),
            "the predecessor leaves alone what it has offered"
        );
    }
    if failure == SuccessorFailure::RubbishBeforeAccepting {
        proxy.send_signal("STOP");
        link.send_bytes(RUBBISH);
    }
    for descriptors in offered.drain(..accepted) {
        link.send(&HotRestartMessage::OfferAccepted);
        assert_eq!(
            adopted_client(descriptors).read_line(),
            "while nobody's",
            "it is the successor's to read"
        );
    }
    match failure {
        SuccessorFailure::Close => {}
        SuccessorFailure::Rubbish => link.send_bytes(RUBBISH),
        SuccessorFailure::RubbishBeforeAccepting => proxy.send_signal("CONT"),
    }
    if failure != SuccessorFailure::Close {
        assert!(
            matches!(
                link.expect_message().message,
                HotRestartMessage::HandoverStopped
            ),
            "the predecessor says what becomes of the rest"
        );
        assert!(link.receive().is_none());
    }
    drop((link, offered));
    for (client, _) in &mut sessions[..accepted] {
        assert_eq!(client.read_line(), "FIN", "it ended with the successor");
    }
    for (client, server) in &mut sessions[accepted..] {
        assert_eq!(server.read_line(), "while nobody's");
        server.send("on\r\n");
        assert_eq!(client.read_line(), "on");
    }
}

/// When a client's bytes come that is being handed over.
#[derive(Clone, Copy, PartialEq)]
enum BytesCome {
    /// In the predecessor's wake-up that offers the connection.
    WithOffer,
    /// Before the predecessor hears that the offer is accepted.
    BeforeAcceptance,
    /// Before the predecessor ends, which never hears that the offer is accepted.
    BeforeEnd,
}

/// What is handed over.
#[derive(Clone, Copy, PartialEq)]
enum HandedOver {
    Session,
    PendingConnection,
}

/// Receives the offer of what is handed over; its client's socket comes first.
fn expect_offer(link: &HotRestartLink, handed_over: HandedOver) -> Vec<OwnedFd> {
    if handed_over == HandedOver::Session {
        return link.expect_session_offer();
    }
    let received = link.expect_message();
    match received.message {
        HotRestartMessage::PendingConnectionOffer(buffered) => {
            assert_eq!(buffered.bytes, b"OPEN 0000", "it had been read");
            received.descriptors
        }
        other => panic!("{other:?}"),
    }
}

/// What a client sends while it is handed over is read by the successor alone, wherever the predecessor stands then.
#[test_case(BytesCome::WithOffer, HandedOver::Session; "a session, in the predecessor's wake-up that offers it")]
#[test_case(BytesCome::WithOffer, HandedOver::PendingConnection; "a pending connection, in the predecessor's wake-up that offers it")]
#[test_case(BytesCome::BeforeAcceptance, HandedOver::Session; "a session, before the predecessor hears that it is accepted")]
#[test_case(BytesCome::BeforeAcceptance, HandedOver::PendingConnection; "a pending connection, before the predecessor hears that it is accepted")]
#[test_case(BytesCome::BeforeEnd, HandedOver::Session; "a session, before the predecessor ends without hearing")]
#[test_case(BytesCome::BeforeEnd, HandedOver::PendingConnection; "a pending connection, before the predecessor ends without hearing")]
fn bytes_that_come_in_a_handover_are_the_successors_to_read(
    bytes_come: BytesCome,
    handed_over: HandedOver,
) {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let (mut client, _server) = match handed_over {
        HandedOver::Session => {
            let (client, server) = proxy.open_session();
            (client, Some(server))
        }
        HandedOver::PendingConnection => (proxy.connect("OPEN 0000"), None),
    };
    let link = HotRestartLink::as_successor_of(&proxy);
    if bytes_come == BytesCome::WithOffer {
        proxy.send_signal("STOP");
        std::thread::sleep(Duration::from_millis(30));
    }
    link.send(&HotRestartMessage::Serving);
    if bytes_come == BytesCome::WithOffer {
        client.send("on\r\n");
        proxy.send_signal("CONT");
    }
    link.expect_open_descriptors();
    let descriptors = expect_offer(&link, handed_over);
    if bytes_come != BytesCome::WithOffer {
        client.send("on\r\n");
    }
    if bytes_come != BytesCome::BeforeEnd {
        link.send(&HotRestartMessage::OfferAccepted);
    }
    // With nothing left to hand over and told to shut down, it ends.
    proxy.send_signal("TERM");
    assert_eq!(proxy.wait_for_exit().0, Some(0));
    assert_eq!(adopted_client(descriptors).read_line(), "on");
}

/// A predecessor that is the test, in place of a proxy's first process.
struct TestPredecessor {
    link: HotRestartLink,
    /// Closed with the predecessor.
    _listeners: [OwnedFd; 2],
}

impl TestPredecessor {
    /// Kills the first process, starts a successor and plays the hot restart until that serves.
    fn in_place_of(proxy: &mut ProxyHarness) -> (TestPredecessor, SecondProcess) {
        proxy.process.kill().unwrap();
        proxy.process.wait().unwrap();
        std::fs::remove_file(proxy.hot_restart_socket()).unwrap();
        let clients_listener = socket::listen(proxy.listen_address, true).unwrap();
        let link_listener =
            socket::listen_unix(&proxy.hot_restart_socket(), socket::SocketType::SEQPACKET)
                .unwrap();
        let successor = proxy.start_second_process();
        let link = HotRestartLink::accept(&link_listener);
        assert!(matches!(
            link.expect_message().message,
            HotRestartMessage::Hello
        ));
        link.send(&HotRestartMessage::Endpoints(vec![endpoint_record(proxy)]));
        link.send_with(
            &HotRestartMessage::Listener { list_revision: 7 },
            &[clients_listener.as_fd()],
        );
        let watch = proxy.accept_watch().lists;
        watch.send(list_line(8, false, &[])).unwrap();
        assert!(matches!(
            link.expect_message().message,
            HotRestartMessage::Serving
        ));
        assert!(successor.becomes_ready());
        let predecessor = TestPredecessor {
            link,
            _listeners: [clients_listener, link_listener],
        };
        (predecessor, successor)
    }

    /// Ends as a process does that is killed.
    fn end(self) {
        self.link.shut_down();
    }

    /// Offers an open session; its client and its server.
    fn offer_session(&self, session: usize) -> (LineConnection, LineConnection) {
        let ((client, client_side), (server, server_side)) = (connection(), connection());
        let nothing_buffered = || BufferedBytes {
            validated_len: 0,
            bytes: Vec::new(),
        };
        let offer = SessionOffer {
            opening_line: OPEN_LINE
                .replace(OPEN_LINE_SESSION_ID, &format!("00000000000000a{session}"))
                .into_bytes(),
            server_uid: "s-0".into(),
            response_timeout: None,
            from_client: nothing_buffered(),
            from_server: nothing_buffered(),
        };
        self.link.send_with(
            &HotRestartMessage::SessionOffer(offer),
            &[client_side.as_fd(), server_side.as_fd()],
        );
        (client, server)
    }
}

/// One server as the predecessor knows it.
fn endpoint_record(proxy: &ProxyHarness) -> EndpointRecord {
    EndpointRecord {
        uid: "s-0".into(),
        address: proxy.server_address(0).to_string(),
        zone: "a".into(),
        cell: 0,
        state: EndpointRecordState::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// Both ends of a connection.
fn connection() -> (LineConnection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (
        LineConnection::from_stream(near),
        listener.accept().unwrap().0,
    )
}

/// A predecessor ends with offers in the link. The successor adopts them, unless the predecessor has sent that it goes on
/// with them.
#[test_case(false, ["on", "on"]; "it ends")]
#[test_case(true, ["FIN", "FIN"]; "it goes on with them")]
fn offers_of_a_dead_predecessor_are_the_successors(goes_on: bool, clients_read: [&str; 2]) {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let (predecessor, successor) = TestPredecessor::in_place_of(&mut proxy);
    // The first is accepted, and the predecessor never reads that. From then on the successor does not run, so it can
    // send nothing more before the predecessor is dead.
    let (mut client, mut server) = predecessor.offer_session(0);
    server.send("first\r\n");
    assert_eq!(client.read_line(), "first");
    successor.send_signal("STOP");
    let mut sessions = vec![(client, server)];
    sessions.extend((1..=clients_read.len()).map(|nth| predecessor.offer_session(nth)));
    if goes_on {
        predecessor.link.send(&HotRestartMessage::HandoverStopped);
    }
    predecessor.end();
    successor.send_signal("CONT");
    for ((client, server), reads) in sessions
        .iter_mut()
        .zip(["on"].into_iter().chain(clients_read))
    {
        // The connection may be closed already.
        let _ = server.0.get_mut().write_all(b"on\r\n");
        assert_eq!(client.read_line(), reads);
    }
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
}
