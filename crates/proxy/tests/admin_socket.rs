//! The admin socket: replies, limits on connections, the socket file, and the status on the command line.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};
use support::{ProxyWithAdminSocket, operator_file_text, output_text, temporary_path};
use test_case::test_case;

#[test_case("x", "not a request"; "not JSON")]
#[test_case("{}", "not a request"; "no command")]
#[test_case(r#"{"v":2,"do":"status"}"#, "v is 2"; "another version")]
#[test_case(r#"{"v":1,"do":"halt"}"#, "not a request"; "unknown command")]
#[test_case(r#"{"v":1,"do":"status","odd":1}"#, "not a request"; "unknown key")]
#[test_case(r#"{"v":1,"do":"status","pace":1}"#, "go with drain"; "pace without a drain")]
#[test_case(r#"{"v":1,"do":"drain","pace":0}"#, "out of range"; "pace out of range")]
#[test_case(r#"{"v":1,"do":"drain","deadline_ms":99999999999}"#, "more than a day"; "deadline out of range")]
#[test_case(&"x".repeat(2_000), "too long"; "too long")]
fn an_invalid_request_gets_an_error_and_changes_nothing(line: &str, message: &str) {
    let operated = ProxyWithAdminSocket::start("");
    let reply = operated.reply_to(line);
    assert!(
        reply.contains("\"error\"") && reply.contains(message),
        "{reply}"
    );
    assert_eq!(operated.ping(), "PONG");
}

/// Opens a connection that sends requests until the proxy stops reading them, and never reads a reply.
fn open_connection_that_never_reads(operated: &ProxyWithAdminSocket) -> BufReader<UnixStream> {
    let mut connection = operated.connect();
    let stream = connection.get_mut();
    stream
        .set_write_timeout(Some(Duration::from_millis(50)))
        .unwrap();
    let requests = b"{\"v\":1,\"do\":\"status\"}\n".repeat(200);
    while stream.write_all(&requests).is_ok() {}
    connection
}

#[test]
fn connections_that_never_read_delay_only_themselves_and_too_many_are_rejected() {
    let operated = ProxyWithAdminSocket::start("");
    let _never_reading: Vec<_> = (0..5)
        .map(|_| open_connection_that_never_reads(&operated))
        .collect();
    let mut reading: Vec<_> = (0..18).map(|_| operated.connect()).collect();
    for connection in &mut reading {
        connection
            .get_mut()
            .write_all(b"{\"v\":1,\"do\":\"status\"}\n")
            .unwrap();
        let mut reply = String::new();
        connection.read_line(&mut reply).unwrap();
        assert!(reply.contains("serving"));
    }
    let started_at = Instant::now();
    operated.proxy.open_session();
    assert!(started_at.elapsed() < Duration::from_millis(500));
    let _last = operated.connect();
    let mut one_too_many = operated.connect();
    let mut text = String::new();
    assert_eq!(
        one_too_many.read_to_string(&mut text).unwrap_or(0),
        0,
        "{text}"
    );
}

/// Starts a second proxy with the configuration of a running one and an admin socket at `admin_socket`, and checks that
/// it fails with one line that contains `reason`.
fn assert_start_fails(operated: &ProxyWithAdminSocket, admin_socket: &Path, reason: &str) {
    let (operator_file, config) = (temporary_path("toml"), temporary_path("json"));
    std::fs::write(&operator_file, operator_file_text(admin_socket, "")).unwrap();
    let listen_address = operated.proxy.listen_address.to_string();
    let text = std::fs::read_to_string(&operated.proxy.config_path).unwrap();
    std::fs::write(&config, text.replace(&listen_address, "127.0.0.1:0")).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_asterramp"))
        .args(["serve", "--config"])
        .arg(&config)
        .arg("--operator")
        .arg(&operator_file)
        .output()
        .unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && errors.contains(reason) && errors.lines().count() == 1,
        "{errors}"
    );
    for file in [operator_file, config] {
        std::fs::remove_file(file).unwrap();
    }
}

