//! Another process of a proxy, which takes over from the first one by a hot restart.

use super::{TIMEOUT, http_call, send_signal};
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};

/// A further process of a proxy; dropping it kills the process.
pub(crate) struct SecondProcess {
    pub(crate) process: Child,
    /// Address of its admin HTTP listener.
    pub(crate) admin_http: SocketAddr,
}

impl Drop for SecondProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl SecondProcess {
    /// Sends the process a signal, named without `SIG`.
    pub(crate) fn send_signal(&self, name: &str) {
        send_signal(&self.process, name);
    }

    /// Waits until the process reports that it is ready; `false` if that takes longer than twice [`TIMEOUT`].
    pub(crate) fn becomes_ready(&self) -> bool {
        let deadline = Instant::now() + 2 * TIMEOUT;
        while Instant::now() < deadline {
            if http_call(self.admin_http, "GET /ops/readiness").0 == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}
