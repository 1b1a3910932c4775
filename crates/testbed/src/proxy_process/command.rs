//! The commands of a run to the task of a proxy.

use std::time::Duration;

/// A command to the task of a proxy, concerning its process. Most do nothing while the proxy has no process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProxyCommand {
    /// Starts a process, if the proxy has none.
    Start,
    /// Kills the process (SIGKILL).
    Kill,
    /// Stops the process (SIGSTOP).
    Suspend,
    /// Continues the stopped process (SIGCONT).
    Resume,
    /// Shuts the process down (SIGTERM), and kills it if that takes too long.
    ShutDown,
    /// Moves the discovery agent to another address, and has the process reload its configuration (SIGHUP).
    Reload,
    /// Starts a successor that takes over from the process.
    HotRestart {
        /// How long after its start the successor is killed, in which case the predecessor continues to serve; absent: never.
        killed_after: Option<Duration>,
    },
    /// Drains the proxy by a request at its admin socket.
    Drain {
        /// Time, from the request, within which clients are to be migrated.
        deadline: Duration,
    },
    /// Cancels the drain by a request at the admin socket.
    Undrain,
    /// Damages the snapshots that the proxy keeps on disk.
    CorruptSnapshots,
}
