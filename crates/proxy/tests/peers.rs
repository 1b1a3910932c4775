//! A warm start that asks peers, which answer truly, falsely, at too great length or not at all.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use support::{
    OPEN_LINE, ProxyHarness, ProxyOptions, TIMEOUT, endpoint_json, free_address, http_call,
    list_line, settings_with_health_checks, temporary_path,
};
use test_case::test_case;

/// What a peer knows; `HOSTS` stands for its entries.
const KNOWN: &str =
    r#"{"v":1,"fleet":"lake","stage":"normal","rev":3,"told_ms":null,"pending":0,"hosts":[HOSTS]}"#;

/// An entry of what a peer knows.
fn known_endpoint(uid: &str, at: SocketAddr, zone: &str, age_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","zone":"{zone}","cell":0,"weight":1.0,"started_ms":null,"age_ms":{age_ms},"unit":0.02}}"#
    )
}

/// A peer that answers each call with one text, or not at all.
fn peer(answer: Option<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut silent = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut call = String::new();
            let _ = BufReader::new(&stream).read_line(&mut call);
            match &answer {
                Some(answer) => drop(stream.write_all(answer.as_bytes())),
                None => silent.push(stream),
            }
        }
    });
    at
}

fn good_answer(hosts: &str) -> Option<String> {
    Some(format!(
        "HTTP/1.1 200 OK\r\n\r\n{}",
        KNOWN.replace("HOSTS", hosts)
    ))
}

/// An operator's file by which a proxy may ask some peers.
fn operator_file(peers: &[SocketAddr]) -> PathBuf {
    let path = temporary_path("toml");
    let peers: Vec<String> = peers.iter().map(|at| format!("\"{at}\"")).collect();
    let text = format!(
        "[recovery]\nstages = true\nfleet = \"lake\"\nothers = [{}]\n",
        peers.join(", ")
    );
    std::fs::write(&path, text).unwrap();
    path
}

/// A server that answers health checks and counts them.
fn checked_server() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let health_checks = Arc::new(AtomicU32::new(0));
    let count = health_checks.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            if line.starts_with("STATS") {
                count.fetch_add(1, Ordering::Relaxed);
                let _ = stream.write_all(b"PONG x0=0.1,outstanding=1\r\n");
            }
            if line.starts_with("OPEN") {
                let _ = stream.write_all(b"UP r9\r\n");
            }
            std::thread::spawn(move || {
                let mut rest = [0; 64];
                while stream.read(&mut rest).is_ok_and(|n| n > 0) {}
            });
        }
    });
    (address, health_checks)
}

/// Runs a proxy that knows no endpoints and whose discovery sends no list; its log after a shutdown.
fn run_with_peers(peers: &[SocketAddr], during: impl Fn(&mut ProxyHarness)) -> String {
    let file = operator_file(peers);
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

/// Whether a client is served by an endpoint that the peers named, within a time.
fn serves_client(proxy: &ProxyHarness, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        let mut client = proxy.connect(OPEN_LINE);
        match client.read_line_within(TIMEOUT).as_deref() {
            Some("UP r9") => return true,
            Some(busy) => assert!(busy.starts_with("BUSY"), "{busy}"),
            None => {}
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

#[test]
fn an_endpoint_named_by_a_peer_is_checked_and_then_used() {
    let (address, health_checks) = checked_server();
    let log = run_with_peers(
        &[
            peer(None),
            peer(good_answer(&known_endpoint("s-9", address, "a", 100))),
        ],
        |proxy| {
            assert!(serves_client(proxy, TIMEOUT + TIMEOUT), "nobody is served");
        },
    );
    assert!(health_checks.load(Ordering::Relaxed) > 0);
    assert!(
        log.contains("peer-bad peer why=\"it does not answer in time\""),
        "{log}"
    );
}

#[test_case(Some("HTTP/1.1 200 OK\r\n\r\nrubbish".into()), "cannot be read"; "rubbish")]
#[test_case(Some("HTTP/1.1 503 No\r\n\r\n".into()), "answers no"; "a no")]
#[test_case(Some("nothing\r\n".into()), "no head"; "no head")]
#[test_case(good_answer("").map(|text| text.replace("lake", "river")), "another fleet"; "of another fleet")]
#[test_case(good_answer("").map(|text| text.replace("\"v\":1", "\"v\":2")), "version 2"; "of another version")]
#[test_case(Some(format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(200_000))), "too long"; "too long")]
#[test_case(None, "does not answer in time"; "no answer")]
fn an_unusable_answer_is_logged_in_one_line_and_otherwise_ignored(
    answer: Option<String>,
    why: &str,
) {
    let log = run_with_peers(&[peer(answer)], |proxy| {
        assert!(!serves_client(proxy, Duration::from_millis(1200)))
    });
    assert!(
        log.lines()
            .any(|line| line.starts_with("peer-bad ") && line.contains(why)),
        "{log}"
    );
}

#[test]
fn a_false_entry_of_a_peer_causes_no_more_than_a_health_check() {
    // Nobody listens, an unknown zone, information a day old, and a server that is silent.
    let gone = free_address(77);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let hosts = [
        known_endpoint("s-1", gone, "a", 10),
        known_endpoint("s-2", checked_server().0, "nowhere", 10),
        known_endpoint("s-3", checked_server().0, "a", 90_000_000),
        known_endpoint("s-4", silent.local_addr().unwrap(), "a", 10),
    ];
    let log = run_with_peers(&[peer(good_answer(&hosts.join(",")))], |proxy| {
        assert!(!serves_client(proxy, Duration::from_millis(2_500)));
    });
    assert!(!log.contains("stage stage=admitting"), "{log}");
}

#[test]
fn a_proxy_answers_its_fleet_and_no_one_without_a_fleet() {
    let file = operator_file(&[free_address(78)]);
    let mut proxy = ProxyOptions::new(2)
        .operator_file(&file)
        .admin_http()
        .start();
    let ready = (0..2).map(|n| endpoint_json(n, proxy.servers[n].local_addr().unwrap(), "ready"));
    proxy
        .watch
        .send(list_line(9, true, &ready.collect::<Vec<_>>()))
        .unwrap();
    let until = Instant::now() + TIMEOUT;
    loop {
        let (status, body) = http_call(proxy.admin_http, "GET /ops/known");
        let known: serde_json::Value = serde_json::from_str(&body).unwrap();
        assert_eq!((status, known["fleet"].as_str()), (200, Some("lake")));
        if known["hosts"].as_array().unwrap().len() == 2 && known["stage"] == "normal" {
            break;
        }
        assert!(Instant::now() < until, "{body}");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(http_call(proxy.admin_http, "POST /ops/known").0, 405);
    proxy.send_signal("TERM");
    proxy.wait_for_exit();
    std::fs::remove_file(file).unwrap();
    let alone = ProxyHarness::with_admin_http(1);
    assert_eq!(http_call(alone.admin_http, "GET /ops/known").0, 404);
}
