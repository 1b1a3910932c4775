//! The start of the proxy, its configuration and the reload of that.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::{
    LineConnection, OpenedWatch, ProxyHarness, endpoint_json, free_address, list_line,
    serve_discovery,
};
use test_case::test_case;

#[test_case("\"seed\"", "\"sead\"", "seed"; "missing key")]
#[test_case("\"listen\":\"127", "\"listen\":\"no", "listen"; "bad address")]
#[test_case("\"sockets\":512", "\"sockets\":0", "limits.sockets"; "no sockets")]
#[test_case("\"sockets\":512", "\"sockets\":20", "limits.sockets"; "too few sockets")]
#[test_case("\"endpoint\":\"", "\"endpoint\":\"x", "known: targets.0.endpoint"; "bad server")]
#[test_case("\"instances\":1", "\"instances\":\"x\"", "setting instances"; "bad setting")]
#[test_case("\"tip_multiple\":4.0,", "", "setting rules.tip_multiple is missing"; "missing setting")]
#[test_case("\"settings\":{", "\"settings\":{,", "configuration"; "not JSON")]
fn a_bad_configuration_is_reported_in_one_line_that_names_the_key(
    from: &str,
    to: &str,
    expected: &str,
) {
    let proxy = ProxyHarness::new(1);
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    assert!(text.contains(from));
    std::fs::write(&proxy.config_path, text.replacen(from, to, 1)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
    let output = command
        .env("LB_CONFIG", &proxy.config_path)
        .output()
        .unwrap();
    let printed = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && printed.contains(expected) && printed.lines().count() == 1,
        "{printed}"
    );
}

#[test]
fn a_reload_changes_only_discovery_and_disturbs_nobody() {
    let mut proxy = ProxyHarness::new(2);
    let (mut client, mut server) = proxy.open_session_at(&[0, 1]);
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    reload(&proxy, "{");
    reload(&proxy, &text.replace("\"sockets\":512", "\"sockets\":none"));
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let moved = with_discovery(&text, agent.local_addr().unwrap());
    let watches = serve_discovery(agent);
    reload(&proxy, &moved.replace("\"sockets\":512", "\"sockets\":513"));
    let OpenedWatch {
        request,
        lists: watch,
    } = watches.try_recv().expect("a watch at the new address");
    assert!(request.contains("stream=1&index=0 "), "{request}");
    let endpoints = [
        endpoint_json(0, proxy.server_address(0), "draining"),
        endpoint_json(1, proxy.server_address(1), "ready"),
    ];
    watch.send(list_line(9, true, &endpoints)).unwrap();
    // The former discovery counts no more.
    let endpoints = [endpoint_json(0, proxy.server_address(0), "ready")];
    proxy.watch.send(list_line(10, true, &endpoints)).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    for _ in 0..4 {
        proxy.open_session_at(&[1]);
    }
    client.send("ping\r\n");
    assert_eq!(server.read_line(), "ping");
    assert!(client.is_quiet() && proxy.watches.try_recv().is_err() && watches.try_recv().is_err());
    drop(client);
    proxy.send_signal("TERM");
    let (code, log) = proxy.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert_reloads_are_logged(&log);
}

/// Replaces the configuration and has it read again.
fn reload(proxy: &ProxyHarness, configuration: &str) {
    std::fs::write(&proxy.config_path, configuration).unwrap();
    proxy.send_signal("HUP");
    std::thread::sleep(Duration::from_millis(200));
}

/// A configuration with another address of discovery.
fn with_discovery(configuration: &str, discovery: SocketAddr) -> String {
    let from = configuration.find("\"discovery\":\"127").unwrap();
    let to = from + configuration[from..].find(',').unwrap();
    let (before, after) = (&configuration[..from], &configuration[to..]);
    format!("{before}\"discovery\":\"{discovery}\"{after}")
}

