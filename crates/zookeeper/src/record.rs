//! The records, both ways: what a client asks, what a store answers, and what it tells unasked.

use crate::jute::{Fault, Reader, Write};

/// Numbers of requests that are no request's own.
pub const XID_EVENT: i32 = -1;
pub const XID_PING: i32 = -2;
pub const XID_AUTH: i32 = -4;
pub const XID_WATCHES: i32 = -8;

/// Any version of a node.
pub const ANY: i32 = -1;

/// The first thing a client says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Connect {
    pub last_zxid: i64,
    /// Milliseconds after which the store ends a session that says nothing.
    pub timeout: i32,
    /// Nought and none for a new session.
    pub session: i64,
    pub password: Vec<u8>,
}

impl Connect {
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(0);
        out.long(self.last_zxid);
        out.int(self.timeout);
        out.long(self.session);
        out.buffer(Some(&self.password));
        out.boolean(false);
    }

    /// Older clients leave the last byte out.
    pub fn read(bytes: &[u8]) -> Result<Connect, Fault> {
        let mut r = Reader::new(bytes);
        r.int()?;
        let (last_zxid, timeout, session) = (r.long()?, r.int()?, r.long()?);
        let password = r.buffer()?.unwrap_or_default().to_vec();
        if r.left() > 0 {
            r.boolean()?;
        }
        r.end()?;
        Ok(Connect {
            last_zxid,
            timeout,
            session,
            password,
        })
    }
}

/// The store's answer to it. A timeout of nought says that the session has lapsed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Connected {
    pub timeout: i32,
    pub session: i64,
    pub password: Vec<u8>,
}

impl Connected {
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(0);
        out.int(self.timeout);
        out.long(self.session);
        out.buffer(Some(&self.password));
        out.boolean(false);
    }

    pub fn read(bytes: &[u8]) -> Result<Connected, Fault> {
        let mut r = Reader::new(bytes);
        r.int()?;
        let (timeout, session) = (r.int()?, r.long()?);
        let password = r.buffer()?.unwrap_or_default().to_vec();
        if r.left() > 0 {
            r.boolean()?;
        }
        r.end()?;
        Ok(Connected {
            timeout,
            session,
            password,
        })
    }
}

/// Who may do what with a node. Only the world with all rights is ever asked for here.
const ALL: i32 = 31;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
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
    Multi(Vec<Request>),
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

fn texts(r: &mut Reader) -> Result<Vec<String>, Fault> {
    r.vector(|r| Ok(r.text()?.to_string()))
}

impl Request {
    fn op(&self) -> i32 {
        match self {
            Request::Create { .. } => op::CREATE,
            Request::Delete { .. } => op::DELETE,
            Request::Exists { .. } => op::EXISTS,
            Request::GetData { .. } => op::GET_DATA,
            Request::SetData { .. } => op::SET_DATA,
            Request::GetChildren { .. } => op::GET_CHILDREN,
            Request::Ping => op::PING,
            Request::Auth { .. } => op::AUTH,
            Request::SetWatches { .. } => op::SET_WATCHES,
            Request::Multi(_) => op::MULTI,
            Request::Close => op::CLOSE,
        }
    }

    pub fn write(&self, xid: i32, out: &mut Vec<u8>) {
        out.int(xid);
        out.int(self.op());
        self.body(out);
    }

