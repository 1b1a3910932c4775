//! Crowds of clients, and limits on descriptors and memory.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};
use support::{
    LineConnection, OPEN_LINE, ProxyHarness, ProxyOptions, TIMEOUT, endpoint_json, list_line,
};

#[test]
fn idle_crowds_neither_keep_clients_out_nor_stay_long() {
    let proxy = ProxyOptions::new(1).descriptors(128, 1024).start();
    let mut idle: Vec<LineConnection> = (0..300).map(|_| proxy.connect("")).collect();
    idle.extend((0..100).map(|_| proxy.connect("PING\r\n")));
    idle.extend((0..100).map(|_| proxy.connect("what\r\n")));
    let begin = Instant::now();
    let sessions: Vec<_> = (0..8).map(|_| proxy.open_session()).collect();
    assert!(
        begin.elapsed() < Duration::from_secs(1),
        "{:?}",
        begin.elapsed()
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
    assert!(begin.elapsed() < TIMEOUT, "{:?}", begin.elapsed());
    drop(sessions);
}

#[test]
fn a_client_that_reads_no_answers_is_not_read_any_more() {
    let proxy = ProxyHarness::new(1);
    let mut client = proxy.connect("");
    let stream = client.0.get_mut();
    stream
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let written = (0..1_000)
        .map_while(|_| stream.write_all("PING\r\n".repeat(5_000).as_bytes()).ok())
        .count();
    assert!(
        written < 1_000,
        "thirty megabytes of answers wait somewhere"
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
fn a_lower_limit_than_configured_is_met_without_spinning_and_recovers() {
    let mut proxy = ProxyOptions::new(1).descriptors(512, 24).start();
    let waiting: Vec<LineConnection> = (0..40).map(|_| proxy.connect("")).collect();
    std::thread::sleep(Duration::from_millis(500));
    drop(waiting);
    std::thread::sleep(Duration::from_millis(300));
    proxy.open_session();
    proxy.send_signal("TERM");
    let (code, log) = proxy.wait_for_exit();
    let pauses = log
        .lines()
        .filter(|line| line.starts_with("accept-failed "))
        .count();
    assert!(
        code == Some(0) && (2..30).contains(&pauses),
        "{pauses} {log}"
    );
}

// Idle clients hold every descriptor that they may, while the watch is down.
#[test]
fn idle_clients_prevent_neither_a_watch_nor_a_dial() {
    let proxy = ProxyOptions::new(2).descriptors(128, 128).start();
    let sessions: Vec<_> = (0..30).map(|_| proxy.open_session_at(&[0, 1])).collect();
    let idle: Vec<LineConnection> = (0..300).map(|_| proxy.connect("")).collect();
    proxy.watch.send(String::new()).unwrap();
    let begin = Instant::now();
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
        begin.elapsed() < Duration::from_secs(2),
        "{:?}",
        begin.elapsed()
    );
    drop((sessions, idle));
}
