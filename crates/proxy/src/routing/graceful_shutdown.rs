//! Draining and shutting down: carries out on sockets what `asterramp_drain` advises.

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
use asterramp_placement::event::{EndpointState, ServerLoad};
use std::time::Duration;

/// The load balancer before this proxy goes on sending clients for this long after SIGTERM.
const FRONT_DELAY: Duration = Duration::from_millis(500);
/// A process that does not end by itself is killed, though not before the longest wait of a client, or this, and some
/// tenths of a second more have passed.
const KILL_DELAY: Duration = Duration::from_secs(3);
/// How long after the longest wait the process goes on, for what is under way.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// How long whoever was answered last has to close, at least.
const LAST_CLOSE: Duration = Duration::from_millis(100);
/// The parts of the time until the last answers at which migrating begins and ends: as late as may be, since the other
/// proxies, which are to take the sessions, may have been restarted just before, and the load balancer is slow to see
/// them.
const MIGRATION_START: f64 = 0.7;
const MIGRATION_END: f64 = 1.05;
/// How old a server's load report may be to count for its capacity.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// The utilization that migrated sessions may fill a server to.
const FULL_UTILIZATION: f64 = 0.85;
/// A server's connections count for at least the mean divided by this: what is migrated to it may be heavier than what
/// it holds.
const LIGHTEST_DIVISOR: f64 = 4.0;

/// The load of a server that has reported all of it.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    connections: f64,
    utilization: f64,
}

impl Router {
    /// Begins to leave for good; a drain under way becomes that.
    pub fn begin_shutdown(&mut self, now: Duration) {
        if self.drain.state() == DrainState::Exiting {
            return;
        }
        self.now = now;
        let exit = self.exit_times();
        let serve_on = exit.serve_until;
        self.drain.begin_shutdown(exit);
        self.deadlines.set(TimerKey::Shutdown, serve_on);
        self.log_drain_state();
    }

    /// When each step of a shutdown that begins now is due.
    fn exit_times(&self) -> ShutdownSchedule {
        let now = self.now;
        let longest_wait = match self.settings.max_client_wait {
            wait if wait.is_zero() => KILL_DELAY,
            wait => wait.min(KILL_DELAY),
        };
        // However short their wait, clients come for as long as the load balancer sends them.
        let answered = now + longest_wait.max(FRONT_DELAY);
        let part = |part| now + (answered - now).mul_f64(part);
        let moving = part(MIGRATION_START);
        // A successor shares the address, and is to have all clients that come. Where there can be none, whoever comes
        // late is served and migrated rather than reset.
        let close_listener_at = if self.hot_restart.is_some() {
            now + FRONT_DELAY
        } else {
            answered
        };
        ShutdownSchedule {
            serve_until: (now + FRONT_DELAY).min(moving),
            close_listener_at,
            migrate_from: moving,
            migrate_until: part(MIGRATION_END),
            reject_pending_at: answered,
            exit_at: (now + longest_wait + EXIT_MARGIN).max(answered + LAST_CLOSE),
        }
    }

    /// Begins to drain within so long, or changes how; `pace` is in sessions a second.
    ///
    /// # Errors
    ///
    /// If the drain's state or settings do not allow it.
    pub fn drain(&mut self, within: Duration, pace: Option<f64>) -> Result<(), DrainError> {
        self.drain.start(self.now, within, pace)?;
        self.deadlines.set(TimerKey::Shutdown, self.now);
        self.log_drain_state();
        Ok(())
    }

    /// Ends a drain; the proxy serves on.
    ///
    /// # Errors
    ///
    /// If the drain's state does not allow it.
    pub fn undrain(&mut self) -> Result<(), DrainError> {
        self.drain.cancel(self.now)?;
        self.deadlines.clear(TimerKey::Shutdown);
        self.log_drain_state();
        Ok(())
    }

    /// Changes how drains go from now on.
    pub fn set_drain_settings(&mut self, settings: DrainSettings) {
        self.drain.set_settings(settings);
    }

    /// Logs a line for each change of the drain's state.
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

    /// The sessions in a state whose client is there and that are not offered to another process.
    fn sessions_with_client(&self, is_wanted: impl Fn(SessionState) -> bool) -> Vec<SlotKey> {
        self.session_table
            .sessions
            .iter()
            .filter(|(_, slot)| is_wanted(slot.machine.state) && !slot.machine.client_left)
            .map(|(key, _)| key)
            .filter(|key| !self.is_session_offered(*key))
            .collect()
    }

