//! Reads the settings, whose paths are those of the simulator's protocol, into typed facts.

mod error;
mod listeners;
mod values;

pub use error::{AllowedRange, SettingsError};

use crate::deployment::{Deployment, RetryBudgetRule, SlowStartRule};
use crate::event::ServerLoad;
use std::time::Duration;
use values::{SettingValues, duration_from_microseconds, duration_or_error};

/// How long a connection may take to come up where no setting says it. Within no time at all nothing could be
/// dialed.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Span over which a cold server may not be sent too much, where no setting says it. With none it would never
/// be used.
const DEFAULT_SLOW_START_SPAN: Duration = Duration::from_secs(1);
/// Most connections that a tenant's quota allows.
const MAX_QUOTA: f64 = 1e9;

/// What is known at the start, decoded and checked.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// What the placement engine decides by.
    pub deployment: Deployment,
    /// How a server's load report is read.
    pub load_report_format: LoadReportFormat,
    /// Names as clients use them, by index.
    pub listeners: Vec<String>,
    /// Names as clients use them, by index.
    pub tenants: Vec<String>,
    /// Part of the service that each tenant is entitled to, 0 to 1; 0 where no setting says it.
    pub tenant_quotas: Vec<f64>,
    /// Names as the endpoint list uses them, by index.
    pub zones: Vec<String>,
    /// A connection that isn't up by then never comes up.
    pub connect_timeout: Duration,
    /// How long after a drain was announced a server may still be sent something new.
    pub drain_grace: Duration,
    /// The longest that any client waits for an answer; zero where no setting says it.
    pub max_client_wait: Duration,
}

/// Which values of a load report mean what.
#[derive(Clone, Debug, Default)]
pub struct LoadReportFormat {
    fields: Vec<String>,
    /// Index of the field with the count of connections.
    connections: Option<usize>,
    /// Index of the field with the utilization.
    utilization: Option<usize>,
}

impl LoadReportFormat {
    /// The load in a report, whose values `value` finds by their index and name. Values that are negative or not
    /// finite count as absent.
    pub fn load(&self, value: impl Fn(usize, &str) -> Option<f64>) -> ServerLoad {
        let read = |field: Option<usize>| {
            let found = field.and_then(|index| value(index, &self.fields[index]));
            found.filter(|value| value.is_finite() && *value >= 0.0)
        };
        ServerLoad {
            connections: read(self.connections),
            utilization: read(self.utilization),
        }
    }
}

/// Reads settings given as paths and texts. Lists of plain values are joined by commas.
///
/// # Errors
///
/// The first setting that is missing, can't be read or is out of range.
pub fn read<'a>(
    settings: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<ProxySettings, SettingsError> {
    let values = SettingValues::new(settings);
    let listeners = listeners::read_listeners(&values)?;
    let listener_count = listeners.len() as u32;
    let max_client_wait = listeners::max_client_wait(&values, listeners.len())?;
    let deployment = Deployment {
        listeners,
        ..read_deployment(&values)?
    };
    let tenants = values.names("tenants", values.value_or("tenants.count", 0)?);
    let tenant_quotas = (0..tenants.len())
        .map(|index| tenant_share(&values, index))
        .collect::<Result<_, _>>()?;
    Ok(ProxySettings {
        deployment,
        load_report_format: load_report_format(&values),
        listeners: values.names("listeners", listener_count),
        tenants,
        tenant_quotas,
        zones: owned(values.list("localities")),
        connect_timeout: values.duration_or("permissions.dial_timeout", DEFAULT_CONNECT_TIMEOUT)?,
        drain_grace: values.duration_or("rules.drain_grace", Duration::ZERO)?,
        max_client_wait,
    })
}

/// All of it but the listeners.
fn read_deployment(values: &SettingValues<'_>) -> Result<Deployment, SettingsError> {
    let max_endpoint_list_age = max_endpoint_list_age(values)?;
    let max_retry_after = max_retry_after(values)?;
    Ok(Deployment {
        listeners: Vec::new(),
        proxy_count: values.required("instances")?,
        proxy_index: values.required("self_index")?,
        zone: values.value_or("zone", 0)?,
        slow_start: SlowStartRule {
            initial_capacity: values.required("rules.cold_share")?,
            warm_after: values.duration("rules.cold")?,
            overload_factor: values.required("rules.tip_multiple")?,
            overload_window: values.duration_or("rules.overload_for", DEFAULT_SLOW_START_SPAN)?,
        },
        total_connection_quota: total_connection_quota(values)?,
        max_endpoint_list_age,
        weights_reflect_load: values.text("weights") == Some("live"),
        max_attempts: values.value_or("permissions.max_dials", 1)?,
        retry_budget: retry_budget(values)?,
        may_probe: values.value_or("permissions.may_probe", false)?,
        may_cancel: values.value_or("permissions.cancelling", false)?,
        max_retry_after,
        packet_passthrough: values.text("specifics.mode") == Some("pass"),
    })
}

