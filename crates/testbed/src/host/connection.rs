//! One connection to a host, by its lines.

use super::faults::HostFaults;
use crate::line_reader::LineReader;
use crate::link::is_relay_address;
use crate::sockets;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time::timeout;

/// Longest that the peer's closing is waited for.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest that a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The two halves of a connection.
pub(super) struct HostConnection {
    pub(super) lines: LineReader,
    /// `None` once it was reset.
    write: Option<OwnedWriteHalf>,
    /// The relay of the link that it came through, if it did.
    pub(super) relay: Option<SocketAddr>,
}

impl HostConnection {
    pub(super) fn new(stream: TcpStream) -> HostConnection {
        let _ = stream.set_nodelay(true);
        let relay = stream
            .peer_addr()
            .ok()
            .filter(|peer| is_relay_address(*peer));
        let (read, write) = stream.into_split();
        HostConnection {
            lines: LineReader::new(read),
            write: Some(write),
            relay,
        }
    }

    /// Writes an answer. A peer that takes nothing is noticed by its end.
    pub(super) async fn send(&mut self, text: &str) {
        if let Some(write) = &mut self.write {
            let _ = timeout(WRITE_TIMEOUT, write.write_all(text.as_bytes())).await;
        }
    }

    /// Writes the last answer and waits a little for the other side to close.
    pub(super) async fn send_last(&mut self, text: &str) {
        self.send(text).await;
        if let Some(write) = &mut self.write {
            let _ = write.shutdown().await;
        }
        let _ = timeout(CLOSE_TIMEOUT, self.lines.wait_for_end()).await;
    }

    pub(super) fn reset(&mut self) {
        if let Some(write) = self.write.take() {
            sockets::reset(write);
        }
    }

    /// Waits until the host speaks again; false if the peer ended the connection meanwhile.
    pub(super) async fn wait_while_frozen(
        &mut self,
        faults: &mut watch::Receiver<HostFaults>,
    ) -> bool {
        tokio::select! {
            biased;
            _ = faults.wait_for(|faults| !faults.is_frozen()) => true,
            _ = self.lines.wait_for_end() => false,
        }
    }
}
