//! What clients and servers have observed of one session.

use std::time::Duration;

/// Longest time after the client's deadline at which an answer still counts as in time.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(16);

/// A dial whose connection has not been closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedDial {
    pub(super) started_at: Duration,
    /// The zone of its server.
    pub(super) zone: u8,
    /// Whether the whole request has been written. No property uses it, but it is part of the fingerprint.
    pub(super) is_request_written: bool,
}

/// A dial whose server may have executed the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct PossibleExecution {
    pub(super) started_at: Duration,
    /// The zone of its server.
    pub(super) zone: u8,
}

/// The observed history of a session.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedSession {
    /// When its client stops waiting for an answer; `None` before it arrives, and once it has an answer or has left.
    pub(super) answer_deadline: Option<Duration>,
    /// No property uses it, but it is part of the fingerprint.
    pub(super) has_arrived: bool,
    /// Number of final answers; opening the session counts as one.
    pub(super) answers: u8,
    /// Whether the proxy has noticed that the client closed its side.
    pub(super) client_left: bool,
    /// Whether the client closed its side without an event. Stays set once the proxy has noticed.
    pub(super) client_left_unnoticed: bool,
    /// Number of dials begun so far.
    pub(super) dials: u32,
    /// The latest dial; `None` before the first, and once all connections are closed.
    pub(super) current_dial: Option<ObservedDial>,
    /// Number of its connections to servers that are not closed.
    pub(super) connections: u8,
    /// The first dial whose server may have executed the request, unless that was disproved.
    pub(super) possible_execution: Option<PossibleExecution>,
    /// Whether lines are being forwarded between its client and its server.
    pub(super) is_open: bool,
}

impl ObservedSession {
    /// Records that a dial begins to a server in `zone`.
    pub(super) fn record_dial(&mut self, now: Duration, zone: u8) {
        self.dials += 1;
        self.connections += 1;
        self.current_dial = Some(ObservedDial {
            started_at: now,
            zone,
            is_request_written: false,
        });
    }

    /// Records that the server has the whole request of the current dial: from now on it may run the session.
    pub(super) fn record_request_written(&mut self) {
        if let Some(dial) = &mut self.current_dial {
            dial.is_request_written = true;
            let execution = PossibleExecution {
                started_at: dial.started_at,
                zone: dial.zone,
            };
            self.possible_execution.get_or_insert(execution);
        }
    }

    /// Records that the current dial is proved not to have executed the request. A possible execution by an earlier dial
    /// remains.
    pub(super) fn rule_out_run_of_current_dial(&mut self) {
        let started_at = self.current_dial.map(|dial| dial.started_at);
        if self
            .possible_execution
            .map(|execution| execution.started_at)
            == started_at
        {
            self.possible_execution = None;
        }
    }

    pub(super) fn record_connection_closed(&mut self) {
        self.connections = self.connections.saturating_sub(1);
        if self.connections == 0 {
            self.current_dial = None;
        }
    }

    pub(super) fn record_session_ended(&mut self) {
        self.connections = 0;
        self.current_dial = None;
        self.is_open = false;
    }

    /// Whether it has a connection to a server, established or in progress.
    pub(super) fn is_dialling(&self) -> bool {
        self.connections > 0
    }

    /// Whether its client waits for an answer, and one at `time` would be late.
    pub(super) fn is_late(&self, time: Duration) -> bool {
        self.answer_deadline
            .is_some_and(|deadline| time > deadline + ANSWER_TOLERANCE)
    }
}
