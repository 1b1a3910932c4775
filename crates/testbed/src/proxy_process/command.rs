//! What a run asks of a proxy's process.

use std::time::Duration;

/// What a run asks of a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProxyCommand {
    /// Start a process, if there is none.
    Start,
    /// SIGKILL.
    Kill,
    /// SIGSTOP.
    Suspend,
    /// SIGCONT.
    Resume,
    /// SIGTERM; SIGKILL if it has not shut down in time.
    ShutDown,
    /// Discovery moves to another address: a new configuration and SIGHUP.
    Reload,
    /// A second process takes over.
    HotRestart {
        /// Instead of that, the second process is killed this long after its start.
        killed_after: Option<Duration>,
    },
    /// Drain, by the admin socket.
    Drain {
        /// By when clients are to be migrated.
        deadline: Duration,
    },
    /// Take the drain back, by the admin socket.
    Undrain,
    /// Spoil the snapshots that it keeps on disk.
    CorruptSnapshots,
}
