//! What the cases about rolls share: a small fleet of proxies with admin sockets, its clients, the project's stub store
//! and its other programs.

use crate::stand::{
    Client, Discovery, Folder, Proxy, ProxyFiles, Received, Record, Server, free_address,
    settings, sleep_ms, stop,
};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The project's program, for the commands of operators.
pub const PROGRAM: &str = "target/release/asterramp";
/// The session timeout of a roll: the command's default.
pub const SESSION: &str = "6s";

/// A program whose output goes into the record line by line. It is killed when this is dropped.
pub struct Program {
    pub process: Child,
    output: Arc<Mutex<Vec<String>>>,
}

impl Program {
    pub fn start(record: &Record, name: &str, command: &mut Command) -> Program {
        let mut process = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| stop(&format!("{name}: {error}")));
        let output = Arc::new(Mutex::new(Vec::new()));
        let lines = BufReader::new(process.stdout.take().unwrap());
        let (record, name, written) = (record.clone(), name.to_string(), output.clone());
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                record.add(&format!("{name}: prints {line}"));
                written.lock().unwrap().push(line);
            }
        });
        Program { process, output }
    }

    /// Whether it has printed a line that contains this text.
    pub fn has_printed(&self, text: &str) -> bool {
        self.output.lock().unwrap().iter().any(|line| line.contains(text))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The project's stub store with one member.
pub struct Store {
    pub address: SocketAddr,
    record: Record,
    input: ChildStdin,
    _program: Program,
}

impl Store {
    pub fn start(record: &Record) -> Store {
        let address = free_address();
        let mut program = Program::start(
            record,
            "store",
            Command::new("target/release/asterramp-zookeeper-stub")
                .arg(address.to_string())
                .stdin(Stdio::piped()),
        );
        let input = program.process.stdin.take().unwrap();
        sleep_ms(300);
        Store {
            address,
            record: record.clone(),
            input,
            _program: program,
        }
    }

    /// Tells the store to behave in some way, such as `refuse`.
    pub fn tell(&mut self, line: &str) {
        self.record.add(&format!("store: is told {line}"));
        let _ = writeln!(self.input, "{line}");
        let _ = self.input.flush();
    }
}

/// Proxies with admin sockets, four sound servers and a discovery agent.
pub struct Fleet {
    pub names: Vec<String>,
    pub addresses: Vec<SocketAddr>,
    /// The proxies' admin sockets.
    pub sockets: Vec<PathBuf>,
    pub proxies: Vec<Proxy>,
    record: Record,
    folders: Vec<Folder>,
    discovery: Discovery,
}

impl Fleet {
    pub fn start(record: &Record, size: usize) -> Fleet {
        let servers: Vec<Server> = ["s-1", "s-2", "s-3", "s-4"]
            .iter()
            .zip(["duluth", "duluth", "sault", "thunder-bay"])
            .map(|(uid, zone)| Server::start(record, uid, zone, Duration::from_millis(10)))
            .collect();
        let entries: Vec<_> = servers.iter().map(|server| server.listed("ready")).collect();
        let names: Vec<String> = (1..=size).map(|nth| format!("p-{nth}")).collect();
        let folders: Vec<Folder> = names.iter().map(|name| Folder::create(name)).collect();
        let mut fleet = Fleet {
            addresses: (0..size).map(|_| free_address()).collect(),
            sockets: folders.iter().map(|folder| folder.0.join("control.sock")).collect(),
            proxies: Vec::new(),
            record: record.clone(),
            discovery: Discovery::start(record, &entries),
            folders,
            names,
        };
        for nth in 0..size {
            let proxy = fleet.start_process(nth);
            fleet.proxies.push(proxy);
        }
        fleet.proxies.iter().for_each(Proxy::wait_until_ready);
        fleet
    }

    fn start_process(&self, nth: usize) -> Proxy {
        let files = ProxyFiles {
            folder: &self.folders[nth],
            listen: self.addresses[nth],
            discovery: self.discovery.address,
            known: self.discovery.list(),
            settings: settings("read_like", "pushed", 1_000_000, ""),
            operator_file: Some(format!("[control]\nsocket = \"{}\"\n", self.sockets[nth].display())),
        };
        Proxy::start(&self.record, &self.names[nth], &files)
    }

    /// The supervisor: starts each proxy again whose process has ended.
    pub fn restart_ended(&mut self) {
        for nth in 0..self.proxies.len() {
            if self.proxies[nth].has_ended() {
                self.record.add(&format!("platform: process {} has ended", self.names[nth]));
                self.proxies[nth] = self.start_process(nth);
            }
        }
    }

    /// `asterramp roll` of all proxies under one leader, with further arguments.
    pub fn roll(&self, store: &Store, arguments: &[&str]) -> Command {
        let mut command = Command::new(PROGRAM);
        command.arg("roll");
        for socket in &self.sockets {
            command.arg("--control").arg(socket);
        }
        command.args(["--deadline", "10s", "--share", "0", "--name", "patch", "--session", SESSION, "--store"]);
        command.arg(store.address.to_string()).args(arguments);
        command
    }
}

/// How long a client's connection lasts if nothing ends it.
const LIFE: Duration = Duration::from_secs(6);

/// Clients that come again, through the next proxy that answers `PING`, whenever their connection is over.
#[derive(Clone)]
pub struct Clients {
    /// How many were moved away from each proxy.
    pub moved_from: Arc<Mutex<Vec<usize>>>,
}

impl Clients {
    pub fn start(record: &Record, proxies: &[SocketAddr], count: usize) -> Clients {
        let clients = Clients {
            moved_from: Arc::new(Mutex::new(vec![0; proxies.len()])),
        };
        for nth in 0..count {
            let (record, proxies, all) = (record.clone(), proxies.to_vec(), clients.clone());
            std::thread::spawn(move || all.run(&record, nth, &proxies));
        }
        clients
    }

    /// How many were moved away from any proxy.
    pub fn moved(&self) -> usize {
        self.moved_from.lock().unwrap().iter().sum()
    }

    fn run(&self, record: &Record, nth: usize, proxies: &[SocketAddr]) {
        const LINE_INTERVAL: Duration = Duration::from_secs(2);
        let mut at = nth % proxies.len();
        for visit in 0.. {
            while !answers_ping(proxies[at]) {
                at = (at + 1) % proxies.len();
                sleep_ms(50);
            }
            let mut client = Client::open(record, proxies[at], &format!("c{nth}-{visit}"), "waveform", 4_800);
            let mut next_line = Instant::now() + LINE_INTERVAL;
            let over_at = Instant::now() + LIFE;
            let mut was_up = false;
            while Instant::now() < over_at {
                let left = next_line.saturating_duration_since(Instant::now());
                match client.receive(left.max(Duration::from_millis(1))) {
                    Received::Line(line) if line.starts_with("UP ") => was_up = true,
                    Received::Line(line) if line == "MOVE" => self.moved_from.lock().unwrap()[at] += 1,
                    Received::Line(_) => {}
                    Received::End => break,
                    Received::Nothing => {
                        if was_up {
                            client.send("line");
                        }
                        next_line = Instant::now() + LINE_INTERVAL;
                    }
                }
            }
            at = (at + 1) % proxies.len();
            sleep_ms(100);
        }
    }
}

/// How the front sees a proxy: whether `PING` is answered with `PONG`.
pub fn answers_ping(proxy: SocketAddr) -> bool {
    let limit = Duration::from_millis(500);
    let Ok(mut stream) = std::net::TcpStream::connect_timeout(&proxy, limit) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.write_all(b"PING\r\n");
    let mut line = String::new();
    let _ = BufReader::new(stream).read_line(&mut line);
    line.trim_end() == "PONG"
}
