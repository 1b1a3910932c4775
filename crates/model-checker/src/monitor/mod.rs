//! Checks the properties on each event that clients and servers can observe, independently of how the production code
//! decides.

mod observed_session;
mod slow_start;

use crate::properties::{Property, Violation};
use crate::server_model::ServerModel;
use crate::shape::Shape;
use asterramp_placement::deployment::{IdempotencyScope, RetrySafety, SlowStartRule};
use asterramp_placement::event::{Endpoint, EndpointState, ServerId};
use observed_session::ObservedSession;
use slow_start::dial_budget;
use std::collections::BTreeMap;
use std::time::Duration;

/// The zone recorded for a dial to a server that does not exist.
const UNKNOWN_ZONE: u8 = u8::MAX;

/// What clients and servers have observed so far. The first violation is kept until [`Monitor::take_violation`].
#[derive(Clone, Debug)]
pub(crate) struct Monitor {
    /// Whether each session may run more than once, by number.
    retry_safety: &'static [RetrySafety],
    /// Largest number of dials of one session.
    max_dials: u32,
    /// Whether the proxy may cancel a dial; if not, one may outlive its client.
    may_cancel_dials: bool,
    slow_start: SlowStartRule,
    /// What has been observed of each session, by number.
    sessions: Vec<ObservedSession>,
    /// Servers that the endpoint list reports as draining or gone, and since when.
    draining: BTreeMap<ServerId, Duration>,
    /// Number of dials to each server while it was warming up, by its id and start time.
    warm_up_dials: BTreeMap<(ServerId, Duration), u32>,
    /// The first violation that has not been taken yet.
    violation: Option<Violation>,
}

impl Monitor {
    /// A monitor of a shape's sessions, before any of them has arrived.
    pub(crate) fn new(shape: &Shape) -> Monitor {
        Monitor {
            retry_safety: shape.sessions,
            max_dials: shape.max_dials,
            may_cancel_dials: shape.may_cancel_dials,
            slow_start: shape.deployment().slow_start,
            sessions: vec![ObservedSession::default(); shape.sessions.len()],
            draining: BTreeMap::new(),
            warm_up_dials: BTreeMap::new(),
            violation: None,
        }
    }

    /// Returns the first violation since the last call as an error.
    pub(crate) fn take_violation(&mut self) -> Result<(), Violation> {
        self.violation.take().map_or(Ok(()), Err)
    }

    /// Records a violation, unless one is recorded already.
    fn record_violation(&mut self, property: Property, description: String) {
        self.violation.get_or_insert(Violation {
            property,
            description,
        });
    }

    fn session(&self, session: u8) -> &ObservedSession {
        &self.sessions[usize::from(session)]
    }

    fn session_mut(&mut self, session: u8) -> &mut ObservedSession {
        &mut self.sessions[usize::from(session)]
    }

    /// A client asks for a session and waits for an answer until `answer_deadline`.
    pub(crate) fn on_session_arrived(&mut self, session: u8, answer_deadline: Duration) {
        let observed = self.session_mut(session);
        observed.has_arrived = true;
        observed.answer_deadline = Some(answer_deadline);
    }

    /// The proxy dials `server`; `model` is the actual state of that server, `None` if it does not exist.
    pub(crate) fn on_dial(
        &mut self,
        session: u8,
        now: Duration,
        server: ServerId,
        model: Option<&ServerModel>,
    ) {
        let zone = model.map_or(UNKNOWN_ZONE, |model| model.zone);
        self.check_dial_is_allowed(session);
        self.check_server_accepts_dials(session, server, model.is_some());
        self.check_no_second_effect(session, now, zone);
        if let Some(started_at) = model.and_then(|model| model.started_at) {
            self.check_slow_start(server, started_at, now);
        }
        self.session_mut(session).record_dial(now, zone);
    }

    /// A dial may begin only if the session has no other, its client still waits, and the limit on dials allows it.
    fn check_dial_is_allowed(&mut self, session: u8) {
        let max_dials = self.max_dials;
        let observed = self.session(session);
        let is_dialling = observed.is_dialling();
        let client_is_waiting =
            observed.answer_deadline.is_some() && !observed.client_left_unnoticed;
        let dials = observed.dials + 1;
        if is_dialling {
            self.record_violation(
                Property::NeverTwoDials,
                format!("session {session} dials while another dial is out"),
            );
        }
        if !client_is_waiting {
            self.record_violation(
                Property::NoDialAfterTheAnswer,
                format!("session {session} dials though nobody waits for it"),
            );
        }
        if dials > max_dials {
            self.record_violation(
                Property::DialsBounded,
                format!("session {session} dials {dials} times of {max_dials}"),
            );
        }
    }

