//! The policies, bounds and tolerances that the rules are checked with, from the scenario and the plan.

use crate::plan::Plan;
use crate::scenario::{IdempotencyScope, LinkKind, RetrySafety, Scenario};
use std::time::Duration;

/// How far apart two peers may record the same moment when the testbed runs on schedule.
const RECORDING_TOLERANCE: Duration = Duration::from_millis(50);

/// Under which conditions sessions of a listener may be retried.
#[derive(Clone, Copy, Debug)]
pub struct ListenerPolicy {
    /// Whether a session may run more than once.
    pub retry_safety: RetrySafety,
    /// Which hosts share idempotency keys.
    pub idempotency_scope: IdempotencyScope,
    /// For how long hosts remember an idempotency key.
    pub key_ttl: Duration,
}

/// The location of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLocation {
    /// Index of its zone.
    pub zone: u8,
    /// Number of its cell.
    pub cell: u16,
}

/// The policies, bounds and tolerances that the rules are checked with.
#[derive(Clone, Debug)]
pub struct JudgeSettings {
    /// The retry policy of each listener, by its index.
    pub listeners: Vec<ListenerPolicy>,
    /// The location of each host, by its number.
    pub hosts: Vec<HostLocation>,
    /// How long a proxy may still dial a host after it was notified of the host's drain.
    pub drain_grace: Duration,
    /// How long after the client's wait the answer may come.
    pub answer_slack: Duration,
    /// How far apart two peers may record the same moment. A greater value makes the rules more lenient.
    pub tolerance: Duration,
    /// Largest number of dials of one session.
    pub max_dials: usize,
    /// Whether the metrics of proxies are checked. They are not where links between clients and proxies may fail, since
    /// clients then cannot see every session that a proxy counts.
    pub check_metrics: bool,
    /// Priority weight of each listener, by its index; `None` where the scenario does not reject by priority.
    pub priority_weights: Option<Vec<f64>>,
}

impl JudgeSettings {
    /// The settings for a run of `scenario` by `plan`. `testbed_late` is by how much the testbed was behind its
    /// schedule at worst; it is added to the answer slack and to the tolerance.
    pub(crate) fn new(scenario: &Scenario, plan: &Plan, testbed_late: Duration) -> JudgeSettings {
        let policy = |listener: &crate::scenario::Listener| ListenerPolicy {
            retry_safety: listener.retry_safety,
            idempotency_scope: listener.idempotency_scope,
            key_ttl: listener.key_ttl,
        };
        let hosts = plan.hosts.iter().map(|host| HostLocation {
            zone: host.zone,
            cell: host.cell,
        });
        let weights = scenario
            .listeners
            .iter()
            .map(|listener| listener.priority_weight);
        JudgeSettings {
            listeners: scenario.listeners.iter().map(policy).collect(),
            hosts: hosts.collect(),
            drain_grace: scenario.platform.drain_grace,
            answer_slack: scenario.platform.answer_slack + testbed_late,
            tolerance: RECORDING_TOLERANCE + testbed_late + plan.longest_delay(),
            max_dials: scenario.platform.max_dials as usize,
            check_metrics: !plan.needs_relays(LinkKind::ClientProxy),
            priority_weights: scenario
                .proxies
                .rejects_by_priority
                .then(|| weights.collect()),
        }
    }
}
