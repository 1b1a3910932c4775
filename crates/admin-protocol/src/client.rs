//! Client of the admin socket.

use crate::{AdminReply, AdminRequest, MAX_REPLY_BYTES, ProxyStatus};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Longest time that a single read or write on the socket may block. A proxy replies within one turn of its event loop,
/// so one that takes longer hangs.
const IO_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection to a proxy's admin socket.
#[derive(Debug)]
pub struct AdminClient {
    stream: BufReader<UnixStream>,
    /// Path of the socket, for errors.
    path: PathBuf,
}

/// Why a request returned no status. All texts begin with the socket's path.
#[derive(Debug, thiserror::Error)]
pub enum AdminClientError {
    /// Connecting, writing or reading failed or timed out.
    #[error("{}: {source}", path.display())]
    Io {
        /// Path of the socket.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The reply is not a JSON object with a reply's fields, or the proxy closed the connection without one.
    #[error("{}: {source}", path.display())]
    MalformedReply {
        /// Path of the socket.
        path: PathBuf,
        /// What the JSON parser found.
        source: serde_json::Error,
    },
    /// The proxy rejected the request.
    #[error("{}: {message}", path.display())]
    Rejected {
        /// Path of the socket.
        path: PathBuf,
        /// The proxy's reason.
        message: String,
    },
    /// The reply has neither a status nor an error.
    #[error("{}: an empty answer", path.display())]
    EmptyReply {
        /// Path of the socket.
        path: PathBuf,
    },
}

impl AdminClient {
    /// Connects to the proxy that listens at `path`.
    ///
    /// # Errors
    ///
    /// [`AdminClientError::Io`] if no process accepts connections there.
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

    /// Sends a request and waits for its reply, at most 3 s. Returns the status in the reply.
    ///
    /// # Errors
    ///
    /// See [`AdminClientError`].
    pub fn send(&mut self, request: &AdminRequest) -> Result<ProxyStatus, AdminClientError> {
        let line = self.exchange_lines(request)?;
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

    /// Writes a request as a line and reads the line of its reply, truncated to [`MAX_REPLY_BYTES`].
    fn exchange_lines(&mut self, request: &AdminRequest) -> Result<String, AdminClientError> {
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
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
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
