//! The state that all actors of a run share: the scenario and its plan, the event log, the plan's clock, counters for
//! session and dial numbers, and signals to clients. It does not depend on any actor.

use crate::event_log::{EventLog, SessionId};
use crate::pending_dials::PendingDials;
use crate::plan::Plan;
use crate::scenario::Scenario;
use crate::service_score::ServiceScore;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// A request to a random share of all connected clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientSignal {
    /// The probability that a client follows it, from 0 to 1.
    pub share: f64,
    /// How long its effect lasts; unused by signals without a duration.
    pub span: Duration,
}

/// Signals to which every client with an open connection subscribes.
#[derive(Debug)]
pub struct ClientSignals {
    /// Close the connection and connect again.
    pub reconnect: watch::Sender<ClientSignal>,
    /// Neither read nor write for the signal's `span`.
    pub stop_reading: watch::Sender<ClientSignal>,
}

impl Default for ClientSignals {
    fn default() -> Self {
        ClientSignals {
            reconnect: watch::channel(ClientSignal::default()).0,
            stop_reading: watch::channel(ClientSignal::default()).0,
        }
    }
}

/// The state of one run that all its actors share.
#[derive(Debug)]
pub struct RunContext {
    /// The scenario of the run.
    pub scenario: Scenario,
    /// The clients, faults and hosts drawn from the scenario before the start.
    pub plan: Plan,
    /// The events that the actors have recorded so far.
    pub event_log: EventLog,
    /// Measurements of the service that clients have received so far.
    pub service_score: ServiceScore,
    /// Signals to all connected clients.
    pub client_signals: ClientSignals,
    /// Dials whose host has read the request and has not answered it yet.
    pub(crate) pending_dials: PendingDials,
    /// The index of this run among those of this process; keeps the socket paths of parallel test runs apart.
    pub run_number: u32,
    /// When the plan's clock started, on the event log's clock.
    plan_start: OnceLock<Duration>,
    next_session: AtomicU64,
    next_dial: AtomicU32,
    /// The greatest lateness recorded by [`RunContext::record_lateness`], in microseconds.
    lateness_us: AtomicU64,
}

/// How many runs this process has begun.
static RUNS_BEGUN: AtomicU32 = AtomicU32::new(0);

impl RunContext {
    /// Creates the context of a run and starts the event log's clock; [`RunContext::start_plan`] starts the plan's
    /// clock.
    pub fn new(scenario: Scenario, plan: Plan) -> RunContext {
        RunContext {
            event_log: EventLog::default(),
            service_score: ServiceScore::new(scenario.listeners.len(), scenario.tenants.len()),
            client_signals: ClientSignals::default(),
            pending_dials: PendingDials::default(),
            run_number: RUNS_BEGUN.fetch_add(1, Ordering::Relaxed),
            plan_start: OnceLock::new(),
            next_session: AtomicU64::new(1),
            next_dial: AtomicU32::new(1),
            lateness_us: AtomicU64::new(0),
            scenario,
            plan,
        }
    }

    /// Returns a session id that is unique in this run.
    pub fn new_session_id(&self) -> SessionId {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a dial number that is unique in this run.
    pub(crate) fn new_dial_number(&self) -> u32 {
        self.next_dial.fetch_add(1, Ordering::Relaxed)
    }

    /// Starts the plan's clock; later calls have no effect.
    pub fn start_plan(&self) {
        self.plan_start.get_or_init(|| self.event_log.now());
    }

    /// When the plan's clock started, on the event log's clock; `None` before the start.
    pub fn plan_start(&self) -> Option<Duration> {
        self.plan_start.get().copied()
    }

    /// The time on the plan's clock; zero before its start.
    pub fn now(&self) -> Duration {
        self.plan_start().map_or(Duration::ZERO, |start| {
            self.event_log.now().saturating_sub(start)
        })
    }

    /// Sleeps until a time on the plan's clock. Returns at once if that time has passed: even the shortest sleep takes
    /// a millisecond, so a testbed that is behind its plan would fall further behind with each call.
    pub async fn sleep_until(&self, at: Duration) {
        let remaining = at.saturating_sub(self.now());
        if !remaining.is_zero() {
            tokio::time::sleep(remaining).await;
        }
    }

    /// Records that an action due at `due` on the plan's clock happens now, for [`RunContext::lateness`].
    pub fn record_lateness(&self, due: Duration) {
        let late = self.now().saturating_sub(due);
        self.lateness_us
            .fetch_max(late.as_micros() as u64, Ordering::Relaxed);
    }

    /// The greatest delay so far between an action of the testbed and its due time; shows an overloaded machine.
    pub fn lateness(&self) -> Duration {
        Duration::from_micros(self.lateness_us.load(Ordering::Relaxed))
    }
}
