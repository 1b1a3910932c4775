//! Counts of the router's events by reason code, since the start of the process.

use crate::routing::events::{ReasonCode, RouterEvent};
use std::fmt;

/// One counter for each [`ReasonCode`]. `Display` is the line that is logged on SIGUSR1 and when the process ends.
#[derive(Debug)]
pub struct Counters([u64; ReasonCode::ALL.len()]);

impl Default for Counters {
    fn default() -> Self {
        Counters([0; ReasonCode::ALL.len()])
    }
}

impl Counters {
    /// Counts an event, whether or not it is also logged.
    pub fn count(&mut self, event: &RouterEvent) {
        let (RouterEvent::Count(code) | RouterEvent::Log(code, _)) = event;
        self.0[*code as usize] += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("counters")?;
        for (code, count) in ReasonCode::ALL.iter().zip(&self.0) {
            write!(f, " {}={count}", code.name())?;
        }
        Ok(())
    }
}
