//! What a store replies, and the watch events that it sends unasked.

use crate::jute::{DecodeError, JuteReader, JuteWrite};
use thiserror::Error;

/// The beginning of each reply and each watch event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHeader {
    /// The request's number, or one of the `XID_` constants.
    pub xid: i32,
    /// The store's last transaction.
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

/// Why a store did not do what was requested. Log lines show the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{self:?}")]
pub enum StoreError {
    /// The node doesn't exist.
    NoNode,
    /// The node exists already.
    NodeExists,
    /// The node has another version.
    BadVersion,
    /// The node has children.
    NotEmpty,
    /// An ephemeral node can't have children.
    NoChildrenForEphemerals,
    /// The session may not do that.
    NoAuth,
    /// The authentication failed.
    AuthFailed,
    /// The session has expired.
    SessionExpired,
    /// The session goes on at another connection.
    SessionMoved,
    /// The store can't decode the request.
    Marshalling,
    /// The store doesn't have the operation.
    Unimplemented,
    /// The request's arguments make no sense.
    BadArguments,
    /// Another code.
    Other(i32),
}

/// The published codes of errors.
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
/// The code of an error that has none.
const UNKNOWN_ERROR_CODE: i32 = -1;

impl StoreError {
    /// The error of a code; `None` for 0, which is success.
    pub fn from_code(code: i32) -> Option<StoreError> {
        if code == 0 {
            return None;
        }
        let known = ERROR_CODES.iter().find(|(known, _)| *known == code);
        Some(known.map_or(StoreError::Other(code), |(_, error)| *error))
    }

    /// The error's code.
    pub fn code(self) -> i32 {
        if let StoreError::Other(code) = self {
            return code;
        }
        let known = ERROR_CODES.iter().find(|(_, error)| *error == self);
        known.map_or(UNKNOWN_ERROR_CODE, |(code, _)| *code)
    }
}

/// A node's metadata. Transactions are numbered by `zxid`; times are Unix times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStat {
    /// The transaction that created the node.
    pub created_zxid: i64,
    /// The transaction that last changed its data.
    pub modified_zxid: i64,
    /// When it was created, in milliseconds.
    pub created_ms: i64,
    /// When its data was last changed, in milliseconds.
    pub modified_ms: i64,
    /// How often its data was changed.
    pub version: i32,
    /// How often its children were changed.
    pub child_version: i32,
    /// How often its rights were changed.
    pub acl_version: i32,
    /// The session that an ephemeral node belongs to; 0 for one that stays.
    pub ephemeral_owner: i64,
    /// Bytes of its data.
    pub data_length: i32,
    /// How many children it has.
    pub child_count: i32,
    /// The transaction that last changed its children.
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

/// A notification that was not requested: of a node, or of the session where the path is empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// What happened.
    pub kind: WatchEventKind,
    /// Whether the session stands: 3, or -112 where it has expired.
    pub state: i32,
    /// The node's path.
    pub path: String,
}

/// What a watch event is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEventKind {
    /// The session alone.
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
    /// The published code.
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
