//! What a guarded roll keeps at the store, what it says to proxies and what it prints, byte for byte as the build at 17cc2a9 did.
//!
//! The files in `golden/roll` were made by that build and do not change: a roll that an older build began is finished by a
//! newer one, and the other way round. The proxies here are scripted ends of control sockets with fixed process ids, and
//! the program runs in their folder, so that paths and ids in plans are the same in each run.

use asterramp_admin_protocol::{
    AdminCommand, AdminReply, AdminRequest, ListenerSessions, ProxyStatus,
};
use asterramp_zookeeper::frame::{FrameReader, write_frame};
use asterramp_zookeeper::jute::{DecodeError, JuteReader};
use asterramp_zookeeper::record::{
    ConnectRequest, ConnectResponse, NodeStat, ReplyHeader, StoreError, StoreRequest,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use test_case::test_case;

/// Longest wait for an answer of the store's.
const STORE_PATIENCE: Duration = Duration::from_secs(10);
const PLAN_PATH: &str = "/asterramp/roll-patch";
const QUEUE_PATH: &str = "/asterramp/owner";
/// A plan as builds before 17cc2a9 wrote it, without what an operator wants.
const PLAN_WITHOUT_REQUEST: &str = r#"{"pids":{"a.sock":101,"b.sock":102},"done":false}"#;

/// What a contender says first, if it has not reached the store by then: on loopback that is a matter of luck.
const BEFORE_THE_STORE: &str = "away, term 0\n";

/// Compares with what the build at 17cc2a9 did.
fn assert_golden(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/roll")
        .join(name);
    let golden =
        std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert_eq!(actual, golden, "{name}");
}

// ---- the store ----

struct Store {
    process: Child,
    address: SocketAddr,
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Store {
    fn start() -> Store {
        // It is built with the workspace, beside this program.
        let program =
            Path::new(env!("CARGO_BIN_EXE_asterramp")).with_file_name("asterramp-zookeeper-stub");
        let mut command = Command::new(program);
        command
            .arg("127.0.0.1:0")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut process = command
            .spawn()
            .expect("no asterramp-zookeeper-stub beside the proxy: build the workspace");
        let mut line = String::new();
        BufReader::new(process.stdout.as_mut().unwrap())
            .read_line(&mut line)
            .unwrap();
        Store {
            process,
            address: line.trim().parse().unwrap(),
        }
    }

    /// With a plan in place.
    fn with_plan(plan: &str) -> Store {
        let store = Store::start();
        let mut client = StoreClient::connect(store.address);
        client.create("/asterramp", "");
        client.create(PLAN_PATH, plan);
        store
    }

    /// The plan's exact bytes.
    fn plan(&self) -> String {
        StoreClient::connect(self.address).data(PLAN_PATH).0
    }
}

/// A plain client of the store: one question after the other.
struct StoreClient {
    stream: TcpStream,
    frames: FrameReader,
    request_id: i32,
}

impl StoreClient {
    fn connect(address: SocketAddr) -> StoreClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(STORE_PATIENCE)).unwrap();
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
        let connected = ConnectResponse::read(&client.frame()).unwrap();
        assert!(connected.timeout_ms > 0);
        client
    }

    fn frame(&mut self) -> Vec<u8> {
        let mut bytes = [0; 4096];
        loop {
            if let Some(frame) = self.frames.next_frame().unwrap() {
                return frame.to_vec();
            }
            let n = self.stream.read(&mut bytes).unwrap();
            assert!(n > 0, "the store has closed the connection");
            self.frames.append(&bytes[..n]);
        }
    }

    /// Asks, and reads the answer's body; an error is the store's refusal.
    fn ask<T>(
        &mut self,
        request: &StoreRequest,
        read: impl FnOnce(&mut JuteReader<'_>) -> Result<T, DecodeError>,
    ) -> Result<T, StoreError> {
        self.request_id += 1;
        let request_id = self.request_id;
        let mut bytes = Vec::new();
        write_frame(&mut bytes, |out| request.write(request_id, out));
        self.stream.write_all(&bytes).unwrap();
        let frame = self.frame();
        let mut reader = JuteReader::new(&frame);
        let head = ReplyHeader::read(&mut reader).unwrap();
        assert_eq!(head.xid, request_id);
        match StoreError::from_code(head.error_code) {
            Some(refused) => Err(refused),
            None => Ok(read(&mut reader).unwrap()),
        }
    }

    fn create(&mut self, path: &str, data: &str) {
        let request = StoreRequest::Create {
            path: path.into(),
            data: data.into(),
            ephemeral: false,
        };
        self.ask(&request, |reader| reader.string().map(drop))
            .unwrap();
    }

    fn data(&mut self, path: &str) -> (String, NodeStat) {
        let request = StoreRequest::GetData {
            path: path.into(),
            watch: false,
        };
        let read = |reader: &mut JuteReader<'_>| {
            let data = reader.buffer()?.unwrap_or_default().to_vec();
            Ok((String::from_utf8(data).unwrap(), NodeStat::read(reader)?))
        };
        self.ask(&request, read).unwrap()
    }

    fn children(&mut self, path: &str) -> Vec<String> {
        let request = StoreRequest::GetChildren {
            path: path.into(),
            watch: false,
        };
        let read =
            |reader: &mut JuteReader<'_>| reader.vector(|reader| Ok(reader.string()?.to_string()));
        self.ask(&request, read).unwrap_or_default()
    }
}

