//! The state that all sessions of a plain proxy share, and the choice of a host by the policy.

use super::configuration::Configuration;
use super::endpoints::{Endpoint, Endpoints, Target};
use super::options::{InjectedFault, Policy};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Multiplier that maps successive numbers to pseudo-random ones (2^64 divided by the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The state that all sessions of a plain proxy share.
pub(super) struct ProxyState {
    /// The policy by which hosts are chosen.
    pub(super) policy: Policy,
    /// The rule that is broken on purpose; none if absent.
    pub(super) fault: Option<InjectedFault>,
    /// The configuration as of the start; it is not reloaded, apart from discovery's address.
    pub(super) configuration: Configuration,
    /// The hosts that discovery lists.
    pub(super) endpoints: Endpoints,
    /// Number of choices so far.
    choices: AtomicU64,
    /// Set at SIGTERM: health checks are no longer answered.
    pub(super) is_shutting_down: AtomicBool,
    /// Set after the shutdown grace: open sessions are migrated.
    pub(super) is_migrating: AtomicBool,
}

impl ProxyState {
    /// The state of a starting proxy, which knows no hosts yet.
    pub(super) fn new(
        policy: Policy,
        fault: Option<InjectedFault>,
        configuration: Configuration,
    ) -> ProxyState {
        ProxyState {
            policy,
            fault,
            configuration,
            endpoints: Endpoints::default(),
            choices: AtomicU64::new(0),
            is_shutting_down: AtomicBool::new(false),
            is_migrating: AtomicBool::new(false),
        }
    }

    /// Whether this fault is injected.
    pub(super) fn injects(&self, fault: InjectedFault) -> bool {
        self.fault == Some(fault)
    }

    /// The number of this choice, from 0; counts it.
    pub(super) fn next_choice_number(&self) -> u64 {
        self.choices.fetch_add(1, Ordering::Relaxed)
    }

    /// Chooses a host by the policy among those that are ready, warm and not yet tried.
    ///
    /// Cold hosts get no sessions at all: the simplest way to keep the rule that no cold host is overloaded.
    pub(super) fn pick(&self, tried: &[String]) -> Option<Target> {
        let warm_up_time = self.configuration.warm_up_time;
        let hosts = self.endpoints.lock();
        let to_target = |(uid, endpoint): (&String, &Endpoint)| Target {
            uid: uid.clone(),
            address: endpoint.address,
        };
        if self.injects(InjectedFault::FloodCold) {
            let cold = hosts.iter().filter(|(_, host)| host.is_cold(warm_up_time));
            if let Some(newest) = cold.max_by_key(|(_, host)| host.boot_ms) {
                return Some(to_target(newest));
            }
        }
        if self.injects(InjectedFault::IgnoreDrains)
            && let Some(draining) = hosts.iter().find(|(_, host)| !host.is_ready)
        {
            return Some(to_target(draining));
        }
        let eligible: Vec<(&String, &Endpoint)> = hosts
            .iter()
            .filter(|(uid, host)| {
                host.is_ready && !host.is_cold(warm_up_time) && !tried.contains(uid)
            })
            .collect();
        let choice = self.next_choice_number();
        if eligible.is_empty() {
            return None;
        }
        Some(to_target(match self.policy {
            Policy::Random => {
                eligible[(choice.wrapping_mul(HASH_MULTIPLIER) >> 33) as usize % eligible.len()]
            }
            Policy::RoundRobin => eligible[choice as usize % eligible.len()],
            Policy::LeastOpen => *eligible.iter().min_by_key(|(_, host)| host.open)?,
        }))
    }
}
