//! Faults that the model checker injects, to show that it finds them.

/// A fault of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The lease is counted from the store's answer.
    LeaseFromAnswer,
    /// The owner acts for as long as it has not heard that it lost.
    NoLease,
    /// It ends no sooner than the store may give its place away, though clocks run apart.
    NoMargin,
    /// Whoever stands in the queue owns.
    AnybodyIsFirst,
    /// A successor begins as soon as it is first.
    BeginsAtOnce,
    /// An owner whose session lapsed goes on.
    ExpiredGoesOn,
    /// Orders have no end.
    NoEnd,
    /// Their end is stated by the owner's clock.
    OwnClock,
    /// A receiver takes an order after its end.
    LateCounts,
    /// One of an older owner.
    OlderCounts,
    /// One that was made for the process before it.
    AnyProcess,
    /// It forgets the terms that it heard.
    TermNotKept,
}

impl InjectedFault {
    pub const ALL: [InjectedFault; 12] = [
        InjectedFault::LeaseFromAnswer,
        InjectedFault::NoLease,
        InjectedFault::NoMargin,
        InjectedFault::AnybodyIsFirst,
        InjectedFault::BeginsAtOnce,
        InjectedFault::ExpiredGoesOn,
        InjectedFault::NoEnd,
        InjectedFault::OwnClock,
        InjectedFault::LateCounts,
        InjectedFault::OlderCounts,
        InjectedFault::AnyProcess,
        InjectedFault::TermNotKept,
    ];
}
