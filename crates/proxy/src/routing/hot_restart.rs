//! Two processes of one proxy, while the younger replaces the elder: who comes to whom, what is handed over. What may
//! be said when stands in `asterramp_hot_restart`; this carries it out. Whatever goes wrong between them, each is whole:
//! the younger binds the clients' address itself, and the elder leaves as at SIGTERM.

use super::client::GREETING;
use super::endpoints::MOST;
use super::session_table::Held;
use super::{Code, Due, Life, Role, Router, Session, Stage as LifeStage};
use crate::protocol::client::{Greeting, greeting};
use crate::protocol::discovery::{List, Listed};
use crate::transport::poll::Want;
use crate::transport::{Key, Stream, link, socket};
use asterramp_hot_restart::{
    Act, Bytes, HOSTS, Heard, Host, Input, LONGEST, OFFERED, Pair, Side, Stage, Word,
};
use asterramp_placement::event::{Outcome, Standing};
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
pub struct Kin {
    path: PathBuf,
    /// Who may touch what.
    side: Side<Offer, Found>,
    door: Option<Key>,
    link: Option<Key>,
    /// Descriptors that the elder holds yet, of those that both may hold.
    pub foreign: usize,
}

/// What an elder told a process that starts.
pub struct Estate {
    pub link: OwnedFd,
    pub door: OwnedFd,
    pub list: List,
}

