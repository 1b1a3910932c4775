//! The error of a proxy's task.

use std::io;

/// A proxy's files could not be written, or its process could not be started.
#[derive(Debug, thiserror::Error)]
#[error("proxy {proxy}: {source}")]
pub struct ProxyError {
    /// The proxy's number.
    pub(super) proxy: u16,
    /// The system's error.
    pub(super) source: io::Error,
}
