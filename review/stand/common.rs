//! Stand-ins and helpers that the cases share: a record file, processes, discovery, servers and clients on loopback.
#![allow(dead_code)]

use std::collections::HashSet;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record file"))),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, who: &str, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {who}: {text}");
        let _ = writeln!(std::io::stdout(), "{at:9.3} {who}: {text}");
    }
}

/// Ids of the processes that the test has started and that have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time of a case; after it all processes are ended.
const LONGEST: Duration = Duration::from_secs(112);

/// Runs a case with its record at the path of the first argument. Exits with 1 if the case returns ways in which the
/// rule was broken, with 0 if it returns none, and with 2 if it could not run.
pub fn run_case(case: impl FnOnce(&Record) -> Result<Vec<String>, &'static str> + std::panic::UnwindSafe) -> ! {
    let record = Record::create(&std::env::args().nth(1).expect("path of the record"));
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        watched.line("case", "cannot run: it takes too long");
        for pid in CHILDREN.lock().unwrap().iter() {
            signal(*pid, "KILL");
        }
        std::process::exit(2)
    });
    record.line("case", if with_trouble() { "with the disruption" } else { "without the disruption" });
    let result = {
        let record = record.clone();
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || case(&record)))
    };
    let broken = match result {
        Ok(Ok(broken)) => broken,
        Ok(Err(why)) => {
            record.line("case", &format!("cannot run: {why}"));
            std::process::exit(2)
        }
        Err(_) => {
            record.line("case", "cannot run: a stand-in failed");
            std::process::exit(2)
        }
    };
    for text in &broken {
        record.line("verdict", text);
    }
    record.line("verdict", if broken.is_empty() { "HELD" } else { "BROKEN" });
    std::process::exit(if broken.is_empty() { 0 } else { 1 })
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A temporary folder of this run, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        // The path of a Unix socket has to be short.
        let parent = Some(std::env::temp_dir()).filter(|path| path.as_os_str().len() < 60).unwrap_or_else(|| "/tmp".into());
        let path = parent.join(format!("ar-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("temporary folder");
        Folder(path)
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
}

/// A process that the test started; killed when dropped.
pub struct Process(pub Child);

impl Process {
    pub fn new(child: Child) -> Process {
        CHILDREN.lock().unwrap().push(child.id());
        Process(child)
    }

    pub fn pid(&self) -> u32 {
        self.0.id()
    }

    pub fn signal(&self, name: &str) {
        signal(self.pid(), name);
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.0.id());
    }
}

/// The value of a key of the deploy file, such as `run`.
pub fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} ="))).expect("key of the deploy file");
    line.split('"').nth(1).unwrap().to_string()
}

/// Starts one proxy by the deploy file's `run`; its log goes to a file.
pub fn start_proxy(config: &Path, variables: &[(&str, String)], log: &Path) -> Process {
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(deploy_command("run"));
    command.env_remove("LB_OPERATOR").env_remove("ASTERRAMP_OPERATOR");
    command.env("LB_CONFIG", config);
    for (name, value) in variables {
        command.env(name, value);
    }
    let log = File::options().create(true).append(true).open(log).expect("log file");
    let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn().expect("the proxy starts");
    Process::new(child)
}

/// One operator's call over HTTP; the status and the body, or `None` if there is no answer within a second.
pub fn http_call(address: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map(|parts| parts.1.to_string()).unwrap_or_default();
    Some((status, body))
}

