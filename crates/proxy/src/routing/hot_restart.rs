//! Two processes of one proxy, while the younger replaces the elder: who comes to whom, what is handed over. What may
//! be said when stands in `asterramp_hot_restart`; this carries it out. Whatever goes wrong between them, each is whole:
//! the younger binds the clients' address itself, and the elder leaves as at SIGTERM.

use super::client::GREETING;
use super::endpoints::MOST;
use super::session_table::SessionSlot;
use super::{
    ConnectionRole, ReasonCode, Router, Session, SessionMachine, SessionState as LifeStage,
    TimerKey,
};
use crate::protocol::client::{Greeting, greeting};
use crate::protocol::discovery::{List, Listed};
use crate::transport::poll::Want;
use crate::transport::{Key, Stream, link, socket};
use asterramp_hot_restart::{
    BufferedBytes, ConnectionOwnership, Delivery, EndpointRecord, EndpointRecordState,
    HotRestartEffect, HotRestartInput, HotRestartMessage, HotRestartState,
    MAX_ENDPOINTS_PER_MESSAGE, MAX_MESSAGE_BYTES, MAX_PENDING_OFFERS, SessionOffer,
};
use asterramp_placement::event::{EndpointState, Outcome};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Errno;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long the younger waits for what the elder tells at its start; without it, it starts by itself.
const TELLS: Duration = Duration::from_millis(800);
/// How long a caller may take to say what it is, and the younger to serve.
const SAYS: Duration = Duration::from_secs(1);
const SERVES: Duration = Duration::from_secs(10);
/// Pace at which more is offered where the other did not keep up, or a session has come up meanwhile.
const STEP: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Offer {
    Pair(Key),
    Stranger(Key),
}

#[derive(Debug)]
pub struct HotRestartLink {
    path: PathBuf,
    /// Who may touch what.
    state: HotRestartState,
    side: ConnectionOwnership<Offer, Found>,
    door: Option<Key>,
    link: Option<Key>,
    /// Descriptors that the elder holds yet, of those that both may hold.
    pub foreign: usize,
}

/// What an elder told a process that starts.
pub struct InheritedListener {
    pub link: OwnedFd,
    pub door: OwnedFd,
    pub list: List,
}

impl InheritedListener {
    /// Asks the elder that listens at `path`, if there is one. This is before the loop: nobody waits for it yet.
    pub fn ask(path: &Path, listen: SocketAddr) -> Result<Option<InheritedListener>, String> {
        let link = match link::call(path) {
            Ok(link) => link,
            Err(Errno::NOENT | Errno::CONNREFUSED) => return Ok(None),
            Err(e) => return Err(e.to_string()),
        };
        if !socket::is_own_user(&link) {
            return Err("another user listens there".into());
        }
        let until = Instant::now() + TELLS;
        link::send(&link, &HotRestartMessage::Hello.encode(), &[]).map_err(|e| e.to_string())?;
        let mut lines = Vec::new();
        loop {
            match link::receive(&link, MAX_MESSAGE_BYTES).map_err(|e| e.to_string())? {
                Some((message, _)) if message.is_empty() => return Err("it hung up".into()),
                Some((message, mut with)) => match (
                    HotRestartMessage::decode(&message).map_err(|e| e.to_string())?,
                    with.pop(),
                ) {
                    (HotRestartMessage::Endpoints(hosts), None) if lines.len() < MOST => {
                        lines.extend(
                            hosts
                                .into_iter()
                                .map(listed)
                                .collect::<Result<Vec<_>, _>>()?,
                        );
                    }
                    (HotRestartMessage::Listener { list_revision: rev }, Some(door)) => {
                        let at = rustix::net::getsockname(&door)
                            .ok()
                            .and_then(|at| at.try_into().ok());
                        if at != Some(listen) || !socket::is_door(&door) {
                            return Err("its door is another".into());
                        }
                        let list = List {
                            rev,
                            whole: true,
                            lines,
                            bad: None,
                        };
                        return Ok(Some(InheritedListener { link, door, list }));
                    }
                    _ => return Err("it says what makes no sense now".into()),
                },
                None => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err("it is too slow".into());
                    }
                    let time = Timespec {
                        tv_sec: 0,
                        tv_nsec: left.subsec_nanos().into(),
                    };
                    match poll(&mut [PollFd::new(&link, PollFlags::IN)], Some(&time)) {
                        Ok(_) | Err(Errno::INTR) => {}
                        Err(e) => return Err(e.to_string()),
                    }
                }
            }
        }
    }
}

