//! A relay in front of an admin socket, which can delay a leader's order.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Forwards request lines from leaders to a proxy and the replies back; on request it delays one order to drain until
/// [`OrderRelay::release`]. Clones share one state.
#[derive(Clone, Default)]
pub(crate) struct OrderRelay {
    delays_next_drain: Arc<AtomicBool>,
    is_delaying: Arc<AtomicBool>,
    is_released: Arc<AtomicBool>,
}

impl OrderRelay {
    /// Starts a relay that listens at a path and forwards to the admin socket of a proxy.
    pub(crate) fn start(path: &Path, proxy: &Path) -> OrderRelay {
        let relay = OrderRelay::default();
        let listener = UnixListener::bind(path).unwrap();
        let proxy = proxy.to_path_buf();
        let accepting_relay = relay.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = accepting_relay.clone();
                let proxy = proxy.clone();
                std::thread::spawn(move || relay.forward(stream, &proxy));
            }
        });
        relay
    }

    /// Forwards the lines of one connection, until either end closes it.
    fn forward(&self, client: UnixStream, proxy: &Path) {
        let Ok(mut server) = UnixStream::connect(proxy) else {
            return;
        };
        let mut replies = BufReader::new(server.try_clone().unwrap());
        let mut to_client = client.try_clone().unwrap();
        for mut line in BufReader::new(client).lines().map_while(Result::ok) {
            line.push('\n');
            if line.contains("\"drain\"") && self.delays_next_drain.swap(false, Ordering::Relaxed) {
                self.wait_for_release();
                // The process that the order was sent to may have been replaced; the order goes to the one that listens now.
                let Ok(current_process) = UnixStream::connect(proxy) else {
                    return;
                };
                server = current_process;
                replies = BufReader::new(server.try_clone().unwrap());
            }
            let mut reply = String::new();
            let forwarded = server
                .write_all(line.as_bytes())
                .and_then(|()| replies.read_line(&mut reply));
            if !forwarded.is_ok_and(|length| length > 0)
                || to_client.write_all(reply.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    /// Makes the relay delay the next order to drain.
    pub(crate) fn delay_next_drain(&self) {
        self.delays_next_drain.store(true, Ordering::Relaxed);
    }

    /// Whether an order has arrived that is delayed; stays `true` after its release.
    pub(crate) fn is_delaying(&self) -> bool {
        self.is_delaying.load(Ordering::Relaxed)
    }

    /// Forwards the delayed order.
    pub(crate) fn release(&self) {
        self.is_released.store(true, Ordering::Relaxed);
    }

    /// Waits until the delayed order is released.
    fn wait_for_release(&self) {
        self.is_delaying.store(true, Ordering::Relaxed);
        while !self.is_released.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
