//! Reads settings, named as on the simulator's wire, into the facts that decisions rest on.

use crate::deployment::{
    Deployment, IdempotencyScope, Listener, RetryBudgetRule, RetrySafety, SlowStartRule,
};
use crate::event::Load;
use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

/// What is told at the start, decoded and checked once.
#[derive(Clone, Debug)]
pub struct Settings {
    pub deployment: Deployment,
    pub load_reports: LoadReportFormat,
    /// Names as clients and the roster use them; a place in the list is the index.
    pub listeners: Vec<String>,
    pub tenants: Vec<String>,
    /// Portion of each member, 0 to 1; 0 where nobody says.
    pub tenant_shares: Vec<f64>,
    pub zones: Vec<String>,
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Duration,
    /// How long after a drain is told a server may still be sent something new.
    pub drain_grace: Duration,
    /// The longest that any client waits for an answer.
    pub longest_wait: Duration,
}

/// Which values of a load report mean what.
#[derive(Clone, Debug, Default)]
pub struct LoadReportFormat {
    fields: Vec<String>,
    connections: Option<usize>,
    asked: Option<usize>,
}

impl LoadReportFormat {
    /// A report whose values are found by their place and name.
    pub fn load(&self, value: impl Fn(usize, &str) -> Option<f64>) -> Load {
        let read = |place: Option<usize>| {
            let found = place.and_then(|p| value(p, &self.fields[p]));
            found.filter(|v| v.is_finite() && *v >= 0.0)
        };
        Load {
            connections: read(self.connections),
            utilization: read(self.asked),
        }
    }
}

struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn text(&self, path: &str) -> Option<&str> {
        self.0
            .get(path)
            .copied()
            .filter(|v| !matches!(*v, "" | "null"))
    }

    fn want<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        let read = |v: &str| {
            v.parse()
                .map_err(|_| format!("setting {path}: cannot read {v:?}"))
        };
        self.text(path).map(read).transpose()
    }

    fn need<T: FromStr>(&self, path: &str) -> Result<T, String> {
        self.want(path)?
            .ok_or_else(|| format!("setting {path} is missing"))
    }

    fn or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, String> {
        Ok(self.want(path)?.unwrap_or(absent))
    }

    fn list(&self, path: &str) -> Vec<&str> {
        self.text(path)
            .map(|v| v.split(',').collect())
            .unwrap_or_default()
    }

    fn numbers(&self, path: &str) -> Result<Vec<f64>, String> {
        let read = |v: &str| {
            v.parse()
                .map_err(|_| format!("setting {path}: cannot read {v:?}"))
        };
        self.list(path).into_iter().map(read).collect()
    }

    fn span(&self, path: &str) -> Result<Duration, String> {
        span(self.need(path)?).ok_or_else(|| format!("setting {path}: not a time"))
    }

    /// No time at all says as little as nothing.
    fn span_or(&self, path: &str, absent: Duration) -> Result<Duration, String> {
        let told = self.text(path).map(|_| self.span(path)).transpose()?;
        Ok(told.filter(|span| !span.is_zero()).unwrap_or(absent))
    }

    fn names(&self, path: &str, count: u32) -> Vec<String> {
        let name = |i| {
            self.text(&format!("{path}.{i}.name"))
                .unwrap_or_default()
                .to_string()
        };
        (0..count.min(MOST)).map(name).collect()
    }
}

/// How long a connection may take to come up where nobody says; within none at all nothing could be dialled.
const CONNECT: Duration = Duration::from_secs(1);
/// Span over which a cold server may not be sent too much, where nobody says; by none it would never be used.
const OVER: Duration = Duration::from_secs(1);
/// Most names of a kind; their indices are this wide.
const MOST: u32 = 1 << 16;

/// Microseconds, also where they are written with a fraction.
fn span(us: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(us / 1e6)
        .ok()
        .filter(|span| span.as_secs() <= u64::from(u32::MAX))
}

/// Takes paths and values; lists of plain values are joined by commas.
pub fn read<'a>(settings: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Settings, String> {
    let pairs = Pairs(settings.collect());
    let aims = pairs.numbers("specifics.message_aim")?;
    let count = pairs.need::<u8>("listeners.count")?;
    let worths = worths(&pairs, count)?;
    let listeners = (0..count)
        .zip(worths)
        .map(|(i, worth)| listener(&pairs, i, aims.get(usize::from(i)).copied(), worth))
        .collect::<Result<_, _>>()?;
    let waits =
        (0..count).map(|i| pairs.span_or(&format!("listeners.{i}.give_up"), Duration::ZERO));
    let longest_wait = waits
        .collect::<Result<Vec<_>, _>>()?
        .into_iter()
        .max()
        .unwrap_or_default();
    let ask = match pairs.need::<String>("discovery")?.as_str() {
        "on_request" => Some(pairs.span("rules.must_ask_in")?),
        _ => None,
    };
    let retry_after = pairs.or("permissions.retry_after", false)?;
    let longest = span(pairs.or("permissions.max_retry_after", 0.0)?).unwrap_or_default();
    let deployment = Deployment {
        listeners,
        proxy_count: pairs.need("instances")?,
        proxy_index: pairs.need("self_index")?,
        zone: pairs.or("zone", 0)?,
        slow_start: SlowStartRule {
            initial_capacity: pairs.need("rules.cold_share")?,
            warm_after: pairs.span("rules.cold")?,
            max_multiple: pairs.need("rules.tip_multiple")?,
            span: pairs.span_or("rules.overload_for", OVER)?,
        },
        planned_connections: planned(&pairs)?,
        endpoint_poll_delay: ask,
        weights_reflect_load: pairs.text("weights") == Some("live"),
        max_attempts: pairs.or("permissions.max_dials", 1)?,
        retry_budget: dial_rule(&pairs)?,
        may_probe: pairs.or("permissions.may_probe", false)?,
        may_cancel: pairs.or("permissions.cancelling", false)?,
        max_retry_after: if retry_after { longest } else { Duration::ZERO },
        packet_passthrough: pairs.text("specifics.mode") == Some("pass"),
    };
    let fields: Vec<String> = pairs
        .list("load_info.fields")
        .into_iter()
        .map(String::from)
        .collect();
    let place = |name| fields.iter().position(|f| *f == name);
    let asked = place("x0").filter(|_| {
        pairs
            .text("specifics.report_x0")
            .is_none_or(|says| says == "load_asked_of_the_server_over_what_it_can_do")
    });
    let members = pairs.names("tenants", pairs.or("tenants.count", 0)?);
    let portions = (0..members.len())
        .map(|i| portion(&pairs, i))
        .collect::<Result<_, _>>()?;
    let (connections, asked) = (place("outstanding"), asked.or(place("utilization")));
    Ok(Settings {
        deployment,
        load_reports: LoadReportFormat {
            fields,
            connections,
            asked,
        },
        listeners: pairs.names("listeners", u32::from(count)),
        tenants: members,
        tenant_shares: portions,
        zones: pairs
            .list("localities")
            .into_iter()
            .map(String::from)
            .collect(),
        connect_timeout: pairs.span_or("permissions.dial_timeout", CONNECT)?,
        drain_grace: pairs.span_or("rules.drain_grace", Duration::ZERO)?,
        longest_wait,
    })
}

