//! Draws the clients of a run: when they come, for how long, and what they want.

use super::SeededRng;
use super::planned::PlannedClient;
use crate::scenario::{RetrySafety, Scenario};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::time::Duration;

/// Sets the random numbers of arrivals apart from those of what clients want.
const ARRIVAL_SEED: u64 = 0xa441;
/// The smallest median of a session's length, in seconds: its logarithm must be finite.
const SHORTEST_MEDIAN: f64 = 1e-3;
/// The shortest that a client wants to be connected, in seconds.
const SHORTEST_LIFE: f64 = 0.05;
/// No client comes later than this before the end, in seconds.
const LAST_ARRIVAL_BEFORE_END: f64 = 0.1;
/// The least part of its listener's work that a session asks for; the most is 1 more.
const LEAST_WORK: f64 = 0.5;
/// The longest patience, as a share of its listener's time to answer.
const LONGEST_PATIENCE: f64 = 0.2;

/// Draws all clients; `hosts` is how many hosts those that are connected before the run are spread over.
pub(super) fn draw_clients(scenario: &Scenario, seed: u64, hosts: usize) -> Vec<PlannedClient> {
    let mut draw = ClientDraw::new(scenario, seed);
    let inherited = scenario.traffic.inherited;
    let mut clients: Vec<PlannedClient> = (0..inherited)
        .map(|n| draw.client(0.0, Some((n as usize % hosts) as u16)))
        .collect();
    let arrivals = draw_arrivals(scenario, seed ^ ARRIVAL_SEED);
    clients.extend(arrivals.into_iter().map(|at| draw.client(at, None)));
    clients
}

/// Draws when clients come, in seconds: arrivals at the highest rate, of which as many are kept as the present rate is
/// of it.
fn draw_arrivals(scenario: &Scenario, seed: u64) -> Vec<f64> {
    let traffic = &scenario.traffic;
    let factors = traffic.curve.iter().map(|point| point.rate_multiple);
    let highest_rate = factors.fold(1.0, f64::max) * traffic.rate;
    let last = scenario.length.as_secs_f64() - LAST_ARRIVAL_BEFORE_END;
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

/// Clients a second at a time, by the points of the traffic's curve and straight lines between them.
fn rate(scenario: &Scenario, at: Duration) -> f64 {
    let curve = &scenario.traffic.curve;
    let next = curve.iter().position(|point| point.at > at);
    let factor = match next {
        None => curve.last().map_or(1.0, |point| point.rate_multiple),
        Some(0) => curve[0].rate_multiple,
        Some(next) => {
            let (a, b) = (&curve[next - 1], &curve[next]);
            let part = (at - a.at).as_secs_f64() / (b.at - a.at).as_secs_f64();
            a.rate_multiple + (b.rate_multiple - a.rate_multiple) * part
        }
    };
    scenario.traffic.rate * factor
}

/// Draws what clients want, one after the other.
struct ClientDraw<'a> {
    scenario: &'a Scenario,
    random: SeededRng,
    /// `None` where the scenario's figures give no distribution.
    life: Option<LogNormal<f64>>,
}

impl ClientDraw<'_> {
    fn new(scenario: &Scenario, seed: u64) -> ClientDraw<'_> {
        let life = &scenario.traffic.session_length;
        let median = life.median.as_secs_f64().max(SHORTEST_MEDIAN);
        ClientDraw {
            scenario,
            random: SeededRng::seed_from_u64(seed),
            life: LogNormal::new(median.ln(), life.sigma).ok(),
        }
    }

    /// The next client. The order of the draws is part of what a seed means.
    fn client(&mut self, at: f64, inherited: Option<u16>) -> PlannedClient {
        let (scenario, traffic) = (self.scenario, &self.scenario.traffic);
        let listener = self.pick(scenario.listeners.iter().map(|l| l.traffic_weight)) as u8;
        let member = self.pick(scenario.tenants.iter().map(|m| m.weight)) as u16;
        let life = self.draw_life(scenario.length.as_secs_f64() - at);
        let grouped = traffic.groups > 0 && self.random.random::<f64>() < traffic.grouped_share;
        let group = grouped.then(|| 1 + u64::from(self.random.random_range(0..traffic.groups)));
        let kind = &scenario.listeners[usize::from(listener)];
        let impatient = self.random.random::<f64>() < traffic.impatient_share
            && kind.retry_safety != RetrySafety::NotIdempotent;
        PlannedClient {
            at: Duration::from_secs_f64(at),
            session_length: life,
            listener,
            tenant: member,
            zone: self.random.random_range(0..scenario.zones.len()) as u8,
            group,
            hash_key: self.random.random(),
            work: kind.work * (LEAST_WORK + self.random.random::<f64>()),
            leaves_after: impatient.then(|| {
                let part = self.random.random::<f64>() * LONGEST_PATIENCE;
                kind.answer_timeout.mul_f64(part)
            }),
            inherited_host: inherited,
            seed: self.random.random(),
        }
    }

    /// How long a client wants to be connected, at most `longest` seconds.
    fn draw_life(&mut self, longest: f64) -> Duration {
        let life = match &self.life {
            Some(life) => life.sample(&mut self.random),
            None => 1.0,
        };
        Duration::from_secs_f64(life.clamp(SHORTEST_LIFE, longest))
    }

    /// Draws one of several by their portions.
    fn pick(&mut self, portions: impl Iterator<Item = f64> + Clone) -> usize {
        let mut left = self.random.random::<f64>() * portions.clone().sum::<f64>();
        let picked = portions.clone().position(|portion| {
            left -= portion;
            left < 0.0
        });
        picked.unwrap_or_else(|| portions.count() - 1)
    }
}
