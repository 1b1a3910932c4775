//! A client's session with a store, over successive connections. No I/O and no clock: the caller owns the sockets,
//! reports what happens together with the present time, and performs the effects that the session returns.

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

/// Longest time that a connection may take to be established, and again that the store may take to respond to the
/// handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the first failed connection, before jitter; it doubles with each further failure.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between two connections, before jitter.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);
/// Most doublings of the delay: it is above [`MAX_RECONNECT_DELAY`] by then, and more doublings could overflow.
const MAX_DELAY_DOUBLINGS: u32 = 7;
/// Most requests that may wait for a response; further ones are rejected.
pub const MAX_PENDING_REQUESTS: usize = 4_096;
/// Bytes of a session's password.
const PASSWORD_BYTES: usize = 16;

/// State of a session and its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreSessionState {
    /// The session waits before it connects to the next address.
    BackingOff,
    /// A connection is being established.
    Connecting,
    /// The connection is established, and the store has not responded to the handshake yet.
    Handshaking,
    /// The store has accepted the session; requests can be sent.
    Connected,
    /// The client has closed the session.
    Closed,
}

/// An action for the caller to perform, or an event that the session reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreSessionEffect {
    /// Connect to the store's address with this index, from 0 to below
    /// [`address_count`](StoreSessionSettings::address_count).
    Connect(usize),
    /// Send these bytes over the connection.
    Send(Vec<u8>),
    /// Close the connection.
    CloseConnection,
    /// The store has accepted the session.
    Established {
        /// Whether the session is a new one, without watches or ephemeral nodes at the store.
        new: bool,
    },
    /// The connection of an established session is lost. The session and its ephemeral nodes may still exist at the
    /// store.
    ConnectionLost,
    /// This client's session has expired at the store. Sessions of other clients are not concerned.
    Expired,
    /// The store has responded to a request.
    ResponseReceived {
        /// The request's number.
        xid: i32,
        /// The response, or why the store did not perform the request.
        response: Result<StoreResponse, StoreError>,
    },
    /// The connection broke before the response came: whether the store performed the request is unknown.
    ResponseLost {
        /// The request's number.
        xid: i32,
    },
    /// The store has sent a watch event.
    WatchTriggered(WatchEvent),
    /// The store sent bytes that can't be decoded, rejected a ping, an authentication or the setting of watches, or
    /// sent a response to no pending request. The text is for the log.
    ProtocolError(String),
}

/// A store's response to a request that it has performed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// The request has no result, or, for a [`StoreRequest::Multi`], its results are not decoded.
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

/// Settings of a session.
#[derive(Clone, Debug)]
pub struct StoreSessionSettings {
    /// How many addresses the store has; they are tried in turn. 0 counts as 1.
    pub address_count: usize,
    /// Session timeout to request: the store ends a session from which it has received nothing for this long. The store
    /// may grant another one.
    pub timeout: Duration,
    /// The scheme and the secret to authenticate with; `None` to not authenticate.
    pub auth: Option<(String, Vec<u8>)>,
}

/// State machine of a client's session with the store.
#[derive(Debug)]
pub struct StoreSession {
    settings: StoreSessionSettings,
    state: StoreSessionState,
    /// Index of the address that is connected to, or of the next one to connect to.
    address_index: usize,
    /// Failed connections since the session was last established.
    failed_attempts: u32,
    /// When the present state times out; unused in `Connected` and `Closed`.
    state_deadline: Duration,
    /// When the last bytes were received.
    last_received: Duration,
    /// When the last request was sent, or the session was established.
    last_sent: Duration,
    /// The session timeout that the store has granted; the requested one before the first handshake.
    timeout: Duration,
    /// 0 while there is no session.
    session_id: i64,
    /// Password with which the session can be resumed; zeros while there is none.
    password: Vec<u8>,
    /// The last transaction that the store has reported.
    last_zxid: i64,
    /// Number of the last request.
    last_xid: i32,
    /// Received bytes of the present connection.
    frames: FrameReader,
    /// Requests without a response yet, by number.
    pending: BTreeMap<i32, StoreRequest>,
    /// Watches to set again when the session is resumed.
    watched: WatchedPaths,
    /// State of the pseudorandom generator for the jitter of reconnect delays; never 0, which xorshift can't leave.
    random_state: u64,
}

impl StoreSession {
    /// Creates a session and at once requests its first connection. `seed` chooses the first address and the jitter of
    /// reconnect delays.
    pub fn new(
        now: Duration,
        settings: StoreSessionSettings,
        seed: u64,
        effects: &mut Vec<StoreSessionEffect>,
    ) -> StoreSession {
        let address_count = settings.address_count.max(1);
        let mut session = StoreSession {
            timeout: settings.timeout,
            settings,
            state: StoreSessionState::BackingOff,
            address_index: (seed % address_count as u64) as usize,
            failed_attempts: 0,
            state_deadline: now,
            last_received: now,
            last_sent: now,
            session_id: 0,
            password: vec![0; PASSWORD_BYTES],
            last_zxid: 0,
            last_xid: 0,
            frames: FrameReader::default(),
            pending: BTreeMap::new(),
            watched: WatchedPaths::default(),
            random_state: seed | 1,
        };
        session.tick(now, effects);
        session
    }