    /// No dial may begin to a server that is reported as draining or gone, or that does not exist.
    fn check_server_accepts_dials(&mut self, session: u8, server: ServerId, exists: bool) {
        if self.draining.contains_key(&server) || !exists {
            self.record_violation(
                Property::DrainsKept,
                format!("session {session} dials host {server}, told to take nothing"),
            );
        }
    }

    /// A session that an earlier dial may have run is not dialled again, unless running it again has no second effect.
    fn check_no_second_effect(&mut self, session: u8, now: Duration, zone: u8) {
        let Some(execution) = self.session(session).possible_execution else {
            return;
        };
        let may_have_second_effect = match self.retry_safety[usize::from(session)] {
            RetrySafety::Idempotent => false,
            RetrySafety::NotIdempotent => true,
            RetrySafety::IdempotencyKey(scope, lifetime) => {
                let is_expired = now >= execution.started_at + lifetime;
                let is_out_of_scope = scope != IdempotencyScope::All && zone != execution.zone;
                is_expired || is_out_of_scope
            }
        };
        if may_have_second_effect {
            self.record_violation(
                Property::NoEffectTwice,
                format!("session {session} dials again though it may have run"),
            );
        }
    }

    /// Counts a dial to a server that is warming up, and checks it against the server's slow-start budget.
    fn check_slow_start(&mut self, server: ServerId, started_at: Duration, now: Duration) {
        if now >= started_at + self.slow_start.warm_after {
            return;
        }
        let dials = self.warm_up_dials.entry((server, started_at)).or_default();
        *dials += 1;
        if f64::from(*dials) > dial_budget(&self.slow_start, now - started_at) {
            self.record_violation(
                Property::ColdSpared,
                format!("cold host {server} is dialled past its budget"),
            );
        }
    }

    /// The proxy begins to write the request; `wait` is the time that the request gives the server to answer, if it gives
    /// one.
    pub(crate) fn on_request_sent(&mut self, session: u8, now: Duration, wait: Option<Duration>) {
        let observed = self.session(session);
        let has_no_client = observed.client_left_unnoticed || observed.client_left;
        let outlasts_client = wait.is_some_and(|wait| observed.is_late(now + wait));
        if has_no_client {
            let description =
                format!("session {session} has its line sent though its client has gone");
            self.record_violation(Property::NoDialAfterTheAnswer, description);
        }
        if outlasts_client {
            let description =
                format!("session {session} tells its host to take longer than its client waits");
            self.record_violation(Property::OneAnswerInTime, description);
        }
    }

    /// The server has received the request's last byte.
    pub(crate) fn on_request_written(&mut self, session: u8) {
        self.session_mut(session).record_request_written();
    }

    /// The server answered that it is full, which proves that the current dial has not run.
    pub(crate) fn on_server_busy(&mut self, session: u8) {
        self.session_mut(session).rule_out_run_of_current_dial();
    }

    /// A connection to a server is closed.
    pub(crate) fn on_connection_closed(&mut self, session: u8) {
        self.session_mut(session).record_connection_closed();
    }

    /// The client is sent its final answer.
    pub(crate) fn on_client_answered(&mut self, session: u8, now: Duration, is_rejected: bool) {
        let observed = self.session_mut(session);
        observed.answers += 1;
        let is_unexpected = observed.answers > 1 || observed.client_left;
        let is_late = observed.is_late(now);
        observed.answer_deadline = None;
        if is_unexpected {
            self.on_answer_without_client(session);
        }
        if is_late {
            self.record_violation(
                Property::OneAnswerInTime,
                format!("session {session} is answered late"),
            );
        }
        if is_rejected {
            self.check_rejection(session);
        }
    }

    /// A session may be rejected only if it has no dial in progress and either no dial may have run it or running it again
    /// on any server has no second effect.
    fn check_rejection(&mut self, session: u8) {
        let observed = self.session(session);
        let may_have_run = observed.possible_execution.is_some();
        // Checked of rejections only: a client that sent data early is answered at once, and its dial is closed in the
        // handling of the same event.
        if observed.is_dialling() {
            self.record_violation(
                Property::NoDialAfterTheAnswer,
                format!("session {session} is refused while its dial is out"),
            );
        }
        let may_run_anywhere = matches!(
            self.retry_safety[usize::from(session)],
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey(IdempotencyScope::All, _)
        );
        if may_have_run && !may_run_anywhere {
            self.record_violation(
                Property::NoEffectTwice,
                format!("session {session} is refused though it may have run"),
            );
        }
    }

