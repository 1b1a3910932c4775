//! The rules that a proxy must keep, and their violations.

use std::time::Duration;

/// A rule that a proxy must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A session gets one final answer in time, never two, and no dial after it; its lines are neither delayed nor
    /// invented, and its open connection is not cut off.
    NoSessionLost,
    /// A session that may have run is retried or rejected only where its retry safety allows it.
    NoDuplicateEffect,
    /// A host that is draining or gone gets no new session after the grace period.
    DrainsRespected,
    /// A host that is warming up does not collapse under sessions of proxies that were notified of its start.
    NoColdHostOverloaded,
    /// A session has at most one dial under way at a time.
    NoConcurrentDials,
    /// A proxy sends hosts only lines of the protocol.
    NoInvalidLineForwarded,
    /// A proxy exits only after SIGTERM, and with code 0.
    NoUnexpectedExit,
    /// Operators are answered within a second, and the successor of a hot restart reports within six seconds that it is
    /// ready.
    OperatorsAnsweredInTime,
    /// The metrics that a proxy reports match what the peers saw.
    MetricsAccurate,
    /// While capacity is short, sessions of listeners with less priority weight are rejected first.
    RejectedByPriority,
}

impl Rule {
    /// The rule's name in reports.
    pub fn text(self) -> &'static str {
        match self {
            Rule::NoSessionLost => "no session lost",
            Rule::NoDuplicateEffect => "no effect twice",
            Rule::DrainsRespected => "drains kept",
            Rule::NoColdHostOverloaded => "no cold server pushed over",
            Rule::NoConcurrentDials => "never two dials of a session at once",
            Rule::NoInvalidLineForwarded => "nothing unreadable sent on",
            Rule::NoUnexpectedExit => "a proxy stays until it is told to leave",
            Rule::OperatorsAnsweredInTime => "operators are answered in time",
            Rule::MetricsAccurate => "figures are true",
            Rule::RejectedByPriority => "what is worth less is refused first",
        }
    }
}

/// One case in which a rule was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// What happened, as one sentence for reports.
    pub description: String,
    /// The events that led to the violation, one line each, in the order of recording.
    pub timeline: Vec<String>,
}

/// A violation by one session, before its timeline is added.
#[derive(Debug)]
pub(super) struct SessionFinding {
    pub(super) rule: Rule,
    pub(super) description: String,
}

/// A violation that does not concern one particular session, with the time of the event that shows it (zero if the
/// whole run shows it).
#[derive(Debug)]
pub(super) struct RunFinding {
    pub(super) rule: Rule,
    pub(super) at: Duration,
    pub(super) description: String,
}
