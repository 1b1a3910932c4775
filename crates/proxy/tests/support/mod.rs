//! A proxy process between scripted clients, servers and discovery, on loopback sockets.
#![allow(dead_code)] // No test file uses all of it.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// How long anything may take that the proxy does at once.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(3);
/// How long a line may take that the proxy holds back for some time.
const LINE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long nothing has to come for a connection to count as quiet.
const QUIET_TIME: Duration = Duration::from_millis(150);
/// Limits on descriptors that are far from being met: the one in the configuration and the one of the process.
const AMPLE_DESCRIPTORS: (usize, usize) = (512, 1024);
/// The id in [`OPEN_LINE`], which each connection replaces by one of its own.
const OPEN_ID: &str = "9b1f03aa5c7e2d41";

/// A client's request for a session.
pub(crate) const OPEN_LINE: &str =
    "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=2000,g=5c0f6e1a2b3d4c59,x=1\r\n";
/// The settings of a proxy that is pushed its endpoints and may not send health checks.
pub(crate) const SETTINGS: &str = r#"{"discovery":"pushed","instances":1,"self_index":0,"zone":0,"localities":["a","b"],
    "listeners":[{"name":"feed","semantics":"read_like","handshake_target":800000,"give_up":2000000},
                 {"name":"order","semantics":"non_idempotent","handshake_target":800000,"give_up":2000000}],
    "tenants":[{"name":"acme"}],"load_info":{"fields":["x0","outstanding"],"how":"on_probe"},
    "permissions":{"max_dials":2,"cancelling":true,"retry_after":true,"max_retry_after":2000000,
                   "dial_timeout":200000,"may_probe":false},
    "rules":{"cold":8900000,"cold_share":0.31,"tip_multiple":4.0,"drain_grace":400000},"weights":"fixed"}"#;

/// The first line of a watch's request, and where the lists go that answer it.
pub(crate) type OpenedWatch = (String, Sender<String>);

/// A proxy, its servers and its discovery; the proxy ends with the test.
pub(crate) struct ProxyHarness {
    pub(crate) process: Child,
    /// Where clients connect.
    pub(crate) listen_address: SocketAddr,
    pub(crate) servers: Vec<TcpListener>,
    /// Further watches as they are opened.
    pub(crate) watches: Receiver<OpenedWatch>,
    /// Where lists for the first watch go.
    pub(crate) watch: Sender<String>,
    pub(crate) config_path: PathBuf,
    /// Where operators call, if the proxy was started so.
    pub(crate) admin_http: SocketAddr,
    /// The directory that all processes of this proxy share.
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

/// How a proxy is started.
struct StartOptions<'a> {
    servers: usize,
    settings: &'a str,
    /// The limit on descriptors in the configuration, and the one of the process.
    descriptors: (usize, usize),
    operator_file: Option<&'a Path>,
    admin_http: bool,
}

/// An address to listen on, with an IP of its own for each harness and a port that nothing else here is given.
///
/// The port isn't found by binding and closing a socket: a process that another test forks meanwhile holds that socket
/// until its `exec`, and the proxy would find its address in use. Ports from 20,000 on are below those that Linux hands out.
pub(crate) fn free_address(harness: u32) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const FIRST_PORT: u32 = 20_000;
    const PORTS: u32 = 10_000;
    let nth = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(std::process::id());
    let ip = [
        127,
        (harness / 60_000) as u8,
        (1 + harness / 250 % 240) as u8,
        (1 + harness % 250) as u8,
    ];
    SocketAddr::from((ip, (FIRST_PORT + nth % PORTS) as u16))
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
            let (send, lists) = channel::<String>();
            std::thread::spawn(move || {
                for text in lists.iter().take_while(|text| !text.is_empty()) {
                    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
                }
            });
            if opened.send((request, send)).is_err() {
                return;
            }
        }
    });
    watches
}

impl ProxyHarness {
    /// With some servers and the settings above.
    pub(crate) fn new(servers: usize) -> ProxyHarness {
        let (configured, of_process) = AMPLE_DESCRIPTORS;
        ProxyHarness::with_descriptors(servers, SETTINGS, configured, of_process)
    }

    /// With a limit on descriptors in the configuration, and one of the process.
    pub(crate) fn with_descriptors(
        servers: usize,
        settings: &str,
        configured: usize,
        of_process: usize,
    ) -> ProxyHarness {
        ProxyHarness::with_operator_file(servers, settings, (configured, of_process), None)
    }

