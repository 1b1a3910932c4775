//! Signals to a proxy's process, and its end.

use super::proxy::Proxy;
use crate::event_log::Event;
use rustix::process::{Pid, Signal, kill_process};
use std::time::Duration;
use tokio::process::Child;
use tokio::time::{sleep, timeout};

/// Longest that a proxy told to shut down may take: the longest wait of a client and some.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Pause after a proxy has shut down, before it may be started again.
const RESTART_PAUSE: Duration = Duration::from_millis(50);

impl Proxy {
    /// Sends a signal to the process, if there is one.
    pub(super) fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| Pid::from_raw(id as i32)) {
            // It fails only for a process that has ended.
            let _ = kill_process(id, signal);
        }
    }

    /// Stops the process. What it does after this event is not held against it.
    pub(super) fn suspend(&self) {
        if self.child.is_some() {
            self.record(Event::ProxyStalls {
                proxy: self.number,
                stops: true,
            });
            self.signal(Signal::STOP);
        }
    }

    /// Lets the process run again. What it did before this event is not held against it.
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

    /// Kills a process of this proxy.
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
        // One that is stopped could not even hear that it is to shut down.
        self.signal(Signal::CONT);
        self.record(Event::ProxyLeaves { proxy: self.number });
        self.signal(Signal::TERM);
        if let Some(child) = self.child.take() {
            self.await_end(child).await;
        }
        sleep(RESTART_PAUSE).await;
    }

    /// Waits for a process that was told to shut down; kills it if that takes too long.
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
