//! A client's session with a store, over one connection after the other. No I/O and no clock: what happens comes in
//! with the time, what is to be done goes out, and whoever drives it has the sockets.

use crate::frame::{Frames, framed};
use crate::jute::{Fault, Reader};
use crate::record::{
    Change, Connect, Connected, Head, Refused, Request, Stat, Told, XID_AUTH, XID_EVENT, XID_PING,
    XID_WATCHES,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waits before the next address is tried.
    Away,
    Connecting,
    /// The connection is up, and the store has not said whether the session stands.
    Greeting,
    Connected,
    Closed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Connect to the address with this number.
    Connect(usize),
    Send(Vec<u8>),
    /// Close the connection.
    Drop,
    /// A session stands; a new one, of which the store knows no watches and no nodes, or the one before.
    Up {
        new: bool,
    },
    /// The store cannot be heard. Nothing is known to have changed by that.
    Down,
    /// This client's own session has lapsed at the store; it says nothing of anybody else's.
    Expired,
    Answered {
        xid: i32,
        answer: Result<Answer, Refused>,
    },
    /// The connection broke before the answer: it may have been done or not.
    Lost {
        xid: i32,
    },
    Told(Told),
    /// What came could not be read, or was not asked for.
    Bad(String),
}

/// What a store answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Done,
    Created(String),
    Stat(Stat),
    Data(Vec<u8>, Stat),
    Children(Vec<String>, Stat),
}

/// What a session is made of.
#[derive(Clone, Debug)]
pub struct Terms {
    pub addresses: usize,
    /// What is asked of the store as the time after which a silent session lapses.
    pub timeout: Duration,
    pub auth: Option<(String, Vec<u8>)>,
}

/// Longest that a connection may take to come up, and the store to greet.
const CONNECT: Duration = Duration::from_secs(2);
/// Pauses between tries: the first, and the longest.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST: Duration = Duration::from_secs(5);
/// Requests that may wait for an answer.
pub const MOST: usize = 4_096;

#[derive(Debug)]
pub struct Session {
    terms: Terms,
    state: State,
    at: usize,
    /// Addresses that failed since one was up.
    failed: u32,
    /// When the state's time is over; when something was last heard and sent.
    due: Duration,
    heard: Duration,
    sent: Duration,
    timeout: Duration,
    id: i64,
    password: Vec<u8>,
    zxid: i64,
    xid: i32,
    frames: Frames,
    waiting: BTreeMap<i32, Request>,
    /// Paths watched by the kind of question that set them.
    watched: [BTreeSet<String>; 3],
    chance: u64,
}

const DATA: usize = 0;
const EXIST: usize = 1;
const CHILD: usize = 2;

