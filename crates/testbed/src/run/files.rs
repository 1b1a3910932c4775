//! Paths that a run uses: its output folder, and the proxy's program.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// The path of an output folder in the system's temporary folder, another one at each call; the folder is not created.
pub fn unique_output_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("asterramp-rig-{}-{number}", std::process::id()))
}

/// The program `asterramp` in the folder of `this_program` or in the parent folder, as test programs are built one folder
/// deeper; `None` if neither has it.
pub fn find_proxy_program(this_program: &Path) -> Option<PathBuf> {
    let folder = this_program.parent()?;
    [folder.join("asterramp"), folder.parent()?.join("asterramp")]
        .into_iter()
        .find(|path| path.is_file())
}
