//! As much of HTTP/1.1 as a watch needs: a request, and a chunked answer taken apart into lines.

use super::line::LineError;

const LONGEST_HEAD: usize = 8192;
/// Longest line of the body: a list of some ten thousand servers.
const LONGEST_LINE: usize = 4 << 20;

pub fn watch_request(host: &str, after: u64) -> String {
    format!("GET /discovery/hosts?stream=1&index={after} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    #[default]
    Head,
    Size,
    Data(usize),
    /// The line end behind a chunk's data.
    DataEnd,
    /// What follows the last chunk.
    Over,
}

/// A chunked answer as it comes, in pieces of any size.
#[derive(Debug, Default)]
pub struct ChunkedResponse {
    part: Part,
    text: Vec<u8>,
    line: Vec<u8>,
}

impl ChunkedResponse {
    /// Whether the head is read and was good.
    pub fn has_head(&self) -> bool {
        self.part != Part::Head
    }

    pub fn is_complete(&self) -> bool {
        self.part == Part::Over
    }

    /// Takes bytes in and adds the lines that they complete, blank ones too.
    pub fn feed(&mut self, mut bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), LineError> {
        while let Some(&byte) = bytes.first() {
            if let Part::Data(left) = self.part {
                let (data, rest) = bytes.split_at(left.min(bytes.len()));
                self.data(data, lines)?;
                bytes = rest;
                self.part = if data.len() == left {
                    Part::DataEnd
                } else {
                    Part::Data(left - data.len())
                };
                continue;
            }
            bytes = &bytes[1..];
            if self.part == Part::Over {
                continue;
            }
            self.text.push(byte);
            if self.text.len() > LONGEST_HEAD {
                return Err(LineError::TooLong);
            }
            let whole = if self.part == Part::Head {
                &b"\r\n\r\n"[..]
            } else {
                &b"\r\n"[..]
            };
            if self.text.ends_with(whole) {
                let text = std::mem::take(&mut self.text);
                let text = std::str::from_utf8(&text).map_err(|_| LineError::NotText)?;
                self.part = self.next(text.trim_end())?;
            }
        }
        Ok(())
    }

    fn next(&self, text: &str) -> Result<Part, LineError> {
        match self.part {
            Part::Head => {
                let mut lines = text.split("\r\n");
                let status = lines
                    .next()
                    .and_then(|line| line.split(' ').nth(1)?.parse().ok());
                let chunked = lines
                    .filter_map(|line| line.split_once(':'))
                    .any(|(name, value)| {
                        name.eq_ignore_ascii_case("transfer-encoding")
                            && value.trim().eq_ignore_ascii_case("chunked")
                    });
                match status {
                    Some(200) if chunked => Ok(Part::Size),
                    Some(status) if status != 200 => Err(LineError::Status(status)),
                    _ => Err(LineError::Malformed("head")),
                }
            }
            Part::Size => {
                let digits = text.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(digits, 16)
                    .map_err(|_| LineError::Malformed("chunk size"))?;
                Ok(if size == 0 {
                    Part::Over
                } else {
                    Part::Data(size)
                })
            }
            _ if text.is_empty() => Ok(Part::Size),
            _ => Err(LineError::Malformed("chunk end")),
        }
    }

    fn data(&mut self, data: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), LineError> {
        for piece in data.split_inclusive(|b| *b == b'\n') {
            if self.line.len() + piece.len() > LONGEST_LINE {
                return Err(LineError::TooLong);
            }
            self.line.extend_from_slice(piece);
            if self.line.last() == Some(&b'\n') {
                lines.push(std::mem::take(&mut self.line).trim_ascii().to_vec());
            }
        }
        Ok(())
    }
}
