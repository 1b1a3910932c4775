//! Proxies under a supervisor, which starts each again whenever it has ended.

use super::order_relay::OrderRelay;
use super::support::{SETTINGS, TIMEOUT, ZooKeeperStub, free_address};
use super::{PROXIES, ROLL_TIMEOUT};
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest, ProxyStatus};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Three proxies, each of which a thread restarts whenever it has ended, while another counts how many are out of service.
pub(crate) struct SupervisedFleet {
    directory: PathBuf,
    pub(crate) admin_sockets: Vec<PathBuf>,
    /// Through which leaders reach the proxies.
    pub(crate) relays: Vec<OrderRelay>,
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    /// Most proxies that were out of service at once.
    most_out: Arc<AtomicU32>,
    /// The processes that each proxy has been.
    pids: Arc<Mutex<BTreeMap<usize, Vec<u32>>>>,
}

impl Drop for SupervisedFleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The status of a proxy, if it can be reached.
pub(crate) fn status(admin_socket: &Path) -> Option<ProxyStatus> {
    AdminClient::connect(admin_socket)
        .ok()?
        .send(&AdminRequest::new(AdminCommand::Status))
        .ok()
}

impl SupervisedFleet {
    /// Starts them and waits until all serve.
    pub(crate) fn start() -> SupervisedFleet {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("asterramp-lease-{}-{nth}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let mut fleet = SupervisedFleet {
            admin_sockets: (0..PROXIES)
                .map(|n| directory.join(format!("{n}.sock")))
                .collect(),
            directory,
            relays: Vec::new(),
            is_over: Arc::default(),
            threads: Vec::new(),
            most_out: Arc::default(),
            pids: Arc::default(),
        };
        for n in 0..PROXIES {
            let listen = free_address(20_000 + nth * 10 + n as u32);
            fleet.start_proxy(n, listen);
        }
        for admin_socket in &fleet.admin_sockets {
            let relay = OrderRelay::start(&admin_socket.with_extension("relay"), admin_socket);
            fleet.relays.push(relay);
        }
        fleet.wait_until_serving();
        fleet.start_watching();
        fleet
    }

    fn start_proxy(&mut self, n: usize, listen: SocketAddr) {
        let operator_file = self.directory.join(format!("{n}.toml"));
        let operator = format!(
            "[control]\nsocket = {:?}\n[drain]\nclosing = \"300ms\"\nquiet = \"200ms\"\nback = \"200ms\"\n[state]\nfolder = {:?}\n",
            self.admin_sockets[n],
            self.directory.join(format!("{n}.state"))
        );
        std::fs::write(&operator_file, operator).unwrap();
        let config_file = self.directory.join(format!("{n}.json"));
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
        let give_up_at = Instant::now() + TIMEOUT;
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
    pub(crate) fn start_roll(&self, store: &ZooKeeperStub) -> Child {
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
                .arg(admin_socket.with_extension("relay"));
        }
        command
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap()
    }

    /// How many proxies have been replaced.
    pub(crate) fn replaced(&self) -> usize {
        self.pids
            .lock()
            .unwrap()
            .values()
            .filter(|pids| pids.len() > 1)
            .count()
    }

    /// Waits until so many proxies have been replaced.
    pub(crate) fn wait_until_replaced(&self, replaced: usize) {
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

    /// Most proxies that were out of service at once.
    pub(crate) fn most_out_of_service(&self) -> u32 {
        self.most_out.load(Ordering::Relaxed)
    }

    /// Never were two proxies out of service, and each has been replaced once.
    pub(crate) fn assert_replaced_one_by_one(&self) {
        let most_out = self.most_out_of_service();
        assert!(most_out <= 1, "{most_out} proxies were out at once");
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
