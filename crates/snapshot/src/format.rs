//! Format of a snapshot file: a first line with version, length and checksum, then the body in JSON.
//!
//! ```text
//! asterramp-state v=1 len=336 crc=0badcafe
//! {"owner":"192.0.2.7:7000","seq":42,...}
//! ```
//!
//! `v` is [`FORMAT_VERSION`], `len` the length of the body in bytes, `crc` its CRC-32 in hexadecimal.

use crate::error::DecodeError;
use crate::model::Snapshot;

/// Version of the format that this build writes, and the only one that it reads.
pub const FORMAT_VERSION: u32 = 1;
/// Longest snapshot file that is written or read, in bytes: three times the length with 4,096 endpoints.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// Most endpoints in a snapshot that is read: the longest list that a proxy accepts from discovery.
pub(crate) const MAX_ENDPOINTS: usize = 4096;

/// Longest first line that is read, in bytes with its line feed. The longest that is written takes 45 bytes.
const MAX_FIRST_LINE_BYTES: usize = 96;
/// First word of the first line, which identifies the file type.
const MAGIC: &str = "asterramp-state";
/// Radix of the checksum in the first line.
const CHECKSUM_RADIX: u32 = 16;

/// Encodes a snapshot into the bytes of a file.
pub fn encode(snapshot: &Snapshot) -> Vec<u8> {
    // Serialization cannot fail: all keys are strings, and a number that is not finite becomes null.
    let body = serde_json::to_vec(snapshot).unwrap_or_default();
    let checksum = crc32fast::hash(&body);
    let len = body.len();
    let first_line = format!("{MAGIC} v={FORMAT_VERSION} len={len} crc={checksum:08x}\n");
    let mut bytes = first_line.into_bytes();
    bytes.extend(body);
    bytes
}

/// Decodes the bytes of a file.
///
/// # Errors
///
/// A [`DecodeError`] if the first line, the length, the checksum or the fields are not those of a snapshot of
/// [`FORMAT_VERSION`], or it lists more than 4,096 endpoints.
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

/// The first line without its line feed, and the body.
fn split_first_line(bytes: &[u8]) -> Result<(&str, &[u8]), DecodeError> {
    let line_end = bytes
        .iter()
        .take(MAX_FIRST_LINE_BYTES)
        .position(|byte| *byte == b'\n')
        .ok_or(DecodeError::InvalidFirstLine)?;
    let first_line =
        std::str::from_utf8(&bytes[..line_end]).map_err(|_| DecodeError::InvalidFirstLine)?;
    Ok((first_line, &bytes[line_end + 1..]))
}

/// Length and checksum of the body according to the first line.
struct Header {
    /// Length of the body in bytes.
    len: usize,
    /// CRC-32 of the body.
    checksum: u32,
}

impl Header {
    fn parse(first_line: &str) -> Result<Header, DecodeError> {
        let mut words = first_line.split(' ');
        if words.next() != Some(MAGIC) {
            return Err(DecodeError::InvalidFirstLine);
        }
        let mut next_value = |key: &str| words.next()?.strip_prefix(key);
        let version = next_value("v=")
            .and_then(|text| text.parse::<u32>().ok())
            .ok_or(DecodeError::UnreadableVersion)?;
        check_version(version)?;
        let len = next_value("len=")
            .and_then(|text| text.parse::<usize>().ok())
            .ok_or(DecodeError::UnreadableLength)?;
        let checksum = next_value("crc=")
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
