//! Guarded rolls, with one leader at a time: three proxies that a supervisor restarts, a store, and leaders that are stopped,
//! killed and woken late. No two proxies are ever out of service, each is replaced once, and a former leader does nothing.

mod support;

use asterramp_admin_protocol::{
    AdminClient, AdminCommand, AdminRequest, ClientError, LeaderToken, ProxyStatus,
};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{SETTINGS, free_address};
use test_case::test_case;

const PROXIES: usize = 3;
/// The session's timeout at the store.
const SESSION_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest that a roll of three proxies may take with all its successors.
const ROLL_TIMEOUT: Duration = Duration::from_secs(90);

struct StoreProcess {
    process: Child,
    address: SocketAddr,
}

impl Drop for StoreProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl StoreProcess {
    fn start() -> StoreProcess {
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
        StoreProcess {
            process,
            address: line.trim().parse().unwrap(),
        }
    }

    /// Has it fail in the way that this line of its standard input names.
    fn fault(&mut self, name: &str) {
        writeln!(self.process.stdin.as_mut().unwrap(), "{name}").unwrap();
    }
}

/// Between leaders and a proxy: passes lines on, and holds one order to drain back for as long as it is told to.
#[derive(Clone, Default)]
struct Relay {
    holds_next_drain: Arc<AtomicBool>,
    is_holding: Arc<AtomicBool>,
    is_released: Arc<AtomicBool>,
}

