//! A stub store without I/O, for tests of clients: a tree of nodes, sessions that expire, and watches that fire once
//! and in order. It implements only the published behaviour that these tests need; all data is in memory.

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

/// Number of a connection, assigned by the caller; unique among open connections.
pub type ConnectionId = u64;

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEffect {
    /// Send a record over a connection; the caller adds the length prefix of the frame.
    Send(ConnectionId, Vec<u8>),
    /// Close a connection.
    CloseConnection(ConnectionId),
}

/// A node of the tree.
#[derive(Clone, Debug, Default)]
struct Node {
    data: Vec<u8>,
    stat: NodeStat,
}

/// The store's side of a client's session.
#[derive(Clone, Debug)]
struct ServerSession {
    password: Vec<u8>,
    /// The granted timeout: the session expires if nothing is received for this long.
    timeout: Duration,
    /// When the last record was received.
    last_received: Duration,
    /// The connection that the session uses; `None` while it has none.
    connection: Option<ConnectionId>,
    /// Paths of the session's ephemeral nodes.
    ephemeral_paths: BTreeSet<String>,
}

impl ServerSession {
    fn expires_at(&self) -> Duration {
        self.last_received + self.timeout
    }
}

/// The origin of the request that is being performed, and the present time.
#[derive(Clone, Copy, Debug)]
struct RequestContext {
    now: Duration,
    session_id: i64,
    connection: ConnectionId,
}

/// State of a stub store.
#[derive(Debug)]
pub struct StubStore {
    /// Nodes by path; the root always exists.
    nodes: BTreeMap<String, Node>,
    /// Sessions that have not ended, by number.
    sessions: BTreeMap<i64, ServerSession>,
    /// The session of each connection that has completed its handshake.
    connections: BTreeMap<ConnectionId, i64>,
    watches: BTreeSet<Watch>,
    /// Number of the last transaction.
    zxid: i64,
    next_session_id: i64,
    /// Bounds of the session timeout that is granted.
    min_timeout: Duration,
    max_timeout: Duration,
    /// How many records, handshakes included, have been received.
    pub request_count: u64,
}

impl StubStore {
    /// Creates an empty store that grants session timeouts within these bounds.
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

    /// Numbers of the sessions that have not ended.
    pub fn session_ids(&self) -> impl Iterator<Item = i64> {
        self.sessions.keys().copied()
    }

    /// How many nodes exist, without the root.
    pub fn node_count(&self) -> usize {
        self.nodes.len() - 1
    }

