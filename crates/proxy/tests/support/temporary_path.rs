//! Unique paths for temporary files.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// A path in the system's directory for temporary files, which no other call returns. No file is created.
pub(crate) fn temporary_path(extension: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nth = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("asterramp-path-{}-{nth}.{extension}", std::process::id());
    std::env::temp_dir().join(name)
}
