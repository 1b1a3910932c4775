//! Stand-ins for the cases of the second review: discovery, servers, clients and the platform that starts proxies.
//! Only the standard library is used; every address is on 127.0.0.1.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| stop(&format!("record: {error}")));
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the record began.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the program because the case could not run.
pub fn stop(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(NOT_RUN)
}

pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

/// Waits until a condition holds; false after the time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() > end {
            return false;
        }
        sleep_ms(2);
    }
}

/// An address on which nothing listens now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
    listener.local_addr().unwrap()
}

/// The discovery agent of one proxy: answers a watch at once with the whole list, then sends each change, and an empty
/// line every 1.5 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    record: Record,
    state: Arc<Mutex<DiscoveryState>>,
}

#[derive(Default)]
struct DiscoveryState {
    revision: u64,
    /// Entries by uid.
    entries: BTreeMap<String, String>,
    watches: Vec<TcpStream>,
}

/// An entry of the list, as discovery writes it.
pub fn entry(uid: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"m2","pod_group":3,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

impl Discovery {
    pub fn start(record: &Record, entries: &[(String, String)]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            state: Arc::new(Mutex::new(DiscoveryState {
                revision: 41,
                entries: entries.iter().cloned().collect(),
                ..DiscoveryState::default()
            })),
        };
        let accepting = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = discovery.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(1_500);
                beating.push("");
            }
        });
        discovery
    }

    /// The whole list as one JSON object.
    pub fn list(&self) -> String {
        whole_list(&self.state.lock().unwrap())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ => return,
            }
        }
        let request = String::from_utf8_lossy(&head).lines().next().unwrap_or_default().to_string();
        let mut state = self.state.lock().unwrap();
        let list = whole_list(&state);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            chunk(&list)
        );
        if stream.write_all(answer.as_bytes()).is_ok() {
            self.record.add(&format!("discovery: {request}: answered with the whole list"));
            state.watches.push(stream);
        }
    }

    fn push(&self, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.watches.retain_mut(|stream| stream.write_all(chunk(text).as_bytes()).is_ok());
    }

    /// Changes an entry and sends the change on the open watches.
    pub fn change(&self, uid: &str, changed: &str) {
        let revision = {
            let mut state = self.state.lock().unwrap();
            state.revision += 1;
            state.entries.insert(uid.to_string(), changed.to_string());
            state.revision
        };
        self.record.add(&format!("discovery: has {changed}"));
        self.push(&format!(r#"{{"rev":{revision},"all":false,"targets":[{changed}]}}"#));
    }
}

fn whole_list(state: &DiscoveryState) -> String {
    let entries: Vec<&str> = state.entries.values().map(String::as_str).collect();
    format!(
        r#"{{"rev":{},"all":true,"targets":[{}]}}"#,
        state.revision,
        entries.join(",")
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

/// What a server did, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// The last byte of a request came.
    Request { id: String, at: f64 },
    /// The request ran: `UP` was sent.
    Up { id: String, at: f64 },
    /// The connection of a request ended.
    End { id: String, at: f64 },
}

/// A sound server: it takes some time to set a session up, answers `UP`, and brings every line back at once.
#[derive(Clone)]
pub struct Server {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    record: Record,
    set_up_time: Duration,
    pub events: Arc<Mutex<Vec<ServerEvent>>>,
}

impl Server {
    pub fn start(record: &Record, uid: &str, zone: &str, set_up_time: Duration) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
        let server = Server {
            uid: uid.to_string(),
            address: listener.local_addr().unwrap(),
            zone: zone.to_string(),
            record: record.clone(),
            set_up_time,
            events: Arc::default(),
        };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        server
    }

    pub fn listed(&self, state: &str) -> (String, String) {
        (self.uid.clone(), entry(&self.uid, self.address, &self.zone, state))
    }

    fn note(&self, event: ServerEvent) {
        let text = match &event {
            ServerEvent::Request { id, .. } => format!("request {id} came"),
            ServerEvent::Up { id, .. } => format!("request {id} runs, UP sent"),
            ServerEvent::End { id, .. } => format!("connection of {id} ended"),
        };
        self.record.add(&format!("server {}: {text}", self.uid));
        self.events.lock().unwrap().push(event);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut lines = BufReader::new(stream);
        let mut id = None;
        loop {
            let mut line = String::new();
            match lines.read_line(&mut line) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
            let line = line.trim_end();
            let answer = match line.split(' ').collect::<Vec<_>>().as_slice() {
                ["PING" | "STATS"] => {
                    "PONG x0=0.1,throughput=1,errors_per_s=0,outstanding=8\r\n".to_string()
                }
                ["OPEN", session, _, _] if id.is_none() => {
                    let session = session.to_string();
                    self.note(ServerEvent::Request {
                        id: session.clone(),
                        at: self.record.now(),
                    });
                    std::thread::sleep(self.set_up_time);
                    self.note(ServerEvent::Up {
                        id: session.clone(),
                        at: self.record.now(),
                    });
                    let answer = format!("UP r-{}-{session}\r\n", self.uid);
                    id = Some(session);
                    answer
                }
                _ if id.is_some() => format!("ECHO {line}\r\n"),
                _ => "SYNTAX\r\n".to_string(),
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                break;
            }
        }
        if let Some(id) = id {
            self.note(ServerEvent::End {
                id,
                at: self.record.now(),
            });
        }
    }
}

/// A client's connection.
pub struct Client {
    pub id: String,
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    record: Record,
}

/// What came next on a client's connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    Line(String),
    /// The end of the connection, in good order or by a reset.
    End,
    Nothing,
}

