//! Jute, ZooKeeper's encoding: integers are big-endian, a boolean is one byte, strings and buffers are preceded by
//! their length and vectors by their entry count; a length or count of -1 means that the value is absent.
//!
//! Lengths and counts are checked against the bytes that are left before anything is allocated for them.

use thiserror::Error;

/// Why received bytes can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The record ends too early.
    #[error("record truncated")]
    Truncated,
    /// A length or count below -1, or above its bound.
    #[error("invalid length or count {0}")]
    InvalidLength(i32),
    /// A string is not UTF-8.
    #[error("string is not valid UTF-8")]
    NotUtf8,
    /// This number of bytes follows the end of the record.
    #[error("{0} trailing bytes after the record")]
    TrailingBytes(usize),
    /// The field can't have this value.
    #[error("invalid value {0}")]
    InvalidValue(i32),
}

/// The length or count of an absent value.
const ABSENT_LENGTH: i32 = -1;
/// Most entries of a vector that are accepted; a greater count is rejected.
pub const MAX_VECTOR_ENTRIES: i32 = 100_000;
/// Fewest bytes that an encoded entry of a vector takes: the length of an empty string.
const MIN_VECTOR_ENTRY_BYTES: usize = 4;

/// Decodes the values of a record in order. Each method fails with [`DecodeError::Truncated`] if the record ends too
/// early.
#[derive(Clone, Copy, Debug)]
pub struct JuteReader<'a> {
    bytes: &'a [u8],
}

impl<'a> JuteReader<'a> {
    /// Creates a reader at the beginning of a record.
    pub fn new(bytes: &'a [u8]) -> JuteReader<'a> {
        JuteReader { bytes }
    }

    /// How many bytes have not been decoded yet.
    pub fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (taken, rest) = self
            .bytes
            .split_at_checked(count)
            .ok_or(DecodeError::Truncated)?;
        self.bytes = rest;
        Ok(taken)
    }

    fn take_array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (taken, rest) = self
            .bytes
            .split_first_chunk::<N>()
            .ok_or(DecodeError::Truncated)?;
        self.bytes = rest;
        Ok(*taken)
    }

    /// Decodes an integer of four bytes.
    pub fn int(&mut self) -> Result<i32, DecodeError> {
        Ok(i32::from_be_bytes(self.take_array()?))
    }

    /// Decodes an integer of eight bytes.
    pub fn long(&mut self) -> Result<i64, DecodeError> {
        Ok(i64::from_be_bytes(self.take_array()?))
    }

    /// Decodes a boolean; fails if the byte is neither 0 nor 1.
    pub fn boolean(&mut self) -> Result<bool, DecodeError> {
        match self.take_array::<1>()?[0] {
            0 => Ok(false),
            1 => Ok(true),
            other => Err(DecodeError::InvalidValue(i32::from(other))),
        }
    }

    /// Decodes a buffer; `None` if its length is -1.
    pub fn buffer(&mut self) -> Result<Option<&'a [u8]>, DecodeError> {
        match self.int()? {
            ABSENT_LENGTH => Ok(None),
            length if length < 0 => Err(DecodeError::InvalidLength(length)),
            length => self.take(length as usize).map(Some),
        }
    }

    /// Decodes a string; an absent one is returned as empty. Fails if it is not UTF-8.
    pub fn string(&mut self) -> Result<&'a str, DecodeError> {
        let bytes = self.buffer()?.unwrap_or_default();
        std::str::from_utf8(bytes).map_err(|_| DecodeError::NotUtf8)
    }

    /// Decodes a vector, calling `read_entry` for each entry; an absent one is returned as empty. Fails if it has more
    /// than [`MAX_VECTOR_ENTRIES`] entries.
    pub fn vector<T>(
        &mut self,
        read_entry: impl Fn(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        match self.int()? {
            ABSENT_LENGTH => Ok(Vec::new()),
            count if !(0..=MAX_VECTOR_ENTRIES).contains(&count) => {
                Err(DecodeError::InvalidLength(count))
            }
            count if count as usize * MIN_VECTOR_ENTRY_BYTES > self.remaining() => {
                Err(DecodeError::Truncated)
            }
            count => (0..count).map(|_| read_entry(self)).collect(),
        }
    }

    /// Checks the end of the record: fails with [`DecodeError::TrailingBytes`] if bytes are left.
    pub fn finish(&self) -> Result<(), DecodeError> {
        if self.bytes.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::TrailingBytes(self.remaining()))
        }
    }
}

/// Appends encoded values to a record.
pub trait JuteWrite {
    /// Appends an integer of four bytes.
    fn int(&mut self, value: i32);
    /// Appends an integer of eight bytes.
    fn long(&mut self, value: i64);
    /// Appends a boolean.
    fn boolean(&mut self, value: bool);
    /// Appends a buffer, which is absent if `value` is `None`.
    fn buffer(&mut self, value: Option<&[u8]>);
    /// Appends a string.
    fn string(&mut self, value: &str);
    /// Appends a vector, calling `write_entry` for each entry.
    fn vector<T>(&mut self, entries: &[T], write_entry: impl Fn(&mut Self, &T));
}

impl JuteWrite for Vec<u8> {
    fn int(&mut self, value: i32) {
        self.extend(value.to_be_bytes());
    }

    fn long(&mut self, value: i64) {
        self.extend(value.to_be_bytes());
    }

    fn boolean(&mut self, value: bool) {
        self.push(u8::from(value));
    }

    fn buffer(&mut self, value: Option<&[u8]>) {
        match value {
            None => self.int(ABSENT_LENGTH),
            Some(bytes) => {
                self.int(bytes.len() as i32);
                self.extend(bytes);
            }
        }
    }

    fn string(&mut self, value: &str) {
        self.buffer(Some(value.as_bytes()));
    }

    fn vector<T>(&mut self, entries: &[T], write_entry: impl Fn(&mut Self, &T)) {
        self.int(entries.len() as i32);
        for value in entries {
            write_entry(self, value);
        }
    }
}
