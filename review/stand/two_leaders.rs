//! Two processes of one rolling restart; the leader is cut off from a store that grants shorter sessions than requested.

#[path = "common.rs"]
mod common;
#[path = "fleet.rs"]
mod fleet;

use common::*;
use fleet::{Store, Supervised};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Longest session that the store grants, in milliseconds; the rolls request 30 s.
const LONGEST_SESSION_MS: i32 = 10_000;
/// Keys of the table `drain` in the operator file: a connection is moved every 10 s.
const DRAIN: &str = "closing = \"300ms\"\nquiet = \"200ms\"\nback = \"200ms\"\npace = 0.1";
/// Where the session timeout stands in the first frame of a store's client, behind the frame's length.
const TIMEOUT_AT: usize = 16;

/// A way to the store: it limits the session timeout that is requested, as a store with that limit does, and can be cut.
struct Way {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Way {
    fn start(store: &str) -> Way {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let way = Way { address: listener.local_addr().unwrap(), cut: Arc::default() };
        let (store, cut) = (store.to_string(), way.cut.clone());
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(&store) else { continue };
                let (from, to) = (client.try_clone().unwrap(), server.try_clone().unwrap());
                let (forth, back) = (cut.clone(), cut.clone());
                std::thread::spawn(move || pass(from, to, &forth, true));
                std::thread::spawn(move || pass(server, client, &back, false));
            }
        });
        way
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool, limits_session: bool) {
    let mut bytes = [0; 8192];
    let mut is_first = limits_session;
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 {
            break;
        }
        if is_first && count >= TIMEOUT_AT + 4 {
            let requested = i32::from_be_bytes(bytes[TIMEOUT_AT..TIMEOUT_AT + 4].try_into().unwrap());
            bytes[TIMEOUT_AT..TIMEOUT_AT + 4].copy_from_slice(&requested.min(LONGEST_SESSION_MS).to_be_bytes());
        }
        is_first = false;
        // A cut way loses what is sent on it and says nothing.
        if !cut.load(Ordering::Relaxed) && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    if !cut.load(Ordering::Relaxed) {
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}

fn main() {
    run_case(run)
}

fn run(record: &Record) -> Result<Vec<String>, &'static str> {
    let folder = Folder::new();
    let servers: Vec<Server> = (0..3).map(|n| Server::start(record, &format!("s-{n}"), Duration::from_millis(20))).collect();
    let targets: Vec<String> = servers.iter().map(|server| target(&server.uid, server.address, "ready")).collect();
    let hosts = list(41, &targets);
    let discovery = start_discovery(record, hosts.clone());
    let store = Store::start();
    let (way_a, way_b) = (Way::start(&store.address), Way::start(&store.address));
    let first = Supervised::start(record, &folder, "p1", discovery, &hosts, DRAIN);
    let second = Supervised::start(record, &folder, "p2", discovery, &hosts, DRAIN);
    if !wait_for(Duration::from_secs(6), || first.state() == "serving" && second.state() == "serving") {
        return Err("the proxies do not serve");
    }
    let clients: Vec<Seen> = (0..2)
        .map(|n| start_client(record, &format!("{n}"), first.listen, open_line(&format!("a0000000000000{n:02x}"), "waveform", 4800)))
        .collect();
    if !wait_for(Duration::from_secs(5), || clients.iter().all(Seen::is_up)) {
        return Err("the clients are not up");
    }
    let runs = folder.file("runs");
    let roll = |who: &str, store: SocketAddr| {
        let command = format!("echo {who} $(basename $ASTERRAMP_CONTROL) >> {}; kill -TERM $(cat ${{ASTERRAMP_CONTROL%.sock}}.pid)", runs.display());
        ["roll", "--control", &first.control, "--control", &second.control, "--store", &store.to_string(), "--name", "r", "--share", "0", "--deadline", "40s", "--session", "30s", "--restart", &command]
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<String>>()
    };
    for (name, proxy) in [("p1", &first), ("p2", &second)] {
        std::fs::write(folder.file(&format!("{name}.pid")), proxy.pid.load(Ordering::Relaxed).to_string()).unwrap();
    }
    let (_a, lines_a) = start_command(record, "roll A", &roll("A", way_a.address));
    let time_of = |lines: &Arc<std::sync::Mutex<Vec<(Duration, String)>>>, text: &str| {
        lines.lock().unwrap().iter().find(|line| line.1.contains(text)).map(|line| line.0)
    };
    if !wait_for(Duration::from_secs(20), || time_of(&lines_a, "p1.sock: draining").is_some()) {
        return Err("the first leader does not begin");
    }
    let (_b, lines_b) = start_command(record, "roll B", &roll("B", way_b.address));
    if !wait_for(Duration::from_secs(5), || time_of(&lines_b, "queued").is_some()) {
        return Err("the second process does not queue");
    }
    if with_trouble() {
        record.line("case", "A is cut off from the store");
        way_a.cut.store(true, Ordering::Relaxed);
    }
    let mut seen = Vec::new();
    let give_up = record.now() + Duration::from_secs(60);
    let mut ends_at = None;
    while record.now() < ends_at.unwrap_or(give_up) {
        for line in std::fs::read_to_string(&runs).unwrap_or_default().lines().skip(seen.len()).map(String::from).collect::<Vec<_>>() {
            record.line("restart command", &format!("run by {line}"));
            seen.push((record.now(), line));
            ends_at.get_or_insert(record.now() + Duration::from_secs(4));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut broken = Vec::new();
    if seen.is_empty() {
        return Err("no restart command was run");
    }
    if let Some(b_leads) = time_of(&lines_b, "owns, term") {
        for (at, line) in &seen {
            if line.starts_with("A ") && *at > b_leads {
                broken.push(format!("B leads since {:.3} s, and A, as leader, ran the restart command at {:.3} s", b_leads.as_secs_f64(), at.as_secs_f64()));
            }
        }
    }
    let of_first = seen.iter().filter(|run| run.1.ends_with("p1.sock")).count();
    if of_first > 1 {
        broken.push(format!("the restart command of one roll ran {of_first} times for the first proxy"));
    }
    Ok(broken)
}
