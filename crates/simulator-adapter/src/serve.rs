//! The main loop: reads a batch, handles it and writes the reply.

use crate::error::{AdapterError, BatchError};
use crate::instance_table::InstanceTable;
use crate::wire::{BATCH_HEADER_SIZE, BatchHeader};
use std::io::{self, Read, Write};

/// Most bytes that are allocated for a batch's body before any of it has been received. A larger body still fits: the
/// buffer then grows as bytes arrive. Limits the memory that a header with a wrong size can claim.
const MAX_BODY_PREALLOCATION: usize = 1 << 20;

/// Answers batches until the input ends. The output is flushed after each reply.
///
/// # Errors
///
/// Input that can't be read or is malformed, and output that can't be written.
pub(crate) fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut instances = InstanceTable::default();
    let mut body = Vec::new();
    let mut reply = Vec::new();
    while let Some(header) = read_header(&mut input)? {
        let number = header.batch_number;
        let in_batch = |source| AdapterError::Batch { number, source };
        header.validate().map_err(in_batch)?;
        let received = read_body(&mut input, header.body_size, &mut body)?;
        if received < header.body_size {
            return Err(in_batch(BatchError::TruncatedBody {
                received,
                size: header.body_size,
            }));
        }
        reply.clear();
        instances
            .handle_batch(&header, &body, &mut reply)
            .map_err(in_batch)?;
        output.write_all(&reply).map_err(AdapterError::Write)?;
        output.flush().map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// Reads the next batch's header; `None` if the input has ended.
fn read_header(input: &mut impl Read) -> Result<Option<BatchHeader>, AdapterError> {
    let mut bytes = [0; BATCH_HEADER_SIZE];
    let received = read_up_to(input, &mut bytes)?;
    if received == 0 {
        return Ok(None);
    }
    if received < BATCH_HEADER_SIZE {
        return Err(AdapterError::TruncatedHeader {
            received,
            size: BATCH_HEADER_SIZE,
        });
    }
    Ok(Some(BatchHeader::decode(&bytes)))
}

/// Replaces `body` by the next `size` bytes of the input. Returns the number of bytes read, which is less than `size`
/// if the input ends before.
fn read_body(
    input: &mut impl Read,
    size: usize,
    body: &mut Vec<u8>,
) -> Result<usize, AdapterError> {
    body.clear();
    body.reserve(size.min(MAX_BODY_PREALLOCATION));
    input
        .take(size as u64)
        .read_to_end(body)
        .map_err(AdapterError::Read)
}

/// Fills `buffer` from the input. Returns the number of bytes read, which is less than its size if the input ends
/// before.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, AdapterError> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..]) {
            Ok(0) => break,
            Ok(count) => received += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::Read(error)),
        }
    }
    Ok(received)
}
