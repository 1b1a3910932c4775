//! Rare moments, each forced: the proxy is stopped while its sockets are made ready, so that it meets all of it in one
//! wake-up.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod support;

use rustix::net::sockopt::set_socket_linger;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::{
    LineConnection, OPEN_LINE, ProxyHarness, SETTINGS, TIMEOUT, endpoint_json, list_line,
};
use test_case::test_case;

/// Makes sockets ready while the proxy stands still.
fn at_once(world: &ProxyHarness, makes_ready: impl FnOnce()) {
    world.send_signal("STOP");
    std::thread::sleep(Duration::from_millis(30));
    makes_ready();
    std::thread::sleep(Duration::from_millis(30));
    world.send_signal("CONT");
}

fn no_dial(world: &ProxyHarness) {
    std::thread::sleep(Duration::from_millis(150));
    let door = &world.servers[0];
    door.set_nonblocking(true).unwrap();
    assert!(door.accept().is_err(), "it was dialled");
}

/// Ends a client's connection: in good order, by a reset, or behind bytes that nobody has read.
fn leaves(mut client: LineConnection, how: &str) {
    let stream = client.0.get_mut();
    match how {
        "FIN" => stream.shutdown(Shutdown::Write).unwrap(),
        "RST" => set_socket_linger(&*stream, Some(Duration::ZERO)).unwrap(),
        _ => {
            stream.write_all(b"early\r\n").unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
        }
    }
}

#[test_case("FIN"; "in good order")]
#[test_case("RST"; "by reset")]
#[test_case("bytes"; "behind bytes")]
fn a_client_that_left_before_its_line_was_read_is_not_dialled_for(how: &str) {
    let world = ProxyHarness::new(1);
    let client = world.connect("");
    std::thread::sleep(Duration::from_millis(50));
    at_once(&world, || {
        let mut client = client;
        client.send(OPEN_LINE);
        leaves(client, how);
    });
    no_dial(&world);
    world.open_session();
}

// The word that ends the first dial comes in the same wake-up, before the client's end.
#[test_case("BUSY\r\n", "FIN"; "full, in good order")]
#[test_case("BUSY\r\n", "RST"; "full, by reset")]
#[test_case("ERR\r\n", "bytes"; "erred, behind bytes")]
#[test_case("", "FIN"; "ended, in good order")]
fn a_client_that_left_between_two_dials_gets_no_second(says: &str, how: &str) {
    let world = ProxyHarness::new(1);
    // A process at which nothing has come up yet would hold others back at the first failure.
    let _open = world.open_session();
    let client = world.connect(OPEN_LINE);
    let (server, _) = world.accept_at(0);
    at_once(&world, || {
        let mut server = server;
        server.send(says);
        drop(server);
        leaves(client, how);
    });
    no_dial(&world);
    world.open_session();
}

// Bytes without end of a line keep no watch alive.
#[test_case("{\"rev\":9,"; "half a line")]
#[test_case(" "; "spaces")]
fn a_watch_that_trickles_is_opened_again(says: &str) {
    let world = ProxyHarness::new(1);
    let since = Instant::now();
    let (request, _watch) = loop {
        let _ = world.watch.send(says.into());
        match world.watches.recv_timeout(Duration::from_millis(300)) {
            Ok(opened) => break opened,
            Err(_) => assert!(
                since.elapsed() < Duration::from_secs(5),
                "it is believed to live"
            ),
        }
    };
    assert!(request.contains("stream=1&index=8 "), "{request}");
    assert!(
        since.elapsed() >= Duration::from_secs(2),
        "blank lines may take 2 s"
    );
}

// A change counts as told 6 s after the watch fell silent, whatever failed meanwhile.
#[test_case(0; "the next answers")]
#[test_case(1; "the next is silent too")]
#[test_case(2; "the two next")]
fn what_a_silent_watch_misses_is_known_in_time(silent: usize) {
    let world = ProxyHarness::new(2);
    let since = Instant::now();
    let mut kept = Vec::new();
    for _ in 0..silent {
        kept.push(
            world
                .watches
                .recv_timeout(TIMEOUT + TIMEOUT)
                .expect("another watch"),
        );
    }
    let (_, watch) = world
        .watches
        .recv_timeout(TIMEOUT + TIMEOUT)
        .expect("another watch");
    let at = |n: usize| world.servers[n].local_addr().unwrap();
    watch
        .send(list_line(9, false, &[endpoint_json(0, at(0), "draining")]))
        .unwrap();
    std::thread::sleep(Duration::from_millis(50));
    assert!(
        since.elapsed() < Duration::from_millis(6_300),
        "{:?}",
        since.elapsed()
    );
    for _ in 0..6 {
        world.open_session_at(&[1]);
    }
}

