//! A hot restart: a second process starts beside the first and takes over.

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

/// Longest that a second process may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// How often it is asked.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The status of a process that is ready.
const HTTP_OK: u16 = 200;

impl Proxy {
    /// Starts a second process beside the first and, once it is ready, tells the first to go.
    pub(super) async fn hot_restart(
        &mut self,
        killed_after: Option<Duration>,
    ) -> Result<(), ProxyError> {
        if self.child.is_none() {
            return Ok(());
        }
        let proxy = self.number;
        let next_socket = self.next_admin_socket();
        let first_socket = std::mem::replace(&mut self.admin_socket, next_socket);
        self.record(Event::ProxyBeside { proxy });
        let mut second = self.launch().map_err(|source| self.error(source))?;
        let ready_after = match killed_after {
            Some(span) => {
                sleep(span).await;
                None
            }
            None => {
                let yes = ready_after(second.operator_address).await;
                self.record(Event::Replaced { proxy, yes });
                yes
            }
        };
        if ready_after.is_none() {
            // The first goes on, as nobody told it to go.
            self.kill_process(&mut second.child).await;
            let second_socket = std::mem::replace(&mut self.admin_socket, first_socket);
            let _ = std::fs::remove_file(second_socket);
            return Ok(());
        }
        self.set_operator_address(None);
        self.signal(Signal::TERM);
        if let Some(first) = self.child.replace(second.child) {
            self.await_end(first).await;
        }
        let _ = std::fs::remove_file(first_socket);
        self.record(Event::ProxyServes { proxy });
        self.set_operator_address(Some(second.operator_address));
        Ok(())
    }

    /// The admin socket of a second process: it does not start where somebody listens.
    fn next_admin_socket(&self) -> PathBuf {
        let first = admin_socket(self.context.run_number, self.number);
        first.with_extension(format!("{}.sock", self.started_processes))
    }
}

/// How long a process takes until it says that it is ready; `None` if it does not in time.
async fn ready_after(operator_address: SocketAddr) -> Option<Duration> {
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