/// Between a program and the store: passes bytes on and keeps what the program writes.
struct Relay {
    address: SocketAddr,
    frames: Arc<Mutex<Vec<Vec<u8>>>>,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Relay {
    fn start(store: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let relay = Relay {
            address,
            frames: Arc::default(),
            connections: Arc::default(),
        };
        let (frames, connections) = (relay.frames.clone(), relay.connections.clone());
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let server = TcpStream::connect(store).unwrap();
                let (mut from_store, mut to_client) =
                    (server.try_clone().unwrap(), client.try_clone().unwrap());
                std::thread::spawn(move || std::io::copy(&mut from_store, &mut to_client));
                let frames = frames.clone();
                let connection = std::thread::spawn(move || Relay::pass(client, server, &frames));
                connections.lock().unwrap().push(connection);
            }
        });
        relay
    }

    fn pass(mut client: TcpStream, mut server: TcpStream, written: &Mutex<Vec<Vec<u8>>>) {
        let (mut frames, mut bytes) = (FrameReader::default(), [0; 4096]);
        while let Ok(n) = client.read(&mut bytes) {
            if n == 0 || server.write_all(&bytes[..n]).is_err() {
                return;
            }
            frames.append(&bytes[..n]);
            while let Some(frame) = frames.next_frame().unwrap() {
                written.lock().unwrap().push(frame.to_vec());
            }
        }
    }

    /// What a program that has ended wrote at the store, a line each: what only reads depends on time and is left out.
    fn writes(&self) -> String {
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
            let text = |data: &[u8]| String::from_utf8(data.to_vec()).unwrap();
            lines += &match StoreRequest::read(frame).unwrap().1 {
                StoreRequest::Create {
                    path,
                    data,
                    ephemeral,
                } => {
                    format!("create {path} ephemeral={ephemeral} data={}\n", text(&data))
                }
                StoreRequest::SetData {
                    path,
                    data,
                    version,
                } => {
                    format!("set-data {path} version={version} data={}\n", text(&data))
                }
                StoreRequest::Delete { path, version } => {
                    format!("delete {path} version={version}\n")
                }
                StoreRequest::Close => "close\n".to_string(),
                StoreRequest::Multi(all) => format!("multi of {}\n", all.len()),
                _ => String::new(),
            };
        }
        lines
    }
}

// ---- the proxies ----