#[test]
fn a_watch_that_ends_over_and_over_is_opened_again_without_long_pauses() {
    let world = ProxyHarness::new(1);
    let (since, mut watch) = (Instant::now(), world.watch.clone());
    let mut last = since;
    for _ in 0..12 {
        let _ = watch.send(String::new());
        watch = world
            .watches
            .recv_timeout(TIMEOUT)
            .expect("another watch")
            .1;
        assert!(
            last.elapsed() < Duration::from_millis(800),
            "{:?}",
            last.elapsed()
        );
        last = Instant::now();
    }
}

#[test]
fn two_signals_at_once_are_both_heeded() {
    let mut world = ProxyHarness::new(1);
    let (mut client, _server) = world.open_session();
    at_once(&world, || {
        ["HUP", "USR1", "TERM"]
            .iter()
            .for_each(|name| world.send_signal(name))
    });
    assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
    drop(client);
    let (code, log) = world.wait_for_exit();
    let printed = log
        .lines()
        .filter(|line| line.starts_with("counters "))
        .count();
    assert!(
        code == Some(0) && printed == 2 && log.contains("reloaded "),
        "{code:?} {log}"
    );
}

#[test_case("TERM"; "alone")]
#[test_case("HUP"; "after a reload")]
fn a_proxy_told_to_leave_before_it_serves_leaves_in_order(first: &str) {
    let operator = std::env::temp_dir().join(format!(
        "asterramp-moments-{}-{first}.toml",
        std::process::id()
    ));
    std::fs::write(&operator, "").unwrap();
    let mut world = ProxyHarness::without_endpoints(SETTINGS, &operator);
    world.send_signal(first);
    world.send_signal("TERM");
    let (code, log) = world.wait_for_exit();
    std::fs::remove_file(&operator).unwrap();
    assert_eq!(code, Some(0), "{log}");
}

#[test]
fn who_waits_at_the_door_as_it_closes_is_answered() {
    let world = ProxyHarness::new(1);
    // One stays, or it would have ended before.
    let (_open, _server) = world.open_session();
    world.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(1_300));
    let mut crowd = Vec::new();
    world.send_signal("STOP");
    crowd.extend((0..200).map(|_| world.connect(OPEN_LINE)));
    std::thread::sleep(Duration::from_millis(800));
    world.send_signal("CONT");
    let told: Vec<String> = crowd.iter_mut().map(LineConnection::read_line).collect();
    let answered = |line: &&String| line.starts_with("BUSY") || *line == "ERR";
    assert_eq!(told.iter().filter(answered).count(), 200, "{told:?}");
    assert!(crowd.iter_mut().all(|client| client.read_line() == "FIN"));
}

#[test]
fn who_comes_long_after_the_front_should_have_stopped_is_served_and_moved() {
    let world = ProxyHarness::new(1);
    let (_open, _server) = world.open_session();
    world.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(900));
    let (mut late, _late_server) = world.open_session();
    assert_eq!([late.read_line(), late.read_line()], ["MOVE", "FIN"]);
}

