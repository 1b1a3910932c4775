//! A bounded buffer for bytes that were read and not yet consumed.

/// Bytes read from a connection and not yet forwarded or parsed, oldest first.
///
/// The buffer doesn't enforce its capacity: whoever reads asks [`free_space`](ReadBuffer::free_space) first.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// Where the unconsumed bytes begin; those before are dropped with the next append.
    start: usize,
}

impl ReadBuffer {
    /// Most bytes that may wait: two lines of the greatest length, so that a whole line always fits beside the rest
    /// of another.
    pub const CAPACITY: usize = 8192;

    /// The unconsumed bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Whether everything has been consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// How many more bytes may be appended.
    pub fn free_space(&self) -> usize {
        Self::CAPACITY.saturating_sub(self.bytes.len() - self.start)
    }

    /// Adds bytes behind those that wait.
    pub fn append(&mut self, more: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// Removes the oldest `count` bytes, or all of them if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        if self.is_empty() {
            self.bytes.clear();
            self.start = 0;
        }
    }
}
