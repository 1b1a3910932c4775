//! Access to the little-endian fields of one record.

use crate::error::RecordError;

/// A server's identifier in the protocol: four bytes of IP address and two of port. Replies repeat it unchanged.
pub(crate) type ServerAddress = [u8; 6];

/// The bytes of one record. A field that doesn't lie wholly inside it reads as zero.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    /// The fields of the record `bytes`.
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Fields(bytes)
    }

    /// The `N` bytes at the offset `at`; all zeros if the record ends before the last of them.
    fn array<const N: usize>(self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        if let Some(from) = self.0.get(at..at + N) {
            bytes.copy_from_slice(from);
        }
        bytes
    }

    pub(crate) fn u8(self, at: usize) -> u8 {
        self.array::<1>(at)[0]
    }

    pub(crate) fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.array(at))
    }

    pub(crate) fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.array(at))
    }

    pub(crate) fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.array(at))
    }

    pub(crate) fn f32(self, at: usize) -> f32 {
        f32::from_le_bytes(self.array(at))
    }

    pub(crate) fn address(self, at: usize) -> ServerAddress {
        self.array(at)
    }

    /// The bytes in the batch's tail that the field at the offset `at` refers to. The field contains the offset of the
    /// first item in the tail and the count of items, each of `item_size` bytes.
    ///
    /// # Errors
    ///
    /// Items that aren't all inside the tail.
    pub(crate) fn tail_items(
        self,
        at: usize,
        item_size: usize,
        tail: &'a [u8],
    ) -> Result<&'a [u8], RecordError> {
        let offset = self.u32(at) as usize;
        let count = self.u32(at + 4) as usize;
        count
            .checked_mul(item_size)
            .and_then(|size| offset.checked_add(size))
            .and_then(|end| tail.get(offset..end))
            .ok_or(RecordError::OutsideTail {
                at,
                count,
                offset,
                tail_size: tail.len(),
            })
    }
}
