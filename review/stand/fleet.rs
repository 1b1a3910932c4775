//! The store's stand-in of the project, and proxies under a supervisor.

use crate::common::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The project's own stand-in for the store.
pub struct Store {
    _process: Process,
    /// The store ends with the end of its input.
    _input: ChildStdin,
    pub address: String,
}

impl Store {
    pub fn start() -> Store {
        let mut child: Child = Command::new("target/release/asterramp-zookeeper-stub")
            .arg("127.0.0.1:0")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the store's stand-in");
        let mut address = String::new();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        output.read_line(&mut address).expect("address of the store");
        std::thread::spawn(move || for _ in output.lines() {});
        let input = child.stdin.take().unwrap();
        Store { _process: Process::new(child), _input: input, address: address.trim().to_string() }
    }
}

/// A proxy that its supervisor starts again whenever it ends.
pub struct Supervised {
    pub control: String,
    pub listen: SocketAddr,
    pub pid: Arc<AtomicU32>,
    pub starts: Arc<AtomicU32>,
    over: Arc<AtomicBool>,
    process: Arc<Mutex<Option<Process>>>,
}

impl Supervised {
    pub fn start(record: &Record, folder: &Folder, name: &str, discovery: SocketAddr, hosts: &str, drain: &str) -> Supervised {
        let control = folder.file(&format!("{name}.sock")).display().to_string();
        let listen = free_address();
        let config = folder.file(&format!("{name}.json"));
        std::fs::write(&config, configuration(name, listen, discovery, hosts, 2)).unwrap();
        let operator = folder.file(&format!("{name}.toml"));
        let text = format!("[control]\nsocket = \"{control}\"\n[drain]\n{drain}\n");
        std::fs::write(&operator, text).unwrap();
        let proxy = Supervised {
            control,
            listen,
            pid: Arc::default(),
            starts: Arc::default(),
            over: Arc::default(),
            process: Arc::default(),
        };
        let (pid, starts, over, process) = (proxy.pid.clone(), proxy.starts.clone(), proxy.over.clone(), proxy.process.clone());
        let (record, name, log): (Record, String, PathBuf) = (record.clone(), name.to_string(), folder.file(&format!("{name}.log")));
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let has_ended = process.lock().unwrap().as_mut().is_none_or(Process::has_ended);
                if has_ended {
                    let started = start_proxy(&config, &[("ASTERRAMP_OPERATOR", operator.display().to_string())], &log);
                    pid.store(started.pid(), Ordering::Relaxed);
                    let number = starts.fetch_add(1, Ordering::Relaxed) + 1;
                    record.line(&name, &format!("start {number}, pid {}", started.pid()));
                    *process.lock().unwrap() = Some(started);
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        });
        proxy
    }

    pub fn state(&self) -> String {
        let (_, text) = run_command(&["status", "--control", &self.control]);
        text.split_whitespace().next().unwrap_or("none").to_string()
    }
}

impl Drop for Supervised {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(100));
        self.process.lock().unwrap().take();
    }
}

