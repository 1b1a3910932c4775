//! Lines read from a connection, bounded, in a way that a `select` may leave and come back to.

use crate::event_log::ConnectionEnd;
use rustix::fd::OwnedFd;
use std::collections::VecDeque;
use std::io::ErrorKind;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// The longest line that the protocol allows, in bytes.
const LONGEST_LINE: usize = 4096;
/// Bytes that are kept for later while only the connection's end is waited for.
const MOST_KEPT: usize = 1 << 16;
/// Bytes that are read at once.
const READ_BYTES: usize = 2048;

/// What comes next on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// A line without its end.
    Text(String),
    /// The connection ended in good order.
    Fin,
    /// The connection was reset.
    Reset,
    /// A line that is too long, or no text.
    Invalid,
}

impl Line {
    /// How the connection ended, if it did.
    pub(crate) fn connection_end(&self) -> Option<ConnectionEnd> {
        match self {
            Line::Fin => Some(ConnectionEnd::Fin),
            Line::Reset => Some(ConnectionEnd::Reset),
            Line::Text(_) | Line::Invalid => None,
        }
    }
}

/// Reads a connection by lines.
#[derive(Debug)]
pub struct LineReader {
    half: OwnedReadHalf,
    bytes: VecDeque<u8>,
    /// How many bytes at the front are known to hold no line end.
    searched: usize,
    ended: Option<Line>,
}

impl LineReader {
    /// Reads from one half of a connection.
    pub fn new(half: OwnedReadHalf) -> LineReader {
        LineReader {
            half,
            bytes: VecDeque::new(),
            searched: 0,
            ended: None,
        }
    }

    /// The next line without its end. Nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> Line {
        loop {
            if let Some(line) = self.take_line() {
                return line;
            }
            if let Some(end) = &self.ended {
                return end.clone();
            }
            self.fill().await;
        }
    }

    /// Waits for the connection's end and keeps up to 64 KiB of lines for later.
    pub async fn wait_for_end(&mut self) -> Line {
        loop {
            if let Some(end) = &self.ended {
                return end.clone();
            }
            if self.bytes.len() > MOST_KEPT {
                std::future::pending::<()>().await;
            }
            self.fill().await;
        }
    }

    /// A second handle of the connection, by which its end is seen without reading it.
    pub(crate) fn duplicate_handle(&self) -> Option<OwnedFd> {
        rustix::io::dup(self.half.as_ref()).ok()
    }

    /// Whether a line or the end is there already.
    pub fn is_line_ready(&self) -> bool {
        self.ended.is_some() || self.bytes.contains(&b'\n')
    }

    async fn fill(&mut self) {
        let mut bytes = [0; READ_BYTES];
        match self.half.read(&mut bytes).await {
            Ok(0) => self.ended = Some(Line::Fin),
            Ok(n) => self.bytes.extend(&bytes[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => self.ended = Some(Line::Reset),
        }
    }

    /// The first of the lines that have been read.
    fn take_line(&mut self) -> Option<Line> {
        let found = self
            .bytes
            .iter()
            .skip(self.searched)
            .position(|b| *b == b'\n');
        let Some(end) = found.map(|at| at + self.searched) else {
            self.searched = self.bytes.len();
            if self.searched <= LONGEST_LINE {
                return None;
            }
            // What comes next of it is another bad line; kept, it would be found again at once, for ever.
            (self.bytes, self.searched) = (VecDeque::new(), 0);
            return Some(Line::Invalid);
        };
        self.searched = 0;
        let line: Vec<u8> = self.bytes.drain(..=end).collect();
        let text = line
            .strip_suffix(b"\r\n")
            .and_then(|line| std::str::from_utf8(line).ok());
        Some(match text {
            Some(text) if line.len() <= LONGEST_LINE => Line::Text(text.to_string()),
            _ => Line::Invalid,
        })
    }
}
