//! The wire formats: bounded parsers and writers without I/O.
//!
//! - [`mod@line`] splits input into lines that end with CRLF; [`client`] and [`server`] parse and write the lines of
//!   clients and servers.
//! - [`discovery`] parses the endpoint list, which is encoded as [`json`] and received by [`http_client`].
//! - [`http_server`] parses operators' HTTP requests and writes the responses.

pub mod client;
pub mod discovery;
pub mod http_client;
pub mod http_server;
pub mod json;
pub mod line;
pub mod server;
