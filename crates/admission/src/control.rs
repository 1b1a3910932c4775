//! Admission control: ranks a request, and admits it if enough tokens are left for its rank.

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

/// Rank of a request, in two parts whose sum is from 0 (admitted first) to 1 (admitted last).
#[derive(Clone, Copy, Debug)]
struct Rank {
    /// Share of the listeners that rank above the request's listener.
    listener: f64,
    /// Rank among requests of the same listener: less than one listener's part of the range.
    within_listener: f64,
}

impl Rank {
    fn total(self) -> f64 {
        self.listener + self.within_listener
    }
}

/// Penalty within its listener for a request whose tenant is over its quota; outweighs the other penalties together.
const OVER_QUOTA_PENALTY: f64 = 4.0;
/// Penalty for a request after a failed attempt; outweighs the penalty for a new session.
const FAILED_BEFORE_PENALTY: f64 = 2.0;
/// Penalty for a request of a client that had no session before.
const NEW_SESSION_PENALTY: f64 = 1.0;
/// Divides the penalties. Greater than their sum, so that penalties never rank a request below those of a
/// lower-ranking listener.
const PENALTY_SCALE: f64 = 8.0;

/// Decides which session setups are admitted. Takes constant memory for each listener and tenant.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    bucket: TokenBucket,
    quota_usage: QuotaUsage,
    retry_spreader: RetrySpreader,
    /// Indexed by listener.
    cost_estimates: Vec<CostEstimate>,
    /// Indexed by listener.
    rejection_counts: Vec<RejectionCounts>,
    rng: Xoshiro256PlusPlus,
}

impl AdmissionControl {
    /// Admits all requests until a rate is set. `seed` is that of the random numbers that spread admissions and retries, so
    /// it must be different for each proxy of a fleet.
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

    /// Sets the capacity from now on, in session setups per second; `None` if it is not short and all requests are
    /// admitted. A limit begins with a random part of one extra token, so that not all proxies of a fleet admit at the same
    /// moment.
    pub fn set_rate(&mut self, now: Duration, rate: Option<f64>) {
        if let (None, Some(rate)) = (self.bucket.rate(), rate) {
            let extra_tokens = self.rng.random::<f64>();
            self.bucket.start_limit(now, rate, extra_tokens);
        }
        self.bucket.set_rate(now, rate);
    }

    /// Sets [`AdmissionSettings::rank_by_weight_alone`], which the operator's file may change at run time.
    pub fn set_rank_by_weight_alone(&mut self, enabled: bool) {
        self.settings.rank_by_weight_alone = enabled;
    }

    /// Records a server's report of what a session of this listener costs, in work per second. A value that is not a
    /// number, infinite or negative is ignored, and so is a report for an unknown listener.
    pub fn record_session_cost(&mut self, now: Duration, listener: u8, work: f64) {
        if let Some(estimate) = self.cost_estimates.get_mut(usize::from(listener)) {
            estimate.record(now, work);
        }
    }

    /// Cost of each listener's sessions, by listener; `None` if it is not known.
    pub fn session_costs(&self, now: Duration) -> impl Iterator<Item = Option<SessionCost>> + '_ {
        self.cost_estimates
            .iter()
            .map(move |estimate| estimate.known_cost(now))
    }

    /// Rejections since the start, by listener.
    pub fn rejection_counts(&self) -> impl Iterator<Item = &RejectionCounts> {
        self.rejection_counts.iter()
    }

    /// Admits a request, or rejects it with a reason and a time after which to retry.
    ///
    /// # Errors
    ///
    /// A [`Rejection`] if too few tokens are left for the rank of the request.
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

    /// The first property of the request because of which it is rejected, in the order of [`RejectReason::ALL`].
    fn reject_reason(&self, now: Duration, request: AdmissionRequest, rank: Rank) -> RejectReason {
        if !self.bucket.admits(0.0) {
            return RejectReason::NoCapacity;
        }
        if !self.bucket.admits(rank.listener) {
            return RejectReason::LowPriority;
        }
        let without_other_penalties = AdmissionRequest {
            reconnecting: true,
            failed_before: false,
            ..request
        };
        let quota_rank = self.rank(now, without_other_penalties);
        if self.is_over_quota(now, request.tenant) && !self.bucket.admits(quota_rank.total()) {
            return RejectReason::OverQuota;
        }
        if request.failed_before {
            return RejectReason::FailedBefore;
        }
        RejectReason::NewSession
    }

    fn rank(&self, now: Duration, request: AdmissionRequest) -> Rank {
        let own_value = self.ranking_value(now, request.listener);
        let listener_count = self.settings.priority_weights.len().max(1);
        let listeners_ahead = (0..listener_count)
            .filter(|other| self.ranking_value(now, *other as u8) > own_value)
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
            listener: listeners_ahead as f64 / listener_count as f64,
            within_listener: penalty / listener_count as f64,
        }
    }

    /// The value by which listeners rank, the highest first: priority weight divided by cost if the costs of all listeners
    /// are known. Otherwise the weight, or the same for all listeners, depending on the settings.
    fn ranking_value(&self, now: Duration, listener: u8) -> f64 {
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
