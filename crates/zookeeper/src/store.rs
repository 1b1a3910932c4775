//! A stand-in store without I/O: a tree of nodes, sessions that lapse, watches that fire once and in order. Enough of
//! the published behaviour for clients to be tested against, and no more; nothing is kept on disk.

use crate::jute::{Fault, Write};
use crate::record::{
    ANY, Change, Connect, Connected, Head, Refused, Request, Stat, Told, XID_AUTH, XID_EVENT,
    XID_PING,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A connection, by the number its driver gave it.
pub type Conn = u64;

/// What a store wants done: frames written, without their length, and connections closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send(Conn, Vec<u8>),
    Close(Conn),
}

#[derive(Clone, Debug, Default)]
struct Node {
    data: Vec<u8>,
    stat: Stat,
}

#[derive(Clone, Debug)]
struct Keeper {
    password: Vec<u8>,
    timeout: Duration,
    heard: Duration,
    conn: Option<Conn>,
    nodes: BTreeSet<String>,
}

/// The kinds of watches: of a node's data or being, and of its children.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Node,
    Children,
}

#[derive(Debug)]
pub struct Store {
    nodes: BTreeMap<String, Node>,
    sessions: BTreeMap<i64, Keeper>,
    conns: BTreeMap<Conn, i64>,
    watches: BTreeSet<(String, Kind, Conn)>,
    zxid: i64,
    next: i64,
    /// Bounds of what a client may ask for as its timeout.
    least: Duration,
    most: Duration,
    /// Requests taken, for measurements.
    pub asked: u64,
}

/// Most nodes, and bytes of one.
const NODES: usize = 50_000;
const DATA: usize = 1 << 20;

impl Store {
    pub fn new(least: Duration, most: Duration) -> Store {
        let root = BTreeMap::from([("/".to_string(), Node::default())]);
        Store {
            nodes: root,
            sessions: BTreeMap::new(),
            conns: BTreeMap::new(),
            watches: BTreeSet::new(),
            zxid: 0,
            next: 1,
            least,
            most,
            asked: 0,
        }
    }

    pub fn sessions(&self) -> impl Iterator<Item = i64> {
        self.sessions.keys().copied()
    }

    pub fn nodes(&self) -> usize {
        self.nodes.len() - 1
    }

    /// When the next session lapses, if nothing is heard.
    pub fn due(&self) -> Option<Duration> {
        self.sessions.values().map(|s| s.heard + s.timeout).min()
    }

