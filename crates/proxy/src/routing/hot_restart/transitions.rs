//! Applies inputs to the hot-restart state machine, and carries out its effects.

use super::session_ids::SessionReports;
use crate::routing::{ReasonCode, Router, TimerKey};
use crate::transport::poller::Interest;
use crate::transport::seqpacket;
use asterramp_hot_restart::{
    HotRestartEffect, HotRestartInput, HotRestartMessage, HotRestartState, SendOutcome,
};
use rustix::fd::OwnedFd;
use std::time::Duration;

/// How long a process that has connected may take to send `Hello` before the link is closed.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a successor may take to accept clients once it has been sent the listener; after that
/// the handover ends.
const SERVING_TIMEOUT: Duration = Duration::from_secs(10);

impl Router {
    /// Applies the connection of another process of the same user, which may become the successor.
    pub(super) fn hot_restart_peer_connected(&mut self, fd: OwnedFd) {
        let Some(hot_restart) = &mut self.hot_restart else {
            return;
        };
        let previous_state = hot_restart.state;
        if previous_state == HotRestartState::TakingOver {
            return self.keep_successor_waiting(fd);
        }
        match hot_restart.state.apply(HotRestartInput::PeerConnected) {
            HotRestartEffect::AwaitHello => {
                if let Some(link) = self.watch_hot_restart_link(fd) {
                    self.deadlines
                        .set(TimerKey::Connection(link), self.now + HELLO_TIMEOUT);
                }
            }
            // The connection closes as `fd` is dropped.
            effect => self.carry_out_hot_restart(previous_state, effect),
        }
    }

    /// Keeps a process waiting that has connected as the successor while this one takes over from its predecessor: without
    /// a link it would begin sessions without their ids. The announcement notifies it that it is worth waiting. The
    /// last one to connect waits, since an earlier one may have ended.
    fn keep_successor_waiting(&mut self, fd: OwnedFd) {
        let announcement = HotRestartMessage::session_ids_announcement().encode();
        // This fails only for a process that has ended, which is found when its turn comes.
        let _ = seqpacket::send(&fd, &announcement, &[]);
        let Some(hot_restart) = &mut self.hot_restart else {
            return;
        };
        if hot_restart.waiting_successor.replace(fd).is_some() {
            self.log_peer_rejected();
        }
    }

    fn log_peer_rejected(&mut self) {
        let about = "caller why=\"one replaces this already\"";
        self.log_event(ReasonCode::HotRestartFailed, about);
    }

    /// Applies an input to the state machine and carries out the effect; nothing where hot restart
    /// is disabled.
    pub(super) fn handle_hot_restart_input(&mut self, input: HotRestartInput) {
        if let Some(hot_restart) = &mut self.hot_restart {
            let previous_state = hot_restart.state;
            let effect = hot_restart.state.apply(input);
            self.carry_out_hot_restart(previous_state, effect);
        }
    }

    fn carry_out_hot_restart(&mut self, previous_state: HotRestartState, effect: HotRestartEffect) {
        match effect {
            // Carried out by the callers, which have the connection or the message at hand.
            HotRestartEffect::AwaitHello
            | HotRestartEffect::RecordSessionIds
            | HotRestartEffect::AdoptOffer => {}
            HotRestartEffect::ReserveDescriptors => self.predecessor_stopped_accepting(),
            HotRestartEffect::ShareSessionIds => {
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.share_session_ids();
                }
            }
            HotRestartEffect::RejectPeer => self.log_peer_rejected(),
            HotRestartEffect::SendState => self.send_state(),
            HotRestartEffect::StopAccepting => self.stop_accepting(),
            HotRestartEffect::ReleaseOldestOffer => self.release_oldest_offer(),
            HotRestartEffect::DiscardUnconfirmed => {
                self.discard_unconfirmed_offers();
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.predecessor_sessions.keep();
                }
            }
            HotRestartEffect::CloseLink => {
                self.discard_unconfirmed_offers();
                self.end_hot_restart(previous_state, SendOutcome::PeerGone);
            }
            HotRestartEffect::StopHandover => {
                self.release_accepted_offers();
                let notice = self.send_hot_restart(&HotRestartMessage::HandoverStopped, &[]);
                self.end_hot_restart(previous_state, notice);
            }
            HotRestartEffect::ResumeOffers => {
                self.end_hot_restart(previous_state, SendOutcome::PeerGone)
            }
            HotRestartEffect::AdoptUnconfirmed => {
                let received = self.take_unconfirmed_offers();
                self.end_hot_restart(previous_state, SendOutcome::PeerGone);
                for offer in received {
                    self.adopt(offer);
                }
            }
        }
    }

    /// Sends the endpoint list and the listener, and closes the socket at which a successor
    /// connects: its path is the successor's from now on.
    fn send_state(&mut self) {
        let sent = self.send_endpoints_and_listener();
        if let Some(link) = self.hot_restart_link() {
            self.deadlines
                .set(TimerKey::Connection(link), self.now + SERVING_TIMEOUT);
        }
        if sent {
            self.close_hot_restart();
        } else {
            self.handle_hot_restart_input(HotRestartInput::PeerFailed);
        }
    }

    /// Stops accepting clients and beginning sessions, notifies the successor, which does so from
    /// then on, and begins to hand over connections.
    fn stop_accepting(&mut self) {
        if let Some(link) = self.hot_restart_link() {
            self.deadlines.clear(TimerKey::Connection(link));
        }
        if let Some(listener) = self.listener {
            self.set_interest(listener, Interest::default());
        }
        self.deadlines.clear(TimerKey::Listener);
        let open_descriptors = self.connections.len();
        let about = format!("by another process, {open_descriptors} descriptors");
        self.log_event(ReasonCode::SuccessorServing, about);
        self.queue_open_sessions();
        self.continue_offers();
    }

    fn release_oldest_offer(&mut self) {
        match self.take_accepted_offer() {
            Some(offer) => {
                self.release_offer(offer);
                self.continue_offers();
            }
            None => self.handle_hot_restart_input(HotRestartInput::PeerFailed),
        }
    }

    /// Closes the link, and resumes or releases the offers that were not accepted. `stop_notice` is
    /// the result of sending `HandoverStopped`; `PeerGone` where it was not to be sent.
    fn end_hot_restart(&mut self, previous_state: HotRestartState, stop_notice: SendOutcome) {
        let Some(hot_restart) = &mut self.hot_restart else {
            return;
        };
        hot_restart.peer_descriptors = 0;
        hot_restart.session_reports = SessionReports::default();
        let ended_ids = hot_restart.predecessor_sessions.link_ended();
        let link = hot_restart.link.take();
        let waiting_successor = hot_restart.waiting_successor.take();
        let end = hot_restart.ownership.end_handover(stop_notice);
        self.remember_session_ids(ended_ids);
        if let Some(link) = link {
            self.close(link);
        }
        self.deadlines.clear(TimerKey::HotRestart);
        let about = format!(
            "from={} kept={} dropped={}",
            previous_state.log_name(),
            end.resumed.len(),
            end.released.len()
        );
        self.log_event(ReasonCode::HotRestartEnded, about);
        for offer in end.resumed {
            self.resume_offer(offer);
        }
        for offer in end.released {
            self.release_offer(offer);
        }
        self.read_held_requests();
        if !self.drain.closes_listener(self.now) && self.serving {
            self.open_listener();
            self.open_successor_listener();
        }
        if let Some(fd) = waiting_successor {
            self.hot_restart_peer_connected(fd);
        }
    }
}
