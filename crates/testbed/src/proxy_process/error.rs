//! Why a proxy's process cannot go on.

use std::io;

/// A proxy's files could not be written, or its process could not be started.
#[derive(Debug, thiserror::Error)]
#[error("proxy {proxy}: {source}")]
pub struct ProxyError {
    /// Its number.
    pub(super) proxy: u16,
    /// Why not.
    pub(super) source: io::Error,
}