impl Client {
    /// Connects and sends an `OPEN` line of the given class.
    pub fn open(record: &Record, proxy: SocketAddr, id: &str, class: &str, wait_ms: u32) -> Client {
        let stream = TcpStream::connect_timeout(&proxy, Duration::from_secs(2))
            .unwrap_or_else(|error| stop(&format!("client {id} cannot connect: {error}")));
        let _ = stream.set_nodelay(true);
        let mut client = Client {
            id: id.to_string(),
            lines: BufReader::new(stream.try_clone().unwrap()),
            stream,
            record: record.clone(),
        };
        client.send(&format!(
            "OPEN {id} 7f3a9c21e0b4d655 c={class},t=northcoast-geo,d={wait_ms},g=5c0f6e1a2b3d4c59"
        ));
        client
    }

    pub fn send(&mut self, line: &str) {
        self.record.add(&format!("client {}: sends {line}", self.id));
        let _ = self.stream.write_all(format!("{line}\r\n").as_bytes());
    }

    /// The next line, the end of the connection, or nothing within this time.
    pub fn receive(&mut self, limit: Duration) -> Received {
        let _ = self.stream.set_read_timeout(Some(limit));
        let mut line = String::new();
        let received = match self.lines.read_line(&mut line) {
            Ok(0) => Received::End,
            Ok(_) => Received::Line(line.trim_end().to_string()),
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                Received::Nothing
            }
            Err(_) => Received::End,
        };
        self.record.add(&format!("client {}: gets {received:?}", self.id));
        received
    }
}

/// A folder for the files of a proxy, below the temporary folder that `run.sh` makes and removes.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = temporary_folder().join(name);
        std::fs::create_dir_all(&path).unwrap_or_else(|error| stop(&error.to_string()));
        Folder(path)
    }
}

fn temporary_folder() -> PathBuf {
    std::env::var_os("CASE_TEMP").map_or_else(|| stop("CASE_TEMP is not set; use run.sh"), PathBuf::from)
}

/// What a proxy is started with.
pub struct ProxyFiles<'a> {
    pub folder: &'a Folder,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The list as this proxy last had it.
    pub known: String,
    pub settings: String,
    /// The text of the operator file, if there is one.
    pub operator_file: Option<String>,
}

/// One process of a proxy, started by the deploy file's `run`. It is killed when this is dropped.
pub struct Proxy {
    pub process: Child,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    record: Record,
    pub name: String,
}

