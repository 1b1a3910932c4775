//! Lines of UTF-8 text, each ended by CRLF.

use thiserror::Error;

/// Longest line that the protocol allows, in bytes with the CRLF.
pub const MAX_LINE_LENGTH: usize = 4096;

/// Why a line is rejected. Some log lines contain the `Debug` form, so the variants keep their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LineError {
    /// Longer than [`MAX_LINE_LENGTH`].
    #[error("too long")]
    TooLong,
    /// Not UTF-8.
    #[error("not text")]
    NotText,
    /// Not a line of the protocol.
    #[error("unknown")]
    Unknown,
    /// The named part of the line is missing or invalid.
    #[error("malformed {0}")]
    Malformed(&'static str),
}

/// The first line without its CRLF, and its length with the CRLF; `None` while the line is incomplete.
///
/// Fails if the line is longer than [`MAX_LINE_LENGTH`], ends in a line feed alone or is not UTF-8.
pub fn first_line(bytes: &[u8]) -> Result<Option<(&str, usize)>, LineError> {
    let searched = &bytes[..bytes.len().min(MAX_LINE_LENGTH)];
    let Some(end) = searched.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() >= MAX_LINE_LENGTH {
            Err(LineError::TooLong)
        } else {
            Ok(None)
        };
    };
    let line = searched[..end]
        .strip_suffix(b"\r")
        .ok_or(LineError::Malformed("line end"))?;
    let text = std::str::from_utf8(line).map_err(|_| LineError::NotText)?;
    Ok(Some((text, end + 1)))
}
