//! A client's session with a store, over one connection after the other. No I/O and no clock: what happens comes in
//! with the time, what is to be done goes out, and whoever drives it has the sockets.

use crate::frame::{FrameReader, write_frame};
use crate::jute::{DecodeError, JuteReader};
use crate::record::{
    ConnectRequest, ConnectResponse, NodeStat, ReplyHeader, StoreError, StoreRequest, WatchEvent,
    WatchEventKind, XID_AUTH, XID_EVENT, XID_PING, XID_SET_WATCHES,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientSessionState {
    /// Waits before the next address is tried.
    Waiting,
    Connecting,
    /// The connection is up, and the store has not said whether the session stands.
    Handshaking,
    Connected,
    Closed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientSessionEffect {
    /// Connect to the address with this number.
    Connect(usize),
    Send(Vec<u8>),
    /// Close the connection.
    CloseConnection,
    /// A session stands; a new one, of which the store knows no watches and no nodes, or the one before.
    Established {
        new: bool,
    },
    /// The store cannot be heard. Nothing is known to have changed by that.
    ConnectionLost,
    /// This client's own session has lapsed at the store; it says nothing of anybody else's.
    Expired,
    Responded {
        xid: i32,
        response: Result<StoreResponse, StoreError>,
    },
    /// The connection broke before the answer: it may have been done or not.
    ResponseLost {
        xid: i32,
    },
    WatchFired(WatchEvent),
    /// What came could not be read, or was not asked for.
    ProtocolError(String),
}

/// What a store answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    Done,
    Created(String),
    Stat(NodeStat),
    Data(Vec<u8>, NodeStat),
    Children(Vec<String>, NodeStat),
}

/// What a session is made of.
#[derive(Clone, Debug)]
pub struct ClientSessionSettings {
    pub address_count: usize,
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
pub const MAX_PENDING_REQUESTS: usize = 4_096;

#[derive(Debug)]
pub struct ClientSession {
    terms: ClientSessionSettings,
    state: ClientSessionState,
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
    frames: FrameReader,
    waiting: BTreeMap<i32, StoreRequest>,
    /// Paths watched by the kind of question that set them.
    watched: [BTreeSet<String>; 3],
    chance: u64,
}

const DATA: usize = 0;
const EXIST: usize = 1;
const CHILD: usize = 2;

impl ClientSession {
    /// Begins by connecting; `seed` chooses the first address and spreads the pauses.
    pub fn new(
        now: Duration,
        terms: ClientSessionSettings,
        seed: u64,
        out: &mut Vec<ClientSessionEffect>,
    ) -> ClientSession {
        let addresses = terms.address_count.max(1);
        let mut session = ClientSession {
            timeout: terms.timeout,
            terms,
            state: ClientSessionState::Waiting,
            at: (seed % addresses as u64) as usize,
            failed: 0,
            due: now,
            heard: now,
            sent: now,
            id: 0,
            password: vec![0; 16],
            zxid: 0,
            xid: 0,
            frames: FrameReader::default(),
            waiting: BTreeMap::new(),
            watched: Default::default(),
            chance: seed | 1,
        };
        session.tick(now, out);
        session
    }

    pub fn state(&self) -> ClientSessionState {
        self.state
    }

    /// When `tick` wants to be called next.
    pub fn next_tick_due(&self) -> Duration {
        match self.state {
            ClientSessionState::Connected => {
                (self.sent + self.timeout / 3).min(self.heard + self.timeout * 2 / 3)
            }
            ClientSessionState::Closed => Duration::MAX,
            _ => self.due,
        }
    }

    /// Asks the store; `None` where no session stands or too much waits already.
    pub fn request(
        &mut self,
        now: Duration,
        request: StoreRequest,
        out: &mut Vec<ClientSessionEffect>,
    ) -> Option<i32> {
        if self.state != ClientSessionState::Connected || self.waiting.len() >= MAX_PENDING_REQUESTS
        {
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
    pub fn close(&mut self, now: Duration, out: &mut Vec<ClientSessionEffect>) {
        if self.state == ClientSessionState::Connected {
            self.send(now, self.xid.wrapping_add(1), &StoreRequest::Close, out);
        }
        if self.state != ClientSessionState::Closed {
            self.state = ClientSessionState::Closed;
            out.push(ClientSessionEffect::CloseConnection);
        }
    }

    /// The connection is up.
    pub fn connection_opened(&mut self, now: Duration, out: &mut Vec<ClientSessionEffect>) {
        if self.state != ClientSessionState::Connecting {
            return;
        }
        (self.state, self.due, self.frames) = (
            ClientSessionState::Handshaking,
            now + CONNECT,
            FrameReader::default(),
        );
        let connect = ConnectRequest {
            last_zxid: self.zxid,
            timeout_ms: self.terms.timeout.as_millis().min(i32::MAX as u128) as i32,
            session_id: self.id,
            password: self.password.clone(),
        };
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| connect.write(out));
        out.push(ClientSessionEffect::Send(bytes));
    }

    /// The connection could not be made, or broke.
    pub fn connection_failed(&mut self, now: Duration, out: &mut Vec<ClientSessionEffect>) {
        match self.state {
            ClientSessionState::Closed | ClientSessionState::Waiting => return,
            ClientSessionState::Connected => out.push(ClientSessionEffect::ConnectionLost),
            ClientSessionState::Connecting | ClientSessionState::Handshaking => {}
        }
        // Whether they were done nobody knows now.
        out.extend(
            std::mem::take(&mut self.waiting)
                .into_keys()
                .map(|xid| ClientSessionEffect::ResponseLost { xid }),
        );
        self.state = ClientSessionState::Waiting;
        self.at = (self.at + 1) % self.terms.address_count.max(1);
        let pause = (PAUSE * (1 << self.failed.min(7))).min(LONGEST);
        self.failed = self.failed.saturating_add(1);
        // Spread, or all clients would meet at a store that has just come back.
        self.due = now + pause.mul_f64(0.5 + self.draw());
        out.push(ClientSessionEffect::CloseConnection);
    }

    pub fn tick(&mut self, now: Duration, out: &mut Vec<ClientSessionEffect>) {
        match self.state {
            ClientSessionState::Waiting if now >= self.due => {
                (self.state, self.due) = (ClientSessionState::Connecting, now + CONNECT);
                out.push(ClientSessionEffect::Connect(self.at));
            }
            ClientSessionState::Connecting | ClientSessionState::Handshaking if now >= self.due => {
                self.connection_failed(now, out)
            }
            ClientSessionState::Connected if now >= self.heard + self.timeout * 2 / 3 => {
                self.connection_failed(now, out)
            }
            ClientSessionState::Connected if now >= self.sent + self.timeout / 3 => {
                self.send(now, XID_PING, &StoreRequest::Ping, out);
            }
            _ => {}
        }
    }

    /// What came over the connection, in pieces of any size.
    pub fn receive(&mut self, now: Duration, bytes: &[u8], out: &mut Vec<ClientSessionEffect>) {
        if matches!(
            self.state,
            ClientSessionState::Handshaking | ClientSessionState::Connected
        ) {
            self.heard = now;
            self.frames.append(bytes);
        }
        while matches!(
            self.state,
            ClientSessionState::Handshaking | ClientSessionState::Connected
        ) {
            let frame = match self.frames.next_frame() {
                Ok(Some(frame)) => frame.to_vec(),
                Ok(None) => return,
                Err(fault) => return self.bad(now, &fault.to_string(), out),
            };
            let read = if self.state == ClientSessionState::Handshaking {
                self.greeted(now, &frame, out)
            } else {
                self.answered(&frame, out)
            };
            if let Err(fault) = read {
                return self.bad(now, &fault.to_string(), out);
            }
        }
    }

    fn bad(&mut self, now: Duration, what: &str, out: &mut Vec<ClientSessionEffect>) {
        out.push(ClientSessionEffect::ProtocolError(what.to_string()));
        self.connection_failed(now, out);
    }

    fn greeted(
        &mut self,
        now: Duration,
        frame: &[u8],
        out: &mut Vec<ClientSessionEffect>,
    ) -> Result<(), DecodeError> {
        let ConnectResponse {
            timeout_ms: timeout,
            session_id: session,
            password,
        } = ConnectResponse::read(frame)?;
        if timeout <= 0 {
            // Ours has lapsed; what others hold is not touched by that.
            (self.id, self.password, self.zxid) = (0, vec![0; 16], 0);
            self.watched = Default::default();
            out.push(ClientSessionEffect::Expired);
            self.connection_failed(now, out);
            return Ok(());
        }
        let new = self.id != session;
        (self.id, self.password) = (session, password);
        (self.state, self.failed) = (ClientSessionState::Connected, 0);
        self.timeout = Duration::from_millis(timeout as u64);
        (self.heard, self.sent) = (now, now);
        if let Some((scheme, secret)) = self.terms.auth.clone() {
            self.send(now, XID_AUTH, &StoreRequest::Auth { scheme, secret }, out);
        }
        if new {
            self.watched = Default::default();
        } else if self.watched.iter().any(|paths| !paths.is_empty()) {
            let [data, exist, child] = self.watched.clone().map(Vec::from_iter);
            self.send(
                now,
                XID_SET_WATCHES,
                &StoreRequest::SetWatches {
                    since: self.zxid,
                    data,
                    exist,
                    child,
                },
                out,
            );
        }
        out.push(ClientSessionEffect::Established { new });
        Ok(())
    }

    fn answered(
        &mut self,
        frame: &[u8],
        out: &mut Vec<ClientSessionEffect>,
    ) -> Result<(), DecodeError> {
        let mut r = JuteReader::new(frame);
        let head = ReplyHeader::read(&mut r)?;
        self.zxid = self.zxid.max(head.zxid);
        match head.xid {
            XID_PING | XID_AUTH | XID_SET_WATCHES => {
                if let Some(refused) = StoreError::from_code(head.error_code) {
                    out.push(ClientSessionEffect::ProtocolError(format!(
                        "the store refuses {}: {refused:?}",
                        head.xid
                    )));
                }
                return Ok(());
            }
            XID_EVENT => {
                let told = WatchEvent::read(&mut r)?;
                r.finish()?;
                self.fired(&told);
                out.push(ClientSessionEffect::WatchFired(told));
                return Ok(());
            }
            _ => {}
        }
        let Some(request) = self.waiting.remove(&head.xid) else {
            out.push(ClientSessionEffect::ProtocolError(format!(
                "an answer to {}, which nobody asked",
                head.xid
            )));
            return Ok(());
        };
        let refused = StoreError::from_code(head.error_code);
        // A question after a node that is not there leaves a watch for its coming.
        self.watch(&request, refused);
        let answer = match refused {
            Some(refused) => Err(refused),
            None => Ok(read(&request, &mut r)?),
        };
        out.push(ClientSessionEffect::Responded {
            xid: head.xid,
            response: answer,
        });
        Ok(())
    }

    /// The watches that a question leaves at the store.
    fn watch(&mut self, request: &StoreRequest, refused: Option<StoreError>) {
        let (kind, path) = match (request, refused) {
            (StoreRequest::GetData { path, watch: true }, None) => (DATA, path),
            (StoreRequest::Exists { path, watch: true }, None) => (DATA, path),
            (StoreRequest::Exists { path, watch: true }, Some(StoreError::NoNode)) => (EXIST, path),
            (StoreRequest::GetChildren { path, watch: true }, None) => (CHILD, path),
            _ => return,
        };
        self.watched[kind].insert(path.clone());
    }

    /// A watch fires once.
    fn fired(&mut self, told: &WatchEvent) {
        let kinds: &[usize] = match told.kind {
            WatchEventKind::Session => &[],
            WatchEventKind::Created => &[EXIST, DATA],
            WatchEventKind::Data => &[DATA],
            WatchEventKind::Children => &[CHILD],
            WatchEventKind::Deleted => &[DATA, EXIST, CHILD],
        };
        for kind in kinds {
            self.watched[*kind].remove(&told.path);
        }
    }

    fn send(
        &mut self,
        now: Duration,
        xid: i32,
        request: &StoreRequest,
        out: &mut Vec<ClientSessionEffect>,
    ) {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| request.write(xid, out));
        self.sent = now;
        out.push(ClientSessionEffect::Send(bytes));
    }

    fn draw(&mut self) -> f64 {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        (self.chance >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn read(request: &StoreRequest, r: &mut JuteReader) -> Result<StoreResponse, DecodeError> {
    let answer = match request {
        StoreRequest::Create { .. } => StoreResponse::Created(r.string()?.to_string()),
        StoreRequest::Exists { .. } | StoreRequest::SetData { .. } => {
            StoreResponse::Stat(NodeStat::read(r)?)
        }
        StoreRequest::GetData { .. } => {
            let data = r.buffer()?.unwrap_or_default().to_vec();
            StoreResponse::Data(data, NodeStat::read(r)?)
        }
        StoreRequest::GetChildren { .. } => {
            let children = r.vector(|r| Ok(r.string()?.to_string()))?;
            StoreResponse::Children(children, NodeStat::read(r)?)
        }
        // The parts of a multi are not looked at: it was done whole or refused.
        StoreRequest::Multi(_) => return Ok(StoreResponse::Done),
        _ => StoreResponse::Done,
    };
    r.finish()?;
    Ok(answer)
}
