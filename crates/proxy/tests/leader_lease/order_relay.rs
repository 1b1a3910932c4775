//! Orders that arrive late.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Stands between leaders and a proxy: forwards lines, and can delay one order to drain until it is released.
#[derive(Clone, Default)]
pub(crate) struct OrderRelay {
    delays_next_drain: Arc<AtomicBool>,
    is_delaying: Arc<AtomicBool>,
    is_released: Arc<AtomicBool>,
}

impl OrderRelay {
    /// Listens at a path before a proxy.
    pub(crate) fn start(path: &Path, proxy: &Path) -> OrderRelay {
        let relay = OrderRelay::default();
        let listener = UnixListener::bind(path).unwrap();
        let proxy = proxy.to_path_buf();
        let accepting = relay.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = accepting.clone();
                let proxy = proxy.clone();
                std::thread::spawn(move || relay.forward(stream, &proxy));
            }
        });
        relay
    }

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
                // The process that it was for may have been replaced: it goes to whichever is there now.
                let Ok(now_there) = UnixStream::connect(proxy) else {
                    return;
                };
                server = now_there;
                replies = BufReader::new(server.try_clone().unwrap());
            }
            let mut reply = String::new();
            let forwarded = server
                .write_all(line.as_bytes())
                .and_then(|()| replies.read_line(&mut reply));
            if !forwarded.is_ok_and(|n| n > 0) || to_client.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Delays the next order to drain.
    pub(crate) fn delay_next_drain(&self) {
        self.delays_next_drain.store(true, Ordering::Relaxed);
    }

    /// Whether an order is being delayed.
    pub(crate) fn is_delaying(&self) -> bool {
        self.is_delaying.load(Ordering::Relaxed)
    }

    /// Forwards the delayed order.
    pub(crate) fn release(&self) {
        self.is_released.store(true, Ordering::Relaxed);
    }

    fn wait_for_release(&self) {
        self.is_delaying.store(true, Ordering::Relaxed);
        while !self.is_released.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
