//! The rules and their violations.

use std::time::Duration;

/// A rule that a proxy must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer in time, never two; no dial after it; nothing cut off, held back or made up.
    NoSessionLost,
    /// A session that may have run is retried or rejected only where its retry safety allows it.
    NoDuplicateEffect,
    /// A host that is draining or gone gets no new session once the grace is over.
    DrainsRespected,
    /// A host that is warming up does not collapse under sessions of proxies that were notified of its start.
    NoColdHostOverloaded,
    /// A session has one dial under way at a time.
    NoConcurrentDials,
    /// What a host reads must be a line of the protocol.
    NoInvalidLineForwarded,
    /// A proxy exits only when it is asked to, and with code 0.
    NoUnexpectedExit,
    /// Operators are answered within a second, and a second process says yes within six.
    OperatorsAnsweredInTime,
    /// The metrics that operators are given match what the peers saw.
    MetricsAccurate,
    /// While capacity is short, sessions of less priority weight are rejected before those of more.
    RejectedByPriority,
}

impl Rule {
    /// The text by which reports name the rule.
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

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What broke it, in a sentence.
    pub description: String,
    /// The events that led there, a line each.
    pub timeline: Vec<String>,
}

/// A violation of one session, before its timeline is made.
#[derive(Debug)]
pub(super) struct SessionFinding {
    pub(super) rule: Rule,
    pub(super) description: String,
}

/// A violation of no single session, with the time of the event that shows it.
#[derive(Debug)]
pub(super) struct RunFinding {
    pub(super) rule: Rule,
    pub(super) at: Duration,
    pub(super) description: String,
}
