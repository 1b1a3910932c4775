//! A client's session with a store, over one connection after the other. No I/O and no clock: what happens comes in
//! with the time, effects go out, and whoever drives the session has the sockets.

mod watches;

use crate::frame::{FrameReader, write_frame};
use crate::jute::{DecodeError, JuteReader};
use crate::record::{
    ConnectRequest, ConnectResponse, NodeStat, ReplyHeader, StoreError, StoreRequest, WatchEvent,
    XID_AUTH, XID_EVENT, XID_PING, XID_SET_WATCHES,
};
use std::collections::BTreeMap;
use std::time::Duration;
use watches::WatchedPaths;

/// Longest that a connection may take to be established, and again for the store to answer the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the second attempt to connect; it doubles with each that fails.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Bound of that delay, before it is spread.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);
/// After so many doublings the delay is above its bound.
const MAX_DOUBLINGS: u32 = 7;
/// Most requests that may wait for a response.
pub const MAX_PENDING_REQUESTS: usize = 4_096;
/// Bytes of a session's password.
const PASSWORD_LENGTH: usize = 16;

/// Where a session stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreSessionState {
    /// Waits before the next address is tried.
    BackingOff,
    /// A connection is being established.
    Connecting,
    /// The connection is established, and the store has not answered the handshake.
    Handshaking,
    /// The session stands.
    Connected,
    /// The client has closed the session.
    Closed,
}

/// What a session wants done, or reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreSessionEffect {
    /// Connect to the address with this index.
    Connect(usize),
    /// Send these bytes over the connection.
    Send(Vec<u8>),
    /// Close the connection.
    CloseConnection,
    /// The session stands.
    Established {
        /// It is a new one, of which the store knows no watches and no ephemeral nodes.
        new: bool,
    },
    /// The connection is lost. Nothing is known to have changed by that.
    ConnectionLost,
    /// This client's session has expired at the store, which says nothing of other clients'.
    Expired,
    /// The store has responded to a request.
    ResponseReceived {
        /// The request's number.
        xid: i32,
        /// The response, or why the store did not do it.
        response: Result<StoreResponse, StoreError>,
    },
    /// The connection broke before the response: the request may have been done or not.
    ResponseLost {
        /// The request's number.
        xid: i32,
    },
    /// A watch has fired.
    WatchTriggered(WatchEvent),
    /// What came can't be decoded or was not requested; a text for the log.
    ProtocolError(String),
}

/// A store's response to a request that it has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// To a request without a result.
    Empty,
    /// The path of the created node.
    Created(String),
    /// A node's metadata.
    Stat(NodeStat),
    /// A node's data and metadata.
    Data(Vec<u8>, NodeStat),
    /// The names of a node's children and its metadata.
    Children(Vec<String>, NodeStat),
}

/// What a session is opened with.
#[derive(Clone, Debug)]
pub struct StoreSessionSettings {
    /// How many addresses the store has; they are tried one after the other.
    pub address_count: usize,
    /// The time that is requested of the store after which a silent session expires.
    pub timeout: Duration,
    /// The scheme and the secret to authenticate with.
    pub auth: Option<(String, Vec<u8>)>,
}

/// The state machine of a client's session.
#[derive(Debug)]
pub struct StoreSession {
    settings: StoreSessionSettings,
    state: StoreSessionState,
    /// The address that is connected to, or is tried next.
    address: usize,
    /// Addresses that failed since a session stood.
    failed_attempts: u32,
    /// When the present state ends by itself.
    state_ends: Duration,
    last_received: Duration,
    last_sent: Duration,
    /// The timeout that the store has granted.
    timeout: Duration,
    /// 0 for none.
    session_id: i64,
    password: Vec<u8>,
    /// The last transaction that was seen.
    last_zxid: i64,
    /// The last request's number.
    last_xid: i32,
    frames: FrameReader,
    /// Requests without a response yet.
    pending: BTreeMap<i32, StoreRequest>,
    watched: WatchedPaths,
    /// State of the pseudorandom numbers that spread the delays.
    random_state: u64,
}

impl StoreSession {
    /// Begins by connecting; `seed` chooses the first address and spreads the delays.
    pub fn new(
        now: Duration,
        settings: StoreSessionSettings,
        seed: u64,
        out: &mut Vec<StoreSessionEffect>,
    ) -> StoreSession {
        let address_count = settings.address_count.max(1);
        let mut session = StoreSession {
            timeout: settings.timeout,
            settings,
            state: StoreSessionState::BackingOff,
            address: (seed % address_count as u64) as usize,
            failed_attempts: 0,
            state_ends: now,
            last_received: now,
            last_sent: now,
            session_id: 0,
            password: vec![0; PASSWORD_LENGTH],
            last_zxid: 0,
            last_xid: 0,
            frames: FrameReader::default(),
            pending: BTreeMap::new(),
            watched: WatchedPaths::default(),
            random_state: seed | 1,
        };
        session.tick(now, out);
        session
    }

    /// Where the session stands.
    pub fn state(&self) -> StoreSessionState {
        self.state
    }

