//! Faults that the model checker injects, to show that it finds them.

/// A fault of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A saved host is placed on without a probe.
    SavedIsTrusted,
    /// So is one that only another proxy told of.
    HeardIsTrusted,
    /// A host that did not answer counts as there.
    SilenceIsYes,
    /// One that did not answer is never asked again.
    AskedOnce,
    /// What discovery leaves out stays.
    LeftOutStays,
    /// Two hosts at one address both stay.
    TwoAtOneAddress,
    /// Asking the others has no deadline.
    AskingHasNoEnd,
    /// The first host that answers opens the door to all.
    OpensAtFirst,
    /// The last host goes, and clients are let in as before.
    NoneLeftIgnored,
    /// A word from a clock that cannot be right counts as fresh.
    FutureIsFresh,
}

impl InjectedFault {
    pub const ALL: [InjectedFault; 10] = [
        InjectedFault::SavedIsTrusted,
        InjectedFault::HeardIsTrusted,
        InjectedFault::SilenceIsYes,
        InjectedFault::AskedOnce,
        InjectedFault::LeftOutStays,
        InjectedFault::TwoAtOneAddress,
        InjectedFault::AskingHasNoEnd,
        InjectedFault::OpensAtFirst,
        InjectedFault::NoneLeftIgnored,
        InjectedFault::FutureIsFresh,
    ];
}
