//! What two processes of one proxy say to each other while the younger replaces the elder, and when each may say it.
//! No I/O: a word is one message, and the descriptors that go with it are counted by [`Word::descriptors`].
//!
//! What is handed over belongs to one of them at any moment. The elder offers a connection and leaves it alone; the
//! younger says that it has taken it before it touches it; the elder then drops its own. Where the younger ends
//! without having said so, the elder goes on. Where the elder has ended, the younger takes what it reads to the end.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use std::collections::VecDeque;
use std::time::Duration;

/// Of the words below; another is a stranger's.
pub const VERSION: u8 = 1;
const MAGIC: &[u8; 3] = b"ARH";
/// Magic, version, kind, and the length of what follows.
const HEAD: usize = 9;
/// Longest message.
pub const LONGEST: usize = 64 * 1024;
/// Most hosts that one message tells.
pub const HOSTS: usize = 32;
/// Longest name, address or place.
const NAME: usize = 256;
/// Connections offered and not taken yet, at most: what is held twice.
pub const OFFERED: usize = 16;

/// A server as discovery told it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    pub uid: String,
    pub endpoint: String,
    pub zone: String,
    pub cell: u16,
    /// 0 ready, 1 draining, 2 gone.
    pub standing: u8,
    pub weight: f64,
    /// When it started, in Unix time.
    pub started: Option<Duration>,
}

/// Bytes that came from one side and are not passed on, the first `whole` of which are checked lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BufferedBytes {
    pub whole: usize,
    pub bytes: Vec<u8>,
}

/// An open connection, with its client's first line.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenConnection {
    pub line: Vec<u8>,
    pub uid: String,
    /// How long its server may still leave the client's line unanswered, if it does.
    pub waits: Option<Duration>,
    pub client: BufferedBytes,
    pub server: BufferedBytes,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The younger is there.
    Hello,
    /// Servers that the elder knows.
    Hosts(Vec<EndpointRecord>),
    /// The clients' door, and the version of discovery's list that the hosts are of.
    Door { rev: u64 },
    /// The younger serves.
    Serves,
    /// How many descriptors the elder holds yet, of those that both may hold.
    Holds(u32),
    /// An open connection: its client's socket and its server's.
    Pair(OpenConnection),
    /// A connection that has not said all of what it wants.
    Stranger(BufferedBytes),
    /// The oldest offer that is not taken yet is the younger's.
    Taken,
    /// The elder hangs up and goes on with all that is not taken.
    Kept,
}

impl Message {
    /// How many descriptors go with it.
    pub fn descriptors(&self) -> usize {
        match self {
            Message::Door { .. } | Message::Stranger(_) => 1,
            Message::Pair(_) => 2,
            _ => 0,
        }
    }

    pub fn write(&self) -> Vec<u8> {
        let (mut body, mut kind) = (Vec::new(), 0);
        let mut put = |n: u8| kind = n;
        match self {
            Message::Hello => put(1),
            Message::Hosts(hosts) => {
                put(2);
                hosts.iter().for_each(|host| host.write(&mut body));
            }
            Message::Door { rev } => {
                put(3);
                body.extend(rev.to_le_bytes());
            }
            Message::Serves => put(4),
            Message::Holds(n) => {
                put(5);
                body.extend(n.to_le_bytes());
            }
            Message::Pair(pair) => {
                put(6);
                pair.write(&mut body);
            }
            Message::Stranger(bytes) => {
                put(7);
                bytes.write(&mut body);
            }
            Message::Taken => put(8),
            Message::Kept => put(9),
        }
        let mut message = [
            MAGIC,
            &[VERSION, kind][..],
            &(body.len() as u32).to_le_bytes(),
        ]
        .concat();
        message.extend(body);
        message
    }

    /// Reads a message; an error says what is wrong with it.
    pub fn read(message: &[u8]) -> Result<Message, &'static str> {
        if message.len() < HEAD || message[..3] != MAGIC[..] {
            return Err("no message of this kind");
        }
        if message[3] != VERSION {
            return Err("another version");
        }
        let mut rest = Rest(&message[5..]);
        if rest.number::<4>()? as usize != rest.0.len() || message.len() > LONGEST {
            return Err("a wrong length");
        }
        let word = match message[4] {
            1 => Message::Hello,
            2 => {
                let mut hosts = Vec::new();
                while !rest.0.is_empty() {
                    hosts.push(EndpointRecord::read(&mut rest)?);
                }
                Message::Hosts(hosts)
            }
            3 => Message::Door {
                rev: rest.number::<8>()?,
            },
            4 => Message::Serves,
            5 => Message::Holds(rest.number::<4>()? as u32),
            6 => Message::Pair(OpenConnection::read(&mut rest)?),
            7 => Message::Stranger(BufferedBytes::read(&mut rest)?),
            8 => Message::Taken,
            9 => Message::Kept,
            _ => return Err("an unknown word"),
        };
        if rest.0.is_empty() {
            Ok(word)
        } else {
            Err("more than the word")
        }
    }
}

/// What is left of a message.
struct Rest<'a>(&'a [u8]);

