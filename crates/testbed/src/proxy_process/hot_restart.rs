//! Hot restart: a successor process starts beside the predecessor and takes over.

use super::addresses::admin_socket;
use super::error::ProxyError;
use super::proxy::{Proxy, READINESS_REQUEST};
use crate::event_log::Event;
use crate::metrics_calls;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time that a successor has to become ready; it is killed after that, and the predecessor continues to serve.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two readiness requests to a successor.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// HTTP status with which a process that is ready answers a readiness request.
const HTTP_OK: u16 = 200;

impl Proxy {
    /// Starts a successor beside the process and, once it is ready, shuts the predecessor down.
    ///
    /// With `killed_after`, the successor is killed this long after its start instead. Does nothing if there is no process.
    pub(super) async fn hot_restart(
        &mut self,
        killed_after: Option<Duration>,
    ) -> Result<(), ProxyError> {
        if self.child.is_none() {
            return Ok(());
        }
        let proxy = self.number;
        let successor_socket = self.successor_admin_socket();
        let predecessor_socket = std::mem::replace(&mut self.admin_socket, successor_socket);
        self.record(Event::ProxyBeside { proxy });
        let mut successor = self.launch().map_err(|source| self.error(source))?;
        let startup_time = match killed_after {
            Some(span) => {
                sleep(span).await;
                None
            }
            None => {
                let startup_time = await_ready(successor.operator_address).await;
                self.record(Event::Replaced {
                    proxy,
                    yes: startup_time,
                });
                startup_time
            }
        };
        if startup_time.is_none() {
            // The predecessor continues to serve, as it has not been sent SIGTERM.
            self.kill_process(&mut successor.child).await;
            let successor_socket = std::mem::replace(&mut self.admin_socket, predecessor_socket);
            let _ = std::fs::remove_file(successor_socket);
            return Ok(());
        }
        self.set_operator_address(None);
        self.signal(Signal::TERM);
        if let Some(predecessor) = self.child.replace(successor.child) {
            self.await_end(predecessor).await;
        }
        let _ = std::fs::remove_file(predecessor_socket);
        self.record(Event::ProxyServes { proxy });
        self.set_operator_address(Some(successor.operator_address));
        Ok(())
    }

    /// An admin socket for a successor other than its predecessor's: a process does not start if another listens at its
    /// socket.
    fn successor_admin_socket(&self) -> PathBuf {
        let socket = admin_socket(self.context.run_number, self.number);
        socket.with_extension(format!("{}.sock", self.started_processes))
    }
}

/// Waits until a process reports that it is ready; returns how long that took, or `None` after [`READY_TIMEOUT`].
async fn await_ready(operator_address: SocketAddr) -> Option<Duration> {
    let since = Instant::now();
    while since.elapsed() < READY_TIMEOUT {
        let response = metrics_calls::send_request(operator_address, READINESS_REQUEST).await;
        let is_ready = response.is_some_and(|response| response.status == HTTP_OK);
        let elapsed = since.elapsed();
        sleep(READY_POLL_INTERVAL).await;
        if is_ready {
            return Some(elapsed);
        }
    }
    None
}
