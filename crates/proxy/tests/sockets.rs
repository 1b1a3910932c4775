//! The program between scripted clients, servers and discovery, on loopback sockets.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod support;

use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::process::Command;
use std::time::{Duration, Instant};
use support::{
    LineConnection, OPEN_LINE, ProxyHarness, SETTINGS, TIMEOUT, endpoint_json, list_line,
    serve_discovery,
};
use test_case::test_case;

#[test_case(b"HELLO\r\n", true; "unknown word")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=x\r\n", true; "bad wait")]
#[test_case(b"OPEN 1 2 c=feed,t=acme\r\n", true; "no wait")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=99999999999999999999999\r\n", true; "a wait that nobody means")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=100\r\nmore\r\n", true; "more than one line")]
#[test_case(b"OPEN 1 zz c=feed,t=acme,d=100\r\n", true; "bad key")]
#[test_case(b"OPEN 1 2 c=none,t=acme,d=100\r\n", true; "unknown listener")]
#[test_case(b"OPEN 1 2 c=feed,t=none,d=100\r\n", true; "unknown member")]
#[test_case(b"OPEN 1 2 c=feed,t=acme,d=100\n", true; "line feed alone")]
#[test_case(b"OPEN \xff\xfe 2 c=feed,t=acme,d=100\r\n", true; "not text")]
#[test_case(b"OPEN 1 2 c=feed", false; "incomplete")]
#[test_case(&[b'x'; 5000], true; "too long")]
fn bad_first_lines_get_one_failing_line_and_a_close(says: &[u8], stays: bool) {
    let world = ProxyHarness::new(1);
    let mut client = world.connect("");
    client.0.get_mut().write_all(says).unwrap();
    if !stays {
        client.0.get_mut().shutdown(Shutdown::Write).unwrap();
    }
    assert_eq!([client.read_line(), client.read_line()], ["ERR", "FIN"]);
    world.servers[0].set_nonblocking(true).unwrap();
    assert!(world.servers[0].accept().is_err(), "it was sent on");
}

#[test]
fn an_id_that_is_open_already_and_lines_before_the_answer_are_never_sent_on() {
    let world = ProxyHarness::new(1);
    let line = "OPEN 1 2 c=feed,t=acme,d=2000\r\n";
    let mut first = world.connect(line);
    let (mut server, _) = world.accept_at(0);
    let mut second = world.connect(line);
    assert_eq!([second.read_line(), second.read_line()], ["ERR", "FIN"]);
    first.send("early\r\n");
    assert_eq!(
        [first.read_line(), first.read_line(), server.read_line()],
        ["ERR", "FIN", "FIN"]
    );
    assert!(world.servers[0].accept().is_err(), "it was dialled again");
    let mut again = world.connect(line);
    world.accept_at(0).0.send("UP r\r\n");
    assert_eq!(again.read_line(), "UP r");
}

#[test]
fn crowds_that_stay_neither_keep_others_out_nor_stay_long() {
    let world = ProxyHarness::with_descriptors(1, SETTINGS, 128, 1024);
    let mut crowd: Vec<LineConnection> = (0..300).map(|_| world.connect("")).collect();
    crowd.extend((0..100).map(|_| world.connect("PING\r\n")));
    crowd.extend((0..100).map(|_| world.connect("what\r\n")));
    let since = Instant::now();
    let pairs: Vec<_> = (0..8).map(|_| world.open_session()).collect();
    assert!(
        since.elapsed() < Duration::from_secs(1),
        "{:?}",
        since.elapsed()
    );
    for side in &mut crowd {
        let told = [side.read_line(), side.read_line()];
        assert!(
            told.iter()
                .any(|line| matches!(line.as_str(), "ERR" | "FIN" | "RST")),
            "{told:?}"
        );
    }
    assert!(since.elapsed() < TIMEOUT, "{:?}", since.elapsed());
    drop(pairs);
}

