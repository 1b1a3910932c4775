//! A client's or a server's end of a connection to the proxy.

use super::QUIET_TIME;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Longest wait for a line. It covers lines that the proxy delays on purpose.
const LINE_TIMEOUT: Duration = Duration::from_secs(6);

/// One end of a connection, read line by line.
pub(crate) struct LineConnection(pub(crate) BufReader<TcpStream>);

impl LineConnection {
    /// Wraps a stream; its reads fail after [`LINE_TIMEOUT`].
    pub(crate) fn from_stream(stream: TcpStream) -> LineConnection {
        stream.set_read_timeout(Some(LINE_TIMEOUT)).unwrap();
        LineConnection(BufReader::new(stream))
    }

    /// Sends a text.
    pub(crate) fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next line without its CRLF; `FIN` or `RST` if the connection has ended, the error's text if reading fails otherwise.
    pub(crate) fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => "FIN".into(),
            Ok(_) => line.strip_suffix("\r\n").unwrap_or(&line).into(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => "RST".into(),
            Err(error) => format!("{error}"),
        }
    }

    /// The next line, if any input arrives within this time.
    pub(crate) fn read_line_within(&mut self, time: Duration) -> Option<String> {
        self.has_input_within(time).then(|| self.read_line())
    }

    /// Whether no input arrives within [`QUIET_TIME`].
    pub(crate) fn is_quiet(&mut self) -> bool {
        !self.has_input_within(QUIET_TIME)
    }

    /// Whether input or a `FIN` arrives within this time.
    fn has_input_within(&mut self, time: Duration) -> bool {
        self.0.get_ref().set_read_timeout(Some(time)).unwrap();
        let has_input = self.0.fill_buf().is_ok();
        let stream = self.0.get_ref();
        stream.set_read_timeout(Some(LINE_TIMEOUT)).unwrap();
        has_input
    }

    /// Ends the connection, with `FIN` or, if `how` is `RST`, with a reset: closing a socket with unread input resets it, so
    /// the peer sends some first.
    pub(crate) fn close(mut self, how: &str, peer: &mut LineConnection) {
        if how == "RST" {
            peer.send("unread\r\n");
            std::thread::sleep(Duration::from_millis(100));
        } else {
            self.0.get_mut().shutdown(Shutdown::Both).unwrap();
        }
    }
}
