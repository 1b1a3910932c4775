//! Bytes read and not yet passed on; bounded.

#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl ReadBuffer {
    /// Two of the longest lines.
    pub const CAPACITY: usize = 8192;

    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    pub fn free_space(&self) -> usize {
        Self::CAPACITY.saturating_sub(self.bytes.len() - self.start)
    }

    pub fn append(&mut self, more: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.bytes.len());
        if self.is_empty() {
            self.bytes.clear();
            self.start = 0;
        }
    }
}
