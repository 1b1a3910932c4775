//! The wire formats: parsers and writers as pure functions with bounds, without I/O.
//!
//! - [`mod@line`] finds lines ended by CRLF; [`client`] and [`server`] are what these say.
//! - [`discovery`] is the endpoint list, written in [`json`] and carried by [`http_client`].
//! - [`http_server`] is what operators call.

pub mod client;
pub mod discovery;
pub mod http_client;
pub mod http_server;
pub mod json;
pub mod line;
pub mod server;
