//! Faults that the model checker injects, to show that it finds them.

/// A mistake of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Responses of a zone are not remembered.
    ResponseForgotten,
    /// Failure signs from before the last response of a zone count.
    OldFailuresCount,
    /// Two silent servers suffice to give a zone up.
    TwoServersSuffice,
    /// A zone is given up although no other responds.
    GivenUpAlone,
    /// All zones are left closed.
    AllLeftClosed,
    /// A zone that was lost again is opened by the first response.
    HoldDownSkipped,
    /// A zone that responds gets its full share at once.
    RampSkipped,
    /// A closed zone is never probed.
    ClosedZoneNotProbed,
    /// A response of another zone does not lead to a suspected one being weighed again.
    SuspectsNotWeighedAgain,
}

impl InjectedFault {
    /// All faults.
    pub const ALL: [InjectedFault; 9] = [
        InjectedFault::ResponseForgotten,
        InjectedFault::OldFailuresCount,
        InjectedFault::TwoServersSuffice,
        InjectedFault::GivenUpAlone,
        InjectedFault::AllLeftClosed,
        InjectedFault::HoldDownSkipped,
        InjectedFault::RampSkipped,
        InjectedFault::ClosedZoneNotProbed,
        InjectedFault::SuspectsNotWeighedAgain,
    ];
}
