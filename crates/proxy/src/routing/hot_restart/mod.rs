//! Hot restart: replaces the process without ending a session.
//!
//! [`asterramp_hot_restart`] defines the messages, the states and which process may use a
//! connection; this module carries that out on sockets. The predecessor listens for a successor at
//! a Unix socket. If the handover fails, each process works without the other: a successor that
//! inherits nothing binds the clients' address itself, and its predecessor shuts down as on
//! SIGTERM.
//!
//! - [`inherited_state`]: requests the predecessor's listener and endpoint list, before the event
//!   loop runs.
//! - [`messages`]: the link while the event loop runs.
//! - [`transitions`]: applies inputs to the state machine and carries out its effects.
//! - [`session_ids`]: which process begins sessions, and the ids of the predecessor's sessions.
//! - [`offers`]: the predecessor's part of the handover.
//! - [`adoption`]: the successor's part of the handover.

mod adoption;
mod endpoint_records;
mod inherited_state;
mod messages;
mod offers;
mod session_ids;
mod transitions;

use super::{ConnectionRole, ReasonCode, Router};
use crate::transport::SlotKey;
use crate::transport::poller::Interest;
use crate::transport::socket::{self, SocketType};
use adoption::ReceivedOffer;
use asterramp_hot_restart::{
    ConnectionOwnership, HotRestartInput, HotRestartMessage, HotRestartState, SendOutcome,
};
pub(super) use inherited_state::InheritedState;
use rustix::fd::OwnedFd;
use session_ids::{PredecessorSessions, SessionReports};
use std::path::PathBuf;

const READABLE: Interest = Interest {
    read: true,
    write: false,
};

/// What this process offers to its successor, as its predecessor.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Offer {
    /// An open session, by its key in the session table.
    Session(SlotKey),
    /// A client's connection without a complete first line, by its own key.
    PendingConnection(SlotKey),
}

/// State of this process in a hot restart, as predecessor or successor.
#[derive(Debug)]
pub(super) struct HotRestart {
    /// The Unix socket at which a successor connects.
    socket_path: PathBuf,
    state: HotRestartState,
    ownership: ConnectionOwnership<Offer, ReceivedOffer>,
    /// Listener at `socket_path`; `None` while no successor may connect.
    listener: Option<SlotKey>,
    /// Connection to the other process; `None` while there is none.
    link: Option<SlotKey>,
    /// Number of connections that the predecessor still has open, by its own report; 0 without a
    /// predecessor. Both processes share one limit of descriptors.
    peer_descriptors: usize,
    /// A process that has connected as the successor while this one still takes over, and waits for that to end.
    waiting_successor: Option<OwnedFd>,
    /// What this process reports of its sessions to its successor.
    session_reports: SessionReports,
    /// What this process knows of the sessions at its predecessor.
    predecessor_sessions: PredecessorSessions,
}

impl Router {
    /// Enables hot restart. A successor will connect at `socket_path`, once this process serves.
    /// `link` is the connection to this process's predecessor, if it has one.
    pub(super) fn open_hot_restart(&mut self, socket_path: PathBuf, link: Option<OwnedFd>) {
        let link = link.and_then(|fd| self.register(fd, ConnectionRole::HotRestart, READABLE));
        let state = match link {
            Some(_) => HotRestartState::TakingOver,
            None => HotRestartState::Idle,
        };
        self.hot_restart = Some(HotRestart {
            socket_path,
            state,
            ownership: ConnectionOwnership::default(),
            listener: None,
            link,
            peer_descriptors: 0,
            waiting_successor: None,
            session_reports: SessionReports::default(),
            predecessor_sessions: PredecessorSessions::at_start(link.is_some()),
        });
    }

    /// Notifies the predecessor that this process can serve clients, and lets a successor connect.
    pub(super) fn announce_serving(&mut self) {
        if self.hot_restart_link().is_some() {
            let send_outcome = self.send_hot_restart(&HotRestartMessage::Serving, &[]);
            if send_outcome != SendOutcome::Sent {
                self.handle_hot_restart_input(HotRestartInput::PeerFailed);
            }
        }
        self.open_successor_listener();
    }

    fn open_successor_listener(&mut self) {
        let Some(hot_restart) = &self.hot_restart else {
            return;
        };
        if hot_restart.listener.is_some() {
            return;
        }
        match socket::listen_unix(&hot_restart.socket_path, SocketType::SEQPACKET) {
            Ok(fd) => {
                let listener = self.register(fd, ConnectionRole::HotRestartListener, READABLE);
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.listener = listener;
                }
            }
            Err(error) => {
                self.log_event(
                    ReasonCode::HotRestartFailed,
                    format!("listener error={error:?}"),
                );
            }
        }
    }

    /// Closes the Unix socket at which a successor connects, and removes its file.
    pub fn close_hot_restart(&mut self) {
        let Some(hot_restart) = &mut self.hot_restart else {
            return;
        };
        if let Some(listener) = hot_restart.listener.take() {
            // This fails only where the file is gone already.
            let _ = std::fs::remove_file(&hot_restart.socket_path);
            self.close(listener);
        }
    }

    fn hot_restart_link(&self) -> Option<SlotKey> {
        self.hot_restart.as_ref()?.link
    }

    /// Whether a successor accepts clients in place of this process, and connections are handed
    /// over.
    pub(super) fn has_successor(&self) -> bool {
        self.hot_restart
            .as_ref()
            .is_some_and(|hot_restart| hot_restart.state == HotRestartState::HandingOver)
    }

    fn is_pending_offer(&self, offer: Offer) -> bool {
        self.hot_restart
            .as_ref()
            .is_some_and(|hot_restart| hot_restart.ownership.is_offered(&offer))
    }

    /// Whether a session has been offered to the successor and not been accepted yet.
    pub(super) fn is_session_offered(&self, session: SlotKey) -> bool {
        self.is_pending_offer(Offer::Session(session))
    }

    /// Whether a connection belongs to a pending offer. Such a connection must not be read or
    /// written.
    pub(super) fn is_connection_offered(&self, connection: SlotKey) -> bool {
        match self
            .connections
            .get(connection)
            .map(|connection| connection.role)
        {
            Some(ConnectionRole::Client(session) | ConnectionRole::Server(session)) => {
                self.is_pending_offer(Offer::Session(session))
            }
            Some(ConnectionRole::PendingClient) => {
                self.is_pending_offer(Offer::PendingConnection(connection))
            }
            _ => false,
        }
    }

    /// Number of descriptors that the predecessor still has open, which count towards the limit
    /// that both processes share; 0 without a predecessor.
    pub(super) fn predecessor_descriptors(&self) -> usize {
        self.hot_restart
            .as_ref()
            .map_or(0, |hot_restart| hot_restart.peer_descriptors)
    }
}
