//! Faults that the model checker injects, to show that it finds them.

/// An implementation mistake of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A contender's lease starts at the store's answer, not at the contender's own request.
    LeaseFromAnswer,
    /// A leader gives orders after its lease has expired, until it learns that it lost leadership.
    IgnoresLeaseExpiry,
    /// A lease lasts as long as the session, although clocks drift apart.
    NoClockMargin,
    /// Any contender in the queue considers its node the first.
    AnyQueuedLeads,
    /// A successor leads as soon as its node is first, without waiting for its predecessor's orders to expire.
    LeadsAtOnce,
    /// A leader whose session has expired remains leader.
    IgnoresSessionExpiry,
    /// Orders never expire in practice.
    OrdersNeverExpire,
    /// The expiry of an order is stated by the leader's clock.
    ExpiryByOwnClock,
    /// A receiver accepts an order that has expired.
    AcceptsExpired,
    /// A receiver accepts an order of a former leader.
    AcceptsStaleTerm,
    /// A receiver accepts an order that was made for an earlier process of it.
    AcceptsAnyIncarnation,
    /// A receiver does not record the terms that it has accepted.
    ForgetsTerm,
}

impl InjectedFault {
    /// All faults, for the model checker to try in turn.
    pub const ALL: [InjectedFault; 12] = [
        InjectedFault::LeaseFromAnswer,
        InjectedFault::IgnoresLeaseExpiry,
        InjectedFault::NoClockMargin,
        InjectedFault::AnyQueuedLeads,
        InjectedFault::LeadsAtOnce,
        InjectedFault::IgnoresSessionExpiry,
        InjectedFault::OrdersNeverExpire,
        InjectedFault::ExpiryByOwnClock,
        InjectedFault::AcceptsExpired,
        InjectedFault::AcceptsStaleTerm,
        InjectedFault::AcceptsAnyIncarnation,
        InjectedFault::ForgetsTerm,
    ];
}
