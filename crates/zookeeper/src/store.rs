//! A stand-in store without I/O: a tree of nodes, sessions that lapse, watches that fire once and in order. Enough of
//! the published behaviour for clients to be tested against, and no more; nothing is kept on disk.

use crate::jute::{DecodeError, JuteWrite};
use crate::record::{
    ANY_VERSION, ConnectRequest, ConnectResponse, NodeStat, ReplyHeader, StoreError, StoreRequest,
    WatchEvent, WatchEventKind, XID_AUTH, XID_EVENT, XID_PING,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A connection, by the number its driver gave it.
pub type ConnectionId = u64;

/// What a store wants done: frames written, without their length, and connections closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEffect {
    Send(ConnectionId, Vec<u8>),
    CloseConnection(ConnectionId),
}

#[derive(Clone, Debug, Default)]
struct Node {
    data: Vec<u8>,
    stat: NodeStat,
}

#[derive(Clone, Debug)]
struct Keeper {
    password: Vec<u8>,
    timeout: Duration,
    heard: Duration,
    conn: Option<ConnectionId>,
    nodes: BTreeSet<String>,
}

/// The kinds of watches: of a node's data or being, and of its children.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Node,
    Children,
}

#[derive(Debug)]
pub struct StubStore {
    nodes: BTreeMap<String, Node>,
    sessions: BTreeMap<i64, Keeper>,
    conns: BTreeMap<ConnectionId, i64>,
    watches: BTreeSet<(String, Kind, ConnectionId)>,
    zxid: i64,
    next: i64,
    /// Bounds of what a client may ask for as its timeout.
    least: Duration,
    most: Duration,
    /// Requests taken, for measurements.
    pub request_count: u64,
}

/// Most nodes, and bytes of one.
const NODES: usize = 50_000;
const DATA: usize = 1 << 20;

impl StubStore {
    pub fn new(least: Duration, most: Duration) -> StubStore {
        let root = BTreeMap::from([("/".to_string(), Node::default())]);
        StubStore {
            nodes: root,
            sessions: BTreeMap::new(),
            conns: BTreeMap::new(),
            watches: BTreeSet::new(),
            zxid: 0,
            next: 1,
            least,
            most,
            request_count: 0,
        }
    }

    pub fn sessions(&self) -> impl Iterator<Item = i64> {
        self.sessions.keys().copied()
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len() - 1
    }

