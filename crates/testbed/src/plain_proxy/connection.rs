//! A connection of lines, to a client or to a host.

use crate::line_reader::{Line, LineReader};
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// How long the other side has to close a connection that was answered.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Both halves of a connection.
pub(super) struct LineConnection {
    /// What the other side says.
    pub(super) lines: LineReader,
    /// What is said to it.
    pub(super) write: OwnedWriteHalf,
}

impl LineConnection {
    /// A connection whose lines go out at once.
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

    /// Writes a last line and closes, once the other side has or after a while.
    pub(super) async fn close_with(&mut self, line: &str) {
        let _ = self.send(line).await;
        let _ = self.write.shutdown().await;
        let _ = timeout(CLOSE_TIMEOUT, async {
            while !matches!(self.lines.next().await, Line::Fin | Line::Reset) {}
        })
        .await;
    }
}
