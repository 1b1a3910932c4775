//! The records, both ways: what a client asks, what a store answers, and what it tells unasked.

use crate::jute::{DecodeError, JuteReader, JuteWrite};

/// Numbers of requests that are no request's own.
pub const XID_EVENT: i32 = -1;
pub const XID_PING: i32 = -2;
pub const XID_AUTH: i32 = -4;
pub const XID_SET_WATCHES: i32 = -8;

/// Any version of a node.
pub const ANY_VERSION: i32 = -1;

/// The first thing a client says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectRequest {
    pub last_zxid: i64,
    /// Milliseconds after which the store ends a session that says nothing.
    pub timeout: i32,
    /// Nought and none for a new session.
    pub session: i64,
    pub password: Vec<u8>,
}

impl ConnectRequest {
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(0);
        out.long(self.last_zxid);
        out.int(self.timeout);
        out.long(self.session);
        out.buffer(Some(&self.password));
        out.boolean(false);
    }

    /// Older clients leave the last byte out.
    pub fn read(bytes: &[u8]) -> Result<ConnectRequest, DecodeError> {
        let mut r = JuteReader::new(bytes);
        r.int()?;
        let (last_zxid, timeout, session) = (r.long()?, r.int()?, r.long()?);
        let password = r.buffer()?.unwrap_or_default().to_vec();
        if r.remaining() > 0 {
            r.boolean()?;
        }
        r.finish()?;
        Ok(ConnectRequest {
            last_zxid,
            timeout,
            session,
            password,
        })
    }
}

/// The store's answer to it. A timeout of nought says that the session has lapsed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectResponse {
    pub timeout: i32,
    pub session: i64,
    pub password: Vec<u8>,
}

impl ConnectResponse {
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(0);
        out.int(self.timeout);
        out.long(self.session);
        out.buffer(Some(&self.password));
        out.boolean(false);
    }

    pub fn read(bytes: &[u8]) -> Result<ConnectResponse, DecodeError> {
        let mut r = JuteReader::new(bytes);
        r.int()?;
        let (timeout, session) = (r.int()?, r.long()?);
        let password = r.buffer()?.unwrap_or_default().to_vec();
        if r.remaining() > 0 {
            r.boolean()?;
        }
        r.finish()?;
        Ok(ConnectResponse {
            timeout,
            session,
            password,
        })
    }
}

/// Who may do what with a node. Only the world with all rights is ever asked for here.
const ALL: i32 = 31;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    Create {
        path: String,
        data: Vec<u8>,
        ephemeral: bool,
    },
    Delete {
        path: String,
        version: i32,
    },
    Exists {
        path: String,
        watch: bool,
    },
    GetData {
        path: String,
        watch: bool,
    },
    SetData {
        path: String,
        data: Vec<u8>,
        version: i32,
    },
    /// Children and the node's own figures.
    GetChildren {
        path: String,
        watch: bool,
    },
    Ping,
    /// A name and a password, as `digest` has them.
    Auth {
        scheme: String,
        secret: Vec<u8>,
    },
    /// Watches set before, after a new connection: what changed since is told at once.
    SetWatches {
        since: i64,
        data: Vec<String>,
        exist: Vec<String>,
        child: Vec<String>,
    },
    /// All or none of some creations and deletions.
    Multi(Vec<StoreRequest>),
    Close,
}

/// Numbers of operations, by the published list.
mod op {
    pub const CREATE: i32 = 1;
    pub const DELETE: i32 = 2;
    pub const EXISTS: i32 = 3;
    pub const GET_DATA: i32 = 4;
    pub const SET_DATA: i32 = 5;
    pub const PING: i32 = 11;
    pub const GET_CHILDREN: i32 = 12;
    pub const MULTI: i32 = 14;
    pub const AUTH: i32 = 100;
    pub const SET_WATCHES: i32 = 101;
    pub const CLOSE: i32 = -11;
}

fn texts(r: &mut JuteReader) -> Result<Vec<String>, DecodeError> {
    r.vector(|r| Ok(r.string()?.to_string()))
}

impl StoreRequest {
    fn op(&self) -> i32 {
        match self {
            StoreRequest::Create { .. } => op::CREATE,
            StoreRequest::Delete { .. } => op::DELETE,
            StoreRequest::Exists { .. } => op::EXISTS,
            StoreRequest::GetData { .. } => op::GET_DATA,
            StoreRequest::SetData { .. } => op::SET_DATA,
            StoreRequest::GetChildren { .. } => op::GET_CHILDREN,
            StoreRequest::Ping => op::PING,
            StoreRequest::Auth { .. } => op::AUTH,
            StoreRequest::SetWatches { .. } => op::SET_WATCHES,
            StoreRequest::Multi(_) => op::MULTI,
            StoreRequest::Close => op::CLOSE,
        }
    }

