//! The decision to admit or reject a request.

use crate::quota::QuotaUsage;
use crate::retry_after::RetrySpreader;
use crate::session_cost::CostEstimate;
use crate::token_bucket::TokenBucket;
use crate::{
    AdmissionRequest, AdmissionSettings, RejectReason, Rejection, RejectionCounts, SessionCost,
};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Rank of a request, in two parts that add up to 0 (first) to 1 (last).
#[derive(Clone, Copy, Debug)]
struct Rank {
    /// By the listener.
    listener: f64,
    /// Among requests of the same listener.
    within_listener: f64,
}

impl Rank {
    fn total(self) -> f64 {
        self.listener + self.within_listener
    }
}

/// What moves a request back among those of its listener: each outweighs all that follow it.
const OVER_QUOTA_PENALTY: f64 = 4.0;
const FAILED_BEFORE_PENALTY: f64 = 2.0;
const NEW_SESSION_PENALTY: f64 = 1.0;
/// More than the sum of the penalties.
const PENALTY_SCALE: f64 = 8.0;

/// Decides which session setups are admitted. Memory is a few numbers for each listener and tenant.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    bucket: TokenBucket,
    quota_usage: QuotaUsage,
    retry_spreader: RetrySpreader,
    /// By listener.
    cost_estimates: Vec<CostEstimate>,
    /// By listener.
    rejection_counts: Vec<RejectionCounts>,
    rng: Xoshiro256PlusPlus,
}

impl AdmissionControl {
    /// Admits all requests until a rate is set. Proxies of a fleet need different seeds.
    pub fn new(settings: AdmissionSettings, seed: u64) -> AdmissionControl {
        let listener_count = settings.priority_weights.len();
        let tenant_count = settings.quotas.len();
        AdmissionControl {
            settings,
            bucket: TokenBucket::default(),
            quota_usage: QuotaUsage::new(tenant_count),
            retry_spreader: RetrySpreader::new(),
            cost_estimates: vec![CostEstimate::default(); listener_count],
            rejection_counts: vec![RejectionCounts::default(); listener_count],
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Sets the capacity from now on, in session setups per second; `None` where it is not short and all are admitted. A
    /// limit begins with a random part of one token more, so that not all proxies of a fleet admit at the same moment.
    pub fn set_rate(&mut self, now: Duration, rate: Option<f64>) {
        if let (None, Some(rate)) = (self.bucket.rate(), rate) {
            let head_start = self.rng.random::<f64>();
            self.bucket.start_limit(now, rate, head_start);
        }
        self.bucket.set_rate(now, rate);
    }

    /// Sets whether listeners rank by priority weight alone while the cost of sessions is not known.
    pub fn set_rank_by_weight_alone(&mut self, enabled: bool) {
        self.settings.rank_by_weight_alone = enabled;
    }

    /// A server reports what a session of this listener costs, in work per second. A value that is not a number, infinite
    /// or negative is ignored, as is an unknown listener.
    pub fn record_session_cost(&mut self, now: Duration, listener: u8, work: f64) {
        if let Some(estimate) = self.cost_estimates.get_mut(usize::from(listener)) {
            estimate.record(now, work);
        }
    }

    /// Cost of each listener's sessions, by index; `None` where it is not known.
    pub fn session_costs(&self, now: Duration) -> impl Iterator<Item = Option<SessionCost>> + '_ {
        self.cost_estimates
            .iter()
            .map(move |estimate| estimate.known_cost(now))
    }

    /// Rejections so far, by listener.
    pub fn rejection_counts(&self) -> impl Iterator<Item = &RejectionCounts> {
        self.rejection_counts.iter()
    }

    /// Admits a request, or says why not and when to retry.
    ///
    /// # Errors
    ///
    /// A [`Rejection`] where too few tokens are left for the rank of the request.
    pub fn admit(&mut self, now: Duration, request: AdmissionRequest) -> Result<(), Rejection> {
        let Some(rate) = self.bucket.rate() else {
            self.quota_usage.record_admission(now, request.tenant);
            return Ok(());
        };
        self.bucket.refill(now);
        let rank = self.rank(now, request);
        if self.bucket.admits(rank.total()) {
            self.bucket.take_token();
            self.quota_usage.record_admission(now, request.tenant);
            return Ok(());
        }
        Err(self.reject(now, rate, request, rank))
    }

    fn reject(
        &mut self,
        now: Duration,
        rate: f64,
        request: AdmissionRequest,
        rank: Rank,
    ) -> Rejection {
        self.retry_spreader.record_rejection(now);
        let reason = self.reject_reason(now, request, rank);
        if let Some(counts) = self.rejection_counts.get_mut(usize::from(request.listener)) {
            counts[reason as usize] += 1;
        }
        let position = self.rng.random::<f64>();
        let max_retry_after = self.settings.max_retry_after;
        Rejection {
            reason,
            retry_after: self
                .retry_spreader
                .retry_after(now, rate, max_retry_after, position),
        }
    }

    fn reject_reason(&self, now: Duration, request: AdmissionRequest, rank: Rank) -> RejectReason {
        if !self.bucket.admits(0.0) {
            return RejectReason::NoCapacity;
        }
        if !self.bucket.admits(rank.listener) {
            return RejectReason::LowPriority;
        }
        let without_own_penalties = AdmissionRequest {
            reconnecting: true,
            failed_before: false,
            ..request
        };
        let quota_rank = self.rank(now, without_own_penalties);
        if self.is_over_quota(now, request.tenant) && !self.bucket.admits(quota_rank.total()) {
            return RejectReason::OverQuota;
        }
        if request.failed_before {
            return RejectReason::FailedBefore;
        }
        RejectReason::NewSession
    }

    fn rank(&self, now: Duration, request: AdmissionRequest) -> Rank {
        let own_value = self.value_for_cost(now, request.listener);
        let listeners = self.settings.priority_weights.len().max(1);
        let listeners_ahead = (0..listeners)
            .filter(|other| self.value_for_cost(now, *other as u8) > own_value)
            .count();
        let mut penalty = 0.0;
        if self.is_over_quota(now, request.tenant) {
            penalty += OVER_QUOTA_PENALTY / PENALTY_SCALE;
        }
        if request.failed_before {
            penalty += FAILED_BEFORE_PENALTY / PENALTY_SCALE;
        }
        if !request.reconnecting {
            penalty += NEW_SESSION_PENALTY / PENALTY_SCALE;
        }
        Rank {
            listener: listeners_ahead as f64 / listeners as f64,
            within_listener: penalty / listeners as f64,
        }
    }

    /// Priority weight over cost, where the costs of all listeners are known. Otherwise the weight, or the same for all
    /// listeners, as the settings say.
    fn value_for_cost(&self, now: Duration, listener: u8) -> f64 {
        let index = usize::from(listener);
        let weight = self
            .settings
            .priority_weights
            .get(index)
            .copied()
            .unwrap_or(0.0);
        let all_known = self.session_costs(now).all(|cost| cost.is_some());
        if all_known {
            let estimate = self.cost_estimates.get(index);
            return weight / estimate.map_or(1.0, CostEstimate::mean);
        }
        if self.settings.rank_by_weight_alone {
            weight
        } else {
            1.0
        }
    }

    fn is_over_quota(&self, now: Duration, tenant: u16) -> bool {
        let quota = self.settings.quotas.get(usize::from(tenant));
        let quota = quota.copied().unwrap_or(0.0);
        self.quota_usage.is_over(now, tenant, quota)
    }
}
