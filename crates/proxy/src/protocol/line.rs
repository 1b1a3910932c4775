//! Lines of text, each ended by CRLF.

use std::fmt;

/// Longest line, its end included.
pub const LONGEST: usize = 4096;

/// What is wrong with bytes from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    TooLong,
    NotText,
    Unknown,
    Malformed(&'static str),
    /// An HTTP answer of another status than wanted.
    Status(u16),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::TooLong => f.write_str("too long"),
            Fault::NotText => f.write_str("not text"),
            Fault::Unknown => f.write_str("unknown"),
            Fault::Malformed(what) => write!(f, "malformed {what}"),
            Fault::Status(status) => write!(f, "status {status}"),
        }
    }
}

/// The first line without its end, and its length with it; `None` while it is incomplete.
pub fn first(bytes: &[u8]) -> Result<Option<(&str, usize)>, Fault> {
    let within = &bytes[..bytes.len().min(LONGEST)];
    let Some(end) = within.iter().position(|b| *b == b'\n') else {
        return if bytes.len() >= LONGEST {
            Err(Fault::TooLong)
        } else {
            Ok(None)
        };
    };
    let line = within[..end]
        .strip_suffix(b"\r")
        .ok_or(Fault::Malformed("line end"))?;
    let text = std::str::from_utf8(line).map_err(|_| Fault::NotText)?;
    Ok(Some((text, end + 1)))
}
