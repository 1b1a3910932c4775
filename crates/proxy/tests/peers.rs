//! A start that may ask other proxies, between others that tell the truth, lie, say too much or nothing.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use support::{OPEN_LINE, ProxyHarness, SETTINGS, TIMEOUT, endpoint_json, free_address};
use test_case::test_case;

const KNOWN: &str =
    r#"{"v":1,"fleet":"lake","stage":"normal","rev":3,"told_ms":null,"pending":0,"hosts":[HOSTS]}"#;

fn host(uid: &str, at: SocketAddr, zone: &str, age_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","zone":"{zone}","cell":0,"weight":1.0,"started_ms":null,"age_ms":{age_ms},"unit":0.02}}"#
    )
}

/// Another proxy that answers each call so; nothing at all where there is no answer.
fn other(answer: Option<String>) -> SocketAddr {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = door.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        for stream in door.incoming() {
            let mut stream = stream.unwrap();
            let mut call = String::new();
            let _ = BufReader::new(&stream).read_line(&mut call);
            match &answer {
                Some(answer) => drop(stream.write_all(answer.as_bytes())),
                None => kept.push(stream),
            }
        }
    });
    at
}

fn good(hosts: &str) -> Option<String> {
    Some(format!(
        "HTTP/1.1 200 OK\r\n\r\n{}",
        KNOWN.replace("HOSTS", hosts)
    ))
}

/// The file of an operator whose proxies may ask these.
fn operator(others: &[SocketAddr]) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nth = NEXT.fetch_add(1, Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("asterramp-peers-{}-{nth}.toml", std::process::id()));
    let others: Vec<String> = others.iter().map(|at| format!("\"{at}\"")).collect();
    let text = format!(
        "[recovery]\nstages = true\nfleet = \"lake\"\nothers = [{}]\n",
        others.join(", ")
    );
    std::fs::write(&path, text).unwrap();
    path
}

/// A host that answers probes, and counts those who ask.
fn probed() -> (SocketAddr, std::sync::Arc<AtomicU32>) {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, asked) = (
        door.local_addr().unwrap(),
        std::sync::Arc::new(AtomicU32::new(0)),
    );
    let count = asked.clone();
    std::thread::spawn(move || {
        for stream in door.incoming() {
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
    (at, asked)
}

/// A proxy with nothing known of its own and no discovery that answers; its log once it has been told to leave.
fn play(others: &[SocketAddr], during: impl Fn(&mut ProxyHarness)) -> String {
    let file = operator(others);
    let settings = SETTINGS.replace("\"may_probe\":false", "\"may_probe\":true");
    let mut world = ProxyHarness::without_endpoints(&settings, &file);
    during(&mut world);
    world.send_signal("TERM");
    let (code, log) = world.wait_for_exit();
    std::fs::remove_file(file).unwrap();
    assert_eq!(code, Some(0), "{log}");
    log
}

/// Whether a client is served by whom the others named, within some seconds.
fn is_served(world: &ProxyHarness, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        let mut client = world.connect(OPEN_LINE);
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
fn whom_another_names_is_asked_and_then_served_by() {
    let (at, asked) = probed();
    let log = play(
        &[other(None), other(good(&host("s-9", at, "a", 100)))],
        |world| {
            assert!(is_served(world, TIMEOUT + TIMEOUT), "nobody is served");
        },
    );
    assert!(asked.load(Ordering::Relaxed) > 0);
    assert!(
        log.contains("peer-bad peer why=\"it does not answer in time\""),
        "{log}"
    );
}

#[test_case(Some("HTTP/1.1 200 OK\r\n\r\nrubbish".into()), "cannot be read"; "rubbish")]
#[test_case(Some("HTTP/1.1 503 No\r\n\r\n".into()), "answers no"; "a no")]
#[test_case(Some("nothing\r\n".into()), "no head"; "no head")]
#[test_case(good("").map(|text| text.replace("lake", "river")), "another fleet"; "of another fleet")]
#[test_case(good("").map(|text| text.replace("\"v\":1", "\"v\":2")), "version 2"; "of another version")]
#[test_case(Some(format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(200_000))), "too long"; "too long")]
#[test_case(None, "does not answer in time"; "no answer")]
fn an_answer_that_cannot_be_used_is_one_line_and_nothing_else(answer: Option<String>, why: &str) {
    let log = play(&[other(answer)], |world| {
        assert!(!is_served(world, Duration::from_millis(1200)))
    });
    assert!(
        log.lines()
            .any(|line| line.starts_with("peer-bad ") && line.contains(why)),
        "{log}"
    );
}

#[test]
fn a_lie_comes_to_no_more_than_a_probe() {
    // Nobody there, a place that is none, a word from a day ago, and one that is silent.
    let (gone, silent) = (free_address(77), TcpListener::bind("127.0.0.1:0").unwrap());
    let hosts = [
        host("s-1", gone, "a", 10),
        host("s-2", probed().0, "nowhere", 10),
        host("s-3", probed().0, "a", 90_000_000),
        host("s-4", silent.local_addr().unwrap(), "a", 10),
    ];
    let log = play(&[other(good(&hosts.join(",")))], |world| {
        assert!(!is_served(world, Duration::from_millis(2_500)));
    });
    assert!(!log.contains("stage stage=admitting"), "{log}");
}

#[test]
fn a_proxy_answers_its_fleet_and_nobody_where_it_has_none() {
    let file = operator(&[free_address(78)]);
    let mut world = ProxyHarness::with_admin_http_and_file(2, SETTINGS, Some(&file));
    let ready = (0..2).map(|n| endpoint_json(n, world.servers[n].local_addr().unwrap(), "ready"));
    world
        .watch
        .send(support::list_line(9, true, &ready.collect::<Vec<_>>()))
        .unwrap();
    let until = Instant::now() + TIMEOUT;
    loop {
        let (status, body) = support::http_call(world.admin_http, "GET /ops/known");
        let known: serde_json::Value = serde_json::from_str(&body).unwrap();
        assert_eq!((status, known["fleet"].as_str()), (200, Some("lake")));
        if known["hosts"].as_array().unwrap().len() == 2 && known["stage"] == "normal" {
            break;
        }
        assert!(Instant::now() < until, "{body}");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        support::http_call(world.admin_http, "POST /ops/known").0,
        405
    );
    world.send_signal("TERM");
    world.wait_for_exit();
    std::fs::remove_file(file).unwrap();
    let alone = ProxyHarness::with_admin_http(1);
    assert_eq!(
        support::http_call(alone.admin_http, "GET /ops/known").0,
        404
    );
}
