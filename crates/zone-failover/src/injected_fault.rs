//! Bugs planted on purpose, so that a checker can show that it finds them.

/// What may be wrong. Each is of a kind that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
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

impl Plant {
    pub const ALL: [Plant; 9] = [
        Plant::SoundForgotten,
        Plant::OldSignsCount,
        Plant::TwoAreEnough,
        Plant::GivenUpAlone,
        Plant::NobodyLeft,
        Plant::HeldForgotten,
        Plant::WholeAtOnce,
        Plant::NeverLooked,
        Plant::NotWeighedAgain,
    ];
}
