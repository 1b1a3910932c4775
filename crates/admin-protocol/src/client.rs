//! The client's side of the admin socket.

use crate::{AdminReply, AdminRequest, MAX_REPLY_BYTES, ProxyStatus};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Longest time that sending a request or waiting for its reply may take. A proxy answers within one turn of its event loop,
/// so one that takes longer hangs.
const TIMEOUT: Duration = Duration::from_secs(3);

/// A connection to a proxy's admin socket.
#[derive(Debug)]
pub struct AdminClient {
    stream: BufReader<UnixStream>,
    path: PathBuf,
}

/// Why a request got no status. Each names the socket's path.
#[derive(Debug, thiserror::Error)]
pub enum AdminClientError {
    /// The socket could not be connected to, written or read, or a time limit passed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The socket.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The reply is not JSON of a reply's fields, or there was none.
    #[error("{}: {source}", path.display())]
    MalformedReply {
        /// The socket.
        path: PathBuf,
        /// What is wrong with the reply.
        source: serde_json::Error,
    },
    /// The proxy rejected the request.
    #[error("{}: {message}", path.display())]
    Rejected {
        /// The socket.
        path: PathBuf,
        /// Why.
        message: String,
    },
    /// The reply has neither a status nor an error.
    #[error("{}: an empty answer", path.display())]
    EmptyReply {
        /// The socket.
        path: PathBuf,
    },
}

impl AdminClient {
    /// Connects to the proxy that listens at `path`.
    ///
    /// # Errors
    ///
    /// [`AdminClientError::Io`] if nobody listens there.
    pub fn connect(path: &Path) -> Result<AdminClient, AdminClientError> {
        let stream = open(path).map_err(|source| AdminClientError::Io {
            path: path.to_path_buf(),
            source,
        })?;
        Ok(AdminClient {
            stream: BufReader::new(stream),
            path: path.to_path_buf(),
        })
    }

    /// Sends a request and waits for the status in its reply, 3 s at most.
    ///
    /// # Errors
    ///
    /// See [`AdminClientError`].
    pub fn send(&mut self, request: &AdminRequest) -> Result<ProxyStatus, AdminClientError> {
        let line = self.exchange(request)?;
        let reply: AdminReply =
            serde_json::from_str(&line).map_err(|source| AdminClientError::MalformedReply {
                path: self.path.clone(),
                source,
            })?;
        match (reply.error, reply.status) {
            (Some(message), _) => Err(AdminClientError::Rejected {
                path: self.path.clone(),
                message,
            }),
            (None, Some(status)) => Ok(status),
            (None, None) => Err(AdminClientError::EmptyReply {
                path: self.path.clone(),
            }),
        }
    }

    /// Writes a request's line and reads its reply's, which is cut at [`MAX_REPLY_BYTES`].
    fn exchange(&mut self, request: &AdminRequest) -> Result<String, AdminClientError> {
        let stream = &mut self.stream;
        let result = write_line(stream.get_mut(), request).and_then(|()| read_line(stream));
        result.map_err(|source| AdminClientError::Io {
            path: self.path.clone(),
            source,
        })
    }
}

fn open(path: &Path) -> io::Result<UnixStream> {
    let stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    Ok(stream)
}

fn write_line(stream: &mut UnixStream, request: &AdminRequest) -> io::Result<()> {
    let line = serde_json::to_string(request)? + "\n";
    stream.write_all(line.as_bytes())
}

fn read_line(stream: &mut BufReader<UnixStream>) -> io::Result<String> {
    let mut line = String::new();
    stream.take(MAX_REPLY_BYTES as u64).read_line(&mut line)?;
    Ok(line)
}
