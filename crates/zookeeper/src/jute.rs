//! Jute: whole numbers big-endian, a boolean as a byte, strings and buffers with a length before them, where -1 is
//! none, vectors with a count. Nothing is taken in before its length is held against what is there.

use std::fmt;

/// What is wrong with bytes from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The record ends before it is whole.
    Truncated,
    /// A length or count below -1, or above its bound.
    InvalidLength(i32),
    NotUtf8,
    /// Bytes are left behind the record.
    TrailingBytes(usize),
    /// A value that the field cannot have.
    InvalidValue(i32),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DecodeError::Truncated => f.write_str("the record is cut short"),
            DecodeError::InvalidLength(n) => write!(f, "a length of {n}"),
            DecodeError::NotUtf8 => f.write_str("a string that is not text"),
            DecodeError::TrailingBytes(n) => write!(f, "{n} bytes behind the record"),
            DecodeError::InvalidValue(n) => write!(f, "a value of {n}"),
        }
    }
}

/// Most entries of a vector, whatever its count says.
pub const MAX_VECTOR_LENGTH: i32 = 100_000;

#[derive(Clone, Copy, Debug)]
pub struct JuteReader<'a> {
    bytes: &'a [u8],
}

impl<'a> JuteReader<'a> {
    pub fn new(bytes: &'a [u8]) -> JuteReader<'a> {
        JuteReader { bytes }
    }

    pub fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8], DecodeError> {
        let (taken, rest) = self
            .bytes
            .split_at_checked(n)
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

    pub fn int(&mut self) -> Result<i32, DecodeError> {
        Ok(i32::from_be_bytes(self.array()?))
    }

    pub fn long(&mut self) -> Result<i64, DecodeError> {
        Ok(i64::from_be_bytes(self.array()?))
    }

    pub fn boolean(&mut self) -> Result<bool, DecodeError> {
        match self.array::<1>()?[0] {
            0 => Ok(false),
            1 => Ok(true),
            n => Err(DecodeError::InvalidValue(i32::from(n))),
        }
    }

    /// `None` where the length is -1.
    pub fn buffer(&mut self) -> Result<Option<&'a [u8]>, DecodeError> {
        match self.int()? {
            -1 => Ok(None),
            n if n < 0 => Err(DecodeError::InvalidLength(n)),
            n if n as usize > self.remaining() => Err(DecodeError::Truncated),
            n => self.take(n as usize).map(Some),
        }
    }

    pub fn string(&mut self) -> Result<&'a str, DecodeError> {
        let bytes = self.buffer()?.unwrap_or_default();
        std::str::from_utf8(bytes).map_err(|_| DecodeError::NotUtf8)
    }

    /// A vector, each entry read by `one`; none at all counts as empty.
    pub fn vector<T>(
        &mut self,
        one: impl Fn(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        match self.int()? {
            -1 => Ok(Vec::new()),
            n if !(0..=MAX_VECTOR_LENGTH).contains(&n) => Err(DecodeError::InvalidLength(n)),
            // No entry takes less than four bytes.
            n if n as usize * 4 > self.remaining() => Err(DecodeError::Truncated),
            n => (0..n).map(|_| one(self)).collect(),
        }
    }

    /// Nothing may be left.
    pub fn finish(&self) -> Result<(), DecodeError> {
        if self.bytes.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::TrailingBytes(self.remaining()))
        }
    }
}

/// What is written, appended to bytes.
pub trait JuteWrite {
    fn int(&mut self, value: i32);
    fn long(&mut self, value: i64);
    fn boolean(&mut self, value: bool);
    fn buffer(&mut self, value: Option<&[u8]>);
    fn string(&mut self, value: &str);
    fn vector<T>(&mut self, all: &[T], one: impl Fn(&mut Self, &T));
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
            None => self.int(-1),
            Some(bytes) => {
                self.int(bytes.len() as i32);
                self.extend(bytes);
            }
        }
    }

    fn string(&mut self, value: &str) {
        self.buffer(Some(value.as_bytes()));
    }

    fn vector<T>(&mut self, all: &[T], one: impl Fn(&mut Self, &T)) {
        self.int(all.len() as i32);
        all.iter().for_each(|entry| one(self, entry));
    }
}
