//! Bugs planted on purpose, so that a checker can show that it finds them.

/// What may be wrong. Each is of a kind that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
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

impl Plant {
    pub const ALL: [Plant; 10] = [
        Plant::SavedIsTrusted,
        Plant::HeardIsTrusted,
        Plant::SilenceIsYes,
        Plant::AskedOnce,
        Plant::LeftOutStays,
        Plant::TwoAtOneAddress,
        Plant::AskingHasNoEnd,
        Plant::OpensAtFirst,
        Plant::NoneLeftIgnored,
        Plant::FutureIsFresh,
    ];
}
