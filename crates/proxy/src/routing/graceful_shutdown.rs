//! Emptying the proxy, for good or on request: carries out what `asterramp_drain` advises.

use super::{ConnectionRole, ReasonCode, Router, SessionInput, SessionState, TimerKey};
use crate::protocol::client::ERROR_LINE;
use crate::transport::SlotKey;
use asterramp_drain::{DrainError, DrainExit, DrainSettings, DrainState, DrainView, STEP};
use asterramp_placement::deployment::RetrySafety;
use asterramp_placement::event::EndpointState;
use std::time::Duration;

/// The front goes on sending clients for this long.
const SERVE_ON: Duration = Duration::from_millis(500);
/// Who does not go by itself is killed, though not before the longest wait of a client, or this, and some
/// tenths of a second more have passed.
const LONGEST: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_millis(500);
/// How long whoever was answered last has to close, at least.
const CLOSES: Duration = Duration::from_millis(100);
/// Parts of that time between which all that were open are moved: as late as it may be, since the other
/// proxies, which are to take them, may have been restarted just before, and the front is slow to see them.
const MOVING: (f64, f64) = (0.7, 1.05);
/// How old a host's report may be to tell its room, and up to what share of it that room goes.
const TELLS: Duration = Duration::from_secs(5);
const FULL: f64 = 0.85;

impl Router {
    /// Leaves for good; a drain under way becomes that.
    pub fn begin_shutdown(&mut self, now: Duration) {
        if self.drain.state() == DrainState::Exiting {
            return;
        }
        self.now = now;
        let told = Some(self.settings.longest_wait).filter(|wait| !wait.is_zero());
        let told = told.unwrap_or(LONGEST).min(LONGEST);
        // However short their wait, clients come for as long as the front sends them.
        let answered = now + told.max(SERVE_ON);
        let part = |part| now + (answered - now).mul_f64(part);
        let (moving, moved) = (part(MOVING.0), part(MOVING.1));
        let (serve_on, ends) = (
            (now + SERVE_ON).min(moving),
            (now + told + AFTER).max(answered + CLOSES),
        );
        // Another process that takes this one's place shares the address, and is to have all that come. Where none may,
        // whoever comes late is served and moved rather than reset.
        let door = if self.hot_restart.is_some() {
            now + SERVE_ON
        } else {
            answered
        };
        self.drain.exit(DrainExit {
            serve_on,
            door,
            moving,
            moved,
            answered,
            ends,
        });
        self.deadlines.set(TimerKey::Shutdown, serve_on);
        self.told_state();
    }

    /// Begins to empty the proxy for a while, or changes how.
    pub fn drain(&mut self, within: Duration, pace: Option<f64>) -> Result<(), DrainError> {
        self.drain.drain(self.now, within, pace)?;
        self.deadlines.set(TimerKey::Shutdown, self.now);
        self.told_state();
        Ok(())
    }

    pub fn undrain(&mut self) -> Result<(), DrainError> {
        self.drain.undrain(self.now)?;
        self.deadlines.clear(TimerKey::Shutdown);
        self.told_state();
        Ok(())
    }

    pub fn set_drain_settings(&mut self, terms: DrainSettings) {
        self.drain.set_terms(terms);
    }

    /// A line for each change of state.
    fn told_state(&mut self) {
        let state = self.drain.state();
        if state != self.logged_drain_state {
            self.logged_drain_state = state;
            let view = self.drain_view();
            let (pace, moved) = (self.drain.pace(&view), self.drain.moved());
            let about = format!(
                "open={} pending={} moved={moved} pace={pace:.1}",
                view.open, view.pending
            );
            self.log_event(
                ReasonCode::DrainStateChanged,
                format!("state={} {about}", state.name()),
            );
        }
    }

    fn sessions_of(&self, stage: impl Fn(SessionState) -> bool) -> Vec<SlotKey> {
        let sessions = self.session_table.sessions.iter();
        let those =
            sessions.filter(|(_, held)| stage(held.machine.state) && !held.machine.client_left);
        those
            .map(|(key, _)| key)
            .filter(|key| !self.is_session_offered(*key))
            .collect()
    }

    pub(super) fn drain_view(&self) -> DrainView {
        let client = |role| {
            matches!(
                role,
                ConnectionRole::PendingClient
                    | ConnectionRole::Client(_)
                    | ConnectionRole::Lingering { .. }
            )
        };
        DrainView {
            open: self.sessions_of(|stage| stage == SessionState::Open).len(),
            pending: self.sessions_of(|stage| stage != SessionState::Open).len(),
            clients: self
                .connections
                .iter()
                .filter(|(_, conn)| client(conn.role))
                .count(),
            last_came: self.last_arrival,
            room: self.spare_capacity(),
        }
    }

