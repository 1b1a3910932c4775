//! Frames: a length of four bytes, big-endian, and so many bytes.

use crate::jute::DecodeError;

/// Longest frame taken: a list of some thousand children, well above a store's own limit of a mebibyte.
pub const MAX_FRAME_LENGTH: usize = 4 << 20;

/// Puts a record's frame into bytes.
pub fn write_frame(out: &mut Vec<u8>, record: impl FnOnce(&mut Vec<u8>)) {
    let at = out.len();
    out.extend([0; 4]);
    record(out);
    let length = (out.len() - at - 4) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

/// Takes frames out of what comes in pieces of any size.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    start: usize,
}

impl FrameReader {
    pub fn append(&mut self, more: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// The next whole frame, without its length. A length beyond the longest is told as soon as it is there, before
    /// any of the frame is waited for.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, DecodeError> {
        let Some(head) = self.bytes[self.start..].first_chunk::<4>() else {
            return Ok(None);
        };
        let length = i32::from_be_bytes(*head);
        let n = usize::try_from(length)
            .ok()
            .filter(|n| *n <= MAX_FRAME_LENGTH)
            .ok_or(DecodeError::InvalidLength(length))?;
        let from = self.start + 4;
        if self.bytes.len() < from + n {
            return Ok(None);
        }
        self.start = from + n;
        Ok(Some(&self.bytes[from..from + n]))
    }

    /// Bytes that are held.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() - self.start
    }
}
