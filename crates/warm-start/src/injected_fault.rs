//! Faults that the model checker injects, to show that it finds them.

/// A fault of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An endpoint from the snapshot is used without a probe.
    SnapshotUsedUnprobed,
    /// An endpoint that only a peer reported is used without a probe.
    PeerReportUsedUnprobed,
    /// A probe without an answer counts as answered.
    SilenceCountsAsAnswer,
    /// An endpoint that did not answer is never probed again.
    ProbedOnlyOnce,
    /// An endpoint that discovery's complete list leaves out stays.
    DelistedStays,
    /// Two endpoints with one address both stay.
    TwoAtOneAddress,
    /// Waiting for peers has no deadline.
    NoPeerTimeout,
    /// The first endpoint that answers ends the warm start.
    AdmissionNeverLimited,
    /// The last endpoint is lost, and clients are admitted as before.
    LossOfLastEndpointIgnored,
    /// Information from a clock that cannot be right counts as fresh.
    FutureCountsAsFresh,
}

impl InjectedFault {
    /// All faults.
    pub const ALL: [InjectedFault; 10] = [
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
    ];
}
