//! Damage to the snapshots that a proxy keeps on disk.

use super::proxy::Proxy;
use std::path::Path;

/// Bytes at the head of a file that are left as they are.
const INTACT_HEAD: usize = 50;
/// Of the bytes behind the head, one in so many is changed.
const DAMAGE_STEP: usize = 7;
/// The bits that are turned over.
const DAMAGE_BITS: u8 = 0x55;

impl Proxy {
    /// One file is cut short, one overwritten.
    pub(super) fn corrupt_snapshots(&self) {
        let folder = self.snapshots();
        rewrite(&folder.join("state.0"), |bytes| {
            bytes.truncate(bytes.len() / 2);
        });
        rewrite(&folder.join("state.1"), |bytes| {
            let damaged = bytes.iter_mut().skip(INTACT_HEAD).step_by(DAMAGE_STEP);
            damaged.for_each(|byte| *byte ^= DAMAGE_BITS);
        });
    }
}

fn rewrite(path: &Path, change: impl FnOnce(&mut Vec<u8>)) {
    if let Ok(mut bytes) = std::fs::read(path) {
        change(&mut bytes);
        // It may be gone meanwhile: the proxy replaces it.
        let _ = std::fs::write(path, bytes);
    }
}
