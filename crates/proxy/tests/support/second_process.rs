//! Another process of a proxy, which takes over from the first.

use super::{TIMEOUT, http_call, send_signal};
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};

/// A second process of a proxy; it ends with the test.
pub(crate) struct SecondProcess {
    pub(crate) process: Child,
    pub(crate) admin_http: SocketAddr,
}

impl Drop for SecondProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl SecondProcess {
    /// Sends it a signal by its name without `SIG`.
    pub(crate) fn send_signal(&self, name: &str) {
        send_signal(&self.process, name);
    }

    /// Whether it is ready in time.
    pub(crate) fn becomes_ready(&self) -> bool {
        let until = Instant::now() + 2 * TIMEOUT;
        while Instant::now() < until {
            if http_call(self.admin_http, "GET /ops/readiness").0 == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}
