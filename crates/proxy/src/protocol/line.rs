//! Lines of UTF-8 text, each ended by CRLF.

use thiserror::Error;

/// Longest line in bytes, its end included; the protocol's bound.
pub const MAX_LINE_LENGTH: usize = 4096;

/// Why a line can't be used. Log lines show the debug form too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LineError {
    /// Longer than [`MAX_LINE_LENGTH`].
    #[error("too long")]
    TooLong,
    /// Not UTF-8.
    #[error("not text")]
    NotText,
    /// No line that the protocol has.
    #[error("unknown")]
    Unknown,
    /// The named part is missing or wrong.
    #[error("malformed {0}")]
    Malformed(&'static str),
}

/// The first line without its end, and its length with it; `None` while it is incomplete.
///
/// Fails where the line is longer than [`MAX_LINE_LENGTH`], ends in a line feed alone or is not UTF-8.
pub fn first_line(bytes: &[u8]) -> Result<Option<(&str, usize)>, LineError> {
    let within = &bytes[..bytes.len().min(MAX_LINE_LENGTH)];
    let Some(end) = within.iter().position(|byte| *byte == b'\n') else {
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
