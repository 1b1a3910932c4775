//! Bytes to meanings and back: pure functions, bounded. The wire's words end here.

pub mod client;
pub mod discovery;
pub mod http_client;
pub mod http_server;
pub mod json;
pub mod line;
pub mod server;
