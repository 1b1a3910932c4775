//! Signals: each sets a flag and wakes the event loop.

use rustix::fd::OwnedFd;
use rustix::pipe::{PipeFlags, pipe_with};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The flags that signals set.
#[derive(Debug, Default)]
pub(super) struct Signals {
    /// SIGTERM and SIGINT.
    shutdown: Arc<AtomicBool>,
    /// SIGUSR1.
    print_counters: Arc<AtomicBool>,
    /// SIGHUP.
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Handles signals from now on. The descriptor becomes readable once a signal has come, and is to be waited for: a flag
    /// alone would be seen only at the next wake-up if the signal came between the look at it and the wait.
    pub(super) fn register() -> io::Result<(Signals, OwnedFd)> {
        let (readable, writable) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
        let signals = Signals::default();
        let flags = [
            (SIGTERM, &signals.shutdown),
            (SIGINT, &signals.shutdown),
            (SIGUSR1, &signals.print_counters),
            (SIGHUP, &signals.reload),
        ];
        for (signal, flag) in flags {
            // Actions of a signal run in the order of their registration: the flag is set before the loop is woken.
            flag::register(signal, Arc::clone(flag))?;
            low_level::pipe::register(signal, writable.try_clone()?)?;
        }
        Ok((signals, readable))
    }

    /// Whether the proxy is to shut down; that stays.
    pub(super) fn is_shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::Relaxed)
    }

    /// Whether the counters were asked for since the last call.
    pub(super) fn take_counters_request(&self) -> bool {
        self.print_counters.swap(false, Ordering::Relaxed)
    }

    /// Whether the configuration is to be read again since the last call.
    pub(super) fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
