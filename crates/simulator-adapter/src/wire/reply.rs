//! The header of a reply, which is written last because it counts the records after it.

use super::action::ACTION_SIZE;

/// Bytes of a reply's header.
const REPLY_HEADER_SIZE: usize = 12;

/// Leaves room for the header in an empty reply. The action records are appended after it.
pub(crate) fn reserve_header(reply: &mut Vec<u8>) {
    reply.resize(REPLY_HEADER_SIZE, 0);
}

/// Fills in the header of a reply to the batch `number`.
pub(crate) fn write_header(reply: &mut [u8], number: u32) {
    // Replies have no tail, so the size of what follows the header tells the number of records.
    let size = reply.len() - REPLY_HEADER_SIZE;
    let records = size / ACTION_SIZE;
    reply[0..4].copy_from_slice(&number.to_le_bytes());
    reply[4..8].copy_from_slice(&(records as u32).to_le_bytes());
    reply[8..12].copy_from_slice(&(size as u32).to_le_bytes());
}