impl Estate {
    /// Asks the elder that listens at `path`, if there is one. This is before the loop: nobody waits for it yet.
    pub fn ask(path: &Path, listen: SocketAddr) -> Result<Option<Estate>, String> {
        let link = match link::call(path) {
            Ok(link) => link,
            Err(Errno::NOENT | Errno::CONNREFUSED) => return Ok(None),
            Err(e) => return Err(e.to_string()),
        };
        if !socket::is_own_user(&link) {
            return Err("another user listens there".into());
        }
        let until = Instant::now() + TELLS;
        link::send(&link, &Word::Hello.write(), &[]).map_err(|e| e.to_string())?;
        let mut lines = Vec::new();
        loop {
            match link::receive(&link, LONGEST).map_err(|e| e.to_string())? {
                Some((message, _)) if message.is_empty() => return Err("it hung up".into()),
                Some((message, mut with)) => match (Word::read(&message)?, with.pop()) {
                    (Word::Hosts(hosts), None) if lines.len() < MOST => {
                        lines.extend(
                            hosts
                                .into_iter()
                                .map(listed)
                                .collect::<Result<Vec<_>, _>>()?,
                        );
                    }
                    (Word::Door { rev }, Some(door)) => {
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
                        return Ok(Some(Estate { link, door, list }));
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
    pub(super) fn meet_kin(&mut self, path: PathBuf, link: Option<OwnedFd>) {
        let link = link.and_then(|fd| {
            self.keep(
                fd,
                Role::Kin,
                Want {
                    read: true,
                    write: false,
                },
            )
        });
        let stage = if link.is_some() {
            Stage::Taking
        } else {
            Stage::Alone
        };
        self.kin = Some(Kin {
            path,
            side: Side::new(stage),
            door: None,
            link,
            foreign: 0,
        });
    }

    /// This process serves: its elder hands over, and a younger may come.
    pub(super) fn serves_kin(&mut self) {
        if self.kin.as_ref().is_some_and(|kin| kin.link.is_some())
            && !self.told_kin(&Word::Serves, &[])
        {
            self.kin_input(Input::Broke, None, Vec::new());
        }
        self.open_kin();
    }

    fn open_kin(&mut self) {
        let Some(kin) = self.kin.as_ref().filter(|kin| kin.door.is_none()) else {
            return;
        };
        match socket::listen_unix(&kin.path, socket::SocketType::SEQPACKET) {
            Ok(fd) => {
                let door = self.keep(
                    fd,
                    Role::KinDoor,
                    Want {
                        read: true,
                        write: false,
                    },
                );
                self.kin.iter_mut().for_each(|kin| kin.door = door);
            }
            Err(e) => self.line(Code::KinBad, format!("door error={e:?}")),
        }
    }

    /// Nobody may come any more.
    pub fn shut_kin(&mut self) {
        let Some(kin) = &mut self.kin else { return };
        if let Some(door) = kin.door.take() {
            let _ = std::fs::remove_file(&kin.path);
            self.close(door);
        }
    }

    /// Whether a younger has taken over.
    pub(super) fn is_followed(&self) -> bool {
        self.kin
            .as_ref()
            .is_some_and(|kin| kin.side.stage == Stage::Handing)
    }

    pub(super) fn is_offered(&self, sess: Key) -> bool {
        self.kin
            .as_ref()
            .is_some_and(|kin| kin.side.is_offered(&Offer::Pair(sess)))
    }

    /// Whether a connection has been offered, and is nobody's to read or write.
    pub(super) fn is_lent(&self, key: Key) -> bool {
        let Some(kin) = &self.kin else { return false };
        match self.conns.get(key).map(|conn| conn.role) {
            Some(Role::Client(sess) | Role::Server(sess)) => {
                kin.side.is_offered(&Offer::Pair(sess))
            }
            Some(Role::Greeting) => kin.side.is_offered(&Offer::Stranger(key)),
            _ => false,
        }
    }

    /// Descriptors that the other process holds.
    pub(super) fn foreign(&self) -> usize {
        self.kin.as_ref().map_or(0, |kin| kin.foreign)
    }

    pub(super) fn accept_kin(&mut self) {
        let door = self.kin.as_ref().and_then(|kin| kin.door);
        let Some(conn) = door.and_then(|door| self.conns.get(door)) else {
            return;
        };
        let Ok(Some(fd)) = socket::accept_unix(&conn.stream) else {
            return;
        };
        if !socket::is_own_user(&fd) {
            return self.line(Code::KinBad, "caller why=\"another user\"");
        }
        self.kin_input(Input::Came, Some(fd), Vec::new());
    }

    pub(super) fn kin_woken(&mut self, key: Key) {
        // Bounded, so that nobody waits for it: what an elder offers is.
        for _ in 0..2 * OFFERED {
            let Some(conn) = self.conns.get(key) else {
                return;
            };
            let (message, with) = match link::receive(&conn.stream, LONGEST) {
                Ok(None) => return,
                Ok(Some((message, with))) if !message.is_empty() => (message, with),
                Ok(_) => return self.kin_input(Input::Over, None, Vec::new()),
                Err(_) => return self.kin_input(Input::Broke, None, Vec::new()),
            };
            let word = Word::read(&message).and_then(|word| {
                if word.descriptors() == with.len() {
                    Ok(word)
                } else {
                    Err("descriptors are missing or too many")
                }
            });
            match word {
                Ok(Word::Hello) => self.kin_input(Input::Said, None, with),
                Ok(Word::Serves) => self.kin_input(Input::Serves, None, with),
                Ok(Word::Taken) => self.kin_input(Input::Taken, None, with),
                Ok(Word::Kept) => self.kin_input(Input::Kept, None, with),
                Ok(Word::Holds(n)) => {
                    self.kin.iter_mut().for_each(|kin| kin.foreign = n as usize);
                    self.kin_input(Input::Held, None, with);
                }
                Ok(word @ (Word::Pair(_) | Word::Stranger(_))) => self.offered(word, with),
                Ok(Word::Hosts(_) | Word::Door { .. }) => self.kin_input(Input::Broke, None, with),
                Err(why) => {
                    self.line(Code::KinBad, format!("message why={why:?}"));
                    self.kin_input(Input::Broke, None, with);
                }
            }
        }
    }

    /// The other was silent for too long.
    pub(super) fn kin_due(&mut self) {
        self.line(Code::KinBad, "silent");
        self.kin_input(Input::Broke, None, Vec::new());
    }

    fn tell_kin(&mut self, word: &Word, with: &[Key]) -> Heard {
        let link = self.kin.as_ref().and_then(|kin| kin.link);
        let Some(link) = link.and_then(|link| self.conns.get(link)) else {
            return Heard::Gone;
        };
        let with: Option<Vec<BorrowedFd>> = with
            .iter()
            .map(|key| Some(self.conns.get(*key)?.stream.as_fd()))
            .collect();
        match with.map(|with| link::send(&link.stream, &word.write(), &with)) {
            Some(Ok(true)) => Heard::Yes,
            Some(Err(Errno::PIPE | Errno::CONNRESET | Errno::CONNREFUSED | Errno::NOTCONN)) => {
                Heard::Gone
            }
            _ => Heard::Full,
        }
    }

    fn told_kin(&mut self, word: &Word, with: &[Key]) -> bool {
        self.tell_kin(word, with) == Heard::Yes
    }

    /// Reads the table of stages and does what it says.
    fn kin_input(&mut self, input: Input, caller: Option<OwnedFd>, with: Vec<OwnedFd>) {
        // What came along and is not kept is closed.
        drop(with);
        let Some(kin) = &mut self.kin else { return };
        let (before, act) = (kin.side.stage, kin.side.stage.step(input));
        match act {
            Act::Nothing => {
                let link = caller.and_then(|fd| {
                    self.keep(
                        fd,
                        Role::Kin,
                        Want {
                            read: true,
                            write: false,
                        },
                    )
                });
                self.kin.iter_mut().for_each(|kin| kin.link = link);
                link.into_iter()
                    .for_each(|key| self.deadlines.set(Due::Conn(key), self.now + SAYS));
            }
            Act::TurnAway => self.line(Code::KinBad, "caller why=\"one replaces this already\""),
            Act::TellState => {
                let told = self.tell_estate();
                let link = self.kin.as_ref().and_then(|kin| kin.link);
                link.into_iter()
                    .for_each(|key| self.deadlines.set(Due::Conn(key), self.now + SERVES));
                if told {
                    // The path is the younger's from now on.
                    self.shut_kin();
                } else {
                    self.kin_input(Input::Broke, None, Vec::new());
                }
            }
            Act::StopTaking => {
                let link = self.kin.as_ref().and_then(|kin| kin.link);
                link.into_iter()
                    .for_each(|key| self.deadlines.clear(Due::Conn(key)));
                self.door
                    .into_iter()
                    .for_each(|door| self.want(door, Want::default()));
                self.deadlines.clear(Due::Door);
                let holds = Word::Holds(self.conns.len() as u32);
                let about = format!("by another process, {} descriptors", self.conns.len());
                self.line(Code::Followed, about);
                if self.told_kin(&holds, &[]) {
                    self.offer_on();
                } else {
                    self.kin_input(Input::Broke, None, Vec::new());
                }
            }
            Act::DropOffer => match self.kin.as_mut().and_then(|kin| kin.side.dropped()) {
                Some(offer) => {
                    self.let_go(offer);
                    self.offer_on();
                }
                None => self.kin_input(Input::Broke, None, Vec::new()),
            },
            Act::Heed | Act::Adopt => {}
            // Dropped, they close in this process alone.
            Act::Leave => drop(kin.side.untold()),
            Act::HangUp => {
                drop(kin.side.untold());
                self.part(before, Heard::Gone);
            }
            Act::KeepOn => {
                self.hear_out();
                let told = self.tell_kin(&Word::Kept, &[]);
                self.part(before, told);
            }
            Act::GoOn => self.part(before, Heard::Gone),
            Act::Inherit => {
                let untold = kin.side.untold();
                self.part(before, Heard::Gone);
                untold.into_iter().for_each(|found| self.adopt(found));
            }
        }
    }

    /// The younger lives: what it took before this moment is its own, and from now on it can say so no more.
    fn hear_out(&mut self) {
        let link = self
            .kin
            .as_ref()
            .and_then(|kin| kin.link)
            .and_then(|link| self.conns.get(link));
        let mut taken = 0;
        if let Some(link) = link {
            // It fails only for a link that has ended, which then says nothing more.
            let _ = link::hear_no_more(&link.stream);
            while let Ok(Some((message, _))) = link::receive(&link.stream, LONGEST) {
                if message.is_empty() {
                    break;
                }
                taken += usize::from(Word::read(&message) == Ok(Word::Taken));
            }
        }
        for _ in 0..taken {
            let offer = self.kin.as_mut().and_then(|kin| kin.side.dropped());
            offer.into_iter().for_each(|offer| self.let_go(offer));
        }
    }

    /// The other is gone, or as good as that.
    fn part(&mut self, before: Stage, told: Heard) {
        let Some(kin) = &mut self.kin else { return };
        kin.foreign = 0;
        let (link, (kept, dropped)) = (kin.link.take(), kin.side.parted(told));
        link.into_iter().for_each(|key| drop(self.close(key)));
        self.deadlines.clear(Due::Kin);
        self.line(
            Code::KinParted,
            format!(
                "from={before:?} kept={} dropped={}",
                kept.len(),
                dropped.len()
            ),
        );
        kept.into_iter().for_each(|offer| self.take_up(offer));
        dropped.into_iter().for_each(|offer| self.let_go(offer));
        if !self.drain.shuts_door(self.now) && self.serving {
            self.open_door();
            self.open_kin();
        }
    }

    fn tell_estate(&mut self) -> bool {
        let hosts: Vec<Host> = self.roster.lines().map(host).collect();
        let Some(door) = self.door else { return false };
        let rev = self.watch.rev();
        hosts
            .chunks(HOSTS)
            .all(|hosts| self.told_kin(&Word::Hosts(hosts.to_vec()), &[]))
            && self.told_kin(&Word::Door { rev }, &[door])
    }

    /// Offers what may be offered, as many at a time as may be held twice.
    pub(super) fn offer_on(&mut self) {
        if !self.is_followed() {
            return;
        }
        self.deadlines.set(Due::Kin, self.now + STEP);
        let room = self.kin.as_ref().map_or(0, |kin| kin.side.room());
        let strangers = self.conns.iter().filter(|(key, conn)| {
            let offered = self
                .kin
                .as_ref()
                .is_some_and(|kin| kin.side.is_offered(&Offer::Stranger(*key)));
            conn.role == Role::Greeting
                && conn.stream.ended.is_none()
                && conn.stream.sent()
                && !offered
        });
        let mut offers: Vec<Offer> = strangers
            .map(|(key, _)| Offer::Stranger(key))
            .take(room)
            .collect();
        let sessions = self
            .exchange
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
                self.conns
                    .get(key)
                    .into_iter()
                    .for_each(|conn| self.poll.forget(&conn.stream));
                self.deadlines.clear(Due::Conn(key));
            }
            if let Offer::Pair(sess) = offer {
                self.deadlines.clear(Due::Session(sess));
            }
            self.kin.iter_mut().for_each(|kin| kin.side.offered(offer));
        }
    }

    /// Open on both sides, with nothing half said by this process and no end on its way.
    fn may_offer(&self, sess: Key, held: &Held<Session>) -> bool {
        let clean = |key: Option<Key>| {
            let conn = key.and_then(|key| self.conns.get(key));
            conn.is_some_and(|conn| conn.stream.ended.is_none() && conn.stream.sent())
        };
        let (life, own) = (&held.life, &held.own);
        let open = life.stage == LifeStage::Open && !life.left && own.farewell.is_none();
        open && clean(own.client) && clean(own.server) && !self.is_offered(sess)
    }

    fn worded(&self, offer: Offer) -> Option<(Word, Vec<Key>)> {
        let bytes = |key: Key| {
            let conn = self.conns.get(key)?;
            Some(Bytes {
                whole: conn.whole,
                bytes: conn.stream.inbound.bytes().to_vec(),
            })
        };
        match offer {
            Offer::Stranger(key) => Some((Word::Stranger(bytes(key)?), vec![key])),
            Offer::Pair(sess) => {
                let held = self.exchange.sessions.get(sess)?;
                let (client, server) = (held.own.client?, held.own.server?);
                let due = self
                    .deadlines
                    .of(Due::Session(sess))
                    .filter(|_| held.own.asked);
                // The other process is told when its client is to be moved, not when its server counts as quiet.
                let waits = super::forwarding::rest(self.setup.connect_within);
                let later = if held.own.quiet {
                    Duration::ZERO
                } else {
                    waits
                };
                let pair = Pair {
                    line: held.own.line.clone(),
                    uid: self.roster.name(held.life.to).into(),
                    waits: due.map(|at| at.saturating_sub(self.now) + later),
                    client: bytes(client)?,
                    server: bytes(server)?,
                };
                Some((Word::Pair(pair), vec![client, server]))
            }
        }
    }

    /// The younger has it: this process drops its own unread, which ends nothing.
    fn let_go(&mut self, offer: Offer) {
        match offer {
            Offer::Stranger(key) => drop(self.let_out(key)),
            Offer::Pair(sess) => {
                self.count(Code::HandedOver);
                let (client, server) = (self.take_client(sess), self.take_server(sess));
                [client, server]
                    .into_iter()
                    .flatten()
                    .for_each(|key| drop(self.let_out(key)));
                let load = asterramp_placement::event::Load::default();
                self.input(
                    sess,
                    super::Input::Closed {
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
            if let Some(conn) = router.conns.get_mut(key) {
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
                self.deadlines.set(Due::Conn(key), self.now + GREETING);
                self.greeted(key);
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
                    self.deadlines
                        .set(Due::Session(sess), self.now + super::forwarding::SILENCE);
                    self.own(sess).into_iter().for_each(|own| own.quiet = true);
                }
                self.relay(sess);
            }
        }
    }

    /// The elder offers something: it is taken only where it is whole and known, and the elder hears that before
    /// anything is done with it.
    fn offered(&mut self, word: Word, with: Vec<OwnedFd>) {
        let taking = self
            .kin
            .as_ref()
            .is_some_and(|kin| kin.side.stage == Stage::Taking);
        let found = if taking {
            self.found(word, with)
        } else {
            Err("nothing may be offered now")
        };
        let taken = found.and_then(|found| {
            let told = self.tell_kin(&Word::Taken, &[]);
            self.kin
                .as_mut()
                .map_or(Ok(None), |kin| kin.side.read(found, told))
        });
        match taken {
            Ok(found) => {
                self.kin_input(Input::Offered, None, Vec::new());
                found.into_iter().for_each(|found| self.adopt(found));
            }
            Err(why) => {
                self.line(Code::KinBad, format!("offer why={why:?}"));
                self.kin_input(Input::Broke, None, Vec::new());
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
        self.kin
            .iter_mut()
            .for_each(|kin| kin.foreign = kin.foreign.saturating_sub(less));
        match found {
            Found::Stranger(stream) => {
                let Some(key) = self.keep_stream(stream, Role::Greeting, 0) else {
                    return;
                };
                self.deadlines.set(Due::Conn(key), self.now + GREETING);
                self.greeted(key);
            }
            Found::Pair(pair) => {
                let FoundPair {
                    life,
                    own,
                    client,
                    server,
                    waits,
                } = *pair;
                self.ids.insert(own.id().to_string());
                let asked = own.asked;
                let sess = self.exchange.adopt(self.now, life, own);
                let client = self.keep_stream(client.0, Role::Client(sess), client.1);
                let server = self.keep_stream(server.0, Role::Server(sess), server.1);
                if let Some(own) = self.own(sess) {
                    (own.client, own.server) = (client, server);
                }
                self.count(Code::Adopted);
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
                        super::Input::Closed {
                            outcome: Outcome::Reset,
                            load,
                        },
                    );
                }
                if asked {
                    self.deadlines
                        .set(Due::Session(sess), self.now + waits.unwrap_or_default());
                }
                self.relay(sess);
            }
        }
    }

    fn found(&self, word: Word, with: Vec<OwnedFd>) -> Result<Found, &'static str> {
        let mut with = with.into_iter();
        let mut stream = |bytes: &Bytes| {
            let fd = with.next().ok_or("a descriptor is missing")?;
            Stream::taken(fd, &bytes.bytes).ok_or("more bytes than may wait")
        };
        match word {
            Word::Stranger(bytes) => Ok(Found::Stranger(stream(&bytes)?)),
            Word::Pair(pair) => {
                let text = pair
                    .line
                    .strip_suffix(b"\r\n")
                    .and_then(|line| std::str::from_utf8(line).ok());
                let Some(Ok(Greeting::Open(open))) = text.map(greeting) else {
                    return Err("its first line is none");
                };
                let (listener, member) =
                    super::client::places(&self.setup, &open).ok_or("a name is unknown")?;
                let server = self.roster.find(&pair.uid).ok_or("its server is unknown")?;
                if self.ids.contains(open.id) {
                    return Err("it is open here");
                }
                let arrival = super::client::arrival(&open, self.now, listener, member);
                let own = Session {
                    client: None,
                    server: None,
                    line: pair.line.clone(),
                    wait_at: open.wait_at.clone(),
                    open_at: None,
                    asked: pair.waits.is_some(),
                    quiet: true,
                    farewell: None,
                };
                let life = Life::open(self.now, arrival, server, self.setup.connect_within);
                let client = (stream(&pair.client)?, pair.client.whole);
                let server = (stream(&pair.server)?, pair.server.whole);
                Ok(Found::Pair(Box::new(FoundPair {
                    life,
                    own,
                    client,
                    server,
                    waits: pair.waits,
                })))
            }
            _ => Err("no offer"),
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
    life: Life,
    own: Session,
    /// With what of their bytes is whole lines.
    client: (Stream, usize),
    server: (Stream, usize),
    waits: Option<Duration>,
}

fn host(line: Listed) -> Host {
    Host {
        uid: line.uid,
        endpoint: line.endpoint.to_string(),
        zone: line.zone,
        cell: line.cell,
        standing: line.standing as u8,
        weight: line.weight,
        started: line.started,
    }
}

fn listed(host: Host) -> Result<Listed, &'static str> {
    let standing = [Standing::Ready, Standing::Draining, Standing::Gone];
    Ok(Listed {
        endpoint: host.endpoint.parse().map_err(|_| "an endpoint is none")?,
        standing: *standing
            .get(usize::from(host.standing))
            .ok_or("a standing is none")?,
        uid: host.uid,
        zone: host.zone,
        cell: host.cell,
        weight: host.weight,
        started: host.started,
    })
}
