//! How a report of an endpoint is treated, by its source and age.

use std::time::Duration;

/// Source of an endpoint's report, weakest first. An endpoint's own answer to a probe counts more than every report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointSource {
    /// Another proxy.
    Peer,
    /// The static configuration, which has no age.
    Configuration,
    /// The snapshot that this proxy saved before it was last stopped.
    Snapshot,
    /// The discovery service.
    Discovery,
}

/// How old the information in a report is. If the clock was set back, or ahead by a day, information counts as older, never
/// as fresher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InformationAge {
    /// At most five minutes.
    Fresh,
    /// At most a day.
    Old,
    /// Over a day, in the future, or without a time.
    Unknown,
}

/// What is done with an endpoint that was reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CandidatePolicy {
    /// Sessions may be placed on it at once.
    Use,
    /// It must answer a probe first.
    Probe {
        /// The endpoint is dropped if it has not answered for this long. `None` means that it is probed indefinitely,
        /// because no other source would report it again.
        forget_after: Option<Duration>,
    },
    /// The report is ignored.
    Ignore,
}

const fn probe_for(seconds: u64) -> CandidatePolicy {
    CandidatePolicy::Probe {
        forget_after: Some(Duration::from_secs(seconds)),
    }
}

const PROBE_INDEFINITELY: CandidatePolicy = CandidatePolicy::Probe { forget_after: None };

/// Source, age, policy. A report from discovery is `Old` if its list is older than one that the proxy had before.
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
        (Source::Configuration, Age::Fresh, PROBE_INDEFINITELY),
        (Source::Configuration, Age::Old, PROBE_INDEFINITELY),
        (Source::Configuration, Age::Unknown, PROBE_INDEFINITELY),
        (Source::Peer, Age::Fresh, probe_for(60)),
        (Source::Peer, Age::Old, probe_for(10)),
        (Source::Peer, Age::Unknown, Policy::Ignore),
    ]
};

/// What is done with an endpoint that `source` reported with information of this age.
pub fn candidate_policy(source: EndpointSource, age: InformationAge) -> CandidatePolicy {
    POLICIES
        .iter()
        .find(|row| (row.0, row.1) == (source, age))
        .map_or(CandidatePolicy::Ignore, |row| row.2)
}

/// Greatest age of fresh information; long enough for a proxy to be restarted by hand.
const MAX_FRESH_AGE: Duration = Duration::from_secs(300);
/// Greatest age of old information; after more than a day, an endpoint's address may belong to something else.
const MAX_OLD_AGE: Duration = Duration::from_secs(86_400);
/// How far in the future a recorded time may be, because the clock of the machine that recorded it is ahead.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// The age at `now` of information that was recorded at `recorded_at`, both in Unix time; `recorded_at` is `None` if no
/// time was recorded.
pub fn information_age(now: Duration, recorded_at: Option<Duration>) -> InformationAge {
    match recorded_at {
        Some(time) if time > now + MAX_CLOCK_SKEW => InformationAge::Unknown,
        Some(time) if now.saturating_sub(time) <= MAX_FRESH_AGE => InformationAge::Fresh,
        Some(time) if now.saturating_sub(time) <= MAX_OLD_AGE => InformationAge::Old,
        _ => InformationAge::Unknown,
    }
}
