//! Recent admissions of each tenant, against its quota.

use crate::decaying_count::DecayingCount;
use std::time::Duration;

/// Time constant, in seconds, over which admissions count.
const ADMISSION_MEMORY: f64 = 10.0;
/// Recent admissions below which a tenant's part of them says nothing.
const MIN_ADMISSIONS: f64 = 8.0;
/// Part of all admissions by which a tenant may exceed its quota before it ranks lower.
const QUOTA_TOLERANCE: f64 = 0.1;

/// Recent admissions of each tenant.
#[derive(Clone, Debug)]
pub(crate) struct QuotaUsage {
    tenants: Vec<DecayingCount>,
    all: DecayingCount,
}

impl QuotaUsage {
    pub(crate) fn new(tenant_count: usize) -> QuotaUsage {
        QuotaUsage {
            tenants: vec![DecayingCount::new(ADMISSION_MEMORY); tenant_count],
            all: DecayingCount::new(ADMISSION_MEMORY),
        }
    }

    pub(crate) fn record_admission(&mut self, now: Duration, tenant: u16) {
        self.all.increment(now);
        if let Some(own) = self.tenants.get_mut(usize::from(tenant)) {
            own.increment(now);
        }
    }

    /// Whether a tenant has more than its quota of the recent admissions; never for a quota of zero.
    pub(crate) fn is_over(&self, now: Duration, tenant: u16, quota: f64) -> bool {
        let all = self.all.value(now);
        let own = self
            .tenants
            .get(usize::from(tenant))
            .map_or(0.0, |own| own.value(now));
        quota > 0.0 && all >= MIN_ADMISSIONS && own > (quota + QUOTA_TOLERANCE) * all
    }
}
