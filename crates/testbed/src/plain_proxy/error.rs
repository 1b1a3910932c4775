//! Why the plain proxy does not serve.

use std::io;
use std::net::SocketAddr;

/// Why the plain proxy does not serve.
#[derive(Debug, thiserror::Error)]
pub enum PlainProxyError {
    /// The environment names no configuration.
    #[error("LB_CONFIG is not set")]
    NoConfiguration,
    /// The configuration cannot be read.
    #[error("LB_CONFIG: {0}")]
    Unreadable(#[source] io::Error),
    /// The configuration is no JSON.
    #[error("configuration: {0}")]
    InvalidConfiguration(#[source] serde_json::Error),
    /// The configuration has no address to listen at.
    #[error("listen: {0:?} is no address")]
    InvalidListen(String),
    /// The address to listen at cannot be had.
    #[error("listen: {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The system does not tell signals.
    #[error("{0}")]
    Signals(#[source] io::Error),
}
