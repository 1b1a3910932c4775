//! Records of the handshake that begins a connection.

use crate::jute::{DecodeError, JuteReader, JuteWrite};

/// The only published version of the protocol.
const PROTOCOL_VERSION: i32 = 0;

/// The first record that a client sends over a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectRequest {
    /// The last transaction that the client has seen.
    pub last_zxid: i64,
    /// Requested session timeout: milliseconds after which the store ends a session from which it has received nothing.
    pub timeout_ms: i32,
    /// The session to resume; 0 for a new one.
    pub session_id: i64,
    /// Password of the session to resume; zeros for a new one.
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
        skip_read_only_flag(&mut reader)?;
        reader.finish()?;
        Ok(ConnectRequest {
            last_zxid,
            timeout_ms,
            session_id,
            password,
        })
    }
}

/// The store's response to a [`ConnectRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectResponse {
    /// Granted session timeout: milliseconds after which the store ends a session from which it has received nothing. 0
    /// means that the session to resume has expired.
    pub timeout_ms: i32,
    /// The session that was created or resumed; 0 if it has expired.
    pub session_id: i64,
    /// Password with which the session can be resumed.
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
        skip_read_only_flag(&mut reader)?;
        reader.finish()?;
        Ok(ConnectResponse {
            timeout_ms,
            session_id,
            password,
        })
    }
}

/// Skips the flag for a read-only connection, which older versions of the protocol leave out.
fn skip_read_only_flag(reader: &mut JuteReader<'_>) -> Result<(), DecodeError> {
    if reader.remaining() > 0 {
        reader.boolean()?;
    }
    Ok(())
}
