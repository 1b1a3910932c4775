//! [`Drain`]: takes the operator's requests, keeps the state and decides at each interval how many sessions to migrate.

use crate::pacing::{MigrationBudget, RequiredRate, migration_rate, predicted_duration};
use crate::{
    ADVICE_INTERVAL, DrainEffect, DrainError, DrainInput, DrainSettings, DrainState,
    ShutdownSchedule, Transition,
};
use std::time::Duration;

/// [`DrainState::Closing`] lasts at most the time from the start of the drain to its deadline, divided by this: a drain
/// with a short deadline cannot wait for a slow front load balancer. A greater value ends the state sooner.
const MAX_CLOSING_TIME_DIVISOR: u32 = 8;

/// The proxy's sessions and connections at the time of a call of [`Drain::advise`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DrainView {
    /// Open sessions, which may be migrated.
    pub open_sessions: usize,
    /// Sessions that are being set up.
    pub pending_sessions: usize,
    /// Client connections in any state, including those being closed.
    pub client_connections: usize,
    /// When the last session arrived, in the caller's time; zero if none has.
    pub last_session_arrival: Duration,
    /// Number of further sessions that the endpoints can absorb by their load reports; `None` if none has reported.
    pub spare_capacity: Option<f64>,
}

/// What the caller has to do now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainAdvice {
    /// Number of open sessions to migrate now.
    pub sessions_to_migrate: usize,
    /// Whether to reject the sessions that are still being set up.
    pub reject_pending: bool,
    /// Whether to close the listener and end the process.
    pub exit: bool,
    /// Whether to end the process even if clients are still connected.
    pub drop_remaining: bool,
}

/// State machine and pacing of one proxy's drains and of its shutdown.
#[derive(Clone, Debug)]
pub struct Drain {
    state: DrainState,
    settings: DrainSettings,
    /// When the drain began; meaningless while serving.
    began_at: Duration,
    /// When the drain has to be finished; meaningless while serving.
    deadline: Duration,
    /// Latest deadline that a request may set while this drain is in progress, because a caller relies on it; `None` if
    /// requests may set any.
    binding_deadline: Option<Duration>,
    /// When to reject the sessions that are still being set up; meaningless while serving.
    reject_pending_at: Duration,
    /// Sessions per second that the request asked for; `None` if it left the rate to the proxy.
    requested_rate: Option<f64>,
    /// Set once a shutdown has begun.
    shutdown: Option<ShutdownSchedule>,
    budget: MigrationBudget,
    /// Sessions migrated since the last drain began.
    migrated_sessions: u64,
    /// Whether the caller was advised to reject pending sessions since the last request.
    rejected_pending: bool,
    /// When the last drain was cancelled; `None` if none was, or a new one has begun.
    resumed_at: Option<Duration>,
}

impl Drain {
    /// The drain of a proxy that is serving.
    pub fn new(settings: DrainSettings) -> Drain {
        Drain {
            state: DrainState::Serving,
            settings,
            began_at: Duration::ZERO,
            deadline: Duration::ZERO,
            binding_deadline: None,
            reject_pending_at: Duration::ZERO,
            requested_rate: None,
            shutdown: None,
            budget: MigrationBudget::default(),
            migrated_sessions: 0,
            rejected_pending: false,
            resumed_at: None,
        }
    }

    /// The current state.
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Replaces the settings; a drain in progress uses the new ones from now on.
    pub fn set_settings(&mut self, settings: DrainSettings) {
        self.settings = settings;
    }

    /// Whether to answer the front load balancer's pings. It sends new sessions only to a proxy that answers.
    pub fn answers_pings(&self) -> bool {
        self.state == DrainState::Serving
    }

    /// Whether a shutdown has reached the time at which the listener is closed.
    pub fn closes_listener(&self, now: Duration) -> bool {
        self.shutdown
            .is_some_and(|schedule| now >= schedule.close_listener_at)
    }

    /// Sessions migrated since the last drain began.
    pub fn migrated_sessions(&self) -> u64 {
        self.migrated_sessions
    }

