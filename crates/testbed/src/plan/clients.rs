//! Draws the clients of a run: when they arrive, how long they stay, and which sessions they request.

use super::SeededRng;
use super::planned::PlannedClient;
use crate::scenario::{RetrySafety, Scenario};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::time::Duration;

/// XORed into the seed for the draws of arrival times, so that they are independent of those of client properties.
const ARRIVAL_SEED: u64 = 0xa441;
/// The smallest median session length, in seconds; its logarithm must be finite.
const MIN_MEDIAN_SECONDS: f64 = 1e-3;
/// The shortest time for which a client wants to be connected, in seconds.
const MIN_SESSION_LENGTH_SECONDS: f64 = 0.05;
/// No client arrives in the last part of the run, of this length in seconds; longer than
/// [`MIN_SESSION_LENGTH_SECONDS`].
const NO_ARRIVALS_BEFORE_END_SECONDS: f64 = 0.1;
/// The smallest work of a session, as a multiple of its listener's; the greatest multiple is 1 more, so the mean is 1.
const MIN_WORK_FACTOR: f64 = 0.5;
/// The longest wait of an impatient client, as a share of its listener's answer timeout.
const MAX_PATIENCE_SHARE: f64 = 0.2;

/// Draws all clients. Those that count as connected before the run are spread over the first `hosts` host numbers in
/// turn.
pub(super) fn draw_clients(scenario: &Scenario, seed: u64, hosts: usize) -> Vec<PlannedClient> {
    let mut generator = ClientGenerator::new(scenario, seed);
    let inherited = scenario.traffic.inherited;
    let mut clients: Vec<PlannedClient> = (0..inherited)
        .map(|n| generator.draw_client(0.0, Some((n as usize % hosts) as u16)))
        .collect();
    let arrivals = draw_arrivals(scenario, seed ^ ARRIVAL_SEED);
    clients.extend(
        arrivals
            .into_iter()
            .map(|at| generator.draw_client(at, None)),
    );
    clients
}

/// Draws the arrival times of clients, in seconds, as a Poisson process with the varying rate of [`rate`]. Arrivals are
/// drawn at the highest rate, and each is kept with the probability of the present rate over the highest one
/// (thinning).
fn draw_arrivals(scenario: &Scenario, seed: u64) -> Vec<f64> {
    let traffic = &scenario.traffic;
    let factors = traffic.curve.iter().map(|point| point.rate_multiple);
    let highest_rate = factors.fold(1.0, f64::max) * traffic.rate;
    let last = scenario.length.as_secs_f64() - NO_ARRIVALS_BEFORE_END_SECONDS;
    let mut random = SeededRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < last {
        at += -(1.0 - random.random::<f64>()).ln() / highest_rate;
        if at < last
            && random.random::<f64>() * highest_rate < rate(scenario, Duration::from_secs_f64(at))
        {
            arrivals.push(at);
        }
    }
    arrivals
}

/// The arrival rate at a time, in clients per second: the traffic's rate, scaled by linear interpolation of its curve.
fn rate(scenario: &Scenario, at: Duration) -> f64 {
    let curve = &scenario.traffic.curve;
    let next = curve.iter().position(|point| point.at > at);
    let factor = match next {
        None => curve.last().map_or(1.0, |point| point.rate_multiple),
        Some(0) => curve[0].rate_multiple,
        Some(next) => {
            let (a, b) = (&curve[next - 1], &curve[next]);
            let share = (at - a.at).as_secs_f64() / (b.at - a.at).as_secs_f64();
            a.rate_multiple + (b.rate_multiple - a.rate_multiple) * share
        }
    };
    scenario.traffic.rate * factor
}

/// Draws clients one after the other.
struct ClientGenerator<'a> {
    scenario: &'a Scenario,
    random: SeededRng,
    /// `None` if the scenario's values are not valid for a log-normal distribution.
    session_length: Option<LogNormal<f64>>,
}

impl ClientGenerator<'_> {
    fn new(scenario: &Scenario, seed: u64) -> ClientGenerator<'_> {
        let session_length = &scenario.traffic.session_length;
        let median = session_length.median.as_secs_f64().max(MIN_MEDIAN_SECONDS);
        ClientGenerator {
            scenario,
            random: SeededRng::seed_from_u64(seed),
            session_length: LogNormal::new(median.ln(), session_length.sigma).ok(),
        }
    }

    /// Draws the next client, which arrives at `at` seconds. The order of the draws must not change: a seed has to keep
    /// its plan.
    fn draw_client(&mut self, at: f64, inherited_host: Option<u16>) -> PlannedClient {
        let (scenario, traffic) = (self.scenario, &self.scenario.traffic);
        let listener =
            self.pick_weighted(scenario.listeners.iter().map(|l| l.traffic_weight)) as u8;
        let tenant = self.pick_weighted(scenario.tenants.iter().map(|t| t.weight)) as u16;
        let session_length = self.draw_session_length(scenario.length.as_secs_f64() - at);
        let grouped = traffic.groups > 0 && self.random.random::<f64>() < traffic.grouped_share;
        let group = grouped.then(|| 1 + u64::from(self.random.random_range(0..traffic.groups)));
        let settings = &scenario.listeners[usize::from(listener)];
        let impatient = self.random.random::<f64>() < traffic.impatient_share
            && settings.retry_safety != RetrySafety::NotIdempotent;
        PlannedClient {
            at: Duration::from_secs_f64(at),
            session_length,
            listener,
            tenant,
            zone: self.random.random_range(0..scenario.zones.len()) as u8,
            group,
            hash_key: self.random.random(),
            work: settings.work * (MIN_WORK_FACTOR + self.random.random::<f64>()),
            leaves_after: impatient.then(|| {
                let share = self.random.random::<f64>() * MAX_PATIENCE_SHARE;
                settings.answer_timeout.mul_f64(share)
            }),
            inherited_host,
            seed: self.random.random(),
        }
    }

    /// Draws how long a client wants to be connected, at most `longest` seconds.
    fn draw_session_length(&mut self, longest: f64) -> Duration {
        let length = match &self.session_length {
            Some(distribution) => distribution.sample(&mut self.random),
            None => 1.0,
        };
        Duration::from_secs_f64(length.clamp(MIN_SESSION_LENGTH_SECONDS, longest))
    }

    /// Draws an index with a probability proportional to its weight.
    fn pick_weighted(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut remaining = self.random.random::<f64>() * weights.clone().sum::<f64>();
        let picked = weights.clone().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        picked.unwrap_or_else(|| weights.count() - 1)
    }
}
