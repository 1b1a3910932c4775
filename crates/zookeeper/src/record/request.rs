//! The client's requests.

use crate::jute::{DecodeError, JuteReader, JuteWrite};

/// Permission bits for all operations on a node. Nodes are always created with all permissions for everybody.
const ALL_PERMISSIONS: i32 = 31;
/// Flags of a created node that the store deletes when its session ends; 0 is a persistent node.
const EPHEMERAL_FLAG: i32 = 1;
/// Value of the unused fields in the header of a part of a [`StoreRequest::Multi`].
const UNUSED_FIELD: i32 = -1;

/// A request that a client sends to a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Creates a node.
    Create {
        /// The node's path.
        path: String,
        /// The node's data.
        data: Vec<u8>,
        /// Whether the store deletes the node when the session ends.
        ephemeral: bool,
    },
    /// Deletes a node.
    Delete {
        /// The node's path.
        path: String,
        /// The version that the node must have, or [`ANY_VERSION`](super::ANY_VERSION).
        version: i32,
    },
    /// Reads a node's metadata.
    Exists {
        /// The node's path.
        path: String,
        /// Whether to watch the node for its next change, or for its creation if it is missing.
        watch: bool,
    },
    /// Reads a node's data and metadata.
    GetData {
        /// The node's path.
        path: String,
        /// Whether to watch the node for its next change.
        watch: bool,
    },
    /// Replaces a node's data.
    SetData {
        /// The node's path.
        path: String,
        /// The new data.
        data: Vec<u8>,
        /// The version that the node must have, or [`ANY_VERSION`](super::ANY_VERSION).
        version: i32,
    },
    /// Reads the names of a node's children and the node's metadata.
    GetChildren {
        /// The node's path.
        path: String,
        /// Whether to watch for the next creation or deletion of a child.
        watch: bool,
    },
    /// Keeps the session alive.
    Ping,
    /// Authenticates the session.
    Auth {
        /// The authentication scheme, such as `digest`.
        scheme: String,
        /// The credentials; for `digest`, a name and a password separated by a colon.
        secret: Vec<u8>,
    },
    /// Sets the watches of a previous connection again; for changes since, the store sends watch events at once.
    SetWatches {
        /// The last transaction that the client has seen.
        since: i64,
        /// Paths watched for changes of their data.
        data: Vec<String>,
        /// Paths watched for their creation.
        exist: Vec<String>,
        /// Paths watched for changes of their children.
        child: Vec<String>,
    },
    /// Performs all of these creations, deletions and replacements of data, or none of them.
    Multi(Vec<StoreRequest>),
    /// Ends the session.
    Close,
}

/// The published operation codes.
mod operation {
    pub(super) const CREATE: i32 = 1;
    pub(super) const DELETE: i32 = 2;
    pub(super) const EXISTS: i32 = 3;
    pub(super) const GET_DATA: i32 = 4;
    pub(super) const SET_DATA: i32 = 5;
    pub(super) const PING: i32 = 11;
    pub(super) const GET_CHILDREN: i32 = 12;
    pub(super) const MULTI: i32 = 14;
    pub(super) const AUTH: i32 = 100;
    pub(super) const SET_WATCHES: i32 = 101;
    pub(super) const CLOSE: i32 = -11;
}

impl StoreRequest {
    /// The published code of the operation.
    fn operation(&self) -> i32 {
        match self {
            StoreRequest::Create { .. } => operation::CREATE,
            StoreRequest::Delete { .. } => operation::DELETE,
            StoreRequest::Exists { .. } => operation::EXISTS,
            StoreRequest::GetData { .. } => operation::GET_DATA,
            StoreRequest::SetData { .. } => operation::SET_DATA,
            StoreRequest::GetChildren { .. } => operation::GET_CHILDREN,
            StoreRequest::Ping => operation::PING,
            StoreRequest::Auth { .. } => operation::AUTH,
            StoreRequest::SetWatches { .. } => operation::SET_WATCHES,
            StoreRequest::Multi(_) => operation::MULTI,
            StoreRequest::Close => operation::CLOSE,
        }
    }

    /// Appends the record with the request's number.
    pub fn write(&self, xid: i32, out: &mut Vec<u8>) {
        out.int(xid);
        out.int(self.operation());
        self.write_body(out);
    }

