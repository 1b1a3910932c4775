//! Why a run tells nothing. The texts go to standard error after the program's name.

use crate::proxy_process::ProxyError;
use crate::scenario::ScenarioError;
use std::io;

/// Why a run tells nothing.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The scenario is wrong.
    #[error(transparent)]
    Input(#[from] ScenarioError),
    /// The testbed would need more descriptors than it may have.
    #[error(
        "{connections} standing connections want {needed} descriptors of the rig, and this machine allows {allowed}"
    )]
    TooManyConnections {
        /// Connections that stand at once.
        connections: usize,
        /// Descriptors that the testbed needs for them.
        needed: u64,
        /// Descriptors that a process may have.
        allowed: u64,
    },
    /// The clients of a proxy would need more ports than an address has.
    #[error("{connections} connections a proxy, and ports allow {allowed}")]
    TooFewPorts {
        /// Connections of each proxy.
        connections: usize,
        /// Connections that the ports of an address allow.
        allowed: usize,
    },
    /// A proxy is to have more descriptors than it may.
    #[error("proxies.sockets is {sockets}, and this machine allows {allowed}")]
    TooManySockets {
        /// Descriptors that each proxy is to have.
        sockets: u64,
        /// Descriptors that a process may have.
        allowed: u64,
    },
    /// The folder, a host, a link or a proxy's discovery agent could not be started.
    #[error("starting: {0}")]
    Start(#[source] io::Error),
    /// A proxy does not answer health checks.
    #[error("proxy {proxy} never became ready; its log ends {log_end:?}")]
    NeverReady {
        /// Its number.
        proxy: usize,
        /// The last lines of its log, the last one first.
        log_end: Vec<String>,
    },
    /// A proxy's process could not be started.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
}

impl RunError {
    /// Whether the scenario, or the machine that it was to run on, is the cause: nothing was started.
    pub fn is_bad_input(&self) -> bool {
        match self {
            RunError::Input(_)
            | RunError::TooManyConnections { .. }
            | RunError::TooFewPorts { .. }
            | RunError::TooManySockets { .. } => true,
            RunError::Start(_) | RunError::NeverReady { .. } | RunError::Proxy(_) => false,
        }
    }
}
