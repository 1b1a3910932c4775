//! Drain and graceful shutdown: carries out on sockets what `asterramp_drain` advises.

use super::Router;
use super::events::ReasonCode;
use super::session_state::{SessionInput, SessionState};
use super::types::{ConnectionRole, TimerKey};
use crate::protocol::client::ERROR_LINE;
use crate::transport::SlotKey;
use asterramp_drain::{
    ADVICE_INTERVAL, DrainError, DrainSettings, DrainState, DrainView, ShutdownSchedule,
};
use asterramp_placement::deployment::RetrySafety;
use std::time::Duration;

/// How long the load balancer in front of this proxy keeps sending new clients after SIGTERM.
const FRONT_REMOVAL_DELAY: Duration = Duration::from_millis(500);
/// Longest client wait that a shutdown allows for; also used where no setting gives a wait. A process that has not
/// ended some tenths of a second after the client wait, limited to this, is killed by the platform.
const MAX_SHUTDOWN_WAIT: Duration = Duration::from_secs(3);
/// How long the process runs beyond the longest client wait, to complete work in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Least time that the clients answered last have to close their connections before the process exits.
const LAST_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// When a shutdown begins to migrate sessions, as a fraction of the time until pending sessions are rejected. As late
/// as possible, since the other proxies, which are to take the sessions, may have been restarted just before, and the
/// load balancer is slow to notice them.
const MIGRATION_START_FRACTION: f64 = 0.7;
/// When a shutdown is to have migrated all sessions, as a fraction of the time until pending sessions are rejected.
const MIGRATION_END_FRACTION: f64 = 1.05;
impl Router {
    /// Begins a graceful shutdown, which cannot be cancelled and replaces a drain in progress, but keeps its deadline if
    /// that is earlier. Has no effect if a shutdown is in progress.
    pub fn begin_shutdown(&mut self, now: Duration) {
        if self.drain.state() == DrainState::Exiting {
            return;
        }
        self.now = now;
        let schedule = self.shutdown_schedule();
        let first_step = match self.drain.state() {
            DrainState::Serving => schedule.serve_until,
            _ => now,
        };
        self.drain.begin_shutdown(schedule);
        self.deadlines.set(TimerKey::Shutdown, first_step);
        self.log_drain_state();
    }

    /// When each step of a shutdown that begins now is due.
    fn shutdown_schedule(&self) -> ShutdownSchedule {
        let now = self.now;
        let longest_wait = match self.settings.max_client_wait {
            wait if wait.is_zero() => MAX_SHUTDOWN_WAIT,
            wait => wait.min(MAX_SHUTDOWN_WAIT),
        };
        // However short their wait, clients arrive for as long as the load balancer sends them.
        let reject_pending_at = now + longest_wait.max(FRONT_REMOVAL_DELAY);
        let at_fraction = |fraction| now + (reject_pending_at - now).mul_f64(fraction);
        let migrate_from = at_fraction(MIGRATION_START_FRACTION);
        // A successor shares the address and should accept all further clients. Without hot restart there is no
        // successor, so late clients are served and migrated rather than reset.
        let close_listener_at = if self.hot_restart.is_some() {
            now + FRONT_REMOVAL_DELAY
        } else {
            reject_pending_at
        };
        ShutdownSchedule {
            serve_until: (now + FRONT_REMOVAL_DELAY).min(migrate_from),
            close_listener_at,
            migrate_from,
            migrate_until: at_fraction(MIGRATION_END_FRACTION),
            reject_pending_at,
            exit_at: (now + longest_wait + EXIT_MARGIN).max(reject_pending_at + LAST_CLOSE_TIMEOUT),
        }
    }

    /// Starts a drain that is to end within `within`, or changes the deadline and rate of the drain in progress, whose
    /// binding deadline is kept.
    /// `requested_rate` is in sessions migrated per second; `None` derives it from the servers' spare capacity.
    ///
    /// # Errors
    ///
    /// If the proxy is shutting down.
    pub fn drain(
        &mut self,
        within: Duration,
        requested_rate: Option<f64>,
    ) -> Result<(), DrainError> {
        self.drain.start(self.now, within, requested_rate)?;
        self.follow_drain();
        Ok(())
    }

    /// Starts a drain that is to end within `within`, or sooner if the drain in progress does. No other request sets a
    /// later deadline before the drain is cancelled.
    ///
    /// # Errors
    ///
    /// If the proxy is shutting down.
    pub(super) fn drain_with_binding_deadline(
        &mut self,
        within: Duration,
    ) -> Result<(), DrainError> {
        self.drain.start_binding(self.now, within)?;
        self.follow_drain();
        Ok(())
    }

    fn follow_drain(&mut self) {
        self.deadlines.set(TimerKey::Shutdown, self.now);
        self.log_drain_state();
    }

    /// Cancels a drain; the proxy serves normally again.
    ///
    /// # Errors
    ///
    /// If no drain is in progress, or the proxy is shutting down.
    pub fn undrain(&mut self) -> Result<(), DrainError> {
        self.drain.cancel(self.now)?;
        self.deadlines.clear(TimerKey::Shutdown);
        self.log_drain_state();
        Ok(())
    }

    /// Replaces the settings of drains; they apply to a drain in progress, too.
    pub fn set_drain_settings(&mut self, settings: DrainSettings) {
        self.drain.set_settings(settings);
    }

