//! A discovery service scripted by the test, and the endpoint lists that it sends.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};

/// A watch that a proxy has opened.
pub(crate) struct OpenedWatch {
    /// The first line of its HTTP request.
    pub(crate) request: String,
    /// Sends the proxy chunks of the response, usually an endpoint list each; an empty text ends the watch.
    pub(crate) lists: Sender<String>,
}

/// The JSON of one endpoint as discovery lists it, with uid `s-{index}` in zone `a`.
pub(crate) fn endpoint_json(index: usize, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"s-{index}","endpoint":"{address}","az":"a","state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// An endpoint list as one line of a watch's response. A complete list replaces the one before; any other changes it.
pub(crate) fn list_line(revision: u32, complete: bool, endpoints: &[String]) -> String {
    format!(
        "{{\"rev\":{revision},\"all\":{complete},\"targets\":[{}]}}\n",
        endpoints.join(",")
    )
}

/// Accepts watches and returns them as they are opened. The response to each is a head at once, then a chunk for each
/// text that the test sends; an empty text ends the chunks.
pub(crate) fn serve_discovery(listener: TcpListener) -> Receiver<OpenedWatch> {
    let (watch_sender, watches) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = String::new();
            BufReader::new(&stream).read_line(&mut request).unwrap();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .unwrap();
            let (lists, texts) = channel::<String>();
            std::thread::spawn(move || {
                for text in texts.iter().take_while(|text| !text.is_empty()) {
                    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
                }
            });
            if watch_sender.send(OpenedWatch { request, lists }).is_err() {
                return;
            }
        }
    });
    watches
}
