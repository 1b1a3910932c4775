//! Where a run finds the proxy's program, and where it writes.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// A folder of this run's own for what it must write.
pub fn unique_output_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let nth = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("asterramp-rig-{}-{nth}", std::process::id()))
}

/// The proxy of this repository, as built beside this program.
pub fn find_proxy_program(beside: &Path) -> Option<PathBuf> {
    let folder = beside.parent()?;
    [folder.join("asterramp"), folder.parent()?.join("asterramp")]
        .into_iter()
        .find(|path| path.is_file())
}
