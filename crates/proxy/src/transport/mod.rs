//! Non-blocking sockets, readiness and timers, independent of the protocols above them.
//!
//! - [`poller`] waits for readiness of registered sockets (epoll, level-triggered).
//! - [`stream`] is one connection with its bounded [`ReadBuffer`] and its unsent output.
//! - [`slots`] stores connections under keys that are never used again for a later connection.
//! - [`deadlines`] is the timer queue.
//! - [`socket`] wraps the system calls on TCP and Unix stream sockets, [`seqpacket`] those on Unix sockets that carry
//!   file descriptors.

pub mod buffer;
pub mod deadlines;
pub mod poller;
pub mod seqpacket;
pub mod slots;
pub mod socket;
pub mod stream;

pub use buffer::ReadBuffer;
pub use deadlines::Deadlines;
pub use poller::{Interest, Poller, ReadyEvent};
pub use slots::{SlotKey, SlotMap};
pub use stream::{BufferedStream, StreamEnd};
