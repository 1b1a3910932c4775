//! Stops, continues, kills and shuts down a proxy's process.

use super::proxy::Proxy;
use crate::event_log::Event;
use rustix::process::{Pid, Signal, kill_process};
use std::time::Duration;
use tokio::process::Child;
use tokio::time::{sleep, timeout};

/// Time that a process has to exit after SIGTERM before it is killed: a little more than a client waits for its answer.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Pause after a shutdown, before the next command can start the proxy again.
const RESTART_PAUSE: Duration = Duration::from_millis(50);

impl Proxy {
    /// Sends a signal to the process, if there is one.
    pub(super) fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| Pid::from_raw(id as i32)) {
            // This fails only if the process has ended.
            let _ = kill_process(id, signal);
        }
    }

    /// Stops the process. The event is recorded first, so that the judge excuses all that follows the stop.
    pub(super) fn suspend(&self) {
        if self.child.is_some() {
            self.record(Event::ProxyStalls {
                proxy: self.number,
                stops: true,
            });
            self.signal(Signal::STOP);
        }
    }

    /// Continues the process. The event is recorded last, so that the judge excuses all that precedes it.
    pub(super) fn resume(&self) {
        if self.child.is_some() {
            self.signal(Signal::CONT);
            self.record(Event::ProxyStalls {
                proxy: self.number,
                stops: false,
            });
        }
    }

    /// Kills the process, if there is one.
    pub(super) async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.set_operator_address(None);
            self.kill_process(&mut child).await;
        }
    }

    /// Kills a process of this proxy, be it the one that serves or a successor.
    pub(super) async fn kill_process(&self, child: &mut Child) {
        self.record(Event::ProxyKilled { proxy: self.number });
        let _ = child.kill().await;
        self.record(Event::ProxyDead { proxy: self.number });
    }

    /// Shuts the process down gracefully, if there is one.
    pub(super) async fn shut_down(&mut self) {
        if self.child.is_none() {
            return;
        }
        self.set_operator_address(None);
        // A stopped process would not handle SIGTERM.
        self.signal(Signal::CONT);
        self.record(Event::ProxyLeaves { proxy: self.number });
        self.signal(Signal::TERM);
        if let Some(child) = self.child.take() {
            self.await_end(child).await;
        }
        sleep(RESTART_PAUSE).await;
    }

    /// Waits for the exit of a process that has been sent SIGTERM; kills it after [`SHUTDOWN_TIMEOUT`].
    pub(super) async fn await_end(&self, mut child: Child) {
        let code = match timeout(SHUTDOWN_TIMEOUT, child.wait()).await {
            Ok(status) => status.ok().and_then(|status| status.code()),
            Err(_) => {
                let _ = child.kill().await;
                None
            }
        };
        self.record(Event::ProxyExited {
            proxy: self.number,
            code,
            asked: true,
        });
    }
}
