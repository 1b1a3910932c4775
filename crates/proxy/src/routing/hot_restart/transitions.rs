//! Applies inputs to the hot-restart state machine, and carries out its effects.

use crate::routing::{ReasonCode, Router, TimerKey};
use crate::transport::poller::Interest;
use asterramp_hot_restart::{
    HotRestartEffect, HotRestartInput, HotRestartMessage, HotRestartState, SendOutcome,
};
use rustix::fd::OwnedFd;
use std::time::Duration;

/// How long a process that has connected may take to send `Hello`.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a successor may take from there until it accepts clients.
const SERVING_TIMEOUT: Duration = Duration::from_secs(10);

impl Router {
    /// Another process of this user has connected.
    pub(super) fn hot_restart_peer_connected(&mut self, fd: OwnedFd) {
        let Some(hot_restart) = &mut self.hot_restart else {
            return;
        };
        let before = hot_restart.state;
        match hot_restart.state.apply(HotRestartInput::PeerConnected) {
            HotRestartEffect::AwaitHello => {
                if let Some(link) = self.watch_hot_restart_link(fd) {
                    self.deadlines
                        .set(TimerKey::Connection(link), self.now + HELLO_TIMEOUT);
                }
            }
            // The connection closes as `fd` is dropped.
            effect => self.carry_out_hot_restart(before, effect),
        }
    }

    /// Applies an input that came over the link, and carries out what follows from it.
    pub(super) fn handle_hot_restart_input(&mut self, input: HotRestartInput) {
        if let Some(hot_restart) = &mut self.hot_restart {
            let before = hot_restart.state;
            let effect = hot_restart.state.apply(input);
            self.carry_out_hot_restart(before, effect);
        }
    }

    fn carry_out_hot_restart(&mut self, before: HotRestartState, effect: HotRestartEffect) {
        match effect {
            // Done by whoever has the connection or the message at hand.
            HotRestartEffect::AwaitHello
            | HotRestartEffect::ReserveDescriptors
            | HotRestartEffect::AdoptOffer => {}
            HotRestartEffect::RejectPeer => self.log_event(
                ReasonCode::HotRestartFailed,
                "caller why=\"one replaces this already\"",
            ),
            HotRestartEffect::SendState => self.send_state(),
            HotRestartEffect::StopAccepting => self.stop_accepting(),
            HotRestartEffect::ReleaseOldestOffer => self.release_oldest_offer(),
            HotRestartEffect::DiscardUnconfirmed => self.discard_unconfirmed_offers(),
            HotRestartEffect::CloseLink => {
                self.discard_unconfirmed_offers();
                self.end_hot_restart(before, SendOutcome::PeerGone);
            }
            HotRestartEffect::StopHandover => {
                self.release_accepted_offers();
                let notice = self.send_hot_restart(&HotRestartMessage::HandoverStopped, &[]);
                self.end_hot_restart(before, notice);
            }
            HotRestartEffect::ResumeOffers => self.end_hot_restart(before, SendOutcome::PeerGone),
            HotRestartEffect::AdoptUnconfirmed => {
                let received = self.take_unconfirmed_offers();
                self.end_hot_restart(before, SendOutcome::PeerGone);
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

    /// The successor accepts clients: this process accepts none, and begins to hand over.
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
        let message = HotRestartMessage::OpenDescriptors(open_descriptors as u32);
        if self.send_hot_restart(&message, &[]) == SendOutcome::Sent {
            self.continue_offers();
        } else {
            self.handle_hot_restart_input(HotRestartInput::PeerFailed);
        }
    }

    fn release_oldest_offer(&mut self) {
        match self.accept_oldest_offer() {
            Some(offer) => {
                self.release_offer(offer);
                self.continue_offers();
            }
            None => self.handle_hot_restart_input(HotRestartInput::PeerFailed),
        }
    }

    /// Closes the link, and settles what becomes of the offers that were not accepted.
    fn end_hot_restart(&mut self, before: HotRestartState, stop_notice: SendOutcome) {
        let Some(hot_restart) = &mut self.hot_restart else {
            return;
        };
        hot_restart.peer_descriptors = 0;
        let link = hot_restart.link.take();
        let end = hot_restart.ownership.end_handover(stop_notice);
        if let Some(link) = link {
            self.close(link);
        }
        self.deadlines.clear(TimerKey::HotRestart);
        let about = format!(
            "from={} kept={} dropped={}",
            before.log_name(),
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
        if !self.drain.closes_listener(self.now) && self.serving {
            self.open_listener();
            self.open_successor_listener();
        }
    }
}
