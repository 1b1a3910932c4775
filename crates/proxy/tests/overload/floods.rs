//! Small or unsound requests at full speed, at each front, also under ever new names.

use crate::flood::{
    Answers, LISTED_SERVERS, ListFlood, ServerFlood, flood_admin_http, flood_admin_socket,
    flood_hot_restart, flood_lists, flood_new_connections, flood_one_connection, from_threads,
    list_and_remove_servers, read_from_flooding_server, request_of_new_names,
};
use crate::process_memory::assert_within_limit;
use crate::steady_client::{SteadyClient, request_line};
use crate::stub_server::{ServerBehaviour, serve};
use crate::support::{
    OPEN_LINE, ProxyHarness, ProxyOptions, endpoint_json, list_line, metric_value, temporary_path,
};
use asterramp_hot_restart::HotRestartMessage;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use test_case::test_case;

/// `limits.memory_mb` of the proxies.
const MEMORY_MB: usize = 48;

/// Fewest lines, calls, messages, replies or lists that make a flood.
const MIN_FLOOD: usize = 100;
/// Fewest unsound lists that the proxy must have read. The first ends the watch, and the next one is opened after a delay.
const MIN_UNSOUND_LISTS: usize = 2;
/// Interval after which the proxy's limit of log lines begins anew. The line with the counters is dropped beyond it too.
const LOG_LIMIT_INTERVAL: Duration = Duration::from_secs(1);
/// A server's line that ends its session.
const UNSOUND_LINE: &str = "\n";
/// Servers that the endpoint table holds.
const MAX_ENDPOINTS: usize = 4_096;
/// An index of a server that no list of a flood names.
const MANY_SERVERS: usize = 1_000_000;
/// Tools connected to the admin socket at once: as many as the operator file allows.
const TOOLS: usize = 24;
/// Clients that send pings at once.
const PINGING_CLIENTS: usize = 100;

/// Sessions with short lines at once.
const BUSY_SESSIONS: usize = 30;

/// Runs a flood beside a steady client, and checks the client's answer times and the memory of the proxy. Floods run one
/// at a time, so that they do not take the processor from each other's proxies.
fn assert_others_are_served(
    what: &str,
    flood: impl FnOnce(&ProxyHarness, &Path) -> usize,
) -> FloodedProxy {
    assert_others_are_served_beside(what, ServerBehaviour::Echo, flood)
}

/// The same with a server of another behaviour.
fn assert_others_are_served_beside(
    what: &str,
    server: ServerBehaviour,
    flood: impl FnOnce(&ProxyHarness, &Path) -> usize,
) -> FloodedProxy {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (operator_file, admin_socket) = write_operator_file();
    let options = ProxyOptions::new(1)
        .memory_mb(MEMORY_MB)
        .admin_http()
        .operator_file(&operator_file);
    let flooded = FloodedProxy::start(options);
    let proxy = &flooded.harness;
    serve(&proxy.servers[0], server);
    let steady = SteadyClient::start(proxy);
    let count = flood(proxy, &admin_socket);
    println!("{what}: {count} sent");
    assert!(count >= MIN_FLOOD, "{what}: no flood, {count} sent");
    steady.assert_in_time(what);
    assert_within_limit(&proxy.process, MEMORY_MB, what);
    std::fs::remove_file(operator_file).unwrap();
    flooded
}

/// A proxy after a flood.
struct FloodedProxy {
    harness: ProxyHarness,
    /// Reads the proxy's log from its start on: the proxy drops lines that a full pipe does not take.
    log: JoinHandle<String>,
}

impl FloodedProxy {
    fn start(options: ProxyOptions<'_>) -> FloodedProxy {
        let mut harness = options.start();
        let mut stderr = harness.process.stderr.take().unwrap();
        let log = std::thread::spawn(move || {
            let mut text = String::new();
            stderr.read_to_string(&mut text).unwrap();
            text
        });
        FloodedProxy { harness, log }
    }

    /// Ends the proxy and checks that it has counted at least this many events of a reason code: what it has read of a flood,
    /// where what is sent ends the connection.
    fn assert_counted(self, code: &str, at_least: usize) {
        std::thread::sleep(LOG_LIMIT_INTERVAL);
        self.harness.send_signal("TERM");
        let log = self.log.join().unwrap();
        let counters = log.lines().rfind(|line| line.starts_with("counters "));
        let mut fields = counters.unwrap_or_default().split(' ');
        let count =
            fields.find_map(|field| field.strip_prefix(code)?.strip_prefix('=')?.parse().ok());
        println!("{code}: {count:?} counted");
        assert!(count >= Some(at_least), "{code}: {count:?}: {counters:?}");
    }
}