    /// With both limits and an operator's file.
    pub(crate) fn with_operator_file(
        servers: usize,
        settings: &str,
        descriptors: (usize, usize),
        operator_file: Option<&Path>,
    ) -> ProxyHarness {
        ProxyHarness::start(StartOptions {
            servers,
            settings,
            descriptors,
            operator_file,
            admin_http: false,
        })
    }

    /// With an address for operators' calls, where processes may replace each other.
    pub(crate) fn with_admin_http(servers: usize) -> ProxyHarness {
        ProxyHarness::with_admin_http_and_file(servers, SETTINGS, None)
    }

    /// With such an address, settings and an operator's file.
    pub(crate) fn with_admin_http_and_file(
        servers: usize,
        settings: &str,
        operator_file: Option<&Path>,
    ) -> ProxyHarness {
        ProxyHarness::start(StartOptions {
            servers,
            settings,
            descriptors: AMPLE_DESCRIPTORS,
            operator_file,
            admin_http: true,
        })
    }

    /// Without servers, and with a discovery that sends no list.
    pub(crate) fn without_endpoints(settings: &str, operator_file: &Path) -> ProxyHarness {
        ProxyHarness::start_unlisted(StartOptions {
            servers: 0,
            settings,
            descriptors: AMPLE_DESCRIPTORS,
            operator_file: Some(operator_file),
            admin_http: false,
        })
    }

    /// Starts a proxy and waits until it serves.
    fn start(options: StartOptions<'_>) -> ProxyHarness {
        let harness = ProxyHarness::start_unlisted(options);
        harness.watch.send(list_line(8, false, &[])).unwrap();
        let until = Instant::now() + TIMEOUT;
        loop {
            let mut ping = harness.connect("PING\r\n");
            if ping.read_line() == "PONG" {
                // Its end is waited for, so that no test finds a connection that it hasn't opened.
                ping.0.get_ref().shutdown(Shutdown::Write).unwrap();
                assert_eq!(ping.read_line(), "FIN");
                return harness;
            }
            assert!(Instant::now() < until, "it does not serve");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Starts a proxy whose watch is open, and which has been sent no list.
    fn start_unlisted(options: StartOptions<'_>) -> ProxyHarness {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let admin_http = free_address(nth + 5_000);
        let name = format!("asterramp-{}-{nth}", std::process::id());
        let directory = std::env::temp_dir().join(format!("{name}.d"));
        std::fs::create_dir_all(&directory).unwrap();
        let servers: Vec<TcpListener> = (0..options.servers)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let agent = TcpListener::bind("127.0.0.1:0").unwrap();
        let listen_address = free_address(nth);
        let config_path = std::env::temp_dir().join(format!("{name}.json"));
        let config = configuration(
            &options,
            listen_address,
            agent.local_addr().unwrap(),
            &servers,
        );
        std::fs::write(&config_path, config).unwrap();
        let watches = serve_discovery(agent);
        let mut command = limited_command(options.descriptors.1);
        command.env("LB_CONFIG", &config_path);
        if let Some(operator_file) = options.operator_file {
            command.env("ASTERRAMP_OPERATOR", operator_file);
        }
        if options.admin_http {
            command
                .env("LB_OPERATOR", admin_http.to_string())
                .env("TMPDIR", &directory);
        }
        let mut process = command.spawn().unwrap();
        let Ok((_, watch)) = watches.recv_timeout(TIMEOUT) else {
            process.kill().unwrap();
            panic!("no watch was opened: {:?}", process.wait_with_output());
        };
        ProxyHarness {
            process,
            listen_address,
            servers,
            watches,
            watch,
            config_path,
            admin_http,
            directory,
        }
    }

    /// The address of a server.
    pub(crate) fn server_address(&self, server: usize) -> SocketAddr {
        self.servers[server].local_addr().unwrap()
    }

    /// The socket at which processes of this proxy replace each other.
    pub(crate) fn hot_restart_socket(&self) -> PathBuf {
        self.directory.join(format!(
            "asterramp-{}-{}.sock",
            self.listen_address.ip(),
            self.listen_address.port()
        ))
    }

    /// Starts another process of the same proxy, whose operators call elsewhere.
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

    /// Starts another process, answers its watch and waits until it is ready.
    pub(crate) fn start_ready_process(&self) -> (SecondProcess, Sender<String>) {
        let second = self.start_second_process();
        let (_, watch) = self.watches.recv_timeout(TIMEOUT).expect("a watch");
        watch.send(list_line(8, false, &[])).unwrap();
        assert!(second.becomes_ready(), "it never serves");
        (second, watch)
    }

    /// Connects a client that sends a text; the id of [`OPEN_LINE`] becomes one of its own.
    pub(crate) fn connect(&self, text: &str) -> LineConnection {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let mut client = LineConnection::of(TcpStream::connect(self.listen_address).unwrap());
        client.send(&text.replace(OPEN_ID, &id));
        client
    }

    /// The next connection that reaches a server, and its first line.
    pub(crate) fn accept_at(&self, server: usize) -> (LineConnection, String) {
        self.accept_at_any(&[server])
    }

    /// The next connection that reaches any of some servers, and its first line.
    pub(crate) fn accept_at_any(&self, servers: &[usize]) -> (LineConnection, String) {
        let until = Instant::now() + TIMEOUT;
        for server in servers.iter().cycle() {
            let listener = &self.servers[*server];
            listener.set_nonblocking(true).unwrap();
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let mut connection = LineConnection::of(stream);
                    let line = connection.read_line();
                    return (connection, line);
                }
                Err(_) => assert!(Instant::now() < until, "no dial"),
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        unreachable!("no servers")
    }

    /// Waits a moment and checks that the first server was not dialled.
    pub(crate) fn assert_no_dial(&self) {
        std::thread::sleep(QUIET_TIME);
        self.assert_no_pending_dial("it was dialled");
    }

    /// Checks that no connection waits at the first server.
    pub(crate) fn assert_no_pending_dial(&self, message: &str) {
        let listener = &self.servers[0];
        listener.set_nonblocking(true).unwrap();
        assert!(listener.accept().is_err(), "{message}");
    }

    /// The client and the server of a session that is open.
    pub(crate) fn open_session(&self) -> (LineConnection, LineConnection) {
        self.open_session_at(&[0])
    }

    /// The same at whichever of some servers it is dialled.
    pub(crate) fn open_session_at(&self, servers: &[usize]) -> (LineConnection, LineConnection) {
        let mut client = self.connect(OPEN_LINE);
        let (mut server, _) = self.accept_at_any(servers);
        server.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
        (client, server)
    }

    /// Sends the proxy a signal by its name without `SIG`.
    pub(crate) fn send_signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.process.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
    }

    /// Waits for the proxy's exit; its code and log.
    pub(crate) fn wait_for_exit(&mut self) -> (Option<i32>, String) {
        let until = Instant::now() + 2 * TIMEOUT;
        while self.process.try_wait().unwrap().is_none() {
            assert!(Instant::now() < until, "it does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut log = String::new();
        let mut stderr = self.process.stderr.take().unwrap();
        stderr.read_to_string(&mut log).unwrap();
        (self.process.wait().unwrap().code(), log)
    }
}

/// The text of a configuration, whose discovery and known endpoints are those of the test.
fn configuration(
    options: &StartOptions<'_>,
    listen: SocketAddr,
    discovery: SocketAddr,
    servers: &[TcpListener],
) -> String {
    let endpoints: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| endpoint_json(index, server.local_addr().unwrap(), "ready"))
        .collect();
    let known = list_line(7, true, &endpoints);
    let settings = options.settings;
    let descriptors = options.descriptors.0;
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{descriptors}}},
        "known":{known},"settings":{settings}}}"#
    )
}

