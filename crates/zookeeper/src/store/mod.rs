//! A stub store without I/O: a tree of nodes, sessions that expire, watches that fire once and in order. It has as
//! much of the published behaviour as clients need to be tested against; nothing is kept on disk.

mod nodes;
mod requests;
mod watches;

use crate::jute::DecodeError;
use crate::record::{
    ConnectRequest, ConnectResponse, NodeStat, ReplyHeader, StoreError, StoreRequest, XID_AUTH,
    XID_PING,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use watches::{Watch, WatchTarget};

/// A connection, by the number that its driver gave it.
pub type ConnectionId = u64;

/// What a store wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEffect {
    /// Send a frame, given without its length.
    Send(ConnectionId, Vec<u8>),
    /// Close a connection.
    CloseConnection(ConnectionId),
}

#[derive(Clone, Debug, Default)]
struct Node {
    data: Vec<u8>,
    stat: NodeStat,
}

#[derive(Clone, Debug)]
struct ServerSession {
    password: Vec<u8>,
    timeout: Duration,
    last_received: Duration,
    connection: Option<ConnectionId>,
    /// Paths of its ephemeral nodes.
    nodes: BTreeSet<String>,
}

impl ServerSession {
    fn expires(&self) -> Duration {
        self.last_received + self.timeout
    }
}

/// The request that is being performed.
#[derive(Clone, Copy, Debug)]
struct RequestContext {
    now: Duration,
    session_id: i64,
    connection: ConnectionId,
}

/// A store with its nodes and its clients' sessions.
#[derive(Debug)]
pub struct StubStore {
    nodes: BTreeMap<String, Node>,
    sessions: BTreeMap<i64, ServerSession>,
    connections: BTreeMap<ConnectionId, i64>,
    watches: BTreeSet<Watch>,
    /// The last transaction.
    zxid: i64,
    next_session_id: i64,
    min_timeout: Duration,
    max_timeout: Duration,
    /// Requests received, for measurements.
    pub request_count: u64,
}

impl StubStore {
    /// An empty store that grants session timeouts within these bounds.
    pub fn new(min_timeout: Duration, max_timeout: Duration) -> StubStore {
        StubStore {
            nodes: BTreeMap::from([("/".to_string(), Node::default())]),
            sessions: BTreeMap::new(),
            connections: BTreeMap::new(),
            watches: BTreeSet::new(),
            zxid: 0,
            next_session_id: 1,
            min_timeout,
            max_timeout,
            request_count: 0,
        }
    }

    /// The sessions that stand.
    pub fn session_ids(&self) -> impl Iterator<Item = i64> {
        self.sessions.keys().copied()
    }

    /// How many nodes there are below the root.
    pub fn node_count(&self) -> usize {
        self.nodes.len() - 1
    }

