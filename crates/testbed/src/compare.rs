//! Compares two proxy programs on the same seeds: the mean difference of paired values, with a bootstrap confidence
//! interval.

use crate::plan::SeededRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

/// Number of bootstrap resamples.
const RESAMPLES: usize = 10_000;

/// Lower and upper quantile of the 95 % confidence interval.
const INTERVAL_QUANTILES: (f64, f64) = (0.025, 0.975);

/// The difference between paired values of two programs, A and B.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Mean of A.
    pub a: f64,
    /// Mean of B.
    pub b: f64,
    /// Mean of B minus A over the pairs.
    pub mean: f64,
    /// Lower end of the 95 % confidence interval of `mean`.
    pub low: f64,
    /// Upper end of the 95 % confidence interval of `mean`.
    pub high: f64,
}

impl Difference {
    /// Compares paired values; both lists must have the same length and not be empty. `seed` is that of the resampling.
    pub fn of(a: &[f64], b: &[f64], seed: u64) -> Difference {
        let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
        let means = bootstrap_means(&differences, seed);
        let quantile = |quantile: f64| means[((RESAMPLES - 1) as f64 * quantile) as usize];
        Difference {
            a: mean(a),
            b: mean(b),
            mean: mean(&differences),
            low: quantile(INTERVAL_QUANTILES.0),
            high: quantile(INTERVAL_QUANTILES.1),
        }
    }

    /// Whether the confidence interval excludes zero.
    pub fn is_significant(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The means of [`RESAMPLES`] resamples with replacement, in ascending order.
fn bootstrap_means(values: &[f64], seed: u64) -> Vec<f64> {
    let mut rng = SeededRng::seed_from_u64(seed);
    let mut resample_mean = || {
        let draw = |_| values[rng.random_range(0..values.len())];
        (0..values.len()).map(draw).sum::<f64>() / values.len() as f64
    };
    let mut means: Vec<f64> = (0..RESAMPLES).map(|_| resample_mean()).collect();
    means.sort_unstable_by(f64::total_cmp);
    means
}

/// The row `name` of a table: both means, the difference, its interval, and whether it is significant.
pub fn row(name: &str, difference: &Difference) -> String {
    let significance = if difference.is_significant() {
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
    format!("  {name:<28} {a:>9.4} {b:>9.4} {mean:>+9.4}  [{low:+.4}, {high:+.4}] {significance}")
}
