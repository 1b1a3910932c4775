//! Frames: a record behind its length, which is four bytes, big-endian.

use crate::jute::DecodeError;

/// Longest frame that is accepted, in bytes: a list of some thousand children, well above a store's own limit of a
/// mebibyte.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes of a frame's length.
const PREFIX_LENGTH: usize = 4;

/// Appends the frame of the record that `record` appends.
pub fn write_frame(out: &mut Vec<u8>, record: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; PREFIX_LENGTH]);
    record(out);
    let length = (out.len() - start - PREFIX_LENGTH) as u32;
    out[start..start + PREFIX_LENGTH].copy_from_slice(&length.to_be_bytes());
}

/// Cuts a stream that comes in pieces of any size into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    /// Where the bytes begin that were not returned yet.
    start: usize,
}

impl FrameReader {
    /// Adds bytes of the stream.
    pub fn append(&mut self, more: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// The next complete frame without its length.
    ///
    /// Fails where its length is negative or above [`MAX_FRAME_BYTES`], as soon as the length is there.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, DecodeError> {
        let Some(prefix) = self.bytes[self.start..].first_chunk::<PREFIX_LENGTH>() else {
            return Ok(None);
        };
        let length = i32::from_be_bytes(*prefix);
        let record_length = usize::try_from(length)
            .ok()
            .filter(|length| *length <= MAX_FRAME_BYTES)
            .ok_or(DecodeError::InvalidLength(length))?;
        let from = self.start + PREFIX_LENGTH;
        let to = from + record_length;
        if self.bytes.len() < to {
            return Ok(None);
        }
        self.start = to;
        Ok(Some(&self.bytes[from..to]))
    }

    /// How many bytes wait for the rest of their frame.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() - self.start
    }
}