    /// When [`tick`](StoreSession::tick) has to be called next.
    pub fn next_tick_due(&self) -> Duration {
        match self.state {
            StoreSessionState::Connected => self.ping_due().min(self.silence_ends()),
            StoreSessionState::Closed => Duration::MAX,
            _ => self.state_ends,
        }
    }

    /// A ping is sent after a third of the timeout.
    fn ping_due(&self) -> Duration {
        self.last_sent + self.timeout / 3
    }

    /// The connection counts as lost after two thirds of the timeout, so that the rest is left for another.
    fn silence_ends(&self) -> Duration {
        self.last_received + self.timeout * 2 / 3
    }

    /// Sends a request and returns its number; `None` where no session stands or too many requests are pending.
    pub fn request(
        &mut self,
        now: Duration,
        request: StoreRequest,
        out: &mut Vec<StoreSessionEffect>,
    ) -> Option<i32> {
        if self.state != StoreSessionState::Connected || self.pending.len() >= MAX_PENDING_REQUESTS
        {
            return None;
        }
        self.last_xid = if self.last_xid == i32::MAX {
            1
        } else {
            self.last_xid + 1
        };
        self.send(now, self.last_xid, &request, out);
        self.pending.insert(self.last_xid, request);
        Some(self.last_xid)
    }

    /// Closes the session at the store too, so that its ephemeral nodes vanish at once.
    pub fn close(&mut self, now: Duration, out: &mut Vec<StoreSessionEffect>) {
        if self.state == StoreSessionState::Connected {
            let xid = self.last_xid.wrapping_add(1);
            self.send(now, xid, &StoreRequest::Close, out);
        }
        if self.state != StoreSessionState::Closed {
            self.state = StoreSessionState::Closed;
            out.push(StoreSessionEffect::CloseConnection);
        }
    }

