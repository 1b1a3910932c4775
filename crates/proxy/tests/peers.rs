//! A warm start that asks peers for endpoints; they respond correctly, wrongly, with too long a response or not at all.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use support::{
    OPEN_LINE, ProxyHarness, ProxyOptions, RunningServer, SESSION_OPENED, TIMEOUT, endpoint_json,
    free_address, http_call, list_line, settings_with_health_checks, temporary_path,
};
use test_case::test_case;

/// The body of a peer's response, with `HOSTS` in place of its endpoint entries.
const RESPONSE_BODY_TEMPLATE: &str =
    r#"{"v":1,"fleet":"lake","stage":"normal","rev":3,"told_ms":null,"pending":0,"hosts":[HOSTS]}"#;

/// An endpoint entry in a peer's response; the peer last had it confirmed `age_ms` ago.
fn known_endpoint(uid: &str, address: SocketAddr, zone: &str, age_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","zone":"{zone}","cell":0,"weight":1.0,"started_ms":null,"age_ms":{age_ms},"unit":0.02}}"#
    )
}

/// Starts a peer that sends `response` to each request, or never responds; returns its address.
fn start_peer(response: Option<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut unanswered = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = String::new();
            let _ = BufReader::new(&stream).read_line(&mut request);
            match &response {
                Some(response) => drop(stream.write_all(response.as_bytes())),
                None => unanswered.push(stream),
            }
        }
    });
    address
}

fn valid_response(hosts: &str) -> Option<String> {
    Some(format!(
        "HTTP/1.1 200 OK\r\n\r\n{}",
        RESPONSE_BODY_TEMPLATE.replace("HOSTS", hosts)
    ))
}

/// Writes an operator's file that names the peers of a proxy; returns its path.
fn write_operator_file(peers: &[SocketAddr]) -> PathBuf {
    let path = temporary_path("toml");
    let peers: Vec<String> = peers
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    let text = format!(
        "[recovery]\nstages = true\nfleet = \"lake\"\nothers = [{}]\n",
        peers.join(", ")
    );
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts a server; returns its address and its counts.
fn start_server() -> (SocketAddr, RunningServer) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (address, RunningServer::start(listener))
}

/// Runs a proxy that has no configured endpoints and gets no list from discovery, calls `during`, and shuts the proxy
/// down. Returns its log.
fn run_with_peers(peers: &[SocketAddr], during: impl Fn(&mut ProxyHarness)) -> String {
    let file = write_operator_file(peers);
    let settings = settings_with_health_checks();
    let mut proxy = ProxyOptions::new(0)
        .settings(&settings)
        .operator_file(&file)
        .start_without_list();
    during(&mut proxy);
    proxy.send_signal("TERM");
    let (code, log) = proxy.wait_for_exit();
    std::fs::remove_file(file).unwrap();
    assert_eq!(code, Some(0), "{log}");
    log
}

/// Whether a client is served within `within` by an endpoint that a peer named.
fn serves_client(proxy: &ProxyHarness, within: Duration) -> bool {
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        let mut client = proxy.connect(OPEN_LINE);
        match client.read_line_within(TIMEOUT).as_deref() {
            Some(SESSION_OPENED) => return true,
            Some(busy) => assert!(busy.starts_with("BUSY"), "{busy}"),
            None => {}
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

#[test]
fn an_endpoint_named_by_a_peer_is_checked_and_then_used() {
    let (address, server) = start_server();
    let log = run_with_peers(
        &[
            start_peer(None),
            start_peer(valid_response(&known_endpoint("s-9", address, "a", 100))),
        ],
        |proxy| {
            assert!(
                serves_client(proxy, TIMEOUT + TIMEOUT),
                "no client is served"
            );
        },
    );
    assert!(server.health_check_count() > 0);
    assert!(
        log.contains("peer-bad peer why=\"it does not answer in time\""),
        "{log}"
    );
}

#[test_case(Some("HTTP/1.1 200 OK\r\n\r\nrubbish".into()), "cannot be read"; "rubbish")]
#[test_case(Some("HTTP/1.1 503 No\r\n\r\n".into()), "answers no"; "error status")]
#[test_case(Some("nothing\r\n".into()), "no head"; "no head")]
#[test_case(valid_response("").map(|text| text.replace("lake", "river")), "another fleet"; "of another fleet")]
#[test_case(valid_response("").map(|text| text.replace("\"v\":1", "\"v\":2")), "version 2"; "of another version")]
#[test_case(Some(format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(200_000))), "too long"; "too long")]
#[test_case(None, "does not answer in time"; "no response")]
fn an_unusable_response_is_logged_in_one_line_and_otherwise_ignored(
    response: Option<String>,
    why: &str,
) {
    let log = run_with_peers(&[start_peer(response)], |proxy| {
        assert!(!serves_client(proxy, Duration::from_millis(1200)))
    });
    assert!(
        log.lines()
            .any(|line| line.starts_with("peer-bad ") && line.contains(why)),
        "{log}"
    );
}

#[test]
fn a_wrong_entry_of_a_peer_causes_at_most_a_health_check() {
    // An address without a listener, an unknown zone, an entry that is 25 hours old, and a server that never responds.
    let closed = free_address(77);
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let hosts = [
        known_endpoint("s-1", closed, "a", 10),
        known_endpoint("s-2", start_server().0, "nowhere", 10),
        known_endpoint("s-3", start_server().0, "a", 90_000_000),
        known_endpoint("s-4", unresponsive.local_addr().unwrap(), "a", 10),
    ];
    let log = run_with_peers(&[start_peer(valid_response(&hosts.join(",")))], |proxy| {
        assert!(!serves_client(proxy, Duration::from_millis(2_500)));
    });
    assert!(!log.contains("stage stage=admitting"), "{log}");
}

#[test]
fn a_proxy_responds_to_peers_only_if_it_has_a_fleet() {
    let file = write_operator_file(&[free_address(78)]);
    let mut proxy = ProxyOptions::new(2)
        .operator_file(&file)
        .admin_http()
        .start();
    let ready = (0..2).map(|n| endpoint_json(n, proxy.servers[n].local_addr().unwrap(), "ready"));
    proxy
        .watch
        .send(list_line(9, true, &ready.collect::<Vec<_>>()))
        .unwrap();
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let (status, body) = http_call(proxy.admin_http, "GET /ops/known");
        let known: serde_json::Value = serde_json::from_str(&body).unwrap();
        assert_eq!((status, known["fleet"].as_str()), (200, Some("lake")));
        if known["hosts"].as_array().unwrap().len() == 2 && known["stage"] == "normal" {
            break;
        }
        assert!(Instant::now() < deadline, "{body}");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(http_call(proxy.admin_http, "POST /ops/known").0, 405);
    proxy.send_signal("TERM");
    proxy.wait_for_exit();
    std::fs::remove_file(file).unwrap();
    let without_fleet = ProxyHarness::with_admin_http(1);
    assert_eq!(http_call(without_fleet.admin_http, "GET /ops/known").0, 404);
}
