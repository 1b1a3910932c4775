//! The checks of a scenario that serde cannot express: ranges of numbers, valid names, and values that depend on
//! others.
//!
//! Only the first error found is reported, so the order of the checks decides which error of several the user sees.

use super::clients::{Listener, Tenant, Traffic};
use super::definition::Scenario;
use super::error::ScenarioError;
use super::fault_checks::check_fault;
use super::fleet::{Fleet, HostGroup};
use super::proxies::Proxies;
use super::time_span::MAX_TIME_SPAN;
use super::value_checks::{check_name, check_range};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// The shortest run that is allowed.
const MIN_LENGTH_SECONDS: f64 = 0.5;
/// How many zones a scenario may have.
const ALLOWED_ZONES: RangeInclusive<f64> = 1.0..=250.0;
/// How many listeners a scenario may have.
const ALLOWED_LISTENERS: RangeInclusive<f64> = 1.0..=16.0;
/// How many tenants a scenario may have.
const ALLOWED_TENANTS: RangeInclusive<f64> = 1.0..=256.0;
/// How many hosts a scenario may have in all groups.
const ALLOWED_HOSTS: RangeInclusive<f64> = 1.0..=2_000.0;
/// How many proxies a scenario may have.
const ALLOWED_PROXIES: RangeInclusive<f64> = 1.0..=200.0;
/// Traffic weights of listeners and tenants; they count relative to each other.
const ALLOWED_WEIGHT: RangeInclusive<f64> = 0.0..=1e6;
/// How long clients of a listener may wait for an answer.
const ALLOWED_ANSWER_TIMEOUT_SECONDS: RangeInclusive<f64> = 0.05..=60.0;
/// Values that are a share or a probability.
const ALLOWED_SHARE: RangeInclusive<f64> = 0.0..=1.0;
/// The fields that a host can put into its load report.
const REPORT_FIELDS: [&str; 2] = ["x0", "outstanding"];

/// Checks a whole scenario and returns the first error.
pub(super) fn check(scenario: &Scenario) -> Result<(), ScenarioError> {
    check_size(scenario)?;
    for (index, zone) in scenario.zones.iter().enumerate() {
        check_name(format!("places.{index}"), zone)?;
    }
    check_listeners(&scenario.listeners)?;
    check_tenants(&scenario.tenants)?;
    check_total_weights(scenario)?;
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
        MIN_LENGTH_SECONDS..=MAX_TIME_SPAN.as_secs_f64(),
    )?;
    let zones = scenario.zones.len() as f64;
    check_range("places, their number", zones, ALLOWED_ZONES)?;
    let listeners = scenario.listeners.len() as f64;
    check_range("listeners, their number", listeners, ALLOWED_LISTENERS)?;
    let tenants = scenario.tenants.len() as f64;
    check_range("members, their number", tenants, ALLOWED_TENANTS)
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
        check_range(key("work"), listener.work, ALLOWED_SHARE)?;
        check_range(key("portion"), listener.traffic_weight, ALLOWED_WEIGHT)?;
        check_range(
            key("dial_timeout in seconds"),
            listener.answer_timeout.as_secs_f64(),
            ALLOWED_ANSWER_TIMEOUT_SECONDS,
        )?;
    }
    Ok(())
}

fn check_tenants(tenants: &[Tenant]) -> Result<(), ScenarioError> {
    for (index, tenant) in tenants.iter().enumerate() {
        check_name(format!("members.{index}.name"), &tenant.name)?;
        let key = format!("members.{index}.portion");
        check_range(key, tenant.weight, ALLOWED_WEIGHT)?;
    }
    Ok(())
}

/// Each session is drawn a listener and a tenant by their weights, so some weight of each must be positive.
fn check_total_weights(scenario: &Scenario) -> Result<(), ScenarioError> {
    let listeners: f64 = scenario.listeners.iter().map(|l| l.traffic_weight).sum();
    let tenants: f64 = scenario.tenants.iter().map(|t| t.weight).sum();
    for (table, sum) in [("listeners", listeners), ("members", tenants)] {
        if sum <= 0.0 {
            return Err(ScenarioError::ZeroTotalWeight { table });
        }
    }
    Ok(())
}

fn check_host_group(
    index: usize,
    group: &HostGroup,
    zones: &[String],
) -> Result<(), ScenarioError> {
    let key = |name: &str| format!("fleet.hosts.{index}.{name}");
    check_range(key("speed"), group.speed, 0.01..=100.0)?;
    check_range(key("weight"), group.weight, 0.001..=1000.0)?;
    match &group.zone {
        Some(zone) if !zones.contains(zone) => Err(ScenarioError::UnknownZone {
            index,
            zone: zone.clone(),
            zones: zones.to_vec(),
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
    check_range("traffic.grouped", traffic.grouped_share, ALLOWED_SHARE)?;
    check_range("traffic.impatient", traffic.impatient_share, ALLOWED_SHARE)?;
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
