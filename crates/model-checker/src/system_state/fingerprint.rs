//! The fingerprint by which states are compared: a hash of 128 bits.

use super::state::SystemState;
use std::fmt::{self, Write};

/// The offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Multiplier of the second hash: odd, with well-mixed bits (2^64 divided by the golden ratio).
const SECOND_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits by which the second hash is rotated before each byte; not a divisor of 64.
const SECOND_ROTATION: u32 = 7;

/// Two 64-bit hashes of the text that is written to it. With the numbers of states explored here, a collision in all 128
/// bits is negligibly unlikely.
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
    /// Equal for states from which the same behaviour follows: a hash of the whole state, except for the effects of the
    /// last action and the next server id, which follows from the servers.
    ///
    /// It is computed from `Debug` texts, which include every field of the production code's types.
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
        write!(out, "{:?},", self.operator_commands_left)?;
        write!(out, "{:?},", self.drain)?;
        write!(out, "{:?},", self.last_arrival)?;
        write!(out, "{:?}", self.monitor)
    }
}
