//! A fleet of proxies, each under a supervisor that restarts it whenever it exits.

use super::order_relay::OrderRelay;
use super::support::{SETTINGS, TIMEOUT, ZooKeeperStub, free_address};
use super::{PROXY_COUNT, ROLL_TIMEOUT};
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest, ProxyStatus};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Listener number, as [`free_address`] takes it, of the first proxy of the first fleet.
const FIRST_LISTENER_NUMBER: u32 = 20_000;
/// Distance between the listener numbers of two fleets.
const LISTENER_NUMBERS_PER_FLEET: u32 = 10;

/// Proxies that are each restarted by a supervisor thread, and a thread that counts how many are out of service. Dropping
/// it kills the proxies.
pub(crate) struct SupervisedFleet {
    directory: PathBuf,
    pub(crate) admin_sockets: Vec<PathBuf>,
    /// The relays through which leaders reach the proxies, in the same order as `admin_sockets`.
    pub(crate) relays: Vec<OrderRelay>,
    /// Tells all threads to end.
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    /// Most proxies that were out of service at the same time.
    most_out_of_service: Arc<AtomicU32>,
    /// Process ids of each proxy, by the proxy's index, in the order of their starts.
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

/// The status of a proxy; `None` if it cannot be reached.
pub(crate) fn status(admin_socket: &Path) -> Option<ProxyStatus> {
    AdminClient::connect(admin_socket)
        .ok()?
        .send(&AdminRequest::new(AdminCommand::Status))
        .ok()
}

impl SupervisedFleet {
    /// Starts the proxies, a relay for each and the counting thread; waits until all proxies reply.
    pub(crate) fn start() -> SupervisedFleet {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("asterramp-lease-{}-{nth}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let mut fleet = SupervisedFleet {
            admin_sockets: (0..PROXY_COUNT)
                .map(|proxy| directory.join(format!("{proxy}.sock")))
                .collect(),
            directory,
            relays: Vec::new(),
            is_over: Arc::default(),
            threads: Vec::new(),
            most_out_of_service: Arc::default(),
            pids: Arc::default(),
        };
        for proxy in 0..PROXY_COUNT {
            let listener_number = FIRST_LISTENER_NUMBER + nth * LISTENER_NUMBERS_PER_FLEET;
            fleet.start_proxy(proxy, free_address(listener_number + proxy as u32));
        }
        for admin_socket in &fleet.admin_sockets {
            let relay = OrderRelay::start(&admin_socket.with_extension("relay"), admin_socket);
            fleet.relays.push(relay);
        }
        fleet.wait_until_reachable();
        fleet.start_counting_out_of_service();
        fleet
    }

    /// Writes the files of the proxy with this index and starts its supervisor.
    fn start_proxy(&mut self, proxy: usize, listen: SocketAddr) {
        let operator_file = self.directory.join(format!("{proxy}.toml"));
        let operator = format!(
            "[control]\nsocket = {:?}\n[drain]\nclosing = \"300ms\"\nquiet = \"200ms\"\nback = \"200ms\"\n[state]\nfolder = {:?}\n",
            self.admin_sockets[proxy],
            self.directory.join(format!("{proxy}.state"))
        );
        std::fs::write(&operator_file, operator).unwrap();
        let config_file = self.directory.join(format!("{proxy}.json"));
        let config = format!(
            r#"{{"listen":"{listen}","discovery":"127.0.0.1:9","seed":"8c","known":{{"rev":1,"all":true,"targets":[]}},"settings":{SETTINGS}}}"#
        );
        std::fs::write(&config_file, config).unwrap();
        let (is_over, pids) = (self.is_over.clone(), self.pids.clone());
        let supervisor = std::thread::spawn(move || {
            supervise(proxy, &config_file, &operator_file, &is_over, &pids);
        });
        self.threads.push(supervisor);
    }

    /// Waits until each proxy replies with its status.
    fn wait_until_reachable(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while !self
            .admin_sockets
            .iter()
            .all(|admin_socket| status(admin_socket).is_some())
        {
            assert!(Instant::now() < deadline, "the proxies do not start");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Starts the thread that counts how many proxies are out of service at the same time.
    fn start_counting_out_of_service(&mut self) {
        let admin_sockets = self.admin_sockets.clone();
        let (is_over, most_out_of_service) =
            (self.is_over.clone(), self.most_out_of_service.clone());
        let counter = std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let out_of_service = admin_sockets
                    .iter()
                    .filter(|socket| status(socket).is_none_or(|status| status.state != "serving"))
                    .count();
                most_out_of_service.fetch_max(out_of_service as u32, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(15));
            }
        });
        self.threads.push(counter);
    }

    /// Starts the guarded roll `patch` of all proxies, which reaches them through their relays.
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

    /// Number of proxies that have been restarted at least once.
    pub(crate) fn replaced(&self) -> usize {
        self.pids
            .lock()
            .unwrap()
            .values()
            .filter(|pids| pids.len() > 1)
            .count()
    }

    /// Waits until at least this many proxies have been replaced.
    pub(crate) fn wait_until_replaced(&self, replaced: usize) {
        let deadline = Instant::now() + ROLL_TIMEOUT;
        while self.replaced() < replaced {
            assert!(
                Instant::now() < deadline,
                "{} of {replaced} are replaced",
                self.replaced()
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Most proxies that were out of service at the same time, since the fleet began to serve.
    pub(crate) fn most_out_of_service(&self) -> u32 {
        self.most_out_of_service.load(Ordering::Relaxed)
    }

    /// Checks that no two proxies were out of service at the same time, and that each has been replaced exactly once.
    pub(crate) fn assert_replaced_one_by_one(&self) {
        let most_out_of_service = self.most_out_of_service();
        assert!(
            most_out_of_service <= 1,
            "{most_out_of_service} proxies were out of service at once"
        );
        let pids = self.pids.lock().unwrap();
        assert!(pids.values().all(|pids| pids.len() == 2), "{pids:?}");
    }
}

/// Runs a proxy, restarts it whenever it exits, and records its process ids; kills it when `is_over` is set.
fn supervise(
    proxy: usize,
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
    pids.lock()
        .unwrap()
        .entry(proxy)
        .or_default()
        .push(child.id());
    while !is_over.load(Ordering::Relaxed) {
        if child.try_wait().unwrap().is_some() {
            child = start();
            pids.lock()
                .unwrap()
                .entry(proxy)
                .or_default()
                .push(child.id());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    let _ = child.wait();
}
