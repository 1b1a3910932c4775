//! The engine's random numbers: a small generator seeded by the process, and a hash that is the same at all proxies.

/// Mask of the low 32 bits of the generator's state, which are its output; the high bits are the carry.
const OUTPUT_MASK: u64 = 0xffff_ffff;
/// Multiplier of the multiply-with-carry generator.
const MULTIPLIER: u64 = 0xfffe_b81b;
/// One more than the largest output.
const OUTPUT_RANGE: f64 = 4_294_967_296.0;

/// A multiply-with-carry generator. Not cryptographically secure.
#[derive(Clone, Debug, Default)]
pub(crate) struct RandomSource {
    state: u64,
}

impl RandomSource {
    pub(crate) fn seeded(nonce: u64) -> RandomSource {
        // The carry starts at 1, as a state of all zeros would yield only zeros.
        let folded = (nonce ^ (nonce >> 32)) & OUTPUT_MASK;
        RandomSource {
            state: folded | 1 << 32,
        }
    }

    /// Draws the next number in [0, 1).
    pub(crate) fn next_unit(&mut self) -> f64 {
        self.state = (self.state & OUTPUT_MASK) * MULTIPLIER + (self.state >> 32);
        (self.state & OUTPUT_MASK) as f64 / OUTPUT_RANGE
    }

    /// The present state, for use as a hash key. It draws no number.
    pub(crate) fn state(&self) -> u64 {
        self.state
    }
}

/// Hashes two keys to a number in [0, 1), the same at every proxy.
pub(crate) fn hash_to_unit(first: u64, second: u64) -> f64 {
    let mut hash = first ^ second.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for _ in 0..2 {
        hash = (hash ^ (hash >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    // The 53 highest bits fill a float's significand.
    ((hash ^ (hash >> 29)) >> 11) as f64 / (1u64 << 53) as f64
}