/// Two configurations that can't be read, then one that can, with a key that only a restart changes.
fn assert_reloads_are_logged(log: &str) {
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| line.starts_with("reload"))
        .collect();
    assert_eq!(lines.len(), 4, "{log}");
    assert!(
        lines[0].starts_with("reload-bad why=\"configuration: ")
            && lines[1].contains("configuration")
    );
    assert!(
        lines[2] == "reload-kept key=limits" && lines[3].starts_with("reloaded "),
        "{lines:?}"
    );
}

/// How many processes are started at once.
const RESTARTED: u32 = 30;
/// How many of them have to be ready in time: nine in ten.
const HAVE_TO_BE_READY: usize = 27;
/// The time in which they have to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// How long they are watched.
const WATCHED_FOR: Duration = Duration::from_secs(12);

/// Processes started at once are ready in time, whatever discovery does meanwhile. Where it sends nothing they go by the
/// list known from before, after half a second.
#[test_case("answers"; "discovery answers")]
#[test_case("is slow"; "discovery takes three seconds")]
#[test_case("is silent"; "discovery accepts connections and sends nothing")]
#[test_case("is down"; "discovery refuses connections")]
fn restarted_processes_are_ready_in_time(discovery: &str) {
    let proxy = ProxyHarness::new(1);
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent_address = agent.local_addr().unwrap();
    let _silent_agent = run_discovery(agent, discovery);
    let begin = Instant::now();
    let mut started: Vec<(Child, SocketAddr)> = (0..RESTARTED)
        .map(|nth| start_process(&proxy, nth, agent_address))
        .collect();
    let mut ready_after = Vec::new();
    let mut waiting: Vec<SocketAddr> = started.iter().map(|(_, listen)| *listen).collect();
    while !waiting.is_empty() && begin.elapsed() < WATCHED_FOR {
        waiting.retain(|listen| {
            let ready = answers_ping(*listen);
            if ready {
                ready_after.push(begin.elapsed());
            }
            !ready
        });
        std::thread::sleep(Duration::from_millis(20));
    }
    for (process, _) in &mut started {
        process.kill().unwrap();
        process.wait().unwrap();
    }
    println!(
        "discovery {discovery}: {} ready, {:?}, of {RESTARTED} the 15th and 27th {:?}, {:?}, last {:?}",
        ready_after.len(),
        ready_after.first(),
        ready_after.get(14),
        ready_after.get(HAVE_TO_BE_READY - 1),
        ready_after.last()
    );
    assert!(
        ready_after
            .get(HAVE_TO_BE_READY - 1)
            .is_some_and(|after| *after < READY_WITHIN),
        "{ready_after:?}"
    );
}

/// Runs a discovery that behaves so; a silent one's listener has to be kept.
fn run_discovery(agent: TcpListener, behaviour: &str) -> Option<TcpListener> {
    match behaviour {
        "is down" => return None,
        "is silent" => return Some(agent),
        _ => {}
    }
    let mut delay = Duration::from_secs(if behaviour == "is slow" { 3 } else { 0 });
    let watches = serve_discovery(agent);
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for OpenedWatch { lists: watch, .. } in watches.iter() {
            // Only the first waits.
            std::thread::sleep(std::mem::take(&mut delay));
            let _ = watch.send(list_line(8, false, &[]));
            open.push(watch);
        }
    });
    None
}

/// Starts a process with the configuration of the harness's, but an address of its own and another discovery.
fn start_process(proxy: &ProxyHarness, nth: u32, discovery: SocketAddr) -> (Child, SocketAddr) {
    let listen = free_address(20_000 + nth);
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    let text = text.replace(&proxy.listen_address.to_string(), &listen.to_string());
    let config = proxy
        .directory
        .join(format!("{nth}-{}.json", discovery.port()));
    std::fs::write(&config, with_discovery(&text, discovery)).unwrap();
    let process = Command::new(env!("CARGO_BIN_EXE_asterramp"))
        .env("LB_CONFIG", &config)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    (process, listen)
}

/// Whether a proxy answers the front's health check at once.
fn answers_ping(listen: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(listen) else {
        return false;
    };
    let mut front = LineConnection::from_stream(stream);
    front.send("PING\r\n");
    front
        .read_line_within(Duration::from_millis(100))
        .is_some_and(|line| line == "PONG")
}