#[test]
fn only_the_user_may_access_the_socket_and_only_a_stale_socket_file_is_replaced() {
    let stale = temporary_path("sock");
    drop(UnixListener::bind(&stale).unwrap());
    let operated = ProxyWithAdminSocket::start_at(stale, "");
    let metadata = std::fs::metadata(&operated.admin_socket).unwrap();
    assert_eq!(metadata.permissions().mode() & 0o777, 0o600);
    operated.wait_for_drain_state("serving");
    let regular_file = temporary_path("sock");
    std::fs::write(&regular_file, "keep me").unwrap();
    assert_start_fails(&operated, &operated.admin_socket, "somebody listens");
    assert_start_fails(&operated, &regular_file, "no socket");
    assert_eq!(std::fs::read_to_string(&regular_file).unwrap(), "keep me");
    std::fs::remove_file(regular_file).unwrap();
    operated.wait_for_drain_state("serving");
}

/// An operator's file with an unknown key in line 2 and an invalid duration in line 3.
const INVALID_OPERATOR_FILE: &str = "[drain]\npase = 1\nquiet = \"x\"\n";

#[test]
fn an_invalid_operator_file_prevents_a_start_and_is_ignored_by_a_reload() {
    let mut operated = ProxyWithAdminSocket::start("");
    let operator_file = temporary_path("toml");
    std::fs::write(&operator_file, INVALID_OPERATOR_FILE).unwrap();
    for command in ["serve", "validate"] {
        let output = Command::new(env!("CARGO_BIN_EXE_asterramp"))
            .env("LB_CONFIG", &operated.proxy.config_path)
            .env("ASTERRAMP_OPERATOR", &operator_file)
            .arg(command)
            .output()
            .unwrap();
        let text = output_text(&output);
        assert!(
            text.contains("line 2: drain.pase") && text.contains("line 3: drain.quiet"),
            "{text}"
        );
    }
    std::fs::remove_file(operator_file).unwrap();
    std::fs::write(&operated.operator_file, INVALID_OPERATOR_FILE).unwrap();
    operated.proxy.send_signal("HUP");
    std::thread::sleep(Duration::from_millis(200));
    operated.wait_for_drain_state("serving");
    operated.proxy.send_signal("TERM");
    let log = operated.proxy.wait_for_exit().1;
    assert!(
        log.contains("reload-bad why=") && log.contains("drain.pase"),
        "{log}"
    );
}

#[test]
fn the_status_is_printed_as_text_and_as_json_and_completions_are_printed() {
    let operated = ProxyWithAdminSocket::start("");
    let _session = operated.proxy.open_session();
    let line = output_text(&operated.run(&["status"]));
    assert!(
        line.starts_with("serving  1 open") && line.contains("1 of 1 hosts ready"),
        "{line}"
    );
    let json = output_text(&operated.run(&["status", "--json"]));
    assert!(
        json.starts_with("{\"pid\":") && json.contains("\"open\":1"),
        "{json}"
    );
    let completions = Command::new(env!("CARGO_BIN_EXE_asterramp"))
        .args(["completions", "bash"])
        .output()
        .unwrap();
    assert!(output_text(&completions).contains("undrain"));
    let without_proxy = Command::new(env!("CARGO_BIN_EXE_asterramp"))
        .args(["status", "--control", "/nowhere"])
        .output();
    assert_eq!(without_proxy.unwrap().status.code(), Some(1));
}

#[test_case("", true; "by default")]
#[test_case("[site]\nwatch = false\n", false; "switched off")]
fn the_status_shows_zones_where_zone_failover_is_on(more_lines: &str, shown: bool) {
    let operated = ProxyWithAdminSocket::start(more_lines);
    let reply = operated.reply_to(r#"{"v":1,"do":"status"}"#);
    assert_eq!(
        reply.contains(r#""places":[{"name":"a","state":"whole","since_ms":"#),
        shown,
        "{reply}"
    );
}
