//! Reads a proxy's settings, whose paths are those of the simulator's protocol, into typed and checked values.

mod error;
mod listeners;
mod values;

pub use error::{AllowedRange, SettingsError};

use crate::deployment::{Deployment, RetryBudgetRule, SlowStartRule};
use crate::event::ServerLoad;
use std::time::Duration;
use values::{SettingValues, duration_from_microseconds, duration_or_error};

/// Connect timeout where no setting gives one, or where it gives 0, with which no connection could ever be opened.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// [`SlowStartRule::overload_window`] where no setting gives one, or where it gives 0, with which a cold server would
/// never be used.
const DEFAULT_OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
/// Highest number of connections that may be set as a tenant's quota.
const MAX_QUOTA: f64 = 1e9;

/// The settings of a proxy, decoded and checked.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Configuration of the placement engine.
    pub deployment: Deployment,
    /// Format of the servers' load reports.
    pub load_report_format: LoadReportFormat,
    /// Names of the listeners as clients use them, by index.
    pub listeners: Vec<String>,
    /// Names of the tenants as clients use them, by index.
    pub tenants: Vec<String>,
    /// Fraction of the service that each tenant is entitled to, 0 to 1, by index; 0 where no setting gives it.
    pub tenant_quotas: Vec<f64>,
    /// Names of the zones as the endpoint list uses them, by index.
    pub zones: Vec<String>,
    /// Time after which an attempt to connect to a server has failed.
    pub connect_timeout: Duration,
    /// How long after its drain was announced a server may still be sent new sessions; zero where no setting gives it.
    pub drain_grace: Duration,
    /// Longest time that any listener's clients wait for an answer; zero where no setting gives it.
    pub max_client_wait: Duration,
}

/// Maps the fields of a load report to their meanings.
#[derive(Clone, Debug, Default)]
pub struct LoadReportFormat {
    /// Names of all fields, in the order of the report.
    fields: Vec<String>,
    /// Index of the field with the number of connections; `None` where it isn't reported.
    connections: Option<usize>,
    /// Index of the field with the utilization; `None` where it isn't reported.
    utilization: Option<usize>,
}

impl LoadReportFormat {
    /// Reads the load from a report. `value` looks up a value by its field's index and name. Values that are negative
    /// or not finite count as absent.
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

/// Reads settings given as pairs of path and text. The values of a list are separated by commas.
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

/// Reads the deployment, except for its listeners.
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
            overload_window: values.duration_or("rules.overload_for", DEFAULT_OVERLOAD_WINDOW)?,
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

/// Reads the retry budget. Retries are limited only where a window and at least one of the other settings are given; of
/// those, one that isn't set counts as 0.
fn retry_budget(values: &SettingValues<'_>) -> Result<Option<RetryBudgetRule>, SettingsError> {
    let window_path = "rules.counted_over";
    let window = non_negative(values, window_path)?;
    let min_retries = non_negative(values, "rules.min_extra")?;
    let retries_per_session = non_negative(values, "rules.repeat_ratio")?;
    let Some(window) = window.filter(|window| *window > 0.0) else {
        // A limit without a window could only be met by sending no retries at all.
        let retry_limit = min_retries.or(retries_per_session);
        if retry_limit.is_some_and(|retries| retries > 0.0) {
            let path = window_path.to_string();
            return Err(SettingsError::MissingWindow { path });
        }
        return Ok(None);
    };
    let window = duration_or_error(window_path, window)?;
    if min_retries.is_none() && retries_per_session.is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudgetRule {
        window,
        min_retries: min_retries.unwrap_or(0.0),
        retries_per_session: retries_per_session.unwrap_or(0.0),
    }))
}

/// Reads a finite number that is at least 0; `None` where it isn't set.
fn non_negative(values: &SettingValues<'_>, path: &str) -> Result<Option<f64>, SettingsError> {
    let number = values.optional::<f64>(path)?;
    if number.is_some_and(|number| !number.is_finite() || number < 0.0) {
        return Err(out_of_range(path, AllowedRange::NonNegative));
    }
    Ok(number)
}

/// Sum of the tenants' connection quotas; 0 where no setting gives them.
fn total_connection_quota(values: &SettingValues<'_>) -> Result<f64, SettingsError> {
    let path = "specifics.tenant_quota_connections";
    let quotas = values.numbers(path)?;
    if quotas.iter().all(|quota| (0.0..=MAX_QUOTA).contains(quota)) {
        Ok(quotas.iter().sum())
    } else {
        Err(out_of_range(path, AllowedRange::EachUpToBillion))
    }
}

/// Fraction of the service that the tenant is entitled to; 0 where no setting gives it.
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
    // The meaning of `x0` is configurable. If a setting gives it, the field counts only if it is the utilization.
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
