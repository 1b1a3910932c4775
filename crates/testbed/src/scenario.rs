//! Scenario files: what a run is made of, decoded and checked in one place.

use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// How long clients want to be served.
    #[serde(deserialize_with = "span")]
    pub length: Duration,
    #[serde(default)]
    pub seed: u64,
    pub places: Vec<String>,
    pub fleet: Fleet,
    pub listeners: Vec<Listener>,
    pub members: Vec<Member>,
    pub traffic: Traffic,
    pub proxies: Proxies,
    #[serde(default)]
    pub platform: Platform,
    #[serde(default)]
    pub front: Front,
    #[serde(default)]
    pub faults: Vec<ScenarioFault>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub hosts: Vec<HostGroup>,
    /// Age of what a report tells, and how far off its figures are, as a share of them.
    #[serde(default = "report_age", deserialize_with = "span")]
    pub report_age: Duration,
    #[serde(default = "report_noise")]
    pub report_noise: f64,
    #[serde(default = "report_fields")]
    pub report_fields: Vec<String>,
    /// Share of its speed that a host has when it has just started, and when it has all of it.
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    #[serde(default = "warm_after", deserialize_with = "span")]
    pub warm_after: Duration,
    /// How often its present capacity a cold host may be sent for `overload_for` before it collapses.
    #[serde(default = "tip_multiple")]
    pub tip_multiple: f64,
    #[serde(default = "overload_for", deserialize_with = "span")]
    pub overload_for: Duration,
    /// Share of a standard host that each group costs every host holding any of it.
    #[serde(default)]
    pub group_cost: f64,
    /// Work of a set-up, in seconds of a standard host.
    #[serde(default = "set_up_work", deserialize_with = "span")]
    pub set_up_work: Duration,
    /// What a message takes at a host at rest.
    #[serde(default = "message_time", deserialize_with = "span")]
    pub message_time: Duration,
    /// Longest time that a change takes to reach a proxy's agent.
    #[serde(default = "told_within", deserialize_with = "span")]
    pub told_within: Duration,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Hosts", deny_unknown_fields)]
pub struct HostGroup {
    pub count: u32,
    /// Absent: all places in turn.
    pub place: Option<String>,
    #[serde(default = "one")]
    pub speed: f64,
    #[serde(default = "one")]
    pub weight: f64,
    /// Connections that it serves at most.
    #[serde(default = "places")]
    pub places: u32,
    /// Sockets that it accepts at most, probes among them.
    #[serde(default = "room")]
    pub room: u32,
    #[serde(default)]
    pub cell: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename = "Kind", rename_all = "kebab-case")]
pub enum RetrySafety {
    Repeatable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename = "Circle", rename_all = "kebab-case")]
pub enum RetryScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    pub name: String,
    pub kind: RetrySafety,
    #[serde(default = "circle")]
    pub circle: RetryScope,
    #[serde(default = "key_ttl", deserialize_with = "span")]
    pub key_ttl: Duration,
    #[serde(deserialize_with = "span")]
    pub handshake_target: Duration,
    #[serde(deserialize_with = "span")]
    pub dial_timeout: Duration,
    #[serde(deserialize_with = "span")]
    pub message_target: Duration,
    #[serde(default = "one")]
    pub utility: f64,
    /// Share of a standard host that a connection asks for, on average.
    pub work: f64,
    /// Part of the sessions.
    #[serde(default = "one")]
    pub portion: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub name: String,
    #[serde(default = "one")]
    pub portion: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// New clients a second.
    pub rate: f64,
    /// Points between which the rate is a straight line, as multiples of it.
    #[serde(default)]
    pub curve: Vec<RatePoint>,
    pub life: SessionLength,
    /// Groups that clients belong to, and the share of clients that do.
    #[serde(default)]
    pub groups: u32,
    #[serde(default)]
    pub grouped: f64,
    #[serde(default = "message_every", deserialize_with = "span")]
    pub message_every: Duration,
    #[serde(default)]
    pub retries: Retries,
    /// Share of clients that leave before they are answered.
    #[serde(default)]
    pub impatient: f64,
    /// Clients connected before the run.
    #[serde(default)]
    pub inherited: u32,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Point", deny_unknown_fields)]
