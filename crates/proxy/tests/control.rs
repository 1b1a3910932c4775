//! Draining on request: the control socket, the command line, and what clients see meanwhile.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use support::{LineConnection, OPEN_LINE, ProxyHarness, SETTINGS, endpoint_json, list_line};
use test_case::test_case;

struct Site {
    world: ProxyHarness,
    socket: PathBuf,
    operator: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.socket);
        let _ = std::fs::remove_file(&self.operator);
    }
}

fn path(end: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nth = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("asterramp-{}-{nth}.{end}", std::process::id()))
}

fn wishes(socket: &std::path::Path, more: &str) -> String {
    format!(
        "[control]\nsocket = {socket:?}\npeers = 24\n[drain]\nclosing = \"400ms\"\nquiet = \"200ms\"\n{more}"
    )
}

impl Site {
    fn new(more: &str) -> Site {
        Site::at(path("sock"), more)
    }

    fn at(socket: PathBuf, more: &str) -> Site {
        let operator = path("toml");
        std::fs::write(&operator, wishes(&socket, more)).unwrap();
        let world = ProxyHarness::with_operator_file(1, SETTINGS, (512, 1024), Some(&operator));
        Site {
            world,
            socket,
            operator,
        }
    }

    /// A connection to the control socket, and what it says to a line.
    fn peer(&self) -> BufReader<UnixStream> {
        let stream = UnixStream::connect(&self.socket).unwrap();
        stream.set_read_timeout(Some(support::TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    fn say(&self, line: &str) -> String {
        let mut peer = self.peer();
        peer.get_mut()
            .write_all(format!("{line}\n").as_bytes())
            .unwrap();
        let mut answer = String::new();
        peer.read_line(&mut answer).unwrap();
        answer
    }

    fn command(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
        command
            .args(args)
            .arg("--control")
            .arg(&self.socket)
            .output()
            .unwrap()
    }

    fn until(&self, state: &str) -> String {
        let until = Instant::now() + support::TIMEOUT;
        loop {
            let answer = self.say(r#"{"v":1,"do":"status"}"#);
            if answer.contains(&format!("\"state\":\"{state}\"")) {
                return answer;
            }
            assert!(Instant::now() < until, "never {state}: {answer}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn pinged(&self) -> String {
        self.world.connect("PING\r\n").read_line()
    }
}

fn text(output: Output) -> String {
    String::from_utf8([output.stdout, output.stderr].concat()).unwrap()
}

#[test]
fn a_drain_moves_all_serves_whoever_still_comes_and_is_taken_back() {
    let mut site = Site::new("");
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..12).map(|_| site.world.open_session()).collect();
    assert!(
        site.command(&["drain", "--deadline", "3s"])
            .status
            .success()
    );
    assert_eq!(site.pinged(), "ERR", "the front is told");
    // Whom the front still sends is served.
    pairs.push(site.world.open_session());
    for (client, server) in &mut pairs {
        assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
        assert_eq!(server.read_line(), "FIN");
    }
    let answer = site.until("empty");
    assert!(
        answer.contains("\"moved\":13") && answer.contains("\"carries\":false"),
        "{answer}"
    );
    let late = site.world.open_session();
    let (mut client, _server) = late;
    assert_eq!(
        client.read_line(),
        "MOVE",
        "who comes while it is empty is moved too"
    );
    let since = Instant::now();
    assert!(site.command(&["undrain"]).status.success());
    assert_eq!(site.pinged(), "PONG");
    let (mut client, mut server) = site.world.open_session();
    assert!(
        since.elapsed() < Duration::from_secs(1),
        "back within a second"
    );
    client.send("a\r\n");
    assert_eq!(server.read_line(), "a");
    assert!(client.is_quiet());
    assert!(
        !site.command(&["undrain"]).status.success(),
        "it does not drain any more"
    );
    site.world.send_signal("TERM");
    let (code, log) = site.world.wait_for_exit();
    let states: Vec<&str> = log
        .lines()
        .filter_map(|l| l.strip_prefix("drain-state state="))
        .collect();
    let words: Vec<&str> = states.iter().filter_map(|s| s.split(' ').next()).collect();
    let told = ["closing", "moving", "empty", "serving", "exiting"];
    assert!(
        code == Some(0) && told.iter().all(|state| words.contains(state)),
        "{words:?}"
    );
    assert!(!site.socket.exists(), "the socket's file is left behind");
}

#[test]
fn a_session_that_waits_is_answered_by_its_own_time_and_an_undrain_halfway_leaves_the_rest() {
    let site = Site::new("pace = 10\n");
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..20).map(|_| site.world.open_session()).collect();
    let mut waits = site.world.connect(&OPEN_LINE.replace("feed", "order"));
    let (mut host, _) = site.world.accept_at(0);
    assert!(
        site.command(&["drain", "--deadline", "60s"])
            .status
            .success()
    );
    // It is answered as ever, by what its host says within its own time.
    host.send("UP r9\r\n");
    assert_eq!(waits.read_line(), "UP r9");
    std::thread::sleep(Duration::from_millis(1_000));
    assert!(site.command(&["undrain"]).status.success());
    let still = pairs
        .iter_mut()
        .filter_map(|(client, _)| client.is_quiet().then_some(()))
        .count();
    assert!((8..20).contains(&still), "{still}");
}

#[test]
fn a_second_drain_changes_the_deadline_and_sigterm_ends_it_for_good() {
    let mut site = Site::new("pace = 1\n");
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..10).map(|_| site.world.open_session()).collect();
    assert!(
        site.command(&["drain", "--deadline", "60s"])
            .status
            .success()
    );
    site.until("moving");
    let output = site.command(&["drain", "--deadline", "1s"]);
    assert!(output.status.success());
    site.until("late");
    site.world.send_signal("TERM");
    site.until("exiting");
    assert!(
        !site.command(&["undrain"]).status.success() && !site.command(&["drain"]).status.success()
    );
    for (client, _) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
    }
    drop(pairs);
    assert_eq!(site.world.wait_for_exit().0, Some(0));
}

#[test]
fn a_drain_goes_on_while_discovery_is_down_and_while_the_configuration_is_read_again() {
    let site = Site::new("pace = 20\n");
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..10).map(|_| site.world.open_session()).collect();
    site.world.watch.send(String::new()).unwrap();
    assert!(
        site.command(&["drain", "--deadline", "20s"])
            .status
            .success()
    );
    site.until("moving");
    std::fs::write(
        &site.operator,
        wishes(&site.socket, "pace = 500\nback = \"0s\"\n"),
    )
    .unwrap();
    site.world.send_signal("HUP");
    for (client, _) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
    }
    site.until("empty");
    site.command(&["undrain"]);
    assert!(
        site.until("serving").contains("\"carries\":true"),
        "no time back is asked for any more"
    );
}