// What a server does with each dial, what the client hears and how many dials there are.
#[test_case("feed", &["UP r9\r\n"], "UP r9", 1; "up")]
#[test_case("feed", &["BUSY\r\n", "UP r9\r\n"], "UP r9", 2; "full, then up")]
#[test_case("feed", &["ERR\r\n", "UP r9\r\n"], "UP r9", 2; "erred, then up")]
#[test_case("feed", &["", "UP r9\r\n"], "UP r9", 2; "ended, then up")]
#[test_case("feed", &["what\r\n", "UP r9\r\n"], "UP r9", 2; "unknown answer, then up")]
#[test_case("feed", &["BUSY\r\n", "BUSY\r\n"], "BUSY 1000", 2; "full twice")]
#[test_case("order", &["BUSY\r\n", "UP r9\r\n"], "UP r9", 2; "once-only that never ran")]
#[test_case("order", &["ERR\r\n"], "ERR", 1; "once-only that may have run")]
#[test_case("order", &[""], "ERR", 1; "once-only whose connection ended")]
#[test_case("order", &["MOVE\r\n"], "ERR", 1; "once-only sent away")]
fn outcomes(listener: &str, answers: &[&str], hears: &str, dials: usize) {
    let world = ProxyHarness::new(1);
    let mut client = world.connect(&OPEN_LINE.replace("feed", listener));
    let mut kept = Vec::new();
    for answer in answers {
        let (mut server, line) = world.accept_at(0);
        let wait: u64 = line
            .split("d=")
            .nth(1)
            .unwrap()
            .split(',')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let unchanged = OPEN_LINE
            .trim_end()
            .replace("feed", listener)
            .replace("d=2000", &format!("d={wait}"));
        assert!(
            line[21..] == unchanged[21..] && wait > 300 && wait < 2000,
            "{line}"
        );
        server.send(answer);
        kept.extend(Some(server).filter(|_| !answer.is_empty()));
    }
    assert_eq!(client.read_line(), hears);
    std::thread::sleep(Duration::from_millis(100));
    assert!(
        world.servers[0].accept().is_err() && kept.len() <= dials,
        "more dials"
    );
}

#[test]
fn a_called_off_dial_is_closed_before_the_next_and_one_that_is_silent_is_timed_out() {
    let world = ProxyHarness::new(1);
    let mut client = world.connect(OPEN_LINE);
    let (mut first, _) = world.accept_at(0);
    let (mut second, _) = world.accept_at(0);
    assert_eq!(first.read_line(), "FIN", "never two at once");
    drop(client.0.get_mut().shutdown(Shutdown::Both));
    assert_eq!(second.read_line(), "FIN", "the client has left");
}

#[test]
fn lines_pass_whole_both_ways_and_wait_for_their_ends() {
    let world = ProxyHarness::new(1);
    let (mut client, mut server) = world.open_session();
    server.send("one\r\ntw");
    assert_eq!(client.read_line(), "one");
    assert!(client.is_quiet(), "half a line was passed on");
    server.send("o\r\nLOAD 12.5\r\n");
    assert_eq!(
        [client.read_line(), client.read_line()],
        ["two", "LOAD 12.5"]
    );
    client.send("a\r\nb\r\n");
    assert_eq!([server.read_line(), server.read_line()], ["a", "b"]);
}

// Who ends how, and what the other sees.
#[test_case(true, "", "FIN", &["FIN"]; "client in good order")]
#[test_case(true, "", "RST", &["RST"]; "client by reset")]
#[test_case(false, "", "FIN", &["FIN"]; "server in good order")]
#[test_case(false, "", "RST", &["RST"]; "server by reset")]
#[test_case(false, "BYE x0=0.5\r\n", "FIN", &["BYE x0=0.5", "FIN"]; "server that has served")]
#[test_case(false, "MOVE\r\n", "FIN", &["MOVE", "FIN"]; "server that drains")]
#[test_case(false, "last\r\nincompl", "FIN", &["last", "FIN"]; "server within a line")]
fn ends_are_passed_on_in_kind(client_ends: bool, says: &str, how: &str, sees: &[&str]) {
    let world = ProxyHarness::new(1);
    let (client, server) = world.open_session();
    let (mut ending, mut other) = if client_ends {
        (client, server)
    } else {
        (server, client)
    };
    ending.send(says);
    let since = Instant::now();
    ending.close(how, &mut other);
    let seen: Vec<String> = sees.iter().map(|_| other.read_line()).collect();
    assert_eq!(seen, sees);
    assert!(since.elapsed() < Duration::from_secs(1));
}