/// When a scripted proxy that is empty starts again, as another process.
#[derive(Clone, Copy, PartialEq)]
enum Restarts {
    /// Once it was ordered to leave.
    OnLeave,
    /// Once it has said that it is empty.
    WhenEmpty,
    Never,
}

struct ProxyState {
    status: ProxyStatus,
    restarts: Restarts,
    /// Status replies since the drain began or the process started.
    replies: u32,
    /// AdminReply to a drain, if it is not done.
    refuses: Option<&'static str>,
    /// It drains for as long as anybody looks.
    stays_draining: bool,
    /// The drain is taken back before it is done.
    undrained: bool,
    /// It does not carry its share after a restart.
    idle: bool,
    /// Requests that change something, a line each.
    orders: String,
}

fn remaining(listener: &str, sessions: usize) -> ListenerSessions {
    ListenerSessions {
        listener: listener.into(),
        sessions,
    }
}

/// A proxy's control socket, scripted.
#[derive(Clone)]
struct ScriptedProxy(Arc<Mutex<ProxyState>>);

impl ScriptedProxy {
    fn start(path: &Path, pid: u32, restarts: Restarts) -> ScriptedProxy {
        let status = ProxyStatus {
            pid,
            state: "serving".into(),
            uptime_ms: 60_000,
            open_sessions: 3,
            allows_next_drain: true,
            listed_endpoints: 2,
            ready_endpoints: 2,
            discovery_age_ms: Some(400),
            incarnation: u64::from(pid) * 1_000,
            clock_us: 60_000_000,
            ..ProxyStatus::default()
        };
        let state = ProxyState {
            status,
            restarts,
            replies: 0,
            refuses: None,
            stays_draining: false,
            undrained: false,
            idle: false,
            orders: String::new(),
        };
        let proxy = ScriptedProxy(Arc::new(Mutex::new(state)));
        let listener = UnixListener::bind(path).unwrap();
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                std::thread::spawn(move || proxy.serve(stream));
            }
        });
        proxy
    }

    fn serve(&self, stream: UnixStream) {
        let mut replies = stream.try_clone().unwrap();
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let reply = self.0.lock().unwrap().reply(&line);
            if replies.write_all(reply.to_line().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn set(&self, change: impl FnOnce(&mut ProxyState)) {
        change(&mut self.0.lock().unwrap());
    }

    fn orders(&self) -> String {
        self.0.lock().unwrap().orders.clone()
    }
}

impl ProxyState {
    fn reply(&mut self, line: &str) -> AdminReply {
        let request = AdminRequest::parse(line.as_bytes()).unwrap();
        if request.command != AdminCommand::Status {
            self.orders += &(without_end(line) + "\n");
        }
        match request.command {
            AdminCommand::Status => self.next_status(),
            AdminCommand::Drain if self.refuses.is_some() => {
                return AdminReply::error(self.refuses.unwrap());
            }
            AdminCommand::Drain => {
                self.status.state = "draining".into();
                self.status.allows_next_drain = false;
                self.status.deadline_in_ms = request.deadline_ms;
                self.status.remaining = vec![remaining("feed", 2), remaining("order", 1)];
                self.replies = 0;
            }
            AdminCommand::Shutdown if self.restarts == Restarts::OnLeave => self.restart(),
            _ => {}
        }
        AdminReply::status(self.status.clone())
    }

    /// Draining, then empty; after a restart it carries its share at the second look.
    fn next_status(&mut self) {
        self.replies += 1;
        match self.status.state.as_str() {
            "draining" if self.stays_draining => {}
            "draining" if self.undrained && self.replies == 2 => {
                self.status.state = "serving".into()
            }
            "draining" if self.replies == 2 => {
                self.status.state = "empty".into();
                self.status.open_sessions = 0;
                self.status.migrated = 3;
                self.status.remaining.clear();
            }
            "empty" if self.restarts == Restarts::WhenEmpty && self.replies > 2 => self.restart(),
            "serving" if self.replies > 1 && !self.idle => self.status.allows_next_drain = true,
            _ => {}
        }
    }

    fn restart(&mut self) {
        self.status.pid += 100;
        self.status.incarnation += 1;
        self.status.state = "serving".into();
        self.status.deadline_in_ms = None;
        self.status.open_sessions = 1;
        self.status.migrated = 0;
        self.status.allows_next_drain = false;
        self.replies = 0;
    }
}

/// The end of an order, by a clock, is the one thing in it that differs between runs.
fn without_end(line: &str) -> String {
    match line.split_once("\"until_us\":") {
        Some((before, after)) => {
            let rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
            format!("{before}\"until_us\":{{end}}{rest}")
        }
        None => line.into(),
    }
}

// ---- the program ----

/// A folder with control sockets in it, in which the program runs.
struct Site {
    folder: PathBuf,
    proxies: Vec<ScriptedProxy>,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// How a run of the program ended.
struct Ended {
    pid: u32,
    text: String,
}

impl Site {
    /// Two proxies, `a.sock` of process 101 and `b.sock` of process 102.
    fn start(restarts: Restarts) -> Site {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!(
            "asterramp-golden-roll-{}-{nth}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        let proxies = [("a.sock", 101), ("b.sock", 102)];
        let proxies =
            proxies.map(|(name, pid)| ScriptedProxy::start(&folder.join(name), pid, restarts));
        Site {
            folder,
            proxies: proxies.into(),
        }
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
        command.current_dir(&self.folder).args(arguments);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }

    /// Runs the program to its end: its exit code, output and errors.
    fn run(&self, arguments: &[&str]) -> Ended {
        ended(self.command(arguments).spawn().unwrap())
    }

    /// A roll with short spans; what it says before it has reached the store is left out.
    fn roll(&self, more: &[&str]) -> Ended {
        let ended = self.run(&roll_arguments(more));
        Ended {
            text: ended.text.replace(BEFORE_THE_STORE, ""),
            ..ended
        }
    }

    fn start_roll(&self, more: &[&str]) -> Child {
        self.command(&roll_arguments(more)).spawn().unwrap()
    }

    /// `asterramp fleet` about the roll `patch`.
    fn fleet(&self, what: &str, store: SocketAddr) -> String {
        self.run(&[
            "fleet",
            what,
            "--store",
            &store.to_string(),
            "--name",
            "patch",
        ])
        .text
    }
}

fn roll_arguments<'a>(more: &[&'a str]) -> Vec<&'a str> {
    let mut arguments = vec!["roll", "--control", "a.sock", "--control", "b.sock"];
    arguments.extend(["--deadline", "3s", "--patience", "2s", "--share", "0"]);
    arguments.extend(more);
    if more.contains(&"--store") {
        // A contender looks at the queue at each eighth of it, so that each state is printed also on a busy machine.
        arguments.extend(["--session", "12s"]);
    }
    arguments
}

