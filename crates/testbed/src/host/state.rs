//! The state of one host: its load model, its faults, and its state at discovery.

use super::faults::{ActiveFaults, HostFaults};
use crate::context::RunContext;
use crate::discovery::EndpointRegistry;
use crate::event_log::{Event, HostState};
use crate::link::RelayedDials;
use crate::load_model::{LoadModel, LoadModelSettings};
use crate::plan::PlannedHost;
use crate::scenario::{FaultKind, Fleet};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// Multiplies a host's number to give its load model a seed far from those of other hosts.
const SEED_FACTOR: u64 = 7919;

/// An emulated host.
#[derive(Debug)]
pub struct Host {
    /// The host's index in the plan.
    pub number: u16,
    /// Where the host listens.
    pub address: SocketAddr,
    pub(super) context: Arc<RunContext>,
    pub(super) discovery: Arc<EndpointRegistry>,
    /// Where the host registers dials that came through a relay.
    pub(super) relayed_dials: Arc<RelayedDials>,
    /// The fields of a load report; see [`Fleet::report_fields`].
    report_fields: Vec<String>,
    /// The most connections that the host accepts at once.
    pub(super) max_connections: u32,
    pub(super) open_connections: AtomicU32,
    model: Mutex<LoadModel>,
    active_faults: Mutex<ActiveFaults>,
    faults: watch::Sender<HostFaults>,
}

impl Host {
    /// Creates a host of the plan; [`serve`](super::serve) starts it.
    pub fn new(
        number: u16,
        address: SocketAddr,
        discovery: Arc<EndpointRegistry>,
        relayed_dials: Arc<RelayedDials>,
    ) -> Host {
        let context = discovery.context.clone();
        let fleet = &context.scenario.fleet;
        let plan = &context.plan.hosts[usize::from(number)];
        let seed = u64::from(number) * SEED_FACTOR + 1;
        let model = LoadModel::new(load_model_settings(fleet, plan), seed);
        Host {
            number,
            address,
            report_fields: fleet.report_fields.clone(),
            max_connections: plan.max_connections,
            open_connections: AtomicU32::new(0),
            model: Mutex::new(model),
            active_faults: Mutex::default(),
            faults: watch::channel(HostFaults::default()).0,
            context,
            discovery,
            relayed_dials,
        }
    }

    /// Locks the host's load model.
    pub fn model(&self) -> MutexGuard<'_, LoadModel> {
        self.model
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Begins or ends a fault at this host; `fault` is its index in the plan.
    pub fn apply_fault(&self, fault: usize, begins: bool) {
        let now = self.context.event_log.now();
        let planned = &self.context.plan.faults[fault];
        let mut active = self.active_faults();
        if begins {
            active.begin(fault, planned);
        } else {
            active.end(fault);
        }
        let before = *self.faults.borrow();
        let after = active.combined(before);
        self.model().speed_factor = active.speed_factor();
        drop(active);
        self.record_process_change(before, after, now);
        let gone = after.down && planned.kind == FaultKind::HostGone && begins;
        self.update_discovery(before, after, gone, now);
        self.faults.send_replace(after);
    }

    /// Records that the host's process ended or started, and restarts the load model with it.
    fn record_process_change(&self, before: HostFaults, after: HostFaults, now: Duration) {
        let host = self.number;
        if before.down && !after.down {
            self.model().restart(now);
            self.context.event_log.record(Event::HostUp { host });
        } else if after.down && !before.down {
            self.context.event_log.record(Event::HostDown { host });
        }
    }

    /// Updates the host's state at discovery if it has changed. A host that is down keeps its state unless it is gone.
    fn update_discovery(&self, before: HostFaults, after: HostFaults, gone: bool, now: Duration) {
        let state = if gone {
            HostState::Gone
        } else if after.draining {
            HostState::Draining
        } else {
            HostState::Ready
        };
        if before.down && !after.down {
            self.discovery.set_state(self.number, state, Some(now));
        } else if before.draining != after.draining || gone {
            self.discovery.set_state(self.number, state, None);
        }
    }

    /// Whether the host's process is not running.
    pub fn is_down(&self) -> bool {
        self.faults.borrow().down
    }

    /// Limits the host to a share of its speed; `None` restores the full speed.
    pub fn limit_speed(&self, speed_factor: Option<f64>) {
        self.model().speed_factor = speed_factor.unwrap_or(1.0);
    }

    /// Records that the host collapsed under overload while it warmed up, and takes it down; it does not restart by
    /// itself.
    pub(super) fn collapse(&self) {
        let host = self.number;
        let (by, started) = (
            self.model().recent_sessions(),
            self.discovery.start_time(host),
        );
        let event_log = &self.context.event_log;
        event_log.record(Event::Collapsed { host, started, by });
        event_log.record(Event::HostDown { host });
        self.faults.send_modify(|faults| {
            (faults.down, faults.incarnation) = (true, faults.incarnation + 1);
        });
    }

    /// The combined effect of the host's faults, with its changes.
    pub(super) fn subscribe_faults(&self) -> watch::Receiver<HostFaults> {
        self.faults.subscribe()
    }

    /// A load report to append to an answer, with a leading space; empty if hosts report no fields.
    pub(super) fn load_report(&self) -> String {
        let report = self.model().report(self.context.event_log.now());
        let field = |name: &String| match name.as_str() {
            "x0" => format!("x0={:.4}", report.utilization),
            _ => format!("outstanding={}", report.outstanding),
        };
        let fields: Vec<String> = self.report_fields.iter().map(field).collect();
        if fields.is_empty() {
            String::new()
        } else {
            format!(" {}", fields.join(","))
        }
    }

    fn active_faults(&self) -> MutexGuard<'_, ActiveFaults> {
        self.active_faults
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

fn load_model_settings(fleet: &Fleet, plan: &PlannedHost) -> LoadModelSettings {
    LoadModelSettings {
        speed: plan.speed,
        max_sessions: plan.max_sessions,
        group_cost: fleet.group_cost,
        cold_share: fleet.cold_share,
        warm_up_time: fleet.warm_up_time,
        overload_factor: fleet.overload_factor,
        overload_window: fleet.overload_window,
        set_up_work: fleet.set_up_work,
        message_time: fleet.message_time,
        report_age: fleet.report_age,
        report_noise: fleet.report_noise,
    }
}
