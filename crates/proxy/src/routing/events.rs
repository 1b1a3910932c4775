//! What there is to count and to log, each by a reason code. `docs/oncall.md` explains the codes to operators.

use asterramp_placement::event::Outcome;

/// Declares [`ReasonCode`]: each code with its Rust name and the name that logs and counters print.
macro_rules! reason_codes {
    ($($(#[$doc:meta])* $code:ident $name:literal,)*) => {
        /// Why something was counted or logged.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum ReasonCode { $($(#[$doc])* $code,)* }

        impl ReasonCode {
            /// All codes, in the order in which counters print them.
            pub const ALL: &[ReasonCode] = &[$(ReasonCode::$code,)*];

            /// The name that logs and counters print; operators search for it, so it does not change.
            pub fn name(self) -> &'static str {
                match self { $(ReasonCode::$code => $name,)* }
            }
        }
    };
}

reason_codes! {
    /// Clients are let in from now on.
    Serving "serving",

    // Requests, attempts and answers.
    /// A front's ping was answered.
    PingAnswered "ping",
    /// A session was admitted.
    SessionAccepted "taken",
    /// A session that was open before the start is open again.
    SessionRestored "restored",
    /// A request is being sent to a server.
    AttemptSent "dialled",
    /// A health check was sent.
    ProbeSent "probed",
    /// A server accepted a session.
    SessionOpened "up",
    /// A session was rejected, with a Retry-After.
    Rejected "refused",
    /// A session failed before it was open.
    SessionFailed "torn-down",
    /// An endpoint list, or changes of it, took effect.
    EndpointsApplied "roster",
    /// A zone's state changed.
    ZoneStateChanged "place",

    // Ends of clients' connections.
    /// The client ended its connection in good order.
    ClientLeft "client-left",
    /// The client broke its connection.
    ClientReset "client-reset",
    /// The client took no line for too long.
    ClientStalled "client-stalled",
    /// The client did not say in time what it wants.
    ClientSilent "client-silent",
    /// The client's line was malformed, or came before its answer.
    ClientProtocolError "client-bad-line",
    /// A connection that never asked for anything ended.
    ClosedBeforeRequest "front-left",
    /// Rejected for want of descriptors or memory.
    AtConnectionLimit "at-limit",
    /// Rejected by admission control, while capacity is short.
    LoadShed "room-short",
    /// A client that had not said what it wants was closed in favour of others.
    PendingClientEvicted "crowded-out",
    /// The server ended the session and said that it was served.
    ServerFinished "server-bye",
    /// The server, which is draining, asked for the session to be migrated.
    ServerMigrated "server-move",
    /// The server ended the session and said nothing.
    ServerClosed "server-closed",
    /// The server broke the session's connection.
    ServerReset "server-reset",
    /// The server left a line unanswered for too long; the client was migrated.
    ServerSilent "server-silent",
    /// The server's line was malformed or unknown.
    ServerProtocolError "server-bad-line",
    /// Migrated because its server was overloaded or an outlier.
    Rebalanced "relieved",
    /// Migrated because the proxy shuts down.
    ShuttingDown "proxy-leaving",
    /// Migrated by a drain on request.
    Draining "proxy-draining",

    // Ends of attempts that did not open a session.
    /// The server answered with an error.
    AttemptErred "dial-erred",
    /// The server answered that it is full.
    AttemptServerFull "dial-full",
    /// No answer within the attempt's time.
    AttemptTimedOut "dial-timed-out",
    /// Refused, not connected in time, or broken before the request's last byte.
    AttemptUnreachable "dial-unreachable",
    /// The connection broke after the request was sent.
    AttemptReset "dial-reset",
    /// Cancelled, or sent away by a draining server.
    AttemptCancelled "dial-called-off",
    /// There was no socket, or no time to send the request.
    AttemptNotSent "dial-unsent",

    // Health checks, the watch on discovery and the endpoint list.
    /// A health check got no answer.
    ProbeFailed "probe-failed",
    /// A health check's kept connection was ended by its server.
    ProbeClosed "probe-closed",
    /// The watch ended or could not be opened.
    WatchEnded "watch-ended",
    /// The watch said nothing for too long.
    WatchSilent "watch-silent",
    /// Discovery sent a list that makes no sense.
    EndpointListInvalid "roster-bad",
    /// A server was left out: as many names as can be are known.
    EndpointTableFull "roster-full",
    /// Discovery's list is older than the one known.
    EndpointListOutdated "roster-older",

    // A warm start, and what is saved for the next.
    /// A warm start has come to another stage.
    WarmStartStageChanged "stage",
    /// A saved endpoint was dropped.
    EndpointDropped "host-dropped",
    /// Another proxy said what it knows.
    PeerAnswered "peer-heard",
    /// Another proxy did not answer, or not so that it makes sense.
    PeerFailed "peer-bad",
    /// A snapshot was saved.
    SnapshotSaved "state-saved",
    /// A snapshot could not be saved or read.
    SnapshotFailed "state-bad",
    /// The snapshot folder, which another process held, is this one's now.
    SnapshotLockAcquired "state-taken",

    // Configuration read again.
    /// The configuration was read again.
    ConfigReloaded "reloaded",
    /// A key that cannot change while the process runs keeps its value.
    ConfigUnchanged "reload-kept",
    /// The configuration could not be read; the old one stays.
    ConfigReloadFailed "reload-bad",

    // Draining and the admin socket.
    /// The drain's state changed.
    DrainStateChanged "drain-state",
    /// A request at the admin socket could not be read, or its sender was rejected.
    AdminSocketError "control-bad",

    // Commands of the leader of the proxies.
    /// A leader with a newer term gave a command.
    LeaderAccepted "owner-heard",
    /// A command of an earlier leader was rejected.
    CommandFenced "order-refused",

    // Hot restart.
    /// A successor serves, and is offered this process's connections.
    SuccessorServing "followed",
    /// A session went to the successor.
    SessionHandedOver "handed-over",
    /// A session came from the predecessor.
    SessionAdopted "adopted",
    /// The connection between the two processes is over.
    HotRestartEnded "handover-ended",
    /// Something went wrong between the two processes.
    HotRestartFailed "handover-bad",

    // Operators' HTTP calls.
    /// A call was answered.
    AdminRequestServed "called",
    /// A call was malformed or rejected.
    AdminRequestFailed "call-bad",

    // System calls that failed.
    /// A connection could not be accepted.
    AcceptFailed "accept-failed",
}

/// The name of an outcome in log lines about health checks; operators search for it, so it does not change.
pub fn outcome_log_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "Ok",
        Outcome::ServerError => "Erred",
        Outcome::Full => "Full",
        Outcome::TimedOut => "TimedOut",
        Outcome::Unreachable => "Unreachable",
        Outcome::Reset => "Reset",
        Outcome::Cancelled => "CalledOff",
        Outcome::NotSent => "NeverSent",
    }
}

/// Something that happened in the router, for the counters and perhaps the log.
#[derive(Debug)]
pub enum RouterEvent {
    /// To be counted.
    Count(ReasonCode),
    /// To be counted and logged, with what there is to say of it.
    Log(ReasonCode, String),
}
