//! The bytes of batches and replies: headers, records, tails.

/// Sizes of a batch's header, an event, an action and a directory entry.
pub const HEAD: usize = 20;
pub const EVENT: usize = 56;
pub const ACTION: usize = 24;
pub const ENTRY: usize = 24;

/// A server as the wire names it.
pub type Address = [u8; 6];

#[derive(Debug)]
pub struct Head {
    pub number: u32,
    pub size: usize,
    pub records: usize,
    pub clock: u64,
}

impl Head {
    pub fn read(bytes: &[u8; HEAD]) -> Result<Head, String> {
        let at = Fields(bytes);
        let head = Head {
            number: at.u32(0),
            size: at.u32(4) as usize,
            records: at.u32(8) as usize,
            clock: at.u64(12),
        };
        if head
            .records
            .checked_mul(EVENT)
            .is_none_or(|all| all > head.size)
        {
            return Err(format!(
                "batch {}: header at byte 8 counts {} records, more than its {} bytes hold",
                head.number, head.records, head.size
            ));
        }
        Ok(head)
    }
}

/// Little-endian fields of one record, read at offsets that lie inside it.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    fn array<const N: usize>(self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        if let Some(from) = self.0.get(at..at + N) {
            bytes.copy_from_slice(from);
        }
        bytes
    }

    pub fn u8(self, at: usize) -> u8 {
        self.array::<1>(at)[0]
    }

    pub fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.array(at))
    }

    pub fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.array(at))
    }

    pub fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.array(at))
    }

    pub fn f32(self, at: usize) -> f32 {
        f32::from_le_bytes(self.array(at))
    }

    pub fn address(self, at: usize) -> Address {
        self.array(at)
    }

    /// What lies in the tail: `count` items of `each` bytes, where the field at `at` says.
    pub fn tail(self, at: usize, each: usize, tail: &'a [u8]) -> Result<&'a [u8], String> {
        let (offset, count) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        let span = count
            .checked_mul(each)
            .and_then(|size| Some(offset..offset.checked_add(size)?));
        span.and_then(|span| tail.get(span)).ok_or_else(|| {
            format!(
                "field at byte {at}: {count} items at offset {offset} pass the tail's {} bytes",
                tail.len()
            )
        })
    }
}

/// One action record under construction.
pub struct Record([u8; ACTION]);

impl Record {
    pub fn new(code: u8, instance: u16) -> Self {
        Record([0; ACTION])
            .put(0, [code])
            .put(1, instance.to_le_bytes())
    }

    pub fn put<const N: usize>(mut self, at: usize, bytes: [u8; N]) -> Self {
        self.0[at..at + N].copy_from_slice(&bytes);
        self
    }

    pub fn append(self, to: &mut Vec<u8>) {
        to.extend_from_slice(&self.0);
    }
}

/// Fills in the header of a reply whose records stand after it.
pub fn seal(reply: &mut [u8], number: u32) {
    let size = reply.len() - REPLY_HEAD;
    reply[0..4].copy_from_slice(&number.to_le_bytes());
    reply[4..8].copy_from_slice(&((size / ACTION) as u32).to_le_bytes());
    reply[8..12].copy_from_slice(&(size as u32).to_le_bytes());
}

pub const REPLY_HEAD: usize = 12;
