//! The configuration file of a proxy, as the platform that a scenario emulates would write it. Times are in microseconds.

use crate::scenario::{IdempotencyScope, Listener, RetrySafety, Scenario};
use serde::Serialize;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// How late a final answer may be according to the configuration, in microseconds; less than the judge allows.
const ANSWER_SLACK_US: u64 = 16_000;
/// Multiplier that makes the seeds of successive proxies differ in all bits (2^64 divided by the golden ratio).
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of cores that the configuration allows a proxy.
const CORES: f64 = 1.0;

/// The configuration file's content.
#[derive(Debug, Serialize)]
pub(super) struct ProxyConfiguration<'a> {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Value,
    settings: Settings<'a>,
}

#[derive(Debug, Serialize)]
struct Limits {
    cores: f64,
    memory_mb: u32,
    sockets: u32,
}

#[derive(Debug, Serialize)]
struct Settings<'a> {
    discovery: &'static str,
    instances: u32,
    self_index: u16,
    zone: u8,
    localities: &'a [String],
    weights: &'static str,
    listeners: Vec<ListenerSettings<'a>>,
    tenants: Vec<TenantSettings<'a>>,
    load_info: LoadInfo<'a>,
    permissions: Permissions,
    rules: Rules,
    specifics: SessionHandlingSettings,
}

#[derive(Debug, Serialize)]
struct ListenerSettings<'a> {
    name: &'a str,
    semantics: &'static str,
    group: &'static str,
    key_ttl: u64,
    handshake_target: u64,
    give_up: u64,
    utility: f64,
    overdue_utility: f64,
    stream: bool,
}

#[derive(Debug, Serialize)]
struct TenantSettings<'a> {
    name: &'a str,
    portion: f64,
}

#[derive(Debug, Serialize)]
struct LoadInfo<'a> {
    fields: &'a [String],
    how: &'static str,
}

#[derive(Debug, Serialize)]
struct Permissions {
    max_dials: u32,
    cancelling: bool,
    retry_after: bool,
    max_retry_after: u64,
    dial_timeout: u64,
    may_probe: bool,
    second_copies: bool,
    peers: bool,
}

#[derive(Debug, Serialize)]
struct Rules {
    cold: u64,
    cold_share: f64,
    tip_multiple: f64,
    drain_grace: u64,
    overload_for: u64,
    answer_slack: u64,
}

/// The settings below the key `specifics`: the message latency objective of each listener in microseconds, the forwarding
/// mode, and whether sessions have groups.
#[derive(Debug, Serialize)]
struct SessionHandlingSettings {
    message_aim: Vec<f64>,
    mode: &'static str,
    groups: bool,
}

/// The values of a configuration that differ between the proxies of a run.
pub(super) struct ProxyParameters {
    /// The proxy's number.
    pub(super) number: u16,
    /// The index of its zone in the scenario's list of zones.
    pub(super) zone: u8,
    /// The address at which it listens for clients.
    pub(super) listen: SocketAddr,
    /// The address of its discovery agent.
    pub(super) discovery: SocketAddr,
    /// The endpoint list that it starts with, before discovery has answered.
    pub(super) initial_endpoints: Value,
}

impl<'a> ProxyConfiguration<'a> {
    /// The configuration of one proxy of a scenario.
    pub(super) fn new(
        scenario: &'a Scenario,
        parameters: ProxyParameters,
    ) -> ProxyConfiguration<'a> {
        let seed = (u64::from(parameters.number) + 1).wrapping_mul(SEED_MULTIPLIER);
        ProxyConfiguration {
            name: format!("n{}", parameters.number),
            listen: parameters.listen.to_string(),
            discovery: parameters.discovery.to_string(),
            seed: format!("{seed:016x}"),
            limits: Limits {
                cores: CORES,
                memory_mb: scenario.proxies.memory_mb,
                sockets: scenario.proxies.max_descriptors,
            },
            known: parameters.initial_endpoints,
            settings: settings(scenario, parameters.number, parameters.zone),
        }
    }

    /// Replaces the file atomically, as a proxy may read it at any time.
    pub(super) fn write(&self, path: &Path) -> io::Result<()> {
        // Converting to a `Value` first sorts the keys alphabetically.
        let text = serde_json::to_value(self)?.to_string();
        let partial_file = path.with_extension("part");
        std::fs::write(&partial_file, text)?;
        std::fs::rename(partial_file, path)
    }
}

fn settings(scenario: &Scenario, number: u16, zone: u8) -> Settings<'_> {
    let message_targets = scenario.listeners.iter().map(|l| l.message_target);
    Settings {
        discovery: "pushed",
        instances: scenario.proxies.count,
        self_index: number,
        zone,
        localities: &scenario.zones,
        weights: "fixed",
        listeners: scenario.listeners.iter().map(listener_settings).collect(),
        tenants: tenants(scenario),
        load_info: LoadInfo {
            fields: &scenario.fleet.report_fields,
            how: "on_probe",
        },
        permissions: permissions(scenario),
        rules: rules(scenario),
        specifics: SessionHandlingSettings {
            message_aim: message_targets.map(|t| microseconds(t) as f64).collect(),
            mode: "proxy",
            groups: scenario.traffic.groups > 0,
        },
    }
}

fn listener_settings(listener: &Listener) -> ListenerSettings<'_> {
    ListenerSettings {
        name: &listener.name,
        semantics: match listener.retry_safety {
            RetrySafety::Idempotent => "read_like",
            RetrySafety::IdempotencyKey => "idempotency_key",
            RetrySafety::NotIdempotent => "non_idempotent",
        },
        group: match listener.idempotency_scope {
            IdempotencyScope::All => "all",
            IdempotencyScope::Zone => "zone",
            IdempotencyScope::Cell => "cell",
        },
        key_ttl: microseconds(listener.key_ttl),
        handshake_target: microseconds(listener.set_up_target),
        give_up: microseconds(listener.answer_timeout),
        utility: listener.priority_weight,
        overdue_utility: 0.0,
        stream: true,
    }
}

/// The tenants, each with its weight as a share of all tenants' weights.
fn tenants(scenario: &Scenario) -> Vec<TenantSettings<'_>> {
    let sum: f64 = scenario.tenants.iter().map(|tenant| tenant.weight).sum();
    let tenants = scenario.tenants.iter();
    tenants
        .map(|tenant| TenantSettings {
            name: &tenant.name,
            portion: tenant.weight / sum,
        })
        .collect()
}

fn permissions(scenario: &Scenario) -> Permissions {
    let platform = &scenario.platform;
    Permissions {
        max_dials: platform.max_dials,
        cancelling: true,
        retry_after: true,
        max_retry_after: microseconds(platform.max_retry_after),
        dial_timeout: microseconds(platform.connect_timeout),
        may_probe: platform.may_probe,
        second_copies: false,
        peers: false,
    }
}

fn rules(scenario: &Scenario) -> Rules {
    let fleet = &scenario.fleet;
    Rules {
        cold: microseconds(fleet.warm_up_time),
        cold_share: fleet.cold_share,
        tip_multiple: fleet.overload_factor,
        drain_grace: microseconds(scenario.platform.drain_grace),
        overload_for: microseconds(fleet.overload_window),
        answer_slack: ANSWER_SLACK_US,
    }
}

fn microseconds(span: Duration) -> u64 {
    span.as_micros() as u64
}
