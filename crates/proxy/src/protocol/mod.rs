//! Bytes to meanings and back: pure functions, bounded. The wire's words end here.

pub mod call;
pub mod client;
pub mod discovery;
pub mod http;
pub mod json;
pub mod line;
pub mod server;