/// The proxy's program with a limit on its descriptors, and its log kept.
fn limited_command(descriptors: usize) -> Command {
    let script = format!(
        "ulimit -n {descriptors} && exec '{}'",
        env!("CARGO_BIN_EXE_asterramp")
    );
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &script]).stderr(Stdio::piped());
    command
}

/// A second process of a proxy; it ends with the test.
pub(crate) struct SecondProcess {
    pub(crate) process: Child,
    pub(crate) admin_http: SocketAddr,
}

impl Drop for SecondProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl SecondProcess {
    /// Whether it is ready in time.
    pub(crate) fn becomes_ready(&self) -> bool {
        let until = Instant::now() + 2 * TIMEOUT;
        while Instant::now() < until {
            if http_call(self.admin_http, "GET /ops/readiness").0 == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

/// Makes an operator's call: the response's status, 0 where there is none, and its body.
pub(crate) fn http_call(address: SocketAddr, method_and_path: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return (0, String::new());
    };
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
        .write_all(format!("{method_and_path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())
        .unwrap();
    read_response(stream)
}

/// Reads a response to its end: the status, 0 where there is none, and the body.
pub(crate) fn read_response(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    let body = text
        .split_once("\r\n\r\n")
        .map(|(_, body)| body.to_string())
        .unwrap_or_default();
    (status, body)
}

/// One end of a connection, read line by line.
pub(crate) struct LineConnection(pub(crate) BufReader<TcpStream>);

impl LineConnection {
    /// A connection whose reads end after a time.
    pub(crate) fn of(stream: TcpStream) -> LineConnection {
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
