//! Reads lines of bounded length from a connection. Its futures are cancellation-safe, so they may be used in
//! `select!`.

use crate::event_log::ConnectionEnd;
use rustix::fd::OwnedFd;
use std::collections::VecDeque;
use std::io::ErrorKind;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// The longest line that the protocol allows, in bytes, with its line end.
const MAX_LINE_BYTES: usize = 4096;
/// Above so many unread bytes, [`LineReader::wait_for_end`] stops reading.
const MAX_BUFFERED_BYTES: usize = 1 << 16;
/// How many bytes are read at once.
const READ_BYTES: usize = 2048;

/// The next item on a connection: a line, or the connection's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// A line without its end.
    Text(String),
    /// The peer closed the connection.
    Fin,
    /// The connection was reset.
    Reset,
    /// A line that is too long, does not end in CRLF, or is not UTF-8.
    Invalid,
}

impl Line {
    /// How the connection ended; `None` if this is not its end.
    pub(crate) fn connection_end(&self) -> Option<ConnectionEnd> {
        match self {
            Line::Fin => Some(ConnectionEnd::Fin),
            Line::Reset => Some(ConnectionEnd::Reset),
            Line::Text(_) | Line::Invalid => None,
        }
    }
}

/// Reads lines from a connection.
#[derive(Debug)]
pub struct LineReader {
    read_half: OwnedReadHalf,
    /// Bytes that have been read and not yet returned.
    buffer: VecDeque<u8>,
    /// How many bytes at the front of the buffer are known to hold no line end.
    searched: usize,
    /// The connection's end, once it has been read.
    end: Option<Line>,
}

impl LineReader {
    /// Creates a reader of a connection.
    pub fn new(read_half: OwnedReadHalf) -> LineReader {
        LineReader {
            read_half,
            buffer: VecDeque::new(),
            searched: 0,
            end: None,
        }
    }

    /// Returns the next line without its line end, or the connection's end. No bytes are lost if the future is dropped.
    pub async fn next(&mut self) -> Line {
        loop {
            if let Some(line) = self.take_line() {
                return line;
            }
            if let Some(end) = &self.end {
                return end.clone();
            }
            self.read_more().await;
        }
    }

    /// Waits for the connection's end, and keeps what comes before it for [`LineReader::next`]. With more than 64 KiB
    /// of that, it stops reading and never returns.
    pub async fn wait_for_end(&mut self) -> Line {
        loop {
            if let Some(end) = &self.end {
                return end.clone();
            }
            if self.buffer.len() > MAX_BUFFERED_BYTES {
                std::future::pending::<()>().await;
            }
            self.read_more().await;
        }
    }

    /// Duplicates the connection's file descriptor, by which its end can be detected without reading.
    pub(crate) fn duplicate_handle(&self) -> Option<OwnedFd> {
        rustix::io::dup(self.read_half.as_ref()).ok()
    }

    /// Whether a line or the connection's end has been read already.
    pub fn is_line_ready(&self) -> bool {
        self.end.is_some() || self.buffer.contains(&b'\n')
    }

    async fn read_more(&mut self) {
        let mut bytes = [0; READ_BYTES];
        match self.read_half.read(&mut bytes).await {
            Ok(0) => self.end = Some(Line::Fin),
            Ok(count) => self.buffer.extend(&bytes[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => self.end = Some(Line::Reset),
        }
    }

    /// Takes the first complete line out of the buffer, or all of a line that is too long.
    fn take_line(&mut self) -> Option<Line> {
        let found = self
            .buffer
            .iter()
            .skip(self.searched)
            .position(|byte| *byte == b'\n');
        let Some(end) = found.map(|offset| offset + self.searched) else {
            self.searched = self.buffer.len();
            if self.searched <= MAX_LINE_BYTES {
                return None;
            }
            // Kept, these bytes would be reported as invalid again on every call. The rest of the line counts as
            // another one.
            (self.buffer, self.searched) = (VecDeque::new(), 0);
            return Some(Line::Invalid);
        };
        self.searched = 0;
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        let text = line
            .strip_suffix(b"\r\n")
            .and_then(|line| std::str::from_utf8(line).ok());
        Some(match text {
            Some(text) if line.len() <= MAX_LINE_BYTES => Line::Text(text.to_string()),
            _ => Line::Invalid,
        })
    }
}
