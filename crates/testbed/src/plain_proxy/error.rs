//! Errors that keep the plain proxy from serving.

use std::io;
use std::net::SocketAddr;

/// Why the plain proxy cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum PlainProxyError {
    /// The environment variable that names the configuration file is not set.
    #[error("LB_CONFIG is not set")]
    NoConfiguration,
    /// The configuration file cannot be read.
    #[error("LB_CONFIG: {0}")]
    Unreadable(#[source] io::Error),
    /// The configuration file is not valid JSON.
    #[error("configuration: {0}")]
    InvalidConfiguration(#[source] serde_json::Error),
    /// The configured listen address is absent or invalid.
    #[error("listen: {0:?} is no address")]
    InvalidListen(String),
    /// The listen address cannot be bound.
    #[error("listen: {address}: {source}")]
    Bind {
        /// The listen address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A signal handler cannot be installed.
    #[error("{0}")]
    Signals(#[source] io::Error),
}
