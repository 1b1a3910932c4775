//! One connection: its socket, what came and waits to be passed on, what waits to be written.

use super::buffer::ReadBuffer;
use super::poller::Interest;
use super::socket;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{Errno, read, write, writev};
use std::io::IoSlice;

/// How the other side ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Fin,
    Reset,
}

#[derive(Debug)]
pub struct BufferedStream {
    fd: OwnedFd,
    pub inbound: ReadBuffer,
    /// Rest of texts of our own that the socket did not take at once.
    unsent: Vec<u8>,
    /// What is watched for.
    pub interest: Interest,
    pub ended: Option<StreamEnd>,
}

impl AsFd for BufferedStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.fd.as_fd()
    }
}

impl BufferedStream {
    pub fn new(fd: OwnedFd, want: Interest) -> BufferedStream {
        BufferedStream {
            fd,
            inbound: ReadBuffer::default(),
            unsent: Vec::new(),
            interest: want,
            ended: None,
        }
    }

    /// One that another process held, with what it had read and not passed on.
    pub fn inherited(fd: OwnedFd, bytes: &[u8]) -> Option<BufferedStream> {
        let mut stream = BufferedStream::new(
            fd,
            Interest {
                read: true,
                write: false,
            },
        );
        (bytes.len() <= ReadBuffer::CAPACITY)
            .then(|| stream.inbound.append(bytes))
            .map(|()| stream)
    }

    /// One read, so that a turn of the loop is bounded for each connection. A break that reading does not
    /// show, as nothing may be read for want of room, is taken note of too.
    pub fn read_once(&mut self, broken: bool) {
        let mut bytes = [0; ReadBuffer::CAPACITY];
        let room = self.inbound.free_space();
        if self.ended.is_none() && room > 0 {
            match read(&self.fd, &mut bytes[..room]) {
                Ok(0) => self.ended = Some(StreamEnd::Fin),
                Ok(n) => self.inbound.append(&bytes[..n]),
                Err(Errno::AGAIN | Errno::INTR) => {}
                Err(_) => self.ended = Some(StreamEnd::Reset),
            }
        }
        if broken && !self.is_connected() {
            self.ended = Some(StreamEnd::Reset);
        }
    }

    /// Reads what is there, up to so many bytes, and forgets it.
    pub fn discard_input(&mut self, most: usize) {
        let mut bytes = [0; ReadBuffer::CAPACITY];
        for _ in 0..most.div_ceil(bytes.len()) {
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

    /// Whether more may come and there is room for it.
    pub fn can_read(&self) -> bool {
        self.ended.is_none() && self.inbound.free_space() > 0
    }

    /// Writes what the socket takes of another stream's bytes.
    pub fn forward(&self, bytes: &[u8]) -> Result<usize, StreamEnd> {
        if !self.unsent.is_empty() || bytes.is_empty() {
            return Ok(0);
        }
        match write(&self.fd, bytes) {
            Err(Errno::AGAIN | Errno::INTR) => Ok(0),
            written => written.map_err(|_| StreamEnd::Reset),
        }
    }

    /// Writes a text of ours, given in parts, and keeps what the socket does not take.
    pub fn send(&mut self, parts: &[&[u8]]) {
        let mut done = 0;
        if self.unsent.is_empty() && parts.iter().any(|part| !part.is_empty()) {
            let slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
            let written = writev(&self.fd, &slices);
            done = self.count(written);
        }
        for part in parts {
            let skip = done.min(part.len());
            done -= skip;
            self.unsent.extend_from_slice(&part[skip..]);
        }
    }

    pub fn flush(&mut self) {
        if !self.unsent.is_empty() {
            let written = write(&self.fd, &self.unsent);
            let done = self.count(written);
            self.unsent.drain(..done);
        }
    }

    /// Whether all texts of ours are written to the last byte.
    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    fn count(&mut self, written: Result<usize, Errno>) -> usize {
        match written {
            Ok(n) => return n,
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(_) => self.ended = Some(StreamEnd::Reset),
        }
        0
    }

    /// Whether nothing broke it, or, asked once it can be written to, whether it came up.
    pub fn is_connected(&self) -> bool {
        socket::take_error(&self.fd).is_ok()
    }

    pub fn shutdown_write(&self) {
        socket::shutdown_write(&self.fd);
    }

    pub fn reset(self) {
        socket::close_with_reset(self.fd);
    }
}