    /// What the drain goes by now.
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

    /// Connections that warm, ready servers can absorb by their load reports of late; `None` where the reports do not
    /// say. A server that holds none is taken for one whose connections are of the mean size.
    pub(super) fn spare_capacity(&self) -> Option<f64> {
        let reports = self.recent_loads();
        let (connections, utilization) = reports.iter().fold((0.0, 0.0), |sum, report| {
            (sum.0 + report.connections, sum.1 + report.utilization)
        });
        let mean = (connections >= 1.0 && utilization > 0.0).then(|| utilization / connections)?;
        let spare = reports.iter().map(|report| report.spare_connections(mean));
        Some(spare.sum())
    }

    /// What warm, ready servers have reported of late.
    fn recent_loads(&self) -> Vec<ReportedLoad> {
        let warm_after = self.settings.deployment.slow_start.warm_after;
        let is_warm = |started: Option<Duration>| {
            started.is_none_or(|at| self.now.saturating_sub(at) >= warm_after)
        };
        self.endpoints
            .known_endpoints()
            .filter(|host| host.state == EndpointState::Ready && is_warm(host.started_at))
            .filter(|host| self.now.saturating_sub(host.reported_at) <= LOAD_REPORT_MAX_AGE)
            .filter_map(|host| ReportedLoad::of(host.load))
            .collect()
    }

    /// Takes the next step of a drain or shutdown.
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
            self.answer_pending_sessions(exiting);
        }
        if advice.reject_pending && exiting {
            self.answer_pending_clients();
        }
        if advice.exit {
            self.close_listener();
            // Whoever was let in this moment is answered first.
            self.done = self.drain_view().client_connections == 0 || advice.drop_remaining;
        }
        self.log_drain_state();
        if self.drain.state() != DrainState::Serving {
            self.deadlines
                .set(TimerKey::Shutdown, self.now + ADVICE_INTERVAL);
        }
    }

    /// Migrates so many open sessions; a drain, which has time, begins with those that may run again without harm.
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

    /// Gives every session that is not open its final answer.
    fn answer_pending_sessions(&mut self, exiting: bool) {
        let cutoff = if exiting {
            SessionInput::ShutdownCutoff
        } else {
            SessionInput::DrainCutoff
        };
        for session in self.pending_sessions() {
            self.handle_session_input(session, cutoff);
        }
    }

    /// Fails every client that has not said yet what it wants.
    fn answer_pending_clients(&mut self) {
        let pending: Vec<SlotKey> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.role == ConnectionRole::PendingClient)
            .map(|(key, _)| key)
            .filter(|key| !self.is_connection_offered(*key))
            .collect();
        for key in pending {
            self.close_gracefully(key, &[ERROR_LINE]);
        }
    }

    /// Closes the listener; whoever waits there has been sent by the load balancer, and would be lost with it.
    fn close_listener(&mut self) {
        self.accept_all();
        self.close_hot_restart();
        if let Some(listener) = self.listener.take() {
            self.close(listener);
        }
        self.deadlines.clear(TimerKey::Listener);
    }

    /// Closes what is left as the process ends: the router's own texts go out as far as their sockets take them.
    pub fn close_all(&mut self) {
        let keys: Vec<SlotKey> = self.connections.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(connection) = self.connections.get_mut(key) {
                connection.stream.flush();
            }
            self.close(key);
        }
    }

    /// How much harm it may do to run a session's request again, from 0.
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

impl ReportedLoad {
    /// `None` unless both figures are reported.
    fn of(load: ServerLoad) -> Option<ReportedLoad> {
        Some(ReportedLoad {
            connections: load.connections?,
            utilization: load.utilization?,
        })
    }

    /// How many connections more fill the server, where one is of its own mean size or, if it has none, of `mean`.
    fn spare_connections(self, mean: f64) -> f64 {
        let per_connection = if self.connections >= 1.0 {
            (self.utilization / self.connections).max(mean / LIGHTEST_DIVISOR)
        } else {
            mean
        };
        ((FULL_UTILIZATION - self.utilization) / per_connection).max(0.0)
    }
}