#[test_case(&"x".repeat(5000); "too long")]
#[test_case("no carriage return\n"; "line feed alone")]
fn a_bad_line_on_an_open_connection_is_not_sent_on(says: &str) {
    let world = ProxyHarness::new(1);
    let (mut client, mut server) = world.open_session();
    client.send(says);
    assert_eq!(
        [client.read_line(), client.read_line(), server.read_line()],
        ["ERR", "FIN", "FIN"]
    );
}

#[test]
fn a_client_of_a_silent_server_is_moved() {
    let world = ProxyHarness::new(1);
    let (mut client, _server) = world.open_session();
    client.send("ping\r\n");
    let since = Instant::now();
    assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
    assert!(
        (3..6).contains(&since.elapsed().as_secs()),
        "{:?}",
        since.elapsed()
    );
}

#[test]
fn a_line_that_is_late_on_its_way_moves_nobody() {
    let aims = "\"specifics\":{\"message_aim\":[60000.0,60000.0]},\"weights\"";
    let world =
        ProxyHarness::with_descriptors(1, &SETTINGS.replace("\"weights\"", aims), 512, 1024);
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..10).map(|_| world.open_session()).collect();
    pairs[0].0.send("ping\r\n");
    assert_eq!(pairs[0].1.read_line(), "ping");
    std::thread::sleep(Duration::from_millis(200));
    pairs[0].1.send("pong\r\n");
    assert_eq!(pairs[0].0.read_line(), "pong");
    assert!(
        pairs.iter_mut().all(|(client, _)| client.is_quiet()),
        "the network was taken for the server"
    );
}

#[test]
fn a_slow_client_slows_its_server_and_loses_nothing() {
    let world = ProxyHarness::new(1);
    let (mut client, server) = world.open_session();
    let sends = std::thread::spawn(move || {
        let LineConnection(mut stream) = server;
        let text: String = (0..80_000).map(|n| format!("{n:0>200}\r\n")).collect();
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        stream
    });
    std::thread::sleep(Duration::from_millis(600));
    assert!(!sends.is_finished(), "somebody keeps sixteen megabytes");
    // Its server cannot answer meanwhile, but is not silent.
    client.send("ping\r\n");
    std::thread::sleep(Duration::from_millis(4_600));
    assert!((0..80_000).all(|n| client.read_line() == format!("{n:0>200}")));
    drop(sends.join().unwrap());
}

#[test]
fn what_was_open_before_goes_to_its_server_unchanged() {
    let world = ProxyHarness::new(3);
    let line = "OPEN 1 2 c=feed,t=acme,d=99999999999,at=s-2\r\n";
    let mut client = world.connect(line);
    let (mut server, first) = world.accept_at(2);
    assert_eq!(first, line.trim_end());
    server.send("BUSY\r\n");
    let (mut server, _) = world.accept_at(2);
    server.send("UP r2\r\n");
    assert_eq!(client.read_line(), "UP r2");
}