    /// Time to the deadline, zero after it; `None` unless a drain is in progress.
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        match self.state {
            DrainState::Serving | DrainState::Exiting => None,
            _ => Some(self.deadline.saturating_sub(now)),
        }
    }

    /// Whether another proxy may be drained: this one is serving, and at least
    /// [`DrainSettings::time_before_next_drain`] has passed since its last drain was cancelled.
    pub fn allows_next_drain(&self, now: Duration) -> bool {
        let long_enough = self.resumed_at.is_none_or(|resumed_at| {
            now.saturating_sub(resumed_at) >= self.settings.time_before_next_drain
        });
        self.state == DrainState::Serving && long_enough
    }

    /// Starts a drain that has to be finished after `within`, or changes the deadline and the rate of the drain in
    /// progress, but not to a later deadline than a binding one. The rate is in sessions per second; `None` derives it
    /// from the endpoints' spare capacity.
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
        self.requested_rate = requested_rate;
        let requested = now + within;
        let latest = self.binding_deadline.unwrap_or(requested);
        self.set_deadline(now, requested.min(latest), requested);
        Ok(())
    }

    /// Starts a drain that has to be finished after `within`, for a caller that relies on it: until the drain is
    /// cancelled, no other request sets a later deadline. A drain in progress keeps its rate, and its deadline if that
    /// is earlier.
    ///
    /// # Errors
    ///
    /// [`DrainError::Exiting`] if the proxy is shutting down.
    pub fn start_binding(&mut self, now: Duration, within: Duration) -> Result<(), DrainError> {
        let previous = self.time_left(now).map(|_| self.deadline);
        self.apply(now, DrainInput::DrainRequested)?;
        let requested = now + within;
        let binding = self.binding_deadline.unwrap_or(requested);
        self.binding_deadline = Some(binding.min(requested));
        let deadline = previous.unwrap_or(requested).min(requested);
        self.set_deadline(now, deadline, requested);
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

    /// Begins a shutdown, which ends a drain in progress and cannot be cancelled. An earlier deadline of that drain is
    /// kept. Further calls do not change the schedule.
    pub fn begin_shutdown(&mut self, schedule: ShutdownSchedule) {
        let input = DrainInput::ShutdownRequested;
        if Transition::find(self.state, input).is_some() {
            let pending_due = (!self.rejected_pending).then_some(self.reject_pending_at);
            self.shutdown = Some(match self.state {
                DrainState::Serving => schedule,
                _ => schedule.during_drain(self.deadline, pending_due),
            });
            self.change_state(input);
        }
    }

    /// Current rate of the drain in sessions per second, before any increase that the deadline requires.
    pub fn migrations_per_second(&self, view: &DrainView) -> f64 {
        migration_rate(self.requested_rate, view.spare_capacity, &self.settings)
    }

    /// Time until the proxy is expected to be empty at [`Self::migrations_per_second`], at most the time to the
    /// deadline; `None` while serving, once empty, and in a shutdown.
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

    /// Decides what the caller has to do now. To be called every [`ADVICE_INTERVAL`], and at once after a request.
    pub fn advise(&mut self, now: Duration, view: &DrainView) -> DrainAdvice {
        match (self.state, self.shutdown) {
            (DrainState::Exiting, Some(schedule)) => self.advise_shutdown(now, view, &schedule),
            (DrainState::Closing, _) => {
                if !self.new_sessions_have_stopped(now, view) {
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

    /// Carries out an operator's request by [`TRANSITIONS`](crate::TRANSITIONS).
    fn apply(&mut self, now: Duration, input: DrainInput) -> Result<(), DrainError> {
        match self.change_state(input) {
            DrainEffect::Reject(error) => return Err(error),
            DrainEffect::BeginDrain => {
                self.began_at = now;
                self.binding_deadline = None;
                self.requested_rate = None;
                self.budget.reset(now);
                self.migrated_sessions = 0;
                self.resumed_at = None;
            }
            DrainEffect::Resume => self.resumed_at = Some(now),
            DrainEffect::NoEffect | DrainEffect::ChangeDeadline | DrainEffect::BeginShutdown => {}
        }
        Ok(())
    }

    /// Sets the deadline, and when pending sessions are rejected: at the deadline or, where a binding one has passed
    /// already, after the time that was requested. A rejection that is due earlier stays due.
    fn set_deadline(&mut self, now: Duration, deadline: Duration, requested: Duration) {
        let has_passed = deadline <= now;
        let due = if self.rejected_pending {
            requested
        } else {
            requested.min(self.reject_pending_at)
        };
        self.reject_pending_at = if has_passed { due } else { deadline };
        self.deadline = deadline;
        self.rejected_pending = false;
    }

    /// Makes the transition for `input` and returns its effect, which is left to the caller.
    fn change_state(&mut self, input: DrainInput) -> DrainEffect {
        let Some(transition) = Transition::find(self.state, input) else {
            return DrainEffect::NoEffect;
        };
        self.state = transition.to;
        transition.effect
    }

    /// Whether no session has arrived for the quiet period, or the longest time in [`DrainState::Closing`] has passed.
    fn new_sessions_have_stopped(&self, now: Duration, view: &DrainView) -> bool {
        let last_arrival = view.last_session_arrival.max(self.began_at);
        if now.saturating_sub(last_arrival) >= self.settings.quiet_period {
            return true;
        }
        let drain_time = self.deadline.saturating_sub(self.began_at);
        let closing_time = self
            .settings
            .max_closing_time
            .min(drain_time / MAX_CLOSING_TIME_DIVISOR);
        now >= self.began_at + closing_time
    }

    fn advise_migration(&mut self, now: Duration, view: &DrainView) -> DrainAdvice {
        let elapsed = self.budget.take_elapsed(now);
        let reject_pending = self.should_reject_pending(now);
        let sessions_to_migrate = if view.open_sessions == 0 {
            self.budget.clear();
            if view.pending_sessions == 0 {
                self.change_state(DrainInput::AllSessionsEnded);
            }
            0
        } else {
            self.change_state(DrainInput::SessionsOpen);
            self.sessions_to_migrate(now, view, elapsed)
        };
        self.migrated_sessions += sessions_to_migrate as u64;
        DrainAdvice {
            sessions_to_migrate,
            reject_pending,
            ..DrainAdvice::default()
        }
    }

    /// Whether to reject pending sessions now: once for each request. A session that arrives later is set up, and
    /// migrated once it is open.
    fn should_reject_pending(&mut self, now: Duration) -> bool {
        if !is_last_step(now, self.reject_pending_at) {
            return false;
        }
        let already_rejected = self.rejected_pending;
        self.rejected_pending = true;
        !already_rejected
    }

    /// How many of the open sessions to migrate after `elapsed` since the last call: what the rate allows, and all of
    /// them at the deadline.
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
        let allowed = if is_last_step(now, self.deadline) {
            view.open_sessions
        } else {
            self.budget.available()
        };
        self.budget.spend(allowed);
        allowed
    }

    fn advise_shutdown(
        &mut self,
        now: Duration,
        view: &DrainView,
        schedule: &ShutdownSchedule,
    ) -> DrainAdvice {
        let sessions_to_migrate = if now < schedule.migrate_from {
            0
        } else {
            // In equal steps, one for each interval until `migrate_until`, and one more.
            let time_left = schedule.migrate_until.saturating_sub(now);
            let steps = time_left.as_millis() / ADVICE_INTERVAL.as_millis() + 1;
            view.open_sessions.div_ceil(steps as usize)
        };
        self.migrated_sessions += sessions_to_migrate as u64;
        if now < schedule.serve_until {
            return DrainAdvice {
                sessions_to_migrate,
                ..DrainAdvice::default()
            };
        }
        let drop_remaining = now >= schedule.exit_at;
        DrainAdvice {
            sessions_to_migrate,
            reject_pending: now >= schedule.reject_pending_at,
            exit: drop_remaining || view.client_connections == 0,
            drop_remaining,
        }
    }
}

/// Whether the next call of [`Drain::advise`] would come at `deadline` or after it.
fn is_last_step(now: Duration, deadline: Duration) -> bool {
    now + ADVICE_INTERVAL >= deadline
}
