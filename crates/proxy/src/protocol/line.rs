//! Lines of text, each ended by CRLF.

use std::fmt;

/// Longest line, its end included.
pub const MAX_LINE_LENGTH: usize = 4096;

/// What is wrong with bytes from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineError {
    TooLong,
    NotText,
    Unknown,
    Malformed(&'static str),
    /// An HTTP answer of another status than wanted.
    Status(u16),
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LineError::TooLong => f.write_str("too long"),
            LineError::NotText => f.write_str("not text"),
            LineError::Unknown => f.write_str("unknown"),
            LineError::Malformed(what) => write!(f, "malformed {what}"),
            LineError::Status(status) => write!(f, "status {status}"),
        }
    }
}

/// The first line without its end, and its length with it; `None` while it is incomplete.
pub fn first_line(bytes: &[u8]) -> Result<Option<(&str, usize)>, LineError> {
    let within = &bytes[..bytes.len().min(MAX_LINE_LENGTH)];
    let Some(end) = within.iter().position(|b| *b == b'\n') else {
        return if bytes.len() >= MAX_LINE_LENGTH {
            Err(LineError::TooLong)
        } else {
            Ok(None)
        };
    };
    let line = within[..end]
        .strip_suffix(b"\r")
        .ok_or(LineError::Malformed("line end"))?;
    let text = std::str::from_utf8(line).map_err(|_| LineError::NotText)?;
    Ok(Some((text, end + 1)))
}
