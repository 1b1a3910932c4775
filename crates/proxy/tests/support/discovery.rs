//! A discovery that a test scripts, and the lists that it sends.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};

/// A watch that a proxy has opened.
pub(crate) struct OpenedWatch {
    /// The first line of its request.
    pub(crate) request: String,
    /// Where the lists go that answer it.
    pub(crate) lists: Sender<String>,
}

/// An entry of an endpoint list.
pub(crate) fn endpoint_json(index: usize, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"s-{index}","endpoint":"{address}","az":"a","state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// An endpoint list, as one line of a watch.
pub(crate) fn list_line(revision: u32, complete: bool, endpoints: &[String]) -> String {
    format!(
        "{{\"rev\":{revision},\"all\":{complete},\"targets\":[{}]}}\n",
        endpoints.join(",")
    )
}

/// Answers each watch with its head and then what the test sends, a chunk each; an empty text ends the watch.
pub(crate) fn serve_discovery(listener: TcpListener) -> Receiver<OpenedWatch> {
    let (opened, watches) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = String::new();
            BufReader::new(&stream).read_line(&mut request).unwrap();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .unwrap();
            let (lists, to_send) = channel::<String>();
            std::thread::spawn(move || {
                for text in to_send.iter().take_while(|text| !text.is_empty()) {
                    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
                }
            });
            if opened.send(OpenedWatch { request, lists }).is_err() {
                return;
            }
        }
    });
    watches
}