#[test_case("x", "not a request"; "no JSON")]
#[test_case("{}", "not a request"; "no verb")]
#[test_case(r#"{"v":2,"do":"status"}"#, "v is 2"; "another version")]
#[test_case(r#"{"v":1,"do":"halt"}"#, "not a request"; "unknown verb")]
#[test_case(r#"{"v":1,"do":"status","odd":1}"#, "not a request"; "unknown key")]
#[test_case(r#"{"v":1,"do":"status","pace":1}"#, "go with drain"; "a pace for nothing")]
#[test_case(r#"{"v":1,"do":"drain","pace":0}"#, "out of range"; "no pace")]
#[test_case(r#"{"v":1,"do":"drain","deadline_ms":99999999999}"#, "more than a day"; "no deadline")]
#[test_case(&"x".repeat(2_000), "too long"; "too long")]
fn what_is_no_request_gets_an_error_and_changes_nothing(line: &str, says: &str) {
    let site = Site::new("");
    let answer = site.say(line);
    assert!(
        answer.contains("\"error\"") && answer.contains(says),
        "{answer}"
    );
    assert_eq!(site.pinged(), "PONG");
}

#[test]
fn peers_that_never_read_hold_back_only_themselves_and_too_many_are_turned_away() {
    let site = Site::new("");
    let mut deaf: Vec<BufReader<UnixStream>> = (0..5).map(|_| site.peer()).collect();
    for peer in &mut deaf {
        peer.get_mut()
            .set_write_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        while peer
            .get_mut()
            .write_all(&b"{\"v\":1,\"do\":\"status\"}\n".repeat(200))
            .is_ok()
        {}
    }
    let mut watchers: Vec<BufReader<UnixStream>> = (0..18).map(|_| site.peer()).collect();
    for peer in &mut watchers {
        peer.get_mut()
            .write_all(b"{\"v\":1,\"do\":\"status\"}\n")
            .unwrap();
        let mut line = String::new();
        peer.read_line(&mut line).unwrap();
        assert!(line.contains("serving"));
    }
    let since = Instant::now();
    site.world.open_session();
    assert!(since.elapsed() < Duration::from_millis(500));
    let _last = site.peer();
    let mut one_more = site.peer();
    let mut text = String::new();
    assert_eq!(one_more.read_to_string(&mut text).unwrap_or(0), 0, "{text}");
}

