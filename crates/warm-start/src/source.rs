//! What information about an endpoint is worth, by its source and age.

use std::time::Duration;

/// Who reported an endpoint, weakest first. An answer of the endpoint itself counts above every report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointSource {
    /// Another proxy.
    Peer,
    /// The static configuration, which has no age.
    Configuration,
    /// This proxy's own snapshot from before it ended.
    Snapshot,
    /// Discovery.
    Discovery,
}

/// How old a report is. A clock that went back, or ahead by a day, makes information older, never fresher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InformationAge {
    /// At most five minutes.
    Fresh,
    /// At most a day.
    Old,
    /// Over a day, in the future, or not known.
    Unknown,
}

/// What is done with an endpoint that was reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CandidatePolicy {
    /// Sessions may be placed on it at once.
    Use,
    /// It must answer a probe first.
    Probe {
        /// One that has not answered for this long is forgotten. `None`: it is probed without end, as no other source
        /// would name it again.
        forget_after: Option<Duration>,
    },
    /// The report is dropped.
    Ignore,
}

const fn probe_for(seconds: u64) -> CandidatePolicy {
    CandidatePolicy::Probe {
        forget_after: Some(Duration::from_secs(seconds)),
    }
}

const PROBE_WITHOUT_END: CandidatePolicy = CandidatePolicy::Probe { forget_after: None };

/// Source, age, policy. A report of discovery is `Old` where its list is older than one that the proxy had before.
const POLICIES: &[(EndpointSource, InformationAge, CandidatePolicy)] = {
    use CandidatePolicy as Policy;
    use EndpointSource as Source;
    use InformationAge as Age;
    &[
        (Source::Discovery, Age::Fresh, Policy::Use),
        (Source::Discovery, Age::Old, probe_for(600)),
        (Source::Discovery, Age::Unknown, probe_for(600)),
        (Source::Snapshot, Age::Fresh, probe_for(600)),
        (Source::Snapshot, Age::Old, probe_for(300)),
        (Source::Snapshot, Age::Unknown, probe_for(30)),
        (Source::Configuration, Age::Fresh, PROBE_WITHOUT_END),
        (Source::Configuration, Age::Old, PROBE_WITHOUT_END),
        (Source::Configuration, Age::Unknown, PROBE_WITHOUT_END),
        (Source::Peer, Age::Fresh, probe_for(60)),
        (Source::Peer, Age::Old, probe_for(10)),
        (Source::Peer, Age::Unknown, Policy::Ignore),
    ]
};

/// What is done with an endpoint that `source` reported, by the age of the report.
pub fn candidate_policy(source: EndpointSource, age: InformationAge) -> CandidatePolicy {
    POLICIES
        .iter()
        .find(|row| (row.0, row.1) == (source, age))
        .map_or(CandidatePolicy::Ignore, |row| row.2)
}

/// Up to which age information is fresh: a proxy that was restarted by hand is back within it.
const MAX_FRESH_AGE: Duration = Duration::from_secs(300);
/// Up to which age information is old; beyond a day an endpoint's address may well belong to somebody else.
const MAX_OLD_AGE: Duration = Duration::from_secs(86_400);
/// How far ahead the clock of another machine may be.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// The age of information that was recorded at `recorded`, by Unix time both; `None` where no time was recorded.
pub fn information_age(now: Duration, recorded: Option<Duration>) -> InformationAge {
    match recorded {
        Some(recorded) if recorded > now + MAX_CLOCK_SKEW => InformationAge::Unknown,
        Some(recorded) if now.saturating_sub(recorded) <= MAX_FRESH_AGE => InformationAge::Fresh,
        Some(recorded) if now.saturating_sub(recorded) <= MAX_OLD_AGE => InformationAge::Old,
        _ => InformationAge::Unknown,
    }
}