impl Session {
    /// Begins by connecting; `seed` chooses the first address and spreads the pauses.
    pub fn new(now: Duration, terms: Terms, seed: u64, out: &mut Vec<Effect>) -> Session {
        let addresses = terms.addresses.max(1);
        let mut session = Session {
            timeout: terms.timeout,
            terms,
            state: State::Away,
            at: (seed % addresses as u64) as usize,
            failed: 0,
            due: now,
            heard: now,
            sent: now,
            id: 0,
            password: vec![0; 16],
            zxid: 0,
            xid: 0,
            frames: Frames::default(),
            waiting: BTreeMap::new(),
            watched: Default::default(),
            chance: seed | 1,
        };
        session.tick(now, out);
        session
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// When `tick` wants to be called next.
    pub fn due(&self) -> Duration {
        match self.state {
            State::Connected => {
                (self.sent + self.timeout / 3).min(self.heard + self.timeout * 2 / 3)
            }
            State::Closed => Duration::MAX,
            _ => self.due,
        }
    }

    /// Asks the store; `None` where no session stands or too much waits already.
    pub fn ask(&mut self, now: Duration, request: Request, out: &mut Vec<Effect>) -> Option<i32> {
        if self.state != State::Connected || self.waiting.len() >= MOST {
            return None;
        }
        self.xid = if self.xid == i32::MAX {
            1
        } else {
            self.xid + 1
        };
        self.send(now, self.xid, &request, out);
        self.waiting.insert(self.xid, request);
        Some(self.xid)
    }

    /// Ends the session at the store too: its nodes vanish at once.
    pub fn close(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.state == State::Connected {
            self.send(now, self.xid.wrapping_add(1), &Request::Close, out);
        }
        if self.state != State::Closed {
            self.state = State::Closed;
            out.push(Effect::Drop);
        }
    }

    /// The connection is up.
    pub fn connected(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.state != State::Connecting {
            return;
        }
        (self.state, self.due, self.frames) = (State::Greeting, now + CONNECT, Frames::default());
        let connect = Connect {
            last_zxid: self.zxid,
            timeout: self.terms.timeout.as_millis().min(i32::MAX as u128) as i32,
            session: self.id,
            password: self.password.clone(),
        };
        let mut bytes = Vec::new();
        framed(&mut bytes, |out| connect.write(out));
        out.push(Effect::Send(bytes));
    }

    /// The connection could not be made, or broke.
    pub fn broken(&mut self, now: Duration, out: &mut Vec<Effect>) {
        match self.state {
            State::Closed | State::Away => return,
            State::Connected => out.push(Effect::Down),
            State::Connecting | State::Greeting => {}
        }
        // Whether they were done nobody knows now.
        out.extend(
            std::mem::take(&mut self.waiting)
                .into_keys()
                .map(|xid| Effect::Lost { xid }),
        );
        self.state = State::Away;
        self.at = (self.at + 1) % self.terms.addresses.max(1);
        let pause = (PAUSE * (1 << self.failed.min(7))).min(LONGEST);
        self.failed = self.failed.saturating_add(1);
        // Spread, or all clients would meet at a store that has just come back.
        self.due = now + pause.mul_f64(0.5 + self.draw());
        out.push(Effect::Drop);
    }

    pub fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        match self.state {
            State::Away if now >= self.due => {
                (self.state, self.due) = (State::Connecting, now + CONNECT);
                out.push(Effect::Connect(self.at));
            }
            State::Connecting | State::Greeting if now >= self.due => self.broken(now, out),
            State::Connected if now >= self.heard + self.timeout * 2 / 3 => self.broken(now, out),
            State::Connected if now >= self.sent + self.timeout / 3 => {
                self.send(now, XID_PING, &Request::Ping, out);
            }
            _ => {}
        }
    }

    /// What came over the connection, in pieces of any size.
    pub fn bytes(&mut self, now: Duration, bytes: &[u8], out: &mut Vec<Effect>) {
        if matches!(self.state, State::Greeting | State::Connected) {
            self.heard = now;
            self.frames.push(bytes);
        }
        while matches!(self.state, State::Greeting | State::Connected) {
            let frame = match self.frames.take() {
                Ok(Some(frame)) => frame.to_vec(),
                Ok(None) => return,
                Err(fault) => return self.bad(now, &fault.to_string(), out),
            };
            let read = if self.state == State::Greeting {
                self.greeted(now, &frame, out)
            } else {
                self.answered(&frame, out)
            };
            if let Err(fault) = read {
                return self.bad(now, &fault.to_string(), out);
            }
        }
    }

    fn bad(&mut self, now: Duration, what: &str, out: &mut Vec<Effect>) {
        out.push(Effect::Bad(what.to_string()));
        self.broken(now, out);
    }

    fn greeted(&mut self, now: Duration, frame: &[u8], out: &mut Vec<Effect>) -> Result<(), Fault> {
        let Connected {
            timeout,
            session,
            password,
        } = Connected::read(frame)?;
        if timeout <= 0 {
            // Ours has lapsed; what others hold is not touched by that.
            (self.id, self.password, self.zxid) = (0, vec![0; 16], 0);
            self.watched = Default::default();
            out.push(Effect::Expired);
            self.broken(now, out);
            return Ok(());
        }
        let new = self.id != session;
        (self.id, self.password) = (session, password);
        (self.state, self.failed) = (State::Connected, 0);
        self.timeout = Duration::from_millis(timeout as u64);
        (self.heard, self.sent) = (now, now);
        if let Some((scheme, secret)) = self.terms.auth.clone() {
            self.send(now, XID_AUTH, &Request::Auth { scheme, secret }, out);
        }
        if new {
            self.watched = Default::default();
        } else if self.watched.iter().any(|paths| !paths.is_empty()) {
            let [data, exist, child] = self.watched.clone().map(Vec::from_iter);
            self.send(
                now,
                XID_WATCHES,
                &Request::SetWatches {
                    since: self.zxid,
                    data,
                    exist,
                    child,
                },
                out,
            );
        }
        out.push(Effect::Up { new });
        Ok(())
    }

