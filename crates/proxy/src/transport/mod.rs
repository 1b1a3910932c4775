//! Sockets, and what waits for them. Knows no protocol.

pub mod buffer;
pub mod deadlines;
pub mod poller;
pub mod seqpacket;
pub mod slots;
pub mod socket;
pub mod stream;

pub use buffer::ReadBuffer;
pub use deadlines::Deadlines;
pub use poller::Poller;
pub use slots::{SlotKey, SlotMap};
pub use stream::{BufferedStream, StreamEnd};
