//! Rolls under one owner at a time: three processes of the proxy that a supervisor starts again, a store, and owners that are
//! stopped, killed and woken late. Never are two proxies out, each is replaced once, and a late owner does nothing.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod support;

use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest, LeaderToken, ProxyStatus};
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
/// The session's time, and longest that a roll of three may take with successors.
const SESSION: Duration = Duration::from_secs(2);
const LONGEST: Duration = Duration::from_secs(90);

struct Store {
    child: Child,
    at: SocketAddr,
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Store {
    fn start() -> Store {
        // It is built with the workspace, beside this program.
        let beside = Path::new(env!("CARGO_BIN_EXE_asterramp")).with_file_name("asterramp-store");
        let mut command = Command::new(beside);
        command
            .arg("127.0.0.1:0")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = command
            .spawn()
            .expect("no asterramp-store beside the proxy: build the workspace");
        let mut line = String::new();
        BufReader::new(child.stdout.as_mut().unwrap())
            .read_line(&mut line)
            .unwrap();
        Store {
            child,
            at: line.trim().parse().unwrap(),
        }
    }

    fn fault(&mut self, what: &str) {
        writeln!(self.child.stdin.as_mut().unwrap(), "{what}").unwrap();
    }
}

/// Between owners and a receiver: passes lines on, and holds one order back for as long as it is told to.
#[derive(Clone, Default)]
struct Way {
    /// The next drain is held; one is; it may go.
    holds: Arc<AtomicBool>,
    held: Arc<AtomicBool>,
    goes: Arc<AtomicBool>,
}

impl Way {
    fn open(at: &Path, to: &Path) -> Way {
        let (way, door, to) = (
            Way::default(),
            UnixListener::bind(at).unwrap(),
            to.to_path_buf(),
        );
        let own = way.clone();
        std::thread::spawn(move || {
            for stream in door.incoming().flatten() {
                let (way, to) = (own.clone(), to.clone());
                std::thread::spawn(move || way.pass(stream, &to));
            }
        });
        way
    }

