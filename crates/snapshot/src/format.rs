//! The form of a snapshot file: a first line that describes the rest, then JSON.
//!
//! ```text
//! asterramp-state v=1 len=336 crc=0badcafe
//! {"owner":"192.0.2.7:7000","seq":42,...}
//! ```
//!
//! `len` is the length of the JSON in bytes, `crc` its CRC-32 in hexadecimal.

use crate::error::DecodeError;
use crate::model::Snapshot;

/// Version of the form that this build writes, and the only one that it reads.
pub const FORMAT_VERSION: u32 = 1;
/// Longest file that is read, in bytes: three times what a snapshot of 4,096 endpoints takes.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// Most endpoints in a snapshot: the longest list that a proxy accepts from discovery.
pub(crate) const MAX_ENDPOINTS: usize = 4096;

/// Longest first line in bytes, its end included; the longest that is ever written takes 45.
const MAX_FIRST_LINE_LEN: usize = 96;
/// First word of the first line.
const MAGIC: &str = "asterramp-state";
/// Base of the checksum in the first line.
const CHECKSUM_RADIX: u32 = 16;

/// The bytes of a snapshot file.
pub fn encode(snapshot: &Snapshot) -> Vec<u8> {
    // JSON can express every snapshot: its keys are strings, and a number that is not finite becomes null.
    let body = serde_json::to_vec(snapshot).unwrap_or_default();
    let checksum = crc32fast::hash(&body);
    let len = body.len();
    let first_line = format!("{MAGIC} v={FORMAT_VERSION} len={len} crc={checksum:08x}\n");
    let mut bytes = first_line.into_bytes();
    bytes.extend(body);
    bytes
}

/// The snapshot in a file's bytes.
///
/// # Errors
///
/// Any bytes that [`encode`] of this version could not have written are refused.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, DecodeError> {
    if bytes.is_empty() {
        return Err(DecodeError::Empty);
    }
    let (first_line, body) = split_first_line(bytes)?;
    let header = Header::parse(first_line)?;
    if body.len() != header.len {
        return Err(DecodeError::WrongLength {
            actual: body.len(),
            expected: header.len,
        });
    }
    if crc32fast::hash(body) != header.checksum {
        return Err(DecodeError::WrongChecksum);
    }
    let snapshot: Snapshot =
        serde_json::from_slice(body).map_err(|source| DecodeError::InvalidBody { source })?;
    let count = snapshot.endpoints.len();
    if count > MAX_ENDPOINTS {
        return Err(DecodeError::TooManyEndpoints { count });
    }
    Ok(snapshot)
}

/// The first line without its end, and the bytes behind it.
fn split_first_line(bytes: &[u8]) -> Result<(&str, &[u8]), DecodeError> {
    let end = bytes
        .iter()
        .take(MAX_FIRST_LINE_LEN)
        .position(|byte| *byte == b'\n')
        .ok_or(DecodeError::InvalidFirstLine)?;
    let first_line =
        std::str::from_utf8(&bytes[..end]).map_err(|_| DecodeError::InvalidFirstLine)?;
    Ok((first_line, &bytes[end + 1..]))
}

/// What the first line says of the body.
struct Header {
    /// Length in bytes.
    len: usize,
    /// CRC-32.
    checksum: u32,
}

impl Header {
    fn parse(first_line: &str) -> Result<Header, DecodeError> {
        let mut words = first_line.split(' ');
        if words.next() != Some(MAGIC) {
            return Err(DecodeError::InvalidFirstLine);
        }
        let mut value_of = |key: &str| words.next()?.strip_prefix(key);
        let version = value_of("v=")
            .and_then(|text| text.parse::<u32>().ok())
            .ok_or(DecodeError::UnreadableVersion)?;
        check_version(version)?;
        let len = value_of("len=")
            .and_then(|text| text.parse::<usize>().ok())
            .ok_or(DecodeError::UnreadableLength)?;
        let checksum = value_of("crc=")
            .and_then(|text| u32::from_str_radix(text, CHECKSUM_RADIX).ok())
            .ok_or(DecodeError::UnreadableChecksum)?;
        Ok(Header { len, checksum })
    }
}

fn check_version(found: u32) -> Result<(), DecodeError> {
    match found {
        FORMAT_VERSION => Ok(()),
        newer if newer > FORMAT_VERSION => Err(DecodeError::NewerVersion { found }),
        _ => Err(DecodeError::OlderVersion { found }),
    }
}
