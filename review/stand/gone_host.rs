//! A power cut: the proxy starts again by its saved list while discovery is down; a host of that list is gone by now.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Grace of drains by the settings, and the slack of each time limit.
const GRACE: Duration = Duration::from_millis(1_050);
/// How long discovery stays down after the power is back.
const OUTAGE: Duration = Duration::from_secs(12);

/// Discovery's agent, whose list changes. While discovery is down the agent is silent.
#[derive(Clone)]
struct Roster {
    list: Arc<Mutex<String>>,
    version: Arc<AtomicU32>,
    down: Arc<AtomicBool>,
    /// When the present list was first written to the proxy.
    told: Arc<Mutex<Option<Duration>>>,
}

impl Roster {
    fn start(record: &Record, list: String) -> (Roster, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let roster = Roster { list: Arc::new(Mutex::new(list)), version: Arc::default(), down: Arc::default(), told: Arc::default() };
        let (serving, record) = (roster.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (roster, record) = (serving.clone(), record.clone());
                std::thread::spawn(move || roster.serve(stream, &record));
            }
        });
        (roster, address)
    }

    fn serve(&self, mut stream: std::net::TcpStream, record: &Record) {
        let mut request = String::new();
        if BufReader::new(stream.try_clone().unwrap()).read_line(&mut request).is_err() {
            return;
        }
        self.wait_while_down();
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let mut sent = None;
        loop {
            self.wait_while_down();
            let version = self.version.load(Ordering::Relaxed);
            let text = if sent == Some(version) { "\n".to_string() } else { format!("{}\n", self.list.lock().unwrap()) };
            if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                return;
            }
            if sent != Some(version) {
                sent = Some(version);
                record.line("discovery", &format!("{} -> {}", request.trim_end(), text.trim_end()));
                self.told.lock().unwrap().get_or_insert(record.now());
            }
            std::thread::sleep(Duration::from_millis(500));
        }
    }

    fn wait_while_down(&self) {
        while self.down.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn change(&self, list: String) {
        *self.list.lock().unwrap() = list;
        *self.told.lock().unwrap() = None;
        self.version.fetch_add(1, Ordering::Relaxed);
    }
}

fn main() {
    run_case(run)
}

fn run(record: &Record) -> Result<Vec<String>, &'static str> {
    let folder = Folder::new();
    let servers: Vec<Server> = (0..3).map(|n| Server::start(record, &format!("s-{n}"), Duration::from_millis(20))).collect();
    let entries: Vec<String> = servers.iter().map(|server| target(&server.uid, server.address, "ready")).collect();
    let (roster, discovery) = Roster::start(record, list(41, &entries));
    let (listen, operator) = (free_address(), free_address());
    let config = folder.file("config.json");
    std::fs::write(&config, configuration("n0", listen, discovery, &list(1, &[]), 2)).unwrap();
    let operator_file = folder.file("operator.toml");
    std::fs::write(&operator_file, format!("[state]\nfolder = \"{}\"\nevery = \"1s\"\n[recovery]\nstages = true\n", folder.file("state").display())).unwrap();
    let variables = [("LB_OPERATOR", operator.to_string()), ("ASTERRAMP_OPERATOR", operator_file.display().to_string())];
    let proxy = start_proxy(&config, &variables, &folder.file("first.log"));
    if !wait_ready(operator, Duration::from_secs(10)) {
        return Err("the proxy is not ready");
    }
    std::thread::sleep(Duration::from_secs(4));

    record.line("case", "power cut: the proxy is killed, the host s-2 is off");
    proxy.signal("KILL");
    drop(proxy);
    servers[2].set_off(true);
    // While the power was off, s-2 was taken out of the list for good.
    roster.change(list(42, &entries[..2]));
    let power_back = record.now();
    if with_trouble() {
        record.line("case", "discovery is down");
        roster.down.store(true, Ordering::Relaxed);
    }
    let _proxy = start_proxy(&config, &variables, &folder.file("second.log"));
    if !wait_ready(operator, Duration::from_secs(20)) {
        return Err("the proxy is not ready after the power cut");
    }
    record.line("case", "the proxy takes clients again");
    std::thread::sleep((power_back + OUTAGE).saturating_sub(record.now()));
    roster.down.store(false, Ordering::Relaxed);
    record.line("case", "discovery is there");
    if !wait_for(Duration::from_secs(10), || roster.told.lock().unwrap().is_some()) {
        return Err("the proxy does not ask discovery");
    }
    let told = roster.told.lock().unwrap().unwrap();
    std::thread::sleep(Duration::from_secs(3));
    record.line("case", "the host s-2 has started, still not listed");
    servers[2].set_off(false);

    let watched_until = record.now() + Duration::from_secs(30);
    let mut clients = Vec::new();
    let mut number = 0;
    while record.now() < watched_until {
        number += 1;
        let line = format!("OPEN {number:016x} {:016x} c=waveform,t=northcoast-geo,d=4800,g={:016x}", number * 7919, number * 104_729 + 1);
        clients.push(start_client(record, &format!("{number}"), listen, line));
        if clients.len() > 20 {
            clients.remove(0).stop.store(true, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let late: Vec<Duration> = servers[2].opens().into_iter().filter(|at| *at > told + GRACE).collect();
    for name in ["first.log", "second.log"] {
        for line in std::fs::read_to_string(folder.file(name)).unwrap_or_default().lines() {
            record.line(name, line);
        }
    }
    Ok(match late.first() {
        Some(first) => vec![format!(
            "the proxy was told at {:.3} s that s-2 is gone, and sent it {} new sessions, the first {:.3} s after that",
            told.as_secs_f64(),
            late.len(),
            (*first - told).as_secs_f64()
        )],
        None => Vec::new(),
    })
}