    pub fn write(&self, xid: i32, out: &mut Vec<u8>) {
        out.int(xid);
        out.int(self.op());
        self.body(out);
    }

    fn body(&self, out: &mut Vec<u8>) {
        match self {
            StoreRequest::Create {
                path,
                data,
                ephemeral,
            } => {
                out.string(path);
                out.buffer(Some(data));
                out.vector(&[ALL], |out, rights| {
                    out.int(*rights);
                    out.string("world");
                    out.string("anyone");
                });
                out.int(i32::from(*ephemeral));
            }
            StoreRequest::Delete { path, version } => {
                out.string(path);
                out.int(*version);
            }
            StoreRequest::Exists { path, watch }
            | StoreRequest::GetData { path, watch }
            | StoreRequest::GetChildren { path, watch } => {
                out.string(path);
                out.boolean(*watch);
            }
            StoreRequest::SetData {
                path,
                data,
                version,
            } => {
                out.string(path);
                out.buffer(Some(data));
                out.int(*version);
            }
            StoreRequest::Ping | StoreRequest::Close => {}
            StoreRequest::Auth { scheme, secret } => {
                out.int(0);
                out.string(scheme);
                out.buffer(Some(secret));
            }
            StoreRequest::SetWatches {
                since,
                data,
                exist,
                child,
            } => {
                out.long(*since);
                for paths in [data, exist, child] {
                    out.vector(paths, |out, path| out.string(path));
                }
            }
            StoreRequest::Multi(all) => {
                for request in all {
                    out.int(request.op());
                    out.boolean(false);
                    out.int(-1);
                    request.body(out);
                }
                out.int(-1);
                out.boolean(true);
                out.int(-1);
            }
        }
    }

    /// A request and its number.
    pub fn read(bytes: &[u8]) -> Result<(i32, StoreRequest), DecodeError> {
        let mut r = JuteReader::new(bytes);
        let (xid, op) = (r.int()?, r.int()?);
        let request = if op == op::MULTI {
            Self::read_multi(&mut r)?
        } else {
            Self::read_one(op, &mut r)?
        };
        r.finish()?;
        Ok((xid, request))
    }

    fn read_multi(r: &mut JuteReader) -> Result<StoreRequest, DecodeError> {
        let mut all = Vec::new();
        loop {
            let (op, done, _) = (r.int()?, r.boolean()?, r.int()?);
            match op {
                _ if done => return Ok(StoreRequest::Multi(all)),
                op::CREATE | op::DELETE | op::SET_DATA => all.push(Self::read_one(op, r)?),
                other => return Err(DecodeError::InvalidValue(other)),
            }
        }
    }

    fn read_one(op: i32, r: &mut JuteReader) -> Result<StoreRequest, DecodeError> {
        let path = |r: &mut JuteReader| Ok::<_, DecodeError>(r.string()?.to_string());
        let data =
            |r: &mut JuteReader| Ok::<_, DecodeError>(r.buffer()?.unwrap_or_default().to_vec());
        Ok(match op {
            op::CREATE => {
                let (path, data) = (path(r)?, data(r)?);
                r.vector(|r| {
                    r.int()?;
                    r.string()?;
                    r.string().map(drop)
                })?;
                match r.int()? {
                    flags @ (0 | 1) => StoreRequest::Create {
                        path,
                        data,
                        ephemeral: flags == 1,
                    },
                    other => return Err(DecodeError::InvalidValue(other)),
                }
            }
            op::DELETE => StoreRequest::Delete {
                path: path(r)?,
                version: r.int()?,
            },
            op::EXISTS => StoreRequest::Exists {
                path: path(r)?,
                watch: r.boolean()?,
            },
            op::GET_DATA => StoreRequest::GetData {
                path: path(r)?,
                watch: r.boolean()?,
            },
            op::SET_DATA => StoreRequest::SetData {
                path: path(r)?,
                data: data(r)?,
                version: r.int()?,
            },
            op::GET_CHILDREN => StoreRequest::GetChildren {
                path: path(r)?,
                watch: r.boolean()?,
            },
            op::PING => StoreRequest::Ping,
            op::CLOSE => StoreRequest::Close,
            op::AUTH => {
                r.int()?;
                StoreRequest::Auth {
                    scheme: path(r)?,
                    secret: data(r)?,
                }
            }
            op::SET_WATCHES => {
                let (since, data, exist, child) = (r.long()?, texts(r)?, texts(r)?, texts(r)?);
                StoreRequest::SetWatches {
                    since,
                    data,
                    exist,
                    child,
                }
            }
            other => return Err(DecodeError::InvalidValue(other)),
        })
    }
}

