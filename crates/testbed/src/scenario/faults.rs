//! The table `faults`: what fails, when, and for how long.

use super::time_span::{optional_time_span, time_span};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A fault of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Fault", deny_unknown_fields)]
pub struct ScenarioFault {
    /// When it begins.
    #[serde(deserialize_with = "time_span")]
    pub at: Duration,
    /// How long it lasts; absent: to the end.
    #[serde(default, rename = "for", deserialize_with = "optional_time_span")]
    pub duration: Option<Duration>,
    /// What fails.
    pub kind: FaultKind,
    /// Numbers of the hosts, proxies or zones it strikes; absent: `count` of them drawn.
    #[serde(rename = "on")]
    pub targets: Option<Vec<u32>>,
    /// How many it strikes where `on` is absent.
    #[serde(default = "one")]
    pub count: u32,
    /// By how much, where the kind has a measure: a factor, a share, a number.
    #[serde(default = "full_measure", rename = "much")]
    pub magnitude: f64,
    /// A span that the kind uses: a period, a delay.
    #[serde(default = "default_span", deserialize_with = "time_span")]
    pub span: Duration,
    /// For faults of links: which links.
    #[serde(default, rename = "way")]
    pub link_kind: LinkKind,
    /// For faults of links: to which hosts; absent: all.
    #[serde(rename = "to")]
    pub to_hosts: Option<Vec<u32>>,
    /// Connections from before a cut are reset when it is over: the other side has forgotten them.
    #[serde(default)]
    pub half_open: bool,
    /// For `place-lost`: what comes back.
    #[serde(default, rename = "back")]
    pub recovered_part: RecoveredPart,
}

/// What fails.
///
/// The order counts: [`FaultKind::targets_hosts`] and its like are ranges of it. Logs and reports show the names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Hosts: accepts and reads, says nothing any more.
    HostSilent,
    /// New connections never come up, open ones fall silent.
    HostVanished,
    /// Only `much` of its speed.
    HostSlow,
    /// The same, on and off by `span`.
    HostStarved,
    /// Every session is answered `ERR` at once.
    HostErring,
    /// New sessions are accepted and never answered.
    HostMute,
    /// `UP` comes `span` late.
    HostLate,
    /// Resets once the last byte of a session's line has come.
    HostResets,
    /// Discovery has it as draining; it migrates what it has.
    HostDraining,
    /// Dies, and starts cold when the fault is over.
    HostRestarts,
    /// Dies, and discovery has it as gone.
    HostGone,
    /// Zones: all hosts and proxies there die, and come back when the fault is over, hosts cold; discovery has the
    /// hosts as gone `span` later.
    PlaceLost,
    /// The same, but they fall silent and live.
    PlaceSilent,
    /// All live, and nothing crosses the border of the zone.
    PlaceCut,
    /// The same, on and off by `span`.
    PlaceFlaps,
    /// Everything dies: hosts, proxies, discovery.
    PowerCut,
    /// Links from the proxies `on`: bytes are dropped silently, both ways.
    LinkDropped,
    /// Bytes are dropped silently on the way there.
    LinkDroppedThere,
    /// Bytes are dropped silently on the way back.
    LinkDroppedBack,
    /// New connections are refused.
    LinkRefused,
    /// Open ones are reset.
    LinkReset,
    /// What is sent comes `span` later.
    LinkDelayed,
    /// No more than `much` bytes a second pass.
    LinkSlowed,
    /// Proxies: stopped (SIGSTOP), and let run again when the fault is over.
    ProxyStalls,
    /// Killed outright, started again when the fault is over.
    ProxyKilled,
    /// SIGTERM, and started again once it has shut down and the fault is over.
    ProxyLeaves,
    /// Discovery moves to another address; the proxy is told by SIGHUP.
    ProxyReloads,
    /// Hot restart: replaced by a second process, which takes over.
    ProxyReplaced,
    /// The same, but the second process is killed `span` after its start.
    ProxyReplacedBadly,
    /// Drained on request within `span`, and taken back when the fault is over.
    ProxyDrains,
    /// Its snapshots on disk are spoilt: one file cut short, one overwritten.
    DiskSpoilt,
    /// Discovery: says nothing any more.
    DiscoverySilent,
    /// Refuses connections.
    DiscoveryRefuses,
    /// Writes what is no endpoint list.
    DiscoveryBabbles,
    /// Answers with the endpoint list as it was before the run, under its old number.
    DiscoveryOlder,
    /// `much` of all open connections are cut by their clients, who come again at once.
    ClientsReconnect,
    /// `much` of the clients read nothing for `span`.
    ClientsDeaf,
    /// `much` misbehaving clients of every sort.
    ClientsBad,
}

impl FaultKind {
    /// Whether it strikes hosts one by one.
    pub fn targets_hosts(self) -> bool {
        self <= FaultKind::HostGone
    }

    /// Whether it strikes whole zones.
    pub fn targets_zones(self) -> bool {
        self >= FaultKind::PlaceLost && self <= FaultKind::PlaceFlaps
    }

    /// Whether it strikes links between processes.
    pub fn targets_links(self) -> bool {
        self >= FaultKind::LinkDropped && self <= FaultKind::LinkSlowed
    }

    /// Whether it strikes proxies one by one.
    pub fn targets_proxies(self) -> bool {
        self >= FaultKind::ProxyStalls && self <= FaultKind::DiskSpoilt
    }
}

/// Which links a fault of links strikes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(expecting = "enum Way", rename_all = "kebab-case")]
pub enum LinkKind {
    /// Between proxies and hosts.
    #[default]
    ProxyHost,
    /// Between clients, the front among them, and proxies.
    ClientProxy,
}

/// What of a lost zone comes back when the fault is over; the rest stays away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(expecting = "enum Back", rename_all = "kebab-case")]
pub enum RecoveredPart {
    /// Hosts and proxies.
    #[default]
    All,
    /// Hosts only.
    Hosts,
    /// Proxies only.
    Proxies,
}

fn one() -> u32 {
    1
}

fn full_measure() -> f64 {
    1.0
}

fn default_span() -> Duration {
    Duration::from_secs(2)
}
