//! The part of HTTP/1.1 that a discovery watch needs: its request, and a parser that splits a chunked response into
//! lines.

use thiserror::Error;

/// Longest response head, and longest line between two chunks, in bytes.
const MAX_HEAD_LENGTH: usize = 8192;
/// Longest line of the body in bytes: enough for a list of some ten thousand endpoints.
const MAX_BODY_LINE_LENGTH: usize = 4 << 20;
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The end of a line between chunks.
const LINE_END: &[u8] = b"\r\n";
/// The only status that a watch accepts.
const STATUS_OK: u16 = 200;

/// The request for a watch that reports the changes after a revision.
pub fn watch_request(host: &str, after_revision: u64) -> String {
    format!("GET /discovery/hosts?stream=1&index={after_revision} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// Why a response is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpResponseError {
    /// The head, a line between chunks or a line of the body is longer than allowed.
    #[error("too long")]
    TooLong,
    /// The head or a line between chunks is not UTF-8.
    #[error("not text")]
    NotText,
    /// The named part can't be parsed.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// Another status than 200.
    #[error("status {0}")]
    Status(u16),
}

/// Which part of the response the parser expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ResponseState {
    #[default]
    Head,
    ChunkSize,
    /// The data of a chunk, of which so many bytes are missing.
    ChunkData(usize),
    /// The line end behind a chunk's data.
    ChunkEnd,
    /// Nothing: the last chunk has been received, and later bytes are ignored.
    Complete,
}

/// An incremental parser of a chunked response, which may arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct ChunkedResponse {
    state: ResponseState,
    /// The bytes so far of the head, or of the line between chunks.
    framing: Vec<u8>,
    /// The bytes so far of the body's current line, without an end of line.
    body_line: Vec<u8>,
}

impl ChunkedResponse {
    /// Whether the last chunk has been received.
    pub fn is_complete(&self) -> bool {
        self.state == ResponseState::Complete
    }

    /// Parses the next bytes and appends the lines of the body that they complete to `lines`: trimmed, and including
    /// blank ones. The parser must not be used after an error.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        lines: &mut Vec<Vec<u8>>,
    ) -> Result<(), HttpResponseError> {
        while let Some((&byte, after)) = bytes.split_first() {
            match self.state {
                ResponseState::ChunkData(remaining) => {
                    let (data, rest) = bytes.split_at(remaining.min(bytes.len()));
                    self.parse_chunk_data(data, lines)?;
                    bytes = rest;
                    self.state = if data.len() == remaining {
                        ResponseState::ChunkEnd
                    } else {
                        ResponseState::ChunkData(remaining - data.len())
                    };
                }
                ResponseState::Complete => return Ok(()),
                ResponseState::Head | ResponseState::ChunkSize | ResponseState::ChunkEnd => {
                    self.parse_framing_byte(byte)?;
                    bytes = after;
                }
            }
        }
        Ok(())
    }

    /// Parses one byte of the head or of a line between chunks.
    fn parse_framing_byte(&mut self, byte: u8) -> Result<(), HttpResponseError> {
        self.framing.push(byte);
        if self.framing.len() > MAX_HEAD_LENGTH {
            return Err(HttpResponseError::TooLong);
        }
        let end = if self.state == ResponseState::Head {
            HEAD_END
        } else {
            LINE_END
        };
        if self.framing.ends_with(end) {
            let text = std::mem::take(&mut self.framing);
            let text = std::str::from_utf8(&text).map_err(|_| HttpResponseError::NotText)?;
            self.state = self.state_after(text.trim_end())?;
        }
        Ok(())
    }

    /// The state that follows the complete head, or a complete line between chunks.
    fn state_after(&self, text: &str) -> Result<ResponseState, HttpResponseError> {
        match self.state {
            ResponseState::Head => check_head(text).map(|()| ResponseState::ChunkSize),
            ResponseState::ChunkSize => Ok(match parse_chunk_size(text)? {
                0 => ResponseState::Complete,
                size => ResponseState::ChunkData(size),
            }),
            _ if text.is_empty() => Ok(ResponseState::ChunkSize),
            _ => Err(HttpResponseError::Malformed("chunk end")),
        }
    }

    /// Parses data of the body and appends the lines that it completes.
    fn parse_chunk_data(
        &mut self,
        data: &[u8],
        lines: &mut Vec<Vec<u8>>,
    ) -> Result<(), HttpResponseError> {
        for piece in data.split_inclusive(|byte| *byte == b'\n') {
            if self.body_line.len() + piece.len() > MAX_BODY_LINE_LENGTH {
                return Err(HttpResponseError::TooLong);
            }
            self.body_line.extend_from_slice(piece);
            if self.body_line.last() == Some(&b'\n') {
                lines.push(trimmed(std::mem::take(&mut self.body_line)));
            }
        }
        Ok(())
    }
}

/// A line without the white space around it. It is not copied, since it may take megabytes.
fn trimmed(mut line: Vec<u8>) -> Vec<u8> {
    line.truncate(line.trim_ascii_end().len());
    let start = line.len() - line.trim_ascii_start().len();
    line.drain(..start);
    line
}

/// Accepts a head with status 200 and a chunked body.
fn check_head(head: &str) -> Result<(), HttpResponseError> {
    let mut lines = head.split("\r\n");
    let status: Option<u16> = lines
        .next()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let chunked = lines
        .filter_map(|line| line.split_once(':'))
        .any(|(name, value)| {
            name.eq_ignore_ascii_case("transfer-encoding")
                && value.trim().eq_ignore_ascii_case("chunked")
        });
    match status {
        Some(STATUS_OK) if chunked => Ok(()),
        Some(status) if status != STATUS_OK => Err(HttpResponseError::Status(status)),
        _ => Err(HttpResponseError::Malformed("head")),
    }
}

/// The size in a chunk's first line; chunk extensions are ignored.
fn parse_chunk_size(line: &str) -> Result<usize, HttpResponseError> {
    let digits = line.split(';').next().unwrap_or_default().trim();
    usize::from_str_radix(digits, 16).map_err(|_| HttpResponseError::Malformed("chunk size"))
}
