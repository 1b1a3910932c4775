//! How often each code came up since the start.

use crate::routing::report::{ReasonCode, RouterEvent};
use std::fmt;

#[derive(Debug)]
pub struct Counters([u64; ReasonCode::ALL.len()]);

impl Default for Counters {
    fn default() -> Self {
        Counters([0; ReasonCode::ALL.len()])
    }
}

impl Counters {
    /// Counts a report, whether it is worth a line or not.
    pub fn take(&mut self, report: &RouterEvent) {
        match report {
            RouterEvent::Count(code) | RouterEvent::Log(code, _) => self.add(*code),
        }
    }

    fn add(&mut self, code: ReasonCode) {
        self.0[code as usize] += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("counters")?;
        ReasonCode::ALL
            .iter()
            .zip(&self.0)
            .try_for_each(|(code, n)| write!(f, " {}={n}", code.name()))
    }
}
