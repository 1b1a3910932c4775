//! Little-endian fields of one record.

use crate::error::RecordError;

/// A server as the protocol names it: four bytes of address and two of port. It goes back unaltered.
pub(crate) type ServerAddress = [u8; 6];

/// The bytes of one record, read at offsets that lie inside it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    /// The fields of the record that `bytes` are.
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Fields(bytes)
    }

    /// `N` bytes as they are; zeros where the record ends before them.
    fn array<const N: usize>(self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        if let Some(from) = self.0.get(at..at + N) {
            bytes.copy_from_slice(from);
        }
        bytes
    }

    /// An unsigned byte.
    pub(crate) fn u8(self, at: usize) -> u8 {
        self.array::<1>(at)[0]
    }

    /// An unsigned number of two bytes.
    pub(crate) fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.array(at))
    }

    /// An unsigned number of four bytes.
    pub(crate) fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.array(at))
    }

    /// An unsigned number of eight bytes.
    pub(crate) fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.array(at))
    }

    /// A floating-point number of four bytes.
    pub(crate) fn f32(self, at: usize) -> f32 {
        f32::from_le_bytes(self.array(at))
    }

    /// A server's address.
    pub(crate) fn address(self, at: usize) -> ServerAddress {
        self.array(at)
    }

    /// The bytes in the batch's tail that the field at `at` refers to by the offset of the first item and the count
    /// of items, each of `item_size` bytes.
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
