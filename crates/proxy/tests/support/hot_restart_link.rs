//! The test's end of the link between the two processes of a hot restart.

use super::ProxyHarness;
use asterramp_hot_restart::{HotRestartMessage, MAX_MESSAGE_BYTES};
use asterramp_proxy::transport::{seqpacket, socket};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};

/// Longest wait for a message on the link.
const MESSAGE_TIMEOUT: Timespec = Timespec {
    tv_sec: 3,
    tv_nsec: 0,
};

/// A message and the descriptors attached to it.
pub(crate) struct LinkMessage {
    pub(crate) message: HotRestartMessage,
    pub(crate) descriptors: Vec<OwnedFd>,
}

/// The end of the link that belongs to the process played by the test.
pub(crate) struct HotRestartLink(OwnedFd);

impl HotRestartLink {
    /// Connects to a proxy as its successor, and receives its endpoints and its listener.
    pub(crate) fn as_successor_of(proxy: &ProxyHarness) -> HotRestartLink {
        let link = HotRestartLink(seqpacket::connect(&proxy.hot_restart_socket()).unwrap());
        link.send(&HotRestartMessage::Hello);
        while !matches!(
            link.expect_message().message,
            HotRestartMessage::Listener { .. }
        ) {}
        link
    }

    /// Waits at a listening socket until a successor connects.
    pub(crate) fn accept(listener: &OwnedFd) -> HotRestartLink {
        poll(&mut [PollFd::new(listener, PollFlags::IN)], None).unwrap();
        HotRestartLink(socket::accept_unix(listener).unwrap().unwrap())
    }

    /// Sends a message without descriptors.
    pub(crate) fn send(&self, message: &HotRestartMessage) {
        self.send_with(message, &[]);
    }

    /// Sends a message with descriptors.
    pub(crate) fn send_with(&self, message: &HotRestartMessage, descriptors: &[BorrowedFd<'_>]) {
        assert!(seqpacket::send(&self.0, &message.encode(), descriptors).unwrap());
    }

    /// Sends bytes that need not decode as a message.
    pub(crate) fn send_bytes(&self, bytes: &[u8]) {
        assert!(seqpacket::send(&self.0, bytes, &[]).unwrap());
    }

    /// Ends the link for the peer at once. Closing the descriptor could do so late: a process that another test forks at this
    /// moment holds a copy of every descriptor until its `exec`.
    pub(crate) fn shut_down(&self) {
        rustix::net::shutdown(&self.0, rustix::net::Shutdown::Both).unwrap();
    }

    /// Waits for the next message; `None` if the peer has ended the link.
    pub(crate) fn receive(&self) -> Option<LinkMessage> {
        assert_eq!(
            poll(
                &mut [PollFd::new(&self.0, PollFlags::IN)],
                Some(&MESSAGE_TIMEOUT)
            ),
            Ok(1),
            "no message within the time-out"
        );
        let received = seqpacket::receive(&self.0, MAX_MESSAGE_BYTES)
            .unwrap()
            .expect("a message");
        (!received.bytes.is_empty()).then(|| LinkMessage {
            message: HotRestartMessage::decode(&received.bytes).unwrap(),
            descriptors: received.descriptors,
        })
    }

    /// Waits for the next message; fails if the peer has ended the link.
    pub(crate) fn expect_message(&self) -> LinkMessage {
        self.receive().expect("the link has ended")
    }

    /// Waits for the next message, which must be this one.
    pub(crate) fn expect(&self, expected: &HotRestartMessage) {
        assert_eq!(self.expect_message().message, *expected);
    }

    /// Sends that the successor serves, and receives how many descriptors the predecessor has open.
    pub(crate) fn announce_serving(&self) {
        self.send(&HotRestartMessage::Serving);
        self.expect_open_descriptors();
    }

    /// Receives how many descriptors the predecessor has open.
    pub(crate) fn expect_open_descriptors(&self) {
        assert!(matches!(
            self.expect_message().message,
            HotRestartMessage::OpenDescriptors(_)
        ));
    }

    /// Receives the offer of a session; returns the sockets of its client and its server, in this order.
    pub(crate) fn expect_session_offer(&self) -> Vec<OwnedFd> {
        let received = self.expect_message();
        match received.message {
            HotRestartMessage::SessionOffer(_) => received.descriptors,
            other => panic!("{other:?}"),
        }
    }
}
