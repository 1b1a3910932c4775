//! One connection to a host: reading and writing lines, and closing or resetting it.

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

/// How long a host waits for the peer to close after its own last line.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a write may take before it is abandoned.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection that a host has accepted.
pub(super) struct HostConnection {
    pub(super) lines: LineReader,
    /// `None` once the connection was reset.
    write_half: Option<OwnedWriteHalf>,
    /// The relay's address if the connection came through a link with a relay.
    pub(super) relay: Option<SocketAddr>,
}

impl HostConnection {
    pub(super) fn new(stream: TcpStream) -> HostConnection {
        let _ = stream.set_nodelay(true);
        let relay = stream
            .peer_addr()
            .ok()
            .filter(|peer| is_relay_address(*peer));
        let (read_half, write_half) = stream.into_split();
        HostConnection {
            lines: LineReader::new(read_half),
            write_half: Some(write_half),
            relay,
        }
    }

    /// Sends text. Errors are ignored: reading reports the end of the connection.
    pub(super) async fn send(&mut self, text: &str) {
        if let Some(write_half) = &mut self.write_half {
            let _ = timeout(WRITE_TIMEOUT, write_half.write_all(text.as_bytes())).await;
        }
    }

    /// Sends the last text, closes the sending side, and waits briefly for the peer to close.
    pub(super) async fn send_last(&mut self, text: &str) {
        self.send(text).await;
        if let Some(write_half) = &mut self.write_half {
            let _ = write_half.shutdown().await;
        }
        let _ = timeout(CLOSE_TIMEOUT, self.lines.wait_for_end()).await;
    }

    pub(super) fn reset(&mut self) {
        if let Some(write_half) = self.write_half.take() {
            sockets::reset(write_half);
        }
    }

    /// Waits until no fault keeps the host from sending; false if the peer ended the connection meanwhile.
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