    fn write_body(&self, out: &mut Vec<u8>) {
        match self {
            StoreRequest::Create {
                path,
                data,
                ephemeral,
            } => write_create(path, data, *ephemeral, out),
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
            StoreRequest::Multi(parts) => write_multi(parts, out),
        }
    }

    /// Decodes a request and its number; fails with [`DecodeError::InvalidValue`] for an operation that is not
    /// supported.
    pub fn read(bytes: &[u8]) -> Result<(i32, StoreRequest), DecodeError> {
        let mut reader = JuteReader::new(bytes);
        let xid = reader.int()?;
        let operation = reader.int()?;
        let request = if operation == operation::MULTI {
            read_multi(&mut reader)?
        } else {
            read_body(operation, &mut reader)?
        };
        reader.finish()?;
        Ok((xid, request))
    }
}

fn write_create(path: &str, data: &[u8], ephemeral: bool, out: &mut Vec<u8>) {
    out.string(path);
    out.buffer(Some(data));
    out.vector(&[ALL_PERMISSIONS], |out, permissions| {
        out.int(*permissions);
        out.string("world");
        out.string("anyone");
    });
    out.int(if ephemeral { EPHEMERAL_FLAG } else { 0 });
}

fn write_multi(parts: &[StoreRequest], out: &mut Vec<u8>) {
    for part in parts {
        out.int(part.operation());
        out.boolean(false);
        out.int(UNUSED_FIELD);
        part.write_body(out);
    }
    out.int(UNUSED_FIELD);
    out.boolean(true);
    out.int(UNUSED_FIELD);
}

fn read_multi(reader: &mut JuteReader<'_>) -> Result<StoreRequest, DecodeError> {
    let mut parts = Vec::new();
    loop {
        let operation = reader.int()?;
        let is_end = reader.boolean()?;
        reader.int()?;
        if is_end {
            return Ok(StoreRequest::Multi(parts));
        }
        match operation {
            operation::CREATE | operation::DELETE | operation::SET_DATA => {
                parts.push(read_body(operation, reader)?);
            }
            other => return Err(DecodeError::InvalidValue(other)),
        }
    }
}

fn read_body(operation: i32, reader: &mut JuteReader<'_>) -> Result<StoreRequest, DecodeError> {
    Ok(match operation {
        operation::CREATE => return read_create(reader),
        operation::DELETE => StoreRequest::Delete {
            path: read_string(reader)?,
            version: reader.int()?,
        },
        operation::EXISTS => StoreRequest::Exists {
            path: read_string(reader)?,
            watch: reader.boolean()?,
        },
        operation::GET_DATA => StoreRequest::GetData {
            path: read_string(reader)?,
            watch: reader.boolean()?,
        },
        operation::SET_DATA => StoreRequest::SetData {
            path: read_string(reader)?,
            data: read_data(reader)?,
            version: reader.int()?,
        },
        operation::GET_CHILDREN => StoreRequest::GetChildren {
            path: read_string(reader)?,
            watch: reader.boolean()?,
        },
        operation::PING => StoreRequest::Ping,
        operation::CLOSE => StoreRequest::Close,
        operation::AUTH => {
            reader.int()?;
            StoreRequest::Auth {
                scheme: read_string(reader)?,
                secret: read_data(reader)?,
            }
        }
        operation::SET_WATCHES => StoreRequest::SetWatches {
            since: reader.long()?,
            data: reader.vector(read_string)?,
            exist: reader.vector(read_string)?,
            child: reader.vector(read_string)?,
        },
        other => return Err(DecodeError::InvalidValue(other)),
    })
}

fn read_create(reader: &mut JuteReader<'_>) -> Result<StoreRequest, DecodeError> {
    let path = read_string(reader)?;
    let data = read_data(reader)?;
    // The access control list is not kept: each entry has permission bits, a scheme and a name.
    reader.vector(|reader| {
        reader.int()?;
        reader.string()?;
        reader.string().map(drop)
    })?;
    match reader.int()? {
        flags @ (0 | EPHEMERAL_FLAG) => Ok(StoreRequest::Create {
            path,
            data,
            ephemeral: flags == EPHEMERAL_FLAG,
        }),
        other => Err(DecodeError::InvalidValue(other)),
    }
}

fn read_string(reader: &mut JuteReader<'_>) -> Result<String, DecodeError> {
    Ok(reader.string()?.to_string())
}

fn read_data(reader: &mut JuteReader<'_>) -> Result<Vec<u8>, DecodeError> {
    Ok(reader.buffer()?.unwrap_or_default().to_vec())
}
