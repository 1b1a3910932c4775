//! Jute, ZooKeeper's encoding: integers big-endian, a boolean as one byte, strings and buffers behind their length,
//! vectors behind their count; a length or count of -1 stands for none.
//!
//! Nothing is allocated before its length has been compared with the bytes that are there.

use thiserror::Error;

/// Why bytes from outside can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The record ends too early.
    #[error("the record is cut short")]
    Truncated,
    /// A length or count below -1, or above its bound.
    #[error("a length of {0}")]
    InvalidLength(i32),
    /// A string is not UTF-8.
    #[error("a string that is not text")]
    NotUtf8,
    /// So many bytes follow the record.
    #[error("{0} bytes behind the record")]
    TrailingBytes(usize),
    /// A value that the field can't have.
    #[error("a value of {0}")]
    InvalidValue(i32),
}

/// The length or count that stands for none.
const NONE: i32 = -1;
/// Most entries of a vector, whatever its count says.
pub const MAX_VECTOR_ENTRIES: i32 = 100_000;
/// Fewest bytes that an entry of a vector takes: an empty string's length.
const MIN_ENTRY_LENGTH: usize = 4;

/// Decodes a record from its beginning to its end. Each method fails with [`DecodeError::Truncated`] where the record
/// ends too early.
#[derive(Clone, Copy, Debug)]
pub struct JuteReader<'a> {
    bytes: &'a [u8],
}

impl<'a> JuteReader<'a> {
    /// A reader at a record's beginning.
    pub fn new(bytes: &'a [u8]) -> JuteReader<'a> {
        JuteReader { bytes }
    }

    /// How many bytes are not decoded yet.
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

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (taken, rest) = self
            .bytes
            .split_first_chunk::<N>()
            .ok_or(DecodeError::Truncated)?;
        self.bytes = rest;
        Ok(*taken)
    }

    /// An integer of four bytes.
    pub fn int(&mut self) -> Result<i32, DecodeError> {
        Ok(i32::from_be_bytes(self.array()?))
    }

    /// An integer of eight bytes.
    pub fn long(&mut self) -> Result<i64, DecodeError> {
        Ok(i64::from_be_bytes(self.array()?))
    }

    /// A boolean; fails where the byte is neither 0 nor 1.
    pub fn boolean(&mut self) -> Result<bool, DecodeError> {
        match self.array::<1>()?[0] {
            0 => Ok(false),
            1 => Ok(true),
            other => Err(DecodeError::InvalidValue(i32::from(other))),
        }
    }

    /// A buffer; `None` where its length is -1.
    pub fn buffer(&mut self) -> Result<Option<&'a [u8]>, DecodeError> {
        match self.int()? {
            NONE => Ok(None),
            length if length < 0 => Err(DecodeError::InvalidLength(length)),
            length => self.take(length as usize).map(Some),
        }
    }

    /// A string; none at all counts as empty. Fails where it is not UTF-8.
    pub fn string(&mut self) -> Result<&'a str, DecodeError> {
        let bytes = self.buffer()?.unwrap_or_default();
        std::str::from_utf8(bytes).map_err(|_| DecodeError::NotUtf8)
    }

    /// A vector, each entry of which `entry` decodes; none at all counts as empty. Fails where it has more than
    /// [`MAX_VECTOR_ENTRIES`] entries.
    pub fn vector<T>(
        &mut self,
        entry: impl Fn(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        match self.int()? {
            NONE => Ok(Vec::new()),
            count if !(0..=MAX_VECTOR_ENTRIES).contains(&count) => {
                Err(DecodeError::InvalidLength(count))
            }
            count if count as usize * MIN_ENTRY_LENGTH > self.remaining() => {
                Err(DecodeError::Truncated)
            }
            count => (0..count).map(|_| entry(self)).collect(),
        }
    }

    /// Fails where bytes are left.
    pub fn finish(&self) -> Result<(), DecodeError> {
        if self.bytes.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::TrailingBytes(self.remaining()))
        }
    }
}

/// Encodes values behind those that were encoded before.
pub trait JuteWrite {
    /// An integer of four bytes.
    fn int(&mut self, value: i32);
    /// An integer of eight bytes.
    fn long(&mut self, value: i64);
    /// A boolean.
    fn boolean(&mut self, value: bool);
    /// A buffer, or none.
    fn buffer(&mut self, value: Option<&[u8]>);
    /// A string.
    fn string(&mut self, value: &str);
    /// A vector, each entry of which `entry` encodes.
    fn vector<T>(&mut self, entries: &[T], entry: impl Fn(&mut Self, &T));
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
            None => self.int(NONE),
            Some(bytes) => {
                self.int(bytes.len() as i32);
                self.extend(bytes);
            }
        }
    }

    fn string(&mut self, value: &str) {
        self.buffer(Some(value.as_bytes()));
    }

    fn vector<T>(&mut self, entries: &[T], entry: impl Fn(&mut Self, &T)) {
        self.int(entries.len() as i32);
        for value in entries {
            entry(self, value);
        }
    }
}
