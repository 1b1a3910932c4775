//! The hosts that discovery tells, and how many sessions this proxy has at each.

use super::configuration;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How often the endpoint list is fetched; well within the drain grace.
const FETCH_INTERVAL: Duration = Duration::from_millis(150);
/// How long a fetch may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of an endpoint list.
const MAX_LIST_BYTES: u64 = 8 << 20;

/// A host to send a session to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Its name for ever.
    pub(super) uid: String,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

/// What is known of a host.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// Whether it takes sessions.
    pub(super) is_ready: bool,
    /// When it started, in milliseconds of Unix time; 0 if discovery does not say.
    pub(super) boot_ms: u64,
    /// Sessions of this proxy there.
    pub(super) open: u64,
}

impl Endpoint {
    /// Whether it has started so lately that it is not warm yet.
    pub(super) fn is_cold(&self, warm_after: Duration) -> bool {
        let unix_time = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let up_ms = (unix_time.as_millis() as u64).saturating_sub(self.boot_ms);
        self.boot_ms > 0 && u128::from(up_ms) < warm_after.as_millis()
    }
}

/// The hosts by their uids.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    known: Mutex<BTreeMap<String, Endpoint>>,
}

impl Endpoints {
    pub(super) fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Endpoint>> {
        self.known
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A host by its uid.
    pub(super) fn target(&self, uid: &str) -> Option<Target> {
        let known = self.lock();
        known.get(uid).map(|endpoint| Target {
            uid: uid.to_owned(),
            address: endpoint.address,
        })
    }

    /// Counts a session that was opened.
    pub(super) fn session_opened(&self, uid: &str) {
        if let Some(endpoint) = self.lock().get_mut(uid) {
            endpoint.open += 1;
        }
    }

    /// Counts a session that has ended.
    pub(super) fn session_closed(&self, uid: &str) {
        if let Some(endpoint) = self.lock().get_mut(uid) {
            endpoint.open = endpoint.open.saturating_sub(1);
        }
    }

    /// Fetches the list again and again, from where the configuration says at that time.
    pub(super) async fn keep_up_to_date(&self, configuration: PathBuf) {
        loop {
            if let Some(address) = configuration::discovery_address(&configuration)
                && let Ok(Some(list)) = timeout(FETCH_TIMEOUT, fetch(address)).await
            {
                self.replace(&list);
            }
            sleep(FETCH_INTERVAL).await;
        }
    }

    /// Takes a whole list; a host that stays keeps its count of sessions.
    fn replace(&self, list: &Value) {
        let Some(targets) = list["targets"].as_array() else {
            return;
        };
        let mut known = self.lock();
        let mut gone: Vec<String> = known.keys().cloned().collect();
        for target in targets {
            let text = |key: &str| target[key].as_str().unwrap_or_default();
            let Ok(address) = text("endpoint").parse() else {
                continue;
            };
            let uid = text("uid");
            let endpoint = Endpoint {
                address,
                is_ready: text("state") == "ready",
                boot_ms: target["boot_ms"].as_u64().unwrap_or(0),
                open: known.get(uid).map_or(0, |endpoint| endpoint.open),
            };
            known.insert(uid.to_owned(), endpoint);
            gone.retain(|gone| gone != uid);
        }
        known.retain(|uid, _| !gone.contains(uid));
    }
}

/// The endpoint list that discovery has, as JSON.
async fn fetch(discovery: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(discovery).await.ok()?;
    let request = "GET /discovery/hosts HTTP/1.1\r\nHost: roster\r\n\r\n";
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    let mut bounded = stream.take(MAX_LIST_BYTES);
    bounded.read_to_end(&mut response).await.ok()?;
    let head_end = response.windows(4).position(|w| w == b"\r\n\r\n")?;
    serde_json::from_slice(&response[head_end + 4..]).ok()
}
