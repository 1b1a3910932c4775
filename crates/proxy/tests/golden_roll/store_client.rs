//! A simple store client with which tests set up and read nodes.

use super::PLAN_PATH;
use super::support::ZooKeeperStub;
use asterramp_zookeeper::frame::{FrameReader, write_frame};
use asterramp_zookeeper::jute::{DecodeError, JuteReader};
use asterramp_zookeeper::record::{
    ConnectRequest, ConnectResponse, NodeStat, ReplyHeader, StoreError, StoreRequest,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for a reply from the store.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a store that already contains a plan.
pub(crate) fn store_with_plan(plan: &str) -> ZooKeeperStub {
    let store = ZooKeeperStub::start();
    let mut client = StoreClient::connect(store.address);
    client.create("/asterramp", "");
    client.create(PLAN_PATH, plan);
    store
}

/// The text of the plan in a store.
pub(crate) fn stored_plan(store: &ZooKeeperStub) -> String {
    StoreClient::connect(store.address).data(PLAN_PATH).0
}

/// A store client with at most one request in flight.
pub(crate) struct StoreClient {
    stream: TcpStream,
    frames: FrameReader,
    request_id: i32,
}

impl StoreClient {
    /// Connects and opens a session.
    pub(crate) fn connect(address: SocketAddr) -> StoreClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(REPLY_TIMEOUT)).unwrap();
        let mut client = StoreClient {
            stream,
            frames: FrameReader::default(),
            request_id: 0,
        };
        let connect = ConnectRequest {
            timeout_ms: 10_000,
            password: vec![0; 16],
            ..ConnectRequest::default()
        };
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| connect.write(out));
        client.stream.write_all(&bytes).unwrap();
        let connected = ConnectResponse::read(&client.next_frame()).unwrap();
        assert!(connected.timeout_ms > 0);
        client
    }

    /// Waits for the next frame.
    fn next_frame(&mut self) -> Vec<u8> {
        let mut bytes = [0; 4096];
        loop {
            if let Some(frame) = self.frames.next_frame().unwrap() {
                return frame.to_vec();
            }
            let count = self.stream.read(&mut bytes).unwrap();
            assert!(count > 0, "the store has closed the connection");
            self.frames.append(&bytes[..count]);
        }
    }

    /// Sends a request and reads the body of its reply; fails if the store rejects the request.
    fn send<T>(
        &mut self,
        request: &StoreRequest,
        read: impl FnOnce(&mut JuteReader<'_>) -> Result<T, DecodeError>,
    ) -> Result<T, StoreError> {
        self.request_id += 1;
        let request_id = self.request_id;
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| request.write(request_id, out));
        self.stream.write_all(&bytes).unwrap();
        let frame = self.next_frame();
        let mut reader = JuteReader::new(&frame);
        let header = ReplyHeader::read(&mut reader).unwrap();
        assert_eq!(header.xid, request_id);
        match StoreError::from_code(header.error_code) {
            Some(error) => Err(error),
            None => Ok(read(&mut reader).unwrap()),
        }
    }

    /// Creates a persistent node.
    pub(crate) fn create(&mut self, path: &str, data: &str) {
        let request = StoreRequest::Create {
            path: path.into(),
            data: data.into(),
            ephemeral: false,
        };
        self.send(&request, |reader| reader.string().map(drop))
            .unwrap();
    }

    /// A node's data and its metadata.
    pub(crate) fn data(&mut self, path: &str) -> (String, NodeStat) {
        let request = StoreRequest::GetData {
            path: path.into(),
            watch: false,
        };
        let read = |reader: &mut JuteReader<'_>| {
            let data = reader.buffer()?.unwrap_or_default().to_vec();
            Ok((String::from_utf8(data).unwrap(), NodeStat::read(reader)?))
        };
        self.send(&request, read).unwrap()
    }

    /// The names of a node's children; none if the node doesn't exist.
    pub(crate) fn children(&mut self, path: &str) -> Vec<String> {
        let request = StoreRequest::GetChildren {
            path: path.into(),
            watch: false,
        };
        let read =
            |reader: &mut JuteReader<'_>| reader.vector(|reader| Ok(reader.string()?.to_string()));
        self.send(&request, read).unwrap_or_default()
    }
}
