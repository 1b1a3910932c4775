//! Errors that prevent a run. Their texts are written to standard error after the program's name.

use crate::proxy_process::ProxyError;
use crate::scenario::ScenarioError;
use std::io;

/// Why a run could not be set up or finished, and has no outcome.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The scenario is invalid.
    #[error(transparent)]
    Input(#[from] ScenarioError),
    /// The testbed process would need more descriptors than its limit allows.
    #[error(
        "{connections} standing connections want {needed} descriptors of the rig, and this machine allows {allowed}"
    )]
    TooManyConnections {
        /// Most connections that are open at the same time.
        connections: usize,
        /// Descriptors that the testbed process needs in all.
        needed: u64,
        /// Descriptors that a process may have.
        allowed: u64,
    },
    /// The clients of a proxy would need more local ports than one IP address has.
    #[error("{connections} connections a proxy, and ports allow {allowed}")]
    TooFewPorts {
        /// Most connections to each proxy at the same time.
        connections: usize,
        /// Connections to one proxy that the local ports allow.
        allowed: usize,
    },
    /// The scenario gives the proxies a higher limit on descriptors than this machine allows.
    #[error("proxies.sockets is {sockets}, and this machine allows {allowed}")]
    TooManySockets {
        /// Limit on the descriptors of each proxy (`proxies.sockets` in the scenario).
        sockets: u64,
        /// Descriptors that a process may have.
        allowed: u64,
    },
    /// The output folder could not be created, or a host, a link or a discovery agent could not be started.
    #[error("starting: {0}")]
    Start(#[source] io::Error),
    /// A proxy did not answer health checks within the time limit.
    #[error("proxy {proxy} never became ready; its log ends {log_end:?}")]
    NeverReady {
        /// The proxy's number.
        proxy: usize,
        /// The last lines of its log, the last one first.
        log_end: Vec<String>,
    },
    /// A proxy's files could not be written, or its process could not be started.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
}

impl RunError {
    /// Whether the cause is the scenario, or a limit of this machine; nothing was started then.
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
