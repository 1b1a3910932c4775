//! Faults that the model checker injects, to show that it finds them.

/// A fault of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A contender counts its lease from the store's answer, not from its own request.
    LeaseFromAnswer,
    /// A leader acts for as long as it has not heard that it lost the lead.
    IgnoresLeaseExpiry,
    /// A lease lasts as long as the session, though clocks drift apart.
    NoClockMargin,
    /// Any contender in the queue takes itself for the first.
    AnyQueuedLeads,
    /// A successor leads as soon as it is first, without waiting for its predecessor's orders to end.
    LeadsAtOnce,
    /// A leader whose session has expired goes on.
    IgnoresSessionExpiry,
    /// Orders have no end.
    OrdersNeverExpire,
    /// The end of an order is stated by the leader's clock.
    ExpiryByOwnClock,
    /// A receiver accepts an order after its end.
    AcceptsExpired,
    /// A receiver accepts an order of a former leader.
    AcceptsStaleTerm,
    /// A receiver accepts an order that was made for an earlier process.
    AcceptsAnyIncarnation,
    /// A receiver does not keep the terms that it has accepted.
    ForgetsTerm,
}

impl InjectedFault {
    /// All of them, for the model checker to try in turn.
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
