//! The store's replies, and the watch events that it sends without a request.

use crate::jute::{DecodeError, JuteReader, JuteWrite};
use thiserror::Error;

/// Header of each reply and each watch event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHeader {
    /// Number of the request, or one of the `XID_` constants.
    pub xid: i32,
    /// The store's last transaction; -1 in a watch event.
    pub zxid: i64,
    /// 0, or the code of a [`StoreError`].
    pub error_code: i32,
}

impl ReplyHeader {
    /// Appends the header.
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(self.xid);
        out.long(self.zxid);
        out.int(self.error_code);
    }

    /// Decodes the header.
    pub fn read(reader: &mut JuteReader<'_>) -> Result<ReplyHeader, DecodeError> {
        Ok(ReplyHeader {
            xid: reader.int()?,
            zxid: reader.long()?,
            error_code: reader.int()?,
        })
    }
}

/// Why a store did not perform a request. Log lines show the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{self:?}")]
pub enum StoreError {
    /// The node doesn't exist.
    NoNode,
    /// The node exists already.
    NodeExists,
    /// The node's version is not the expected one.
    BadVersion,
    /// The node has children.
    NotEmpty,
    /// An ephemeral node can't have children.
    NoChildrenForEphemerals,
    /// The session lacks the permission for the request.
    NoAuth,
    /// The authentication failed.
    AuthFailed,
    /// The session has expired.
    SessionExpired,
    /// The session was resumed over another connection.
    SessionMoved,
    /// The store can't decode the request.
    Marshalling,
    /// The store doesn't support the operation.
    Unimplemented,
    /// The request's arguments are invalid.
    BadArguments,
    /// An error code that this library has no variant for.
    Other(i32),
}

/// The published error codes.
const ERROR_CODES: [(i32, StoreError); 12] = [
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
/// The code for an error that is missing from [`ERROR_CODES`]; the published code of a general system error.
const UNKNOWN_ERROR_CODE: i32 = -1;

impl StoreError {
    /// The error with this code; `None` for 0, which means success.
    pub fn from_code(code: i32) -> Option<StoreError> {
        if code == 0 {
            return None;
        }
        let known = ERROR_CODES.iter().find(|(known, _)| *known == code);
        Some(known.map_or(StoreError::Other(code), |(_, error)| *error))
    }

    /// The published code of the error.
    pub fn code(self) -> i32 {
        if let StoreError::Other(code) = self {
            return code;
        }
        let known = ERROR_CODES.iter().find(|(_, error)| *error == self);
        known.map_or(UNKNOWN_ERROR_CODE, |(code, _)| *code)
    }
}

/// A node's metadata. Transactions are given by their number (zxid), times as Unix time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStat {
    /// The transaction that created the node (published as `czxid`).
    pub created_zxid: i64,
    /// The transaction that last changed the node's data (`mzxid`).
    pub modified_zxid: i64,
    /// When the node was created (`ctime`).
    pub created_ms: i64,
    /// When the node's data was last changed (`mtime`).
    pub modified_ms: i64,
    /// How often the node's data was changed.
    pub version: i32,
    /// How often children of the node were created or deleted (`cversion`).
    pub child_version: i32,
    /// How often the node's access control list was changed (`aversion`).
    pub acl_version: i32,
    /// The session that an ephemeral node belongs to; 0 for a persistent node.
    pub ephemeral_owner: i64,
    /// Length of the node's data in bytes.
    pub data_length: i32,
    /// How many children the node has.
    pub child_count: i32,
    /// The transaction that last created or deleted a child of the node (`pzxid`).
    pub child_modified_zxid: i64,
}

impl NodeStat {
    /// Appends the record.
    pub fn write(&self, out: &mut Vec<u8>) {
        out.long(self.created_zxid);
        out.long(self.modified_zxid);
        out.long(self.created_ms);
        out.long(self.modified_ms);
        out.int(self.version);
        out.int(self.child_version);
        out.int(self.acl_version);
        out.long(self.ephemeral_owner);
        out.int(self.data_length);
        out.int(self.child_count);
        out.long(self.child_modified_zxid);
    }

    /// Decodes the record.
    pub fn read(reader: &mut JuteReader<'_>) -> Result<NodeStat, DecodeError> {
        Ok(NodeStat {
            created_zxid: reader.long()?,
            modified_zxid: reader.long()?,
            created_ms: reader.long()?,
            modified_ms: reader.long()?,
            version: reader.int()?,
            child_version: reader.int()?,
            acl_version: reader.int()?,
            ephemeral_owner: reader.long()?,
            data_length: reader.int()?,
            child_count: reader.int()?,
            child_modified_zxid: reader.long()?,
        })
    }
}

/// A notification about a watched node, or about the session if the path is empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// What happened.
    pub kind: WatchEventKind,
    /// The session's state: 3 if it is connected, -112 if it has expired.
    pub state: i32,
    /// Path of the node; empty for an event of the session.
    pub path: String,
}

/// What a watch event reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEventKind {
    /// The state of the session has changed.
    Session,
    /// The node was created.
    Created,
    /// The node was deleted.
    Deleted,
    /// The node's data was changed.
    Data,
    /// The node's children were changed.
    Children,
}

impl WatchEventKind {
    /// The published code of the kind.
    fn code(self) -> i32 {
        match self {
            WatchEventKind::Session => -1,
            WatchEventKind::Created => 1,
            WatchEventKind::Deleted => 2,
            WatchEventKind::Data => 3,
            WatchEventKind::Children => 4,
        }
    }

    fn from_code(code: i32) -> Option<WatchEventKind> {
        let kinds = [
            WatchEventKind::Session,
            WatchEventKind::Created,
            WatchEventKind::Deleted,
            WatchEventKind::Data,
            WatchEventKind::Children,
        ];
        kinds.into_iter().find(|kind| kind.code() == code)
    }
}

impl WatchEvent {
    /// Appends the record.
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(self.kind.code());
        out.int(self.state);
        out.string(&self.path);
    }

    /// Decodes the record.
    pub fn read(reader: &mut JuteReader<'_>) -> Result<WatchEvent, DecodeError> {
        let code = reader.int()?;
        let state = reader.int()?;
        Ok(WatchEvent {
            kind: WatchEventKind::from_code(code).ok_or(DecodeError::InvalidValue(code))?,
            state,
            path: reader.string()?.to_string(),
        })
    }
}