/// What a store says of itself before each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHeader {
    pub xid: i32,
    pub zxid: i64,
    /// Nought, or one of `Refused`.
    pub error_code: i32,
}

impl ReplyHeader {
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(self.xid);
        out.long(self.zxid);
        out.int(self.error_code);
    }

    pub fn read(r: &mut JuteReader) -> Result<ReplyHeader, DecodeError> {
        Ok(ReplyHeader {
            xid: r.int()?,
            zxid: r.long()?,
            error_code: r.int()?,
        })
    }
}

/// Why a store did not do what it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    NoNode,
    NodeExists,
    BadVersion,
    NotEmpty,
    NoChildrenForEphemerals,
    NoAuth,
    AuthFailed,
    SessionExpired,
    SessionMoved,
    Marshalling,
    Unimplemented,
    BadArguments,
    Other(i32),
}

const REFUSED: [(i32, StoreError); 12] = [
    (-101, StoreError::NoNode),
    (-110, StoreError::NodeExists),
    (-103, StoreError::BadVersion),
    (-111, StoreError::NotEmpty),
    (-108, StoreError::NoChildrenForEphemerals),
    (-102, StoreError::NoAuth),
    (-115, StoreError::AuthFailed),
    (-112, StoreError::SessionExpired),
    (-118, StoreError::SessionMoved),
    (-5, StoreError::Marshalling),
    (-6, StoreError::Unimplemented),
    (-8, StoreError::BadArguments),
];

impl StoreError {
    pub fn from_code(code: i32) -> Option<StoreError> {
        let known = REFUSED.iter().find(|r| r.0 == code).map(|r| r.1);
        (code != 0).then(|| known.unwrap_or(StoreError::Other(code)))
    }

    pub fn code(self) -> i32 {
        match self {
            StoreError::Other(code) => code,
            known => REFUSED.iter().find(|r| r.1 == known).map_or(-1, |r| r.0),
        }
    }
}

/// A node's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStat {
    pub created_zxid: i64,
    pub modified_zxid: i64,
    pub created_ms: i64,
    pub modified_ms: i64,
    pub version: i32,
    pub child_version: i32,
    pub acl_version: i32,
    /// The session that keeps it; nought if it stays.
    pub ephemeral_owner: i64,
    pub data_length: i32,
    pub child_count: i32,
    pub child_modified_zxid: i64,
}

impl NodeStat {
    pub fn write(&self, out: &mut Vec<u8>) {
        for long in [
            self.created_zxid,
            self.modified_zxid,
            self.created_ms,
            self.modified_ms,
        ] {
            out.long(long);
        }
        for int in [self.version, self.child_version, self.acl_version] {
            out.int(int);
        }
        out.long(self.ephemeral_owner);
        out.int(self.data_length);
        out.int(self.child_count);
        out.long(self.child_modified_zxid);
    }

    pub fn read(r: &mut JuteReader) -> Result<NodeStat, DecodeError> {
        Ok(NodeStat {
            created_zxid: r.long()?,
            modified_zxid: r.long()?,
            created_ms: r.long()?,
            modified_ms: r.long()?,
            version: r.int()?,
            child_version: r.int()?,
            acl_version: r.int()?,
            ephemeral_owner: r.long()?,
            data_length: r.int()?,
            child_count: r.int()?,
            child_modified_zxid: r.long()?,
        })
    }
}

/// What is told unasked: of a node, or of the session where the path is empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    pub kind: WatchEventKind,
    /// Whether the session stands; -112 says that it has lapsed.
    pub state: i32,
    pub path: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEventKind {
    /// Of the session alone.
    Session,
    Created,
    Deleted,
    Data,
    Children,
}

const CHANGES: [(i32, WatchEventKind); 5] = [
    (-1, WatchEventKind::Session),
    (1, WatchEventKind::Created),
    (2, WatchEventKind::Deleted),
    (3, WatchEventKind::Data),
    (4, WatchEventKind::Children),
];

impl WatchEvent {
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(
            CHANGES
                .iter()
                .find(|c| c.1 == self.kind)
                .map_or(-1, |c| c.0),
        );
        out.int(self.state);
        out.string(&self.path);
    }

    pub fn read(r: &mut JuteReader) -> Result<WatchEvent, DecodeError> {
        let (what, state) = (r.int()?, r.int()?);
        let what = CHANGES
            .iter()
            .find(|c| c.0 == what)
            .ok_or(DecodeError::InvalidValue(what))?
            .1;
        Ok(WatchEvent {
            kind: what,
            state,
            path: r.string()?.to_string(),
        })
    }
}
