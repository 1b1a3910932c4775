//! Non-blocking sockets, readiness and timers. Knows no protocol.
//!
//! - [`poller`] waits for readiness of registered sockets (epoll, level-triggered).
//! - [`stream`] is one connection with its bounded [`ReadBuffer`] and its unsent output.
//! - [`slots`] gives each connection a key that is never mistaken for a later one's.
//! - [`deadlines`] orders the times at which something is due.
//! - [`socket`] and [`seqpacket`] are the system calls on TCP sockets and on Unix sockets that carry file descriptors.

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