#[test]
fn leaving_serves_on_then_moves_all_and_answers_what_waits() {
    let mut world = ProxyHarness::new(1);
    let (mut open, _server) = world.open_session();
    let since = Instant::now();
    world.send_signal("USR1");
    world.send_signal("TERM");
    std::thread::sleep(Duration::from_millis(200));
    let (mut late, _late_server) = world.open_session();
    let mut pending = world.connect(&OPEN_LINE.replace("feed", "order"));
    let (_silent, _) = world.accept_at(0);
    let mut slow = world.connect(&OPEN_LINE.replace("d=2000", "d=9000"));
    let (_first, _) = world.accept_at(0);
    let (mut second, _) = world.accept_at(0);
    assert_eq!([open.read_line(), open.read_line()], ["MOVE", "FIN"]);
    assert!(
        since.elapsed() >= Duration::from_millis(1_350),
        "the others may not be back yet"
    );
    assert_eq!(late.read_line(), "MOVE");
    assert_eq!(pending.read_line(), "ERR");
    // After four fifths of the longest wait it may still come up, and is moved then.
    std::thread::sleep(Duration::from_millis(1_750).saturating_sub(since.elapsed()));
    second.send("UP r3\r\n");
    assert_eq!([slow.read_line(), slow.read_line()], ["UP r3", "MOVE"]);
    drop((open, late, pending, slow));
    let (code, log) = world.wait_for_exit();
    let printed: Vec<&str> = log
        .lines()
        .filter(|line| line.starts_with("counters "))
        .collect();
    assert!(
        printed.len() == 2 && printed[0].contains(" up=1 "),
        "on request and at exit: {log}"
    );
    let last = log.lines().last().unwrap_or_default();
    assert!(
        code == Some(0) && since.elapsed() < TIMEOUT,
        "{code:?} {log}"
    );
    assert!(
        last.starts_with("counters ") && last.contains(" proxy-leaving=3 "),
        "{last}"
    );
}

#[test]
fn lists_are_heeded_as_they_come_and_bad_ones_as_far_as_they_can_be_read() {
    let world = ProxyHarness::new(2);
    let at = |n: usize| world.servers[n].local_addr().unwrap();
    world
        .watch
        .send(list_line(9, false, &[endpoint_json(0, at(0), "draining")]))
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let sent = |server: usize| drop(world.open_session_at(&[server]));
    (0..4).for_each(|_| sent(1));
    // Of a bad list what can be read is heeded, and it is asked for again.
    let bad = [
        endpoint_json(0, at(0), "ready"),
        "{\"uid\":1}".into(),
        endpoint_json(1, at(1), "draining"),
    ];
    world.watch.send(list_line(10, true, &bad)).unwrap();
    let (request, watch) = world.watches.recv_timeout(TIMEOUT).expect("another watch");
    assert!(request.contains("stream=1&index=9 "), "{request}");
    (0..4).for_each(|_| sent(0));
    watch
        .send(list_line(
            10,
            false,
            &[
                endpoint_json(0, at(0), "gone"),
                endpoint_json(1, at(1), "ready"),
            ],
        ))
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    (0..4).for_each(|_| sent(1));
    watch.send("{\"rev\":11,\"targets\":[{\n".into()).unwrap();
    let (request, watch) = world.watches.recv_timeout(TIMEOUT).expect("another watch");
    assert!(request.contains("stream=1&index=10 "), "{request}");
    (0..4).for_each(|_| sent(1));
    // The same uid at another endpoint.
    watch
        .send(list_line(11, true, &[endpoint_json(1, at(0), "ready")]))
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    (0..4).for_each(|_| sent(0));
}

#[test]
fn more_servers_than_can_be_known_are_left_out_and_hide_nothing_told_of_known_ones() {
    let mut world = ProxyHarness::new(2);
    let at = world.servers[0].local_addr().unwrap();
    let mut targets: Vec<String> = (10..6_000)
        .map(|nth| endpoint_json(nth, at, "draining"))
        .collect();
    targets.push(endpoint_json(0, at, "draining"));
    world.watch.send(list_line(9, false, &targets)).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    // They come up: at a process at which nothing ever has, a first failure would hold the next back.
    let open: Vec<_> = (0..4).map(|_| world.open_session_at(&[1])).collect();
    drop(open);
    world.send_signal("TERM");
    let (_, log) = world.wait_for_exit();
    assert!(log.contains(" roster-full=1896 "), "{log}");
}

