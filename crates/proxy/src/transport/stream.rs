//! One connection: its socket, what came and waits to be passed on, what waits to be written.

use super::buffer::Buffer;
use super::poll::Want;
use super::socket;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{Errno, read, write, writev};
use std::io::IoSlice;

/// How the other side ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Fin,
    Reset,
}

#[derive(Debug)]
pub struct Stream {
    fd: OwnedFd,
    pub inbound: Buffer,
    /// Rest of texts of our own that the socket did not take at once.
    unsent: Vec<u8>,
    /// What is watched for.
    pub want: Want,
    pub ended: Option<End>,
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.fd.as_fd()
    }
}

impl Stream {
    pub fn new(fd: OwnedFd, want: Want) -> Stream {
        Stream {
            fd,
            inbound: Buffer::default(),
            unsent: Vec::new(),
            want,
            ended: None,
        }
    }

    /// One that another process held, with what it had read and not passed on.
    pub fn taken(fd: OwnedFd, bytes: &[u8]) -> Option<Stream> {
        let mut stream = Stream::new(
            fd,
            Want {
                read: true,
                write: false,
            },
        );
        (bytes.len() <= Buffer::LIMIT)
            .then(|| stream.inbound.push(bytes))
            .map(|()| stream)
    }

    /// One read, so that a turn of the loop is bounded for each connection. A break that reading does not
    /// show, as nothing may be read for want of room, is taken note of too.
    pub fn fill(&mut self, broken: bool) {
        let mut bytes = [0; Buffer::LIMIT];
        let room = self.inbound.room();
        if self.ended.is_none() && room > 0 {
            match read(&self.fd, &mut bytes[..room]) {
                Ok(0) => self.ended = Some(End::Fin),
                Ok(n) => self.inbound.push(&bytes[..n]),
                Err(Errno::AGAIN | Errno::INTR) => {}
                Err(_) => self.ended = Some(End::Reset),
            }
        }
        if broken && !self.is_up() {
            self.ended = Some(End::Reset);
        }
    }

    /// Reads what is there, up to so many bytes, and forgets it.
    pub fn discard(&mut self, most: usize) {
        let mut bytes = [0; Buffer::LIMIT];
        for _ in 0..most.div_ceil(bytes.len()) {
            if self.ended.is_some() {
                return;
            }
            match read(&self.fd, &mut bytes) {
                Ok(0) => self.ended = Some(End::Fin),
                Ok(_) | Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return,
                Err(_) => self.ended = Some(End::Reset),
            }
        }
    }

    /// Whether more may come and there is room for it.
    pub fn may_read(&self) -> bool {
        self.ended.is_none() && self.inbound.room() > 0
    }

    /// Writes what the socket takes of another stream's bytes.
    pub fn pass(&self, bytes: &[u8]) -> Result<usize, End> {
        if !self.unsent.is_empty() || bytes.is_empty() {
            return Ok(0);
        }
        match write(&self.fd, bytes) {
            Err(Errno::AGAIN | Errno::INTR) => Ok(0),
            written => written.map_err(|_| End::Reset),
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
    pub fn sent(&self) -> bool {
        self.unsent.is_empty()
    }

    fn count(&mut self, written: Result<usize, Errno>) -> usize {
        match written {
            Ok(n) => return n,
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(_) => self.ended = Some(End::Reset),
        }
        0
    }

    /// Whether nothing broke it, or, asked once it can be written to, whether it came up.
    pub fn is_up(&self) -> bool {
        socket::fault(&self.fd).is_ok()
    }

    pub fn end_sending(&self) {
        socket::end_sending(&self.fd);
    }

    pub fn reset(self) {
        socket::reset(self.fd);
    }
}