    fn answered(&mut self, frame: &[u8], out: &mut Vec<Effect>) -> Result<(), Fault> {
        let mut r = Reader::new(frame);
        let head = Head::read(&mut r)?;
        self.zxid = self.zxid.max(head.zxid);
        match head.xid {
            XID_PING | XID_AUTH | XID_WATCHES => {
                if let Some(refused) = Refused::of(head.err) {
                    out.push(Effect::Bad(format!(
                        "the store refuses {}: {refused:?}",
                        head.xid
                    )));
                }
                return Ok(());
            }
            XID_EVENT => {
                let told = Told::read(&mut r)?;
                r.end()?;
                self.fired(&told);
                out.push(Effect::Told(told));
                return Ok(());
            }
            _ => {}
        }
        let Some(request) = self.waiting.remove(&head.xid) else {
            out.push(Effect::Bad(format!(
                "an answer to {}, which nobody asked",
                head.xid
            )));
            return Ok(());
        };
        let refused = Refused::of(head.err);
        // A question after a node that is not there leaves a watch for its coming.
        self.watch(&request, refused);
        let answer = match refused {
            Some(refused) => Err(refused),
            None => Ok(read(&request, &mut r)?),
        };
        out.push(Effect::Answered {
            xid: head.xid,
            answer,
        });
        Ok(())
    }

    /// The watches that a question leaves at the store.
    fn watch(&mut self, request: &Request, refused: Option<Refused>) {
        let (kind, path) = match (request, refused) {
            (Request::GetData { path, watch: true }, None) => (DATA, path),
            (Request::Exists { path, watch: true }, None) => (DATA, path),
            (Request::Exists { path, watch: true }, Some(Refused::NoNode)) => (EXIST, path),
            (Request::GetChildren { path, watch: true }, None) => (CHILD, path),
            _ => return,
        };
        self.watched[kind].insert(path.clone());
    }

    /// A watch fires once.
    fn fired(&mut self, told: &Told) {
        let kinds: &[usize] = match told.what {
            Change::Session => &[],
            Change::Created => &[EXIST, DATA],
            Change::Data => &[DATA],
            Change::Children => &[CHILD],
            Change::Deleted => &[DATA, EXIST, CHILD],
        };
        for kind in kinds {
            self.watched[*kind].remove(&told.path);
        }
    }

    fn send(&mut self, now: Duration, xid: i32, request: &Request, out: &mut Vec<Effect>) {
        let mut bytes = Vec::new();
        framed(&mut bytes, |out| request.write(xid, out));
        self.sent = now;
        out.push(Effect::Send(bytes));
    }

    fn draw(&mut self) -> f64 {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        (self.chance >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn read(request: &Request, r: &mut Reader) -> Result<Answer, Fault> {
    let answer = match request {
        Request::Create { .. } => Answer::Created(r.text()?.to_string()),
        Request::Exists { .. } | Request::SetData { .. } => Answer::Stat(Stat::read(r)?),
        Request::GetData { .. } => {
            let data = r.buffer()?.unwrap_or_default().to_vec();
            Answer::Data(data, Stat::read(r)?)
        }
        Request::GetChildren { .. } => {
            let children = r.vector(|r| Ok(r.text()?.to_string()))?;
            Answer::Children(children, Stat::read(r)?)
        }
        // The parts of a multi are not looked at: it was done whole or refused.
        Request::Multi(_) => return Ok(Answer::Done),
        _ => Answer::Done,
    };
    r.end()?;
    Ok(answer)
}
