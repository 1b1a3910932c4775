//! A proxy process between scripted clients, servers and discovery, on loopback sockets.
#![allow(dead_code, unused_imports)] // Each test program uses a part of this module.

mod addresses;
mod discovery;
#[path = "../../../admin-protocol/tests/support/golden.rs"]
mod golden;
mod harness;
mod hot_restart_link;
mod http;
mod line_connection;
mod options;
mod proxy_with_admin_socket;
mod running_server;
mod second_process;
mod signal;
mod temporary_path;
mod test_predecessor;
mod zookeeper_stub;

pub(crate) use addresses::free_address;
pub(crate) use discovery::{OpenedWatch, endpoint_json, list_line, serve_discovery};
pub(crate) use golden::assert_golden;
pub(crate) use harness::ProxyHarness;
pub(crate) use hot_restart_link::HotRestartLink;
pub(crate) use http::{http_call, metric_value, read_response};
pub(crate) use line_connection::LineConnection;
pub(crate) use options::ProxyOptions;
pub(crate) use proxy_with_admin_socket::{ProxyWithAdminSocket, operator_file_text};
pub(crate) use running_server::{RunningServer, SESSION_OPENED};
pub(crate) use second_process::SecondProcess;
pub(crate) use signal::send_signal;
pub(crate) use temporary_path::temporary_path;
pub(crate) use test_predecessor::TestPredecessor;
pub(crate) use zookeeper_stub::ZooKeeperStub;

use std::process::Output;
use std::time::{Duration, Instant};

/// Longest wait for anything that the proxy does without a delay of its own.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(3);
/// How long no input has to arrive for a connection to count as quiet.
const QUIET_TIME: Duration = Duration::from_millis(150);
/// The session id in [`OPEN_LINE`], for which [`ProxyHarness::connect`] substitutes a unique one.
pub(crate) const OPEN_LINE_SESSION_ID: &str = "9b1f03aa5c7e2d41";

/// A client's request for a session at listener `feed`, which waits at most 2,000 ms for its response.
pub(crate) const OPEN_LINE: &str =
    "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=2000,g=5c0f6e1a2b3d4c59,x=1\r\n";
/// Settings of a proxy to which discovery pushes endpoint lists and which may not send health checks.
pub(crate) const SETTINGS: &str = r#"{"discovery":"pushed","instances":1,"self_index":0,"zone":0,"localities":["a","b"],
    "listeners":[{"name":"feed","semantics":"read_like","handshake_target":800000,"give_up":2000000},
                 {"name":"order","semantics":"non_idempotent","handshake_target":800000,"give_up":2000000}],
    "tenants":[{"name":"acme"}],"load_info":{"fields":["x0","outstanding"],"how":"on_probe"},
    "permissions":{"max_dials":2,"cancelling":true,"retry_after":true,"max_retry_after":2000000,
                   "dial_timeout":200000,"may_probe":false},
    "rules":{"cold":8900000,"cold_share":0.31,"tip_multiple":4.0,"drain_grace":400000},"weights":"fixed"}"#;

/// [`SETTINGS`] of a proxy that may also send health checks.
pub(crate) fn settings_with_health_checks() -> String {
    SETTINGS.replace("\"may_probe\":false", "\"may_probe\":true")
}

/// Standard output and standard error of a command, one after the other.
pub(crate) fn output_text(output: &Output) -> String {
    let bytes = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8(bytes).unwrap()
}

/// Waits until a condition holds; fails with its description if that takes longer than [`TIMEOUT`].
pub(crate) fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "never: {description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
