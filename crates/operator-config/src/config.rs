//! The settings and their defaults. The file's key for a field is given where it differs from the field's name; bounds are
//! in `keys.rs`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// All that an operator's file may set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Table `control`: the admin socket; none without the table.
    pub admin_socket: Option<AdminSocketConfig>,
    /// Table `drain`: how a drain goes.
    pub drain: DrainConfig,
    /// Table `site`: failover between zones.
    pub zone_failover: ZoneFailoverConfig,
    /// Table `state`: snapshots for the next start; none without the table.
    pub snapshots: Option<SnapshotConfig>,
    /// Table `recovery`: a warm start from a snapshot.
    pub warm_start: WarmStartConfig,
}

/// Table `control`: the Unix socket that operators' commands go to.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminSocketConfig {
    /// `socket`: where the socket is, an absolute path.
    pub path: PathBuf,
    /// `peers`: connections that it takes at once.
    pub max_connections: usize,
}

/// Table `drain`: how a proxy is emptied.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainConfig {
    /// `deadline`: how long a drain may take, where the request does not say.
    pub default_deadline: Duration,
    /// `closing`: how long the front may go on sending new sessions, at most.
    pub max_closing_time: Duration,
    /// `quiet`: without a new session for so long, the front has stopped sending.
    pub quiet_period: Duration,
    /// `pace`: sessions migrated per second, at most, unless the deadline needs more.
    pub max_migrations_per_second: f64,
    /// `back`: how long a proxy serves after a drain was cancelled before another one should be drained.
    pub time_before_next_drain: Duration,
}

/// Table `site`: what the proxy does when the endpoints of a whole zone stop answering.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFailoverConfig {
    /// `watch`: whether zones are watched at all.
    pub enabled: bool,
    /// `look`: time between health checks of an ejected zone.
    pub health_check_interval: Duration,
    /// `hold`: how long a zone that failed again soon after its return is not checked, the first time.
    pub initial_hold: Duration,
    /// `hold_most`: the same at most, after further failures.
    pub max_hold: Duration,
    /// `settle`: over how long a returning zone is ramped up.
    pub recovery_ramp: Duration,
    /// `pace`: whether new sessions are admitted by capacity while a zone is lost.
    pub paces_admission: bool,
    /// `by_worth`: whether listeners are rejected by their priority weight alone where no endpoint reports what sessions
    /// cost.
    pub rejects_by_priority: bool,
}

/// Table `state`: snapshots on disk for the next start.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotConfig {
    /// `folder`: where they are kept, an absolute path.
    pub directory: PathBuf,
    /// `every`: shortest time between two of them.
    pub interval: Duration,
}

/// Table `recovery`: a start by stages, from what is known of before.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmStartConfig {
    /// `stages`: whether a start goes by stages.
    pub enabled: bool,
    /// `look`: how long discovery is waited for.
    pub discovery_wait: Duration,
    /// `probe`: how long the first endpoint's answer to a health check is waited for.
    pub health_check_wait: Duration,
    /// `fleet`: name of the fleet, by which its proxies recognise each other. Without one this proxy asks no other and
    /// answers none.
    pub fleet: String,
    /// `others`: HTTP addresses of the other proxies that are asked for the endpoints that they know.
    pub peers: Vec<SocketAddr>,
}

impl AdminSocketConfig {
    pub(crate) const DEFAULT_MAX_CONNECTIONS: usize = 24;
}

impl SnapshotConfig {
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
            health_check_interval: Duration::from_millis(1500),
            initial_hold: Duration::from_secs(2),
            max_hold: Duration::from_secs(60),
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
            discovery_wait: Duration::from_millis(500),
            health_check_wait: Duration::from_secs(2),
            fleet: String::new(),
            peers: Vec::new(),
        }
    }
}