/// The front sends clients for up to 0.4 s after SIGTERM, however short their longest wait is, from nothing told to the
/// longest that the settings may name; and the process has gone before it is killed, 0.7 s after the longest wait (3 s at most).
#[test_case("1", false, 700; "a microsecond")]
#[test_case("100000", false, 800; "a tenth of a second")]
#[test_case("100000", true, 800; "a tenth of a second, with operators")]
#[test_case("500000", true, 1_200; "half a second, with operators")]
#[test_case("0", false, 3_700; "nothing told")]
#[test_case("4294967295000000", false, 3_700; "the longest")]
fn who_comes_while_the_front_still_sends_is_served_however_short_waits_are(
    wait: &str,
    operators: bool,
    killed: u64,
) {
    let settings = SETTINGS.replace("\"give_up\":2000000", &format!("\"give_up\":{wait}"));
    let mut world = match operators {
        true => ProxyHarness::with_admin_http_and_file(1, &settings, None),
        false => ProxyHarness::with_descriptors(1, &settings, 512, 1024),
    };
    let (mut open, _server) = world.open_session();
    let since = Instant::now();
    world.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(400).saturating_sub(since.elapsed()));
    let (mut late, _late_server) = world.open_session();
    assert_eq!([late.read_line(), late.read_line()], ["MOVE", "FIN"]);
    assert_eq!([open.read_line(), open.read_line()], ["MOVE", "FIN"]);
    drop((open, late));
    assert_eq!(world.wait_for_exit().0, Some(0));
    assert!(
        since.elapsed() < Duration::from_millis(killed),
        "{:?}",
        since.elapsed()
    );
}

// A client that rests, or has said half a line, is told its end; what it says in that moment is not sent on.
#[test_case(""; "rests")]
#[test_case("OPEN 1 2 c=feed"; "half a line")]
fn who_rests_until_the_end_is_told_and_nothing_is_sent_on(says: &str) {
    let mut world = ProxyHarness::new(1);
    let (_open, _server) = world.open_session();
    world.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(1_300));
    let mut rests = world.connect(says);
    // Whoever waits is answered after 2 s, the longest wait of these settings.
    std::thread::sleep(Duration::from_millis(950));
    rests.send(if says.is_empty() {
        OPEN_LINE
    } else {
        ",t=acme,d=2000\r\n"
    });
    assert_eq!([rests.read_line(), rests.read_line()], ["ERR", "FIN"]);
    no_dial(&world);
    drop(rests);
    assert_eq!(world.wait_for_exit().0, Some(0));
}

// The place of the stranger that has been there longest is needed in the moment in which it speaks.
#[test]
fn who_is_crowded_out_as_it_speaks_is_told_and_not_reset() {
    let world = ProxyHarness::with_descriptors(1, SETTINGS, 64, 1024);
    let mut strangers: Vec<LineConnection> = (0..18).map(|_| world.connect("")).collect();
    std::thread::sleep(Duration::from_millis(100));
    let mut client = None;
    at_once(&world, || {
        client = Some(world.connect(OPEN_LINE));
        strangers
            .iter_mut()
            .for_each(|stranger| stranger.send("half"));
    });
    world.accept_at(0).0.send("UP r\r\n");
    assert_eq!(client.unwrap().read_line(), "UP r");
    let told = [strangers[0].read_line(), strangers[0].read_line()];
    assert_eq!(told, ["ERR", "FIN"]);
}

// A kept connection for probes gets a late word, or its end, in the moment in which it is to be used again.
#[test_case("PONG x0=9.9,outstanding=900\r\n", false; "a late word")]
#[test_case("PON", false; "half a line")]
#[test_case("", true; "its end")]
fn a_resting_connection_is_looked_at_before_it_is_used(says: &str, ends: bool) {
    let settings = SETTINGS.replace("\"may_probe\":false", "\"may_probe\":true");
    let world = ProxyHarness::with_descriptors(1, &settings, 512, 1024);
    let mut first = world.connect(OPEN_LINE);
    let (mut probe, line) = world.accept_at(0);
    assert_eq!(line, "STATS");
    probe.send("PONG x0=0.1,outstanding=3\r\n");
    let (mut server, _) = world.accept_at(0);
    server.send("ERR\r\n");
    let (mut server, _) = world.accept_at(0);
    server.send("ERR\r\n");
    assert_eq!(first.read_line(), "BUSY 1000");
    // Until its count is old and another asks for it.
    std::thread::sleep(Duration::from_millis(2_300));
    let mut next = None;
    at_once(&world, || {
        next = Some(world.connect(OPEN_LINE));
        probe.send(says);
        if ends {
            probe.0.get_mut().shutdown(Shutdown::Both).unwrap();
        }
    });
    let (mut other, line) = world.accept_at(0);
    assert_eq!(line, "STATS", "over a connection of its own");
    other.send("PONG x0=0.1,outstanding=3\r\n");
    world.accept_at(0).0.send("UP r\r\n");
    assert_eq!(next.unwrap().read_line(), "UP r");
}

