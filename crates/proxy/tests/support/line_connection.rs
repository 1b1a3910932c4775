//! One end of a connection, read line by line.

use super::QUIET_TIME;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How long a line may take that the proxy holds back for some time.
const LINE_TIMEOUT: Duration = Duration::from_secs(6);

/// One end of a connection, read line by line.
pub(crate) struct LineConnection(pub(crate) BufReader<TcpStream>);

impl LineConnection {
    /// A connection whose reads end after a time.
    pub(crate) fn from_stream(stream: TcpStream) -> LineConnection {
        stream.set_read_timeout(Some(LINE_TIMEOUT)).unwrap();
        LineConnection(BufReader::new(stream))
    }

    /// Sends a text.
    pub(crate) fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next line without its end; `FIN` or `RST` where the connection ends.
    pub(crate) fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => "FIN".into(),
            Ok(_) => line.strip_suffix("\r\n").unwrap_or(&line).into(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => "RST".into(),
            Err(error) => format!("{error}"),
        }
    }

    /// The next line, if something comes within a time.
    pub(crate) fn read_line_within(&mut self, time: Duration) -> Option<String> {
        self.has_input_within(time).then(|| self.read_line())
    }

    /// Whether nothing comes for a while.
    pub(crate) fn is_quiet(&mut self) -> bool {
        !self.has_input_within(QUIET_TIME)
    }

    fn has_input_within(&mut self, time: Duration) -> bool {
        self.0.get_ref().set_read_timeout(Some(time)).unwrap();
        let has_input = self.0.fill_buf().is_ok();
        let stream = self.0.get_ref();
        stream.set_read_timeout(Some(LINE_TIMEOUT)).unwrap();
        has_input
    }

    /// Ends the connection: `FIN` in good order, `RST` by closing over bytes that were not read.
    pub(crate) fn close(mut self, how: &str, peer: &mut LineConnection) {
        if how == "RST" {
            peer.send("unread\r\n");
            std::thread::sleep(Duration::from_millis(100));
        } else {
            self.0.get_mut().shutdown(Shutdown::Both).unwrap();
        }
    }
}
