//! Requests to the admin HTTP listener.

use super::TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Sends a request without a body; returns the response's status and body, or 0 and nothing if there is no response.
pub(crate) fn http_call(address: SocketAddr, method_and_path: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return (0, String::new());
    };
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
        .write_all(format!("{method_and_path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())
        .unwrap();
    read_response(stream)
}

/// Reads a response to its end; returns its status, 0 if there is no valid one, and its body.
pub(crate) fn read_response(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    let body = text
        .split_once("\r\n\r\n")
        .map(|(_, body)| body.to_string())
        .unwrap_or_default();
    (status, body)
}

/// The value of a metric in `GET /ops/stats`; the name includes the labels.
pub(crate) fn metric_value(admin_http: SocketAddr, name: &str) -> f64 {
    let (status, text) = http_call(admin_http, "GET /ops/stats");
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    assert_eq!(status, 200);
    value.unwrap_or_else(|| panic!("no {name} in {text}"))
}
