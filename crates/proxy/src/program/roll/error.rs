//! Why a rolling restart stops.

use crate::program::drain_progress::DrainProgressError;
use crate::program::leader_lease::StoreRequestError;
use asterramp_admin_protocol::AdminClientError;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;

/// Why a rolling restart, or an operator's request about one, failed.
#[derive(Debug, thiserror::Error)]
pub(in crate::program) enum RollError {
    /// The leader lease is lost, or may be; the next leader continues the plan.
    #[error("the work is not ours any more")]
    LeaseLost,
    /// A request to the store failed.
    #[error(transparent)]
    Store(#[from] StoreRequestError),
    /// A request to a proxy's admin socket failed or was rejected.
    #[error(transparent)]
    Admin(#[from] AdminClientError),
    /// A drained proxy did not become empty.
    #[error(transparent)]
    Drain(#[from] DrainProgressError),
    /// The plan at the store cannot be decoded.
    #[error("{path}: {source}")]
    PlanUnreadable {
        /// The plan's node.
        path: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The plan could not be encoded.
    #[error(transparent)]
    PlanEncoding(serde_json::Error),
    /// The plan at the store is for other proxies.
    #[error("{path}: it is of other proxies; give this roll another name")]
    PlanOfOtherProxies {
        /// The plan's node.
        path: String,
    },
    /// There is no plan at the store by this name.
    #[error("no roll is called {name}")]
    UnknownRoll {
        /// The roll's name.
        name: String,
    },
    /// An operator requested a change of a roll that is complete.
    #[error("{name} is done")]
    AlreadyDone {
        /// The roll's name.
        name: String,
    },
    /// An operator has cancelled the roll.
    #[error("{name} was cancelled")]
    Cancelled {
        /// The roll's name.
        name: String,
    },
    /// A proxy that is not being replaced does not carry its share of the traffic.
    #[error("{} does not carry its share", admin_socket.display())]
    PeerNotReady {
        /// That proxy's admin socket.
        admin_socket: PathBuf,
    },
    /// The replaced proxy does not carry its share of the traffic in time.
    #[error("it does not carry its share")]
    ShareNotReached,
    /// The proxy was not restarted in time.
    #[error("it has not come back")]
    NotRestarted,
    /// The restart command could not be run.
    #[error("restart: {0}")]
    RestartNotRun(#[source] io::Error),
    /// The restart command failed.
    #[error("restart: {0}")]
    RestartFailed(ExitStatus),
    /// Replacing this proxy failed.
    #[error("{}: {source}; the roll stops here", admin_socket.display())]
    Replacement {
        /// The proxy's admin socket.
        admin_socket: PathBuf,
        /// Why.
        source: Box<RollError>,
    },
}