    /// A final answer is sent though the client has already been answered or has left.
    pub(crate) fn on_answer_without_client(&mut self, session: u8) {
        self.record_violation(
            Property::OneAnswerInTime,
            format!("session {session} is answered though it was, or has left"),
        );
    }

    /// The session is opened: lines are forwarded from now on. It must have a connection to its server and a client.
    pub(crate) fn on_session_opened(
        &mut self,
        session: u8,
        now: Duration,
        has_connection: bool,
        has_client: bool,
    ) {
        let observed = self.session_mut(session);
        observed.answers += u8::from(has_client);
        observed.is_open = true;
        let is_answered = observed.answers > 1;
        let is_late = observed.is_late(now);
        observed.answer_deadline = None;
        if !has_connection {
            self.record_violation(
                Property::NothingMadeUp,
                format!("session {session} is opened without a connection"),
            );
        }
        if !has_client || is_answered {
            let description =
                format!("session {session} is opened for a client that was answered or has left");
            self.record_violation(Property::OneAnswerInTime, description);
        }
        if is_late {
            self.record_violation(
                Property::OneAnswerInTime,
                format!("session {session} is opened late"),
            );
        }
    }

    /// The client has closed its side and the proxy has not noticed yet: no dial may begin and no request be sent for it any
    /// more, though a dial in progress may continue.
    pub(crate) fn on_client_left_unnoticed(&mut self, session: u8) {
        self.session_mut(session).client_left_unnoticed = true;
    }

    /// The proxy has noticed that the client closed its side.
    pub(crate) fn on_client_left(&mut self, session: u8) {
        let observed = self.session_mut(session);
        observed.client_left = true;
        observed.answer_deadline = None;
    }

    /// An open session has ended, and both of its connections are closed.
    pub(crate) fn on_session_ended(&mut self, session: u8) {
        self.session_mut(session).record_session_ended();
    }

    /// The endpoint list reports the state of a server.
    pub(crate) fn on_endpoint_change(&mut self, endpoint: &Endpoint, now: Duration) {
        if endpoint.state == EndpointState::Ready {
            self.draining.remove(&endpoint.server);
        } else {
            self.draining.entry(endpoint.server).or_insert(now);
        }
    }

    /// An event of a closed connection is delivered to this session's connection.
    pub(crate) fn on_stale_event(&mut self, session: u8) {
        let description = format!("a closed connection's word reaches session {session}");
        self.record_violation(Property::NothingMadeUp, description);
    }

    /// Records that something stays that should have been removed. `what` is written into the violation's text.
    pub(crate) fn report_left_behind(&mut self, session: u8, what: &str) {
        let description = format!("{what}, session {session}");
        self.record_violation(Property::NothingLeftBehind, description);
    }

    /// The session is removed from the session table. Its client must have been answered or have left.
    pub(crate) fn on_session_removed(&mut self, session: u8) {
        let observed = self.session(session);
        let is_unanswered = observed.answer_deadline.is_some();
        let is_dialling = observed.is_dialling();
        if is_unanswered {
            self.record_violation(
                Property::OneAnswerInTime,
                format!("session {session} is forgotten without an answer"),
            );
        }
        if is_dialling {
            self.report_left_behind(session, "a dial of a session that is forgotten");
        }
    }

    /// Checks what must hold at any time: no answer is overdue, and no dial is in progress for a client that no longer
    /// waits, unless the proxy may not cancel dials.
    pub(crate) fn check_sessions_now(&mut self, now: Duration) {
        for session in 0..self.sessions.len() as u8 {
            let observed = self.session(session);
            let is_late = observed.is_late(now);
            let has_no_client = (observed.answers > 0 || observed.client_left) && !observed.is_open;
            let should_be_cancelled =
                has_no_client && observed.is_dialling() && self.may_cancel_dials;
            if is_late {
                self.record_violation(
                    Property::OneAnswerInTime,
                    format!("session {session} has no answer in time"),
                );
            }
            if should_be_cancelled {
                let description =
                    format!("session {session} has a dial out though nobody waits for it");
                self.record_violation(Property::NoDialAfterTheAnswer, description);
            }
        }
    }
}
