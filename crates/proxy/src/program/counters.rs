//! How often each reason code came up since the start of the process.

use crate::routing::events::{ReasonCode, RouterEvent};
use std::fmt;

/// One counter for each [`ReasonCode`]. `Display` is the line that SIGUSR1 and the end of the process log.
#[derive(Debug)]
pub struct Counters([u64; ReasonCode::ALL.len()]);

impl Default for Counters {
    fn default() -> Self {
        Counters([0; ReasonCode::ALL.len()])
    }
}

impl Counters {
    /// Counts an event, whether it is also logged or not.
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
