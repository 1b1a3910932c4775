//! One non-blocking connection: its socket, the input that is not consumed yet and the output that is not written yet.

use super::buffer::ReadBuffer;
use super::poller::Interest;
use super::socket;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{Errno, read, write, writev};
use std::io::IoSlice;

/// How the peer ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// With an end of file.
    Fin,
    /// With a reset, or by another error.
    Reset,
}

/// A connection with its buffers. Errors of the socket are recorded in [`ended`](BufferedStream::ended).
#[derive(Debug)]
pub struct BufferedStream {
    fd: OwnedFd,
    /// Input not yet consumed, within [`ReadBuffer::CAPACITY`].
    pub inbound: ReadBuffer,
    /// The part of the proxy's own messages that the socket has not accepted yet.
    unsent: Vec<u8>,
    /// The interest with which the socket is registered at the poller.
    pub interest: Interest,
    /// How the peer ended the connection, once it has.
    pub ended: Option<StreamEnd>,
}

impl AsFd for BufferedStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.fd.as_fd()
    }
}

impl BufferedStream {
    /// A connection with empty buffers.
    pub fn new(fd: OwnedFd, interest: Interest) -> BufferedStream {
        BufferedStream {
            fd,
            inbound: ReadBuffer::default(),
            unsent: Vec::new(),
            interest,
            ended: None,
        }
    }

    /// A connection inherited from another process, with the input that the process had read and not consumed. `None`
    /// if that input is longer than [`ReadBuffer::CAPACITY`].
    pub fn inherited(fd: OwnedFd, inbound: &[u8]) -> Option<BufferedStream> {
        if inbound.len() > ReadBuffer::CAPACITY {
            return None;
        }
        let mut stream = BufferedStream::new(fd, Interest::READ);
        stream.inbound.append(inbound);
        Some(stream)
    }

    /// Reads once, which bounds the work for each connection in one iteration of the event loop.
    ///
    /// With `failed`, the socket's pending error is checked as well, because nothing is read while the buffer is full.
    pub fn read_once(&mut self, failed: bool) {
        let mut bytes = [0; ReadBuffer::CAPACITY];
        let free_space = self.inbound.free_space();
        if self.ended.is_none() && free_space > 0 {
            match read(&self.fd, &mut bytes[..free_space]) {
                Ok(0) => self.ended = Some(StreamEnd::Fin),
                Ok(count) => self.inbound.append(&bytes[..count]),
                Err(Errno::AGAIN | Errno::INTR) => {}
                Err(_) => self.ended = Some(StreamEnd::Reset),
            }
        }
        if failed {
            self.check_reset();
        }
    }

    /// Checks the socket's pending error, without reading.
    pub fn check_reset(&mut self) {
        if !self.is_connected() {
            self.ended = Some(StreamEnd::Reset);
        }
    }

    /// Reads and discards input: at most `max_bytes`, rounded up to a multiple of the read size.
    pub fn discard_input(&mut self, max_bytes: usize) {
        let mut bytes = [0; ReadBuffer::CAPACITY];
        for _ in 0..max_bytes.div_ceil(bytes.len()) {
            if self.ended.is_some() {
                return;
            }
            match read(&self.fd, &mut bytes) {
                Ok(0) => self.ended = Some(StreamEnd::Fin),
                Ok(_) | Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return,
                Err(_) => self.ended = Some(StreamEnd::Reset),
            }
        }
    }

    /// Whether the peer may send more input and the buffer has space for it.
    pub fn can_read(&self) -> bool {
        self.ended.is_none() && self.inbound.free_space() > 0
    }

    /// Writes forwarded bytes and returns how many the socket accepted: none while messages of the proxy's own are
    /// unsent.
    pub fn forward(&self, bytes: &[u8]) -> Result<usize, StreamEnd> {
        if !self.unsent.is_empty() || bytes.is_empty() {
            return Ok(0);
        }
        match write(&self.fd, bytes) {
            Err(Errno::AGAIN | Errno::INTR) => Ok(0),
            written => written.map_err(|_| StreamEnd::Reset),
        }
    }

    /// Writes a message of the proxy's own, given in parts, and keeps the rest that the socket does not accept.
    pub fn send(&mut self, parts: &[&[u8]]) {
        let mut written = 0;
        if self.unsent.is_empty() && parts.iter().any(|part| !part.is_empty()) {
            let slices: Vec<IoSlice<'_>> = parts.iter().map(|part| IoSlice::new(part)).collect();
            let result = writev(&self.fd, &slices);
            written = self.written_bytes(result);
        }
        for part in parts {
            let skipped = written.min(part.len());
            written -= skipped;
            self.unsent.extend_from_slice(&part[skipped..]);
        }
    }

    /// Writes as much of the unsent messages as the socket accepts.
    pub fn flush(&mut self) {
        if !self.unsent.is_empty() {
            let result = write(&self.fd, &self.unsent);
            let written = self.written_bytes(result);
            self.unsent.drain(..written);
        }
    }

    /// Whether all messages of the proxy's own are completely written.
    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    /// How many bytes a write accepted; an error of the connection is recorded in `ended`.
    fn written_bytes(&mut self, result: Result<usize, Errno>) -> usize {
        match result {
            Ok(count) => count,
            Err(Errno::AGAIN | Errno::INTR) => 0,
            Err(_) => {
                self.ended = Some(StreamEnd::Reset);
                0
            }
        }
    }

    /// Whether the socket has no pending error, which the call clears. When a new connection first becomes writable,
    /// this is whether it was established.
    pub fn is_connected(&self) -> bool {
        socket::take_error(&self.fd).is_ok()
    }

    /// Closes the sending direction, so that the peer reads an end of file.
    pub fn shutdown_write(&self) {
        socket::shutdown_write(&self.fd);
    }

    /// Closes with a reset.
    pub fn reset(self) {
        socket::close_with_reset(self.fd);
    }
}
