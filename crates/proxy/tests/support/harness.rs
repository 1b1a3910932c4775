//! A running proxy with the servers and the discovery service of a test.

use super::{
    LineConnection, OPEN_LINE, OPEN_LINE_SESSION_ID, OpenedWatch, ProxyOptions, QUIET_TIME,
    SecondProcess, TIMEOUT, free_address, list_line, send_signal,
};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, Instant};

/// A proxy process, its servers and its discovery service. Dropping it kills the proxy and removes its files.
pub(crate) struct ProxyHarness {
    pub(crate) process: Child,
    /// Where clients connect.
    pub(crate) listen_address: SocketAddr,
    pub(crate) servers: Vec<TcpListener>,
    /// The watches that are opened after the first one.
    pub(crate) watches: Receiver<OpenedWatch>,
    /// Sends endpoint lists on the proxy's first watch.
    pub(crate) watch: Sender<String>,
    pub(crate) config_path: PathBuf,
    /// Address of the admin HTTP listener, if the proxy was started with one.
    pub(crate) admin_http: SocketAddr,
    /// The `TMPDIR` of all processes of this proxy; it contains the hot restart socket.
    pub(crate) directory: PathBuf,
}

impl Drop for ProxyHarness {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.config_path);
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl ProxyHarness {
    /// Starts a proxy with this many servers and the default options, and waits until it serves.
    pub(crate) fn new(server_count: usize) -> ProxyHarness {
        ProxyOptions::new(server_count).start()
    }

    /// Like [`ProxyHarness::new`], with an admin HTTP listener and hot restarts.
    pub(crate) fn with_admin_http(server_count: usize) -> ProxyHarness {
        ProxyOptions::new(server_count).admin_http().start()
    }

    /// The next watch that a process of this proxy opens within [`TIMEOUT`].
    pub(crate) fn accept_watch(&self) -> OpenedWatch {
        self.accept_watch_within(TIMEOUT)
    }

    /// The next watch that a process of this proxy opens within this time.
    pub(crate) fn accept_watch_within(&self, timeout: Duration) -> OpenedWatch {
        self.watches.recv_timeout(timeout).expect("another watch")
    }

    /// The address of the server with this index.
    pub(crate) fn server_address(&self, server: usize) -> SocketAddr {
        self.servers[server].local_addr().unwrap()
    }

    /// Path of the socket at which a predecessor waits for its successor.
    pub(crate) fn hot_restart_socket(&self) -> PathBuf {
        self.directory.join(format!(
            "asterramp-{}-{}.sock",
            self.listen_address.ip(),
            self.listen_address.port()
        ))
    }

    /// Starts another process of the same proxy, with an admin HTTP address of its own.
    pub(crate) fn start_second_process(&self) -> SecondProcess {
        static NEXT: AtomicU32 = AtomicU32::new(10_000);
        let admin_http = free_address(NEXT.fetch_add(1, Ordering::Relaxed));
        let process = Command::new(env!("CARGO_BIN_EXE_asterramp"))
            .env("LB_CONFIG", &self.config_path)
            .env("LB_OPERATOR", admin_http.to_string())
            .env("TMPDIR", &self.directory)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        SecondProcess {
            process,
            admin_http,
        }
    }

    /// Starts another process, sends it an endpoint list without changes and waits until it is ready; returns it with the
    /// sender of its watch.
    pub(crate) fn start_ready_process(&self) -> (SecondProcess, Sender<String>) {
        let second = self.start_second_process();
        let watch = self.accept_watch().lists;
        watch.send(list_line(8, false, &[])).unwrap();
        assert!(
            second.becomes_ready(),
            "the second process never became ready"
        );
        (second, watch)
    }

    /// Connects a client that sends a text, in which a unique session id replaces that of [`OPEN_LINE`].
    pub(crate) fn connect(&self, text: &str) -> LineConnection {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let mut client =
            LineConnection::from_stream(TcpStream::connect(self.listen_address).unwrap());
        client.send(&text.replace(OPEN_LINE_SESSION_ID, &id));
        client
    }

    /// Accepts the next connection at one server; returns it and its first line.
    pub(crate) fn accept_at(&self, server: usize) -> (LineConnection, String) {
        self.accept_at_any(&[server])
    }

    /// Accepts the next connection at any of these servers; returns it and its first line.
    pub(crate) fn accept_at_any(&self, servers: &[usize]) -> (LineConnection, String) {
        let deadline = Instant::now() + TIMEOUT;
        for server in servers.iter().cycle() {
            let listener = &self.servers[*server];
            listener.set_nonblocking(true).unwrap();
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let mut connection = LineConnection::from_stream(stream);
                    let line = connection.read_line();
                    return (connection, line);
                }
                Err(_) => assert!(Instant::now() < deadline, "no server was dialled"),
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        unreachable!("no servers")
    }

    /// Checks that the first server is not dialled within [`QUIET_TIME`].
    pub(crate) fn assert_no_dial(&self) {
        std::thread::sleep(QUIET_TIME);
        self.assert_no_pending_dial("the server was dialled");
    }

    /// Checks that no connection is waiting to be accepted at the first server.
    pub(crate) fn assert_no_pending_dial(&self, message: &str) {
        let listener = &self.servers[0];
        listener.set_nonblocking(true).unwrap();
        assert!(listener.accept().is_err(), "{message}");
    }

    /// Opens a session at the first server; returns the client's connection and the server's.
    pub(crate) fn open_session(&self) -> (LineConnection, LineConnection) {
        self.open_session_at(&[0])
    }

    /// Opens a session at whichever of these servers is dialled; returns the client's connection and the server's.
    pub(crate) fn open_session_at(&self, servers: &[usize]) -> (LineConnection, LineConnection) {
        let mut client = self.connect(OPEN_LINE);
        let (mut server, _) = self.accept_at_any(servers);
        server.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
        (client, server)
    }

    /// Sends the proxy a signal, named without `SIG`.
    pub(crate) fn send_signal(&self, name: &str) {
        send_signal(&self.process, name);
    }

    /// Waits until the proxy has exited; returns its exit code, `None` after a signal, and its log.
    pub(crate) fn wait_for_exit(&mut self) -> (Option<i32>, String) {
        let deadline = Instant::now() + 2 * TIMEOUT;
        while self.process.try_wait().unwrap().is_none() {
            assert!(Instant::now() < deadline, "the proxy does not exit");
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut log = String::new();
        let mut stderr = self.process.stderr.take().unwrap();
        stderr.read_to_string(&mut log).unwrap();
        (self.process.wait().unwrap().code(), log)
    }
}