    /// Logs the drain's state if it has changed since it was last logged.
    fn log_drain_state(&mut self) {
        let state = self.drain.state();
        if state == self.logged_drain_state {
            return;
        }
        self.logged_drain_state = state;
        let view = self.drain_view();
        let about = format!(
            "state={} open={} pending={} moved={} pace={:.1}",
            state.name(),
            view.open_sessions,
            view.pending_sessions,
            self.drain.migrated_sessions(),
            self.drain.migrations_per_second(&view)
        );
        self.log_event(ReasonCode::DrainStateChanged, about);
    }

    fn open_sessions(&self) -> Vec<SlotKey> {
        self.sessions_with_client(|state| state == SessionState::Open)
    }

    fn pending_sessions(&self) -> Vec<SlotKey> {
        self.sessions_with_client(|state| state != SessionState::Open)
    }

    /// Sessions in a wanted state whose client is connected and that are not offered to a successor.
    fn sessions_with_client(&self, is_wanted: impl Fn(SessionState) -> bool) -> Vec<SlotKey> {
        self.session_table
            .sessions
            .iter()
            .filter(|(_, slot)| is_wanted(slot.machine.state) && !slot.machine.client_left)
            .map(|(key, _)| key)
            .filter(|key| !self.is_session_offered(*key))
            .collect()
    }

    /// The counts that the drain's advice is based on, as of now.
    pub(super) fn drain_view(&self) -> DrainView {
        let is_client = |role| {
            matches!(
                role,
                ConnectionRole::PendingClient
                    | ConnectionRole::Client(_)
                    | ConnectionRole::Lingering { .. }
            )
        };
        DrainView {
            open_sessions: self.open_sessions().len(),
            pending_sessions: self.pending_sessions().len(),
            client_connections: self
                .connections
                .iter()
                .filter(|(_, connection)| is_client(connection.role))
                .count(),
            last_session_arrival: self.last_arrival,
            spare_capacity: self.spare_capacity(),
        }
    }

    /// Carries out the next step of a drain or shutdown.
    pub(super) fn continue_shutdown(&mut self) {
        let exiting = self.drain.state() == DrainState::Exiting;
        if self.drain.closes_listener(self.now) {
            self.close_listener();
        }
        let view = self.drain_view();
        let advice = self.drain.advise(self.now, &view);
        if advice.sessions_to_migrate > 0 {
            self.migrate_sessions(advice.sessions_to_migrate, exiting);
        }
        if advice.reject_pending {
            self.reject_pending_sessions(exiting);
        }
        if advice.reject_pending && exiting {
            self.reject_pending_clients();
        }
        if advice.exit {
            self.close_listener();
            // Clients accepted while the listener closed are answered first.
            self.done = self.drain_view().client_connections == 0 || advice.drop_remaining;
        }
        self.log_drain_state();
        if self.drain.state() != DrainState::Serving {
            self.deadlines
                .set(TimerKey::Shutdown, self.now + ADVICE_INTERVAL);
        }
    }

    /// Migrates up to `count` open sessions. A drain, which has more time than a shutdown, begins with those whose
    /// request is the safest to run again.
    fn migrate_sessions(&mut self, count: usize, exiting: bool) {
        let mut open = self.open_sessions();
        let code = if exiting {
            ReasonCode::ShuttingDown
        } else {
            open.sort_by_key(|session| self.retry_risk(*session));
            ReasonCode::Draining
        };
        for session in open.into_iter().take(count) {
            self.migrate(session, code);
        }
    }

    /// Ends every session that is not open yet with a final answer to its client.
    fn reject_pending_sessions(&mut self, exiting: bool) {
        let cutoff = if exiting {
            SessionInput::ShutdownCutoff
        } else {
            SessionInput::DrainCutoff
        };
        for session in self.pending_sessions() {
            self.handle_session_input(session, cutoff);
        }
    }

    /// Sends an error to every client whose first line is not complete yet, and closes its connection.
    fn reject_pending_clients(&mut self) {
        let mut pending = self.pending_clients();
        pending.retain(|key| !self.is_connection_offered(*key));
        for key in pending {
            self.close_gracefully(key, &[ERROR_LINE]);
        }
    }

    /// Closes the listener. The connections in its backlog are accepted first, since closing would reset them. Nothing
    /// that may block, such as removing the file of the hot restart socket, stands between the two.
    fn close_listener(&mut self) {
        self.close_hot_restart();
        self.accept_all();
        if let Some(listener) = self.listener.take() {
            self.close(listener);
        }
        self.deadlines.clear(TimerKey::Listener);
    }

    /// Closes all connections as the process ends. Buffered output is written as far as the sockets accept it.
    pub fn close_all(&mut self) {
        let keys: Vec<SlotKey> = self.connections.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(connection) = self.connections.get_mut(key) {
                connection.stream.flush();
            }
            self.close(key);
        }
    }

    /// Rank of a session by how harmful it may be to run its request again: 0 for an idempotent request, 1 for one
    /// with an idempotency key, 2 for any other.
    fn retry_risk(&self, session: SlotKey) -> u8 {
        let retry_safety = self
            .session_machine(session)
            .and_then(|machine| {
                let listener = usize::from(machine.request.listener);
                self.settings.deployment.listeners.get(listener)
            })
            .map(|listener| listener.retry_safety);
        match retry_safety {
            Some(RetrySafety::Idempotent) => 0,
            Some(RetrySafety::IdempotencyKey(..)) => 1,
            _ => 2,
        }
    }
}