/// Waits until a condition holds; false if it does not within the time.
pub fn wait_for(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let give_up = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() > give_up {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until the process behind an operators' address takes clients.
pub fn wait_ready(operator: SocketAddr, timeout: Duration) -> bool {
    wait_for(timeout, || matches!(http_call(operator, "GET", "/ops/readiness"), Some((200, _))))
}

/// One entry of discovery's list.
pub fn target(uid: &str, endpoint: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"a","model":"m1","pod_group":1,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

pub fn list(revision: u32, targets: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#, targets.join(","))
}

/// Discovery that always sends the whole list on each watch, and an empty line every second.
pub fn start_discovery(record: &Record, list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, list) = (record.clone(), list.clone());
            std::thread::spawn(move || {
                let mut stream = stream;
                let mut request = String::new();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                if reader.read_line(&mut request).is_err() {
                    return;
                }
                record.line("discovery", &format!("{} -> whole list", request.trim_end()));
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let text = format!("{list}\n");
                let chunk = format!("{head}{:x}\r\n{text}\r\n", text.len());
                if stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                loop {
                    std::thread::sleep(Duration::from_secs(1));
                    if stream.write_all(b"1\r\n\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Settings of a small deployment with pushed lists; `instances` proxies.
pub fn settings(instances: u32) -> String {
    format!(
        r#"{{"discovery":"pushed","domain_type":"conn","granularity":4000,"instances":{instances},"self_index":0,"tier":0,"zone":0,
"kinds":["m1"],"localities":["a"],
"listeners":[{{"name":"waveform","semantics":"read_like","group":"all","key_ttl":5000000,"handshake_target":800000,"give_up":4800000,"utility":3.0,"overdue_utility":0.0,"stream":true}},
{{"name":"event-alert","semantics":"read_like","group":"all","key_ttl":5000000,"handshake_target":500000,"give_up":3000000,"utility":5.0,"overdue_utility":0.0,"stream":true}}],
"tenants":[{{"name":"northcoast-geo","portion":0.71,"allowance_per_s":7.0}},{{"name":"bayfield-survey","portion":0.29,"allowance_per_s":3.0}}],
"load_info":{{"fields":["x0","throughput","errors_per_s","outstanding"],"how":"on_probe"}},
"permissions":{{"cancelling":true,"dial_timeout":200000,"max_dials":4,"may_probe":true,"retry_after":true,"max_retry_after":2000000,"second_copies":false,"peers":false}},
"rules":{{"answer_slack":16000,"cold":8900000,"cold_share":0.31,"drain_grace":1000000,"must_ask_in":10000000,"overload_for":1500000,"tip_multiple":4.0}},
"specifics":{{"groups":true,"message_aim":[250000.0,150000.0],"mode":"proxy","park":0,"report_x0":"load_asked_of_the_server_over_what_it_can_do","tells_delay":true,"tells_load":false}},
"weights":"live"}}"#
    )
}

/// The configuration of one proxy.
pub fn configuration(name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str, instances: u32) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{}}}"#,
        settings(instances)
    )
}

/// A line without its CRLF, or `None` at the end of the connection.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(line.trim_end().to_string()),
    }
}

/// A sound server: it sets a connection up after a while, answers each line at once, and turns away an id that it has
/// open. Probes are answered with a load report.
#[derive(Clone)]
pub struct Server {
    pub uid: String,
    pub address: SocketAddr,
    record: Record,
    setup: Duration,
    open: Arc<Mutex<HashSet<String>>>,
    receipts: Arc<AtomicU64>,
    /// Its machine is off: connections are refused.
    off: Arc<AtomicBool>,
    /// When each request came.
    opens: Arc<Mutex<Vec<Duration>>>,
}

impl Server {
    pub fn set_off(&self, off: bool) {
        self.off.store(off, Ordering::Relaxed);
    }

    pub fn opens(&self) -> Vec<Duration> {
        self.opens.lock().unwrap().clone()
    }

