//! The drain itself: requests, and advice by state.

use crate::pacing::{MigrationBudget, RequiredRate, migration_rate, predicted_duration};
use crate::{
    ADVICE_INTERVAL, DrainEffect, DrainError, DrainInput, DrainSettings, DrainState,
    ShutdownSchedule, Transition,
};
use std::time::Duration;

/// The closing of a drain may take this part of the time to its deadline: a short drain has no time for a slow front.
const MAX_CLOSING_PART: u32 = 8;

/// What there is when advice is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DrainView {
    /// Open sessions, which may be migrated.
    pub open_sessions: usize,
    /// Sessions that are being set up.
    pub pending_sessions: usize,
    /// Connections of clients in any state, those being closed among them.
    pub client_connections: usize,
    /// When a session last arrived.
    pub last_session_arrival: Duration,
    /// Sessions that endpoints can absorb now by their load reports; `None` where none has reported.
    pub spare_capacity: Option<f64>,
}

/// What to do now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainAdvice {
    /// Sessions to migrate.
    pub sessions_to_migrate: usize,
    /// Reject the sessions that are still being set up.
    pub reject_pending: bool,
    /// Close the listener and end the process.
    pub exit: bool,
    /// End it whoever is left.
    pub drop_remaining: bool,
}

/// A proxy's drain.
#[derive(Clone, Debug)]
pub struct Drain {
    state: DrainState,
    settings: DrainSettings,
    began_at: Duration,
    deadline: Duration,
    /// Sessions per second, as the operator asked.
    requested_rate: Option<f64>,
    shutdown: Option<ShutdownSchedule>,
    budget: MigrationBudget,
    migrated: u64,
    /// Whether advice to reject pending sessions was given since the last request.
    rejected_pending: bool,
    /// Since when the proxy serves again after a drain.
    resumed_at: Option<Duration>,
}

impl Drain {
    /// A proxy that serves.
    pub fn new(settings: DrainSettings) -> Drain {
        Drain {
            state: DrainState::Serving,
            settings,
            began_at: Duration::ZERO,
            deadline: Duration::ZERO,
            requested_rate: None,
            shutdown: None,
            budget: MigrationBudget::default(),
            migrated: 0,
            rejected_pending: false,
            resumed_at: None,
        }
    }

    /// Where the drain stands.
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Replaces the settings; a drain in progress goes on by the new ones.
    pub fn set_settings(&mut self, settings: DrainSettings) {
        self.settings = settings;
    }

    /// Whether the front's pings are answered, so that it sends sessions.
    pub fn answers_pings(&self) -> bool {
        self.state == DrainState::Serving
    }

    /// Whether a shutdown has come so far that the listener is closed.
    pub fn closes_listener(&self, now: Duration) -> bool {
        let is_time = |schedule: ShutdownSchedule| now >= schedule.close_listener_at;
        self.shutdown.is_some_and(is_time)
    }

    /// Sessions migrated since the last drain began.
    pub fn migrated_sessions(&self) -> u64 {
        self.migrated
    }

