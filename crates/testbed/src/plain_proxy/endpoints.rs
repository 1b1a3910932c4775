//! The hosts that discovery lists, and the number of this proxy's sessions at each.

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

/// Pause between two fetches of the endpoint list: short enough that a drain is seen well within the drain grace.
const FETCH_INTERVAL: Duration = Duration::from_millis(150);
/// Time limit of one fetch; a fetch that exceeds it is dropped, and the list stays as it was.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes that are read of discovery's response; a longer one is cut there, and then fails to parse.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// A host that was chosen for an attempt.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Its unique identifier in discovery, which stays the same across its restarts.
    pub(super) uid: String,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

/// The state of a host that discovery lists.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// Whether discovery has it as ready, that is, not draining.
    pub(super) is_ready: bool,
    /// When it started, in milliseconds of Unix time; 0 if discovery does not report it.
    pub(super) boot_ms: u64,
    /// Number of this proxy's open sessions at it.
    pub(super) open: u64,
}

impl Endpoint {
    /// Whether it started less than `warm_up_time` ago; never if its start is unknown.
    pub(super) fn is_cold(&self, warm_up_time: Duration) -> bool {
        let unix_time = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let uptime_ms = (unix_time.as_millis() as u64).saturating_sub(self.boot_ms);
        self.boot_ms > 0 && u128::from(uptime_ms) < warm_up_time.as_millis()
    }
}

/// The listed hosts by their uids.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    by_uid: Mutex<BTreeMap<String, Endpoint>>,
}

impl Endpoints {
    pub(super) fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Endpoint>> {
        self.by_uid
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The host with this uid, if it is listed.
    pub(super) fn target(&self, uid: &str) -> Option<Target> {
        let by_uid = self.lock();
        by_uid.get(uid).map(|endpoint| Target {
            uid: uid.to_owned(),
            address: endpoint.address,
        })
    }

    /// Counts a session that has opened at this host.
    pub(super) fn session_opened(&self, uid: &str) {
        if let Some(endpoint) = self.lock().get_mut(uid) {
            endpoint.open += 1;
        }
    }

    /// Stops counting a session that has ended at this host.
    pub(super) fn session_closed(&self, uid: &str) {
        if let Some(endpoint) = self.lock().get_mut(uid) {
            endpoint.open = endpoint.open.saturating_sub(1);
        }
    }

    /// Fetches the list periodically, each time from the address that the configuration file has then. Never returns.
    pub(super) async fn poll_discovery(&self, configuration: PathBuf) {
        loop {
            if let Some(address) = configuration::discovery_address(&configuration)
                && let Ok(Some(list)) = timeout(FETCH_TIMEOUT, fetch(address)).await
            {
                self.replace(&list);
            }
            sleep(FETCH_INTERVAL).await;
        }
    }

    /// Replaces all hosts by those of a list; a host that stays keeps its count of sessions.
    fn replace(&self, list: &Value) {
        let Some(targets) = list["targets"].as_array() else {
            return;
        };
        let mut by_uid = self.lock();
        let mut removed: Vec<String> = by_uid.keys().cloned().collect();
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
                open: by_uid.get(uid).map_or(0, |endpoint| endpoint.open),
            };
            by_uid.insert(uid.to_owned(), endpoint);
            removed.retain(|removed_uid| removed_uid != uid);
        }
        by_uid.retain(|uid, _| !removed.contains(uid));
    }
}

/// Fetches the endpoint list from discovery; `None` if discovery cannot be reached or its response is not valid.
async fn fetch(discovery: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(discovery).await.ok()?;
    let request = "GET /discovery/hosts HTTP/1.1\r\nHost: roster\r\n\r\n";
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    let mut limited = stream.take(MAX_RESPONSE_BYTES);
    limited.read_to_end(&mut response).await.ok()?;
    let head_end = response.windows(4).position(|w| w == b"\r\n\r\n")?;
    serde_json::from_slice(&response[head_end + 4..]).ok()
}
