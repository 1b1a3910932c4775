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
    PingAnswered "ping",
    SessionAccepted "taken",
    SessionRestored "restored",
    AttemptSent "dialled",
    ProbeSent "probed",
    SessionOpened "up",
    Rejected "refused",
    SessionFailed "torn-down",
    EndpointsApplied "roster",
    ZoneStateChanged "place",
    // Ends of clients' connections.
    ClientLeft "client-left",
    ClientReset "client-reset",
    ClientStalled "client-stalled",
    ClientSilent "client-silent",
    ClientProtocolError "client-bad-line",
    ClosedBeforeRequest "front-left",
    AtConnectionLimit "at-limit",
    LoadShed "room-short",
    PendingClientEvicted "crowded-out",
    ServerFinished "server-bye",
    ServerMigrated "server-move",
    ServerClosed "server-closed",
    ServerReset "server-reset",
    ServerSilent "server-silent",
    ServerProtocolError "server-bad-line",
    Rebalanced "relieved",
    ShuttingDown "proxy-leaving",
    Draining "proxy-draining",
    // Ends of dials that did not come up.
    AttemptErred "dial-erred",
    AttemptServerFull "dial-full",
    AttemptTimedOut "dial-timed-out",
    AttemptUnreachable "dial-unreachable",
    AttemptReset "dial-reset",
    AttemptCanceled "dial-called-off",
    AttemptNotSent "dial-unsent",
    // Probes and the roster.
    ProbeFailed "probe-failed",
    ProbeClosed "probe-closed",
    WatchEnded "watch-ended",
    WatchSilent "watch-silent",
    EndpointListInvalid "roster-bad",
    EndpointTableFull "roster-full",
    EndpointListOutdated "roster-older",
    // A start after a power loss, and what is kept for the next.
    WarmStartStageChanged "stage",
    EndpointDropped "host-dropped",
    PeerAnswered "peer-heard",
    PeerFailed "peer-bad",
    SnapshotSaved "state-saved",
    SnapshotFailed "state-bad",
    SnapshotLockAcquired "state-taken",
    // Configuration read again.
    ConfigReloaded "reloaded",
    ConfigUnchanged "reload-kept",
    ConfigReloadFailed "reload-bad",
    // Draining and the control socket.
    DrainStateChanged "drain-state",
    AdminSocketError "control-bad",
    // Orders of whoever owns the work of the fleet.
    LeaderAccepted "owner-heard",
    CommandFenced "order-refused",
    // Replacing the process.
    SuccessorServing "followed",
    SessionHandedOver "handed-over",
    SessionAdopted "adopted",
    HotRestartEnded "handover-ended",
    HotRestartFailed "handover-bad",
    // Operators' calls.
    AdminRequestServed "called",
    AdminRequestFailed "call-bad",
    // Calls that failed on this machine.
    AcceptFailed "accept-failed",
}

#[derive(Debug)]
pub enum RouterEvent {
    Count(ReasonCode),
    /// Counted too, and worth a line.
    Log(ReasonCode, String),
}
