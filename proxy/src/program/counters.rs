//! How often each code came up since the start.

use crate::routing::report::Code;
use std::fmt;

#[derive(Debug)]
pub struct Counters([u64; Code::ALL.len()]);

impl Default for Counters {
    fn default() -> Self {
        Counters([0; Code::ALL.len()])
    }
}

impl Counters {
    pub fn add(&mut self, code: Code) {
        self.0[code as usize] += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("counters")?;
        Code::ALL.iter().zip(&self.0).try_for_each(|(code, n)| write!(f, " {}={n}", code.name()))
    }
}
