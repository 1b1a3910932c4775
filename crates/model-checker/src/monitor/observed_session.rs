//! What clients and servers have seen of one session.

use std::time::Duration;

/// How late an answer may be.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(16);

/// A dial whose connection is not closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedDial {
    pub(super) begun_at: Duration,
    /// The zone of its server.
    pub(super) zone: u8,
    /// Whether all of the request is written. Part of what makes two monitors equal, though no property asks for it.
    pub(super) is_request_written: bool,
}

/// A dial that may have run at its server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PossibleRun {
    pub(super) begun_at: Duration,
    pub(super) zone: u8,
}

#[derive(Clone, Debug, Default)]
pub(super) struct ObservedSession {
    /// Until when its client waits for an answer; `None` once it has one or has left.
    pub(super) answer_deadline: Option<Duration>,
    pub(super) has_arrived: bool,
    pub(super) answers: u8,
    pub(super) client_left: bool,
    /// Its client has closed its side, noticed or not.
    pub(super) client_gone: bool,
    pub(super) dials: u32,
    pub(super) current_dial: Option<ObservedDial>,
    /// How many connections servers have open for it.
    pub(super) connections: u8,
    pub(super) possible_run: Option<PossibleRun>,
    pub(super) is_open: bool,
}

impl ObservedSession {
    pub(super) fn begin_dial(&mut self, now: Duration, zone: u8) {
        self.dials += 1;
        self.connections += 1;
        self.current_dial = Some(ObservedDial {
            begun_at: now,
            zone,
            is_request_written: false,
        });
    }

    /// The server has the whole request of the current dial: from now on it may run.
    pub(super) fn request_written(&mut self) {
        if let Some(dial) = &mut self.current_dial {
            dial.is_request_written = true;
            let run = PossibleRun {
                begun_at: dial.begun_at,
                zone: dial.zone,
            };
            self.possible_run.get_or_insert(run);
        }
    }

    /// The current dial is proved not to have run. What an earlier dial may have done stays.
    pub(super) fn current_dial_never_ran(&mut self) {
        let begun_at = self.current_dial.map(|dial| dial.begun_at);
        if self.possible_run.map(|run| run.begun_at) == begun_at {
            self.possible_run = None;
        }
    }

    pub(super) fn connection_closed(&mut self) {
        self.connections = self.connections.saturating_sub(1);
        if self.connections == 0 {
            self.current_dial = None;
        }
    }

    pub(super) fn session_ended(&mut self) {
        self.connections = 0;
        self.current_dial = None;
        self.is_open = false;
    }

    /// Whether a dial of it is under way.
    pub(super) fn is_dialling(&self) -> bool {
        self.connections > 0
    }

    /// Whether its client waits for an answer, and one at that time would be late.
    pub(super) fn is_late(&self, time: Duration) -> bool {
        self.answer_deadline
            .is_some_and(|deadline| time > deadline + ANSWER_TOLERANCE)
    }
}