#[test]
fn the_socket_is_the_users_own_and_a_dead_ones_file_is_taken_over_but_no_others() {
    let stale = path("sock");
    drop(UnixListener::bind(&stale).unwrap());
    let site = Site::at(stale, "");
    assert_eq!(
        std::fs::metadata(&site.socket)
            .unwrap()
            .permissions()
            .mode()
            & 0o777,
        0o600
    );
    site.until("serving");
    // One that listens is not, nor what is no socket.
    let plain = path("sock");
    std::fs::write(&plain, "keep me").unwrap();
    for (at, says) in [(&site.socket, "somebody listens"), (&plain, "no socket")] {
        let operator = path("toml");
        std::fs::write(&operator, wishes(at, "")).unwrap();
        let text = std::fs::read_to_string(&site.world.config_path).unwrap();
        let own = text.replace(&site.world.listen_address.to_string(), "127.0.0.1:0");
        let config = path("json");
        std::fs::write(&config, own).unwrap();
        let mut second = Command::new(env!("CARGO_BIN_EXE_asterramp"));
        second
            .args(["serve", "--config"])
            .arg(&config)
            .arg("--operator")
            .arg(&operator);
        let output = second.output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && said.contains(says) && said.lines().count() == 1,
            "{said}"
        );
        [operator, config]
            .iter()
            .for_each(|file| std::fs::remove_file(file).unwrap());
    }
    assert_eq!(std::fs::read_to_string(&plain).unwrap(), "keep me");
    std::fs::remove_file(plain).unwrap();
    site.until("serving");
}

#[test]
fn a_bad_operators_file_ends_the_start_and_changes_nothing_later() {
    let mut site = Site::new("");
    let bad = "[drain]\npase = 1\nquiet = \"x\"\n";
    let operator = path("toml");
    std::fs::write(&operator, bad).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
    command
        .env("LB_CONFIG", &site.world.config_path)
        .env("ASTERRAMP_OPERATOR", &operator);
    for args in [vec!["serve"], vec!["validate"]] {
        let output = command.args(&args).output().unwrap();
        let said = text(output);
        assert!(
            said.contains("line 2: drain.pase") && said.contains("line 3: drain.quiet"),
            "{said}"
        );
        command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
        command
            .env("LB_CONFIG", &site.world.config_path)
            .env("ASTERRAMP_OPERATOR", &operator);
    }
    std::fs::remove_file(operator).unwrap();
    std::fs::write(&site.operator, bad).unwrap();
    site.world.send_signal("HUP");
    std::thread::sleep(Duration::from_millis(200));
    site.until("serving");
    site.world.send_signal("TERM");
    let log = site.world.wait_for_exit().1;
    assert!(
        log.contains("reload-bad why=") && log.contains("drain.pase"),
        "{log}"
    );
}

#[test]
fn inherited_sessions_are_moved_like_others() {
    let site = Site::new("");
    let mut client = site.world.connect("OPEN 1 2 c=feed,t=acme,d=9,at=s-0\r\n");
    let (mut server, _) = site.world.accept_at(0);
    server.send("UP r\r\n");
    assert_eq!(client.read_line(), "UP r");
    site.world
        .watch
        .send(list_line(
            9,
            false,
            &[endpoint_json(
                0,
                site.world.servers[0].local_addr().unwrap(),
                "draining",
            )],
        ))
        .unwrap();
    assert!(
        site.command(&["drain", "--deadline", "2s", "--wait"])
            .status
            .success()
    );
    assert_eq!([client.read_line(), client.read_line()], ["MOVE", "FIN"]);
}

#[test]
fn status_is_told_to_people_and_programs_and_completions_are_printed() {
    let site = Site::new("");
    let _pair = site.world.open_session();
    let line = text(site.command(&["status"]));
    assert!(
        line.starts_with("serving  1 open") && line.contains("1 of 1 hosts ready"),
        "{line}"
    );
    let json = text(site.command(&["status", "--json"]));
    assert!(
        json.starts_with("{\"pid\":") && json.contains("\"open\":1"),
        "{json}"
    );
    let shell = Command::new(env!("CARGO_BIN_EXE_asterramp"))
        .args(["completions", "bash"])
        .output()
        .unwrap();
    assert!(text(shell).contains("undrain"));
    let nobody = Command::new(env!("CARGO_BIN_EXE_asterramp"))
        .args(["status", "--control", "/nowhere"])
        .output();
    assert_eq!(nobody.unwrap().status.code(), Some(1));
}

#[test_case("", true; "by default")]
#[test_case("[site]\nwatch = false\n", false; "switched off")]
fn status_tells_what_is_made_of_places(more: &str, told: bool) {
    let site = Site::new(more);
    let answer = site.say(r#"{"v":1,"do":"status"}"#);
    assert_eq!(
        answer.contains(r#""places":[{"name":"a","state":"whole","since_ms":"#),
        told,
        "{answer}"
    );
}
