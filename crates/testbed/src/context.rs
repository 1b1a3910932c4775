//! What every actor of a run works with, and which knows none of them: the scenario and its plan, the event log, the plan's
//! clock, the numbers that are given out, and the signals to clients.

use crate::event_log::{EventLog, SessionId};
use crate::pending_dials::PendingDials;
use crate::plan::Plan;
use crate::scenario::Scenario;
use crate::service_score::ServiceScore;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Tells a share of all clients to do something.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientSignal {
    /// Which part of the clients follows it, from 0 to 1.
    pub share: f64,
    /// For how long, where it is something that lasts.
    pub span: Duration,
}

/// Signals that all clients with an open connection listen to.
#[derive(Debug)]
pub struct ClientSignals {
    /// Drop the connection and come again.
    pub reconnect: watch::Sender<ClientSignal>,
    /// Read and write nothing for a while.
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
    /// What the run was asked for.
    pub scenario: Scenario,
    /// What was drawn from it before the start.
    pub plan: Plan,
    /// What the actors have seen so far.
    pub event_log: EventLog,
    /// How well clients have been served so far.
    pub service_score: ServiceScore,
    /// Signals to the clients.
    pub client_signals: ClientSignals,
    /// Dials that no host has answered yet.
    pub(crate) pending_dials: PendingDials,
    /// Which run of this process it is: tests play several at once.
    pub run_number: u32,
    /// When the plan's clock began, on the event log's clock.
    plan_start: OnceLock<Duration>,
    next_session: AtomicU64,
    next_dial: AtomicU32,
    /// The latest that the testbed did anything, in microseconds.
    lateness_us: AtomicU64,
}

/// Runs that this process has begun.
static RUNS: AtomicU32 = AtomicU32::new(0);

impl RunContext {
    /// The context of a run whose plan has not begun. The event log's clock begins here.
    pub fn new(scenario: Scenario, plan: Plan) -> RunContext {
        RunContext {
            event_log: EventLog::default(),
            service_score: ServiceScore::new(scenario.listeners.len(), scenario.tenants.len()),
            client_signals: ClientSignals::default(),
            pending_dials: PendingDials::default(),
            run_number: RUNS.fetch_add(1, Ordering::Relaxed),
            plan_start: OnceLock::new(),
            next_session: AtomicU64::new(1),
            next_dial: AtomicU32::new(1),
            lateness_us: AtomicU64::new(0),
            scenario,
            plan,
        }
    }

    /// A number that no session of the run has yet.
    pub fn new_session_id(&self) -> SessionId {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// A number that no dial of the run has yet.
    pub(crate) fn new_dial_number(&self) -> u32 {
        self.next_dial.fetch_add(1, Ordering::Relaxed)
    }

    /// Begins the plan's clock, once.
    pub fn start_plan(&self) {
        self.plan_start.get_or_init(|| self.event_log.now());
    }

    /// When the plan's clock began, on the event log's clock; `None` before.
    pub fn plan_start(&self) -> Option<Duration> {
        self.plan_start.get().copied()
    }

    /// The plan's time now; zero before it begins.
    pub fn now(&self) -> Duration {
        self.plan_start().map_or(Duration::ZERO, |start| {
            self.event_log.now().saturating_sub(start)
        })
    }

    /// Sleeps until a time of the plan; not at all where that has come, since even the shortest sleep takes a
    /// millisecond, and a testbed behind its plan would fall ever further behind.
    pub async fn sleep_until(&self, at: Duration) {
        let left = at.saturating_sub(self.now());
        if !left.is_zero() {
            tokio::time::sleep(left).await;
        }
    }

    /// Something due by the plan is done now: keeps how late that is, if it is the latest yet.
    pub fn record_lateness(&self, due: Duration) {
        let late = self.now().saturating_sub(due);
        self.lateness_us
            .fetch_max(late.as_micros() as u64, Ordering::Relaxed);
    }

    /// The latest that the testbed did anything that was due.
    pub fn lateness(&self) -> Duration {
        Duration::from_micros(self.lateness_us.load(Ordering::Relaxed))
    }
}
