//! Lines read off a connection, bounded, in a way that a `select` may leave and come back to.

use rustix::fd::OwnedFd;
use std::collections::VecDeque;
use std::io::ErrorKind;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// Longest line that anybody may send, by the protocol.
pub const LONGEST: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    Text(String),
    /// Ended in good order.
    Fin,
    Reset,
    /// Too long, or no text.
    Bad,
}

pub struct LineReader {
    half: OwnedReadHalf,
    bytes: VecDeque<u8>,
    /// Bytes at the front known to hold no line end.
    seen: usize,
    ended: Option<Line>,
}

impl LineReader {
    pub fn new(half: OwnedReadHalf) -> LineReader {
        LineReader {
            half,
            bytes: VecDeque::new(),
            seen: 0,
            ended: None,
        }
    }

    /// The next line without its end. Nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> Line {
        loop {
            if let Some(line) = self.whole() {
                return line;
            }
            if let Some(end) = &self.ended {
                return end.clone();
            }
            self.fill().await;
        }
    }

    /// Waits for the connection's end and keeps up to 64 KiB of lines for later.
    pub async fn end(&mut self) -> Line {
        loop {
            if let Some(end) = &self.ended {
                return end.clone();
            }
            if self.bytes.len() > 1 << 16 {
                std::future::pending::<()>().await;
            }
            self.fill().await;
        }
    }

    /// A second handle of the connection, by which its end is seen without reading it.
    pub fn handle(&self) -> Option<OwnedFd> {
        rustix::io::dup(self.half.as_ref()).ok()
    }

    /// Whether a line or the end is there already.
    pub fn ready(&self) -> bool {
        self.ended.is_some() || self.bytes.contains(&b'\n')
    }

    async fn fill(&mut self) {
        let mut bytes = [0; 2048];
        match self.half.read(&mut bytes).await {
            Ok(0) => self.ended = Some(Line::Fin),
            Ok(n) => self.bytes.extend(&bytes[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => self.ended = Some(Line::Reset),
        }
    }

    fn whole(&mut self) -> Option<Line> {
        let found = self.bytes.iter().skip(self.seen).position(|b| *b == b'\n');
        let Some(end) = found.map(|at| at + self.seen) else {
            self.seen = self.bytes.len();
            if self.seen <= LONGEST {
                return None;
            }
            // What comes next of it is another bad line; kept, it would be found again at once, for ever.
            (self.bytes, self.seen) = (VecDeque::new(), 0);
            return Some(Line::Bad);
        };
        self.seen = 0;
        let line: Vec<u8> = self.bytes.drain(..=end).collect();
        let text = line
            .strip_suffix(b"\r\n")
            .and_then(|line| std::str::from_utf8(line).ok());
        Some(match text {
            Some(text) if line.len() <= LONGEST => Line::Text(text.to_string()),
            _ => Line::Bad,
        })
    }
}
