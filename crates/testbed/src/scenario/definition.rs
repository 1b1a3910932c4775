//! The whole of a scenario file.

use super::clients::{Listener, Tenant, Traffic};
use super::faults::ScenarioFault;
use super::fleet::Fleet;
use super::proxies::{FrontSettings, Platform, Proxies};
use super::time_span::time_span;
use serde::Deserialize;
use std::time::Duration;

/// What a run is made of.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Shown in reports.
    pub name: String,
    /// How long clients want to be served.
    #[serde(deserialize_with = "time_span")]
    pub length: Duration,
    /// What chance is drawn from, unless the command line says otherwise.
    #[serde(default)]
    pub seed: u64,
    /// Names of the zones.
    #[serde(rename = "places")]
    pub zones: Vec<String>,
    /// The stand-in hosts.
    pub fleet: Fleet,
    /// The kinds of sessions.
    pub listeners: Vec<Listener>,
    /// The tenants.
    #[serde(rename = "members")]
    pub tenants: Vec<Tenant>,
    /// What clients do.
    pub traffic: Traffic,
    /// The proxies, which are processes of their own.
    pub proxies: Proxies,
    /// What the platform permits.
    #[serde(default)]
    pub platform: Platform,
    /// The load balancer before the proxies.
    #[serde(default)]
    pub front: FrontSettings,
    /// What fails, and when.
    #[serde(default)]
    pub faults: Vec<ScenarioFault>,
}

impl Scenario {
    /// How many hosts there are, over all groups.
    pub fn hosts(&self) -> u32 {
        self.fleet.hosts.iter().map(|group| group.count).sum()
    }
}