impl Router {
    /// Others that start beside this process may come from now on; `estate` is what this one got from its elder.
    pub(super) fn open_hot_restart(&mut self, path: PathBuf, link: Option<OwnedFd>) {
        let link = link.and_then(|fd| {
            self.register(
                fd,
                ConnectionRole::HotRestart,
                Want {
                    read: true,
                    write: false,
                },
            )
        });
        let stage = if link.is_some() {
            HotRestartState::TakingOver
        } else {
            HotRestartState::Idle
        };
        self.hot_restart = Some(HotRestartLink {
            path,
            state: stage,
            side: ConnectionOwnership::default(),
            door: None,
            link,
            foreign: 0,
        });
    }

    /// This process serves: its elder hands over, and a younger may come.
    pub(super) fn announce_serving(&mut self) {
        if self
            .hot_restart
            .as_ref()
            .is_some_and(|kin| kin.link.is_some())
            && !self.told_kin(&HotRestartMessage::Serving, &[])
        {
            self.kin_input(HotRestartInput::PeerFailed, None, Vec::new());
        }
        self.open_kin();
    }

    fn open_kin(&mut self) {
        let Some(kin) = self.hot_restart.as_ref().filter(|kin| kin.door.is_none()) else {
            return;
        };
        match socket::listen_unix(&kin.path, socket::SocketType::SEQPACKET) {
            Ok(fd) => {
                let door = self.register(
                    fd,
                    ConnectionRole::HotRestartListener,
                    Want {
                        read: true,
                        write: false,
                    },
                );
                self.hot_restart.iter_mut().for_each(|kin| kin.door = door);
            }
            Err(e) => self.log_event(ReasonCode::KinBad, format!("door error={e:?}")),
        }
    }

    /// Nobody may come any more.
    pub fn close_hot_restart(&mut self) {
        let Some(kin) = &mut self.hot_restart else {
            return;
        };
        if let Some(door) = kin.door.take() {
            let _ = std::fs::remove_file(&kin.path);
            self.close(door);
        }
    }

    /// Whether a younger has taken over.
    pub(super) fn has_successor(&self) -> bool {
        self.hot_restart
            .as_ref()
            .is_some_and(|kin| kin.state == HotRestartState::HandingOver)
    }

    pub(super) fn is_offered(&self, sess: Key) -> bool {
        self.hot_restart
            .as_ref()
            .is_some_and(|kin| kin.side.is_offered(&Offer::Pair(sess)))
    }

    /// Whether a connection has been offered, and is nobody's to read or write.
    pub(super) fn is_on_offer(&self, key: Key) -> bool {
        let Some(kin) = &self.hot_restart else {
            return false;
        };
        match self.connections.get(key).map(|conn| conn.role) {
            Some(ConnectionRole::Client(sess) | ConnectionRole::Server(sess)) => {
                kin.side.is_offered(&Offer::Pair(sess))
            }
            Some(ConnectionRole::PendingClient) => kin.side.is_offered(&Offer::Stranger(key)),
            _ => false,
        }
    }

    /// Descriptors that the other process holds.
    pub(super) fn descriptors_of_peer(&self) -> usize {
        self.hot_restart.as_ref().map_or(0, |kin| kin.foreign)
    }

    pub(super) fn accept_successor(&mut self) {
        let door = self.hot_restart.as_ref().and_then(|kin| kin.door);
        let Some(conn) = door.and_then(|door| self.connections.get(door)) else {
            return;
        };
        let Ok(Some(fd)) = socket::accept_unix(&conn.stream) else {
            return;
        };
        if !socket::is_own_user(&fd) {
            return self.log_event(ReasonCode::KinBad, "caller why=\"another user\"");
        }
        self.kin_input(HotRestartInput::PeerConnected, Some(fd), Vec::new());
    }