// Clients that rest hold every descriptor that they may, while the watch is down.
#[test]
fn idle_clients_keep_no_list_and_no_dial_away() {
    let world = ProxyHarness::with_descriptors(2, SETTINGS, 128, 128);
    let pairs: Vec<_> = (0..30).map(|_| world.open_session_at(&[0, 1])).collect();
    let crowd: Vec<LineConnection> = (0..300).map(|_| world.connect("")).collect();
    world.watch.send(String::new()).unwrap();
    let since = Instant::now();
    let (_, watch) = world.watches.recv_timeout(TIMEOUT).expect("another watch");
    let at = |n: usize| world.servers[n].local_addr().unwrap();
    watch
        .send(list_line(9, false, &[endpoint_json(0, at(0), "draining")]))
        .unwrap();
    std::thread::sleep(Duration::from_millis(50));
    for _ in 0..6 {
        world.open_session_at(&[1]);
    }
    assert!(
        since.elapsed() < Duration::from_secs(2),
        "{:?}",
        since.elapsed()
    );
    drop((pairs, crowd));
}

/// Thirty processes started at once: nine in ten have to be ready within 10 s, whatever discovery does meanwhile. Where it
/// says nothing they go by the list of old, after half a second.
#[test_case("answers"; "discovery answers")]
#[test_case("is slow"; "discovery takes three seconds")]
#[test_case("is silent"; "discovery takes calls and says nothing")]
#[test_case("is down"; "discovery refuses")]
fn restarted_processes_are_ready_in_time(discovery: &str) {
    let world = ProxyHarness::new(1);
    let text = std::fs::read_to_string(&world.config_path).unwrap();
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent = door.local_addr().unwrap();
    let _silent = match discovery {
        "is down" => {
            drop(door);
            None
        }
        "is silent" => Some(door),
        _ => {
            let (watches, pause) = (
                support::serve_discovery(door),
                if discovery == "is slow" { 3 } else { 0 },
            );
            std::thread::spawn(move || {
                let mut open = Vec::new();
                for (_, watch) in watches.iter() {
                    std::thread::sleep(Duration::from_secs(if open.is_empty() {
                        pause
                    } else {
                        0
                    }));
                    let _ = watch.send(support::list_line(8, false, &[]));
                    open.push(watch);
                }
            });
            None
        }
    };
    let since = Instant::now();
    let started = (0..30).map(|nth| {
        let listen = support::free_address(20_000 + nth);
        let config = world.directory.join(format!("{nth}-{}.json", agent.port()));
        let own = text.replace(&world.listen_address.to_string(), &listen.to_string());
        let from = own.find("\"discovery\":\"127").unwrap();
        let to = from + own[from..].find(',').unwrap();
        std::fs::write(
            &config,
            format!("{}\"discovery\":\"{agent}\"{}", &own[..from], &own[to..]),
        )
        .unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_asterramp"));
        let proxy = command
            .env("LB_CONFIG", &config)
            .stderr(std::process::Stdio::null())
            .spawn()
            .unwrap();
        (proxy, listen)
    });
    let mut started: Vec<_> = started.collect();
    let mut ready = Vec::new();
    let mut waits: Vec<_> = started.iter().map(|(_, listen)| *listen).collect();
    while !waits.is_empty() && since.elapsed() < Duration::from_secs(12) {
        waits.retain(|listen| {
            let answer = TcpStream::connect(listen).map(|stream| {
                let mut side = LineConnection::of(stream);
                side.send("PING\r\n");
                side.read_line_within(Duration::from_millis(100))
            });
            let yes = matches!(answer, Ok(Some(line)) if line == "PONG");
            yes.then(|| ready.push(since.elapsed()));
            !yes
        });
        std::thread::sleep(Duration::from_millis(20));
    }
    for (proxy, _) in &mut started {
        proxy.kill().unwrap();
        proxy.wait().unwrap();
    }
    println!(
        "discovery {discovery}: {} ready, {:?}, of 30 the 15th and 27th {:?}, {:?}, last {:?}",
        ready.len(),
        ready.first(),
        ready.get(14),
        ready.get(26),
        ready.last()
    );
    assert!(
        ready
            .get(26)
            .is_some_and(|at| *at < Duration::from_secs(10)),
        "{ready:?}"
    );
}
