//! Signals to processes of a test.

use std::process::{Child, Command};

/// Sends a process a signal by its name without `SIG`.
pub(crate) fn send_signal(process: &Child, name: &str) {
    let status = Command::new("kill")
        .args([&format!("-{name}"), &process.id().to_string()])
        .status();
    assert!(status.unwrap().success());
}