/// Further dials are counted only where a span is told; what is not told beside it is nothing.
fn dial_rule(pairs: &Pairs) -> Result<Option<RetryBudgetRule>, String> {
    let figure = |path: &str| {
        let told = pairs.want::<f64>(path)?;
        match told.filter(|n| n.is_finite() && *n >= 0.0) {
            None if told.is_some() => Err(format!("setting {path}: allowed is a number from 0")),
            figure => Ok(figure),
        }
    };
    let (over, free, share) = (
        figure("rules.counted_over")?,
        figure("rules.min_extra")?,
        figure("rules.repeat_ratio")?,
    );
    let Some(over) = over.filter(|us| *us > 0.0) else {
        // A rule without its span could only be kept by no further dial at all, or broken.
        let told = free.or(share).is_some_and(|n| n > 0.0);
        return if told {
            Err("setting rules.counted_over: a span over 0 is needed beside it".into())
        } else {
            Ok(None)
        };
    };
    let over = span(over).ok_or("setting rules.counted_over: not a time")?;
    let rule = RetryBudgetRule {
        span: over,
        free_retries: free.unwrap_or(0.0),
        retries_per_session: share.unwrap_or(0.0),
    };
    Ok((free.is_some() || share.is_some()).then_some(rule))
}

/// The sum of the connections that are allowed to each member; 0 where nobody says.
fn planned(pairs: &Pairs) -> Result<f64, String> {
    let path = "specifics.tenant_quota_connections";
    let told = pairs.numbers(path)?;
    let allowed = told.iter().all(|n| (0.0..=1e9).contains(n));
    if allowed {
        Ok(told.iter().sum())
    } else {
        Err(format!("setting {path}: allowed are numbers from 0 to 1e9"))
    }
}

/// A member's part of the service; none where nobody says.
fn portion(pairs: &Pairs, i: usize) -> Result<f64, String> {
    let path = format!("tenants.{i}.portion");
    let told = pairs.or(&path, 0.0)?;
    let allowed = (0.0..=1.0).contains(&told);
    if allowed {
        Ok(told)
    } else {
        Err(format!("setting {path}: allowed is a number from 0 to 1"))
    }
}

/// Each listener's utility as a part of the highest; where nobody says, all are worth the same.
fn worths(pairs: &Pairs, count: u8) -> Result<Vec<f64>, String> {
    let utility = |i| {
        let path = format!("listeners.{i}.utility");
        let told = pairs.or(&path, 1.0)?;
        let allowed = (0.0..=1e9).contains(&told);
        if allowed {
            Ok(told)
        } else {
            Err(format!("setting {path}: allowed is a number from 0 to 1e9"))
        }
    };
    let utilities = (0..count)
        .map(utility)
        .collect::<Result<Vec<f64>, String>>()?;
    let most = utilities.iter().copied().fold(0.0, f64::max);
    Ok(utilities
        .into_iter()
        .map(|told| if most > 0.0 { told / most } else { 1.0 })
        .collect())
}

fn listener(pairs: &Pairs, i: u8, aim: Option<f64>, worth: f64) -> Result<Listener, String> {
    let at = |key: &str| format!("listeners.{i}.{key}");
    let kind = match pairs.need::<String>(&at("semantics"))?.as_str() {
        "read_like" => RetrySafety::Idempotent,
        "non_idempotent" => RetrySafety::NotIdempotent,
        "idempotency_key" => {
            let circle = match pairs.need::<String>(&at("group"))?.as_str() {
                "all" => IdempotencyScope::All,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Cell,
                other => return Err(format!("setting {}: unknown group {other:?}", at("group"))),
            };
            RetrySafety::IdempotencyKey(circle, pairs.span(&at("key_ttl"))?)
        }
        other => {
            return Err(format!(
                "setting {}: unknown kind {other:?}",
                at("semantics")
            ));
        }
    };
    Ok(Listener {
        retry_safety: kind,
        handshake_target: pairs.span(&at("handshake_target"))?,
        message_target: aim.and_then(span),
        priority_weight: worth,
    })
}
