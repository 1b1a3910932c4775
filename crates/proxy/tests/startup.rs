//! Startup, invalid configurations and configuration reloads.

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
fn an_invalid_configuration_is_reported_in_one_line_that_names_the_key(
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
fn a_reload_changes_only_discovery_and_disturbs_no_session() {
    let mut proxy = ProxyHarness::new(2);
    let (mut client, mut server) = proxy.open_session_at(&[0, 1]);
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    reload(&proxy, "{");
    reload(&proxy, &text.replace("\"sockets\":512", "\"sockets\":none"));
    let new_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let changed = with_discovery(&text, new_discovery.local_addr().unwrap());
    let watches = serve_discovery(new_discovery);
    reload(
        &proxy,
        &changed.replace("\"sockets\":512", "\"sockets\":513"),
    );
    let OpenedWatch {
        request,
        lists: watch,
    } = watches
        .try_recv()
        .expect("no watch at the new discovery address");
    assert!(request.contains("stream=1&index=0 "), "{request}");
    let endpoints = [
        endpoint_json(0, proxy.server_address(0), "draining"),
        endpoint_json(1, proxy.server_address(1), "ready"),
    ];
    watch.send(list_line(9, true, &endpoints)).unwrap();
    // Lists from the previous discovery are ignored.
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

/// Writes the configuration and sends `SIGHUP`; returns when the proxy has had time to reload it.
fn reload(proxy: &ProxyHarness, configuration: &str) {
    std::fs::write(&proxy.config_path, configuration).unwrap();
    proxy.send_signal("HUP");
    std::thread::sleep(Duration::from_millis(200));
}

/// The configuration with another discovery address.
fn with_discovery(configuration: &str, discovery: SocketAddr) -> String {
    let from = configuration.find("\"discovery\":\"127").unwrap();
    let to = from + configuration[from..].find(',').unwrap();
    let (before, after) = (&configuration[..from], &configuration[to..]);
    format!("{before}\"discovery\":\"{discovery}\"{after}")
}

/// Checks the log of three reloads: two invalid configurations, then a valid one, in which a key has changed that takes
/// effect only at a restart.
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

/// Number of processes started at once.
const PROCESSES: u32 = 30;
/// Least number of processes that have to be ready within [`READY_TIMEOUT`]: nine in ten.
const MIN_READY_PROCESSES: usize = 27;
/// The time after the start of the first process in which they have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the test polls for ready processes; longer than [`READY_TIMEOUT`], so that it prints late ones.
const POLLING_TIME: Duration = Duration::from_secs(12);

/// Processes started at once are ready in time whether or not discovery sends a list. Without one, they use the
/// endpoints known from their configuration after 0.5 s.
#[test_case("answers"; "discovery answers")]
#[test_case("is slow"; "discovery sends its first list after 3 s")]
#[test_case("is silent"; "discovery accepts connections and sends nothing")]
#[test_case("is down"; "discovery refuses connections")]
fn restarted_processes_are_ready_in_time(discovery_behaviour: &str) {
    let proxy = ProxyHarness::new(1);
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery_address = discovery.local_addr().unwrap();
    let _silent_discovery = run_discovery(discovery, discovery_behaviour);
    let started_at = Instant::now();
    let mut processes: Vec<(Child, SocketAddr)> = (0..PROCESSES)
        .map(|nth| start_process(&proxy, nth, discovery_address))
        .collect();
    let mut ready_after = Vec::new();
    let mut waiting: Vec<SocketAddr> = processes.iter().map(|(_, listen)| *listen).collect();
    while !waiting.is_empty() && started_at.elapsed() < POLLING_TIME {
        waiting.retain(|listen| {
            let ready = answers_ping(*listen);
            if ready {
                ready_after.push(started_at.elapsed());
            }
            !ready
        });
        std::thread::sleep(Duration::from_millis(20));
    }
    for (process, _) in &mut processes {
        process.kill().unwrap();
        process.wait().unwrap();
    }
    println!(
        "discovery {discovery_behaviour}: {} of {PROCESSES} ready; first {:?}, 15th {:?}, 27th {:?}, last {:?}",
        ready_after.len(),
        ready_after.first(),
        ready_after.get(14),
        ready_after.get(MIN_READY_PROCESSES - 1),
        ready_after.last()
    );
    assert!(
        ready_after
            .get(MIN_READY_PROCESSES - 1)
            .is_some_and(|after| *after < READY_TIMEOUT),
        "{ready_after:?}"
    );
}

/// Runs a discovery with one of the behaviours above. Returns the listener of a silent one, which has to stay open.
fn run_discovery(listener: TcpListener, behaviour: &str) -> Option<TcpListener> {
    match behaviour {
        "is down" => return None,
        "is silent" => return Some(listener),
        _ => {}
    }
    let mut delay = Duration::from_secs(if behaviour == "is slow" { 3 } else { 0 });
    let watches = serve_discovery(listener);
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for OpenedWatch { lists: watch, .. } in watches.iter() {
            // Only the first list is delayed.
            std::thread::sleep(std::mem::take(&mut delay));
            let _ = watch.send(list_line(8, false, &[]));
            open.push(watch);
        }
    });
    None
}

/// Starts a process with the configuration of `proxy`, except for its listen address and the discovery address. Returns
/// the process and its listen address.
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

/// Whether a proxy answers a ping, the health check of the front proxy, within 100 ms.
fn answers_ping(listen: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(listen) else {
        return false;
    };
    let mut front_connection = LineConnection::from_stream(stream);
    front_connection.send("PING\r\n");
    front_connection
        .read_line_within(Duration::from_millis(100))
        .is_some_and(|line| line == "PONG")
}