    /// Connections that warm, ready hosts can absorb by what they told of late. Who told of none that it holds
    /// is taken for one whose connections are of the mean size.
    pub(super) fn spare_capacity(&self) -> Option<f64> {
        let cold = self.settings.deployment.slow_start.warm_after;
        let warm = |started: Option<Duration>| {
            started.is_none_or(|at| self.now.saturating_sub(at) >= cold)
        };
        let told: Vec<(f64, f64)> = self
            .endpoints
            .known_endpoints()
            .filter(|host| host.state == EndpointState::Ready && warm(host.started_at))
            .filter(|host| self.now.saturating_sub(host.reported_at) <= TELLS)
            .filter_map(|host| Some((host.load.connections?, host.load.utilization?)))
            .collect();
        let (count, asked) = told
            .iter()
            .fold((0.0, 0.0), |sum, host| (sum.0 + host.0, sum.1 + host.1));
        let mean = (count >= 1.0 && asked > 0.0).then(|| asked / count)?;
        let room = |(count, asked): &(f64, f64)| {
            let unit = if *count >= 1.0 {
                (asked / count).max(mean / 4.0)
            } else {
                mean
            };
            ((FULL - asked) / unit).max(0.0)
        };
        Some(told.iter().map(room).sum())
    }

    pub(super) fn continue_shutdown(&mut self) {
        let exiting = self.drain.state() == DrainState::Exiting;
        if self.drain.shuts_door(self.now) {
            self.shut_door();
        }
        let view = self.drain_view();
        let advice = self.drain.advise(self.now, &view);
        if advice.move_now > 0 {
            let mut open = self.sessions_of(|stage| stage == SessionState::Open);
            if !exiting {
                // Whoever may run again without harm goes first.
                open.sort_by_key(|sess| self.rank(*sess));
            }
            let code = if exiting {
                ReasonCode::ShuttingDown
            } else {
                ReasonCode::Draining
            };
            open.into_iter()
                .take(advice.move_now)
                .for_each(|sess| self.migrate(sess, code));
        }
        if advice.answer {
            let pending = self.sessions_of(|stage| stage != SessionState::Open);
            let word = if exiting {
                SessionInput::ShutdownCutoff
            } else {
                SessionInput::DrainCutoff
            };
            pending.into_iter().for_each(|sess| self.input(sess, word));
        }
        if advice.answer && exiting {
            let greeting = self
                .connections
                .iter()
                .filter(|(_, conn)| conn.role == ConnectionRole::PendingClient);
            let late: Vec<SlotKey> = greeting
                .map(|(key, _)| key)
                .filter(|key| !self.is_connection_offered(*key))
                .collect();
            late.into_iter()
                .for_each(|key| self.close_gracefully(key, &[ERROR_LINE]));
        }
        if advice.exit {
            self.shut_door();
            // Who was let in this moment is answered first.
            self.done = self.drain_view().clients == 0 || advice.late;
        }
        self.told_state();
        if self.drain.state() != DrainState::Serving {
            self.deadlines.set(TimerKey::Shutdown, self.now + STEP);
        }
    }

    /// Who waits at the door has been let in by the front, and would be lost with it.
    fn shut_door(&mut self) {
        self.accept_all();
        self.close_hot_restart();
        self.listener
            .take()
            .into_iter()
            .for_each(|door| drop(self.close(door)));
        self.deadlines.clear(TimerKey::Listener);
    }

    /// Closes what is left as the process ends: texts of ours go out as far as their sockets take them, and nothing is
    /// closed over what nobody read.
    pub fn close_all(&mut self) {
        let keys: Vec<SlotKey> = self.connections.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.connections
                .get_mut(key)
                .into_iter()
                .for_each(|conn| conn.stream.flush());
            self.close(key);
        }
    }

    fn rank(&self, sess: SlotKey) -> u8 {
        let listener = self
            .session_machine(sess)
            .map(|life| usize::from(life.request.listener));
        match listener
            .and_then(|l| self.settings.deployment.listeners.get(l))
            .map(|l| l.retry_safety)
        {
            Some(RetrySafety::Idempotent) => 0,
            Some(RetrySafety::IdempotencyKey(..)) => 1,
            _ => 2,
        }
    }
}
