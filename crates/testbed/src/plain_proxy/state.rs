//! What all sessions of a plain proxy share, and the choice of a host.

use super::configuration::Configuration;
use super::endpoints::{Endpoint, Endpoints, Target};
use super::options::{InjectedFault, Policy};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Multiplier that spreads successive numbers (the golden ratio in 64 bits).
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// What all sessions of a plain proxy share.
pub(super) struct ProxyState {
    /// How hosts are chosen.
    pub(super) policy: Policy,
    /// The rule that is broken on purpose.
    pub(super) fault: Option<InjectedFault>,
    /// The platform's configuration, as it was at the start.
    pub(super) configuration: Configuration,
    /// The hosts, as discovery tells them.
    pub(super) endpoints: Endpoints,
    /// Choices so far.
    turn: AtomicU64,
    /// Set once the proxy shuts down: it no longer answers health checks.
    pub(super) is_shutting_down: AtomicBool,
    /// Set later in the shutdown: open sessions are migrated.
    pub(super) is_migrating: AtomicBool,
}

impl ProxyState {
    /// The state of a proxy that serves nobody yet.
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
            turn: AtomicU64::new(0),
            is_shutting_down: AtomicBool::new(false),
            is_migrating: AtomicBool::new(false),
        }
    }

    /// Whether this rule is broken on purpose.
    pub(super) fn injects(&self, fault: InjectedFault) -> bool {
        self.fault == Some(fault)
    }

    /// The number of this choice.
    pub(super) fn next_choice_number(&self) -> u64 {
        self.turn.fetch_add(1, Ordering::Relaxed)
    }

    /// A host for an attempt, other than those tried. None that is cold: that is safe, and all that a plain proxy needs.
    pub(super) fn pick(&self, tried: &[String]) -> Option<Target> {
        let warm_after = self.configuration.warm_up_time;
        let known = self.endpoints.lock();
        let target = |(uid, endpoint): (&String, &Endpoint)| Target {
            uid: uid.clone(),
            address: endpoint.address,
        };
        if self.injects(InjectedFault::FloodCold) {
            let cold = known.iter().filter(|(_, host)| host.is_cold(warm_after));
            if let Some(newest) = cold.max_by_key(|(_, host)| host.boot_ms) {
                return Some(target(newest));
            }
        }
        if self.injects(InjectedFault::IgnoreDrains)
            && let Some(draining) = known.iter().find(|(_, host)| !host.is_ready)
        {
            return Some(target(draining));
        }
        let fit: Vec<(&String, &Endpoint)> = known
            .iter()
            .filter(|(uid, host)| {
                host.is_ready && !host.is_cold(warm_after) && !tried.contains(uid)
            })
            .collect();
        let turn = self.next_choice_number();
        if fit.is_empty() {
            return None;
        }
        Some(target(match self.policy {
            Policy::Random => fit[(turn.wrapping_mul(SPREAD) >> 33) as usize % fit.len()],
            Policy::RoundRobin => fit[turn as usize % fit.len()],
            Policy::LeastOpen => *fit.iter().min_by_key(|(_, host)| host.open)?,
        }))
    }
}