    /// The state of the session and its connection.
    pub fn state(&self) -> StoreSessionState {
        self.state
    }

    /// When [`tick`](StoreSession::tick) has to be called next; [`Duration::MAX`] for a closed session.
    pub fn next_tick_due(&self) -> Duration {
        match self.state {
            StoreSessionState::Connected => self.ping_due().min(self.receive_deadline()),
            StoreSessionState::Closed => Duration::MAX,
            _ => self.state_deadline,
        }
    }

    /// When a ping is due: after a third of the timeout without a request.
    fn ping_due(&self) -> Duration {
        self.last_sent + self.timeout / 3
    }

    /// When a silent connection counts as lost: after two thirds of the timeout, so that the last third is left to
    /// resume the session over another connection.
    fn receive_deadline(&self) -> Duration {
        self.last_received + self.timeout * 2 / 3
    }

    /// Sends a request and returns its number; `None` if the session is not connected or [`MAX_PENDING_REQUESTS`]
    /// requests are pending.
    pub fn request(
        &mut self,
        now: Duration,
        request: StoreRequest,
        effects: &mut Vec<StoreSessionEffect>,
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
        self.send(now, self.last_xid, &request, effects);
        self.pending.insert(self.last_xid, request);
        Some(self.last_xid)
    }

    /// Closes the session. If it is connected, a close request is sent too, so that the store deletes its ephemeral
    /// nodes at once.
    pub fn close(&mut self, now: Duration, effects: &mut Vec<StoreSessionEffect>) {
        if self.state == StoreSessionState::Connected {
            let xid = self.last_xid.wrapping_add(1);
            self.send(now, xid, &StoreRequest::Close, effects);
        }
        if self.state != StoreSessionState::Closed {
            self.state = StoreSessionState::Closed;
            effects.push(StoreSessionEffect::CloseConnection);
        }
    }