    pub(super) fn hot_restart_ready(&mut self, key: Key) {
        // Bounded, so that nobody waits for it: what an elder offers is.
        for _ in 0..2 * MAX_PENDING_OFFERS {
            let Some(conn) = self.connections.get(key) else {
                return;
            };
            let (message, with) = match link::receive(&conn.stream, MAX_MESSAGE_BYTES) {
                Ok(None) => return,
                Ok(Some((message, with))) if !message.is_empty() => (message, with),
                Ok(_) => return self.kin_input(HotRestartInput::LinkClosed, None, Vec::new()),
                Err(_) => return self.kin_input(HotRestartInput::PeerFailed, None, Vec::new()),
            };
            let word = HotRestartMessage::decode(&message)
                .map_err(|e| e.to_string())
                .and_then(|word| {
                    if word.descriptor_count() == with.len() {
                        Ok(word)
                    } else {
                        Err("descriptors are missing or too many".to_string())
                    }
                });
            match word {
                Ok(HotRestartMessage::Hello) => {
                    self.kin_input(HotRestartInput::HelloReceived, None, with)
                }
                Ok(HotRestartMessage::Serving) => {
                    self.kin_input(HotRestartInput::ServingReceived, None, with)
                }
                Ok(HotRestartMessage::OfferAccepted) => {
                    self.kin_input(HotRestartInput::OfferAcceptedReceived, None, with)
                }
                Ok(HotRestartMessage::HandoverStopped) => {
                    self.kin_input(HotRestartInput::HandoverStoppedReceived, None, with)
                }
                Ok(HotRestartMessage::OpenDescriptors(n)) => {
                    self.hot_restart
                        .iter_mut()
                        .for_each(|kin| kin.foreign = n as usize);
                    self.kin_input(HotRestartInput::OpenDescriptorsReceived, None, with);
                }
                Ok(
                    word @ (HotRestartMessage::SessionOffer(_)
                    | HotRestartMessage::PendingConnectionOffer(_)),
                ) => self.offered(word, with),
                Ok(HotRestartMessage::Endpoints(_) | HotRestartMessage::Listener { .. }) => {
                    self.kin_input(HotRestartInput::PeerFailed, None, with)
                }
                Err(why) => {
                    self.log_event(ReasonCode::KinBad, format!("message why={why:?}"));
                    self.kin_input(HotRestartInput::PeerFailed, None, with);
                }
            }
        }
    }

    /// The other was silent for too long.
    pub(super) fn hot_restart_deadline(&mut self) {
        self.log_event(ReasonCode::KinBad, "silent");
        self.kin_input(HotRestartInput::PeerFailed, None, Vec::new());
    }

    fn tell_kin(&mut self, word: &HotRestartMessage, with: &[Key]) -> Delivery {
        let link = self.hot_restart.as_ref().and_then(|kin| kin.link);
        let Some(link) = link.and_then(|link| self.connections.get(link)) else {
            return Delivery::PeerGone;
        };
        let with: Option<Vec<BorrowedFd>> = with
            .iter()
            .map(|key| Some(self.connections.get(*key)?.stream.as_fd()))
            .collect();
        match with.map(|with| link::send(&link.stream, &word.encode(), &with)) {
            Some(Ok(true)) => Delivery::Sent,
            Some(Err(Errno::PIPE | Errno::CONNRESET | Errno::CONNREFUSED | Errno::NOTCONN)) => {
                Delivery::PeerGone
            }
            _ => Delivery::LinkFull,
        }
    }

    fn told_kin(&mut self, word: &HotRestartMessage, with: &[Key]) -> bool {
        self.tell_kin(word, with) == Delivery::Sent
    }

