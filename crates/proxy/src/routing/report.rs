//! What there is to count and to log, by reason code; `docs/oncall.md` explains each.

macro_rules! codes {
    ($($code:ident $name:literal,)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum ReasonCode { $($code,)* }

        impl ReasonCode {
            pub const ALL: &[ReasonCode] = &[$(ReasonCode::$code,)*];

            pub fn name(self) -> &'static str {
                match self { $(ReasonCode::$code => $name,)* }
            }
        }
    };
}

codes! {
    Serving "serving",
    // Taken in, sent and answered.
    Pinged "ping",
    Taken "taken",
    Restored "restored",
    Dialled "dialled",
    Probed "probed",
    Up "up",
    Refused "refused",
    TornDown "torn-down",
    RosterTaken "roster",
    Place "place",
    // Ends of clients' connections.
    ClientLeft "client-left",
    ClientReset "client-reset",
    ClientStalled "client-stalled",
    ClientSilent "client-silent",
    ClientBad "client-bad-line",
    FrontLeft "front-left",
    Edge "at-limit",
    Short "room-short",
    CrowdedOut "crowded-out",
    Served "server-bye",
    ServerMoved "server-move",
    ServerClosed "server-closed",
    ServerReset "server-reset",
    ServerSilent "server-silent",
    ServerBad "server-bad-line",
    Relieved "relieved",
    Leaving "proxy-leaving",
    Drained "proxy-draining",
    // Ends of dials that did not come up.
    DialErred "dial-erred",
    DialFull "dial-full",
    DialTimedOut "dial-timed-out",
    DialUnreachable "dial-unreachable",
    DialReset "dial-reset",
    DialCalledOff "dial-called-off",
    DialUnsent "dial-unsent",
    // Probes and the roster.
    ProbeFailed "probe-failed",
    ProbeClosed "probe-closed",
    WatchEnded "watch-ended",
    WatchSilent "watch-silent",
    RosterBad "roster-bad",
    RosterFull "roster-full",
    RosterOld "roster-older",
    // A start after a power loss, and what is kept for the next.
    Stage "stage",
    HostDropped "host-dropped",
    PeerHeard "peer-heard",
    PeerBad "peer-bad",
    StateSaved "state-saved",
    StateBad "state-bad",
    StateTaken "state-taken",
    // Configuration read again.
    Reloaded "reloaded",
    ReloadKept "reload-kept",
    ReloadBad "reload-bad",
    // Draining and the control socket.
    DrainState "drain-state",
    ControlBad "control-bad",
    // Orders of whoever owns the work of the fleet.
    OwnerHeard "owner-heard",
    OrderRefused "order-refused",
    // Replacing the process.
    Followed "followed",
    HandedOver "handed-over",
    Adopted "adopted",
    HandoverEnded "handover-ended",
    HandoverBad "handover-bad",
    // Operators' calls.
    Called "called",
    CallBad "call-bad",
    // Calls that failed on this machine.
    AcceptFailed "accept-failed",
}

#[derive(Debug)]
pub enum Report {
    Count(ReasonCode),
    /// Counted too, and worth a line.
    Line(ReasonCode, String),
}