    /// Called by the driver once the requested connection is established; sends the handshake.
    pub fn connection_opened(&mut self, now: Duration, effects: &mut Vec<StoreSessionEffect>) {
        if self.state != StoreSessionState::Connecting {
            return;
        }
        self.state = StoreSessionState::Handshaking;
        self.state_deadline = now + CONNECT_TIMEOUT;
        self.frames = FrameReader::default();
        let connect = ConnectRequest {
            last_zxid: self.last_zxid,
            timeout_ms: self.settings.timeout.as_millis().min(i32::MAX as u128) as i32,
            session_id: self.session_id,
            password: self.password.clone(),
        };
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| connect.write(out));
        effects.push(StoreSessionEffect::Send(bytes));
    }

    /// Called by the driver when the connection could not be established, or broke.
    pub fn connection_failed(&mut self, now: Duration, effects: &mut Vec<StoreSessionEffect>) {
        match self.state {
            StoreSessionState::Closed | StoreSessionState::BackingOff => return,
            StoreSessionState::Connected => effects.push(StoreSessionEffect::ConnectionLost),
            StoreSessionState::Connecting | StoreSessionState::Handshaking => {}
        }
        // Whether the store performed the pending requests can't be known.
        for xid in std::mem::take(&mut self.pending).into_keys() {
            effects.push(StoreSessionEffect::ResponseLost { xid });
        }
        self.state = StoreSessionState::BackingOff;
        self.address_index = (self.address_index + 1) % self.settings.address_count.max(1);
        let doublings = self.failed_attempts.min(MAX_DELAY_DOUBLINGS);
        let delay = (MIN_RECONNECT_DELAY * (1 << doublings)).min(MAX_RECONNECT_DELAY);
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        // Jitter between half and one and a half of the delay, or all clients would reconnect to a recovered store at
        // once.
        self.state_deadline = now + delay.mul_f64(0.5 + self.random());
        effects.push(StoreSessionEffect::CloseConnection);
    }

    /// Connects, times out or sends a ping if that is due at `now`.
    pub fn tick(&mut self, now: Duration, effects: &mut Vec<StoreSessionEffect>) {
        match self.state {
            StoreSessionState::BackingOff if now >= self.state_deadline => {
                self.state = StoreSessionState::Connecting;
                self.state_deadline = now + CONNECT_TIMEOUT;
                effects.push(StoreSessionEffect::Connect(self.address_index));
            }
            StoreSessionState::Connecting | StoreSessionState::Handshaking
                if now >= self.state_deadline =>
            {
                self.connection_failed(now, effects);
            }
            StoreSessionState::Connected if now >= self.receive_deadline() => {
                self.connection_failed(now, effects);
            }
            StoreSessionState::Connected if now >= self.ping_due() => {
                self.send(now, XID_PING, &StoreRequest::Ping, effects);
            }
            _ => {}
        }
    }

    /// Whether received bytes are handled in the present state.
    fn is_receiving(&self) -> bool {
        matches!(
            self.state,
            StoreSessionState::Handshaking | StoreSessionState::Connected
        )
    }

    /// Handles bytes received over the connection, in pieces of any size.
    pub fn receive(&mut self, now: Duration, bytes: &[u8], effects: &mut Vec<StoreSessionEffect>) {
        if self.is_receiving() {
            self.last_received = now;
            self.frames.append(bytes);
        }
        while self.is_receiving() {
            let frame = match self.frames.next_frame() {
                Ok(Some(frame)) => frame.to_vec(),
                Ok(None) => return,
                Err(error) => return self.protocol_error(now, error, effects),
            };
            let result = if self.state == StoreSessionState::Handshaking {
                self.finish_handshake(now, &frame, effects)
            } else {
                self.handle_reply(&frame, effects)
            };
            if let Err(error) = result {
                return self.protocol_error(now, error, effects);
            }
        }
    }

    /// Reports bytes that can't be decoded and gives up the connection; the session is kept.
    fn protocol_error(
        &mut self,
        now: Duration,
        error: DecodeError,
        effects: &mut Vec<StoreSessionEffect>,
    ) {
        effects.push(StoreSessionEffect::ProtocolError(error.to_string()));
        self.connection_failed(now, effects);
    }

    /// Handles the response to the handshake: the session is established, or has expired if the granted timeout is 0.
    fn finish_handshake(
        &mut self,
        now: Duration,
        frame: &[u8],
        effects: &mut Vec<StoreSessionEffect>,
    ) -> Result<(), DecodeError> {
        let response = ConnectResponse::read(frame)?;
        if response.timeout_ms <= 0 {
            self.discard_session();
            effects.push(StoreSessionEffect::Expired);
            self.connection_failed(now, effects);
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
            self.send(
                now,
                XID_AUTH,
                &StoreRequest::Auth { scheme, secret },
                effects,
            );
        }
        if new {
            self.watched = WatchedPaths::default();
        } else if !self.watched.is_empty() {
            let request = self.watched.to_set_watches_request(self.last_zxid);
            self.send(now, XID_SET_WATCHES, &request, effects);
        }
        effects.push(StoreSessionEffect::Established { new });
        Ok(())
    }

    /// Discards an expired session, so that the next connection requests a new one.
    fn discard_session(&mut self) {
        self.session_id = 0;
        self.password = vec![0; PASSWORD_BYTES];
        self.last_zxid = 0;
        self.watched = WatchedPaths::default();
    }

    /// Handles a frame of an established session: a watch event or a reply.
    fn handle_reply(
        &mut self,
        frame: &[u8],
        effects: &mut Vec<StoreSessionEffect>,
    ) -> Result<(), DecodeError> {
        let mut reader = JuteReader::new(frame);
        let header = ReplyHeader::read(&mut reader)?;
        self.last_zxid = self.last_zxid.max(header.zxid);
        let error = StoreError::from_code(header.error_code);
        match header.xid {
            XID_PING | XID_AUTH | XID_SET_WATCHES => {
                if let Some(error) = error {
                    let text = format!("store rejected request with xid {}: {error}", header.xid);
                    effects.push(StoreSessionEffect::ProtocolError(text));
                }
                Ok(())
            }
            XID_EVENT => {
                let event = WatchEvent::read(&mut reader)?;
                reader.finish()?;
                self.watched.remove_triggered(&event);
                effects.push(StoreSessionEffect::WatchTriggered(event));
                Ok(())
            }
            xid => self.handle_response(xid, error, &mut reader, effects),
        }
    }

    /// Handles the reply to a request of the caller.
    fn handle_response(
        &mut self,
        xid: i32,
        error: Option<StoreError>,
        reader: &mut JuteReader<'_>,
        effects: &mut Vec<StoreSessionEffect>,
    ) -> Result<(), DecodeError> {
        let Some(request) = self.pending.remove(&xid) else {
            let text = format!("response with xid {xid} matches no pending request");
            effects.push(StoreSessionEffect::ProtocolError(text));
            return Ok(());
        };
        // `Exists` on a missing node fails, and still sets a watch for its creation.
        self.watched.add(&request, error);
        let response = match error {
            Some(error) => Err(error),
            None => Ok(read_response(&request, reader)?),
        };
        effects.push(StoreSessionEffect::ResponseReceived { xid, response });
        Ok(())
    }

    /// Sends a request with this number.
    fn send(
        &mut self,
        now: Duration,
        xid: i32,
        request: &StoreRequest,
        effects: &mut Vec<StoreSessionEffect>,
    ) {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| request.write(xid, out));
        self.last_sent = now;
        effects.push(StoreSessionEffect::Send(bytes));
    }

    /// The next pseudorandom number, from 0 to below 1, by xorshift.
    fn random(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Decodes the body of a successful response to `request`.
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
        // The results of the parts are not decoded: either all parts were performed, or the response is an error.
        StoreRequest::Multi(_) => return Ok(StoreResponse::Empty),
        _ => StoreResponse::Empty,
    };
    reader.finish()?;
    Ok(response)
}
