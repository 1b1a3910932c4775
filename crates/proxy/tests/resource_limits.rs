//! Many connections at once, and limits on descriptors and memory.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};
use support::{
    LineConnection, OPEN_LINE, ProxyHarness, ProxyOptions, TIMEOUT, endpoint_json, list_line,
};

#[test]
fn many_idle_connections_neither_block_clients_nor_stay_open() {
    let proxy = ProxyOptions::new(1).descriptors(128, 1024).start();
    let mut idle: Vec<LineConnection> = (0..300).map(|_| proxy.connect("")).collect();
    idle.extend((0..100).map(|_| proxy.connect("PING\r\n")));
    idle.extend((0..100).map(|_| proxy.connect("what\r\n")));
    let started_at = Instant::now();
    let sessions: Vec<_> = (0..8).map(|_| proxy.open_session()).collect();
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "{:?}",
        started_at.elapsed()
    );
    for client in &mut idle {
        let lines = [client.read_line(), client.read_line()];
        assert!(
            lines
                .iter()
                .any(|line| matches!(line.as_str(), "ERR" | "FIN" | "RST")),
            "{lines:?}"
        );
    }
    assert!(started_at.elapsed() < TIMEOUT, "{:?}", started_at.elapsed());
    drop(sessions);
}

#[test]
fn the_proxy_stops_reading_from_a_client_that_reads_no_responses() {
    let proxy = ProxyHarness::new(1);
    let mut client = proxy.connect("");
    let stream = client.0.get_mut();
    stream
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let written_blocks = (0..1_000)
        .map_while(|_| stream.write_all("PING\r\n".repeat(5_000).as_bytes()).ok())
        .count();
    assert!(
        written_blocks < 1_000,
        "30 MB of pings were read, so their responses are buffered without limit"
    );
    proxy.open_session();
}

#[test]
fn clients_beyond_the_limit_are_rejected_and_later_ones_served_again() {
    let proxy = ProxyOptions::new(1).descriptors(64, 1024).start();
    let mut open = Vec::new();
    let mut rejected = 0;
    for _ in 0..40 {
        let mut client = proxy.connect(OPEN_LINE);
        // Of 64 descriptors, 28 are reserved for other uses; the others suffice for 18 sessions of two each.
        if open.len() < 18 {
            let (mut server, _) = proxy.accept_at(0);
            server.send("UP r\r\n");
            assert_eq!(client.read_line(), "UP r");
            open.push((client, server));
        } else {
            rejected += usize::from(client.read_line() == "BUSY 1000");
        }
    }
    assert_eq!(rejected, 22);
    drop(open);
    std::thread::sleep(Duration::from_millis(300));
    proxy.open_session();
}

#[test]
fn reaching_a_process_limit_below_the_configured_one_causes_no_spinning_and_the_proxy_recovers() {
    let mut proxy = ProxyOptions::new(1).descriptors(512, 24).start();
    let idle: Vec<LineConnection> = (0..40).map(|_| proxy.connect("")).collect();
    std::thread::sleep(Duration::from_millis(500));
    drop(idle);
    std::thread::sleep(Duration::from_millis(300));
    proxy.open_session();
    proxy.send_signal("TERM");
    let (code, log) = proxy.wait_for_exit();
    let accept_failures = log
        .lines()
        .filter(|line| line.starts_with("accept-failed "))
        .count();
    assert!(
        code == Some(0) && (2..30).contains(&accept_failures),
        "{accept_failures} {log}"
    );
}

// Idle clients hold all descriptors that clients may use, while the discovery watch is down.
#[test]
fn idle_clients_prevent_neither_a_watch_nor_a_dial() {
    let proxy = ProxyOptions::new(2).descriptors(128, 128).start();
    let sessions: Vec<_> = (0..30).map(|_| proxy.open_session_at(&[0, 1])).collect();
    let idle: Vec<LineConnection> = (0..300).map(|_| proxy.connect("")).collect();
    proxy.watch.send(String::new()).unwrap();
    let started_at = Instant::now();
    let watch = proxy.accept_watch().lists;
    watch
        .send(list_line(
            9,
            false,
            &[endpoint_json(0, proxy.server_address(0), "draining")],
        ))
        .unwrap();
    std::thread::sleep(Duration::from_millis(50));
    for _ in 0..6 {
        proxy.open_session_at(&[1]);
    }
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        started_at.elapsed()
    );
    drop((sessions, idle));
}