fn ended(process: Child) -> Ended {
    let pid = process.id();
    let output = process.wait_with_output().unwrap();
    let text = format!(
        "exit code {}\n--- stdout\n{}--- stderr\n{}",
        output
            .status
            .code()
            .map_or("none".into(), |code| code.to_string()),
        String::from_utf8(output.stdout).unwrap(),
        String::from_utf8(output.stderr).unwrap()
    );
    Ended { pid, text }
}

/// The node's name of a contender with this process id.
fn contender(pid: u32) -> String {
    let seed = u64::from(pid).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5ca1;
    format!("c-{pid}-{:08x}", seed as u32)
}

fn next_line(output: &mut BufReader<ChildStdout>) -> String {
    let mut line = String::new();
    output.read_line(&mut line).unwrap();
    line
}

/// Reads output up to a line that ends so, that line included.
fn lines_up_to(output: &mut BufReader<ChildStdout>, end: &str) -> String {
    let mut lines = String::new();
    loop {
        let line = next_line(output);
        assert!(!line.is_empty(), "ended before {end:?}: {lines}");
        lines += &line;
        if line.trim_end().ends_with(end) {
            return lines.replace(BEFORE_THE_STORE, "");
        }
    }
}

// ---- tests ----

#[test]
fn a_guarded_roll_from_its_start_to_its_end() {
    let (site, store) = (Site::start(Restarts::OnLeave), Store::start());
    let relay = Relay::start(store.address);
    let address = relay.address.to_string();
    let ended = site.roll(&["--store", &address, "--name", "patch"]);
    assert_golden("guarded.txt", &ended.text);
    assert_golden(
        "guarded-store-writes.txt",
        &relay.writes().replace(&contender(ended.pid), "{contender}"),
    );
    assert_golden("guarded-orders-a.txt", &site.proxies[0].orders());
    assert_golden("guarded-orders-b.txt", &site.proxies[1].orders());
    assert_golden("plan-done.json", &store.plan());
}

