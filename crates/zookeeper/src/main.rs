//! The stub store as a TCP server, for tests. It listens on each address given on the command line, as the members of
//! one store do, and prints each bound address on a line of its own.
//!
//! Lines on standard input inject faults into all members:
//!
//! - `mute`: received bytes are discarded and nothing is sent, until `speak`.
//! - `refuse`: new connections are closed at once, until `accept`.
//! - `expire`: all sessions end.
//! - `drop`: all connections are closed; their sessions are kept until they expire.
//!
//! `done` and the line are printed after each. The program ends at the end of its standard input.

use asterramp_zookeeper::frame::FrameReader;
use asterramp_zookeeper::jute::DecodeError;
use asterramp_zookeeper::store::{ConnectionId, StoreEffect, StubStore};
use std::collections::HashMap;
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval between checks for expired sessions.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest session timeout that is granted; below a real store's usual minimum, so that tests are short.
const MIN_SESSION_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest session timeout that is granted.
const MAX_SESSION_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time that a write to a client that doesn't read may block the store; the connection is then closed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// Most open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1_000;
/// Most bytes that are read from a connection at once.
const READ_BUFFER_BYTES: usize = 4096;
/// Exit code if binding to an address fails.
const EXIT_LISTEN_FAILED: i32 = 1;
/// Exit code if no address is given.
const EXIT_USAGE: i32 = 2;

/// The store, its connections and the faults in effect.
struct ServerState {
    store: StubStore,
    /// Writing ends of the open connections.
    connections: HashMap<ConnectionId, TcpStream>,
    /// Number of the last accepted connection.
    last_connection_id: ConnectionId,
    /// Received bytes are discarded, and nothing is sent.
    muted: bool,
    /// New connections are closed at once.
    refusing: bool,
}

/// State that is shared by all threads.
struct Server {
    state: Mutex<ServerState>,
    /// Origin of the times that are passed to the store.
    started: Instant,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

impl ServerState {
    /// Performs the store's effects. A client that doesn't read is waited for no longer than [`WRITE_TIMEOUT`].
    fn perform(&mut self, effects: Vec<StoreEffect>) {
        for effect in effects {
            match effect {
                StoreEffect::Send(connection, frame) if !self.muted => {
                    self.send(connection, &frame);
                }
                StoreEffect::Send(..) => {}
                StoreEffect::CloseConnection(connection) => self.close(connection),
            }
        }
    }

    fn send(&mut self, connection: ConnectionId, frame: &[u8]) {
        let Some(mut stream) = self.connections.get(&connection) else {
            return;
        };
        let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
        bytes.extend(frame);
        if stream.write_all(&bytes).is_err() {
            self.close(connection);
        }
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(stream) = self.connections.remove(&connection) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.store.connection_closed(connection);
    }

    /// Passes the frames that have been received completely to the store.
    fn handle_frames(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        frames: &mut FrameReader,
    ) -> Result<(), DecodeError> {
        while let Some(frame) = frames.next_frame()? {
            let mut effects = Vec::new();
            let result = self
                .store
                .receive_frame(now, connection, frame, &mut effects);
            self.perform(effects);
            result?;
        }
        Ok(())
    }

    fn expire_sessions(&mut self) {
        let sessions: Vec<i64> = self.store.session_ids().collect();
        let mut effects = Vec::new();
        for session in sessions {
            self.store.end_session(session, &mut effects);
        }
        self.perform(effects);
    }

    fn drop_connections(&mut self) {
        let connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for connection in connections {
            self.close(connection);
        }
    }

    /// Performs a command from standard input: begins or ends a fault.
    fn inject_fault(&mut self, command: &str) {
        match command {
            "mute" => self.muted = true,
            "speak" => self.muted = false,
            "refuse" => self.refusing = true,
            "accept" => self.refusing = false,
            "expire" => self.expire_sessions(),
            "drop" => self.drop_connections(),
            other => eprintln!("asterramp-zookeeper-stub: unknown command {other:?}"),
        }
    }
}

/// Serves one connection until it is closed.
fn serve(server: &Server, connection: ConnectionId, mut stream: TcpStream) {
    let mut frames = FrameReader::default();
    let mut bytes = [0; READ_BUFFER_BYTES];
    while let Ok(count) = stream.read(&mut bytes) {
        if count == 0 {
            break;
        }
        frames.append(&bytes[..count]);
        let mut state = server.lock();
        if state.muted {
            // Bytes received while muted are discarded, as by a store that hangs and is then restarted.
            frames = FrameReader::default();
            continue;
        }
        if state
            .handle_frames(server.now(), connection, &mut frames)
            .is_err()
        {
            return state.close(connection);
        }
    }
    server.lock().close(connection);
}

/// Accepts connections and serves each on a thread of its own.
fn accept_connections(server: Arc<Server>, listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        let mut state = server.lock();
        if state.refusing || state.connections.len() >= MAX_CONNECTIONS {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let Ok(writer) = stream.try_clone() else {
            continue;
        };
        state.last_connection_id += 1;
        let connection = state.last_connection_id;
        state.connections.insert(connection, writer);
        drop(state);
        let server = server.clone();
        std::thread::spawn(move || serve(&server, connection, stream));
    }
}

/// Listens on an address and prints the bound one, for callers that pass port 0.
fn listen(server: &Arc<Server>, address: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr();
    println!(
        "{}",
        bound.map(|address| address.to_string()).unwrap_or_default()
    );
    let server = server.clone();
    std::thread::spawn(move || accept_connections(server, listener));
    Ok(())
}

/// Ends expired sessions every [`TICK_INTERVAL`]; never returns.
fn run_session_timer(server: &Server) {
    loop {
        std::thread::sleep(TICK_INTERVAL);
        let now = server.now();
        let mut effects = Vec::new();
        let mut state = server.lock();
        state.store.tick(now, &mut effects);
        state.perform(effects);
    }
}

fn main() {
    let addresses: Vec<String> = std::env::args().skip(1).collect();
    if addresses.is_empty() {
        eprintln!(
            "asterramp-zookeeper-stub: no listen address given, expected for example 127.0.0.1:2181"
        );
        std::process::exit(EXIT_USAGE);
    }
    let state = ServerState {
        store: StubStore::new(MIN_SESSION_TIMEOUT, MAX_SESSION_TIMEOUT),
        connections: HashMap::new(),
        last_connection_id: 0,
        muted: false,
        refusing: false,
    };
    let server = Arc::new(Server {
        state: Mutex::new(state),
        started: Instant::now(),
    });
    for address in addresses {
        if let Err(error) = listen(&server, &address) {
            eprintln!("asterramp-zookeeper-stub: cannot listen on {address}: {error}");
            std::process::exit(EXIT_LISTEN_FAILED);
        }
    }
    let timer_server = server.clone();
    std::thread::spawn(move || run_session_timer(&timer_server));
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let command = line.trim();
        let mut state = server.lock();
        state.inject_fault(command);
        println!("done {command}");
    }
}
