//! The buffer of bytes that were read from a connection and not consumed yet.

/// Bytes read from a connection and not yet forwarded or parsed, oldest first.
///
/// [`append`](ReadBuffer::append) does not enforce the capacity: the caller reads at most
/// [`free_space`](ReadBuffer::free_space) bytes.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// Index of the first unconsumed byte. The consumed bytes before it are removed by the next append.
    start: usize,
}

impl ReadBuffer {
    /// Most unconsumed bytes: two lines of the maximum length, so that a complete line always fits behind the rest of
    /// another.
    pub const CAPACITY: usize = 8192;

    /// The unconsumed bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Whether everything has been consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// How many more bytes fit before the buffer is full.
    pub fn free_space(&self) -> usize {
        Self::CAPACITY.saturating_sub(self.bytes.len() - self.start)
    }

    /// Adds bytes behind the unconsumed ones.
    pub fn append(&mut self, new_bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(new_bytes);
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
