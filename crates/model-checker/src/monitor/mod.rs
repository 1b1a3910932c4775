//! Checks the properties on each event that clients and servers see. It knows nothing of how the code decides.

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

/// The zone of a server that is not known.
const UNKNOWN_ZONE: u8 = u8::MAX;

/// Watches over a world. The first violation of an action is kept until [`Monitor::take_violation`].
#[derive(Clone, Debug)]
pub(crate) struct Monitor {
    /// What is known of each session's idempotency.
    retry_safety: &'static [RetrySafety],
    max_dials: u32,
    may_cancel_dials: bool,
    slow_start: SlowStartRule,
    sessions: Vec<ObservedSession>,
    /// Servers that are reported to take nothing new, and since when.
    draining: BTreeMap<ServerId, Duration>,
    /// Dials to servers while they were warming up, for each of their starts.
    warm_up_dials: BTreeMap<(ServerId, Duration), u32>,
    violation: Option<Violation>,
}

impl Monitor {
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

    /// The first violation since the last call.
    pub(crate) fn take_violation(&mut self) -> Result<(), Violation> {
        self.violation.take().map_or(Ok(()), Err)
    }

    fn violate(&mut self, property: Property, description: String) {
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

    /// The proxy dials `server`; `model` is what is true of that server, `None` if there is no such server.
    pub(crate) fn on_dial(
        &mut self,
        session: u8,
        now: Duration,
        server: ServerId,
        model: Option<&ServerModel>,
    ) {
        let zone = model.map_or(UNKNOWN_ZONE, |model| model.zone);
        self.check_dial_is_due(session);
        self.check_server_accepts_dials(session, server, model.is_some());
        self.check_runs_once(session, now, zone);
        if let Some(started_at) = model.and_then(|model| model.started_at) {
            self.check_slow_start(server, started_at, now);
        }
        self.session_mut(session).begin_dial(now, zone);
    }

    /// No dial but this one, for a client that waits, and one of those allowed.
    fn check_dial_is_due(&mut self, session: u8) {
        let max_dials = self.max_dials;
        let observed = self.session(session);
        let is_dialling = observed.is_dialling();
        let is_awaited = observed.answer_deadline.is_some() && !observed.client_gone;
        let dials = observed.dials + 1;
        if is_dialling {
            self.violate(
                Property::NeverTwoDials,
                format!("session {session} dials while another dial is out"),
            );
        }
        if !is_awaited {
            self.violate(
                Property::NoDialAfterTheAnswer,
                format!("session {session} dials though nobody waits for it"),
            );
        }
        if dials > max_dials {
            self.violate(
                Property::DialsBounded,
                format!("session {session} dials {dials} times of {max_dials}"),
            );
        }
    }

    fn check_server_accepts_dials(&mut self, session: u8, server: ServerId, exists: bool) {
        if self.draining.contains_key(&server) || !exists {
            self.violate(
                Property::DrainsKept,
                format!("session {session} dials host {server}, told to take nothing"),
            );
        }
    }

    /// What an earlier dial may have run is not run again, unless that has no second effect.
    fn check_runs_once(&mut self, session: u8, now: Duration, zone: u8) {
        let Some(run) = self.session(session).possible_run else {
            return;
        };
        let may_run_twice = match self.retry_safety[usize::from(session)] {
            RetrySafety::Idempotent => false,
            RetrySafety::NotIdempotent => true,
            RetrySafety::IdempotencyKey(scope, lifetime) => {
                let is_expired = now >= run.begun_at + lifetime;
                let is_out_of_scope = scope != IdempotencyScope::All && zone != run.zone;
                is_expired || is_out_of_scope
            }
        };
        if may_run_twice {
            self.violate(
                Property::NoEffectTwice,
                format!("session {session} dials again though it may have run"),
            );
        }
    }

    /// Counts a dial to a server that is warming up, against its budget.
    fn check_slow_start(&mut self, server: ServerId, started_at: Duration, now: Duration) {
        if now >= started_at + self.slow_start.warm_after {
            return;
        }
        let dials = self.warm_up_dials.entry((server, started_at)).or_default();
        *dials += 1;
        if f64::from(*dials) > dial_budget(&self.slow_start, now - started_at) {
            self.violate(
                Property::ColdSpared,
                format!("cold host {server} is dialled past its budget"),
            );
        }
    }

    /// The proxy begins to write the request; `wait` is how long the server is told that it may take.
    pub(crate) fn on_request_sent(&mut self, session: u8, now: Duration, wait: Option<Duration>) {
        let observed = self.session(session);
        let has_no_client = observed.client_gone || observed.client_left;
        let outlasts_client = wait.is_some_and(|wait| observed.is_late(now + wait));
        if has_no_client {
            let description =
                format!("session {session} has its line sent though its client has gone");
            self.violate(Property::NoDialAfterTheAnswer, description);
        }
        if outlasts_client {
            let description =
                format!("session {session} tells its host to take longer than its client waits");
            self.violate(Property::OneAnswerInTime, description);
        }
    }

    /// The request's last byte is at the server.
    pub(crate) fn on_request_written(&mut self, session: u8) {
        self.session_mut(session).request_written();
    }

    /// The server said that it was full, which proves that the current dial has not run.
    pub(crate) fn on_server_busy(&mut self, session: u8) {
        self.session_mut(session).current_dial_never_ran();
    }

    /// A connection to a server is closed.
    pub(crate) fn on_connection_closed(&mut self, session: u8) {
        self.session_mut(session).connection_closed();
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
            self.violate(
                Property::OneAnswerInTime,
                format!("session {session} is answered late"),
            );
        }
        if is_rejected {
            self.check_rejection(session);
        }
    }