    fn body(&self, out: &mut Vec<u8>) {
        match self {
            Request::Create {
                path,
                data,
                ephemeral,
            } => {
                out.text(path);
                out.buffer(Some(data));
                out.vector(&[ALL], |out, rights| {
                    out.int(*rights);
                    out.text("world");
                    out.text("anyone");
                });
                out.int(i32::from(*ephemeral));
            }
            Request::Delete { path, version } => {
                out.text(path);
                out.int(*version);
            }
            Request::Exists { path, watch }
            | Request::GetData { path, watch }
            | Request::GetChildren { path, watch } => {
                out.text(path);
                out.boolean(*watch);
            }
            Request::SetData {
                path,
                data,
                version,
            } => {
                out.text(path);
                out.buffer(Some(data));
                out.int(*version);
            }
            Request::Ping | Request::Close => {}
            Request::Auth { scheme, secret } => {
                out.int(0);
                out.text(scheme);
                out.buffer(Some(secret));
            }
            Request::SetWatches {
                since,
                data,
                exist,
                child,
            } => {
                out.long(*since);
                for paths in [data, exist, child] {
                    out.vector(paths, |out, path| out.text(path));
                }
            }
            Request::Multi(all) => {
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
    pub fn read(bytes: &[u8]) -> Result<(i32, Request), Fault> {
        let mut r = Reader::new(bytes);
        let (xid, op) = (r.int()?, r.int()?);
        let request = if op == op::MULTI {
            Self::read_multi(&mut r)?
        } else {
            Self::read_one(op, &mut r)?
        };
        r.end()?;
        Ok((xid, request))
    }

    fn read_multi(r: &mut Reader) -> Result<Request, Fault> {
        let mut all = Vec::new();
        loop {
            let (op, done, _) = (r.int()?, r.boolean()?, r.int()?);
            match op {
                _ if done => return Ok(Request::Multi(all)),
                op::CREATE | op::DELETE | op::SET_DATA => all.push(Self::read_one(op, r)?),
                other => return Err(Fault::Value(other)),
            }
        }
    }

    fn read_one(op: i32, r: &mut Reader) -> Result<Request, Fault> {
        let path = |r: &mut Reader| Ok::<_, Fault>(r.text()?.to_string());
        let data = |r: &mut Reader| Ok::<_, Fault>(r.buffer()?.unwrap_or_default().to_vec());
        Ok(match op {
            op::CREATE => {
                let (path, data) = (path(r)?, data(r)?);
                r.vector(|r| {
                    r.int()?;
                    r.text()?;
                    r.text().map(drop)
                })?;
                match r.int()? {
                    flags @ (0 | 1) => Request::Create {
                        path,
                        data,
                        ephemeral: flags == 1,
                    },
                    other => return Err(Fault::Value(other)),
                }
            }
            op::DELETE => Request::Delete {
                path: path(r)?,
                version: r.int()?,
            },
            op::EXISTS => Request::Exists {
                path: path(r)?,
                watch: r.boolean()?,
            },
            op::GET_DATA => Request::GetData {
                path: path(r)?,
                watch: r.boolean()?,
            },
            op::SET_DATA => Request::SetData {
                path: path(r)?,
                data: data(r)?,
                version: r.int()?,
            },
            op::GET_CHILDREN => Request::GetChildren {
                path: path(r)?,
                watch: r.boolean()?,
            },
            op::PING => Request::Ping,
            op::CLOSE => Request::Close,
            op::AUTH => {
                r.int()?;
                Request::Auth {
                    scheme: path(r)?,
                    secret: data(r)?,
                }
            }
            op::SET_WATCHES => {
                let (since, data, exist, child) = (r.long()?, texts(r)?, texts(r)?, texts(r)?);
                Request::SetWatches {
                    since,
                    data,
                    exist,
                    child,
                }
            }
            other => return Err(Fault::Value(other)),
        })
    }
}

/// What a store says of itself before each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub xid: i32,
    pub zxid: i64,
    /// Nought, or one of `Refused`.
    pub err: i32,
}

impl Head {
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(self.xid);
        out.long(self.zxid);
        out.int(self.err);
    }

    pub fn read(r: &mut Reader) -> Result<Head, Fault> {
        Ok(Head {
            xid: r.int()?,
            zxid: r.long()?,
            err: r.int()?,
        })
    }
}

/// Why a store did not do what it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
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

const REFUSED: [(i32, Refused); 12] = [
    (-101, Refused::NoNode),
    (-110, Refused::NodeExists),
    (-103, Refused::BadVersion),
    (-111, Refused::NotEmpty),
    (-108, Refused::NoChildrenForEphemerals),
    (-102, Refused::NoAuth),
    (-115, Refused::AuthFailed),
    (-112, Refused::SessionExpired),
    (-118, Refused::SessionMoved),
    (-5, Refused::Marshalling),
    (-6, Refused::Unimplemented),
    (-8, Refused::BadArguments),
];

impl Refused {
    pub fn of(code: i32) -> Option<Refused> {
        let known = REFUSED.iter().find(|r| r.0 == code).map(|r| r.1);
        (code != 0).then(|| known.unwrap_or(Refused::Other(code)))
    }

    pub fn code(self) -> i32 {
        match self {
            Refused::Other(code) => code,
            known => REFUSED.iter().find(|r| r.1 == known).map_or(-1, |r| r.0),
        }
    }
}

/// A node's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stat {
    pub created: i64,
    pub modified: i64,
    pub created_ms: i64,
    pub modified_ms: i64,
    pub version: i32,
    pub child_version: i32,
    pub acl_version: i32,
    /// The session that keeps it; nought if it stays.
    pub owner: i64,
    pub data_length: i32,
    pub children: i32,
    pub child_modified: i64,
}

impl Stat {
    pub fn write(&self, out: &mut Vec<u8>) {
        for long in [
            self.created,
            self.modified,
            self.created_ms,
            self.modified_ms,
        ] {
            out.long(long);
        }
        for int in [self.version, self.child_version, self.acl_version] {
            out.int(int);
        }
        out.long(self.owner);
        out.int(self.data_length);
        out.int(self.children);
        out.long(self.child_modified);
    }

    pub fn read(r: &mut Reader) -> Result<Stat, Fault> {
        Ok(Stat {
            created: r.long()?,
            modified: r.long()?,
            created_ms: r.long()?,
            modified_ms: r.long()?,
            version: r.int()?,
            child_version: r.int()?,
            acl_version: r.int()?,
            owner: r.long()?,
            data_length: r.int()?,
            children: r.int()?,
            child_modified: r.long()?,
        })
    }
}

/// What is told unasked: of a node, or of the session where the path is empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    pub what: Change,
    /// Whether the session stands; -112 says that it has lapsed.
    pub state: i32,
    pub path: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Of the session alone.
    Session,
    Created,
    Deleted,
    Data,
    Children,
}

const CHANGES: [(i32, Change); 5] = [
    (-1, Change::Session),
    (1, Change::Created),
    (2, Change::Deleted),
    (3, Change::Data),
    (4, Change::Children),
];

impl Told {
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(
            CHANGES
                .iter()
                .find(|c| c.1 == self.what)
                .map_or(-1, |c| c.0),
        );
        out.int(self.state);
        out.text(&self.path);
    }

    pub fn read(r: &mut Reader) -> Result<Told, Fault> {
        let (what, state) = (r.int()?, r.int()?);
        let what = CHANGES
            .iter()
            .find(|c| c.0 == what)
            .ok_or(Fault::Value(what))?
            .1;
        Ok(Told {
            what,
            state,
            path: r.text()?.to_string(),
        })
    }
}