#[test]
fn a_plan_as_it_is_begun_and_with_each_requested_state() {
    let (site, store) = (Site::start(Restarts::OnLeave), Store::start());
    assert_golden(
        "fleet-status-no-roll.txt",
        &site.fleet("status", store.address),
    );
    assert_golden(
        "fleet-pause-no-roll.txt",
        &site.fleet("pause", store.address),
    );
    site.proxies[0].set(|state| state.stays_draining = true);
    let address = store.address.to_string();
    let mut roll = site.start_roll(&["--store", &address, "--name", "patch"]);
    let mut output = BufReader::new(roll.stdout.take().unwrap());
    lines_up_to(&mut output, "a.sock: draining, 3 open");
    lines_up_to(&mut output, "no other should be drained");
    assert_golden("plan-fresh.json", &store.plan());
    let node = contender(roll.id());
    let status = site
        .fleet("status", store.address)
        .replace(&node, "{contender}");
    assert_golden("fleet-status-owned.txt", &status);
    roll.kill().unwrap();
    roll.wait().unwrap();
    for (request, plan) in [
        ("pause", "paused"),
        ("resume", "resumed"),
        ("cancel", "cancelled"),
    ] {
        let relay = Relay::start(store.address);
        assert_golden(
            &format!("fleet-{request}.txt"),
            &site.fleet(request, relay.address),
        );
        assert_golden(
            &format!("fleet-{request}-store-writes.txt"),
            &relay.writes(),
        );
        assert_golden(&format!("plan-{plan}.json"), &store.plan());
    }
}

#[test_case("without-request", PLAN_WITHOUT_REQUEST; "an old plan")]
#[test_case("fresh", include_str!("golden/roll/plan-fresh.json"); "a fresh plan")]
#[test_case("paused", include_str!("golden/roll/plan-paused.json"); "a paused plan")]
#[test_case("cancelled", include_str!("golden/roll/plan-cancelled.json"); "a cancelled plan")]
#[test_case("done", include_str!("golden/roll/plan-done.json"); "a plan that is done")]
#[test_case("unreadable", "{\"pids\":7}"; "a plan that cannot be read")]
fn what_fleet_tells_of_a_plan_and_makes_of_it(name: &str, plan: &str) {
    let site = Site::start(Restarts::Never);
    // One was replaced, one cannot be reached.
    site.proxies[0].set(|state| state.status.pid = 201);
    std::fs::remove_file(site.folder.join("b.sock")).unwrap();
    let store = Store::with_plan(plan);
    assert_golden(
        &format!("fleet-status-of-{name}.txt"),
        &site.fleet("status", store.address),
    );
    assert_golden(
        &format!("fleet-pause-of-{name}.txt"),
        &site.fleet("pause", store.address),
    );
    assert_golden(&format!("fleet-pause-of-{name}.json"), &store.plan());
}

