//! Jute: whole numbers big-endian, a boolean as a byte, strings and buffers with a length before them, where -1 is
//! none, vectors with a count. Nothing is taken in before its length is held against what is there.

use std::fmt;

/// What is wrong with bytes from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The record ends before it is whole.
    Short,
    /// A length or count below -1, or above its bound.
    Length(i32),
    NotText,
    /// Bytes are left behind the record.
    Left(usize),
    /// A value that the field cannot have.
    Value(i32),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Short => f.write_str("the record is cut short"),
            Fault::Length(n) => write!(f, "a length of {n}"),
            Fault::NotText => f.write_str("a string that is not text"),
            Fault::Left(n) => write!(f, "{n} bytes behind the record"),
            Fault::Value(n) => write!(f, "a value of {n}"),
        }
    }
}

/// Most entries of a vector, whatever its count says.
pub const MOST: i32 = 100_000;

#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes }
    }

    pub fn left(&self) -> usize {
        self.bytes.len()
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8], Fault> {
        let (taken, rest) = self.bytes.split_at_checked(n).ok_or(Fault::Short)?;
        self.bytes = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Fault> {
        let (taken, rest) = self.bytes.split_first_chunk::<N>().ok_or(Fault::Short)?;
        self.bytes = rest;
        Ok(*taken)
    }

    pub fn int(&mut self) -> Result<i32, Fault> {
        Ok(i32::from_be_bytes(self.array()?))
    }

    pub fn long(&mut self) -> Result<i64, Fault> {
        Ok(i64::from_be_bytes(self.array()?))
    }

    pub fn boolean(&mut self) -> Result<bool, Fault> {
        match self.array::<1>()?[0] {
            0 => Ok(false),
            1 => Ok(true),
            n => Err(Fault::Value(i32::from(n))),
        }
    }

    /// `None` where the length is -1.
    pub fn buffer(&mut self) -> Result<Option<&'a [u8]>, Fault> {
        match self.int()? {
            -1 => Ok(None),
            n if n < 0 => Err(Fault::Length(n)),
            n if n as usize > self.left() => Err(Fault::Short),
            n => self.take(n as usize).map(Some),
        }
    }

    pub fn text(&mut self) -> Result<&'a str, Fault> {
        let bytes = self.buffer()?.unwrap_or_default();
        std::str::from_utf8(bytes).map_err(|_| Fault::NotText)
    }

    /// A vector, each entry read by `one`; none at all counts as empty.
    pub fn vector<T>(
        &mut self,
        one: impl Fn(&mut Self) -> Result<T, Fault>,
    ) -> Result<Vec<T>, Fault> {
        match self.int()? {
            -1 => Ok(Vec::new()),
            n if !(0..=MOST).contains(&n) => Err(Fault::Length(n)),
            // No entry takes less than four bytes.
            n if n as usize * 4 > self.left() => Err(Fault::Short),
            n => (0..n).map(|_| one(self)).collect(),
        }
    }

    /// Nothing may be left.
    pub fn end(&self) -> Result<(), Fault> {
        if self.bytes.is_empty() {
            Ok(())
        } else {
            Err(Fault::Left(self.left()))
        }
    }
}

/// What is written, appended to bytes.
pub trait Write {
    fn int(&mut self, value: i32);
    fn long(&mut self, value: i64);
    fn boolean(&mut self, value: bool);
    fn buffer(&mut self, value: Option<&[u8]>);
    fn text(&mut self, value: &str);
    fn vector<T>(&mut self, all: &[T], one: impl Fn(&mut Self, &T));
}

impl Write for Vec<u8> {
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

    fn text(&mut self, value: &str) {
        self.buffer(Some(value.as_bytes()));
    }

    fn vector<T>(&mut self, all: &[T], one: impl Fn(&mut Self, &T)) {
        self.int(all.len() as i32);
        all.iter().for_each(|entry| one(self, entry));
    }
}
