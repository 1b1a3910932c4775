//! The handshake of a connection.

use crate::jute::{DecodeError, JuteReader, JuteWrite};

/// The only version of the protocol.
const PROTOCOL_VERSION: i32 = 0;

/// The first record that a client sends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectRequest {
    /// The last transaction that the client has seen.
    pub last_zxid: i64,
    /// Milliseconds after which the store shall end a session that sends nothing.
    pub timeout_ms: i32,
    /// The session that the client goes on with; 0 for a new one.
    pub session_id: i64,
    /// That session's password; zeros for a new one.
    pub password: Vec<u8>,
}

impl ConnectRequest {
    /// Appends the record.
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(PROTOCOL_VERSION);
        out.long(self.last_zxid);
        out.int(self.timeout_ms);
        out.long(self.session_id);
        out.buffer(Some(&self.password));
        out.boolean(false);
    }

    /// Decodes the record.
    pub fn read(bytes: &[u8]) -> Result<ConnectRequest, DecodeError> {
        let mut reader = JuteReader::new(bytes);
        reader.int()?;
        let last_zxid = reader.long()?;
        let timeout_ms = reader.int()?;
        let session_id = reader.long()?;
        let password = reader.buffer()?.unwrap_or_default().to_vec();
        read_read_only(&mut reader)?;
        reader.finish()?;
        Ok(ConnectRequest {
            last_zxid,
            timeout_ms,
            session_id,
            password,
        })
    }
}

/// The store's answer to a [`ConnectRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectResponse {
    /// Milliseconds after which the store ends a session that sends nothing; 0 says that the session has expired.
    pub timeout_ms: i32,
    /// The session.
    pub session_id: i64,
    /// Its password.
    pub password: Vec<u8>,
}

impl ConnectResponse {
    /// Appends the record.
    pub fn write(&self, out: &mut Vec<u8>) {
        out.int(PROTOCOL_VERSION);
        out.int(self.timeout_ms);
        out.long(self.session_id);
        out.buffer(Some(&self.password));
        out.boolean(false);
    }

    /// Decodes the record.
    pub fn read(bytes: &[u8]) -> Result<ConnectResponse, DecodeError> {
        let mut reader = JuteReader::new(bytes);
        reader.int()?;
        let timeout_ms = reader.int()?;
        let session_id = reader.long()?;
        let password = reader.buffer()?.unwrap_or_default().to_vec();
        read_read_only(&mut reader)?;
        reader.finish()?;
        Ok(ConnectResponse {
            timeout_ms,
            session_id,
            password,
        })
    }
}

/// Whether the connection is read-only, which older versions leave out.
fn read_read_only(reader: &mut JuteReader<'_>) -> Result<(), DecodeError> {
    if reader.remaining() > 0 {
        reader.boolean()?;
    }
    Ok(())
}