#[test_case("without-request", PLAN_WITHOUT_REQUEST; "an old plan")]
#[test_case("resumed", include_str!("golden/roll/plan-resumed.json"); "a resumed plan")]
#[test_case("cancelled", include_str!("golden/roll/plan-cancelled.json"); "a cancelled plan")]
#[test_case("done", include_str!("golden/roll/plan-done.json"); "a plan that is done")]
#[test_case("unreadable", "{\"pids\":7}"; "a plan that cannot be read")]
#[test_case("of-others", r#"{"pids":{"a.sock":101,"c.sock":103},"done":false,"wish":"go-on"}"#; "a plan of other proxies")]
fn a_roll_takes_a_plan_up_where_it_stands(name: &str, plan: &str) {
    let site = Site::start(Restarts::OnLeave);
    site.proxies[0].set(|state| state.status.pid = 201);
    let store = Store::with_plan(plan);
    let address = store.address.to_string();
    assert_golden(
        &format!("takes-up-{name}.txt"),
        &site.roll(&["--store", &address, "--name", "patch"]).text,
    );
    assert_golden(&format!("takes-up-{name}.json"), &store.plan());
    assert_eq!(
        site.proxies[0].orders().matches("drain").count(),
        0,
        "it was replaced already"
    );
}

#[test]
fn a_paused_roll_goes_on_when_it_is_resumed() {
    let site = Site::start(Restarts::OnLeave);
    let store = Store::with_plan(include_str!("golden/roll/plan-paused.json"));
    let address = store.address.to_string();
    let mut roll = site.start_roll(&["--store", &address, "--name", "patch"]);
    let mut output = BufReader::new(roll.stdout.take().unwrap());
    let mut printed = lines_up_to(&mut output, "patch is paused");
    site.fleet("resume", store.address);
    output.read_to_string(&mut printed).unwrap();
    assert_eq!(roll.wait().unwrap().code(), Some(0));
    assert_golden("paused-and-resumed.txt", &printed);
}

#[test]
fn contenders_queue_by_their_nodes() {
    let (site, store) = (
        Site::start(Restarts::Never),
        Store::with_plan(include_str!("golden/roll/plan-paused.json")),
    );
    let address = store.address.to_string();
    let arguments = ["--store", &address, "--name", "patch"];
    let mut first = site.start_roll(&arguments);
    let mut first_output = BufReader::new(first.stdout.take().unwrap());
    let mut printed = lines_up_to(&mut first_output, "patch is paused");
    let mut second = site.start_roll(&arguments);
    let mut second_output = BufReader::new(second.stdout.take().unwrap());
    printed += "--- second\n";
    printed += &lines_up_to(&mut second_output, "queued, term 5");
    assert_golden("contenders.txt", &printed);

    let names = [contender(first.id()), contender(second.id())];
    let anonymous = |text: String| {
        text.replace(&names[0], "{first}")
            .replace(&names[1], "{second}")
    };
    let mut client = StoreClient::connect(store.address);
    let mut children = client.children(QUEUE_PATH);
    children.sort_by_key(|name| names.iter().position(|known| known == name));
    let mut paths = vec!["/asterramp".to_string(), QUEUE_PATH.to_string()];
    paths.extend(children.iter().map(|name| format!("{QUEUE_PATH}/{name}")));
    let mut nodes = String::new();
    for path in paths {
        let (data, stat) = client.data(&path);
        let ephemeral = stat.ephemeral_owner != 0;
        nodes += &format!(
            "{path} created={} ephemeral={ephemeral} data={data}\n",
            stat.created_zxid
        );
    }
    assert_golden("contender-nodes.txt", &anonymous(nodes));
    assert_golden(
        "fleet-status-two-contenders.txt",
        &anonymous(site.fleet("status", store.address)),
    );
    for process in [&mut first, &mut second] {
        process.kill().unwrap();
        process.wait().unwrap();
    }
}