fn max_endpoint_list_age(values: &SettingValues<'_>) -> Result<Option<Duration>, SettingsError> {
    let discovery: String = values.required("discovery")?;
    if discovery == "on_request" {
        Ok(Some(values.duration("rules.must_ask_in")?))
    } else {
        Ok(None)
    }
}

fn max_retry_after(values: &SettingValues<'_>) -> Result<Duration, SettingsError> {
    let is_allowed = values.value_or("permissions.retry_after", false)?;
    let longest = values.value_or("permissions.max_retry_after", 0.0)?;
    Ok(if is_allowed {
        duration_from_microseconds(longest).unwrap_or_default()
    } else {
        Duration::ZERO
    })
}

/// Retries are counted only where a span is set. Of the others, what isn't set is nothing.
fn retry_budget(values: &SettingValues<'_>) -> Result<Option<RetryBudgetRule>, SettingsError> {
    let span_path = "rules.counted_over";
    let span = not_negative(values, span_path)?;
    let min_retries = not_negative(values, "rules.min_extra")?;
    let retries_per_session = not_negative(values, "rules.repeat_ratio")?;
    let Some(span) = span.filter(|span| *span > 0.0) else {
        // A rule without its span could only be kept by no retry at all, or broken.
        let is_set = min_retries.or(retries_per_session);
        if is_set.is_some_and(|retries| retries > 0.0) {
            let path = span_path.to_string();
            return Err(SettingsError::MissingWindow { path });
        }
        return Ok(None);
    };
    let span = duration_or_error(span_path, span)?;
    if min_retries.is_none() && retries_per_session.is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudgetRule {
        window: span,
        min_retries: min_retries.unwrap_or(0.0),
        retries_per_session: retries_per_session.unwrap_or(0.0),
    }))
}

fn not_negative(values: &SettingValues<'_>, path: &str) -> Result<Option<f64>, SettingsError> {
    let number = values.optional::<f64>(path)?;
    if number.is_some_and(|number| !number.is_finite() || number < 0.0) {
        return Err(out_of_range(path, AllowedRange::NonNegative));
    }
    Ok(number)
}

/// The sum of the connections that each tenant's quota allows; 0 where no setting says it.
fn total_connection_quota(values: &SettingValues<'_>) -> Result<f64, SettingsError> {
    let path = "specifics.tenant_quota_connections";
    let quotas = values.numbers(path)?;
    if quotas.iter().all(|quota| (0.0..=MAX_QUOTA).contains(quota)) {
        Ok(quotas.iter().sum())
    } else {
        Err(out_of_range(path, AllowedRange::EachUpToBillion))
    }
}

fn tenant_share(values: &SettingValues<'_>, index: usize) -> Result<f64, SettingsError> {
    let path = format!("tenants.{index}.portion");
    let share = values.value_or(&path, 0.0)?;
    if (0.0..=1.0).contains(&share) {
        Ok(share)
    } else {
        Err(out_of_range(&path, AllowedRange::Fraction))
    }
}

fn load_report_format(values: &SettingValues<'_>) -> LoadReportFormat {
    let fields = owned(values.list("load_info.fields"));
    let index_of = |name| fields.iter().position(|field| *field == name);
    // `x0` is a free field; where its meaning is set, it must be the utilization.
    let meaning = values.text("specifics.report_x0");
    let x0_is_utilization =
        meaning.is_none_or(|meaning| meaning == "load_asked_of_the_server_over_what_it_can_do");
    let x0 = index_of("x0").filter(|_| x0_is_utilization);
    LoadReportFormat {
        connections: index_of("outstanding"),
        utilization: x0.or(index_of("utilization")),
        fields,
    }
}

fn out_of_range(path: &str, allowed: AllowedRange) -> SettingsError {
    SettingsError::OutOfRange {
        path: path.to_string(),
        allowed,
    }
}

fn owned(texts: Vec<&str>) -> Vec<String> {
    texts.into_iter().map(String::from).collect()
}
