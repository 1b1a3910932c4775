//! The figures that the rules rest on.

use crate::plan::Plan;
use crate::scenario::{IdempotencyScope, LinkKind, RetrySafety, Scenario};
use std::time::Duration;

/// How far apart two peers of the testbed may record what happened at once, when the testbed itself is on time.
const RECORDING_TOLERANCE: Duration = Duration::from_millis(50);

/// When a session of a listener may be retried.
#[derive(Clone, Copy, Debug)]
pub struct ListenerPolicy {
    /// Whether a session may run more than once.
    pub retry_safety: RetrySafety,
    /// Among which hosts an idempotency key is known.
    pub idempotency_scope: IdempotencyScope,
    /// For how long hosts remember an idempotency key.
    pub key_ttl: Duration,
}

/// Where a host stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLocation {
    /// Index of its zone.
    pub zone: u8,
    /// Number of its cell.
    pub cell: u16,
}

/// The figures that the rules rest on.
#[derive(Clone, Debug)]
pub struct JudgeSettings {
    /// By listener, when its sessions may be retried.
    pub listeners: Vec<ListenerPolicy>,
    /// By host, where it stands.
    pub hosts: Vec<HostLocation>,
    /// How long after a drain was written to it a proxy may still dial the host.
    pub drain_grace: Duration,
    /// How late an answer may be.
    pub answer_slack: Duration,
    /// How far apart two peers of the testbed may record what happened at once.
    pub tolerance: Duration,
    /// Most dials of one session.
    pub max_dials: usize,
    /// Whether the metrics of proxies are checked. They are not where links between clients and proxies may fail, since
    /// clients then do not see what proxies count.
    pub check_metrics: bool,
    /// Priority weight of each listener, where it decides which sessions are rejected first.
    pub priority_weights: Option<Vec<f64>>,
}

impl JudgeSettings {
    /// The settings for a run of `scenario` by `plan` in which the testbed was late by `testbed_late` at worst.
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