    /// Reads the table of stages and does what it says.
    fn kin_input(&mut self, input: HotRestartInput, caller: Option<OwnedFd>, with: Vec<OwnedFd>) {
        // What came along and is not kept is closed.
        drop(with);
        let Some(kin) = &mut self.hot_restart else {
            return;
        };
        let (before, act) = (kin.state, kin.state.apply(input));
        match act {
            HotRestartEffect::AwaitHello => {
                let link = caller.and_then(|fd| {
                    self.register(
                        fd,
                        ConnectionRole::HotRestart,
                        Want {
                            read: true,
                            write: false,
                        },
                    )
                });
                self.hot_restart.iter_mut().for_each(|kin| kin.link = link);
                link.into_iter().for_each(|key| {
                    self.deadlines
                        .set(TimerKey::Connection(key), self.now + SAYS)
                });
            }
            HotRestartEffect::RejectPeer => self.log_event(
                ReasonCode::KinBad,
                "caller why=\"one replaces this already\"",
            ),
            HotRestartEffect::SendState => {
                let told = self.tell_estate();
                let link = self.hot_restart.as_ref().and_then(|kin| kin.link);
                link.into_iter().for_each(|key| {
                    self.deadlines
                        .set(TimerKey::Connection(key), self.now + SERVES)
                });
                if told {
                    // The path is the younger's from now on.
                    self.close_hot_restart();
                } else {
                    self.kin_input(HotRestartInput::PeerFailed, None, Vec::new());
                }
            }
            HotRestartEffect::StopAccepting => {
                let link = self.hot_restart.as_ref().and_then(|kin| kin.link);
                link.into_iter()
                    .for_each(|key| self.deadlines.clear(TimerKey::Connection(key)));
                self.listener
                    .into_iter()
                    .for_each(|door| self.set_interest(door, Want::default()));
                self.deadlines.clear(TimerKey::Listener);
                let holds = HotRestartMessage::OpenDescriptors(self.connections.len() as u32);
                let about = format!("by another process, {} descriptors", self.connections.len());
                self.log_event(ReasonCode::Followed, about);
                if self.told_kin(&holds, &[]) {
                    self.continue_offers();
                } else {
                    self.kin_input(HotRestartInput::PeerFailed, None, Vec::new());
                }
            }
            HotRestartEffect::ReleaseOldestOffer => {
                match self
                    .hot_restart
                    .as_mut()
                    .and_then(|kin| kin.side.accept_oldest())
                {
                    Some(offer) => {
                        self.let_go(offer);
                        self.continue_offers();
                    }
                    None => self.kin_input(HotRestartInput::PeerFailed, None, Vec::new()),
                }
            }
            HotRestartEffect::ReserveDescriptors | HotRestartEffect::AdoptOffer => {}
            // Dropped, they close in this process alone.
            HotRestartEffect::DiscardUnconfirmed => drop(kin.side.take_unconfirmed()),
            HotRestartEffect::CloseLink => {
                drop(kin.side.take_unconfirmed());
                self.part(before, Delivery::PeerGone);
            }
            HotRestartEffect::StopHandover => {
                self.hear_out();
                let told = self.tell_kin(&HotRestartMessage::HandoverStopped, &[]);
                self.part(before, told);
            }
            HotRestartEffect::ResumeOffers => self.part(before, Delivery::PeerGone),
            HotRestartEffect::AdoptUnconfirmed => {
                let untold = kin.side.take_unconfirmed();
                self.part(before, Delivery::PeerGone);
                untold.into_iter().for_each(|found| self.adopt(found));
            }
        }
    }

    /// The younger lives: what it took before this moment is its own, and from now on it can say so no more.
    fn hear_out(&mut self) {
        let link = self
            .hot_restart
            .as_ref()
            .and_then(|kin| kin.link)
            .and_then(|link| self.connections.get(link));
        let mut taken = 0;
        if let Some(link) = link {
            // It fails only for a link that has ended, which then says nothing more.
            let _ = link::hear_no_more(&link.stream);
            while let Ok(Some((message, _))) = link::receive(&link.stream, MAX_MESSAGE_BYTES) {
                if message.is_empty() {
                    break;
                }
                taken += usize::from(
                    HotRestartMessage::decode(&message) == Ok(HotRestartMessage::OfferAccepted),
                );
            }
        }
        for _ in 0..taken {
            let offer = self
                .hot_restart
                .as_mut()
                .and_then(|kin| kin.side.accept_oldest());
            offer.into_iter().for_each(|offer| self.let_go(offer));
        }
    }

    /// The other is gone, or as good as that.
    fn part(&mut self, before: HotRestartState, told: Delivery) {
        let Some(kin) = &mut self.hot_restart else {
            return;
        };
        kin.foreign = 0;
        let (link, end) = (kin.link.take(), kin.side.end_handover(told));
        let (kept, dropped) = (end.resumed, end.released);
        link.into_iter().for_each(|key| drop(self.close(key)));
        self.deadlines.clear(TimerKey::HotRestart);
        self.log_event(
            ReasonCode::KinParted,
            format!(
                "from={} kept={} dropped={}",
                before.log_name(),
                kept.len(),
                dropped.len()
            ),
        );
        kept.into_iter().for_each(|offer| self.take_up(offer));
        dropped.into_iter().for_each(|offer| self.let_go(offer));
        if !self.drain.shuts_door(self.now) && self.serving {
            self.open_listener();
            self.open_kin();
        }
    }