    /// A rejected session has no dial, and none that may have run.
    fn check_rejection(&mut self, session: u8) {
        let observed = self.session(session);
        let may_have_run = observed.possible_run.is_some();
        // A client that spoke is answered at once, and its dial closed in the same turn.
        if observed.is_dialling() {
            self.violate(
                Property::NoDialAfterTheAnswer,
                format!("session {session} is refused while its dial is out"),
            );
        }
        let may_run_anywhere = matches!(
            self.retry_safety[usize::from(session)],
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey(IdempotencyScope::All, _)
        );
        if may_have_run && !may_run_anywhere {
            self.violate(
                Property::NoEffectTwice,
                format!("session {session} is refused though it may have run"),
            );
        }
    }

    /// A final answer is sent for which there is no client.
    pub(crate) fn on_answer_without_client(&mut self, session: u8) {
        self.violate(
            Property::OneAnswerInTime,
            format!("session {session} is answered though it was, or has left"),
        );
    }

    /// The session is opened: lines are forwarded from now on, if it `has_connection` and `has_client`.
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
            self.violate(
                Property::NothingMadeUp,
                format!("session {session} is opened without a connection"),
            );
        }
        if !has_client || is_answered {
            let description =
                format!("session {session} is opened for a client that was answered or has left");
            self.violate(Property::OneAnswerInTime, description);
        }
        if is_late {
            self.violate(
                Property::OneAnswerInTime,
                format!("session {session} is opened late"),
            );
        }
    }

    /// The client has closed its side, unnoticed so far: nothing may be begun for it any more, though a dial that is
    /// under way may go on.
    pub(crate) fn on_client_left_unnoticed(&mut self, session: u8) {
        self.session_mut(session).client_gone = true;
    }

    /// The proxy has noticed that the client closed its side.
    pub(crate) fn on_client_left(&mut self, session: u8) {
        let observed = self.session_mut(session);
        observed.client_left = true;
        observed.answer_deadline = None;
    }

    /// An open session has ended, both of its connections with it.
    pub(crate) fn on_session_ended(&mut self, session: u8) {
        self.session_mut(session).session_ended();
    }

    /// The endpoint list reports the state of a server.
    pub(crate) fn on_endpoint_change(&mut self, endpoint: &Endpoint, now: Duration) {
        if endpoint.state == EndpointState::Ready {
            self.draining.remove(&endpoint.server);
        } else {
            self.draining.entry(endpoint.server).or_insert(now);
        }
    }

    /// An event of a closed connection is taken for one of this session's connection.
    pub(crate) fn on_stale_event(&mut self, session: u8) {
        let description = format!("a closed connection's word reaches session {session}");
        self.violate(Property::NothingMadeUp, description);
    }

    /// Something stays that should have been removed.
    pub(crate) fn report_left_behind(&mut self, session: u8, what: &str) {
        let description = format!("{what}, session {session}");
        self.violate(Property::NothingLeftBehind, description);
    }

    /// The proxy forgets the session, whose client must have been answered or have left.
    pub(crate) fn on_session_forgotten(&mut self, session: u8) {
        let observed = self.session(session);
        let is_unanswered = observed.answer_deadline.is_some();
        let is_dialling = observed.is_dialling();
        if is_unanswered {
            self.violate(
                Property::OneAnswerInTime,
                format!("session {session} is forgotten without an answer"),
            );
        }
        if is_dialling {
            self.report_left_behind(session, "a dial of a session that is forgotten");
        }
    }

    /// What has to hold at each moment: every answer came in time, and no dial is under way for a client that does not
    /// wait.
    pub(crate) fn check_sessions_now(&mut self, now: Duration) {
        for session in 0..self.sessions.len() as u8 {
            let observed = self.session(session);
            let is_late = observed.is_late(now);
            let has_no_client = (observed.answers > 0 || observed.client_left) && !observed.is_open;
            let should_be_cancelled =
                has_no_client && observed.is_dialling() && self.may_cancel_dials;
            if is_late {
                self.violate(
                    Property::OneAnswerInTime,
                    format!("session {session} has no answer in time"),
                );
            }
            if should_be_cancelled {
                let description =
                    format!("session {session} has a dial out though nobody waits for it");
                self.violate(Property::NoDialAfterTheAnswer, description);
            }
        }
    }
}
