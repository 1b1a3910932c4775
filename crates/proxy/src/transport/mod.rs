//! Sockets, and what waits for them. Knows no protocol.

pub mod buffer;
pub mod deadlines;
pub mod link;
pub mod poll;
pub mod slots;
pub mod socket;
pub mod stream;

pub use buffer::Buffer;
pub use deadlines::Deadlines;
pub use poll::Poll;
pub use slots::{Key, Slots};
pub use stream::{End, Stream};
