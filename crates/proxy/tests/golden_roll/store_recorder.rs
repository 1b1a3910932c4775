//! Records the requests by which the program changes the store.

use asterramp_zookeeper::frame::FrameReader;
use asterramp_zookeeper::record::{ConnectRequest, StoreRequest};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// A relay between the program and the store, which forwards bytes and records the program's requests.
pub(crate) struct StoreRecorder {
    /// The address at which the program reaches the store.
    pub(crate) address: SocketAddr,
    /// The frames that the program has sent, of all connections.
    frames: Arc<Mutex<Vec<Vec<u8>>>>,
    /// The threads that forward to the store, one for each connection.
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl StoreRecorder {
    /// Starts a relay to a store.
    pub(crate) fn start(store: SocketAddr) -> StoreRecorder {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let recorder = StoreRecorder {
            address,
            frames: Arc::default(),
            connections: Arc::default(),
        };
        let (frames, connections) = (recorder.frames.clone(), recorder.connections.clone());
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let server = TcpStream::connect(store).unwrap();
                let (mut from_store, mut to_client) =
                    (server.try_clone().unwrap(), client.try_clone().unwrap());
                std::thread::spawn(move || std::io::copy(&mut from_store, &mut to_client));
                let frames = frames.clone();
                let connection =
                    std::thread::spawn(move || StoreRecorder::forward(client, server, &frames));
                connections.lock().unwrap().push(connection);
            }
        });
        recorder
    }

    /// Forwards the program's bytes to the store and records their frames, until the connection ends.
    fn forward(mut client: TcpStream, mut server: TcpStream, recorded: &Mutex<Vec<Vec<u8>>>) {
        let (mut frames, mut bytes) = (FrameReader::default(), [0; 4096]);
        while let Ok(count) = client.read(&mut bytes) {
            if count == 0 || server.write_all(&bytes[..count]).is_err() {
                return;
            }
            frames.append(&bytes[..count]);
            while let Some(frame) = frames.next_frame().unwrap() {
                recorded.lock().unwrap().push(frame.to_vec());
            }
        }
    }

    /// The requests of a program that has ended, a line each. Requests that only read are left out: their number depends on
    /// timing.
    pub(crate) fn writes(&self) -> String {
        for connection in self.connections.lock().unwrap().drain(..) {
            connection.join().unwrap();
        }
        let mut lines = String::new();
        for (nth, frame) in self.frames.lock().unwrap().iter().enumerate() {
            if nth == 0 {
                let connect = ConnectRequest::read(frame).unwrap();
                lines += &format!(
                    "connect timeout={} session={}\n",
                    connect.timeout_ms, connect.session_id
                );
                continue;
            }
            lines += &format_write(StoreRequest::read(frame).unwrap().1);
        }
        lines
    }
}

/// A request that changes the store or ends the session, as a line; empty for any other.
fn format_write(request: StoreRequest) -> String {
    let text = |data: &[u8]| String::from_utf8(data.to_vec()).unwrap();
    match request {
        StoreRequest::Create {
            path,
            data,
            ephemeral,
        } => format!("create {path} ephemeral={ephemeral} data={}\n", text(&data)),
        StoreRequest::SetData {
            path,
            data,
            version,
        } => format!("set-data {path} version={version} data={}\n", text(&data)),
        StoreRequest::Delete { path, version } => format!("delete {path} version={version}\n"),
        StoreRequest::Close => "close\n".to_string(),
        StoreRequest::Multi(requests) => format!("multi of {}\n", requests.len()),
        _ => String::new(),
    }
}