    fn pass(&self, stream: UnixStream, to: &Path) {
        let Ok(mut there) = UnixStream::connect(to) else {
            return;
        };
        let mut answers = BufReader::new(there.try_clone().unwrap());
        let mut back = stream.try_clone().unwrap();
        for mut line in BufReader::new(stream).lines().map_while(Result::ok) {
            line.push('\n');
            if line.contains("\"drain\"") && self.holds.swap(false, Ordering::Relaxed) {
                self.held.store(true, Ordering::Relaxed);
                while !self.goes.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                // The process that it was for may have been replaced: it goes to whoever is there now.
                let Ok(anew) = UnixStream::connect(to) else {
                    return;
                };
                there = anew;
                answers = BufReader::new(there.try_clone().unwrap());
            }
            let mut answer = String::new();
            let passed = there
                .write_all(line.as_bytes())
                .and_then(|()| answers.read_line(&mut answer));
            if !passed.is_ok_and(|n| n > 0) || back.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Proxies, whoever starts them again, and whoever counts how many are out.
struct Site {
    folder: PathBuf,
    controls: Vec<PathBuf>,
    /// By which owners reach them.
    ways: Vec<Way>,
    over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    /// Most that were out at once, and the processes that each has been.
    most: Arc<AtomicU32>,
    pids: Arc<Mutex<BTreeMap<usize, Vec<u32>>>>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.threads
            .drain(..)
            .for_each(|thread| thread.join().unwrap());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn status(control: &Path) -> Option<ProxyStatus> {
    AdminClient::connect(control)
        .ok()?
        .ask(&AdminRequest::new(AdminCommand::Status))
        .ok()
}

impl Site {
    fn start() -> Site {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("asterramp-own-{}-{nth}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut site = Site {
            controls: (0..PROXIES)
                .map(|n| folder.join(format!("{n}.sock")))
                .collect(),
            folder,
            ways: Vec::new(),
            over: Arc::default(),
            threads: Vec::new(),
            most: Arc::default(),
            pids: Arc::default(),
        };
        for n in 0..PROXIES {
            let control = &site.controls[n];
            let text = format!(
                "[control]\nsocket = {control:?}\n[drain]\nclosing = \"300ms\"\nquiet = \"200ms\"\nback = \"200ms\"\n[state]\nfolder = {:?}\n",
                site.folder.join(format!("{n}.state"))
            );
            let (operator, config) = (
                site.folder.join(format!("{n}.toml")),
                site.folder.join(format!("{n}.json")),
            );
            std::fs::write(&operator, text).unwrap();
            let listen = free_address(20_000 + nth * 10 + n as u32);
            let text = format!(
                r#"{{"listen":"{listen}","discovery":"127.0.0.1:9","seed":"8c","known":{{"rev":1,"all":true,"targets":[]}},"settings":{SETTINGS}}}"#
            );
            std::fs::write(&config, text).unwrap();
            let (over, pids) = (site.over.clone(), site.pids.clone());
            site.threads.push(std::thread::spawn(move || {
                supervise(n, &config, &operator, &over, &pids)
            }));
        }
        let ways = site
            .controls
            .iter()
            .map(|control| Way::open(&control.with_extension("way"), control));
        site.ways = ways.collect();
        let (over, most, controls) = (site.over.clone(), site.most.clone(), site.controls.clone());
        let until = Instant::now() + support::TIMEOUT;
        while !controls.iter().all(|control| status(control).is_some()) {
            assert!(Instant::now() < until, "the proxies do not start");
            std::thread::sleep(Duration::from_millis(20));
        }
        site.threads.push(std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let out = controls
                    .iter()
                    .filter(|c| status(c).is_none_or(|s| s.state != "serving"))
                    .count();
                most.fetch_max(out as u32, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(15));
            }
        }));
        site
    }

    fn roll(&self, store: &Store) -> Child {
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
        command.args(["--session", "2s", "--store", &store.at.to_string()]);
        for control in &self.controls {
            command.arg("--control").arg(control.with_extension("way"));
        }
        command
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap()
    }

    fn replaced(&self) -> usize {
        self.pids
            .lock()
            .unwrap()
            .values()
            .filter(|pids| pids.len() > 1)
            .count()
    }

    /// Waits until so many proxies have been replaced.
    fn until(&self, replaced: usize) {
        let by = Instant::now() + LONGEST;
        while self.replaced() < replaced {
            assert!(
                Instant::now() < by,
                "{} of {replaced} are replaced",
                self.replaced()
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// What must hold whatever happened.
    fn holds(&self) {
        assert!(
            self.most.load(Ordering::Relaxed) <= 1,
            "{} proxies were out at once",
            self.most.load(Ordering::Relaxed)
        );
        let pids = self.pids.lock().unwrap();
        assert!(pids.values().all(|pids| pids.len() == 2), "{pids:?}");
    }
}

fn supervise(
    n: usize,
    config: &Path,
    operator: &Path,
    over: &AtomicBool,
    pids: &Mutex<BTreeMap<usize, Vec<u32>>>,
) {
    let start = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
        command
            .env("LB_CONFIG", config)
            .env("ASTERRAMP_OPERATOR", operator)
            .stderr(Stdio::null());
        command.spawn().unwrap()
    };
    let mut child = start();
    pids.lock().unwrap().entry(n).or_default().push(child.id());
    while !over.load(Ordering::Relaxed) {
        if child.try_wait().unwrap().is_some() {
            child = start();
            pids.lock().unwrap().entry(n).or_default().push(child.id());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    let _ = child.wait();
}

fn signal(child: &Child, name: &str) {
    assert!(
        Command::new("kill")
            .args([&format!("-{name}"), &child.id().to_string()])
            .status()
            .unwrap()
            .success()
    );
}

fn ends(child: &mut Child) -> Option<i32> {
    let by = Instant::now() + LONGEST;
    loop {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        assert!(Instant::now() < by, "the roll does not end");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_roll_has_one_owner_and_who_comes_second_finds_it_done() {
    let (site, store) = (Site::start(), Store::start());
    let mut rolls = [site.roll(&store), site.roll(&store)];
    assert_eq!(
        [ends(&mut rolls[0]), ends(&mut rolls[1])],
        [Some(0), Some(0)]
    );
    site.holds();
}

#[test_case("STOP", 0, 150; "stopped before its first order")]
#[test_case("STOP", 0, 2_600; "stopped while the first proxy drains")]
#[test_case("STOP", 1, 60; "stopped between two proxies")]
#[test_case("KILL", 1, 400; "killed while the second drains")]
fn a_successor_goes_on_and_the_old_owner_does_no_harm_when_it_wakes(
    how: &str,
    after: usize,
    ms: u64,
) {
    let (site, store) = (Site::start(), Store::start());
    let mut first = site.roll(&store);
    std::thread::sleep(Duration::from_millis(300));
    let mut second = site.roll(&store);
    site.until(after);
    std::thread::sleep(Duration::from_millis(ms));
    signal(&first, how);
    // It sleeps until its successor is at work.
    site.until((after + 2).min(PROXIES));
    if how == "STOP" {
        signal(&first, "CONT");
        assert_eq!(ends(&mut first), Some(0), "it finds the work done");
    } else {
        ends(&mut first);
    }
    assert_eq!(ends(&mut second), Some(0));
    site.holds();
}

/// The owner has decided and written, and is stopped; what it wrote arrives while its successor has another proxy out.
#[test_case(0, "STOP"; "the first order, of an owner that is stopped")]
#[test_case(1, "STOP"; "the second, of one that is stopped")]
#[test_case(0, "KILL"; "the first, of one that was killed")]
fn an_order_that_arrives_late_does_nothing(nth: usize, how: &str) {
    let (site, store) = (Site::start(), Store::start());
    let way = &site.ways[nth];
    way.holds.store(true, Ordering::Relaxed);
    let mut first = site.roll(&store);
    let by = Instant::now() + LONGEST;
    while !way.held.load(Ordering::Relaxed) {
        assert!(Instant::now() < by, "nothing was ordered");
        std::thread::sleep(Duration::from_millis(5));
    }
    signal(&first, how);
    let mut second = site.roll(&store);
    while status(&site.controls[nth + 1]).is_none_or(|s| s.state == "serving") {
        assert!(Instant::now() < by, "the successor does not go on");
        std::thread::sleep(Duration::from_millis(5));
    }
    way.goes.store(true, Ordering::Relaxed);
    assert_eq!(ends(&mut second), Some(0));
    if how == "STOP" {
        signal(&first, "CONT");
        assert_eq!(ends(&mut first), Some(0), "it finds the work done");
    } else {
        ends(&mut first);
    }
    site.holds();
}

#[test_case(&["expire"]; "the store forgets all sessions")]
#[test_case(&["drop"]; "all connections break")]
#[test_case(&["mute", "wait", "speak"]; "the store hangs for longer than a session lasts")]
#[test_case(&["refuse", "drop", "wait", "accept"]; "nobody reaches the store for a while")]
fn whatever_becomes_of_the_store_no_two_are_out(faults: &[&str]) {
    let (site, mut store) = (Site::start(), Store::start());
    let mut rolls = [site.roll(&store), site.roll(&store)];
    site.until(1);
    for fault in faults {
        match *fault {
            "wait" => std::thread::sleep(SESSION + SESSION / 2),
            fault => store.fault(fault),
        }
    }
    assert_eq!(
        [ends(&mut rolls[0]), ends(&mut rolls[1])],
        [Some(0), Some(0)]
    );
    site.holds();
}

/// What `asterramp fleet` says of the roll.
fn fleet(store: &Store, what: &str) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
    command.args([
        "fleet",
        what,
        "--name",
        "patch",
        "--store",
        &store.at.to_string(),
    ]);
    let output = command.output().unwrap();
    let said = String::from_utf8_lossy(&output.stdout).to_string()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.success(), said)
}

#[test]
fn a_roll_is_paused_resumed_and_cancelled_from_anywhere() {
    let (site, store) = (Site::start(), Store::start());
    assert!(
        fleet(&store, "status")
            .1
            .contains("no roll is called patch")
    );
    let mut first = site.roll(&store);
    site.until(1);
    assert!(fleet(&store, "pause").0);
    // The one that was begun is finished; no other is.
    std::thread::sleep(Duration::from_secs(3));
    let replaced = site.replaced();
    assert!(replaced < PROXIES, "it was too fast to be paused");
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(site.replaced(), replaced);
    let (_, said) = fleet(&store, "status");
    assert!(
        said.contains(&format!("{replaced} of 3 are replaced; it is paused"))
            && said.contains("owns, term"),
        "{said}"
    );
    // A successor heeds it too.
    let mut second = site.roll(&store);
    signal(&first, "KILL");
    ends(&mut first);
    std::thread::sleep(SESSION * 2);
    assert_eq!(site.replaced(), replaced);
    assert!(fleet(&store, "resume").0);
    site.until(replaced + 1);
    let cancelled = fleet(&store, "cancel");
    assert!(
        cancelled.0 || cancelled.1.contains("is done"),
        "{}",
        cancelled.1
    );
    assert_eq!(
        ends(&mut second),
        Some(i32::from(site.replaced() < PROXIES))
    );
    assert!(site.most.load(Ordering::Relaxed) <= 1);
}

#[test]
fn without_the_store_nobody_owns_and_nothing_is_ordered() {
    let (site, mut store) = (Site::start(), Store::start());
    store.fault("mute");
    let mut roll = site.roll(&store);
    std::thread::sleep(Duration::from_secs(4));
    assert!(roll.try_wait().unwrap().is_none());
    assert_eq!((site.replaced(), site.most.load(Ordering::Relaxed)), (0, 0));
    roll.kill().unwrap();
    roll.wait().unwrap();
}

#[test]
fn a_receiver_refuses_what_comes_late_from_an_older_owner_or_for_another_process() {
    let site = Site::start();
    let control = &site.controls[0];
    let told = status(control).unwrap();
    let say = |verb: AdminCommand, term: u64, boot: u64, left_ms: i64| {
        let clock = status(control).unwrap().clock_us;
        let until_us = clock.saturating_add_signed(left_ms * 1_000);
        let owner = Some(LeaderToken {
            term,
            boot,
            until_us,
        });
        AdminClient::connect(control).unwrap().ask(&AdminRequest {
            owner,
            ..AdminRequest::new(verb)
        })
    };
    assert_eq!(
        say(AdminCommand::Hear, 7, told.boot, 2_000).unwrap().term,
        7
    );
    let refused = |answer: Result<ProxyStatus, String>, why: &str| {
        let error = answer.unwrap_err();
        assert!(error.contains(why), "{error}");
    };
    refused(
        say(AdminCommand::Drain, 6, told.boot, 2_000),
        "a later owner has been heard",
    );
    refused(say(AdminCommand::Drain, 8, told.boot, -1), "time is over");
    refused(
        say(AdminCommand::Leave, 8, told.boot + 1, 2_000),
        "another process",
    );
    refused(say(AdminCommand::Drain, 0, told.boot, 2_000), "no term");
    refused(
        AdminClient::connect(control)
            .unwrap()
            .ask(&AdminRequest::new(AdminCommand::Leave)),
        "owner is missing",
    );
    assert_eq!(status(control).unwrap().state, "serving");
    // It is safe to hear twice, and outlives the process.
    assert!(say(AdminCommand::Leave, 8, told.boot, 2_000).is_ok());
    site.until(1);
    let by = Instant::now() + support::TIMEOUT;
    while status(control).is_none_or(|s| s.pid == told.pid) {
        assert!(Instant::now() < by);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(status(control).unwrap().term, 8, "the term is kept on disk");
}