impl<'a> Rest<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], &'static str> {
        let (taken, rest) = self.0.split_at_checked(n).ok_or("it ends too soon")?;
        self.0 = rest;
        Ok(taken)
    }

    fn number<const N: usize>(&mut self) -> Result<u64, &'static str> {
        let mut eight = [0; 8];
        eight[..N].copy_from_slice(self.take(N)?);
        Ok(u64::from_le_bytes(eight))
    }

    fn bytes(&mut self) -> Result<&'a [u8], &'static str> {
        let n = self.number::<4>()?;
        self.take(n as usize)
    }

    fn name(&mut self) -> Result<String, &'static str> {
        let bytes = self.bytes()?;
        let text = std::str::from_utf8(bytes).map_err(|_| "a name is not text")?;
        if text.len() > NAME {
            Err("a name is too long")
        } else {
            Ok(text.into())
        }
    }
}

fn put(body: &mut Vec<u8>, bytes: &[u8]) {
    body.extend((bytes.len() as u32).to_le_bytes());
    body.extend(bytes);
}

impl EndpointRecord {
    fn write(&self, body: &mut Vec<u8>) {
        [&self.uid, &self.endpoint, &self.zone]
            .into_iter()
            .for_each(|name| put(body, name.as_bytes()));
        body.extend(self.cell.to_le_bytes());
        body.push(self.standing);
        body.extend(self.weight.to_bits().to_le_bytes());
        let started = self.started.map_or(0, |at| at.as_millis() as u64);
        body.extend(started.to_le_bytes());
    }

    fn read(rest: &mut Rest) -> Result<EndpointRecord, &'static str> {
        let (uid, endpoint, zone) = (rest.name()?, rest.name()?, rest.name()?);
        let (cell, standing) = (rest.number::<2>()? as u16, rest.number::<1>()? as u8);
        let (weight, started) = (f64::from_bits(rest.number::<8>()?), rest.number::<8>()?);
        if standing > 2 || !weight.is_finite() || weight < 0.0 {
            return Err("a host's standing or weight is none");
        }
        let started = (started > 0).then(|| Duration::from_millis(started));
        Ok(EndpointRecord {
            uid,
            endpoint,
            zone,
            cell,
            standing,
            weight,
            started,
        })
    }
}

impl BufferedBytes {
    fn write(&self, body: &mut Vec<u8>) {
        body.extend((self.whole as u32).to_le_bytes());
        put(body, &self.bytes);
    }

    fn read(rest: &mut Rest) -> Result<BufferedBytes, &'static str> {
        let (whole, bytes) = (rest.number::<4>()? as usize, rest.bytes()?.to_vec());
        if whole > bytes.len() {
            Err("more lines than bytes")
        } else {
            Ok(BufferedBytes { whole, bytes })
        }
    }
}

impl OpenConnection {
    fn write(&self, body: &mut Vec<u8>) {
        put(body, &self.line);
        put(body, self.uid.as_bytes());
        body.extend(
            self.waits
                .map_or(u32::MAX, |span| span.as_millis() as u32)
                .to_le_bytes(),
        );
        self.client.write(body);
        self.server.write(body);
    }

    fn read(rest: &mut Rest) -> Result<OpenConnection, &'static str> {
        let (line, uid) = (rest.bytes()?.to_vec(), rest.name()?);
        let waits = Some(rest.number::<4>()? as u32).filter(|ms| *ms != u32::MAX);
        let waits = waits.map(|ms| Duration::from_millis(ms.into()));
        Ok(OpenConnection {
            line,
            uid,
            waits,
            client: BufferedBytes::read(rest)?,
            server: BufferedBytes::read(rest)?,
        })
    }
}

