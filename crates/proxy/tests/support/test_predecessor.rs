//! A predecessor played by the test, from which a real process takes over.

use super::{
    HotRestartLink, LineConnection, OPEN_LINE, OPEN_LINE_SESSION_ID, ProxyHarness, SecondProcess,
    list_line,
};
use asterramp_hot_restart::{
    BufferedBytes, EndpointRecord, EndpointRecordState, HotRestartMessage, SessionOffer,
};
use asterramp_proxy::transport::socket;
use rustix::fd::{AsFd, OwnedFd};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A predecessor played by the test, in place of a proxy's first process.
pub(crate) struct TestPredecessor {
    pub(crate) link: HotRestartLink,
    /// When the successor announced that it can serve clients.
    pub(crate) serving_received_at: Instant,
    /// The listeners for clients and for successors, kept open until the predecessor ends.
    _listeners: [OwnedFd; 2],
}

impl TestPredecessor {
    /// Plays a predecessor of the present build, which sends the ids of its sessions on request.
    pub(crate) fn of_the_present_build(
        proxy: &mut ProxyHarness,
    ) -> (TestPredecessor, SecondProcess) {
        TestPredecessor::in_place_of(proxy, true)
    }

    /// Plays a predecessor of a build that knows no messages with session ids.
    pub(crate) fn of_an_earlier_build(
        proxy: &mut ProxyHarness,
    ) -> (TestPredecessor, SecondProcess) {
        TestPredecessor::in_place_of(proxy, false)
    }

    /// Kills the proxy's first process, starts a successor and performs the hot restart until the successor is ready.
    fn in_place_of(
        proxy: &mut ProxyHarness,
        sends_session_ids: bool,
    ) -> (TestPredecessor, SecondProcess) {
        proxy.process.kill().unwrap();
        proxy.process.wait().unwrap();
        std::fs::remove_file(proxy.hot_restart_socket()).unwrap();
        let client_listener = socket::listen(proxy.listen_address, true).unwrap();
        let link_listener =
            socket::listen_unix(&proxy.hot_restart_socket(), socket::SocketType::SEQPACKET)
                .unwrap();
        let successor = proxy.start_second_process();
        let link = HotRestartLink::accept(&link_listener);
        link.expect(&HotRestartMessage::Hello);
        if sends_session_ids {
            link.send(&HotRestartMessage::session_ids_announcement());
        }
        link.send(&HotRestartMessage::Endpoints(vec![endpoint_record(proxy)]));
        link.send_with(
            &HotRestartMessage::Listener { list_revision: 7 },
            &[client_listener.as_fd()],
        );
        if sends_session_ids {
            link.expect(&HotRestartMessage::SessionIdsRequested);
        }
        let watch = proxy.accept_watch().lists;
        watch.send(list_line(8, false, &[])).unwrap();
        link.expect(&HotRestartMessage::Serving);
        let serving_received_at = Instant::now();
        assert!(successor.becomes_ready());
        let predecessor = TestPredecessor {
            link,
            serving_received_at,
            _listeners: [client_listener, link_listener],
        };
        (predecessor, successor)
    }

    /// Ends the link as if the process were killed.
    pub(crate) fn end(self) {
        self.link.shut_down();
    }

    /// Offers an established session whose client has reset its connection after the predecessor read these lines from it;
    /// returns the outer end of its server's connection.
    pub(crate) fn offer_session_of_gone_client(&self, lines: &[u8]) -> LineConnection {
        let ((client, client_side), (server, server_side)) = (connection(), connection());
        let stream = client.0.into_inner();
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
        drop(stream);
        let offer = SessionOffer {
            opening_line: OPEN_LINE.as_bytes().to_vec(),
            server_uid: "s-0".into(),
            response_timeout: None,
            from_client: BufferedBytes {
                validated_len: lines.len(),
                bytes: lines.to_vec(),
            },
            from_server: BufferedBytes::default(),
        };
        self.link.send_with(
            &HotRestartMessage::SessionOffer(offer),
            &[client_side.as_fd(), server_side.as_fd()],
        );
        server
    }

    /// Offers an established session; returns the outer ends of its connections, the client's and the server's. The index
    /// becomes the last digit of the session's id.
    pub(crate) fn offer_session(&self, index: usize) -> (LineConnection, LineConnection) {
        let ((client, client_side), (server, server_side)) = (connection(), connection());
        let no_buffered_bytes = || BufferedBytes {
            validated_len: 0,
            bytes: Vec::new(),
        };
        let offer = SessionOffer {
            opening_line: OPEN_LINE
                .replace(OPEN_LINE_SESSION_ID, &format!("00000000000000a{index}"))
                .into_bytes(),
            server_uid: "s-0".into(),
            response_timeout: None,
            from_client: no_buffered_bytes(),
            from_server: no_buffered_bytes(),
        };
        self.link.send_with(
            &HotRestartMessage::SessionOffer(offer),
            &[client_side.as_fd(), server_side.as_fd()],
        );
        (client, server)
    }
}

/// The predecessor's record of the proxy's first server.
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

/// Both ends of a new TCP connection.
fn connection() -> (LineConnection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (
        LineConnection::from_stream(connected),
        listener.accept().unwrap().0,
    )
}