/// Writes an operator file with an admin socket; returns the paths of both.
fn write_operator_file() -> (PathBuf, PathBuf) {
    let socket = temporary_path("sock");
    let file = temporary_path("toml");
    let text = format!("[control]\nsocket = {socket:?}\npeers = 24\n");
    std::fs::write(&file, text).unwrap();
    (file, socket)
}

/// Picture (b), clients: one connection at full speed. `end` is the reason code with which the proxy ends each connection, if
/// it does.
#[test_case("", "PING\r\n", Answers::Read, ""; "pings")]
#[test_case("", "PING\r\n", Answers::Unread, ""; "pings whose answers are not read")]
#[test_case("", "what\r\n", Answers::Read, "client-bad-line"; "unknown lines")]
#[test_case("", "\r\n", Answers::Read, "client-bad-line"; "empty lines")]
#[test_case("", "x", Answers::Read, "client-bad-line"; "a line without end")]
#[test_case("OPEN", "x\r\n", Answers::Read, ""; "short lines of a session")]
#[test_case("OPEN", "x\r\n", Answers::Unread, ""; "short lines of a session whose answers are not read")]
#[test_case("OPEN", "\n", Answers::Read, "client-bad-line"; "unsound lines of a session")]
fn one_client_at_full_speed_does_not_delay_others(
    first: &str,
    text: &str,
    answers: Answers,
    end: &str,
) {
    let what = format!("client {first} {text:?} {answers:?}");
    let proxy = assert_others_are_served(&what, |proxy, _| {
        let first = || {
            if first == "OPEN" {
                request_line()
            } else {
                String::new()
            }
        };
        flood_one_connection(proxy.listen_address, first, text, answers)
    });
    if !end.is_empty() {
        proxy.assert_counted(end, MIN_FLOOD);
    }
}

/// Picture (b), clients: ever new names, one connection after the other.
#[test]
fn requests_of_ever_new_names_do_not_delay_others() {
    assert_others_are_served("new ids and groups", |proxy, _| {
        flood_new_connections(proxy.listen_address, request_of_new_names)
    });
}

/// Picture (b), clients: unsound requests of ever new names.
#[test]
fn unsound_requests_of_ever_new_names_do_not_delay_others() {
    assert_others_are_served("unknown names", |proxy, _| {
        flood_new_connections(proxy.listen_address, |nth| {
            request_line().replace("c=feed,t=acme", &format!("c=n{nth},t=n{nth}"))
        })
    });
}

/// Picture (b), servers: one server that sends at full speed to a client that reads.
#[test_case("LOAD 1\r\n", |flood| flood.lines_passed_on("LOAD 1\r\n"); "load reports")]
#[test_case("x\r\n", |flood| flood.lines_passed_on("x\r\n"); "short lines")]
#[test_case(UNSOUND_LINE, ServerFlood::unsound_lines; "unsound lines")]
fn one_server_at_full_speed_does_not_delay_others(
    line: &'static str,
    count: fn(&ServerFlood) -> usize,
) {
    let server = ServerBehaviour::EchoAndFlood(line);
    let proxy = assert_others_are_served_beside(&format!("server {line:?}"), server, |proxy, _| {
        count(&read_from_flooding_server(proxy.listen_address))
    });
    if line == UNSOUND_LINE {
        proxy.assert_counted("server-bad-line", MIN_FLOOD);
    }
}

/// Picture (b), admin HTTP: calls at full speed, also under ever new names.
#[test_case("GET /ops/stats"; "valid calls")]
#[test_case("GET /no/such/path"; "unknown paths")]
#[test_case("what"; "unsound calls")]
fn admin_http_calls_at_full_speed_do_not_delay_others(call: &str) {
    assert_others_are_served(&format!("admin HTTP {call}"), |proxy, _| {
        flood_admin_http(proxy.admin_http, call)
    });
}

/// Picture (b), admin socket: requests on one connection at full speed, also under ever new names.
#[test_case("{\"v\":1,\"do\":\"status\"}\n"; "valid requests")]
#[test_case("{\"v\":1,\"do\":\"NEW\"}\n"; "unknown commands of ever new names")]
#[test_case("x\n"; "unsound requests")]
fn admin_socket_requests_at_full_speed_do_not_delay_others(line: &str) {
    assert_others_are_served(&format!("admin socket {line:?}"), |_, admin_socket| {
        flood_admin_socket(admin_socket, |nth| line.replace("NEW", &format!("n{nth}")))
    });
}

