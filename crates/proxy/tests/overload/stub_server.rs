//! Servers that open each session.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Stack of a thread that serves one connection.
const STACK_BYTES: usize = 128 << 10;

/// What a server does once a session is open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerBehaviour {
    /// Sends each line back.
    Echo,
    /// Sends each line back to clients of listener `feed`, and this line at full speed to those of listener `order`.
    EchoAndFlood(&'static str),
    /// Reads nothing more, and sends lines, the last of them cut off half way, until nothing more is taken.
    SendAndStop,
}

/// Serves all connections that a listener accepts.
pub(crate) fn serve(listener: &TcpListener, behaviour: ServerBehaviour) {
    let listener = listener.try_clone().unwrap();
    listener.set_nonblocking(false).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = move || serve_connection(stream, behaviour);
            let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
            builder.spawn(serve).unwrap();
        }
    });
}

fn serve_connection(stream: TcpStream, behaviour: ServerBehaviour) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    if reader.read_line(&mut line).is_err() || (&stream).write_all(b"UP r1\r\n").is_err() {
        return;
    }
    match behaviour {
        ServerBehaviour::EchoAndFlood(flood) if line.contains("c=order") => {
            let lines = flood.repeat(8_192 / flood.len());
            while (&stream).write_all(lines.as_bytes()).is_ok() {}
        }
        ServerBehaviour::Echo | ServerBehaviour::EchoAndFlood(_) => echo(reader, &stream),
        ServerBehaviour::SendAndStop => {
            let lines = "line\r\n".repeat(4_000) + &"x".repeat(4_000);
            let _ = (&stream).write_all(lines.as_bytes());
            wait_for_end(&stream);
        }
    }
}

fn echo(mut reader: BufReader<TcpStream>, mut stream: &TcpStream) {
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
        if stream.write_all(line.as_bytes()).is_err() {
            return;
        }
        line.clear();
    }
}

/// Keeps a connection open without reading from it, until it takes no more bytes.
fn wait_for_end(mut stream: &TcpStream) {
    while stream.write_all(b"x").is_ok() {
        std::thread::sleep(Duration::from_millis(100));
    }
}
