//! Faults that the model checker injects, to show that it finds them.

/// A fault of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Answers of a place are not remembered.
    SoundForgotten,
    /// Signs from before the last answer of a place count.
    OldSignsCount,
    /// Two servers are enough.
    TwoAreEnough,
    /// A place is given up where nobody else answers either.
    GivenUpAlone,
    /// All places are left shut.
    NobodyLeft,
    /// A place that fell again is opened by the first answer.
    HeldForgotten,
    /// A place that answers is used whole at once.
    WholeAtOnce,
    /// A shut place is never looked at.
    NeverLooked,
    /// That another place answers is not held against one that is doubted.
    NotWeighedAgain,
}

impl InjectedFault {
    pub const ALL: [InjectedFault; 9] = [
        InjectedFault::SoundForgotten,
        InjectedFault::OldSignsCount,
        InjectedFault::TwoAreEnough,
        InjectedFault::GivenUpAlone,
        InjectedFault::NobodyLeft,
        InjectedFault::HeldForgotten,
        InjectedFault::WholeAtOnce,
        InjectedFault::NeverLooked,
        InjectedFault::NotWeighedAgain,
    ];
}
