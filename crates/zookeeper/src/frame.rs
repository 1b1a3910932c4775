//! Frames: each record is preceded by its length in bytes, a big-endian integer of four bytes.

use crate::jute::DecodeError;

/// Longest record that is accepted, in bytes without the length prefix. A list of some thousand children fits, and it
/// is well above a store's own limit of 1 MiB.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Appends a frame: the length prefix, and the record that `write_record` appends.
pub fn write_frame(out: &mut Vec<u8>, write_record: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; LENGTH_PREFIX_BYTES]);
    write_record(out);
    let length = (out.len() - start - LENGTH_PREFIX_BYTES) as u32;
    out[start..start + LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Splits a byte stream, received in pieces of any size, into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    /// Offset in `bytes` of the first byte that has not been returned yet.
    start: usize,
}

impl FrameReader {
    /// Adds the next bytes of the stream.
    pub fn append(&mut self, more: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// Returns the next frame without its length prefix, or `None` until all of its bytes have been received.
    ///
    /// Fails if the length is negative or above [`MAX_FRAME_BYTES`], as soon as the prefix has been received.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, DecodeError> {
        let Some(prefix) = self.bytes[self.start..].first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = i32::from_be_bytes(*prefix);
        let record_length = usize::try_from(length)
            .ok()
            .filter(|length| *length <= MAX_FRAME_BYTES)
            .ok_or(DecodeError::InvalidLength(length))?;
        let from = self.start + LENGTH_PREFIX_BYTES;
        let to = from + record_length;
        if self.bytes.len() < to {
            return Ok(None);
        }
        self.start = to;
        Ok(Some(&self.bytes[from..to]))
    }

    /// How many received bytes have not been returned as a frame.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() - self.start
    }
}