#[test_case("plain", &[]; "somebody else restarts")]
#[test_case("restart", &["--restart", "echo restarting $ASTERRAMP_CONTROL"]; "by a command")]
#[test_case("restart-fails", &["--restart", "exit 3"]; "by a command that fails")]
fn a_roll_that_is_not_guarded(name: &str, more: &[&str]) {
    let site = Site::start(Restarts::WhenEmpty);
    assert_golden(&format!("unguarded-{name}.txt"), &site.roll(more).text);
    assert_golden(
        &format!("unguarded-{name}-orders-a.txt"),
        &site.proxies[0].orders(),
    );
}

#[test]
fn a_guarded_roll_with_a_command_orders_no_leave() {
    let (site, store) = (Site::start(Restarts::WhenEmpty), Store::start());
    let address = store.address.to_string();
    let ended = site.roll(&[
        "--store",
        &address,
        "--name",
        "patch",
        "--restart",
        "echo restarting $ASTERRAMP_CONTROL",
    ]);
    assert_golden("guarded-restart.txt", &ended.text);
    assert_golden("guarded-restart-orders-a.txt", &site.proxies[0].orders());
}

#[test_case("never-back", |state| state.restarts = Restarts::Never; "it does not come back")]
#[test_case("idle", |state| state.idle = true; "it carries nothing after its restart")]
#[test_case("undrained", |state| state.undrained = true; "its drain is taken back")]
#[test_case("refused", |state| state.refuses = Some("the order's time is over"); "it refuses")]
fn a_roll_stops_at_the_first_proxy_that_fails(name: &str, change: fn(&mut ProxyState)) {
    let (site, store) = (Site::start(Restarts::OnLeave), Store::start());
    site.proxies[0].set(change);
    let address = store.address.to_string();
    let ended = site.roll(&["--store", &address, "--name", "patch"]);
    assert_golden(&format!("stops-{name}.txt"), &ended.text);
    assert_golden(&format!("stops-{name}.json"), &store.plan());
}

#[test]
fn another_that_does_not_carry_its_share_stops_a_roll() {
    let (site, store) = (Site::start(Restarts::OnLeave), Store::start());
    site.proxies[1].set(|state| {
        state.idle = true;
        state.status.allows_next_drain = false;
    });
    let address = store.address.to_string();
    assert_golden(
        "stops-other.txt",
        &site.roll(&["--store", &address, "--name", "patch"]).text,
    );
}

#[test]
fn a_proxy_that_cannot_be_reached_stops_a_roll() {
    let site = Site::start(Restarts::OnLeave);
    std::fs::remove_file(site.folder.join("a.sock")).unwrap();
    assert_golden("unreachable-unguarded.txt", &site.roll(&[]).text);
    let store = Store::start();
    let address = store.address.to_string();
    assert_golden(
        "unreachable-guarded.txt",
        &site.roll(&["--store", &address, "--name", "patch"]).text,
    );
    let store = Store::with_plan(PLAN_WITHOUT_REQUEST);
    let address = store.address.to_string();
    // One that an earlier roll had told to leave is waited for.
    assert_golden(
        "unreachable-begun.txt",
        &site.roll(&["--store", &address, "--name", "patch"]).text,
    );
}

#[test]
fn without_a_store_nothing_is_rolled() {
    let site = Site::start(Restarts::OnLeave);
    // Nobody listens there.
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let roll = site.run(&roll_arguments(&[
        "--store",
        &address.to_string(),
        "--name",
        "patch",
    ]));
    assert_golden("no-store.txt", &roll.text);
    assert_golden("no-store-fleet.txt", &site.fleet("status", address));
    assert_eq!(site.proxies[0].orders(), "");
}

#[test]
fn a_store_without_a_name_is_an_error() {
    let site = Site::start(Restarts::OnLeave);
    assert_golden("no-name.txt", &site.roll(&["--store", "127.0.0.1:9"]).text);
    let bad = ["fleet", "status", "--store", "127.0.0.1:9", "--name", "a/b"];
    assert_golden("bad-name.txt", &site.run(&bad).text);
}