    fn tell_estate(&mut self) -> bool {
        let hosts: Vec<EndpointRecord> = self.endpoints.lines().map(host).collect();
        let Some(door) = self.listener else {
            return false;
        };
        let rev = self.discovery_watch.rev();
        hosts
            .chunks(MAX_ENDPOINTS_PER_MESSAGE)
            .all(|hosts| self.told_kin(&HotRestartMessage::Endpoints(hosts.to_vec()), &[]))
            && self.told_kin(&HotRestartMessage::Listener { list_revision: rev }, &[door])
    }

    /// Offers what may be offered, as many at a time as may be held twice.
    pub(super) fn continue_offers(&mut self) {
        if !self.has_successor() {
            return;
        }
        self.deadlines.set(TimerKey::HotRestart, self.now + STEP);
        let room = self
            .hot_restart
            .as_ref()
            .map_or(0, |kin| kin.side.free_offers());
        let strangers = self.connections.iter().filter(|(key, conn)| {
            let offered = self
                .hot_restart
                .as_ref()
                .is_some_and(|kin| kin.side.is_offered(&Offer::Stranger(*key)));
            conn.role == ConnectionRole::PendingClient
                && conn.stream.ended.is_none()
                && conn.stream.sent()
                && !offered
        });
        let mut offers: Vec<Offer> = strangers
            .map(|(key, _)| Offer::Stranger(key))
            .take(room)
            .collect();
        let sessions = self
            .session_table
            .sessions
            .iter()
            .filter(|(key, held)| self.may_offer(*key, held));
        offers.extend(
            sessions
                .map(|(key, _)| Offer::Pair(key))
                .take(room - offers.len()),
        );
        for offer in offers {
            let Some((word, with)) = self.worded(offer) else {
                continue;
            };
            if !self.told_kin(&word, &with) {
                return;
            }
            // Nothing of it is read or written from here on, until it is dropped or taken up again.
            for key in with {
                self.connections
                    .get(key)
                    .into_iter()
                    .for_each(|conn| self.poll.forget(&conn.stream));
                self.deadlines.clear(TimerKey::Connection(key));
            }
            if let Offer::Pair(sess) = offer {
                self.deadlines.clear(TimerKey::Session(sess));
            }
            self.hot_restart
                .iter_mut()
                .for_each(|kin| kin.side.add_offer(offer));
        }
    }

    /// Open on both sides, with nothing half said by this process and no end on its way.
    fn may_offer(&self, sess: Key, held: &SessionSlot<Session>) -> bool {
        let clean = |key: Option<Key>| {
            let conn = key.and_then(|key| self.connections.get(key));
            conn.is_some_and(|conn| conn.stream.ended.is_none() && conn.stream.sent())
        };
        let (life, own) = (&held.machine, &held.driver_data);
        let open = life.stage == LifeStage::Open && !life.left && own.farewell.is_none();
        open && clean(own.client) && clean(own.server) && !self.is_offered(sess)
    }

    fn worded(&self, offer: Offer) -> Option<(HotRestartMessage, Vec<Key>)> {
        let bytes = |key: Key| {
            let conn = self.connections.get(key)?;
            Some(BufferedBytes {
                validated: conn.complete_len,
                bytes: conn.stream.inbound.bytes().to_vec(),
            })
        };
        match offer {
            Offer::Stranger(key) => Some((
                HotRestartMessage::PendingConnectionOffer(bytes(key)?),
                vec![key],
            )),
            Offer::Pair(sess) => {
                let held = self.session_table.sessions.get(sess)?;
                let (client, server) = (held.driver_data.client?, held.driver_data.server?);
                let due = self
                    .deadlines
                    .of(TimerKey::Session(sess))
                    .filter(|_| held.driver_data.asked);
                // The other process is told when its client is to be moved, not when its server counts as quiet.
                let waits = super::forwarding::rest(self.settings.connect_timeout);
                let later = if held.driver_data.quiet {
                    Duration::ZERO
                } else {
                    waits
                };
                let pair = SessionOffer {
                    opening_line: held.driver_data.line.clone(),
                    server_uid: self.endpoints.name(held.machine.to).into(),
                    answer_within: due.map(|at| at.saturating_sub(self.now) + later),
                    from_client: bytes(client)?,
                    from_server: bytes(server)?,
                };
                Some((HotRestartMessage::SessionOffer(pair), vec![client, server]))
            }
        }
    }

