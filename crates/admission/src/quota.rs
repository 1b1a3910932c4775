//! Recent admissions of each tenant, to tell which tenants are over their quota.

use crate::decaying_count::DecayingCount;
use std::time::Duration;

/// Time constant of the counts of recent admissions; a greater value looks further back.
const ADMISSION_TIME_CONSTANT_SECONDS: f64 = 10.0;
/// Fewest recent admissions of all tenants together from which a tenant can be over its quota; a share of fewer is not
/// significant.
const MIN_ADMISSIONS: f64 = 8.0;
/// How far a tenant may exceed its quota before it ranks lower, as a share of all recent admissions.
const QUOTA_TOLERANCE: f64 = 0.1;

/// Recent admissions of each tenant.
#[derive(Clone, Debug)]
pub(crate) struct QuotaUsage {
    /// Indexed by tenant.
    tenants: Vec<DecayingCount>,
    /// Admissions of all tenants, with or without a quota.
    all: DecayingCount,
}

impl QuotaUsage {
    pub(crate) fn new(tenant_count: usize) -> QuotaUsage {
        QuotaUsage {
            tenants: vec![DecayingCount::new(ADMISSION_TIME_CONSTANT_SECONDS); tenant_count],
            all: DecayingCount::new(ADMISSION_TIME_CONSTANT_SECONDS),
        }
    }

    pub(crate) fn record_admission(&mut self, now: Duration, tenant: u16) {
        self.all.increment(now);
        if let Some(own) = self.tenants.get_mut(usize::from(tenant)) {
            own.increment(now);
        }
    }

    /// Whether a tenant has more than its quota of the recent admissions. A tenant without a quota (zero) never has.
    pub(crate) fn is_over(&self, now: Duration, tenant: u16, quota: f64) -> bool {
        let all = self.all.value(now);
        let own = self
            .tenants
            .get(usize::from(tenant))
            .map_or(0.0, |own| own.value(now));
        quota > 0.0 && all >= MIN_ADMISSIONS && own > (quota + QUOTA_TOLERANCE) * all
    }
}
