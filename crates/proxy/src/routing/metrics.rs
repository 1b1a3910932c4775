//! The metrics that operators scrape: what each counts, and their text.
//!
//! Metric and label names are part of the operators' interface and do not change.

use super::warm_start::SnapshotCounts;
use asterramp_admission::RejectReason;
use asterramp_warm_start::WarmStart;
use asterramp_zone_failover::Zone;
use std::fmt::Write;

/// The one end that a session comes to, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// Opened; also one that was open before this proxy started, once it is open again.
    Success,
    /// Rejected, with a Retry-After.
    Rejected,
    /// Failed, or its client left or broke the protocol before it was answered.
    Failure,
}

/// Ends with the label value of each.
const SESSION_ENDS: [(SessionEnd, &str); 3] = [
    (SessionEnd::Success, "success"),
    (SessionEnd::Rejected, "busy"),
    (SessionEnd::Failure, "failure"),
];

/// Counts since the start of the process.
#[derive(Debug)]
pub struct Metrics {
    /// Sessions by listener and end.
    session_ends: Vec<[u64; SESSION_ENDS.len()]>,
    /// Requests written to servers to the last byte.
    attempts: u64,
}

/// Gauges: what is so now, beside the counts.
#[derive(Clone, Copy, Debug)]
pub struct GaugeValues {
    /// Sessions whose client is there.
    pub sessions_in_flight: usize,
    /// Servers that discovery lists.
    pub listed_endpoints: usize,
    /// Those among them that count as down.
    pub down_endpoints: usize,
}

impl Metrics {
    /// No counts yet, for so many listeners.
    pub fn new(listeners: usize) -> Metrics {
        Metrics {
            session_ends: vec![[0; SESSION_ENDS.len()]; listeners],
            attempts: 0,
        }
    }

    /// A session came to its end. `listener` is its index, below the number given to [`Metrics::new`].
    pub fn count_session_end(&mut self, listener: u8, end: SessionEnd) {
        self.session_ends[usize::from(listener)][end as usize] += 1;
    }

    /// A request was written to a server to the last byte.
    pub fn count_attempt(&mut self) {
        self.attempts += 1;
    }

    /// The metrics in the text form that scrapers read.
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

/// The state of each zone, and its false alarms by kind; empty where there is one zone.
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

/// Sessions rejected because capacity is short, by listener and reason; empty while there are none.
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

/// How far a warm start has come, and how many snapshots were saved and how many failed; empty where neither is wanted.
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

/// A name as a label's value.
fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
