//! Events that are counted and logged, each under a reason code. `docs/oncall.md` explains the codes to operators.

use asterramp_placement::event::Outcome;

/// Declares [`ReasonCode`]: each code with its Rust name and its outward name, which logs and counters print.
macro_rules! reason_codes {
    ($($(#[$doc:meta])* $code:ident $name:literal,)*) => {
        /// The kind of an event that is counted or logged.
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
    /// The proxy began to accept clients.
    Serving "serving",

    // Requests, attempts and responses.
    /// A ping, the health check of the front proxy, was answered.
    PingAnswered "ping",
    /// A new session was admitted.
    SessionAccepted "taken",
    /// A session that was open before this proxy started is open again.
    SessionRestored "restored",
    /// The request of an attempt is being written to its server.
    AttemptSent "dialled",
    /// A probe was sent.
    ProbeSent "probed",
    /// A server accepted a session.
    SessionOpened "up",
    /// A session was rejected, with a Retry-After.
    Rejected "refused",
    /// A session failed before it was opened.
    SessionFailed "torn-down",
    /// An endpoint list, or changes of it, took effect.
    EndpointsApplied "roster",
    /// A zone's state changed.
    ZoneStateChanged "place",

    // Ends of clients' connections.
    /// The client closed its connection with an end of stream, or left before its session was open.
    ClientLeft "client-left",
    /// The client reset its connection.
    ClientReset "client-reset",
    /// The client read no line for too long.
    ClientStalled "client-stalled",
    /// The client did not send its request in time.
    ClientSilent "client-silent",
    /// The client's line was malformed, or came before the response to its request.
    ClientProtocolError "client-bad-line",
    /// A connection ended without a request for a session.
    ClosedBeforeRequest "front-left",
    /// A client was rejected for lack of descriptors or memory.
    AtConnectionLimit "at-limit",
    /// A client was rejected by admission control, while capacity is short.
    LoadShed "room-short",
    /// A client that had not requested a session was closed to free its descriptor for others.
    PendingClientEvicted "crowded-out",
    /// The server ended the session and announced before that it was served.
    ServerFinished "server-bye",
    /// The server, which is draining, asked for the session to be migrated.
    ServerMigrated "server-move",
    /// The server ended the session without announcing it.
    ServerClosed "server-closed",
    /// The server reset the session's connection.
    ServerReset "server-reset",
    /// The server did not respond to a line in time; the client was migrated.
    ServerSilent "server-silent",
    /// The server's line was malformed or unknown.
    ServerProtocolError "server-bad-line",
    /// A session was migrated because its server was overloaded or an outlier.
    Rebalanced "relieved",
    /// A session was migrated because the proxy shuts down.
    ShuttingDown "proxy-leaving",
    /// A session was migrated by a requested drain.
    Draining "proxy-draining",

    // Ends of attempts that did not open a session.
    /// The server responded with an error.
    AttemptErred "dial-erred",
    /// The server responded that it is full.
    AttemptServerFull "dial-full",
    /// No response within the attempt's timeout.
    AttemptTimedOut "dial-timed-out",
    /// The connection was refused or not established in time, or the request could not be completely written.
    AttemptUnreachable "dial-unreachable",
    /// The connection ended without a response after the request was completely written.
    AttemptReset "dial-reset",
    /// The attempt was cancelled, or the server, which is draining, sent it elsewhere.
    AttemptCancelled "dial-called-off",
    /// No socket was available, or there was no time left to send the request.
    AttemptNotSent "dial-unsent",

    // Probes, the watch on discovery and the endpoint list.
    /// A probe got no valid response.
    ProbeFailed "probe-failed",
    /// A connection kept for probes could not be used again: its server closed it or sent an unexpected line.
    ProbeClosed "probe-closed",
    /// The watch on discovery ended or could not be opened.
    WatchEnded "watch-ended",
    /// The watch on discovery received nothing for too long.
    WatchSilent "watch-silent",
    /// Discovery sent an invalid endpoint list.
    EndpointListInvalid "roster-bad",
    /// A listed server was ignored because the endpoint table is full.
    EndpointTableFull "roster-full",
    /// Discovery's endpoint list is older than the known one.
    EndpointListOutdated "roster-older",

    // Warm start and snapshots.
    /// A warm start entered another stage.
    WarmStartStageChanged "stage",
    /// A warm start dropped a saved endpoint.
    EndpointDropped "host-dropped",
    /// Another proxy answered with the endpoints that it knows.
    PeerAnswered "peer-heard",
    /// Another proxy did not answer, or its answer was invalid.
    PeerFailed "peer-bad",
    /// A snapshot was saved.
    SnapshotSaved "state-saved",
    /// A snapshot could not be saved or read.
    SnapshotFailed "state-bad",
    /// This process took the lock of the snapshot folder after another process had released it.
    SnapshotLockAcquired "state-taken",

    // Configuration reload.
    /// The configuration was reloaded.
    ConfigReloaded "reloaded",
    /// A changed key keeps its old value, since it cannot change while the process runs.
    ConfigUnchanged "reload-kept",
    /// The configuration could not be reloaded; the old one stays in effect.
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
    /// The successor is serving, and is offered this process's connections.
    SuccessorServing "followed",
    /// A session was handed over to the successor.
    SessionHandedOver "handed-over",
    /// A session was adopted from the predecessor.
    SessionAdopted "adopted",
    /// The connection between predecessor and successor ended.
    HotRestartEnded "handover-ended",
    /// A step of a hot restart failed.
    HotRestartFailed "handover-bad",

    // Admin HTTP.
    /// An admin HTTP call was answered.
    AdminRequestServed "called",
    /// An admin HTTP call was malformed or rejected.
    AdminRequestFailed "call-bad",

    // System calls that failed.
    /// A connection could not be accepted.
    AcceptFailed "accept-failed",
}

/// The name of an outcome in log lines about probes; operators search for it, so it does not change.
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

/// An event of the router, to be counted and, for some, logged.
#[derive(Debug)]
pub enum RouterEvent {
    /// Counted only.
    Count(ReasonCode),
    /// Counted and logged, with the text of the log line after the reason code.
    Log(ReasonCode, String),
}
