//! What serde cannot say of a scenario: ranges of figures, names, and values that must go together.
//!
//! The order of the checks decides which mistake is reported of a file with several.

use super::clients::{Listener, Tenant, Traffic};
use super::definition::Scenario;
use super::error::ScenarioError;
use super::fault_checks::check_fault;
use super::fleet::{Fleet, HostGroup};
use super::proxies::Proxies;
use super::time_span::LONGEST_SPAN;
use super::value_checks::{check_name, check_range};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

const SHORTEST_LENGTH_SECONDS: f64 = 0.5;
const ALLOWED_PLACES: RangeInclusive<f64> = 1.0..=250.0;
const ALLOWED_LISTENERS: RangeInclusive<f64> = 1.0..=16.0;
const ALLOWED_MEMBERS: RangeInclusive<f64> = 1.0..=256.0;
const ALLOWED_HOSTS: RangeInclusive<f64> = 1.0..=2_000.0;
const ALLOWED_PROXIES: RangeInclusive<f64> = 1.0..=200.0;
const ALLOWED_PORTION: RangeInclusive<f64> = 0.0..=1e6;
const ALLOWED_DIAL_TIMEOUT_SECONDS: RangeInclusive<f64> = 0.05..=60.0;
/// From nothing to all.
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
/// The fields that a host can put into its load report.
const REPORT_FIELDS: [&str; 2] = ["x0", "outstanding"];

/// The first mistake of a scenario.
pub(super) fn check(scenario: &Scenario) -> Result<(), ScenarioError> {
    check_size(scenario)?;
    for (index, place) in scenario.zones.iter().enumerate() {
        check_name(format!("places.{index}"), place)?;
    }
    check_listeners(&scenario.listeners)?;
    check_members(&scenario.tenants)?;
    check_portions(scenario)?;
    for (index, group) in scenario.fleet.hosts.iter().enumerate() {
        check_host_group(index, group, &scenario.zones)?;
    }
    let hosts = f64::from(scenario.hosts());
    check_range("fleet.hosts, their number", hosts, ALLOWED_HOSTS)?;
    check_fleet(&scenario.fleet)?;
    check_traffic(&scenario.traffic)?;
    check_proxies(&scenario.proxies)?;
    check_curve(&scenario.traffic)?;
    for (index, fault) in scenario.faults.iter().enumerate() {
        check_fault(scenario, index, fault)?;
    }
    Ok(())
}

fn check_size(scenario: &Scenario) -> Result<(), ScenarioError> {
    check_range(
        "length in seconds",
        scenario.length.as_secs_f64(),
        SHORTEST_LENGTH_SECONDS..=LONGEST_SPAN.as_secs_f64(),
    )?;
    let places = scenario.zones.len() as f64;
    check_range("places, their number", places, ALLOWED_PLACES)?;
    let listeners = scenario.listeners.len() as f64;
    check_range("listeners, their number", listeners, ALLOWED_LISTENERS)?;
    let members = scenario.tenants.len() as f64;
    check_range("members, their number", members, ALLOWED_MEMBERS)
}

fn check_listeners(listeners: &[Listener]) -> Result<(), ScenarioError> {
    let mut names = BTreeSet::new();
    for (index, listener) in listeners.iter().enumerate() {
        let key = |name: &str| format!("listeners.{index}.{name}");
        check_name(key("name"), &listener.name)?;
        if !names.insert(&listener.name) {
            let name = listener.name.clone();
            return Err(ScenarioError::DuplicateListener { index, name });
        }
        check_range(key("work"), listener.work, SHARE)?;
        check_range(key("portion"), listener.traffic_weight, ALLOWED_PORTION)?;
        check_range(
            key("dial_timeout in seconds"),
            listener.answer_timeout.as_secs_f64(),
            ALLOWED_DIAL_TIMEOUT_SECONDS,
        )?;
    }
    Ok(())
}

fn check_members(members: &[Tenant]) -> Result<(), ScenarioError> {
    for (index, member) in members.iter().enumerate() {
        check_name(format!("members.{index}.name"), &member.name)?;
        let key = format!("members.{index}.portion");
        check_range(key, member.weight, ALLOWED_PORTION)?;
    }
    Ok(())
}

/// Each session belongs to a listener and a member.
fn check_portions(scenario: &Scenario) -> Result<(), ScenarioError> {
    let listeners: f64 = scenario.listeners.iter().map(|l| l.traffic_weight).sum();
    let members: f64 = scenario.tenants.iter().map(|m| m.weight).sum();
    for (table, sum) in [("listeners", listeners), ("members", members)] {
        if sum <= 0.0 {
            return Err(ScenarioError::NoPortions { table });
        }
    }
    Ok(())
}

fn check_host_group(
    index: usize,
    group: &HostGroup,
    places: &[String],
) -> Result<(), ScenarioError> {
    let key = |name: &str| format!("fleet.hosts.{index}.{name}");
    check_range(key("speed"), group.speed, 0.01..=100.0)?;
    check_range(key("weight"), group.weight, 0.001..=1000.0)?;
    match &group.zone {
        Some(place) if !places.contains(place) => Err(ScenarioError::UnknownPlace {
            index,
            place: place.clone(),
            places: places.to_vec(),
        }),
        _ => Ok(()),
    }
}

fn check_fleet(fleet: &Fleet) -> Result<(), ScenarioError> {
    check_range("fleet.report_noise", fleet.report_noise, 0.0..=0.5)?;
    check_range("fleet.cold_share", fleet.cold_share, 0.01..=1.0)?;
    check_range("fleet.tip_multiple", fleet.overload_factor, 1.0..=100.0)?;
    for (index, field) in fleet.report_fields.iter().enumerate() {
        if !REPORT_FIELDS.contains(&field.as_str()) {
            let field = field.clone();
            return Err(ScenarioError::UnknownReportField { index, field });
        }
    }
    Ok(())
}

fn check_traffic(traffic: &Traffic) -> Result<(), ScenarioError> {
    check_range("traffic.rate", traffic.rate, 0.0..=20_000.0)?;
    check_range("traffic.grouped", traffic.grouped_share, SHARE)?;
    check_range("traffic.impatient", traffic.impatient_share, SHARE)?;
    check_range(
        "traffic.life.sigma",
        traffic.session_length.sigma,
        0.0..=4.0,
    )?;
    let inherited = f64::from(traffic.inherited);
    check_range("traffic.inherited", inherited, 0.0..=50_000.0)
}

fn check_proxies(proxies: &Proxies) -> Result<(), ScenarioError> {
    let count = f64::from(proxies.count);
    check_range("proxies.count", count, ALLOWED_PROXIES)?;
    let sockets = f64::from(proxies.max_descriptors);
    check_range("proxies.sockets", sockets, 64.0..=1e6)?;
    let callers = f64::from(proxies.metrics_callers);
    check_range("proxies.callers", callers, 0.0..=8.0)?;
    let pollers = f64::from(proxies.status_pollers);
    check_range("proxies.watchers", pollers, 0.0..=16.0)
}

fn check_curve(traffic: &Traffic) -> Result<(), ScenarioError> {
    for (index, point) in traffic.curve.iter().enumerate() {
        let key = format!("traffic.curve.{index}.times");
        check_range(key, point.rate_multiple, 0.0..=1000.0)?;
    }
    Ok(())
}
