//! The header of a reply. It is written last, because it contains the number of records after it.

use super::action::ACTION_SIZE;

/// Bytes of a reply's header.
const REPLY_HEADER_SIZE: usize = 12;

/// Reserves space for the header in an empty reply. The action records are appended after it.
pub(crate) fn reserve_header(reply: &mut Vec<u8>) {
    reply.resize(REPLY_HEADER_SIZE, 0);
}

/// Fills in the header of the reply to the batch `batch_number`, once all its records have been appended.
pub(crate) fn write_header(reply: &mut [u8], batch_number: u32) {
    // Replies have no tail: everything after the header is records.
    let size = reply.len() - REPLY_HEADER_SIZE;
    let records = size / ACTION_SIZE;
    reply[0..4].copy_from_slice(&batch_number.to_le_bytes());
    reply[4..8].copy_from_slice(&(records as u32).to_le_bytes());
    reply[8..12].copy_from_slice(&(size as u32).to_le_bytes());
}
