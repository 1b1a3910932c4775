//! Signals to the processes that a test has started.

use std::process::{Child, Command};

/// Sends a process a signal, named without `SIG`.
pub(crate) fn send_signal(process: &Child, name: &str) {
    let status = Command::new("kill")
        .args([&format!("-{name}"), &process.id().to_string()])
        .status();
    assert!(status.unwrap().success());
}