    /// The connection is established.
    pub fn connection_opened(&mut self, now: Duration, out: &mut Vec<StoreSessionEffect>) {
        if self.state != StoreSessionState::Connecting {
            return;
        }
        self.state = StoreSessionState::Handshaking;
        self.state_ends = now + CONNECT_TIMEOUT;
        self.frames = FrameReader::default();
        let connect = ConnectRequest {
            last_zxid: self.last_zxid,
            timeout_ms: self.settings.timeout.as_millis().min(i32::MAX as u128) as i32,
            session_id: self.session_id,
            password: self.password.clone(),
        };
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| connect.write(out));
        out.push(StoreSessionEffect::Send(bytes));
    }

    /// The connection could not be established, or broke.
    pub fn connection_failed(&mut self, now: Duration, out: &mut Vec<StoreSessionEffect>) {
        match self.state {
            StoreSessionState::Closed | StoreSessionState::BackingOff => return,
            StoreSessionState::Connected => out.push(StoreSessionEffect::ConnectionLost),
            StoreSessionState::Connecting | StoreSessionState::Handshaking => {}
        }
        // Whether the pending requests were done can't be known now.
        for xid in std::mem::take(&mut self.pending).into_keys() {
            out.push(StoreSessionEffect::ResponseLost { xid });
        }
        self.state = StoreSessionState::BackingOff;
        self.address = (self.address + 1) % self.settings.address_count.max(1);
        let doublings = self.failed_attempts.min(MAX_DOUBLINGS);
        let delay = (MIN_RECONNECT_DELAY * (1 << doublings)).min(MAX_RECONNECT_DELAY);
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        // Spread, or all clients would meet at a store that has just recovered.
        self.state_ends = now + delay.mul_f64(0.5 + self.random());
        out.push(StoreSessionEffect::CloseConnection);
    }

    /// Does what is due at a time.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<StoreSessionEffect>) {
        match self.state {
            StoreSessionState::BackingOff if now >= self.state_ends => {
                self.state = StoreSessionState::Connecting;
                self.state_ends = now + CONNECT_TIMEOUT;
                out.push(StoreSessionEffect::Connect(self.address));
            }
            StoreSessionState::Connecting | StoreSessionState::Handshaking
                if now >= self.state_ends =>
            {
                self.connection_failed(now, out);
            }
            StoreSessionState::Connected if now >= self.silence_ends() => {
                self.connection_failed(now, out);
            }
            StoreSessionState::Connected if now >= self.ping_due() => {
                self.send(now, XID_PING, &StoreRequest::Ping, out);
            }
            _ => {}
        }
    }

    fn is_receiving(&self) -> bool {
        matches!(
            self.state,
            StoreSessionState::Handshaking | StoreSessionState::Connected
        )
    }

    /// Takes bytes that came over the connection, in pieces of any size.
    pub fn receive(&mut self, now: Duration, bytes: &[u8], out: &mut Vec<StoreSessionEffect>) {
        if self.is_receiving() {
            self.last_received = now;
            self.frames.append(bytes);
        }
        while self.is_receiving() {
            let frame = match self.frames.next_frame() {
                Ok(Some(frame)) => frame.to_vec(),
                Ok(None) => return,
                Err(error) => return self.protocol_error(now, error, out),
            };
            let result = if self.state == StoreSessionState::Handshaking {
                self.finish_handshake(now, &frame, out)
            } else {
                self.take_reply(&frame, out)
            };
            if let Err(error) = result {
                return self.protocol_error(now, error, out);
            }
        }
    }

    fn protocol_error(
        &mut self,
        now: Duration,
        error: DecodeError,
        out: &mut Vec<StoreSessionEffect>,
    ) {
        out.push(StoreSessionEffect::ProtocolError(error.to_string()));
        self.connection_failed(now, out);
    }

    fn finish_handshake(
        &mut self,
        now: Duration,
        frame: &[u8],
        out: &mut Vec<StoreSessionEffect>,
    ) -> Result<(), DecodeError> {
        let response = ConnectResponse::read(frame)?;
        if response.timeout_ms <= 0 {
            self.forget_session();
            out.push(StoreSessionEffect::Expired);
            self.connection_failed(now, out);
            return Ok(());
        }
        let new = self.session_id != response.session_id;
        self.session_id = response.session_id;
        self.password = response.password;
        self.state = StoreSessionState::Connected;
        self.failed_attempts = 0;
        self.timeout = Duration::from_millis(response.timeout_ms as u64);
        self.last_received = now;
        self.last_sent = now;
        if let Some((scheme, secret)) = self.settings.auth.clone() {
            self.send(now, XID_AUTH, &StoreRequest::Auth { scheme, secret }, out);
        }
        if new {
            self.watched = WatchedPaths::default();
        } else if !self.watched.is_empty() {
            let request = self.watched.to_set_watches_request(self.last_zxid);
            self.send(now, XID_SET_WATCHES, &request, out);
        }
        out.push(StoreSessionEffect::Established { new });
        Ok(())
    }

    /// The session has expired; the next connection asks for a new one.
    fn forget_session(&mut self) {
        self.session_id = 0;
        self.password = vec![0; PASSWORD_LENGTH];
        self.last_zxid = 0;
        self.watched = WatchedPaths::default();
    }

    fn take_reply(
        &mut self,
        frame: &[u8],
        out: &mut Vec<StoreSessionEffect>,
    ) -> Result<(), DecodeError> {
        let mut reader = JuteReader::new(frame);
        let header = ReplyHeader::read(&mut reader)?;
        self.last_zxid = self.last_zxid.max(header.zxid);
        let error = StoreError::from_code(header.error_code);
        match header.xid {
            XID_PING | XID_AUTH | XID_SET_WATCHES => {
                if let Some(error) = error {
                    let text = format!("the store refuses {}: {error}", header.xid);
                    out.push(StoreSessionEffect::ProtocolError(text));
                }
                Ok(())
            }
            XID_EVENT => {
                let event = WatchEvent::read(&mut reader)?;
                reader.finish()?;
                self.watched.remove_triggered(&event);
                out.push(StoreSessionEffect::WatchTriggered(event));
                Ok(())
            }
            xid => self.take_response(xid, error, &mut reader, out),
        }
    }

    fn take_response(
        &mut self,
        xid: i32,
        error: Option<StoreError>,
        reader: &mut JuteReader<'_>,
        out: &mut Vec<StoreSessionEffect>,
    ) -> Result<(), DecodeError> {
        let Some(request) = self.pending.remove(&xid) else {
            let text = format!("an answer to {xid}, which nobody asked");
            out.push(StoreSessionEffect::ProtocolError(text));
            return Ok(());
        };
        // A request for a node that doesn't exist leaves a watch for its creation.
        self.watched.add(&request, error);
        let response = match error {
            Some(error) => Err(error),
            None => Ok(read_response(&request, reader)?),
        };
        out.push(StoreSessionEffect::ResponseReceived { xid, response });
        Ok(())
    }

    fn send(
        &mut self,
        now: Duration,
        xid: i32,
        request: &StoreRequest,
        out: &mut Vec<StoreSessionEffect>,
    ) {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| request.write(xid, out));
        self.last_sent = now;
        out.push(StoreSessionEffect::Send(bytes));
    }

    /// The next pseudorandom number from 0 to 1, by xorshift.
    fn random(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Decodes what follows the header of a response without an error.
fn read_response(
    request: &StoreRequest,
    reader: &mut JuteReader<'_>,
) -> Result<StoreResponse, DecodeError> {
    let response = match request {
        StoreRequest::Create { .. } => StoreResponse::Created(reader.string()?.to_string()),
        StoreRequest::Exists { .. } | StoreRequest::SetData { .. } => {
            StoreResponse::Stat(NodeStat::read(reader)?)
        }
        StoreRequest::GetData { .. } => {
            let data = reader.buffer()?.unwrap_or_default().to_vec();
            StoreResponse::Data(data, NodeStat::read(reader)?)
        }
        StoreRequest::GetChildren { .. } => {
            let children = reader.vector(|reader| Ok(reader.string()?.to_string()))?;
            StoreResponse::Children(children, NodeStat::read(reader)?)
        }
        // The results of the parts are not decoded: all of it was done, or the response is an error.
        StoreRequest::Multi(_) => return Ok(StoreResponse::Empty),
        _ => StoreResponse::Empty,
    };
    reader.finish()?;
    Ok(response)
}