    /// When the next session expires, unless something is received before; `None` without sessions.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.sessions.values().map(ServerSession::expires_at).min()
    }

    /// Ends the sessions that have expired by `now`.
    pub fn tick(&mut self, now: Duration, effects: &mut Vec<StoreEffect>) {
        let expired: Vec<i64> = self
            .sessions
            .iter()
            .filter(|(_, session)| now >= session.expires_at())
            .map(|(session_id, _)| *session_id)
            .collect();
        for session_id in expired {
            self.end_session(session_id, effects);
        }
    }

    /// Ends a session, if it exists: deletes its ephemeral nodes and closes its connection.
    pub fn end_session(&mut self, session_id: i64, effects: &mut Vec<StoreEffect>) {
        let Some(session) = self.sessions.remove(&session_id) else {
            return;
        };
        for path in session.ephemeral_paths {
            self.remove(&path, effects);
        }
        if let Some(connection) = session.connection {
            self.connection_closed(connection);
            effects.push(StoreEffect::CloseConnection(connection));
        }
    }

    /// Called when a connection was closed. Its watches are removed; its session is kept until it expires.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.remove_watches_of(connection);
        if let Some(session_id) = self.connections.remove(&connection)
            && let Some(session) = self.sessions.get_mut(&session_id)
        {
            session.connection = session.connection.filter(|current| *current != connection);
        }
    }

    /// Handles a frame, without its length prefix, that was received over a connection. Fails if it can't be decoded;
    /// the caller then closes the connection.
    pub fn receive_frame(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        frame: &[u8],
        effects: &mut Vec<StoreEffect>,
    ) -> Result<(), DecodeError> {
        self.request_count += 1;
        let Some(session_id) = self.connections.get(&connection).copied() else {
            return self.handshake(now, connection, frame, effects);
        };
        let (xid, request) = StoreRequest::read(frame)?;
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.last_received = now;
        }
        if request == StoreRequest::Close {
            effects.push(self.reply(connection, xid, None, &[]));
            self.end_session(session_id, effects);
            return Ok(());
        }
        let context = RequestContext {
            now,
            session_id,
            connection,
        };
        let mut body = Vec::new();
        // Watch events precede the reply to the request that triggers them, so that a client sees the event before the
        // result of its own change.
        let mut events = Vec::new();
        let error = self
            .apply_request(context, &request, &mut body, &mut events)
            .err();
        effects.append(&mut events);
        let xid = match request {
            StoreRequest::Ping => XID_PING,
            StoreRequest::Auth { .. } => XID_AUTH,
            _ => xid,
        };
        effects.push(self.reply(connection, xid, error, &body));
        Ok(())
    }

    /// Builds the reply to a request; with an error it has no body.
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

    /// Handles the first frame of a connection, which requests a new session or resumes an existing one.
    fn handshake(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        frame: &[u8],
        effects: &mut Vec<StoreEffect>,
    ) -> Result<(), DecodeError> {
        let request = ConnectRequest::read(frame)?;
        let session_id = match request.session_id {
            0 => Some(self.create_session(now, &request)),
            existing => self
                .sessions
                .get(&existing)
                .filter(|session| session.password == request.password)
                .map(|_| existing),
        };
        match session_id {
            Some(session_id) => self.resume_session(now, connection, session_id, effects),
            None => {
                let mut bytes = Vec::new();
                ConnectResponse::default().write(&mut bytes);
                effects.push(StoreEffect::Send(connection, bytes));
                effects.push(StoreEffect::CloseConnection(connection));
            }
        }
        Ok(())
    }

    /// Creates a session without a connection and returns its number.
    fn create_session(&mut self, now: Duration, request: &ConnectRequest) -> i64 {
        let session_id = self.next_session_id;
        self.next_session_id += 1;
        let timeout = Duration::from_millis(u64::try_from(request.timeout_ms).unwrap_or(0));
        let session = ServerSession {
            password: session_password(session_id),
            timeout: timeout.clamp(self.min_timeout, self.max_timeout),
            last_received: now,
            connection: None,
            ephemeral_paths: BTreeSet::new(),
        };
        self.sessions.insert(session_id, session);
        session_id
    }

    /// Attaches a session to a connection and closes its previous connection, if any.
    fn resume_session(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        session_id: i64,
        effects: &mut Vec<StoreEffect>,
    ) {
        let Some(session) = self.sessions.get_mut(&session_id) else {
            return;
        };
        session.last_received = now;
        let previous = session.connection.replace(connection);
        let response = ConnectResponse {
            timeout_ms: session.timeout.as_millis() as i32,
            session_id,
            password: session.password.clone(),
        };
        if let Some(previous) = previous.filter(|previous| *previous != connection) {
            self.remove_watches_of(previous);
            self.connections.remove(&previous);
            effects.push(StoreEffect::CloseConnection(previous));
        }
        self.connections.insert(connection, session_id);
        let mut bytes = Vec::new();
        response.write(&mut bytes);
        effects.push(StoreEffect::Send(connection, bytes));
    }

    fn remove_watches_of(&mut self, connection: ConnectionId) {
        self.watches.retain(|watch| watch.connection != connection);
    }
}

/// Derives a session's password from its number. Session numbers are sequential and easily guessed; the password keeps
/// other clients from resuming the session.
fn session_password(session_id: i64) -> Vec<u8> {
    let mixed = (session_id as u64 ^ 0x5bd1_e995).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    [mixed.to_be_bytes(), mixed.rotate_left(29).to_be_bytes()].concat()
}
