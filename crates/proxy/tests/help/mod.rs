//! A proxy between scripted clients, servers and discovery, on loopback sockets. No test file uses all of it.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

pub const SOON: Duration = Duration::from_secs(3);
pub const OPEN: &str =
    "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=2000,g=5c0f6e1a2b3d4c59,x=1\r\n";
pub const SETTINGS: &str = r#"{"discovery":"pushed","instances":1,"self_index":0,"zone":0,"localities":["a","b"],
    "listeners":[{"name":"feed","semantics":"read_like","handshake_target":800000,"give_up":2000000},
                 {"name":"order","semantics":"non_idempotent","handshake_target":800000,"give_up":2000000}],
    "tenants":[{"name":"acme"}],"load_info":{"fields":["x0","outstanding"],"how":"on_probe"},
    "permissions":{"max_dials":2,"cancelling":true,"retry_after":true,"max_retry_after":2000000,
                   "dial_timeout":200000,"may_probe":false},
    "rules":{"cold":8900000,"cold_share":0.31,"tip_multiple":4.0,"drain_grace":400000},"weights":"fixed"}"#;

/// A proxy, its servers and its discovery; the proxy ends with the test.
pub struct World {
    pub proxy: Child,
    pub listen: SocketAddr,
    pub servers: Vec<TcpListener>,
    /// Watches as they are opened: the request's first line, and where lists go.
    pub watches: Receiver<(String, Sender<String>)>,
    pub watch: Sender<String>,
    pub config: std::path::PathBuf,
    /// Where operators call, and the folder that all processes of this proxy share.
    pub calls: SocketAddr,
    pub folder: std::path::PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.proxy.kill();
        let _ = self.proxy.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address to listen on: each world has a host of its own, so that no other can take the port meanwhile.
pub fn free_address(world: u32) -> SocketAddr {
    let host = format!(
        "127.{}.{}.{}:0",
        world / 60_000,
        1 + world / 250 % 240,
        1 + world % 250
    );
    TcpListener::bind(host).unwrap().local_addr().unwrap()
}

pub fn target(nth: usize, at: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"s-{nth}","endpoint":"{at}","az":"a","state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

pub fn list(rev: u32, all: bool, targets: &[String]) -> String {
    format!(
        "{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}\n",
        targets.join(",")
    )
}

/// Answers each watch with its head and then what the test sends, a chunk each; empty text ends the watch.
pub fn discovery(door: TcpListener) -> Receiver<(String, Sender<String>)> {
    let (opened, watches) = channel();
    std::thread::spawn(move || {
        for stream in door.incoming() {
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

impl World {
    pub fn new(servers: usize) -> World {
        World::with(servers, SETTINGS, 512, 1024)
    }

    /// With a limit on descriptors that is told, and one that holds.
    pub fn with(servers: usize, settings: &str, sockets: usize, holds: usize) -> World {
        World::started(servers, settings, (sockets, holds), None)
    }

    /// With an operator's file too.
    pub fn started(
        servers: usize,
        settings: &str,
        (sockets, holds): (usize, usize),
        operator: Option<&std::path::Path>,
    ) -> World {
        World::begun(servers, settings, (sockets, holds), operator, false)
    }

    /// With both.
    pub fn with_door(servers: usize, settings: &str, operator: Option<&std::path::Path>) -> World {
        World::begun(servers, settings, (512, 1024), operator, true)
    }

    /// Without servers, and with a discovery that says nothing.
    pub fn lonely(settings: &str, operator: &std::path::Path) -> World {
        World::opened(0, settings, (512, 1024), Some(operator), false)
    }

    /// With a door for operators' calls, where processes may replace each other.
    pub fn operated(servers: usize) -> World {
        World::begun(servers, SETTINGS, (512, 1024), None, true)
    }

    fn begun(
        servers: usize,
        settings: &str,
        (sockets, holds): (usize, usize),
        operator: Option<&std::path::Path>,
        operated: bool,
    ) -> World {
        let world = World::opened(servers, settings, (sockets, holds), operator, operated);
        world.watch.send(list(8, false, &[])).unwrap();
        let until = Instant::now() + SOON;
        while world.client("PING\r\n").line() != "PONG" {
            assert!(Instant::now() < until, "it does not serve");
            std::thread::sleep(Duration::from_millis(20));
        }
        world
    }

    /// Its watch is open, and nothing has been told.
    fn opened(
        servers: usize,
        settings: &str,
        (sockets, holds): (usize, usize),
        operator: Option<&std::path::Path>,
        operated: bool,
    ) -> World {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let calls = free_address(nth + 5_000);
        let folder = std::env::temp_dir().join(format!("asterramp-{}-{nth}.d", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let servers: Vec<TcpListener> = (0..servers)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let targets: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(n, s)| target(n, s.local_addr().unwrap(), "ready"))
            .collect();
        let door = TcpListener::bind("127.0.0.1:0").unwrap();
        let (agent, listen, known) = (
            door.local_addr().unwrap(),
            free_address(nth),
            list(7, true, &targets),
        );
        let text = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{agent}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
            "known":{known},"settings":{settings}}}"#
        );
        let name = format!("asterramp-{}-{}.json", std::process::id(), nth);
        let config = std::env::temp_dir().join(name);
        std::fs::write(&config, text).unwrap();
        let watches = discovery(door);
        let mut command = Command::new("/bin/sh");
        let start = format!(
            "ulimit -n {holds} && exec '{}'",
            env!("CARGO_BIN_EXE_asterramp")
        );
        command
            .args(["-c", &start])
            .env("LB_CONFIG", &config)
            .stderr(Stdio::piped());
        if let Some(operator) = operator {
            command.env("ASTERRAMP_OPERATOR", operator);
        }
        if operated {
            command
                .env("LB_OPERATOR", calls.to_string())
                .env("TMPDIR", &folder);
        }
        let proxy = command.spawn().unwrap();
        let (_, watch) = watches.recv_timeout(SOON).expect("a watch");
        World {
            proxy,
            listen,
            servers,
            watches,
            watch,
            config,
            calls,
            folder,
        }
    }

    /// Where processes of this proxy meet.
    pub fn meeting(&self) -> std::path::PathBuf {
        self.folder.join(format!(
            "asterramp-{}-{}.sock",
            self.listen.ip(),
            self.listen.port()
        ))
    }

    /// Starts another process of the same proxy, whose operators call elsewhere.
    pub fn beside(&self) -> Second {
        static NEXT: AtomicU32 = AtomicU32::new(10_000);
        let calls = free_address(NEXT.fetch_add(1, Ordering::Relaxed));
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
        command
            .env("LB_CONFIG", &self.config)
            .env("LB_OPERATOR", calls.to_string());
        let proxy = command
            .env("TMPDIR", &self.folder)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Second { proxy, calls }
    }

    /// Answers the watch that a second process opens, and waits for its yes.
    pub fn follows(&self) -> (Second, Sender<String>) {
        let second = self.beside();
        let (_, watch) = self.watches.recv_timeout(SOON).expect("a watch");
        watch.send(list(8, false, &[])).unwrap();
        assert!(second.says_yes(), "it never serves");
        (second, watch)
    }

    /// A client that says something; the id of `OPEN` becomes one of its own.
    pub fn client(&self, says: &str) -> Side {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let mut side = Side::of(TcpStream::connect(self.listen).unwrap());
        side.say(&says.replace("9b1f03aa5c7e2d41", &id));
        side
    }

    /// The next connection that reaches a server, and its first line.
    pub fn dialled(&self, server: usize) -> (Side, String) {
        self.dialled_any(&[server])
    }

    /// The next that reaches any of some servers.
    pub fn dialled_any(&self, servers: &[usize]) -> (Side, String) {
        let until = Instant::now() + SOON;
        for nth in servers.iter().cycle() {
            let door = &self.servers[*nth];
            door.set_nonblocking(true).unwrap();
            match door.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let mut side = Side::of(stream);
                    let line = side.line();
                    return (side, line);
                }
                Err(_) => assert!(Instant::now() < until, "no dial"),
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        unreachable!("no servers")
    }

    /// A client and its server that are up.
    pub fn up(&self) -> (Side, Side) {
        self.up_at(&[0])
    }

    /// The same at whichever of some servers it is sent to.
    pub fn up_at(&self, servers: &[usize]) -> (Side, Side) {
        let mut client = self.client(OPEN);
        let (mut server, _) = self.dialled_any(servers);
        server.say("UP r1\r\n");
        assert_eq!(client.line(), "UP r1");
        (client, server)
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.proxy.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
    }

    /// Waits for the proxy's exit; its code and log.
    pub fn ends(&mut self) -> (Option<i32>, String) {
        let until = Instant::now() + SOON + SOON;
        while self.proxy.try_wait().unwrap().is_none() {
            assert!(Instant::now() < until, "it does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut log = String::new();
        self.proxy
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut log)
            .unwrap();
        (self.proxy.wait().unwrap().code(), log)
    }
}

/// A second process; it ends with the test.
pub struct Second {
    pub proxy: Child,
    pub calls: SocketAddr,
}

impl Drop for Second {
    fn drop(&mut self) {
        let _ = self.proxy.kill();
        let _ = self.proxy.wait();
    }
}

impl Second {
    /// Whether it says yes in time.
    pub fn says_yes(&self) -> bool {
        let until = Instant::now() + SOON + SOON;
        while Instant::now() < until {
            if call(self.calls, "GET /ops/readiness").0 == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

/// An operator's call: the answer's status, 0 where there is none, and its body.
pub fn call(at: SocketAddr, what: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect(at) else {
        return (0, String::new());
    };
    stream.set_read_timeout(Some(SOON)).unwrap();
    stream
        .write_all(format!("{what} HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes())
        .unwrap();
    answered(stream)
}

pub fn answered(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    (
        status,
        text.split_once("\r\n\r\n")
            .map(|parts| parts.1.to_string())
            .unwrap_or_default(),
    )
}

/// One end of a connection, read line by line.
pub struct Side(pub BufReader<TcpStream>);

impl Side {
    pub fn of(stream: TcpStream) -> Side {
        stream.set_read_timeout(Some(SOON + SOON)).unwrap();
        Side(BufReader::new(stream))
    }

    pub fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next line without its end; `FIN` or `RST` where the connection ends.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => "FIN".into(),
            Ok(_) => line.strip_suffix("\r\n").unwrap_or(&line).into(),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => "RST".into(),
            Err(e) => format!("{e}"),
        }
    }

    /// The next line, if it comes in time.
    pub fn line_within(&mut self, span: Duration) -> Option<String> {
        self.0.get_ref().set_read_timeout(Some(span)).unwrap();
        let comes = self.0.fill_buf().is_ok();
        self.0
            .get_ref()
            .set_read_timeout(Some(SOON + SOON))
            .unwrap();
        comes.then(|| self.line())
    }

    /// Whether nothing comes for a while.
    pub fn quiet(&mut self) -> bool {
        self.0
            .get_ref()
            .set_read_timeout(Some(Duration::from_millis(150)))
            .unwrap();
        let nothing = self.0.fill_buf().is_err();
        self.0
            .get_ref()
            .set_read_timeout(Some(SOON + SOON))
            .unwrap();
        nothing
    }

    /// Ends the connection: `FIN` in good order, `RST` by closing over bytes not read.
    pub fn end(mut self, how: &str, other: &mut Side) {
        if how == "RST" {
            other.say("unread\r\n");
            std::thread::sleep(Duration::from_millis(100));
        } else {
            self.0.get_mut().shutdown(Shutdown::Both).unwrap();
        }
    }
}