    /// The younger has it: this process drops its own unread, which ends nothing.
    fn let_go(&mut self, offer: Offer) {
        match offer {
            Offer::Stranger(key) => drop(self.let_out(key)),
            Offer::Pair(sess) => {
                self.count_event(ReasonCode::HandedOver);
                let (client, server) = (self.take_client(sess), self.take_server(sess));
                [client, server]
                    .into_iter()
                    .flatten()
                    .for_each(|key| drop(self.let_out(key)));
                let load = asterramp_placement::event::Load::default();
                self.input(
                    sess,
                    super::SessionInput::Closed {
                        outcome: Outcome::CalledOff,
                        load,
                    },
                );
            }
        }
    }

    /// It was not taken: this process goes on with it.
    fn take_up(&mut self, offer: Offer) {
        let watch = |router: &mut Router, key: Key| {
            if let Some(conn) = router.connections.get_mut(key) {
                conn.stream.want = Want {
                    read: true,
                    write: false,
                };
                let _ = router.poll.add(&conn.stream, key, conn.stream.want);
            }
        };
        match offer {
            Offer::Stranger(key) => {
                watch(self, key);
                self.deadlines
                    .set(TimerKey::Connection(key), self.now + GREETING);
                self.read_greeting(key);
            }
            Offer::Pair(sess) => {
                let keys = self
                    .own(sess)
                    .map(|own| (own.client, own.server, own.asked));
                let Some((client, server, asked)) = keys else {
                    return;
                };
                [client, server]
                    .into_iter()
                    .flatten()
                    .for_each(|key| watch(self, key));
                if asked {
                    self.deadlines.set(
                        TimerKey::Session(sess),
                        self.now + super::forwarding::SILENCE,
                    );
                    self.own(sess).into_iter().for_each(|own| own.quiet = true);
                }
                self.forward(sess);
            }
        }
    }

    /// The elder offers something: it is taken only where it is whole and known, and the elder hears that before
    /// anything is done with it.
    fn offered(&mut self, word: HotRestartMessage, with: Vec<OwnedFd>) {
        let taking = self
            .hot_restart
            .as_ref()
            .is_some_and(|kin| kin.state == HotRestartState::TakingOver);
        let found = if taking {
            self.found(word, with)
        } else {
            Err("nothing may be offered now".to_string())
        };
        let taken = found.and_then(|found| {
            let told = self.tell_kin(&HotRestartMessage::OfferAccepted, &[]);
            self.hot_restart
                .as_mut()
                .map_or(Ok(None), |kin| kin.side.receive_offer(found, told))
                .map_err(|error| error.to_string())
        });
        match taken {
            Ok(found) => {
                self.kin_input(HotRestartInput::OfferReceived, None, Vec::new());
                found.into_iter().for_each(|found| self.adopt(found));
            }
            Err(why) => {
                self.log_event(ReasonCode::KinBad, format!("offer why={why:?}"));
                self.kin_input(HotRestartInput::PeerFailed, None, Vec::new());
            }
        }
    }

    /// Goes on with what was the elder's.
    fn adopt(&mut self, found: Found) {
        let less = if matches!(found, Found::Pair(..)) {
            2
        } else {
            1
        };
        self.hot_restart
            .iter_mut()
            .for_each(|kin| kin.foreign = kin.foreign.saturating_sub(less));
        match found {
            Found::Stranger(stream) => {
                let Some(key) = self.register_stream(stream, ConnectionRole::PendingClient, 0)
                else {
                    return;
                };
                self.deadlines
                    .set(TimerKey::Connection(key), self.now + GREETING);
                self.read_greeting(key);
            }
            Found::Pair(pair) => {
                let FoundPair {
                    life,
                    own,
                    client,
                    server,
                    waits,
                } = *pair;
                self.session_ids.insert(own.id().to_string());
                let asked = own.asked;
                let sess = self.session_table.adopt(self.now, life, own);
                let client = self.register_stream(client.0, ConnectionRole::Client(sess), client.1);
                let server = self.register_stream(server.0, ConnectionRole::Server(sess), server.1);
                if let Some(own) = self.own(sess) {
                    (own.client, own.server) = (client, server);
                }
                self.count_event(ReasonCode::Adopted);
                if client.is_none() || server.is_none() {
                    // A socket that cannot be watched is closed already; the session must not stay behind.
                    [client, server]
                        .into_iter()
                        .flatten()
                        .for_each(|key| drop(self.close(key)));
                    self.own(sess)
                        .into_iter()
                        .for_each(|own| (own.client, own.server) = (None, None));
                    let load = asterramp_placement::event::Load::default();
                    return self.input(
                        sess,
                        super::SessionInput::Closed {
                            outcome: Outcome::Reset,
                            load,
                        },
                    );
                }
                if asked {
                    self.deadlines.set(
                        TimerKey::Session(sess),
                        self.now + waits.unwrap_or_default(),
                    );
                }
                self.forward(sess);
            }
        }
    }