#[test]
fn who_asks_and_takes_no_answers_is_not_read_any_more() {
    let world = ProxyHarness::new(1);
    let mut front = world.connect("");
    let stream = front.0.get_mut();
    stream
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let taken = (0..1_000)
        .map_while(|_| stream.write_all("PING\r\n".repeat(5_000).as_bytes()).ok())
        .count();
    assert!(taken < 1_000, "thirty megabytes of answers wait somewhere");
    world.open_session();
}

// Calls to one that must be asked wait in one queue with those of all other proxies, so the module paces them.
#[test_case("pushed", true, 20; "ended")]
#[test_case("pushed", false, 2_000; "without its blank lines")]
#[test_case("on_request", true, 150; "ended, where it must be asked")]
fn a_dead_watch_is_opened_again(discovery: &str, ended: bool, no_sooner: u64) {
    let settings = SETTINGS.replace(
        "\"pushed\"",
        &format!("\"{discovery}\",\"rules.must_ask_in\":2000000"),
    );
    let world = ProxyHarness::with_descriptors(1, &settings, 512, 1024);
    let since = Instant::now();
    if ended {
        world.watch.send(String::new()).unwrap();
    }
    let (request, _watch) = world
        .watches
        .recv_timeout(TIMEOUT + TIMEOUT)
        .expect("another watch");
    assert!(
        since.elapsed() > Duration::from_millis(no_sooner),
        "asked again after {:?}",
        since.elapsed()
    );
    assert!(request.contains("stream=1&index=8 "), "{request}");
}

#[test]
fn at_the_limit_clients_are_refused_and_served_again_after() {
    let world = ProxyHarness::with_descriptors(1, SETTINGS, 64, 1024);
    let (mut up, mut refused) = (Vec::new(), 0);
    for _ in 0..40 {
        let mut client = world.connect(OPEN_LINE);
        if up.len() < 18 {
            let (mut server, _) = world.accept_at(0);
            server.send("UP r\r\n");
            assert_eq!(client.read_line(), "UP r");
            up.push((client, server));
        } else {
            refused += usize::from(client.read_line() == "BUSY 1000");
        }
    }
    assert_eq!(refused, 22);
    drop(up);
    std::thread::sleep(Duration::from_millis(300));
    world.open_session();
}

#[test]
fn a_lower_limit_than_told_is_met_without_a_spin_and_lets_go_again() {
    let mut world = ProxyHarness::with_descriptors(1, SETTINGS, 512, 24);
    let waiting: Vec<LineConnection> = (0..40).map(|_| world.connect("")).collect();
    std::thread::sleep(Duration::from_millis(500));
    drop(waiting);
    std::thread::sleep(Duration::from_millis(300));
    world.open_session();
    world.send_signal("TERM");
    let (code, log) = world.wait_for_exit();
    let shut = log
        .lines()
        .filter(|line| line.starts_with("accept-failed "))
        .count();
    assert!(code == Some(0) && (2..30).contains(&shut), "{shut} {log}");
}

#[test]
fn probes_go_over_one_connection_and_only_where_allowed() {
    let world = ProxyHarness::with_descriptors(
        1,
        &SETTINGS.replace("\"may_probe\":false", "\"may_probe\":true"),
        512,
        1024,
    );
    let (mut clients, mut servers) = (Vec::new(), Vec::new());
    let (mut probe, line) = {
        clients.push(world.connect(OPEN_LINE));
        world.accept_at(0)
    };
    assert_eq!(line, "STATS", "a candidate is asked first");
    // Longer than a connection may take to come up: slow, but not silent.
    std::thread::sleep(Duration::from_millis(280));
    probe.send("PONG x0=0.1,outstanding=3\r\n");
    for _ in 0..8 {
        let (mut server, line) = world.accept_at(0);
        assert!(line.starts_with("OPEN "), "{line}");
        server.send("UP r\r\n");
        servers.push(server);
        clients.push(world.connect(OPEN_LINE));
    }
    assert_eq!(
        probe.read_line(),
        "STATS",
        "as it holds connections it is probed again"
    );
}

