//! The stub store on sockets, for tests: several listening members of one store, with faults by lines of standard
//! input.
//!
//! `mute` and `speak`: no member answers, and again; `refuse` and `accept`: connections are closed as they come;
//! `expire`: all sessions end; `drop`: all connections break. It ends with its standard input.

use asterramp_zookeeper::frame::FrameReader;
use asterramp_zookeeper::jute::DecodeError;
use asterramp_zookeeper::store::{ConnectionId, StoreEffect, StubStore};
use std::collections::HashMap;
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time between two looks for expired sessions.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Bounds of the session timeout that a client may ask for; short ones make tests short.
const MIN_SESSION_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_SESSION_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a client that doesn't read may hold the store up.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// Most connections at once.
const MAX_CONNECTIONS: usize = 1_000;
/// Bytes of one read.
const READ_LENGTH: usize = 4096;
/// Exit code where an address can't be listened on.
const EXIT_LISTEN_FAILED: i32 = 1;
/// Exit code where no address is given.
const EXIT_USAGE: i32 = 2;

/// The store, its connections and its faults.
struct ServerState {
    store: StubStore,
    connections: HashMap<ConnectionId, TcpStream>,
    last_connection: ConnectionId,
    /// What comes is lost, and nothing is sent.
    muted: bool,
    /// Connections are closed as they come.
    refusing: bool,
}

/// What the threads share.
struct Server {
    state: Mutex<ServerState>,
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
    /// Does what the store wants done. A client that doesn't read is not waited for.
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

    /// Performs the requests that have come whole.
    fn take_frames(
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

    /// Begins or ends the fault that a line names.
    fn inject_fault(&mut self, name: &str) {
        match name {
            "mute" => self.muted = true,
            "speak" => self.muted = false,
            "refuse" => self.refusing = true,
            "accept" => self.refusing = false,
            "expire" => self.expire_sessions(),
            "drop" => self.drop_connections(),
            other => eprintln!("asterramp-zookeeper-stub: {other:?} is no fault"),
        }
    }
}

/// Serves one connection until it ends.
fn serve(server: &Server, connection: ConnectionId, mut stream: TcpStream) {
    let mut frames = FrameReader::default();
    let mut bytes = [0; READ_LENGTH];
    while let Ok(count) = stream.read(&mut bytes) {
        if count == 0 {
            break;
        }
        frames.append(&bytes[..count]);
        let mut state = server.lock();
        if state.muted {
            // What comes meanwhile is lost, as at a store that hangs and is then restarted.
            frames = FrameReader::default();
            continue;
        }
        if state
            .take_frames(server.now(), connection, &mut frames)
            .is_err()
        {
            return state.close(connection);
        }
    }
    server.lock().close(connection);
}

/// Accepts connections, each served by a thread of its own.
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
        state.last_connection += 1;
        let connection = state.last_connection;
        state.connections.insert(connection, writer);
        drop(state);
        let server = server.clone();
        std::thread::spawn(move || serve(&server, connection, stream));
    }
}

/// Listens on an address and prints the one that it became, for callers that leave the port open.
fn listen(server: &Arc<Server>, address: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr();
    println!("{}", bound.map(|at| at.to_string()).unwrap_or_default());
    let server = server.clone();
    std::thread::spawn(move || accept_connections(server, listener));
    Ok(())
}

/// Ends expired sessions, for ever.
fn run_clock(server: &Server) {
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
        eprintln!("asterramp-zookeeper-stub: wants addresses to listen at, as in 127.0.0.1:2181");
        std::process::exit(EXIT_USAGE);
    }
    let state = ServerState {
        store: StubStore::new(MIN_SESSION_TIMEOUT, MAX_SESSION_TIMEOUT),
        connections: HashMap::new(),
        last_connection: 0,
        muted: false,
        refusing: false,
    };
    let server = Arc::new(Server {
        state: Mutex::new(state),
        started: Instant::now(),
    });
    for address in addresses {
        if let Err(error) = listen(&server, &address) {
            eprintln!("asterramp-zookeeper-stub: {address}: {error}");
            std::process::exit(EXIT_LISTEN_FAILED);
        }
    }
    let clock = server.clone();
    std::thread::spawn(move || run_clock(&clock));
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let fault = line.trim();
        let mut state = server.lock();
        state.inject_fault(fault);
        println!("done {fault}");
    }
}