    /// When the next session lapses, if nothing is heard.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.sessions.values().map(|s| s.heard + s.timeout).min()
    }

    /// Ends sessions that said nothing for too long.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<StoreEffect>) {
        let lapsed = |s: &Keeper| now >= s.heard + s.timeout;
        let over: Vec<i64> = self
            .sessions
            .iter()
            .filter(|(_, s)| lapsed(s))
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().for_each(|id| self.end_session(id, out));
    }

    /// Ends a session: its nodes vanish, its connection is closed.
    pub fn end_session(&mut self, id: i64, out: &mut Vec<StoreEffect>) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        for path in session.nodes {
            self.remove(&path, out);
        }
        if let Some(conn) = session.conn {
            self.connection_closed(conn);
            out.push(StoreEffect::CloseConnection(conn));
        }
    }

    /// A connection is gone; its session stays until it lapses.
    pub fn connection_closed(&mut self, conn: ConnectionId) {
        self.watches.retain(|watch| watch.2 != conn);
        if let Some(id) = self.conns.remove(&conn)
            && let Some(session) = self.sessions.get_mut(&id)
        {
            session.conn = session.conn.filter(|own| *own != conn);
        }
    }

    /// A whole frame of a connection. A fault says that it cannot be read; the connection is then to be closed.
    pub fn receive_frame(
        &mut self,
        now: Duration,
        conn: ConnectionId,
        frame: &[u8],
        out: &mut Vec<StoreEffect>,
    ) -> Result<(), DecodeError> {
        self.request_count += 1;
        let Some(id) = self.conns.get(&conn).copied() else {
            return self.connect(now, conn, frame, out);
        };
        let (xid, request) = StoreRequest::read(frame)?;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.heard = now;
        }
        if request == StoreRequest::Close {
            let zxid = self.zxid;
            out.push(StoreEffect::Send(
                conn,
                answer(
                    ReplyHeader {
                        xid,
                        zxid,
                        error_code: 0,
                    },
                    &[],
                ),
            ));
            self.end_session(id, out);
            return Ok(());
        }
        let mut body = Vec::new();
        // Watches fire before the answer to what made them fire: nobody hears of his own change too early.
        let mut fired = Vec::new();
        let done = self.obey(now, id, conn, &request, &mut body, &mut fired);
        let err = done.err().map_or(0, StoreError::code);
        let xid = match request {
            StoreRequest::Ping => XID_PING,
            StoreRequest::Auth { .. } => XID_AUTH,
            _ => xid,
        };
        out.append(&mut fired);
        let body = if err == 0 { body.as_slice() } else { &[] };
        out.push(StoreEffect::Send(
            conn,
            answer(
                ReplyHeader {
                    xid,
                    zxid: self.zxid,
                    error_code: err,
                },
                body,
            ),
        ));
        Ok(())
    }

    fn connect(
        &mut self,
        now: Duration,
        conn: ConnectionId,
        frame: &[u8],
        out: &mut Vec<StoreEffect>,
    ) -> Result<(), DecodeError> {
        let asked = ConnectRequest::read(frame)?;
        let known = self
            .sessions
            .get(&asked.session_id)
            .filter(|s| s.password == asked.password);
        let (id, connected) = match (asked.session_id, known) {
            (0, _) => {
                let id = self.next;
                self.next += 1;
                let asked = Duration::from_millis(u64::try_from(asked.timeout_ms).unwrap_or(0));
                let timeout = asked.clamp(self.least, self.most);
                // Anybody may know a number that counts up; the password is what keeps a session its owner's.
                let mixed = (id as u64 ^ 0x5bd1_e995).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let password = [mixed.to_be_bytes(), mixed.rotate_left(29).to_be_bytes()].concat();
                let nodes = BTreeSet::new();
                let keeper = Keeper {
                    password,
                    timeout,
                    heard: now,
                    conn: None,
                    nodes,
                };
                self.sessions.insert(id, keeper);
                (id, true)
            }
            (id, Some(_)) => (id, true),
            (_, None) => (0, false),
        };
        let mut bytes = Vec::new();
        if !connected {
            ConnectResponse::default().write(&mut bytes);
            out.extend([
                StoreEffect::Send(conn, bytes),
                StoreEffect::CloseConnection(conn),
            ]);
            return Ok(());
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        session.heard = now;
        let before = session.conn.replace(conn);
        let timeout = session.timeout.as_millis() as i32;
        ConnectResponse {
            timeout_ms: timeout,
            session_id: id,
            password: session.password.clone(),
        }
        .write(&mut bytes);
        if let Some(before) = before.filter(|before| *before != conn) {
            self.watches.retain(|watch| watch.2 != before);
            self.conns.remove(&before);
            out.push(StoreEffect::CloseConnection(before));
        }
        self.conns.insert(conn, id);
        out.push(StoreEffect::Send(conn, bytes));
        Ok(())
    }

    fn obey(
        &mut self,
        now: Duration,
        id: i64,
        conn: ConnectionId,
        request: &StoreRequest,
        body: &mut Vec<u8>,
        fired: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        match request {
            StoreRequest::Create {
                path,
                data,
                ephemeral,
            } => {
                self.create(now, id, path, data, *ephemeral, fired)?;
                body.string(path);
            }
            StoreRequest::Delete { path, version } => self.delete(path, *version, fired)?,
            StoreRequest::SetData {
                path,
                data,
                version,
            } => {
                self.set(now, path, data, *version, fired)?;
                self.nodes[path.as_str()].stat.write(body);
            }
            StoreRequest::Exists { path, watch } => {
                let found = self.nodes.get(path).map(|node| node.stat);
                // Of a node that is not there its coming is watched for.
                self.keep(path, Kind::Node, conn, *watch);
                found.ok_or(StoreError::NoNode)?.write(body);
            }
            StoreRequest::GetData { path, watch } => {
                let node = self.nodes.get(path).ok_or(StoreError::NoNode)?;
                body.buffer(Some(&node.data));
                node.stat.write(body);
                self.keep(path, Kind::Node, conn, *watch);
            }
            StoreRequest::GetChildren { path, watch } => {
                let stat = self.nodes.get(path).ok_or(StoreError::NoNode)?.stat;
                let children: Vec<&str> = self.children(path).collect();
                body.vector(&children, |out, name| out.string(name));
                stat.write(body);
                self.keep(path, Kind::Children, conn, *watch);
            }
            StoreRequest::SetWatches {
                since,
                data,
                exist,
                child,
            } => {
                self.again(conn, *since, data, exist, child, fired);
            }
            StoreRequest::Multi(all) => self.multi(now, id, all, fired)?,
            StoreRequest::Ping | StoreRequest::Auth { .. } | StoreRequest::Close => {}
        }
        Ok(())
    }

    fn keep(&mut self, path: &str, kind: Kind, conn: ConnectionId, watch: bool) {
        if watch {
            self.watches.insert((path.to_string(), kind, conn));
        }
    }

    fn children(&self, path: &str) -> impl Iterator<Item = &str> {
        let prefix = if path == "/" {
            "/".to_string()
        } else {
            format!("{path}/")
        };
        let length = prefix.len();
        let below = self
            .nodes
            .range(prefix.clone()..)
            .take_while(move |(p, _)| p.starts_with(&prefix));
        let names = below.filter_map(move |(p, _)| p.get(length..));
        names.filter(|name| !name.is_empty() && !name.contains('/'))
    }

    fn create(
        &mut self,
        now: Duration,
        id: i64,
        path: &str,
        data: &[u8],
        ephemeral: bool,
        fired: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        let name = path.rsplit('/').next().unwrap_or_default();
        let plain = path.starts_with('/')
            && !name.is_empty()
            && !path.contains("//")
            && !path.contains('\0');
        if !plain || data.len() > DATA || self.nodes.len() > NODES {
            return Err(StoreError::BadArguments);
        }
        let parent = parent(path);
        let above = self.nodes.get(parent).ok_or(StoreError::NoNode)?;
        if above.stat.ephemeral_owner != 0 {
            return Err(StoreError::NoChildrenForEphemerals);
        }
        if self.nodes.contains_key(path) {
            return Err(StoreError::NodeExists);
        }
        self.zxid += 1;
        let (zxid, at) = (self.zxid, now.as_millis() as i64);
        let owner = if ephemeral { id } else { 0 };
        let stat = NodeStat {
            created_zxid: zxid,
            modified_zxid: zxid,
            child_modified_zxid: zxid,
            created_ms: at,
            modified_ms: at,
            ephemeral_owner: owner,
            data_length: data.len() as i32,
            ..NodeStat::default()
        };
        self.nodes.insert(
            path.to_string(),
            Node {
                data: data.to_vec(),
                stat,
            },
        );
        if ephemeral && let Some(session) = self.sessions.get_mut(&id) {
            session.nodes.insert(path.to_string());
        }
        self.count(parent, 1);
        self.fire(path, Kind::Node, WatchEventKind::Created, fired);
        self.fire(parent, Kind::Children, WatchEventKind::Children, fired);
        Ok(())
    }

    fn count(&mut self, parent: &str, by: i32) {
        let zxid = self.zxid;
        if let Some(node) = self.nodes.get_mut(parent) {
            node.stat.child_count += by;
            node.stat.child_version += 1;
            node.stat.child_modified_zxid = zxid;
        }
    }

    fn delete(
        &mut self,
        path: &str,
        version: i32,
        fired: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        let node = self
            .nodes
            .get(path)
            .filter(|_| path != "/")
            .ok_or(StoreError::NoNode)?;
        if version != ANY_VERSION && version != node.stat.version {
            return Err(StoreError::BadVersion);
        }
        if node.stat.child_count > 0 {
            return Err(StoreError::NotEmpty);
        }
        let owner = node.stat.ephemeral_owner;
        if let Some(session) = self.sessions.get_mut(&owner) {
            session.nodes.remove(path);
        }
        self.remove(path, fired);
        Ok(())
    }

    fn remove(&mut self, path: &str, fired: &mut Vec<StoreEffect>) {
        if self.nodes.remove(path).is_none() {
            return;
        }
        self.zxid += 1;
        self.count(parent(path), -1);
        self.fire(path, Kind::Node, WatchEventKind::Deleted, fired);
        self.fire(path, Kind::Children, WatchEventKind::Deleted, fired);
        self.fire(
            parent(path),
            Kind::Children,
            WatchEventKind::Children,
            fired,
        );
    }

    fn set(
        &mut self,
        now: Duration,
        path: &str,
        data: &[u8],
        version: i32,
        fired: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        let node = self.nodes.get_mut(path).ok_or(StoreError::NoNode)?;
        if version != ANY_VERSION && version != node.stat.version {
            return Err(StoreError::BadVersion);
        }
        if data.len() > DATA {
            return Err(StoreError::BadArguments);
        }
        self.zxid += 1;
        node.data = data.to_vec();
        node.stat.version += 1;
        (node.stat.modified_zxid, node.stat.modified_ms) = (self.zxid, now.as_millis() as i64);
        node.stat.data_length = data.len() as i32;
        self.fire(path, Kind::Node, WatchEventKind::Data, fired);
        Ok(())
    }

    /// All or none: what was done is taken back where a later part is refused.
    fn multi(
        &mut self,
        now: Duration,
        id: i64,
        all: &[StoreRequest],
        out: &mut Vec<StoreEffect>,
    ) -> Result<(), StoreError> {
        let before = (
            self.nodes.clone(),
            self.sessions.clone(),
            self.watches.clone(),
            self.zxid,
        );
        let mut fired = Vec::new();
        for request in all {
            let done = match request {
                StoreRequest::Create {
                    path,
                    data,
                    ephemeral,
                } => self.create(now, id, path, data, *ephemeral, &mut fired),
                StoreRequest::Delete { path, version } => self.delete(path, *version, &mut fired),
                StoreRequest::SetData {
                    path,
                    data,
                    version,
                } => self.set(now, path, data, *version, &mut fired),
                _ => Err(StoreError::BadArguments),
            };
            if let Err(refused) = done {
                (self.nodes, self.sessions, self.watches, self.zxid) = before;
                return Err(refused);
            }
        }
        out.append(&mut fired);
        Ok(())
    }

    /// Watches set before, on a new connection: what changed since fires at once, the rest is kept.
    fn again(
        &mut self,
        conn: ConnectionId,
        since: i64,
        data: &[String],
        exist: &[String],
        child: &[String],
        fired: &mut Vec<StoreEffect>,
    ) {
        let mut tell = |what, path: &str| fired.push(event(conn, what, path));
        let mut keep = Vec::new();
        for path in data {
            match self.nodes.get(path) {
                None => tell(WatchEventKind::Deleted, path),
                Some(node) if node.stat.modified_zxid > since => tell(WatchEventKind::Data, path),
                Some(_) => keep.push((path.clone(), Kind::Node, conn)),
            }
        }
        for path in exist {
            match self.nodes.get(path) {
                Some(_) => tell(WatchEventKind::Created, path),
                None => keep.push((path.clone(), Kind::Node, conn)),
            }
        }
        for path in child {
            match self.nodes.get(path) {
                None => tell(WatchEventKind::Deleted, path),
                Some(node) if node.stat.child_modified_zxid > since => {
                    tell(WatchEventKind::Children, path)
                }
                Some(_) => keep.push((path.clone(), Kind::Children, conn)),
            }
        }
        self.watches.extend(keep);
    }

    /// Each watch fires once.
    fn fire(&mut self, path: &str, kind: Kind, what: WatchEventKind, fired: &mut Vec<StoreEffect>) {
        let from = (path.to_string(), kind, 0);
        let to = (path.to_string(), kind, ConnectionId::MAX);
        let those: Vec<(String, Kind, ConnectionId)> =
            self.watches.range(from..=to).cloned().collect();
        for watch in those {
            self.watches.remove(&watch);
            // One told of a node's end by its other watch hears it once.
            let told = event(watch.2, what, path);
            if !fired.contains(&told) {
                fired.push(told);
            }
        }
    }
}

fn parent(path: &str) -> &str {
    match path.rfind('/') {
        Some(0) | None => "/",
        Some(at) => &path[..at],
    }
}

fn answer(head: ReplyHeader, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    head.write(&mut bytes);
    bytes.extend(body);
    bytes
}

/// The session stands: that is what a client hears with each change.
const STANDS: i32 = 3;

fn event(conn: ConnectionId, what: WatchEventKind, path: &str) -> StoreEffect {
    let mut bytes = Vec::new();
    ReplyHeader {
        xid: XID_EVENT,
        zxid: -1,
        error_code: 0,
    }
    .write(&mut bytes);
    WatchEvent {
        kind: what,
        state: STANDS,
        path: path.to_string(),
    }
    .write(&mut bytes);
    StoreEffect::Send(conn, bytes)
}