#[test]
fn a_configuration_read_again_changes_discovery_alone_and_disturbs_nobody() {
    let mut world = ProxyHarness::new(2);
    let (mut client, mut server) = world.open_session_at(&[0, 1]);
    let text = std::fs::read_to_string(&world.config_path).unwrap();
    let again = |text: &str| {
        std::fs::write(&world.config_path, text).unwrap();
        world.send_signal("HUP");
        std::thread::sleep(Duration::from_millis(200));
    };
    again("{");
    again(&text.replace("\"sockets\":512", "\"sockets\":none"));
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent = text
        .split("\"discovery\":\"")
        .nth(1)
        .unwrap()
        .split('"')
        .next()
        .unwrap();
    let moved = text.replace(agent, &door.local_addr().unwrap().to_string());
    let watches = serve_discovery(door);
    again(&moved.replace("\"sockets\":512", "\"sockets\":513"));
    let (request, watch) = watches.try_recv().expect("a watch at the new address");
    assert!(request.contains("stream=1&index=0 "), "{request}");
    let at = |n: usize| world.servers[n].local_addr().unwrap();
    watch
        .send(list_line(
            9,
            true,
            &[
                endpoint_json(0, at(0), "draining"),
                endpoint_json(1, at(1), "ready"),
            ],
        ))
        .unwrap();
    world
        .watch
        .send(list_line(10, true, &[endpoint_json(0, at(0), "ready")]))
        .unwrap();
    std::thread::sleep(Duration::from_millis(200));
    for _ in 0..4 {
        world.open_session_at(&[1]);
    }
    client.send("ping\r\n");
    assert_eq!(server.read_line(), "ping");
    assert!(client.is_quiet() && world.watches.try_recv().is_err() && watches.try_recv().is_err());
    drop(client);
    world.send_signal("TERM");
    let (code, log) = world.wait_for_exit();
    let told: Vec<&str> = log
        .lines()
        .filter(|line| line.starts_with("reload"))
        .collect();
    assert!(code == Some(0) && told.len() == 4, "{log}");
    assert!(
        told[0].starts_with("reload-bad why=\"configuration: ")
            && told[1].contains("configuration")
    );
    assert!(
        told[2] == "reload-kept key=limits" && told[3].starts_with("reloaded "),
        "{told:?}"
    );
}

#[test_case("\"seed\"", "\"sead\"", "seed"; "missing key")]
#[test_case("\"listen\":\"127", "\"listen\":\"no", "listen"; "bad address")]
#[test_case("\"sockets\":512", "\"sockets\":0", "limits.sockets"; "no sockets")]
#[test_case("\"sockets\":512", "\"sockets\":20", "limits.sockets"; "too few sockets")]
#[test_case("\"endpoint\":\"", "\"endpoint\":\"x", "known: targets.0.endpoint"; "bad server")]
#[test_case("\"instances\":1", "\"instances\":\"x\"", "setting instances"; "bad setting")]
#[test_case("\"tip_multiple\":4.0,", "", "setting rules.tip_multiple is missing"; "missing setting")]
#[test_case("\"settings\":{", "\"settings\":{,", "configuration"; "not JSON")]
fn bad_configuration_ends_in_one_line_that_names_the_key(from: &str, to: &str, says: &str) {
    let world = ProxyHarness::new(1);
    let text = std::fs::read_to_string(&world.config_path).unwrap();
    assert!(text.contains(from));
    std::fs::write(&world.config_path, text.replacen(from, to, 1)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
    let output = command
        .env("LB_CONFIG", &world.config_path)
        .output()
        .unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && said.contains(says) && said.lines().count() == 1,
        "{said}"
    );
}
