//! Peak memory of a process.

use std::process::Child;

/// Most memory that a process has had resident so far, in KiB (`VmHWM`).
fn peak_memory_kib(process: &Child) -> usize {
    let path = format!("/proc/{}/status", process.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.trim().split(' ').next());
    number.and_then(|number| number.parse().ok()).unwrap()
}

/// Checks that a process has never had more memory resident than its limit, and prints the two.
pub(crate) fn assert_within_limit(process: &Child, limit_mb: usize, what: &str) {
    let peak = peak_memory_kib(process);
    println!("{what}: peak memory {peak} KiB of {} KiB", limit_mb * 1024);
    assert!(
        peak <= limit_mb * 1024,
        "{what}: {peak} KiB of {limit_mb} MiB"
    );
}
