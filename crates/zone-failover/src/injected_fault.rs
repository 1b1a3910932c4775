//! Faults that the model checker injects, to show that it finds them.

/// An implementation mistake of a kind that happens in practice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Responses of a zone are not remembered.
    ResponseForgotten,
    /// Failures from before a zone's last response count as evidence.
    OldFailuresCount,
    /// Two unresponsive servers suffice to declare a zone lost.
    TwoServersSuffice,
    /// A zone is declared lost although no other zone responds.
    GivenUpAlone,
    /// Zones stay closed although no other zone is in use.
    AllLeftClosed,
    /// A response opens a zone during its hold-down.
    HoldDownSkipped,
    /// A recovering zone gets its full share after the first step of the ramp.
    RampSkipped,
    /// A closed zone is never probed.
    ClosedZoneNotProbed,
    /// Suspected zones are not evaluated again when another zone responds.
    SuspectsNotWeighedAgain,
}

impl InjectedFault {
    /// All faults, for the model checker to try in turn.
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
