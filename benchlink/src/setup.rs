//! Reads an instance's settings into the facts that decisions rest on.

use asterramp::deployment::{Circle, ColdRule, Deployment, Kind, Listener};
use rustc_hash::FxHashMap;
use std::str::FromStr;
use std::time::Duration;

/// Which value of a load report stands where.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reports {
    pub connections: Option<usize>,
    pub asked: Option<usize>,
}

struct Pairs<'a>(FxHashMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).copied().filter(|v| !matches!(*v, "" | "null"))
    }

    fn want<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        let read = |v: &str| v.parse().map_err(|_| format!("setting {path}: cannot read {v:?}"));
        self.text(path).map(read).transpose()
    }

    fn need<T: FromStr>(&self, path: &str) -> Result<T, String> {
        self.want(path)?.ok_or_else(|| format!("setting {path} is missing"))
    }

    fn or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, String> {
        Ok(self.want(path)?.unwrap_or(absent))
    }

    fn list(&self, path: &str) -> Vec<&str> {
        self.text(path).map(|v| v.split(',').collect()).unwrap_or_default()
    }

    fn numbers(&self, path: &str) -> Result<Vec<f64>, String> {
        let read = |v: &str| v.parse().map_err(|_| format!("setting {path}: cannot read {v:?}"));
        self.list(path).into_iter().map(read).collect()
    }

    fn span(&self, path: &str) -> Result<Duration, String> {
        span(self.need(path)?).ok_or_else(|| format!("setting {path}: not a time"))
    }
}

/// Microseconds, also where they are written with a fraction.
fn span(us: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(us / 1e6).ok().filter(|span| span.as_secs() <= u64::from(u32::MAX))
}

pub fn read(text: &str) -> Result<(Deployment, Reports), String> {
    let pairs = Pairs(text.lines().filter_map(|line| line.split_once('=')).collect());
    let aims = pairs.numbers("specifics.message_aim")?;
    let listeners = (0..pairs.need::<u8>("listeners.count")?)
        .map(|i| listener(&pairs, i, aims.get(usize::from(i)).copied()))
        .collect::<Result<_, _>>()?;
    let ask = match pairs.need::<String>("discovery")?.as_str() {
        "on_request" => Some(pairs.span("rules.must_ask_in")?),
        _ => None,
    };
    let retry_after = pairs.or("permissions.retry_after", false)?;
    let longest = span(pairs.or("permissions.max_retry_after", 0.0)?).unwrap_or_default();
    let facts = Deployment {
        listeners,
        proxies: pairs.need("instances")?,
        number: pairs.need("self_index")?,
        zone: pairs.or("zone", 0)?,
        cold: ColdRule {
            share: pairs.need("rules.cold_share")?,
            warm_after: pairs.span("rules.cold")?,
            multiple: pairs.need("rules.tip_multiple")?,
        },
        ask_roster: ask,
        live_weights: pairs.text("weights") == Some("live"),
        max_dials: pairs.or("permissions.max_dials", 1)?,
        may_probe: pairs.or("permissions.may_probe", false)?,
        may_call_off: pairs.or("permissions.cancelling", false)?,
        come_back: if retry_after { longest } else { Duration::ZERO },
        passes_through: pairs.text("specifics.mode") == Some("pass"),
    };
    let fields = pairs.list("load_info.fields");
    let place = |name| fields.iter().position(|f| *f == name);
    let asked = place("x0").filter(|_| {
        pairs
            .text("specifics.report_x0")
            .is_none_or(|says| says == "load_asked_of_the_server_over_what_it_can_do")
    });
    let reports = Reports { connections: place("outstanding"), asked: asked.or(place("utilization")) };
    Ok((facts, reports))
}

fn listener(pairs: &Pairs, i: u8, aim: Option<f64>) -> Result<Listener, String> {
    let at = |key: &str| format!("listeners.{i}.{key}");
    let kind = match pairs.need::<String>(&at("semantics"))?.as_str() {
        "read_like" => Kind::Repeatable,
        "non_idempotent" => Kind::OnceOnly,
        "idempotency_key" => {
            let circle = match pairs.need::<String>(&at("group"))?.as_str() {
                "all" => Circle::All,
                "zone" => Circle::Zone,
                "cell" => Circle::Cell,
                other => return Err(format!("setting {}: unknown group {other:?}", at("group"))),
            };
            Kind::Referenced(circle, pairs.span(&at("key_ttl"))?)
        }
        other => return Err(format!("setting {}: unknown kind {other:?}", at("semantics"))),
    };
    Ok(Listener {
        kind,
        handshake_target: pairs.span(&at("handshake_target"))?,
        message_target: aim.and_then(span),
    })
}
