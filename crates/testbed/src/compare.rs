//! Two programs on the same seeds, in turn, and the difference with an interval from a bootstrap.

use crate::plan::SeededRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

/// Draws of the bootstrap.
const DRAWS: usize = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Means of the two, and of their differences pair by pair.
    pub a: f64,
    pub b: f64,
    pub mean: f64,
    /// Where the mean difference lies in 95 of 100 draws of the pairs.
    pub low: f64,
    pub high: f64,
}

impl Difference {
    /// Of paired figures; both lists are as long, and not empty.
    pub fn of(a: &[f64], b: &[f64], seed: u64) -> Difference {
        let pairs: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        let mut chance = SeededRng::seed_from_u64(seed);
        let mut drawn = || {
            let draw = |_| pairs[chance.random_range(0..pairs.len())];
            (0..pairs.len()).map(draw).sum::<f64>() / pairs.len() as f64
        };
        let mut means: Vec<f64> = (0..DRAWS).map(|_| drawn()).collect();
        means.sort_unstable_by(f64::total_cmp);
        let at = |part: f64| means[((DRAWS - 1) as f64 * part) as usize];
        Difference {
            a: mean(a),
            b: mean(b),
            mean: mean(&pairs),
            low: at(0.025),
            high: at(0.975),
        }
    }

    /// Whether the interval leaves nought out.
    pub fn clear(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// A figure of both programs' runs, as a row of the table.
pub fn row(name: &str, d: &Difference) -> String {
    let word = if d.clear() { "clear" } else { "within noise" };
    let numbers = format!("{:>9.4} {:>9.4} {:>+9.4}", d.a, d.b, d.mean);
    format!(
        "  {name:<28} {numbers}  [{:+.4}, {:+.4}] {word}",
        d.low, d.high
    )
}