    /// Ends sessions that said nothing for too long.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let lapsed = |s: &Keeper| now >= s.heard + s.timeout;
        let over: Vec<i64> = self
            .sessions
            .iter()
            .filter(|(_, s)| lapsed(s))
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().for_each(|id| self.end(id, out));
    }

    /// Ends a session: its nodes vanish, its connection is closed.
    pub fn end(&mut self, id: i64, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        for path in session.nodes {
            self.remove(&path, out);
        }
        if let Some(conn) = session.conn {
            self.gone(conn);
            out.push(Effect::Close(conn));
        }
    }

    /// A connection is gone; its session stays until it lapses.
    pub fn gone(&mut self, conn: Conn) {
        self.watches.retain(|watch| watch.2 != conn);
        if let Some(id) = self.conns.remove(&conn)
            && let Some(session) = self.sessions.get_mut(&id)
        {
            session.conn = session.conn.filter(|own| *own != conn);
        }
    }

    /// A whole frame of a connection. A fault says that it cannot be read; the connection is then to be closed.
    pub fn frame(
        &mut self,
        now: Duration,
        conn: Conn,
        frame: &[u8],
        out: &mut Vec<Effect>,
    ) -> Result<(), Fault> {
        self.asked += 1;
        let Some(id) = self.conns.get(&conn).copied() else {
            return self.connect(now, conn, frame, out);
        };
        let (xid, request) = Request::read(frame)?;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.heard = now;
        }
        if request == Request::Close {
            let zxid = self.zxid;
            out.push(Effect::Send(conn, answer(Head { xid, zxid, err: 0 }, &[])));
            self.end(id, out);
            return Ok(());
        }
        let mut body = Vec::new();
        // Watches fire before the answer to what made them fire: nobody hears of his own change too early.
        let mut fired = Vec::new();
        let done = self.obey(now, id, conn, &request, &mut body, &mut fired);
        let err = done.err().map_or(0, Refused::code);
        let xid = match request {
            Request::Ping => XID_PING,
            Request::Auth { .. } => XID_AUTH,
            _ => xid,
        };
        out.append(&mut fired);
        let body = if err == 0 { body.as_slice() } else { &[] };
        out.push(Effect::Send(
            conn,
            answer(
                Head {
                    xid,
                    zxid: self.zxid,
                    err,
                },
                body,
            ),
        ));
        Ok(())
    }

    fn connect(
        &mut self,
        now: Duration,
        conn: Conn,
        frame: &[u8],
        out: &mut Vec<Effect>,
    ) -> Result<(), Fault> {
        let asked = Connect::read(frame)?;
        let known = self
            .sessions
            .get(&asked.session)
            .filter(|s| s.password == asked.password);
        let (id, connected) = match (asked.session, known) {
            (0, _) => {
                let id = self.next;
                self.next += 1;
                let asked = Duration::from_millis(u64::try_from(asked.timeout).unwrap_or(0));
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
            Connected::default().write(&mut bytes);
            out.extend([Effect::Send(conn, bytes), Effect::Close(conn)]);
            return Ok(());
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        session.heard = now;
        let before = session.conn.replace(conn);
        let timeout = session.timeout.as_millis() as i32;
        Connected {
            timeout,
            session: id,
            password: session.password.clone(),
        }
        .write(&mut bytes);
        if let Some(before) = before.filter(|before| *before != conn) {
            self.watches.retain(|watch| watch.2 != before);
            self.conns.remove(&before);
            out.push(Effect::Close(before));
        }
        self.conns.insert(conn, id);
        out.push(Effect::Send(conn, bytes));
        Ok(())
    }

    fn obey(
        &mut self,
        now: Duration,
        id: i64,
        conn: Conn,
        request: &Request,
        body: &mut Vec<u8>,
        fired: &mut Vec<Effect>,
    ) -> Result<(), Refused> {
        match request {
            Request::Create {
                path,
                data,
                ephemeral,
            } => {
                self.create(now, id, path, data, *ephemeral, fired)?;
                body.text(path);
            }
            Request::Delete { path, version } => self.delete(path, *version, fired)?,
            Request::SetData {
                path,
                data,
                version,
            } => {
                self.set(now, path, data, *version, fired)?;
                self.nodes[path.as_str()].stat.write(body);
            }
            Request::Exists { path, watch } => {
                let found = self.nodes.get(path).map(|node| node.stat);
                // Of a node that is not there its coming is watched for.
                self.keep(path, Kind::Node, conn, *watch);
                found.ok_or(Refused::NoNode)?.write(body);
            }
            Request::GetData { path, watch } => {
                let node = self.nodes.get(path).ok_or(Refused::NoNode)?;
                body.buffer(Some(&node.data));
                node.stat.write(body);
                self.keep(path, Kind::Node, conn, *watch);
            }
            Request::GetChildren { path, watch } => {
                let stat = self.nodes.get(path).ok_or(Refused::NoNode)?.stat;
                let children: Vec<&str> = self.children(path).collect();
                body.vector(&children, |out, name| out.text(name));
                stat.write(body);
                self.keep(path, Kind::Children, conn, *watch);
            }
            Request::SetWatches {
                since,
                data,
                exist,
                child,
            } => {
                self.again(conn, *since, data, exist, child, fired);
            }
            Request::Multi(all) => self.multi(now, id, all, fired)?,
            Request::Ping | Request::Auth { .. } | Request::Close => {}
        }
        Ok(())
    }

    fn keep(&mut self, path: &str, kind: Kind, conn: Conn, watch: bool) {
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
        fired: &mut Vec<Effect>,
    ) -> Result<(), Refused> {
        let name = path.rsplit('/').next().unwrap_or_default();
        let plain = path.starts_with('/')
            && !name.is_empty()
            && !path.contains("//")
            && !path.contains('\0');
        if !plain || data.len() > DATA || self.nodes.len() > NODES {
            return Err(Refused::BadArguments);
        }
        let parent = parent(path);
        let above = self.nodes.get(parent).ok_or(Refused::NoNode)?;
        if above.stat.owner != 0 {
            return Err(Refused::NoChildrenForEphemerals);
        }
        if self.nodes.contains_key(path) {
            return Err(Refused::NodeExists);
        }
        self.zxid += 1;
        let (zxid, at) = (self.zxid, now.as_millis() as i64);
        let owner = if ephemeral { id } else { 0 };
        let stat = Stat {
            created: zxid,
            modified: zxid,
            child_modified: zxid,
            created_ms: at,
            modified_ms: at,
            owner,
            data_length: data.len() as i32,
            ..Stat::default()
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
        self.fire(path, Kind::Node, Change::Created, fired);
        self.fire(parent, Kind::Children, Change::Children, fired);
        Ok(())
    }

    fn count(&mut self, parent: &str, by: i32) {
        let zxid = self.zxid;
        if let Some(node) = self.nodes.get_mut(parent) {
            node.stat.children += by;
            node.stat.child_version += 1;
            node.stat.child_modified = zxid;
        }
    }

    fn delete(&mut self, path: &str, version: i32, fired: &mut Vec<Effect>) -> Result<(), Refused> {
        let node = self
            .nodes
            .get(path)
            .filter(|_| path != "/")
            .ok_or(Refused::NoNode)?;
        if version != ANY && version != node.stat.version {
            return Err(Refused::BadVersion);
        }
        if node.stat.children > 0 {
            return Err(Refused::NotEmpty);
        }
        let owner = node.stat.owner;
        if let Some(session) = self.sessions.get_mut(&owner) {
            session.nodes.remove(path);
        }
        self.remove(path, fired);
        Ok(())
    }

    fn remove(&mut self, path: &str, fired: &mut Vec<Effect>) {
        if self.nodes.remove(path).is_none() {
            return;
        }
        self.zxid += 1;
        self.count(parent(path), -1);
        self.fire(path, Kind::Node, Change::Deleted, fired);
        self.fire(path, Kind::Children, Change::Deleted, fired);
        self.fire(parent(path), Kind::Children, Change::Children, fired);
    }

    fn set(
        &mut self,
        now: Duration,
        path: &str,
        data: &[u8],
        version: i32,
        fired: &mut Vec<Effect>,
    ) -> Result<(), Refused> {
        let node = self.nodes.get_mut(path).ok_or(Refused::NoNode)?;
        if version != ANY && version != node.stat.version {
            return Err(Refused::BadVersion);
        }
        if data.len() > DATA {
            return Err(Refused::BadArguments);
        }
        self.zxid += 1;
        node.data = data.to_vec();
        node.stat.version += 1;
        (node.stat.modified, node.stat.modified_ms) = (self.zxid, now.as_millis() as i64);
        node.stat.data_length = data.len() as i32;
        self.fire(path, Kind::Node, Change::Data, fired);
        Ok(())
    }

    /// All or none: what was done is taken back where a later part is refused.
    fn multi(
        &mut self,
        now: Duration,
        id: i64,
        all: &[Request],
        out: &mut Vec<Effect>,
    ) -> Result<(), Refused> {
        let before = (
            self.nodes.clone(),
            self.sessions.clone(),
            self.watches.clone(),
            self.zxid,
        );
        let mut fired = Vec::new();
        for request in all {
            let done = match request {
                Request::Create {
                    path,
                    data,
                    ephemeral,
                } => self.create(now, id, path, data, *ephemeral, &mut fired),
                Request::Delete { path, version } => self.delete(path, *version, &mut fired),
                Request::SetData {
                    path,
                    data,
                    version,
                } => self.set(now, path, data, *version, &mut fired),
                _ => Err(Refused::BadArguments),
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
        conn: Conn,
        since: i64,
        data: &[String],
        exist: &[String],
        child: &[String],
        fired: &mut Vec<Effect>,
    ) {
        let mut tell = |what, path: &str| fired.push(event(conn, what, path));
        let mut keep = Vec::new();
        for path in data {
            match self.nodes.get(path) {
                None => tell(Change::Deleted, path),
                Some(node) if node.stat.modified > since => tell(Change::Data, path),
                Some(_) => keep.push((path.clone(), Kind::Node, conn)),
            }
        }
        for path in exist {
            match self.nodes.get(path) {
                Some(_) => tell(Change::Created, path),
                None => keep.push((path.clone(), Kind::Node, conn)),
            }
        }
        for path in child {
            match self.nodes.get(path) {
                None => tell(Change::Deleted, path),
                Some(node) if node.stat.child_modified > since => tell(Change::Children, path),
                Some(_) => keep.push((path.clone(), Kind::Children, conn)),
            }
        }
        self.watches.extend(keep);
    }

    /// Each watch fires once.
    fn fire(&mut self, path: &str, kind: Kind, what: Change, fired: &mut Vec<Effect>) {
        let from = (path.to_string(), kind, 0);
        let to = (path.to_string(), kind, Conn::MAX);
        let those: Vec<(String, Kind, Conn)> = self.watches.range(from..=to).cloned().collect();
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

fn answer(head: Head, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    head.write(&mut bytes);
    bytes.extend(body);
    bytes
}

/// The session stands: that is what a client hears with each change.
const STANDS: i32 = 3;

fn event(conn: Conn, what: Change, path: &str) -> Effect {
    let mut bytes = Vec::new();
    Head {
        xid: XID_EVENT,
        zxid: -1,
        err: 0,
    }
    .write(&mut bytes);
    Told {
        what,
        state: STANDS,
        path: path.to_string(),
    }
    .write(&mut bytes);
    Effect::Send(conn, bytes)
}
