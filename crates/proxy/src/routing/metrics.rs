//! What operators are told in figures: what each counts, and the one place where it is counted.

use asterramp_admission::RejectReason;
use asterramp_warm_start::WarmStart;
use asterramp_zone_failover::Zone;
use std::fmt::Write;

/// The one end that a session comes to, as far as its client is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// Brought up; also one that was open before this proxy started, once it is up again.
    Success,
    /// Refused.
    Rejected,
    /// Torn down, or its client left or spoke before it was answered.
    Failure,
}

const ENDS: [(SessionEnd, &str); 3] = [
    (SessionEnd::Success, "success"),
    (SessionEnd::Rejected, "busy"),
    (SessionEnd::Failure, "failure"),
];

/// Counts since the start of this process.
#[derive(Debug)]
pub struct Metrics {
    /// By listener and end.
    ends: Vec<[u64; ENDS.len()]>,
    /// Lines written to servers to the last byte.
    attempts: u64,
}

/// What stands now, beside the counts.
#[derive(Clone, Copy, Debug)]
pub struct GaugeValues {
    /// Sessions whose client is there.
    pub inflight: usize,
    pub listed: usize,
    pub down: usize,
}

impl Metrics {
    pub fn new(listeners: usize) -> Metrics {
        Metrics {
            ends: vec![[0; ENDS.len()]; listeners],
            attempts: 0,
        }
    }

    pub fn count_session_end(&mut self, listener: u8, end: SessionEnd) {
        self.ends[usize::from(listener)][end as usize] += 1;
    }

    pub fn count_attempt(&mut self) {
        self.attempts += 1;
    }

    /// In the text form that scrapers read.
    pub fn text(&self, listeners: &[String], standing: GaugeValues) -> String {
        let mut text = String::from("# TYPE svc_calls_total counter\n");
        // Writing to a string does not fail.
        for (name, counts) in listeners.iter().zip(&self.ends) {
            let tier = escaped(name);
            for (end, code) in ENDS {
                let n = counts[end as usize];
                let _ = writeln!(
                    text,
                    "svc_calls_total{{tier=\"{tier}\",code=\"{code}\"}} {n}"
                );
            }
        }
        let rest = [
            ("svc_backend_calls_total", "counter", self.attempts),
            ("svc_inflight", "gauge", standing.inflight as u64),
            ("svc_hosts_listed", "gauge", standing.listed as u64),
            ("svc_hosts_down", "gauge", standing.down as u64),
        ];
        for (name, kind, n) in rest {
            let _ = writeln!(text, "# TYPE {name} {kind}\n{name} {n}");
        }
        text
    }
}

/// What is made of places: 1 for the state that each is in, and the alarms that were none; nothing where there is one place.
pub fn zones_text<'a>(places: impl Iterator<Item = (&'a String, &'a Zone)>) -> String {
    let mut text = String::new();
    for (name, place) in places {
        let (place_name, state) = (escaped(name), place.state.name());
        let _ = writeln!(
            text,
            "svc_place_state{{place=\"{place_name}\",state=\"{state}\"}} 1"
        );
        for (kind, n) in [
            ("doubt", place.dropped_suspicions),
            ("given-up", place.false_alarms),
        ] {
            let _ = writeln!(
                text,
                "svc_place_false_alarms_total{{place=\"{place_name}\",kind=\"{kind}\"}} {n}"
            );
        }
    }
    text
}

/// Who was refused for want of room, and why; nothing while nobody was.
pub fn load_shed_text<'a>(
    counts: impl Iterator<Item = (&'a String, &'a [u64; RejectReason::ALL.len()])>,
) -> String {
    let mut text = String::new();
    for (name, counts) in counts {
        for (why, n) in RejectReason::ALL
            .into_iter()
            .zip(counts)
            .filter(|(_, n)| **n > 0)
        {
            let (tier, why) = (escaped(name), why.name());
            let _ = writeln!(
                text,
                "svc_room_refused_total{{tier=\"{tier}\",why=\"{why}\"}} {n}"
            );
        }
    }
    text
}

/// How far a start has come, and what was kept for the next; nothing where neither is wanted.
pub fn warm_start_text(start: Option<&WarmStart>, kept: Option<(u64, u64)>) -> String {
    let mut text = String::new();
    if let Some(start) = start {
        let _ = writeln!(
            text,
            "svc_start_stage{{stage=\"{}\"}} 1",
            start.stage().name()
        );
        let _ = writeln!(
            text,
            "svc_start_hosts_dropped_total {}",
            start.hosts().dropped
        );
    }
    for (what, n) in kept
        .iter()
        .flat_map(|kept| [("saved", kept.0), ("failed", kept.1)])
    {
        let _ = writeln!(text, "svc_state_snapshots_total{{end=\"{what}\"}} {n}");
    }
    text
}

/// A name as a label's value.
fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
