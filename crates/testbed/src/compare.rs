//! The difference between two programs on the same seeds, with an interval from a bootstrap.

use crate::plan::SeededRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

/// Draws of the bootstrap.
const DRAWS: usize = 10_000;

/// Between which quantiles of the draws the interval lies: 95 of 100 are in it.
const INTERVAL: (f64, f64) = (0.025, 0.975);

/// Paired figures of two programs, A and B.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Mean of A.
    pub a: f64,
    /// Mean of B.
    pub b: f64,
    /// Mean of B less A, pair by pair.
    pub mean: f64,
    /// Lower end of the interval in which the mean difference lies in 95 of 100 draws of the pairs.
    pub low: f64,
    /// Upper end of that interval.
    pub high: f64,
}

impl Difference {
    /// The difference of paired figures; both lists are of one length, and not empty.
    pub fn of(a: &[f64], b: &[f64], seed: u64) -> Difference {
        let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
        let means = bootstrap_means(&differences, seed);
        let quantile = |part: f64| means[((DRAWS - 1) as f64 * part) as usize];
        Difference {
            a: mean(a),
            b: mean(b),
            mean: mean(&differences),
            low: quantile(INTERVAL.0),
            high: quantile(INTERVAL.1),
        }
    }

    /// Whether the interval leaves zero out.
    pub fn is_significant(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Means of draws with replacement, in ascending order.
fn bootstrap_means(values: &[f64], seed: u64) -> Vec<f64> {
    let mut rng = SeededRng::seed_from_u64(seed);
    let mut drawn_mean = || {
        let draw = |_| values[rng.random_range(0..values.len())];
        (0..values.len()).map(draw).sum::<f64>() / values.len() as f64
    };
    let mut means: Vec<f64> = (0..DRAWS).map(|_| drawn_mean()).collect();
    means.sort_unstable_by(f64::total_cmp);
    means
}

/// A figure of both programs' runs, as a row of a table.
pub fn row(name: &str, difference: &Difference) -> String {
    let word = if difference.is_significant() {
        "clear"
    } else {
        "within noise"
    };
    let Difference {
        a,
        b,
        mean,
        low,
        high,
    } = difference;
    format!("  {name:<28} {a:>9.4} {b:>9.4} {mean:>+9.4}  [{low:+.4}, {high:+.4}] {word}")
}