/// Where a process stands with the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HotRestartState {
    /// There is no other.
    Alone,
    /// Somebody has come to the elder and not said what it is.
    Called,
    /// The younger has the door, and does not serve yet; the elder does.
    Told,
    /// The younger serves: the elder takes nobody in and hands over what it holds.
    Handing,
    /// This is the younger; the elder hands over.
    Taking,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HotRestartInput {
    Came,
    Said,
    Serves,
    Taken,
    Held,
    Offered,
    /// The elder keeps what is not taken.
    Kept,
    /// It was silent too long or made no sense.
    Broke,
    /// It ended, and all that it said has been read.
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HotRestartEffect {
    Nothing,
    /// Turn the caller away.
    TurnAway,
    TellState,
    StopTaking,
    DropOffer,
    /// Use no more descriptors than the other leaves.
    Heed,
    Adopt,
    /// Nothing that it could not be told of is taken.
    Leave,
    /// Hang up, and do as if nobody had come.
    HangUp,
    /// Say so, hang up and go on with all that is not taken.
    KeepOn,
    /// Hang up and go on with all that is not taken: the other is gone.
    GoOn,
    /// Hang up; what it could not be told of is this one's.
    Inherit,
}

/// Stage, input, next stage, what is done. What is not listed makes no sense there: hang up.
const TABLE: &[(
    HotRestartState,
    HotRestartInput,
    HotRestartState,
    HotRestartEffect,
)] = &[
    (
        HotRestartState::Alone,
        HotRestartInput::Came,
        HotRestartState::Called,
        HotRestartEffect::Nothing,
    ),
    // One replaces at a time; who comes meanwhile starts by itself.
    (
        HotRestartState::Called,
        HotRestartInput::Came,
        HotRestartState::Called,
        HotRestartEffect::TurnAway,
    ),
    (
        HotRestartState::Told,
        HotRestartInput::Came,
        HotRestartState::Told,
        HotRestartEffect::TurnAway,
    ),
    (
        HotRestartState::Handing,
        HotRestartInput::Came,
        HotRestartState::Handing,
        HotRestartEffect::TurnAway,
    ),
    (
        HotRestartState::Taking,
        HotRestartInput::Came,
        HotRestartState::Taking,
        HotRestartEffect::TurnAway,
    ),
    (
        HotRestartState::Called,
        HotRestartInput::Said,
        HotRestartState::Told,
        HotRestartEffect::TellState,
    ),
    (
        HotRestartState::Told,
        HotRestartInput::Serves,
        HotRestartState::Handing,
        HotRestartEffect::StopTaking,
    ),
    (
        HotRestartState::Handing,
        HotRestartInput::Taken,
        HotRestartState::Handing,
        HotRestartEffect::DropOffer,
    ),
    (
        HotRestartState::Handing,
        HotRestartInput::Over,
        HotRestartState::Alone,
        HotRestartEffect::GoOn,
    ),
    (
        HotRestartState::Taking,
        HotRestartInput::Kept,
        HotRestartState::Taking,
        HotRestartEffect::Leave,
    ),
    (
        HotRestartState::Taking,
        HotRestartInput::Over,
        HotRestartState::Alone,
        HotRestartEffect::Inherit,
    ),
    (
        HotRestartState::Taking,
        HotRestartInput::Held,
        HotRestartState::Taking,
        HotRestartEffect::Heed,
    ),
    (
        HotRestartState::Taking,
        HotRestartInput::Offered,
        HotRestartState::Taking,
        HotRestartEffect::Adopt,
    ),
];

impl HotRestartState {
    pub fn step(&mut self, input: HotRestartInput) -> HotRestartEffect {
        let row = TABLE.iter().find(|row| row.0 == *self && row.1 == input);
        let (next, act) = match (row, *self) {
            (Some(row), _) => (row.2, row.3),
            (None, HotRestartState::Handing) => (HotRestartState::Alone, HotRestartEffect::KeepOn),
            (None, _) => (HotRestartState::Alone, HotRestartEffect::HangUp),
        };
        *self = next;
        act
    }
}

/// Whether the other could be told something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Yes,
    /// It does not keep up: it lives.
    Full,
    /// It has hung up or ended.
    Gone,
}

/// One process's side: where it stands with the other, and what of theirs it may touch. `O` is what it offers as the
/// elder, `F` what it finds in an offer as the younger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionOwnership<O, F> {
    pub stage: HotRestartState,
    /// Offered and not taken yet, oldest first: nobody's, until the younger has said or ended.
    offers: VecDeque<O>,
    /// Read when the elder could not be told any more; not touched before the link is read to its end.
    untold: Vec<F>,
}

impl<O: PartialEq, F> ConnectionOwnership<O, F> {
    pub fn new(stage: HotRestartState) -> Self {
        ConnectionOwnership {
            stage,
            offers: VecDeque::new(),
            untold: Vec::new(),
        }
    }

    /// How many more may be offered now.
    pub fn room(&self) -> usize {
        OFFERED.saturating_sub(self.offers.len())
    }

    pub fn is_offered(&self, offer: &O) -> bool {
        self.offers.contains(offer)
    }

    /// It is on its way: from now on it is left alone.
    pub fn offered(&mut self, offer: O) {
        self.offers.push_back(offer);
    }

    /// The younger has the oldest.
    pub fn dropped(&mut self) -> Option<O> {
        self.offers.pop_front()
    }

    /// As the elder parts: what it goes on with, and what it drops, since a younger that lives could not be told so and
    /// may take it.
    pub fn parted(&mut self, told: Delivery) -> (Vec<O>, Vec<O>) {
        let offers = std::mem::take(&mut self.offers).into();
        if told == Delivery::Full {
            (Vec::new(), offers)
        } else {
            (offers, Vec::new())
        }
    }

    /// The younger read an offer: what it may touch from now on. An error is an elder that lives and does not hear.
    pub fn read(&mut self, found: F, told: Delivery) -> Result<Option<F>, &'static str> {
        match told {
            Delivery::Yes => Ok(Some(found)),
            Delivery::Gone if self.untold.len() < OFFERED => {
                self.untold.push(found);
                Ok(None)
            }
            Delivery::Gone => Err("more offers than may be"),
            Delivery::Full => Err("the elder cannot be told"),
        }
    }

    /// What could not be told, as the link's end or the elder's word decides.
    pub fn untold(&mut self) -> Vec<F> {
        std::mem::take(&mut self.untold)
    }
}
