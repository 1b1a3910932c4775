//! Signals: each sets a flag and wakes the loop.

use rustix::fd::OwnedFd;
use rustix::pipe::{PipeFlags, pipe_with};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[derive(Debug)]
pub struct Signals {
    leave: Arc<AtomicBool>,
    print: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Heeds signals from now on. What is given beside is to be waited for: it can be read once one has come. A flag alone
    /// would be seen only at the next wake-up, if the signal came between the look at it and the wait.
    pub fn heed() -> Result<(Signals, OwnedFd), String> {
        let told = |e: std::io::Error| format!("signals: {e}");
        let (wakes, woken) =
            pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK).map_err(|e| told(e.into()))?;
        let [leave, print, reload] = std::array::from_fn(|_| Arc::new(AtomicBool::new(false)));
        for (signal, flag) in [
            (SIGTERM, &leave),
            (SIGINT, &leave),
            (SIGUSR1, &print),
            (SIGHUP, &reload),
        ] {
            // Flags first: they are set in this order.
            flag::register(signal, flag.clone()).map_err(told)?;
            low_level::pipe::register(signal, woken.try_clone().map_err(told)?).map_err(told)?;
        }
        Ok((
            Signals {
                leave,
                print,
                reload,
            },
            wakes,
        ))
    }

    /// Whether it is to leave; that stays.
    pub fn leaves(&self) -> bool {
        self.leave.load(Ordering::Relaxed)
    }

    /// Whether figures were asked for since.
    pub fn prints(&self) -> bool {
        self.print.swap(false, Ordering::Relaxed)
    }

    /// Whether the configuration is to be read again.
    pub fn reloads(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
