//! Hot restarts in which the test plays the predecessor or the successor: exactly one of the two processes reads an offered
//! connection, also if the other one fails at that moment.

mod support;

use asterramp_hot_restart::HotRestartMessage;
use rustix::fd::OwnedFd;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use support::{HotRestartLink, LineConnection, ProxyHarness, TestPredecessor};
use test_case::test_case;

/// Bytes that do not decode as a message.
const INVALID_MESSAGE: &[u8] = b"what is this";

/// How a successor fails to which two sessions were offered, of which it accepted none or one.
#[derive(Clone, Copy, PartialEq)]
enum SuccessorFailure {
    /// It closes the link.
    Close,
    /// It sends an invalid message after the acceptances.
    InvalidMessage,
    /// It sends an invalid message before the acceptances, and the predecessor reads all of them in one wake-up.
    InvalidMessageBeforeAccepting,
}

/// The connection to a client, from the descriptors of an offer.
fn adopted_client(mut descriptors: Vec<OwnedFd>) -> LineConnection {
    LineConnection::from_stream(TcpStream::from(descriptors.remove(0)))
}

/// A predecessor does not read a session that it has offered. It resumes the session if the successor closes the link or
/// sends an invalid message before accepting the offer; an accepted session belongs to the successor.
#[test_case(0, SuccessorFailure::Close; "none accepted, the successor closes the link")]
#[test_case(0, SuccessorFailure::InvalidMessage; "none accepted, the successor sends an invalid message")]
#[test_case(1, SuccessorFailure::Close; "one accepted, the successor closes the link")]
#[test_case(1, SuccessorFailure::InvalidMessage; "one accepted, the successor sends an invalid message")]
#[test_case(1, SuccessorFailure::InvalidMessageBeforeAccepting; "one accepted after an invalid message that the predecessor has not read")]
fn an_offered_session_is_read_by_neither_process_until_it_is_accepted(
    accepted: usize,
    failure: SuccessorFailure,
) {
    let proxy = ProxyHarness::with_admin_http(1);
    let mut sessions: Vec<_> = (0..2).map(|_| proxy.open_session()).collect();
    let link = HotRestartLink::as_successor_of(&proxy);
    link.announce_serving();
    let mut offered: Vec<_> = (0..2).map(|_| link.expect_session_offer()).collect();
    for (client, server) in &mut sessions {
        client.send("while nobody's\r\n");
        assert!(
            server.is_quiet(),
            "the predecessor read a session that it had offered"
        );
    }
    if failure == SuccessorFailure::InvalidMessageBeforeAccepting {
        proxy.send_signal("STOP");
        link.send_bytes(INVALID_MESSAGE);
    }
    for descriptors in offered.drain(..accepted) {
        link.send(&HotRestartMessage::OfferAccepted);
        assert_eq!(
            adopted_client(descriptors).read_line(),
            "while nobody's",
            "the successor did not get bytes sent during the offer"
        );
    }
    match failure {
        SuccessorFailure::Close => {}
        SuccessorFailure::InvalidMessage => link.send_bytes(INVALID_MESSAGE),
        SuccessorFailure::InvalidMessageBeforeAccepting => proxy.send_signal("CONT"),
    }
    if failure != SuccessorFailure::Close {
        assert!(
            matches!(
                link.expect_message().message,
                HotRestartMessage::HandoverStopped
            ),
            "the predecessor did not report that it keeps the unaccepted offers"
        );
        assert!(link.receive().is_none());
    }
    drop((link, offered));
    for (client, _) in &mut sessions[..accepted] {
        assert_eq!(
            client.read_line(),
            "FIN",
            "an accepted session outlived the successor"
        );
    }
    for (client, server) in &mut sessions[accepted..] {
        assert_eq!(server.read_line(), "while nobody's");
        server.send("on\r\n");
        assert_eq!(client.read_line(), "on");
    }
}

/// When a client sends bytes during the handover of its connection.
#[derive(Clone, Copy, PartialEq)]
enum ClientSends {
    /// Before the offer; the predecessor finds the bytes in the wake-up in which it offers the connection.
    WithOffer,
    /// After the offer, before the predecessor receives its acceptance.
    BeforeAcceptance,
    /// After the offer, before the predecessor exits without having received an acceptance.
    BeforeExit,
}

