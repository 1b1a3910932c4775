//! Creates instances of the production code, optionally with an injected fault.

#[cfg(feature = "injected-faults")]
use asterramp_leader_lease::InjectedFault;
use asterramp_leader_lease::{FencingGuard, LeaseContender, LeaseSettings, Term};

/// Creates contenders and fencing guards of the production code.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeaseFactory {
    /// The fault that the created instances have; `None` for no fault.
    #[cfg(feature = "injected-faults")]
    pub(super) injected_fault: Option<InjectedFault>,
}

#[cfg(not(feature = "injected-faults"))]
impl LeaseFactory {
    pub(super) fn new_contender(self, settings: LeaseSettings) -> LeaseContender {
        LeaseContender::new(settings)
    }

    pub(super) fn new_guard(self, incarnation: u64, highest_term: Term) -> FencingGuard {
        FencingGuard::new(incarnation, highest_term)
    }
}

#[cfg(feature = "injected-faults")]
impl LeaseFactory {
    pub(super) fn new_contender(self, settings: LeaseSettings) -> LeaseContender {
        let mut contender = LeaseContender::new(settings);
        contender.injected_fault = self.injected_fault;
        contender
    }

    pub(super) fn new_guard(self, incarnation: u64, highest_term: Term) -> FencingGuard {
        let mut guard = FencingGuard::new(incarnation, highest_term);
        guard.injected_fault = self.injected_fault;
        guard
    }
}
