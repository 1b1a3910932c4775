//! As much of HTTP/1.1 as a discovery watch needs: its request, and a chunked response taken apart into lines.

use thiserror::Error;

/// Longest head, and longest line between two chunks, in bytes.
const MAX_HEAD_LENGTH: usize = 8192;
/// Longest line of the body in bytes: a list of some ten thousand endpoints.
const MAX_BODY_LINE_LENGTH: usize = 4 << 20;
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The end of a line between chunks.
const LINE_END: &[u8] = b"\r\n";
/// The only status with which a watch goes on.
const STATUS_OK: u16 = 200;

/// The request for a watch that tells of changes after a revision.
pub fn watch_request(host: &str, after_revision: u64) -> String {
    format!("GET /discovery/hosts?stream=1&index={after_revision} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// Why a response can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpResponseError {
    /// The head, a line between chunks or a line of the body is longer than its bound.
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

/// What comes next in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ResponseState {
    #[default]
    Head,
    ChunkSize,
    /// So many bytes of a chunk's data.
    ChunkData(usize),
    /// The line end behind a chunk's data.
    ChunkEnd,
    /// Nothing that counts: the last chunk has come.
    Complete,
}

/// Parses a chunked response as it comes, in pieces of any size.
#[derive(Debug, Default)]
pub struct ChunkedResponse {
    state: ResponseState,
    /// The incomplete head, or the incomplete line between chunks.
    framing: Vec<u8>,
    /// The incomplete line of the body.
    body_line: Vec<u8>,
}

impl ChunkedResponse {
    /// Whether the last chunk has come.
    pub fn is_complete(&self) -> bool {
        self.state == ResponseState::Complete
    }

    /// Takes bytes in and adds the lines of the body that they complete, without white space around them and blank
    /// ones too. After an error the response is of no more use.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        lines: &mut Vec<Vec<u8>>,
    ) -> Result<(), HttpResponseError> {
        while let Some((&byte, after)) = bytes.split_first() {
            match self.state {
                ResponseState::ChunkData(expected) => {
                    let (data, rest) = bytes.split_at(expected.min(bytes.len()));
                    self.take_data(data, lines)?;
                    bytes = rest;
                    self.state = if data.len() == expected {
                        ResponseState::ChunkEnd
                    } else {
                        ResponseState::ChunkData(expected - data.len())
                    };
                }
                ResponseState::Complete => return Ok(()),
                ResponseState::Head | ResponseState::ChunkSize | ResponseState::ChunkEnd => {
                    self.take_framing(byte)?;
                    bytes = after;
                }
            }
        }
        Ok(())
    }

    /// Takes one byte of the head or of a line between chunks.
    fn take_framing(&mut self, byte: u8) -> Result<(), HttpResponseError> {
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

    fn take_data(
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
                let line = std::mem::take(&mut self.body_line);
                lines.push(line.trim_ascii().to_vec());
            }
        }
        Ok(())
    }
}

/// A head is good where its status is 200 and its body chunked.
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

/// The size in a chunk's first line; extensions behind it don't count.
fn parse_chunk_size(line: &str) -> Result<usize, HttpResponseError> {
    let digits = line.split(';').next().unwrap_or_default().trim();
    usize::from_str_radix(digits, 16).map_err(|_| HttpResponseError::Malformed("chunk size"))
}