    /// Time to the deadline; `None` unless a drain is in progress.
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        match self.state {
            DrainState::Serving | DrainState::Exiting => None,
            _ => Some(self.deadline.saturating_sub(now)),
        }
    }

    /// Whether the proxy serves and has done so for long enough that another one may be drained.
    pub fn allows_next_drain(&self, now: Duration) -> bool {
        let long_enough = self.resumed_at.is_none_or(|resumed_at| {
            now.saturating_sub(resumed_at) >= self.settings.time_before_next_drain
        });
        self.state == DrainState::Serving && long_enough
    }

    /// Starts to empty the proxy within a time, or changes deadline and rate of the drain in progress. The rate is in
    /// sessions per second; without one it follows from the endpoints' spare capacity.
    ///
    /// # Errors
    ///
    /// [`DrainError::Exiting`] if the proxy is shutting down.
    pub fn start(
        &mut self,
        now: Duration,
        within: Duration,
        requested_rate: Option<f64>,
    ) -> Result<(), DrainError> {
        self.apply(now, DrainInput::DrainRequested)?;
        self.deadline = now + within;
        self.requested_rate = requested_rate;
        self.rejected_pending = false;
        Ok(())
    }

    /// Cancels the drain: the proxy serves again.
    ///
    /// # Errors
    ///
    /// [`DrainError::Exiting`] if the proxy is shutting down, [`DrainError::NotDraining`] if no drain is in progress.
    pub fn cancel(&mut self, now: Duration) -> Result<(), DrainError> {
        self.apply(now, DrainInput::UndrainRequested)
    }

    /// Begins to shut down; a drain in progress ends. Once begun, a shutdown keeps its first schedule.
    pub fn begin_shutdown(&mut self, schedule: ShutdownSchedule) {
        let input = DrainInput::ShutdownRequested;
        if Transition::find(self.state, input).is_some() {
            self.shutdown = Some(schedule);
            self.change_state(input);
        }
    }

    /// Sessions that are migrated per second now.
    pub fn migrations_per_second(&self, view: &DrainView) -> f64 {
        migration_rate(self.requested_rate, view.spare_capacity, &self.settings)
    }

    /// Time until the proxy is expected to be empty at this rate, its deadline at the latest; `None` unless there is
    /// something to migrate in a drain.
    pub fn expected_time_left(&self, now: Duration, view: &DrainView) -> Option<Duration> {
        match self.state {
            DrainState::Closing | DrainState::Migrating | DrainState::Late => {
                let predicted =
                    predicted_duration(view.open_sessions, self.migrations_per_second(view));
                Some(predicted.min(self.deadline.saturating_sub(now)))
            }
            DrainState::Serving | DrainState::Empty | DrainState::Exiting => None,
        }
    }

    /// What to do now. Asked for at each [`ADVICE_INTERVAL`], and at once after a request.
    pub fn advise(&mut self, now: Duration, view: &DrainView) -> DrainAdvice {
        match (self.state, self.shutdown) {
            (DrainState::Exiting, Some(schedule)) => self.advise_shutdown(now, view, &schedule),
            (DrainState::Closing, _) => {
                if !self.front_has_stopped(now, view) {
                    return DrainAdvice::default();
                }
                self.change_state(DrainInput::NewSessionsStopped);
                self.budget.restart_clock(now);
                self.advise_migration(now, view)
            }
            (DrainState::Migrating | DrainState::Late | DrainState::Empty, _) => {
                self.advise_migration(now, view)
            }
            (DrainState::Serving | DrainState::Exiting, _) => DrainAdvice::default(),
        }
    }

    /// Takes an operator's request through the table.
    fn apply(&mut self, now: Duration, input: DrainInput) -> Result<(), DrainError> {
        match self.change_state(input) {
            DrainEffect::Reject(error) => return Err(error),
            DrainEffect::BeginDrain => {
                self.began_at = now;
                self.budget.reset(now);
                self.migrated = 0;
                self.resumed_at = None;
            }
            DrainEffect::Resume => self.resumed_at = Some(now),
            DrainEffect::NoEffect | DrainEffect::ChangeDeadline | DrainEffect::BeginShutdown => {}
        }
        Ok(())
    }

    fn change_state(&mut self, input: DrainInput) -> DrainEffect {
        let Some(transition) = Transition::find(self.state, input) else {
            return DrainEffect::NoEffect;
        };
        self.state = transition.to;
        transition.effect
    }

    fn front_has_stopped(&self, now: Duration, view: &DrainView) -> bool {
        let quiet_since = view.last_session_arrival.max(self.began_at);
        if now.saturating_sub(quiet_since) >= self.settings.quiet_period {
            return true;
        }
        let drain_time = self.deadline.saturating_sub(self.began_at);
        let closing_time = self
            .settings
            .max_closing_time
            .min(drain_time / MAX_CLOSING_PART);
        now >= self.began_at + closing_time
    }

    fn advise_migration(&mut self, now: Duration, view: &DrainView) -> DrainAdvice {
        let elapsed = self.budget.take_elapsed(now);
        let reject_pending = self.should_reject_pending(now);
        let migrate = if view.open_sessions == 0 {
            self.budget.clear();
            if view.pending_sessions == 0 {
                self.change_state(DrainInput::AllSessionsEnded);
            }
            0
        } else {
            self.change_state(DrainInput::SessionsOpen);
            self.sessions_to_migrate(now, view, elapsed)
        };
        self.migrated += migrate as u64;
        DrainAdvice {
            sessions_to_migrate: migrate,
            reject_pending,
            ..DrainAdvice::default()
        }
    }

    /// Pending sessions are rejected once, at the deadline; a session that arrives after it is served and migrated once it is
    /// open.
    fn should_reject_pending(&mut self, now: Duration) -> bool {
        if !self.is_last_step(now) {
            return false;
        }
        let was_rejected = self.rejected_pending;
        self.rejected_pending = true;
        !was_rejected
    }

    /// Whether the next advice would be too late for the deadline.
    fn is_last_step(&self, now: Duration) -> bool {
        now + ADVICE_INTERVAL >= self.deadline
    }

    fn sessions_to_migrate(&mut self, now: Duration, view: &DrainView, elapsed: Duration) -> usize {
        let rate = self.migrations_per_second(view);
        let time_left = self.deadline.saturating_sub(now);
        let required = RequiredRate::new(view.open_sessions, time_left);
        if required.clearly_exceeds(rate) {
            self.change_state(DrainInput::DeadlineAtRisk);
        } else if required.is_clearly_below(rate) {
            self.change_state(DrainInput::DeadlineSafe);
        }
        self.budget
            .add(required.at_least(rate), elapsed, view.open_sessions);
        let sessions = if self.is_last_step(now) {
            view.open_sessions
        } else {
            self.budget.available()
        };
        self.budget.spend(sessions);
        sessions
    }

    fn advise_shutdown(
        &mut self,
        now: Duration,
        view: &DrainView,
        schedule: &ShutdownSchedule,
    ) -> DrainAdvice {
        if now < schedule.serve_until {
            return DrainAdvice::default();
        }
        let migrate = if now < schedule.migrate_from {
            0
        } else {
            // In even steps; the last of them is a little after the last answer.
            let time_left = schedule.migrate_until.saturating_sub(now);
            let steps = time_left.as_millis() / ADVICE_INTERVAL.as_millis() + 1;
            view.open_sessions.div_ceil(steps as usize)
        };
        self.migrated += migrate as u64;
        let drop_remaining = now >= schedule.exit_at;
        DrainAdvice {
            sessions_to_migrate: migrate,
            reject_pending: now >= schedule.reject_pending_at,
            exit: drop_remaining || view.client_connections == 0,
            drop_remaining,
        }
    }
}
