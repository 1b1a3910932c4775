//! Faults that the model checker injects, to show that it finds them.

/// An implementation mistake of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An endpoint from the snapshot is used without a probe.
    SnapshotUsedUnprobed,
    /// An endpoint that only a peer reported is used without a probe.
    PeerReportUsedUnprobed,
    /// A probe that was not answered counts as answered.
    SilenceCountsAsAnswer,
    /// An endpoint that did not answer is never probed again.
    ProbedOnlyOnce,
    /// An endpoint that is missing from discovery's complete list stays in use.
    DelistedStays,
    /// Two endpoints with the same address both stay.
    TwoAtOneAddress,
    /// Waiting for the answers of peers has no deadline.
    NoPeerTimeout,
    /// The warm start ends at the moment when it should begin to admit clients at a limited rate.
    AdmissionNeverLimited,
    /// Clients are still admitted after the last usable endpoint is lost.
    LossOfLastEndpointIgnored,
    /// A report of any age counts as fresh, even one with a time in the future.
    FutureCountsAsFresh,
    /// Lists that discovery sends after the end of the warm start are ignored.
    ListAfterStartIgnored,
    /// Endpoints that a peer or an outdated list names after discovery's complete list become candidates.
    ReportsOutrankDiscovery,
    /// The complete list is not requested again when a warm start ends on an outdated one.
    OutdatedListKept,
}

impl InjectedFault {
    /// All faults, for the model checker to try in turn.
    pub const ALL: [InjectedFault; 13] = [
        InjectedFault::SnapshotUsedUnprobed,
        InjectedFault::PeerReportUsedUnprobed,
        InjectedFault::SilenceCountsAsAnswer,
        InjectedFault::ProbedOnlyOnce,
        InjectedFault::DelistedStays,
        InjectedFault::TwoAtOneAddress,
        InjectedFault::NoPeerTimeout,
        InjectedFault::AdmissionNeverLimited,
        InjectedFault::LossOfLastEndpointIgnored,
        InjectedFault::FutureCountsAsFresh,
        InjectedFault::ListAfterStartIgnored,
        InjectedFault::ReportsOutrankDiscovery,
        InjectedFault::OutdatedListKept,
    ];
}