/// As many tools as the admin socket takes, each at full speed.
#[test_case("{\"v\":1,\"do\":\"status\"}\n"; "valid requests")]
#[test_case("x\n"; "unsound requests")]
fn many_tools_at_full_speed_do_not_delay_clients(line: &str) {
    assert_others_are_served(&format!("{TOOLS} tools {line:?}"), |_, admin_socket| {
        from_threads(TOOLS, || {
            flood_admin_socket(admin_socket, |_| line.to_string())
        })
    });
}

/// Many front proxies, or clients that look like them, each with pings at full speed.
#[test]
fn many_pings_at_full_speed_do_not_delay_clients() {
    assert_others_are_served(
        &format!("{PINGING_CLIENTS} clients with pings"),
        |proxy, _| {
            let address = proxy.listen_address;
            from_threads(PINGING_CLIENTS, || {
                flood_one_connection(address, String::new, "PING\r\n", Answers::Read)
            })
        },
    );
}

/// Many sessions, each with short lines at full speed.
#[test]
fn many_sessions_at_full_speed_do_not_delay_clients() {
    assert_others_are_served(&format!("{BUSY_SESSIONS} busy sessions"), |proxy, _| {
        let address = proxy.listen_address;
        from_threads(BUSY_SESSIONS, || {
            flood_one_connection(address, request_line, "x\r\n", Answers::Read)
        })
    });
}

/// Picture (b), hot restart socket.
#[test]
fn a_restless_successor_does_not_delay_clients() {
    assert_others_are_served("hot restart", |proxy, _| {
        let socket = proxy.hot_restart_socket();
        let hello = HotRestartMessage::Hello.encode();
        let request = HotRestartMessage::SessionIdsRequested.encode();
        flood_hot_restart(&socket, &hello, &request)
    });
}

/// Picture (b), hot restart socket: unsound messages.
#[test]
fn unsound_messages_to_the_hot_restart_socket_do_not_delay_clients() {
    let proxy = assert_others_are_served("hot restart, unsound", |proxy, _| {
        flood_hot_restart(&proxy.hot_restart_socket(), b"what", b"what")
    });
    proxy.assert_counted("handover-bad", MIN_FLOOD);
}

/// Picture (b), discovery: a server that was listed after more names than the endpoint table holds was ignored for good, so
/// that its clients got no answer.
#[test]
fn a_server_listed_after_ever_new_names_is_used() {
    let proxy = ProxyOptions::new(2).admin_http().start();
    let (mut client, mut server) = proxy.open_session_at(&[0, 1]);
    list_and_remove_servers(&proxy, 2 * MAX_ENDPOINTS);
    serve(&proxy.servers[0], ServerBehaviour::Echo);
    let new_server = endpoint_json(MANY_SERVERS, proxy.server_address(0), "ready");
    proxy
        .watch
        .send(list_line(9_000, true, &[new_server]))
        .unwrap();
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(proxy.connect(OPEN_LINE).read_line(), "UP r1");
    // The session of a server that is gone goes on.
    client.send("on\r\n");
    assert_eq!(server.read_line(), "on");
    // So does the service at a process that takes over.
    let (_second, _watch) = proxy.start_ready_process();
    proxy.send_signal("TERM");
    assert_eq!(proxy.connect(OPEN_LINE).read_line(), "UP r1");
}

/// Picture (b), discovery: lists at full speed, also under ever new names.
#[test_case(ListFlood::Heartbeats)]
#[test_case(ListFlood::CompleteLists)]
#[test_case(ListFlood::NewNames)]
#[test_case(ListFlood::Unsound)]
fn lists_at_full_speed_do_not_delay_clients(flood: ListFlood) {
    let proxy = assert_others_are_served(&format!("discovery {flood:?}"), |proxy, _| {
        let sent = flood_lists(proxy, flood);
        if flood == ListFlood::CompleteLists {
            let listed = metric_value(proxy.admin_http, "svc_hosts_listed");
            assert_eq!(listed, LISTED_SERVERS as f64, "no list was applied");
        }
        sent
    });
    if flood == ListFlood::Unsound {
        proxy.assert_counted("roster-bad", MIN_UNSOUND_LISTS);
    }
}
