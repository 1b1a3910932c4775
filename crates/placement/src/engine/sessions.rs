//! The life cycle of sessions: runs their state machine and applies its effects.

use super::{PlacementEngine, grow_to_hold};
use crate::action::PlacementAction;
use crate::event::{ServerId, SessionId, SessionRequest};
use crate::session::{Session, SessionEffect, SessionInput, SessionState};
use std::time::Duration;

/// Time before a session's answer deadline by which it stops waiting for probes, so that an attempt still fits.
const ATTEMPT_RESERVE: Duration = Duration::from_millis(200);

impl PlacementEngine {
    /// Starts to place a requested session.
    pub(super) fn accept_session(
        &mut self,
        request: SessionRequest,
        out: &mut Vec<PlacementAction>,
    ) {
        self.retry_budget.record_session(self.now);
        if let Some(session) = self.new_session(request, ServerId::default()) {
            let zone_draw = self.random.next_unit();
            let ranked_servers = self.rank_servers(&request);
            self.sessions[request.session as usize] = Session {
                state: SessionState::Selecting,
                ranked_servers,
                zone_draw,
                ..session
            };
            self.handle_session_input(request.session, SessionInput::Requested, out);
        }
    }

    /// Adds a session that was already open at the server when this process started.
    pub(super) fn inherit_session(
        &mut self,
        request: SessionRequest,
        server: ServerId,
        out: &mut Vec<PlacementAction>,
    ) {
        if let Some(session) = self.new_session(request, server) {
            let zone_draw = self.random.next_unit();
            self.sessions[request.session as usize] = Session {
                state: SessionState::Dialing,
                attempts: 1,
                zone_draw,
                ..session
            };
            self.handle_session_input(request.session, SessionInput::Opened, out);
        }
    }

    /// The session of a request; `None` where its listener is unknown or its id is in use.
    fn new_session(&mut self, request: SessionRequest, server: ServerId) -> Option<Session> {
        let index = request.session as usize;
        grow_to_hold(&mut self.sessions, index);
        let listeners = &self.deployment.listeners;
        let listener = listeners.get(usize::from(request.listener))?;
        if self.sessions[index].state != SessionState::Over {
            return None;
        }
        grow_to_hold(&mut self.servers, server as usize);
        let half_target_at = self.now + listener.handshake_target / 2;
        Some(Session {
            request,
            server,
            dialed_at: self.now,
            probe_deadline: half_target_at
                .min(request.answer_deadline.saturating_sub(ATTEMPT_RESERVE)),
            ..Session::default()
        })
    }

    /// Like [`Self::handle_session_input`], but ignores the input unless it is about the session's latest attempt.
    pub(super) fn handle_attempt_input(
        &mut self,
        session: SessionId,
        attempt: u8,
        input: SessionInput,
        out: &mut Vec<PlacementAction>,
    ) {
        if self.is_latest_attempt(session, attempt) {
            self.handle_session_input(session, input, out);
        }
    }

    pub(super) fn is_latest_attempt(&self, session: SessionId, attempt: u8) -> bool {
        self.sessions
            .get(session as usize)
            .is_some_and(|session| u32::from(attempt) + 1 == session.attempts)
    }

    /// Runs the session's state machine until an effect yields no further input. An input that the current state does
    /// not accept, or an unknown id, is ignored.
    pub(super) fn handle_session_input(
        &mut self,
        id: SessionId,
        input: SessionInput,
        out: &mut Vec<PlacementAction>,
    ) {
        if id as usize >= self.sessions.len() {
            return;
        }
        let mut next_input = Some(input);
        while let Some(input) = next_input {
            let session = self.session_mut(id);
            let Some(effect) = session.transition(input) else {
                return;
            };
            let is_over = session.state == SessionState::Over;
            next_input = self.apply_effect(id, effect, out);
            if is_over {
                out.push(PlacementAction::ReleaseSession { session: id });
            }
        }
    }

    /// Applies an effect; returns the input that follows from it, if any.
    fn apply_effect(
        &mut self,
        id: SessionId,
        effect: SessionEffect,
        out: &mut Vec<PlacementAction>,
    ) -> Option<SessionInput> {
        match effect {
            SessionEffect::Nothing => {}
            SessionEffect::SelectServer => return Some(self.select_and_dial(id, out)),
            SessionEffect::SendFinalAnswer => self.send_final_answer(id, out),
            SessionEffect::RecordOpened => self.record_opened(id),
            SessionEffect::CancelAttempt => self.cancel_attempt(id, out),
            SessionEffect::ReleaseConnection => self.release_connection(id),
        }
        None
    }

    fn send_final_answer(&mut self, id: SessionId, out: &mut Vec<PlacementAction>) {
        let timed_out = self.now >= self.session(id).request.answer_deadline;
        if timed_out || self.pacing.is_active() {
            self.pace_after_failure(id);
        }
        out.push(self.final_answer(id));
    }

    fn record_opened(&mut self, id: SessionId) {
        let now = self.now;
        let session = self.session(id);
        let setup_time = now.saturating_sub(session.dialed_at);
        let server_id = session.server;
        let group = session.request.group;
        let was_slow = setup_time > self.half_handshake_target(id);
        self.pacing.record_opened(now, was_slow);
        self.setup_time = (self.setup_time * 7 + setup_time) / 8;
        let server = self.server_mut(server_id);
        server.open_connections += 1;
        server.ejection.record_success();
        server.load.reset_to_report(now);
        self.groups.add(group, server_id);
    }

    fn cancel_attempt(&mut self, id: SessionId, out: &mut Vec<PlacementAction>) {
        self.revert_dial(id);
        if self.deployment.may_cancel {
            out.push(PlacementAction::Cancel {
                session: id,
                attempt: self.session(id).attempt_number(),
            });
        }
    }

    fn release_connection(&mut self, id: SessionId) {
        let now = self.now;
        let session = self.session(id);
        let server_id = session.server;
        let group = session.request.group;
        let server = self.server_mut(server_id);
        server.open_connections = server.open_connections.saturating_sub(1);
        server.load.record_completion(now);
        self.groups.remove(group, server_id);
    }

    /// Reports the session's failure to session pacing, which slows down new sessions if others fail too.
    pub(super) fn pace_after_failure(&mut self, id: SessionId) {
        let session = &self.sessions[id as usize];
        self.pacing
            .record_failure(session, self.now, &mut self.random);
    }
}
