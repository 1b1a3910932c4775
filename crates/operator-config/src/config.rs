//! The settings and their defaults. The documentation of a field begins with its key in the file, if the two names
//! differ; the bounds of the values are in `keys.rs`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The contents of an operator's file, with defaults for the keys that it does not set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Table `control`: the admin socket. `None` without the table: there is no admin socket.
    pub admin_socket: Option<AdminSocketConfig>,
    /// Table `drain`: draining the proxy.
    pub drain: DrainConfig,
    /// Table `site`: failover between zones.
    pub zone_failover: ZoneFailoverConfig,
    /// Table `state`: snapshots for the next start. `None` without the table: no snapshots are saved.
    pub snapshots: Option<SnapshotConfig>,
    /// Table `recovery`: warm start.
    pub warm_start: WarmStartConfig,
}

/// Table `control`: the Unix socket on which the proxy accepts operators' commands.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminSocketConfig {
    /// `socket`: absolute path of the socket. Required.
    pub path: PathBuf,
    /// `peers`: most connections that are open at once.
    pub max_connections: usize,
}

/// Table `drain`: draining the proxy on an operator's request.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainConfig {
    /// `deadline`: time in which a drain has to be finished if the request does not set one.
    pub default_deadline: Duration,
    /// `closing`: longest time that a drain waits for the load balancer in front of the proxy to stop sending new
    /// sessions before it migrates open ones.
    pub max_closing_time: Duration,
    /// `quiet`: once no new session has arrived for this time, the load balancer in front of the proxy is taken to have
    /// stopped sending.
    pub quiet_period: Duration,
    /// `pace`: highest rate of migration in sessions per second; exceeded only if the deadline requires it.
    pub max_migrations_per_second: f64,
    /// `back`: time that a proxy serves after a cancelled drain before another proxy should be drained.
    pub time_before_next_drain: Duration,
}

/// Table `site`: failover to other zones when the servers of a whole zone stop responding.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFailoverConfig {
    /// `watch`: whether zone failover is enabled.
    pub enabled: bool,
    /// `look`: time between probes of a closed zone.
    pub probe_interval: Duration,
    /// `hold`: shortest time that a zone that is lost again soon after its recovery stays closed; it doubles with each
    /// further loss.
    pub hold_down: Duration,
    /// `hold_most`: upper bound of that time after further losses.
    pub max_hold_down: Duration,
    /// `settle`: time over which a recovering zone gets its share of traffic back.
    pub recovery_ramp: Duration,
    /// `pace`: whether new sessions are admitted at a rate that the remaining capacity allows while a zone is lost.
    pub paces_admission: bool,
    /// `by_worth`: whether sessions are rejected by the priority weight of their listener alone if no endpoint reports
    /// the cost of sessions.
    pub rejects_by_priority: bool,
}

/// Table `state`: snapshots that the proxy saves on disk for its next start.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotConfig {
    /// `folder`: absolute path of their directory. Required.
    pub directory: PathBuf,
    /// `every`: shortest time between two snapshots.
    pub interval: Duration,
}

/// Table `recovery`: warm start, by stages, from a snapshot and from the endpoint lists of other proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmStartConfig {
    /// `stages`: whether warm start is enabled.
    pub enabled: bool,
    /// `look`: longest time that the start waits for discovery before it uses other sources.
    pub discovery_timeout: Duration,
    /// `probe`: time that the start waits for the first response to a probe before it asks the other proxies again;
    /// repeated until an endpoint responds.
    pub probe_timeout: Duration,
    /// `fleet`: name of the group of proxies that exchange their endpoint lists. If empty, this proxy sends no requests
    /// to other proxies and responds to none.
    pub fleet: String,
    /// `others`: HTTP addresses of the proxies whose endpoint lists are requested. Needs `fleet`.
    pub peers: Vec<SocketAddr>,
}

impl AdminSocketConfig {
    /// Value of `peers` if the file does not set it.
    pub(crate) const DEFAULT_MAX_CONNECTIONS: usize = 24;
}

impl SnapshotConfig {
    /// Value of `every` if the file does not set it.
    pub(crate) const DEFAULT_INTERVAL: Duration = Duration::from_secs(1);
}

impl Default for DrainConfig {
    fn default() -> Self {
        DrainConfig {
            default_deadline: Duration::from_secs(60),
            max_closing_time: Duration::from_secs(3),
            quiet_period: Duration::from_secs(1),
            max_migrations_per_second: 200.0,
            time_before_next_drain: Duration::from_secs(10),
        }
    }
}

impl Default for ZoneFailoverConfig {
    fn default() -> Self {
        ZoneFailoverConfig {
            enabled: true,
            probe_interval: Duration::from_millis(1500),
            hold_down: Duration::from_secs(2),
            max_hold_down: Duration::from_secs(60),
            recovery_ramp: Duration::from_secs(3),
            paces_admission: true,
            rejects_by_priority: false,
        }
    }
}

impl Default for WarmStartConfig {
    fn default() -> Self {
        WarmStartConfig {
            enabled: false,
            discovery_timeout: Duration::from_millis(500),
            probe_timeout: Duration::from_secs(2),
            fleet: String::new(),
            peers: Vec::new(),
        }
    }
}
