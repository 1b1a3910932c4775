//! A connection to a client or to a host, over which lines are sent both ways.

use crate::line_reader::{Line, LineReader};
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// Time that the other side has to close a connection after its last line; then it is closed from this side.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Both directions of a connection.
pub(super) struct LineConnection {
    /// Reads the lines of the other side.
    pub(super) lines: LineReader,
    /// Writes lines to the other side.
    pub(super) write: OwnedWriteHalf,
}

impl LineConnection {
    /// Takes a stream, and has its lines sent without delay (`TCP_NODELAY`).
    pub(super) fn new(stream: TcpStream) -> LineConnection {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        LineConnection {
            lines: LineReader::new(read),
            write,
        }
    }

    /// Writes a line.
    pub(super) async fn send(&mut self, line: &str) -> io::Result<()> {
        self.write.write_all(format!("{line}\r\n").as_bytes()).await
    }

    /// Writes a last line, closes the write half, and waits up to [`CLOSE_TIMEOUT`] for the other side to close.
    pub(super) async fn close_with(&mut self, line: &str) {
        let _ = self.send(line).await;
        let _ = self.write.shutdown().await;
        let _ = timeout(CLOSE_TIMEOUT, async {
            while !matches!(self.lines.next().await, Line::Fin | Line::Reset) {}
        })
        .await;
    }
}