    /// When the next session expires, if nothing is received meanwhile.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.sessions.values().map(ServerSession::expires).min()
    }

    /// Ends the sessions that have expired.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<StoreEffect>) {
        let expired: Vec<i64> = self
            .sessions
            .iter()
            .filter(|(_, session)| now >= session.expires())
            .map(|(session_id, _)| *session_id)
            .collect();
        for session_id in expired {
            self.end_session(session_id, out);
        }
    }

    /// Ends a session: its ephemeral nodes vanish and its connection is closed.
    pub fn end_session(&mut self, session_id: i64, out: &mut Vec<StoreEffect>) {
        let Some(session) = self.sessions.remove(&session_id) else {
            return;
        };
        for path in session.nodes {
            self.remove(&path, out);
        }
        if let Some(connection) = session.connection {
            self.connection_closed(connection);
            out.push(StoreEffect::CloseConnection(connection));
        }
    }

    /// A connection was closed; its session stays until it expires.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.remove_watches_of(connection);
        if let Some(session_id) = self.connections.remove(&connection)
            && let Some(session) = self.sessions.get_mut(&session_id)
        {
            session.connection = session.connection.filter(|own| *own != connection);
        }
    }

    /// Takes a complete frame of a connection. Fails where it can't be decoded; the connection is then to be closed.
    pub fn receive_frame(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        frame: &[u8],
        out: &mut Vec<StoreEffect>,
    ) -> Result<(), DecodeError> {
        self.request_count += 1;
        let Some(session_id) = self.connections.get(&connection).copied() else {
            return self.handshake(now, connection, frame, out);
        };
        let (xid, request) = StoreRequest::read(frame)?;
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.last_received = now;
        }
        if request == StoreRequest::Close {
            out.push(self.reply(connection, xid, None, &[]));
            self.end_session(session_id, out);
            return Ok(());
        }
        let context = RequestContext {
            now,
            session_id,
            connection,
        };
        let mut body = Vec::new();
        // Watches fire before the reply to what made them fire, so that no client sees its own change too early.
        let mut events = Vec::new();
        let error = self
            .apply_request(context, &request, &mut body, &mut events)
            .err();
        out.append(&mut events);
        let xid = match request {
            StoreRequest::Ping => XID_PING,
            StoreRequest::Auth { .. } => XID_AUTH,
            _ => xid,
        };
        out.push(self.reply(connection, xid, error, &body));
        Ok(())
    }

    /// A reply, without a body where there is an error.
    fn reply(
        &self,
        connection: ConnectionId,
        xid: i32,
        error: Option<StoreError>,
        body: &[u8],
    ) -> StoreEffect {
        let header = ReplyHeader {
            xid,
            zxid: self.zxid,
            error_code: error.map_or(0, StoreError::code),
        };
        let mut frame = Vec::new();
        header.write(&mut frame);
        if error.is_none() {
            frame.extend(body);
        }
        StoreEffect::Send(connection, frame)
    }

    /// Takes a connection's first frame, which asks for a new session or one that stands.
    fn handshake(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        frame: &[u8],
        out: &mut Vec<StoreEffect>,
    ) -> Result<(), DecodeError> {
        let request = ConnectRequest::read(frame)?;
        let session_id = match request.session_id {
            0 => Some(self.create_session(now, &request)),
            known => self
                .sessions
                .get(&known)
                .filter(|session| session.password == request.password)
                .map(|_| known),
        };
        match session_id {
            Some(session_id) => self.resume_session(now, connection, session_id, out),
            None => {
                let mut bytes = Vec::new();
                ConnectResponse::default().write(&mut bytes);
                out.push(StoreEffect::Send(connection, bytes));
                out.push(StoreEffect::CloseConnection(connection));
            }
        }
        Ok(())
    }

    fn create_session(&mut self, now: Duration, request: &ConnectRequest) -> i64 {
        let session_id = self.next_session_id;
        self.next_session_id += 1;
        let timeout = Duration::from_millis(u64::try_from(request.timeout_ms).unwrap_or(0));
        let session = ServerSession {
            password: password(session_id),
            timeout: timeout.clamp(self.min_timeout, self.max_timeout),
            last_received: now,
            connection: None,
            nodes: BTreeSet::new(),
        };
        self.sessions.insert(session_id, session);
        session_id
    }

    /// Gives a session to a connection, in place of the one that it had.
    fn resume_session(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        session_id: i64,
        out: &mut Vec<StoreEffect>,
    ) {
        let Some(session) = self.sessions.get_mut(&session_id) else {
            return;
        };
        session.last_received = now;
        let former = session.connection.replace(connection);
        let response = ConnectResponse {
            timeout_ms: session.timeout.as_millis() as i32,
            session_id,
            password: session.password.clone(),
        };
        if let Some(former) = former.filter(|former| *former != connection) {
            self.remove_watches_of(former);
            self.connections.remove(&former);
            out.push(StoreEffect::CloseConnection(former));
        }
        self.connections.insert(connection, session_id);
        let mut bytes = Vec::new();
        response.write(&mut bytes);
        out.push(StoreEffect::Send(connection, bytes));
    }

    fn remove_watches_of(&mut self, connection: ConnectionId) {
        self.watches.retain(|watch| watch.connection != connection);
    }
}

/// A session's password. Session numbers count up and can be guessed; the password keeps a session its owner's.
fn password(session_id: i64) -> Vec<u8> {
    let mixed = (session_id as u64 ^ 0x5bd1_e995).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    [mixed.to_be_bytes(), mixed.rotate_left(29).to_be_bytes()].concat()
}