    pub fn start(record: &Record, uid: &str, setup: Duration) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Server {
            uid: uid.to_string(),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            setup,
            open: Arc::default(),
            receipts: Arc::default(),
            off: Arc::default(),
            opens: Arc::default(),
        };
        let serving = server.clone();
        std::thread::spawn(move || serving.accept(listener));
        server
    }

    /// Accepts connections while the machine is on; while it is off, they are refused.
    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.off.load(Ordering::Relaxed) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    let server = self.clone();
                    std::thread::spawn(move || server.serve(stream));
                }
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(line) = read_line(&mut reader) {
            let answer = if line == "PING" {
                "PONG".to_string()
            } else if line == "STATS" {
                let held = self.open.lock().unwrap().len();
                format!("PONG x0={:.3},throughput=0.5,errors_per_s=0,outstanding={held}", held as f64 / 60.0)
            } else if line.starts_with("OPEN ") {
                return self.serve_open(line, reader, writer);
            } else {
                "SYNTAX".to_string()
            };
            if writer.write_all(format!("{answer}\r\n").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn serve_open(&self, line: String, mut reader: BufReader<TcpStream>, mut writer: TcpStream) {
        let who = format!("server {}", self.uid);
        self.record.line(&who, &format!("<- {line}"));
        self.opens.lock().unwrap().push(self.record.now());
        let id = line.split(' ').nth(1).unwrap_or_default().to_string();
        if !self.open.lock().unwrap().insert(id.clone()) {
            self.record.line(&who, &format!("-> BUSY for {id}: that id is open here"));
            let _ = writer.write_all(b"BUSY\r\n");
            return;
        }
        std::thread::sleep(self.setup);
        let receipt = format!("UP {}-{}", self.uid, self.receipts.fetch_add(1, Ordering::Relaxed));
        self.record.line(&who, &format!("-> {receipt} for {id}"));
        let _ = writer.write_all(format!("{receipt}\r\n").as_bytes());
        while let Some(text) = read_line(&mut reader) {
            if writer.write_all(format!("ACK {text}\r\n").as_bytes()).is_err() {
                break;
            }
        }
        self.record.line(&who, &format!("end of {id}"));
        self.open.lock().unwrap().remove(&id);
    }
}

/// What a client saw, shared with the test.
#[derive(Clone, Default)]
pub struct Seen {
    /// The first line that came back: the answer.
    pub answer: Arc<Mutex<Option<(Duration, String)>>>,
    /// How the connection ended, and when: `MOVE`, `BYE`, `FIN`, `RESET`.
    pub end: Arc<Mutex<Option<(Duration, String)>>>,
    /// Lines answered after the set-up.
    pub echoes: Arc<AtomicU64>,
    pub stop: Arc<AtomicBool>,
}

impl Seen {
    pub fn answer(&self) -> Option<String> {
        self.answer.lock().unwrap().clone().map(|seen| seen.1)
    }

    pub fn end(&self) -> Option<(Duration, String)> {
        self.end.lock().unwrap().clone()
    }

    pub fn is_up(&self) -> bool {
        self.answer().is_some_and(|line| line.starts_with("UP "))
    }
}

pub fn open_line(id: &str, class: &str, wait_ms: u32) -> String {
    format!("OPEN {id} 7f3a9c21e0b4d655 c={class},t=northcoast-geo,d={wait_ms},g=5c0f6e1a2b3d4c59")
}

/// A client that sends its request, waits for the answer and then sends a line every 500 ms until the connection ends.
pub fn start_client(record: &Record, name: &str, proxy: SocketAddr, line: String) -> Seen {
    let seen = Seen::default();
    let (record, who, shared) = (record.clone(), format!("client {name}"), seen.clone());
    std::thread::spawn(move || {
        let Ok(mut stream) = TcpStream::connect(proxy) else {
            record.line(&who, "connection refused");
            *shared.end.lock().unwrap() = Some((record.now(), "REFUSED".into()));
            return;
        };
        let _ = stream.set_nodelay(true);
        record.line(&who, &format!("-> {line}"));
        let _ = stream.write_all(format!("{line}\r\n").as_bytes());
        let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
        let mut received = Vec::new();
        let mut bytes = [0; 4096];
        let mut next_line = Instant::now();
        let mut number = 0;
        let end = 'connection: loop {
            if shared.stop.load(Ordering::Relaxed) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            if shared.is_up() && Instant::now() >= next_line {
                next_line = Instant::now() + Duration::from_millis(500);
                number += 1;
                let _ = stream.write_all(format!("BEAT {number}\r\n").as_bytes());
            }
            match stream.read(&mut bytes) {
                Ok(0) => break "FIN".to_string(),
                Ok(count) => received.extend_from_slice(&bytes[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break "RESET".to_string(),
            }
            while let Some(end) = received.iter().position(|byte| *byte == b'\n') {
                let text = String::from_utf8_lossy(&received[..end]).trim_end().to_string();
                received.drain(..=end);
                let is_first = shared.answer.lock().unwrap().is_none();
                if is_first {
                    record.line(&who, &format!("<- {text}"));
                    *shared.answer.lock().unwrap() = Some((record.now(), text));
                } else if text.starts_with("ACK ") {
                    shared.echoes.fetch_add(1, Ordering::Relaxed);
                } else if text == "MOVE" || text.starts_with("BYE") {
                    break 'connection text;
                } else {
                    record.line(&who, &format!("<- {text}"));
                }
            }
        };
        record.line(&who, &format!("ended: {end}"));
        *shared.end.lock().unwrap() = Some((record.now(), end));
    });
    seen
}

/// Runs a command of the program and returns its exit code and what it printed.
pub fn run_command(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new("target/release/asterramp").args(arguments).stdin(Stdio::null()).output().expect("a command of the program");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).to_string())
}

/// Starts a command of the program whose output lines go to the record.
pub fn start_command(record: &Record, who: &str, arguments: &[String]) -> (Process, Arc<Mutex<Vec<(Duration, String)>>>) {
    let mut child = Command::new("target/release/asterramp")
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("a command of the program");
    let lines: Arc<Mutex<Vec<(Duration, String)>>> = Arc::default();
    let outputs: [Box<dyn Read + Send>; 2] = [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
    for output in outputs {
        let (record, who, lines) = (record.clone(), who.to_string(), lines.clone());
        std::thread::spawn(move || {
            let mut reader = BufReader::new(output);
            while let Some(line) = read_line(&mut reader) {
                record.line(&who, &line);
                lines.lock().unwrap().push((record.now(), line));
            }
        });
    }
    (Process::new(child), lines)
}