    fn found(&self, word: HotRestartMessage, with: Vec<OwnedFd>) -> Result<Found, String> {
        let mut with = with.into_iter();
        let mut stream = |bytes: &BufferedBytes| {
            let fd = with.next().ok_or("a descriptor is missing")?;
            Stream::taken(fd, &bytes.bytes).ok_or("more bytes than may wait")
        };
        match word {
            HotRestartMessage::PendingConnectionOffer(bytes) => {
                Ok(Found::Stranger(stream(&bytes)?))
            }
            HotRestartMessage::SessionOffer(pair) => {
                let text = pair
                    .opening_line
                    .strip_suffix(b"\r\n")
                    .and_then(|line| std::str::from_utf8(line).ok());
                let Some(Ok(Greeting::Open(open))) = text.map(greeting) else {
                    return Err("its first line is none".into());
                };
                let (listener, member) =
                    super::client::places(&self.settings, &open).ok_or("a name is unknown")?;
                let server = self
                    .endpoints
                    .find(&pair.server_uid)
                    .ok_or("its server is unknown")?;
                if self.session_ids.contains(open.id) {
                    return Err("it is open here".into());
                }
                let arrival = super::client::session_request(&open, self.now, listener, member);
                let own = Session {
                    client: None,
                    server: None,
                    line: pair.opening_line.clone(),
                    wait_at: open.wait_at.clone(),
                    open_at: None,
                    asked: pair.answer_within.is_some(),
                    quiet: true,
                    farewell: None,
                };
                let life =
                    SessionMachine::open(self.now, arrival, server, self.settings.connect_timeout);
                let client = (stream(&pair.from_client)?, pair.from_client.validated);
                let server = (stream(&pair.from_server)?, pair.from_server.validated);
                Ok(Found::Pair(Box::new(FoundPair {
                    life,
                    own,
                    client,
                    server,
                    waits: pair.answer_within,
                })))
            }
            _ => Err("no offer".into()),
        }
    }
}

/// An offer that was read and holds.
#[derive(Debug)]
enum Found {
    Stranger(Stream),
    Pair(Box<FoundPair>),
}

#[derive(Debug)]
struct FoundPair {
    life: SessionMachine,
    own: Session,
    /// With what of their bytes is whole lines.
    client: (Stream, usize),
    server: (Stream, usize),
    waits: Option<Duration>,
}

fn host(line: Listed) -> EndpointRecord {
    EndpointRecord {
        uid: line.uid,
        address: line.endpoint.to_string(),
        zone: line.zone,
        cell: line.cell,
        state: match line.standing {
            EndpointState::Ready => EndpointRecordState::Ready,
            EndpointState::Draining => EndpointRecordState::Draining,
            EndpointState::Gone => EndpointRecordState::Gone,
        },
        weight: line.weight,
        started: line.started,
    }
}

fn listed(host: EndpointRecord) -> Result<Listed, &'static str> {
    Ok(Listed {
        endpoint: host.address.parse().map_err(|_| "an endpoint is none")?,
        standing: match host.state {
            EndpointRecordState::Ready => EndpointState::Ready,
            EndpointRecordState::Draining => EndpointState::Draining,
            EndpointRecordState::Gone => EndpointState::Gone,
        },
        uid: host.uid,
        zone: host.zone,
        cell: host.cell,
        weight: host.weight,
        started: host.started,
    })
}
