//! Counters and gauges, and their text exposition for scrapers.
//!
//! Metric and label names are part of the operators' interface and do not change.

use super::warm_start::SnapshotCounts;
use asterramp_admission::RejectReason;
use asterramp_warm_start::WarmStart;
use asterramp_zone_failover::Zone;
use std::fmt::Write;

/// The end of a session as its client sees it; each session has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// Opened, or restored after it had been open before this proxy started.
    Success,
    /// Rejected, with a Retry-After.
    Rejected,
    /// Failed, or its client left or broke the protocol before it had a response.
    Failure,
}

/// The ends with their values of the label `code`.
const SESSION_ENDS: [(SessionEnd, &str); 3] = [
    (SessionEnd::Success, "success"),
    (SessionEnd::Rejected, "busy"),
    (SessionEnd::Failure, "failure"),
];

/// Counts since the start of the process.
#[derive(Debug)]
pub struct Metrics {
    /// Sessions by index of the listener, then by [`SessionEnd`].
    session_ends: Vec<[u64; SESSION_ENDS.len()]>,
    /// Requests that were completely written to servers.
    attempts: u64,
}

/// Present values of the gauges.
#[derive(Clone, Copy, Debug)]
pub struct GaugeValues {
    /// Sessions whose client is connected.
    pub sessions_in_flight: usize,
    /// Servers that discovery lists.
    pub listed_endpoints: usize,
    /// Listed servers that count as down.
    pub down_endpoints: usize,
}

impl Metrics {
    /// Zero counts for this number of listeners.
    pub fn new(listeners: usize) -> Metrics {
        Metrics {
            session_ends: vec![[0; SESSION_ENDS.len()]; listeners],
            attempts: 0,
        }
    }

    /// Counts the end of a session. `listener` is an index below the number given to [`Metrics::new`].
    pub fn count_session_end(&mut self, listener: u8, end: SessionEnd) {
        self.session_ends[usize::from(listener)][end as usize] += 1;
    }

    /// Counts a request that was completely written to a server.
    pub fn count_attempt(&mut self) {
        self.attempts += 1;
    }

    /// The metrics in the Prometheus text format; `listeners` are the names, in the order of their indices.
    pub fn text(&self, listeners: &[String], gauges: GaugeValues) -> String {
        let mut text = String::from("# TYPE svc_calls_total counter\n");
        // Writing to a string does not fail.
        for (name, counts) in listeners.iter().zip(&self.session_ends) {
            let tier = escaped(name);
            for (end, code) in SESSION_ENDS {
                let count = counts[end as usize];
                let _ = writeln!(
                    text,
                    "svc_calls_total{{tier=\"{tier}\",code=\"{code}\"}} {count}"
                );
            }
        }
        let rest = [
            ("svc_backend_calls_total", "counter", self.attempts),
            ("svc_inflight", "gauge", gauges.sessions_in_flight as u64),
            ("svc_hosts_listed", "gauge", gauges.listed_endpoints as u64),
            ("svc_hosts_down", "gauge", gauges.down_endpoints as u64),
        ];
        for (name, kind, value) in rest {
            let _ = writeln!(text, "# TYPE {name} {kind}\n{name} {value}");
        }
        text
    }
}

/// The state of each zone, and its false alarms by kind, in the text format; empty where there is only one zone.
pub fn zones_text<'a>(zones: impl Iterator<Item = (&'a String, &'a Zone)>) -> String {
    let mut text = String::new();
    for (name, zone) in zones {
        let label = escaped(name);
        let _ = writeln!(
            text,
            "svc_place_state{{place=\"{label}\",state=\"{}\"}} 1",
            zone.state.name()
        );
        for (kind, count) in [
            ("doubt", zone.dropped_suspicions),
            ("given-up", zone.false_alarms),
        ] {
            let _ = writeln!(
                text,
                "svc_place_false_alarms_total{{place=\"{label}\",kind=\"{kind}\"}} {count}"
            );
        }
    }
    text
}

/// Sessions rejected because capacity is short, by listener and reason, in the text format; empty while there are none.
pub fn load_shed_text<'a>(
    counts: impl Iterator<Item = (&'a String, &'a [u64; RejectReason::ALL.len()])>,
) -> String {
    let mut text = String::new();
    for (name, counts) in counts {
        let tier = escaped(name);
        for (reason, count) in RejectReason::ALL.into_iter().zip(counts) {
            if *count > 0 {
                let _ = writeln!(
                    text,
                    "svc_room_refused_total{{tier=\"{tier}\",why=\"{}\"}} {count}",
                    reason.name()
                );
            }
        }
    }
    text
}

/// Stage of the warm start, and numbers of snapshots saved and failed, in the text format; empty where neither is
/// configured.
pub fn warm_start_text(
    warm_start: Option<&WarmStart>,
    snapshots: Option<SnapshotCounts>,
) -> String {
    let mut text = String::new();
    if let Some(warm_start) = warm_start {
        let _ = writeln!(
            text,
            "svc_start_stage{{stage=\"{}\"}} 1",
            warm_start.stage().name()
        );
        let _ = writeln!(
            text,
            "svc_start_hosts_dropped_total {}",
            warm_start.candidates().dropped_count()
        );
    }
    if let Some(counts) = snapshots {
        for (end, count) in [("saved", counts.saved), ("failed", counts.failed)] {
            let _ = writeln!(text, "svc_state_snapshots_total{{end=\"{end}\"}} {count}");
        }
    }
    text
}

/// A name escaped for use as a label's value.
fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