impl Relay {
    fn start(path: &Path, proxy: &Path) -> Relay {
        let relay = Relay::default();
        let listener = UnixListener::bind(path).unwrap();
        let proxy = proxy.to_path_buf();
        let accepting = relay.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = accepting.clone();
                let proxy = proxy.clone();
                std::thread::spawn(move || relay.pass(stream, &proxy));
            }
        });
        relay
    }

    fn pass(&self, client: UnixStream, proxy: &Path) {
        let Ok(mut server) = UnixStream::connect(proxy) else {
            return;
        };
        let mut replies = BufReader::new(server.try_clone().unwrap());
        let mut to_client = client.try_clone().unwrap();
        for mut line in BufReader::new(client).lines().map_while(Result::ok) {
            line.push('\n');
            if line.contains("\"drain\"") && self.holds_next_drain.swap(false, Ordering::Relaxed) {
                self.hold();
                // The process that it was for may have been replaced: it goes to whichever is there now.
                let Ok(now_there) = UnixStream::connect(proxy) else {
                    return;
                };
                server = now_there;
                replies = BufReader::new(server.try_clone().unwrap());
            }
            let mut reply = String::new();
            let passed = server
                .write_all(line.as_bytes())
                .and_then(|()| replies.read_line(&mut reply));
            if !passed.is_ok_and(|n| n > 0) || to_client.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits until it is released.
    fn hold(&self) {
        self.is_holding.store(true, Ordering::Relaxed);
        while !self.is_released.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Proxies with the threads that restart them and that count how many are out of service.
struct Site {
    folder: PathBuf,
    admin_sockets: Vec<PathBuf>,
    /// By which leaders reach the proxies.
    relays: Vec<Relay>,
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    /// Most proxies that were out of service at once.
    most_out: Arc<AtomicU32>,
    /// The processes that each proxy has been.
    pids: Arc<Mutex<BTreeMap<usize, Vec<u32>>>>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn status(admin_socket: &Path) -> Option<ProxyStatus> {
    AdminClient::connect(admin_socket)
        .ok()?
        .send(&AdminRequest::new(AdminCommand::Status))
        .ok()
}

impl Site {
    fn start() -> Site {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("asterramp-lease-{}-{nth}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let mut site = Site {
            admin_sockets: (0..PROXIES)
                .map(|n| folder.join(format!("{n}.sock")))
                .collect(),
            folder,
            relays: Vec::new(),
            is_over: Arc::default(),
            threads: Vec::new(),
            most_out: Arc::default(),
            pids: Arc::default(),
        };
        for n in 0..PROXIES {
            let listen = free_address(20_000 + nth * 10 + n as u32);
            site.start_proxy(n, listen);
        }
        for admin_socket in &site.admin_sockets {
            let relay = Relay::start(&admin_socket.with_extension("way"), admin_socket);
            site.relays.push(relay);
        }
        site.wait_until_serving();
        site.start_watching();
        site
    }

    fn start_proxy(&mut self, n: usize, listen: SocketAddr) {
        let operator_file = self.folder.join(format!("{n}.toml"));
        let operator = format!(
            "[control]\nsocket = {:?}\n[drain]\nclosing = \"300ms\"\nquiet = \"200ms\"\nback = \"200ms\"\n[state]\nfolder = {:?}\n",
            self.admin_sockets[n],
            self.folder.join(format!("{n}.state"))
        );
        std::fs::write(&operator_file, operator).unwrap();
        let config_file = self.folder.join(format!("{n}.json"));
        let config = format!(
            r#"{{"listen":"{listen}","discovery":"127.0.0.1:9","seed":"8c","known":{{"rev":1,"all":true,"targets":[]}},"settings":{SETTINGS}}}"#
        );
        std::fs::write(&config_file, config).unwrap();
        let (is_over, pids) = (self.is_over.clone(), self.pids.clone());
        let supervisor = std::thread::spawn(move || {
            supervise(n, &config_file, &operator_file, &is_over, &pids);
        });
        self.threads.push(supervisor);
    }

    fn wait_until_serving(&self) {
        let give_up_at = Instant::now() + support::TIMEOUT;
        while !self
            .admin_sockets
            .iter()
            .all(|admin_socket| status(admin_socket).is_some())
        {
            assert!(Instant::now() < give_up_at, "the proxies do not start");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Counts from now on how many proxies are out of service at once.
    fn start_watching(&mut self) {
        let admin_sockets = self.admin_sockets.clone();
        let (is_over, most_out) = (self.is_over.clone(), self.most_out.clone());
        let watcher = std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let out = admin_sockets
                    .iter()
                    .filter(|socket| status(socket).is_none_or(|s| s.state != "serving"))
                    .count();
                most_out.fetch_max(out as u32, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(15));
            }
        });
        self.threads.push(watcher);
    }

    /// Starts a guarded roll of all proxies.
    fn start_roll(&self, store: &StoreProcess) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
        command.arg("roll").args([
            "--deadline",
            "3s",
            "--patience",
            "20s",
            "--share",
            "0",
            "--name",
            "patch",
        ]);
        command.args(["--session", "2s", "--store", &store.address.to_string()]);
        for admin_socket in &self.admin_sockets {
            command
                .arg("--control")
                .arg(admin_socket.with_extension("way"));
        }
        command
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap()
    }

    /// How many proxies have been replaced.
    fn replaced(&self) -> usize {
        self.pids
            .lock()
            .unwrap()
            .values()
            .filter(|pids| pids.len() > 1)
            .count()
    }

    fn wait_until_replaced(&self, replaced: usize) {
        let give_up_at = Instant::now() + ROLL_TIMEOUT;
        while self.replaced() < replaced {
            assert!(
                Instant::now() < give_up_at,
                "{} of {replaced} are replaced",
                self.replaced()
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Never were two proxies out of service, and each has been replaced once.
    fn assert_replaced_one_by_one(&self) {
        assert!(
            self.most_out.load(Ordering::Relaxed) <= 1,
            "{} proxies were out at once",
            self.most_out.load(Ordering::Relaxed)
        );
        let pids = self.pids.lock().unwrap();
        assert!(pids.values().all(|pids| pids.len() == 2), "{pids:?}");
    }
}

/// Runs a proxy and starts it again whenever it has ended.
fn supervise(
    n: usize,
    config_file: &Path,
    operator_file: &Path,
    is_over: &AtomicBool,
    pids: &Mutex<BTreeMap<usize, Vec<u32>>>,
) {
    let start = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
        command
            .env("LB_CONFIG", config_file)
            .env("ASTERRAMP_OPERATOR", operator_file)
            .stderr(Stdio::null());
        command.spawn().unwrap()
    };
    let mut child = start();
    pids.lock().unwrap().entry(n).or_default().push(child.id());
    while !is_over.load(Ordering::Relaxed) {
        if child.try_wait().unwrap().is_some() {
            child = start();
            pids.lock().unwrap().entry(n).or_default().push(child.id());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    let _ = child.wait();
}

/// How a leader is interrupted.
#[derive(Clone, Copy, PartialEq)]
enum Interruption {
    /// It is stopped, and goes on later.
    Stop,
    Kill,
}

impl Interruption {
    fn begin(self, process: &Child) {
        match self {
            Interruption::Stop => signal(process, "STOP"),
            Interruption::Kill => signal(process, "KILL"),
        }
    }

    /// A roll that goes on finds the work done.
    fn end(self, process: &mut Child) {
        match self {
            Interruption::Stop => {
                signal(process, "CONT");
                assert_eq!(exit_code(process), Some(0), "it finds the work done");
            }
            Interruption::Kill => {
                exit_code(process);
            }
        }
    }
}

fn signal(process: &Child, name: &str) {
    let sent = Command::new("kill")
        .args([&format!("-{name}"), &process.id().to_string()])
        .status();
    assert!(sent.unwrap().success());
}

/// Waits until a roll has ended; its exit code.
fn exit_code(process: &mut Child) -> Option<i32> {
    let give_up_at = Instant::now() + ROLL_TIMEOUT;
    loop {
        if let Some(status) = process.try_wait().unwrap() {
            return status.code();
        }
        assert!(Instant::now() < give_up_at, "the roll does not end");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_roll_has_one_leader_and_the_second_finds_it_done() {
    let (site, store) = (Site::start(), StoreProcess::start());
    let mut rolls = [site.start_roll(&store), site.start_roll(&store)];
    assert_eq!(
        [exit_code(&mut rolls[0]), exit_code(&mut rolls[1])],
        [Some(0), Some(0)]
    );
    site.assert_replaced_one_by_one();
}

#[test_case(Interruption::Stop, 0, 150; "stopped before its first order")]
#[test_case(Interruption::Stop, 0, 2_600; "stopped while the first proxy drains")]
#[test_case(Interruption::Stop, 1, 60; "stopped between two proxies")]
#[test_case(Interruption::Kill, 1, 400; "killed while the second drains")]
fn a_successor_goes_on_and_a_former_leader_does_no_harm_when_it_wakes(
    interruption: Interruption,
    replaced: usize,
    delay_ms: u64,
) {
    let (site, store) = (Site::start(), StoreProcess::start());
    let mut first = site.start_roll(&store);
    std::thread::sleep(Duration::from_millis(300));
    let mut second = site.start_roll(&store);
    site.wait_until_replaced(replaced);
    std::thread::sleep(Duration::from_millis(delay_ms));
    interruption.begin(&first);
    // It sleeps until its successor is at work.
    site.wait_until_replaced((replaced + 2).min(PROXIES));
    interruption.end(&mut first);
    assert_eq!(exit_code(&mut second), Some(0));
    site.assert_replaced_one_by_one();
}

/// The leader has sent the order and is interrupted; the order arrives while its successor has another proxy out of service.
#[test_case(0, Interruption::Stop; "the first order, of a leader that is stopped")]
#[test_case(1, Interruption::Stop; "the second, of one that is stopped")]
#[test_case(0, Interruption::Kill; "the first, of one that was killed")]
fn an_order_that_arrives_late_has_no_effect(nth: usize, interruption: Interruption) {
    let (site, store) = (Site::start(), StoreProcess::start());
    let relay = &site.relays[nth];
    relay.holds_next_drain.store(true, Ordering::Relaxed);
    let mut first = site.start_roll(&store);
    let give_up_at = Instant::now() + ROLL_TIMEOUT;
    while !relay.is_holding.load(Ordering::Relaxed) {
        assert!(Instant::now() < give_up_at, "nothing was ordered");
        std::thread::sleep(Duration::from_millis(5));
    }
    interruption.begin(&first);
    let mut second = site.start_roll(&store);
    while status(&site.admin_sockets[nth + 1]).is_none_or(|s| s.state == "serving") {
        assert!(Instant::now() < give_up_at, "the successor does not go on");
        std::thread::sleep(Duration::from_millis(5));
    }
    relay.is_released.store(true, Ordering::Relaxed);
    assert_eq!(exit_code(&mut second), Some(0));
    interruption.end(&mut first);
    site.assert_replaced_one_by_one();
}

#[test_case(&["expire"]; "the store forgets all sessions")]
#[test_case(&["drop"]; "all connections break")]
#[test_case(&["mute", "wait", "speak"]; "the store hangs for longer than a session lasts")]
#[test_case(&["refuse", "drop", "wait", "accept"]; "nobody reaches the store for a while")]
fn whatever_fails_at_the_store_no_two_proxies_are_out_of_service(faults: &[&str]) {
    let (site, mut store) = (Site::start(), StoreProcess::start());
    let mut rolls = [site.start_roll(&store), site.start_roll(&store)];
    site.wait_until_replaced(1);
    for fault in faults {
        match *fault {
            "wait" => std::thread::sleep(SESSION_TIMEOUT + SESSION_TIMEOUT / 2),
            fault => store.fault(fault),
        }
    }
    assert_eq!(
        [exit_code(&mut rolls[0]), exit_code(&mut rolls[1])],
        [Some(0), Some(0)]
    );
    site.assert_replaced_one_by_one();
}

struct CommandResult {
    success: bool,
    /// Standard output and error.
    text: String,
}

/// Runs `asterramp fleet` about the roll.
fn fleet(store: &StoreProcess, subcommand: &str) -> CommandResult {
    let output = Command::new(env!("CARGO_BIN_EXE_asterramp"))
        .args(["fleet", subcommand, "--name", "patch"])
        .args(["--store", &store.address.to_string()])
        .output()
        .unwrap();
    CommandResult {
        success: output.status.success(),
        text: String::from_utf8_lossy(&output.stdout).to_string()
            + &String::from_utf8_lossy(&output.stderr),
    }
}

#[test]
fn a_roll_is_paused_resumed_and_cancelled_from_anywhere() {
    let (site, store) = (Site::start(), StoreProcess::start());
    assert!(
        fleet(&store, "status")
            .text
            .contains("no roll is called patch")
    );
    let mut first = site.start_roll(&store);
    site.wait_until_replaced(1);
    assert!(fleet(&store, "pause").success);
    // The one that was begun is finished; no other is.
    std::thread::sleep(Duration::from_secs(3));
    let replaced = site.replaced();
    assert!(replaced < PROXIES, "it was too fast to be paused");
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(site.replaced(), replaced);
    let said = fleet(&store, "status").text;
    assert!(
        said.contains(&format!("{replaced} of 3 are replaced; it is paused"))
            && said.contains("owns, term"),
        "{said}"
    );
    // A successor stays paused too.
    let mut second = site.start_roll(&store);
    signal(&first, "KILL");
    exit_code(&mut first);
    std::thread::sleep(SESSION_TIMEOUT * 2);
    assert_eq!(site.replaced(), replaced);
    assert!(fleet(&store, "resume").success);
    site.wait_until_replaced(replaced + 1);
    let cancelled = fleet(&store, "cancel");
    assert!(
        cancelled.success || cancelled.text.contains("is done"),
        "{}",
        cancelled.text
    );
    assert_eq!(
        exit_code(&mut second),
        Some(i32::from(site.replaced() < PROXIES))
    );
    assert!(site.most_out.load(Ordering::Relaxed) <= 1);
}

#[test]
fn without_the_store_nobody_leads_and_nothing_is_ordered() {
    let (site, mut store) = (Site::start(), StoreProcess::start());
    store.fault("mute");
    let mut roll = site.start_roll(&store);
    std::thread::sleep(Duration::from_secs(4));
    assert!(roll.try_wait().unwrap().is_none());
    assert_eq!(
        (site.replaced(), site.most_out.load(Ordering::Relaxed)),
        (0, 0)
    );
    roll.kill().unwrap();
    roll.wait().unwrap();
}

#[test]
#[allow(clippy::too_many_lines)] // A list of orders, one step each.
fn a_receiver_rejects_orders_that_are_expired_stale_or_for_another_process() {
    let site = Site::start();
    let admin_socket = &site.admin_sockets[0];
    let before = status(admin_socket).unwrap();
    let order = |command: AdminCommand, term: u64, incarnation: u64, left_ms: i64| {
        let clock = status(admin_socket).unwrap().clock_us;
        let expires_at_us = clock.saturating_add_signed(left_ms * 1_000);
        let leader = Some(LeaderToken {
            term,
            incarnation,
            expires_at_us,
        });
        AdminClient::connect(admin_socket)
            .unwrap()
            .send(&AdminRequest {
                leader,
                ..AdminRequest::new(command)
            })
    };
    assert_eq!(
        order(AdminCommand::AnnounceTerm, 7, before.incarnation, 2_000)
            .unwrap()
            .highest_term,
        7
    );
    let assert_rejected = |answer: Result<ProxyStatus, ClientError>, why: &str| {
        let error = answer.unwrap_err().to_string();
        assert!(error.contains(why), "{error}");
    };
    assert_rejected(
        order(AdminCommand::Drain, 6, before.incarnation, 2_000),
        "a later owner has been heard",
    );
    assert_rejected(
        order(AdminCommand::Drain, 8, before.incarnation, -1),
        "time is over",
    );
    assert_rejected(
        order(AdminCommand::Shutdown, 8, before.incarnation + 1, 2_000),
        "another process",
    );
    assert_rejected(
        order(AdminCommand::Drain, 0, before.incarnation, 2_000),
        "no term",
    );
    assert_rejected(
        AdminClient::connect(admin_socket)
            .unwrap()
            .send(&AdminRequest::new(AdminCommand::Shutdown)),
        "owner is missing",
    );
    assert_eq!(status(admin_socket).unwrap().state, "serving");
    // A term may be announced twice, and outlives the process.
    assert!(order(AdminCommand::Shutdown, 8, before.incarnation, 2_000).is_ok());
    site.wait_until_replaced(1);
    let give_up_at = Instant::now() + support::TIMEOUT;
    while status(admin_socket).is_none_or(|s| s.pid == before.pid) {
        assert!(Instant::now() < give_up_at);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        status(admin_socket).unwrap().highest_term,
        8,
        "the term is kept on disk"
    );
}
