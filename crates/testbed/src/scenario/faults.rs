//! The table `faults`: the faults to inject, with their targets, times and magnitudes.

use super::time_span::{optional_time_span, time_span};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A fault of a scenario. The kind decides which of the other keys have a meaning.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Fault", deny_unknown_fields)]
pub struct ScenarioFault {
    /// When it begins, since the start of the run.
    #[serde(deserialize_with = "time_span")]
    pub at: Duration,
    /// How long it lasts; absent: until the end of the run.
    #[serde(default, rename = "for", deserialize_with = "optional_time_span")]
    pub duration: Option<Duration>,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The numbers of the hosts, proxies or zones that it affects, from 0; absent: `count` of them, drawn at random.
    #[serde(rename = "on")]
    pub targets: Option<Vec<u32>>,
    /// How many targets are drawn if `targets` is absent.
    #[serde(default = "default_count")]
    pub count: u32,
    /// How strong it is: a share, a count or a rate, as [`FaultKind`] states for its key `much`.
    #[serde(default = "default_magnitude", rename = "much")]
    pub magnitude: f64,
    /// A period or a delay, as [`FaultKind`] states for its key `span`.
    #[serde(default = "default_span", deserialize_with = "time_span")]
    pub span: Duration,
    /// For faults of links: which links of the proxies `targets`.
    #[serde(default, rename = "way")]
    pub link_kind: LinkKind,
    /// For faults of links between proxies and hosts: the numbers of the hosts; absent: all.
    #[serde(rename = "to")]
    pub to_hosts: Option<Vec<u32>>,
    /// For faults of links and zones: whether connections of affected links that exist at its end are reset then, as if
    /// the other side had forgotten them.
    #[serde(default)]
    pub half_open: bool,
    /// For `place-lost`: which processes start again at its end.
    #[serde(default, rename = "back")]
    pub recovered_part: RecoveredPart,
}

/// The kind of a fault. `on`, `much` and `span` are keys of [`ScenarioFault`]: its targets, magnitude and span.
///
/// The order matters: [`FaultKind::targets_hosts`] and the other `targets_` functions are ranges of it. Logs and
/// reports print the names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A host accepts connections and sends nothing.
    HostSilent,
    /// A host is cut off: connection attempts to it get no answer, and nothing comes on open connections.
    HostVanished,
    /// A host has only the share `much` of its speed.
    HostSlow,
    /// A host has only the share `much` of its speed in the first half of each period of `span`.
    HostStarved,
    /// A host answers each session request with `ERR` at once.
    HostErring,
    /// A host reads session requests and never answers them; open sessions continue.
    HostMute,
    /// A host answers session requests with `UP` later by `span`.
    HostLate,
    /// A host resets the connection once it has read a complete session request.
    HostResets,
    /// A host is listed as draining, rejects session requests, and moves its open sessions away.
    HostDraining,
    /// A host's process ends, and starts cold at the end of the fault.
    HostRestarts,
    /// A host's process ends, and discovery reports the host as gone.
    HostGone,
    /// All hosts and proxies of a zone end, and start again at the end of the fault, hosts cold. Discovery reports the
    /// hosts as gone after `span`.
    PlaceLost,
    /// All hosts of a zone are cut off and all its proxies are suspended; the processes survive.
    PlaceSilent,
    /// A network partition: links between a zone and the other zones drop all bytes.
    PlaceCut,
    /// An intermittent network partition of a zone: `span` with it, `span` without it, and so on.
    PlaceFlaps,
    /// All hosts and proxies end, and discovery is silent; all return at the end of the fault.
    PowerCut,
    /// Links of the proxies `on` drop bytes in both directions.
    LinkDropped,
    /// Links of the proxies `on` drop bytes from the side that opens connections.
    LinkDroppedThere,
    /// Links of the proxies `on` drop bytes to the side that opens connections.
    LinkDroppedBack,
    /// Links of the proxies `on` refuse new connections; open ones continue.
    LinkRefused,
    /// Links of the proxies `on` reset all connections, open and new ones.
    LinkReset,
    /// Links of the proxies `on` deliver bytes later by `span`.
    LinkDelayed,
    /// Links of the proxies `on` carry at most `much` bytes per second.
    LinkSlowed,
    /// A proxy is suspended (SIGSTOP), and resumed at the end of the fault.
    ProxyStalls,
    /// A proxy is killed (SIGKILL), and started again at the end of the fault.
    ProxyKilled,
    /// A proxy shuts down on SIGTERM, and is started again once it has exited and the fault is over.
    ProxyLeaves,
    /// A proxy's discovery agent changes its address, and the proxy reloads its configuration on SIGHUP.
    ProxyReloads,
    /// A proxy is replaced by a hot restart.
    ProxyReplaced,
    /// A proxy's hot restart fails: the successor is killed `span` after its start.
    ProxyReplacedBadly,
    /// A proxy is drained by an admin request with the deadline `span`, and undrained at the end of the fault.
    ProxyDrains,
    /// A proxy's snapshots on disk are corrupted: one file is truncated, one overwritten.
    DiskSpoilt,
    /// Discovery accepts connections and answers nothing.
    DiscoverySilent,
    /// Discovery refuses connections.
    DiscoveryRefuses,
    /// Discovery sends text that is not a valid endpoint list.
    DiscoveryBabbles,
    /// Discovery sends the endpoint list from before the run, with its old version.
    DiscoveryOlder,
    /// The share `much` of all clients with an open connection close it and connect again shortly after.
    ClientsReconnect,
    /// The share `much` of all clients with an open connection neither read nor write for `span`.
    ClientsDeaf,
    /// `much` misbehaving clients of each kind connect.
    ClientsBad,
}

impl FaultKind {
    /// Whether its targets are single hosts.
    pub fn targets_hosts(self) -> bool {
        self <= FaultKind::HostGone
    }

    /// Whether its targets are whole zones.
    pub fn targets_zones(self) -> bool {
        self >= FaultKind::PlaceLost && self <= FaultKind::PlaceFlaps
    }

    /// Whether it affects links; its targets are then the proxies at their ends.
    pub fn targets_links(self) -> bool {
        self >= FaultKind::LinkDropped && self <= FaultKind::LinkSlowed
    }

    /// Whether its targets are single proxies.
    pub fn targets_proxies(self) -> bool {
        self >= FaultKind::ProxyStalls && self <= FaultKind::DiskSpoilt
    }
}

/// Which links of its target proxies a fault of links affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(expecting = "enum Way", rename_all = "kebab-case")]
pub enum LinkKind {
    /// Between proxies and hosts.
    #[default]
    ProxyHost,
    /// Between clients or the front and proxies.
    ClientProxy,
}

/// Which processes of a lost zone start again at the end of the fault; the others stay down.
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

fn default_count() -> u32 {
    1
}

fn default_magnitude() -> f64 {
    1.0
}

fn default_span() -> Duration {
    Duration::from_secs(2)
}
