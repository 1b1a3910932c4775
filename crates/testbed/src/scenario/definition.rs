//! The top-level structure of a scenario file.

use super::clients::{Listener, Tenant, Traffic};
use super::faults::ScenarioFault;
use super::fleet::Fleet;
use super::proxies::{FrontSettings, Platform, Proxies};
use super::time_span::time_span;
use serde::Deserialize;
use std::time::Duration;

/// The description of a run: the emulated environment, the proxies, the traffic and the faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Shown in reports.
    pub name: String,
    /// How long clients arrive and hold sessions; no client wants to stay longer.
    #[serde(deserialize_with = "time_span")]
    pub length: Duration,
    /// The seed of the plan's random draws, unless the command line gives another.
    #[serde(default)]
    pub seed: u64,
    /// Names of the zones.
    #[serde(rename = "places")]
    pub zones: Vec<String>,
    /// The emulated hosts.
    pub fleet: Fleet,
    /// The listeners; each is a class of sessions.
    pub listeners: Vec<Listener>,
    /// The tenants.
    #[serde(rename = "members")]
    pub tenants: Vec<Tenant>,
    /// How clients arrive and behave.
    pub traffic: Traffic,
    /// The proxy processes under test.
    pub proxies: Proxies,
    /// Limits and tolerances that the proxies are given and the judge applies.
    #[serde(default)]
    pub platform: Platform,
    /// The load balancer in front of the proxies.
    #[serde(default)]
    pub front: FrontSettings,
    /// The faults that are injected.
    #[serde(default)]
    pub faults: Vec<ScenarioFault>,
}

impl Scenario {
    /// The number of hosts in all groups.
    pub fn hosts(&self) -> u32 {
        self.fleet.hosts.iter().map(|group| group.count).sum()
    }
}
