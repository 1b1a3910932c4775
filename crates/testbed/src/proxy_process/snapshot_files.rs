//! Damages the snapshots that a proxy keeps on disk.

use super::proxy::Proxy;
use std::path::Path;

/// Bytes at the start of a file that are not overwritten.
const INTACT_BYTES: usize = 50;
/// Distance in bytes from one overwritten byte to the next.
const DAMAGE_STRIDE: usize = 7;
/// The bits of an overwritten byte that are inverted.
const DAMAGE_MASK: u8 = 0x55;

impl Proxy {
    /// Cuts one snapshot file to half its length and overwrites parts of the other.
    pub(super) fn corrupt_snapshots(&self) {
        let folder = self.snapshot_folder();
        rewrite(&folder.join("state.0"), |bytes| {
            bytes.truncate(bytes.len() / 2);
        });
        rewrite(&folder.join("state.1"), |bytes| {
            let damaged = bytes.iter_mut().skip(INTACT_BYTES).step_by(DAMAGE_STRIDE);
            damaged.for_each(|byte| *byte ^= DAMAGE_MASK);
        });
    }
}

fn rewrite(path: &Path, change: impl FnOnce(&mut Vec<u8>)) {
    if let Ok(mut bytes) = std::fs::read(path) {
        change(&mut bytes);
        // A failure does not matter: the proxy replaces the file before long.
        let _ = std::fs::write(path, bytes);
    }
}