/// Kind of connection that is handed over.
#[derive(Clone, Copy, PartialEq)]
enum HandedOver {
    Session,
    /// A client's connection whose first line is incomplete.
    PendingConnection,
}

/// Receives the offer of a connection; the client's socket is the first of its descriptors.
fn expect_offer(link: &HotRestartLink, handed_over: HandedOver) -> Vec<OwnedFd> {
    if handed_over == HandedOver::Session {
        return link.expect_session_offer();
    }
    let received = link.expect_message();
    match received.message {
        HotRestartMessage::PendingConnectionOffer(buffered) => {
            assert_eq!(
                buffered.bytes, b"OPEN 0000",
                "the offer lacks bytes that had been read"
            );
            received.descriptors
        }
        other => panic!("{other:?}"),
    }
}

/// Bytes that a client sends during the handover are read by the successor only, whatever the predecessor has done by then.
#[test_case(ClientSends::WithOffer, HandedOver::Session; "a session, in the predecessor's wake-up that offers it")]
#[test_case(ClientSends::WithOffer, HandedOver::PendingConnection; "a pending connection, in the predecessor's wake-up that offers it")]
#[test_case(ClientSends::BeforeAcceptance, HandedOver::Session; "a session, before the predecessor receives the acceptance")]
#[test_case(ClientSends::BeforeAcceptance, HandedOver::PendingConnection; "a pending connection, before the predecessor receives the acceptance")]
#[test_case(ClientSends::BeforeExit, HandedOver::Session; "a session, before the predecessor exits without an acceptance")]
#[test_case(ClientSends::BeforeExit, HandedOver::PendingConnection; "a pending connection, before the predecessor exits without an acceptance")]
fn bytes_sent_during_a_handover_are_read_by_the_successor(
    client_sends: ClientSends,
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
    if client_sends == ClientSends::WithOffer {
        proxy.send_signal("STOP");
        std::thread::sleep(Duration::from_millis(30));
    }
    link.send(&HotRestartMessage::Serving);
    if client_sends == ClientSends::WithOffer {
        client.send("on\r\n");
        proxy.send_signal("CONT");
    }
    link.expect_open_descriptors();
    let descriptors = expect_offer(&link, handed_over);
    if client_sends != ClientSends::WithOffer {
        client.send("on\r\n");
    }
    if client_sends != ClientSends::BeforeExit {
        link.send(&HotRestartMessage::OfferAccepted);
    }
    // The predecessor has nothing left to hand over, so it exits as soon as it is told to.
    proxy.send_signal("TERM");
    assert_eq!(proxy.wait_for_exit().0, Some(0));
    assert_eq!(adopted_client(descriptors).read_line(), "on");
}

/// A predecessor ends while the link still contains offers. The successor adopts their sessions, unless the predecessor has
/// sent that it stopped the handover and keeps them.
#[test_case(false, ["on", "on"]; "the predecessor ends")]
#[test_case(true, ["FIN", "FIN"]; "the predecessor stops the handover, then ends")]
fn offers_of_a_dead_predecessor_are_adopted_unless_it_stopped_the_handover(
    handover_stopped: bool,
    expected_lines: [&str; 2],
) {
    let mut proxy = ProxyHarness::with_admin_http(1);
    let (predecessor, successor) = TestPredecessor::of_an_earlier_build(&mut proxy);
    // The successor accepts the first offer, but the predecessor never reads the acceptance. Then the successor is stopped,
    // so that it sends nothing more before the predecessor has ended.
    let (mut client, mut server) = predecessor.offer_session(0);
    server.send("first\r\n");
    assert_eq!(client.read_line(), "first");
    successor.send_signal("STOP");
    let mut sessions = vec![(client, server)];
    sessions.extend((1..=expected_lines.len()).map(|index| predecessor.offer_session(index)));
    if handover_stopped {
        predecessor.link.send(&HotRestartMessage::HandoverStopped);
    }
    predecessor.end();
    successor.send_signal("CONT");
    for ((client, server), expected) in sessions
        .iter_mut()
        .zip(["on"].into_iter().chain(expected_lines))
    {
        // Writing may fail: the successor may have closed the connection already.
        let _ = server.0.get_mut().write_all(b"on\r\n");
        assert_eq!(client.read_line(), expected);
    }
    assert_eq!(proxy.connect("PING\r\n").read_line(), "PONG");
}
