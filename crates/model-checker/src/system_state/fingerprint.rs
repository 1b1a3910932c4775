//! What makes two worlds equal, as a hash.

use super::state::SystemState;
use std::fmt::{self, Write};

/// The offset basis and the prime of FNV-1a with 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// An odd multiplier with well mixed bits, and a rotation that is no divisor of 64.
const SECOND_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const SECOND_ROTATION: u32 = 7;

/// Two hashes of 64 bits over the text that is written to it. That two different worlds of the sizes explored here meet in
/// all 128 bits is out of the question.
struct Hasher {
    first: u64,
    second: u64,
}

impl Write for Hasher {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for byte in text.bytes().map(u64::from) {
            self.first = (self.first ^ byte).wrapping_mul(FNV_PRIME);
            self.second =
                (self.second.rotate_left(SECOND_ROTATION) ^ byte).wrapping_mul(SECOND_MULTIPLIER);
        }
        Ok(())
    }
}

impl SystemState {
    /// Equal for worlds that go on alike: a hash of all that this world is, except for what its last action did.
    ///
    /// It is taken over `Debug` texts, which leave out no field of the code that serves.
    pub fn fingerprint(&self) -> u128 {
        let mut hasher = Hasher {
            first: FNV_OFFSET_BASIS,
            second: 0,
        };
        // Writing to a hasher cannot fail.
        let _ = self.write_state(&mut hasher);
        u128::from(hasher.first) << 64 | u128::from(hasher.second)
    }

    fn write_state(&self, out: &mut impl Write) -> fmt::Result {
        write!(out, "{:?},", self.now)?;
        write!(out, "{:?},", self.session_table)?;
        write!(out, "{:?},", self.connections)?;
        write!(out, "{:?},", self.deadlines)?;
        write!(out, "{:?},", self.servers)?;
        write!(out, "{:?},", self.session_keys)?;
        write!(out, "{:?},", self.probes_in_flight)?;
        write!(out, "{:?},", self.closed_connections)?;
        write!(out, "{:?},", self.endpoint_changes_left)?;
        write!(out, "{:?},", self.stale_events_left)?;
        write!(out, "{:?},", self.operator_orders_left)?;
        write!(out, "{:?},", self.drain)?;
        write!(out, "{:?},", self.last_arrival)?;
        write!(out, "{:?}", self.monitor)
    }
}
