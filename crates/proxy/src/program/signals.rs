//! Signal handling: each signal sets a flag and wakes the event loop.

use rustix::fd::OwnedFd;
use rustix::pipe::{PipeFlags, pipe_with};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The flags that the signal handlers set.
#[derive(Debug, Default)]
pub(super) struct Signals {
    /// Set by SIGTERM and SIGINT, and never cleared.
    shutdown: Arc<AtomicBool>,
    /// Set by SIGUSR1.
    print_counters: Arc<AtomicBool>,
    /// Set by SIGHUP.
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers. The event loop has to wait for the returned descriptor, which becomes readable
    /// with a signal: if a signal arrives after the flags are checked and before the wait, a flag alone would be seen
    /// only at the next wake-up.
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
            // Handlers of a signal run in the order of their registration: the flag is set before the loop is woken.
            flag::register(signal, Arc::clone(flag))?;
            low_level::pipe::register(signal, writable.try_clone()?)?;
        }
        Ok((signals, readable))
    }

    /// Whether a shutdown was requested; once `true`, it stays so.
    pub(super) fn is_shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::Relaxed)
    }

    /// Whether printing the counters was requested since the last call.
    pub(super) fn take_counters_request(&self) -> bool {
        self.print_counters.swap(false, Ordering::Relaxed)
    }

    /// Whether a reload of the configuration was requested since the last call.
    pub(super) fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