pub struct RatePoint {
    #[serde(deserialize_with = "span")]
    pub at: Duration,
    pub times: f64,
}

/// Log-normal.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Life", deny_unknown_fields)]
pub struct SessionLength {
    #[serde(deserialize_with = "span")]
    pub median: Duration,
    #[serde(default)]
    pub sigma: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    pub most: u32,
    #[serde(deserialize_with = "span")]
    pub pause: Duration,
}

impl Default for Retries {
    fn default() -> Self {
        Retries {
            most: 4,
            pause: Duration::from_millis(300),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proxies {
    pub count: u32,
    #[serde(default = "sockets")]
    pub sockets: u32,
    #[serde(default = "memory_mb")]
    pub memory_mb: u32,
    /// Operators that ask each proxy for its status ten times a second, and a quarter more that ask and never read.
    #[serde(default)]
    pub watchers: u32,
    /// Operators that ask each proxy's door for its figures, again and again; where there are any, one more stalls.
    #[serde(default)]
    pub callers: u32,
    /// When all are restarted in turn by the command `roll`.
    #[serde(default, deserialize_with = "some_span")]
    pub roll_at: Option<Duration>,
    /// Whether each keeps what it knows on disk for its next start, and whether it starts by stages.
    #[serde(default)]
    pub saves: bool,
    #[serde(default)]
    pub stages: bool,
    #[serde(default)]
    pub known: InitialEndpointList,
    /// Whether each may ask the others what they know.
    #[serde(default)]
    pub asks: bool,
    /// Whether utility decides who is refused first while room is short.
    #[serde(default)]
    pub by_worth: bool,
}

/// The list that a proxy's configuration has when it is started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename = "Known", rename_all = "kebab-case")]
pub enum InitialEndpointList {
    /// As it is then.
    #[default]
    Fresh,
    /// As it was before the run.
    Old,
    /// Nobody.
    Empty,
}

/// What the platform permits and the rules' figures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    pub max_dials: u32,
    pub may_probe: bool,
    #[serde(deserialize_with = "span")]
    pub connect_within: Duration,
    #[serde(deserialize_with = "span")]
    pub max_retry_after: Duration,
    #[serde(deserialize_with = "span")]
    pub drain_grace: Duration,
    /// How late a final answer may be, beside what the rig itself was late.
    #[serde(deserialize_with = "span")]
    pub answer_slack: Duration,
    /// Lateness of the rig above which a run tells nothing.
    #[serde(deserialize_with = "span")]
    pub void_above: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Platform {
            max_dials: 4,
            may_probe: true,
            connect_within: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(2),
            drain_grace: Duration::from_secs(1),
            answer_slack: Duration::from_millis(66),
            void_above: Duration::from_millis(250),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    #[serde(deserialize_with = "span")]
    pub check: Duration,
    /// How long a dead proxy goes on being used.
    #[serde(deserialize_with = "span")]
    pub forget: Duration,
}

impl Default for Front {
    fn default() -> Self {
        Front {
            check: Duration::from_millis(250),
            forget: Duration::from_millis(1500),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Fault", deny_unknown_fields)]
pub struct ScenarioFault {
    #[serde(deserialize_with = "span")]
    pub at: Duration,
    /// How long it lasts; absent: to the end.
    #[serde(default, rename = "for", deserialize_with = "some_span")]
    pub lasts: Option<Duration>,
    pub kind: FaultKind,
    /// Numbers of the hosts or proxies it strikes; absent: `count` of them drawn.
    pub on: Option<Vec<u32>>,
    #[serde(default = "one_of")]
    pub count: u32,
    /// By how much, where the kind has a measure: a factor, a share, a number.
    #[serde(default = "one")]
    pub much: f64,
    /// A span that the kind uses: a period, a delay.
    #[serde(default = "fault_span", deserialize_with = "span")]
    pub span: Duration,
    /// For faults of links: which ways, and to which hosts (absent: all).
    #[serde(default)]
    pub way: LinkKind,
    pub to: Option<Vec<u32>>,
    /// Connections from before a cut are reset when it is over: the other side has forgotten them.
    #[serde(default)]
    pub half_open: bool,
    /// For `place-lost`.
    #[serde(default)]
    pub back: RecoveredPart,
}

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
    /// Told as draining; sends what it has away.
    HostDraining,
    /// Dies, and starts cold when the fault is over.
    HostRestarts,
    /// Dies and is told as gone.
    HostGone,
    /// Places: all hosts and proxies there die, and come back when the fault is over, hosts cold; discovery tells the
    /// hosts as gone `span` later.
    PlaceLost,
    /// The same, but they fall silent and live.
    PlaceSilent,
    /// All live, and nothing crosses the border of the place.
    PlaceCut,
    /// The same, on and off by `span`.
    PlaceFlaps,
    /// Everything dies: hosts, proxies, discovery.
    PowerCut,
    /// Ways, from the proxies `on`: bytes are dropped silently, both ways or one.
    LinkDropped,
    LinkDroppedThere,
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
    /// SIGTERM, and started again once it has left and the fault is over.
    ProxyLeaves,
    /// Discovery moves to another address, told by SIGHUP.
    ProxyReloads,
    /// Replaced by a second process, which takes over.
    ProxyReplaced,
    /// The same, but the second process is killed `span` after its start.
    ProxyReplacedBadly,
    /// Drained on request within `span`, and taken back when the fault is over.
    ProxyDrains,
    /// What it keeps on disk is spoilt: one file cut short, one overwritten.
    DiskSpoilt,
    DiscoverySilent,
    DiscoveryRefuses,
    /// Writes what is no list.
    DiscoveryBabbles,
    /// Tells whoever asks the list as it was before the run, under its old number.
    DiscoveryOlder,
    /// `much` of all open connections are cut by their clients, who come again at once.
    ClientsReconnect,
    /// `much` of the clients read nothing for `span`.
    ClientsDeaf,
    /// `much` bad clients of every sort.
    ClientsBad,
}

impl FaultKind {
    pub fn strikes_hosts(self) -> bool {
        self <= FaultKind::HostGone
    }

    pub fn strikes_proxies(self) -> bool {
        self >= FaultKind::ProxyStalls && self <= FaultKind::DiskSpoilt
    }
}

impl FaultKind {
    pub fn strikes_places(self) -> bool {
        self >= FaultKind::PlaceLost && self <= FaultKind::PlaceFlaps
    }

    pub fn strikes_links(self) -> bool {
        self >= FaultKind::LinkDropped && self <= FaultKind::LinkSlowed
    }
}

/// Which ways a fault of links strikes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename = "Way", rename_all = "kebab-case")]
pub enum LinkKind {
    #[default]
    ProxyHost,
    /// Between clients, the front among them, and proxies.
    ClientProxy,
}

/// What of a lost place comes back when the fault is over; the rest stays away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename = "Back", rename_all = "kebab-case")]
pub enum RecoveredPart {
    #[default]
    All,
    HostGroup,
    Proxies,
}

const MOST_HOSTS: u32 = 2_000;
const MOST_PROXIES: u32 = 200;
const LONGEST: Duration = Duration::from_secs(3_600);

impl Scenario {
    pub fn open(path: &Path) -> Result<Scenario, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Scenario::read(&text).map_err(|e| format!("{name}: {e}"))
    }

    /// Decodes and checks; an error names the key and what is allowed.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|e| e.to_string().trim_end().to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    pub fn hosts(&self) -> u32 {
        self.fleet.hosts.iter().map(|h| h.count).sum()
    }

    fn check(&self) -> Result<(), String> {
        let within = |key: &str, value: f64, least: f64, most: f64| {
            let good = value >= least && value <= most;
            if good {
                Ok(())
            } else {
                Err(format!("{key} is {value}; allowed are {least} to {most}"))
            }
        };
        let plain = |key: &str, name: &str| {
            let good =
                !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            if good {
                Ok(())
            } else {
                Err(format!(
                    "{key} is {name:?}; allowed are letters, digits and -"
                ))
            }
        };
        within(
            "length in seconds",
            self.length.as_secs_f64(),
            0.5,
            LONGEST.as_secs_f64(),
        )?;
        within("places, their number", self.places.len() as f64, 1.0, 250.0)?;
        within(
            "listeners, their number",
            self.listeners.len() as f64,
            1.0,
            16.0,
        )?;
        within(
            "members, their number",
            self.members.len() as f64,
            1.0,
            256.0,
        )?;
        for (i, place) in self.places.iter().enumerate() {
            plain(&format!("places.{i}"), place)?;
        }
        let mut names = BTreeSet::new();
        for (i, l) in self.listeners.iter().enumerate() {
            plain(&format!("listeners.{i}.name"), &l.name)?;
            if !names.insert(&l.name) {
                return Err(format!(
                    "listeners.{i}.name is {:?}, as another's; each has its own",
                    l.name
                ));
            }
            within(&format!("listeners.{i}.work"), l.work, 0.0, 1.0)?;
            within(&format!("listeners.{i}.portion"), l.portion, 0.0, 1e6)?;
            let timeout = l.dial_timeout.as_secs_f64();
            within(
                &format!("listeners.{i}.dial_timeout in seconds"),
                timeout,
                0.05,
                60.0,
            )?;
        }
        for (i, m) in self.members.iter().enumerate() {
            plain(&format!("members.{i}.name"), &m.name)?;
            within(&format!("members.{i}.portion"), m.portion, 0.0, 1e6)?;
        }
        let portions = |all: f64, key: &str| {
            if all > 0.0 {
                Ok(())
            } else {
                Err(format!("{key}: all portions are 0; one must be more"))
            }
        };
        portions(self.listeners.iter().map(|l| l.portion).sum(), "listeners")?;
        portions(self.members.iter().map(|m| m.portion).sum(), "members")?;
        for (i, h) in self.fleet.hosts.iter().enumerate() {
            within(&format!("fleet.hosts.{i}.speed"), h.speed, 0.01, 100.0)?;
            within(&format!("fleet.hosts.{i}.weight"), h.weight, 0.001, 1000.0)?;
            if let Some(place) = h
                .place
                .as_ref()
                .filter(|place| !self.places.contains(place))
            {
                return Err(format!(
                    "fleet.hosts.{i}.place is {place:?}; allowed are {:?}",
                    self.places
                ));
            }
        }
        within(
            "fleet.hosts, their number",
            f64::from(self.hosts()),
            1.0,
            f64::from(MOST_HOSTS),
        )?;
        within("fleet.report_noise", self.fleet.report_noise, 0.0, 0.5)?;
        within("fleet.cold_share", self.fleet.cold_share, 0.01, 1.0)?;
        within("fleet.tip_multiple", self.fleet.tip_multiple, 1.0, 100.0)?;
        for (i, field) in self.fleet.report_fields.iter().enumerate() {
            if !["x0", "outstanding"].contains(&field.as_str()) {
                let key = format!("fleet.report_fields.{i}");
                return Err(format!(
                    "{key} is {field:?}; allowed are \"x0\", \"outstanding\""
                ));
            }
        }
        within("traffic.rate", self.traffic.rate, 0.0, 20_000.0)?;
        within("traffic.grouped", self.traffic.grouped, 0.0, 1.0)?;
        within("traffic.impatient", self.traffic.impatient, 0.0, 1.0)?;
        within("traffic.life.sigma", self.traffic.life.sigma, 0.0, 4.0)?;
        within(
            "traffic.inherited",
            f64::from(self.traffic.inherited),
            0.0,
            50_000.0,
        )?;
        within(
            "proxies.count",
            f64::from(self.proxies.count),
            1.0,
            f64::from(MOST_PROXIES),
        )?;
        within(
            "proxies.sockets",
            f64::from(self.proxies.sockets),
            64.0,
            1e6,
        )?;
        within("proxies.callers", f64::from(self.proxies.callers), 0.0, 8.0)?;
        within(
            "proxies.watchers",
            f64::from(self.proxies.watchers),
            0.0,
            16.0,
        )?;
        for (i, point) in self.traffic.curve.iter().enumerate() {
            within(
                &format!("traffic.curve.{i}.times"),
                point.times,
                0.0,
                1000.0,
            )?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let limit = match fault.kind {
                kind if kind.strikes_hosts() => self.hosts(),
                kind if kind.strikes_proxies() || kind.strikes_links() => self.proxies.count,
                kind if kind.strikes_places() => self.places.len() as u32,
                _ => u32::MAX,
            };
            let on = fault
                .on
                .iter()
                .flatten()
                .copied()
                .max()
                .map_or(fault.count, |most| most + 1);
            within(
                &format!("faults.{i}.on or .count"),
                f64::from(on),
                1.0,
                f64::from(limit),
            )?;
            let (least, most) = match fault.kind {
                FaultKind::ClientsBad => (1.0, 500.0),
                FaultKind::LinkSlowed => (1.0, 1e6),
                FaultKind::ClientsReconnect | FaultKind::ClientsDeaf => (0.0, 1.0),
                _ => (0.001, 1.0),
            };
            within(&format!("faults.{i}.much"), fault.much, least, most)?;
            let misplaced = [
                (
                    "to",
                    fault.to.is_some()
                        && (!fault.kind.strikes_links() || fault.way != LinkKind::ProxyHost),
                ),
                (
                    "way",
                    fault.way != LinkKind::default() && !fault.kind.strikes_links(),
                ),
                (
                    "half_open",
                    fault.half_open && !(fault.kind.strikes_links() || fault.kind.strikes_places()),
                ),
                (
                    "on",
                    fault.kind == FaultKind::DiskSpoilt && !self.proxies.saves,
                ),
                (
                    "back",
                    fault.back != RecoveredPart::All && fault.kind != FaultKind::PlaceLost,
                ),
            ];
            if let Some((key, _)) = misplaced.iter().find(|(_, wrong)| *wrong) {
                return Err(format!(
                    "faults.{i}.{key} does not go with {:?}",
                    fault.kind
                ));
            }
            if let Some(to) = fault
                .to
                .iter()
                .flatten()
                .max()
                .filter(|to| **to >= self.hosts())
            {
                return Err(format!(
                    "faults.{i}.to is {to}; allowed are 0 to {}",
                    self.hosts() - 1
                ));
            }
        }
        Ok(())
    }
}

/// A number and its unit, `ms`, `s` or `m`.
pub fn parse_span(text: &str) -> Result<Duration, String> {
    let wrong =
        || format!("{text:?} is no time; allowed are a number and ms, s or m, as in \"250ms\"");
    let digits = text.len()
        - text
            .trim_start_matches(|c: char| c.is_ascii_digit() || c == '.')
            .len();
    let factor = match &text[digits..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err(wrong()),
    };
    let number: f64 = text[..digits].parse().map_err(|_| wrong())?;
    Duration::try_from_secs_f64(number * factor)
        .ok()
        .filter(|span| *span <= LONGEST)
        .ok_or_else(wrong)
}

fn span<'d, D: Deserializer<'d>>(d: D) -> Result<Duration, D::Error> {
    parse_span(&String::deserialize(d)?).map_err(serde::de::Error::custom)
}

fn some_span<'d, D: Deserializer<'d>>(d: D) -> Result<Option<Duration>, D::Error> {
    span(d).map(Some)
}

fn one() -> f64 {
    1.0
}

fn one_of() -> u32 {
    1
}

fn places() -> u32 {
    2_000
}

fn room() -> u32 {
    4_000
}

fn sockets() -> u32 {
    1_024
}

fn memory_mb() -> u32 {
    192
}

fn circle() -> RetryScope {
    RetryScope::All
}

fn key_ttl() -> Duration {
    Duration::from_secs(5)
}

fn report_age() -> Duration {
    Duration::from_millis(500)
}

fn report_noise() -> f64 {
    0.05
}

fn report_fields() -> Vec<String> {
    ["x0", "outstanding"].map(String::from).to_vec()
}

fn cold_share() -> f64 {
    0.3
}

fn warm_after() -> Duration {
    Duration::from_secs(9)
}

fn tip_multiple() -> f64 {
    4.0
}

fn overload_for() -> Duration {
    Duration::from_millis(1500)
}

fn set_up_work() -> Duration {
    Duration::from_millis(2)
}

fn message_time() -> Duration {
    Duration::from_millis(5)
}

fn told_within() -> Duration {
    Duration::from_millis(300)
}

fn message_every() -> Duration {
    Duration::from_secs(2)
}

fn fault_span() -> Duration {
    Duration::from_secs(2)
}