impl Proxy {
    /// Starts a process named `name` in the record; it must run in the repository's root.
    pub fn start(record: &Record, name: &str, files: &ProxyFiles<'_>) -> Proxy {
        let folder = &files.folder.0;
        let config = folder.join("config.json");
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}}"#,
            files.listen, files.discovery, files.known, files.settings
        );
        let partial = folder.join("config.part");
        std::fs::write(&partial, text).unwrap_or_else(|error| stop(&error.to_string()));
        std::fs::rename(&partial, &config).unwrap_or_else(|error| stop(&error.to_string()));
        let operator = free_address();
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_line()])
            .env("LB_CONFIG", &config)
            .env("LB_OPERATOR", operator.to_string())
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(text) = &files.operator_file {
            let path = folder.join("operator.toml");
            std::fs::write(&path, text).unwrap_or_else(|error| stop(&error.to_string()));
            command.env("ASTERRAMP_OPERATOR", path);
        }
        let process = command.spawn().unwrap_or_else(|error| stop(&error.to_string()));
        record.add(&format!("platform: starts process {name}"));
        Proxy {
            process,
            listen: files.listen,
            operator,
            record: record.clone(),
            name: name.to_string(),
        }
    }

    /// Waits until `GET /ops/readiness` says yes.
    pub fn wait_until_ready(&self) {
        let ready = wait_for(Duration::from_secs(6), || {
            self.call("GET", "/ops/readiness").is_some_and(|status| status == 200)
        });
        if !ready {
            stop(&format!("process {} is not ready within 6 s", self.name));
        }
        self.record.add(&format!("platform: process {} says that it is ready", self.name));
    }

    /// Makes an operators' call and returns the status; `None` if there is no answer.
    pub fn call(&self, method: &str, path: &str) -> Option<u16> {
        let mut stream = TcpStream::connect_timeout(&self.operator, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream
            .write_all(format!("{method} {path} HTTP/1.1\r\nHost: proxy\r\n\r\n").as_bytes())
            .ok()?;
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer.split(' ').nth(1)?.parse().ok()
    }

    pub fn signal(&self, name: &str) {
        self.record.add(&format!("platform: {name} to process {}", self.name));
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &self.process.id().to_string()])
            .status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The deploy file's command that starts one proxy.
fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|error| stop(&error.to_string()));
    text.lines()
        .find_map(|line| line.strip_prefix("run = \"")?.split('"').next().map(String::from))
        .unwrap_or_else(|| stop("the deploy file has no run line"))
}

/// The settings of a small deployment with three proxies, pushed lists and two classes. The semantics of `waveform` and the
/// way in which lists come are given; `extra_rules` are further keys below `rules`, each with a comma before it.
pub fn settings(waveform: &str, discovery: &str, drain_grace_us: u32, extra_rules: &str) -> String {
    format!(
        r#"{{"discovery":"{discovery}","instances":3,"self_index":0,"tier":0,"zone":0,
"localities":["duluth","sault","thunder-bay"],"stages":["stream-hosts"],"weights":"nominal","granularity":4000,
"listeners":[
{{"name":"waveform","semantics":"{waveform}","group":"all","key_ttl":5000000,"handshake_target":800000,"give_up":4800000,"utility":3.0,"overdue_utility":0.0,"stream":true}},
{{"name":"event-alert","semantics":"read_like","group":"all","key_ttl":5000000,"handshake_target":500000,"give_up":3000000,"utility":5.0,"overdue_utility":0.0,"stream":true}}],
"tenants":[{{"name":"northcoast-geo","portion":0.71,"allowance_per_s":7.0}},{{"name":"bayfield-survey","portion":0.29,"allowance_per_s":3.0}}],
"load_info":{{"fields":["x0","throughput","errors_per_s","outstanding"],"how":"on_probe"}},
"permissions":{{"max_dials":4,"cancelling":true,"retry_after":true,"max_retry_after":2000000,"dial_timeout":200000,
"may_probe":true,"second_copies":false,"peers":false,"conn_idle":15000000,"max_open":1000000,"streams_per_conn":1}},
"rules":{{"cold":8900000,"cold_share":0.31,"tip_multiple":4.0,"overload_for":1500000,"drain_grace":{drain_grace_us},"answer_slack":16000{extra_rules}}},
"specifics":{{"mode":"proxy","groups":true,"message_aim":[250000.0,150000.0],"tells_load":false,"tells_delay":false,
"report_x0":"load asked of the server over what it can do","tenant_quota_connections":[238.0,97.0]}}}}"#
    )
}

/// Whether the case runs with its disruption: `TROUBLE=0` leaves it out.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Where the record is written, given as the program's argument.
pub fn record_path() -> PathBuf {
    std::env::args().nth(1).map(PathBuf::from).unwrap_or_else(|| stop("no path of the record is given"))
}
