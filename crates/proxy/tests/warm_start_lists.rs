//! Endpoint lists that discovery sends to a proxy which started without discovery.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::{
    OPEN_LINE, ProxyHarness, ProxyOptions, RunningServer, TIMEOUT, endpoint_json, http_call,
    list_line, settings_with_health_checks, temporary_path, wait_until,
};
use test_case::test_case;

/// Index of the server that answers from the beginning.
const RUNNING: usize = 0;
/// Index of the server that answers nothing until the test starts it.
const STOPPED: usize = 1;
/// Revision of the configured list, as [`ProxyOptions`] writes it.
const CONFIGURED_REVISION: u32 = 7;
/// The grace of drains by the settings of these tests, and the 50 ms that the protocol adds to each time limit.
const DRAIN_GRACE: Duration = Duration::from_millis(450);
/// How long sessions are opened to see where they are placed: longer than the 5 s within which a started server that is
/// still probed would be found.
const OBSERVATION_TIME: Duration = Duration::from_millis(5_600);
/// Time between two sessions.
const SESSION_INTERVAL: Duration = Duration::from_millis(40);

/// A proxy that has started without discovery, from a configured list of two servers of which one answers.
struct StartedProxy {
    proxy: ProxyHarness,
    operator_file: PathBuf,
    running: RunningServer,
}

impl Drop for StartedProxy {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

impl StartedProxy {
    /// Starts the proxy, whose servers count as warm `cold` after their start and which asks these peers.
    fn new(cold: Duration, peers: &[SocketAddr]) -> StartedProxy {
        let operator_file = temporary_path("toml");
        let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let text = format!(
            "[recovery]\nstages = true\nfleet = \"lake\"\nothers = [{}]\n",
            peers.join(", ")
        );
        std::fs::write(&operator_file, text).unwrap();
        let settings =
            settings_with_health_checks().replace("8900000", &cold.as_micros().to_string());
        let proxy = ProxyOptions::new(2)
            .settings(&settings)
            .operator_file(&operator_file)
            .admin_http()
            .start_without_list();
        let running = RunningServer::start(proxy.servers[RUNNING].try_clone().unwrap());
        StartedProxy {
            proxy,
            operator_file,
            running,
        }
    }

    fn entry(&self, server: usize, state: &str) -> String {
        endpoint_json(server, self.proxy.server_address(server), state)
    }

    fn send_list(&self, revision: u32, complete: bool, endpoints: &[String]) {
        let list = list_line(revision, complete, endpoints);
        self.proxy.watch.send(list).unwrap();
    }

    /// The stage of the warm start, as the proxy tells its peers.
    fn stage(&self) -> String {
        let (_, body) = http_call(self.proxy.admin_http, "GET /ops/known");
        let known: serde_json::Value = serde_json::from_str(&body).unwrap();
        known["stage"].as_str().unwrap().to_string()
    }

    /// The uids of the servers that the proxy tells its peers, in order.
    fn servers_told_to_peers(&self) -> Vec<String> {
        let (_, body) = http_call(self.proxy.admin_http, "GET /ops/known");
        let known: serde_json::Value = serde_json::from_str(&body).unwrap();
        let hosts = known["hosts"].as_array().unwrap();
        let uid = |host: &serde_json::Value| host["uid"].as_str().unwrap().to_string();
        let mut uids: Vec<String> = hosts.iter().map(uid).collect();
        uids.sort();
        uids
    }

    fn wait_for_stage(&self, stage: &str) {
        wait_until(stage, || self.stage() == stage);
    }

    fn start_stopped_server(&self) -> RunningServer {
        RunningServer::start(self.proxy.servers[STOPPED].try_clone().unwrap())
    }

    /// Opens sessions one after the other for a time; each of them ends at once.
    fn open_sessions(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let mut client = self.proxy.connect(OPEN_LINE);
            client.read_line_within(TIMEOUT);
            drop(client);
            sleep(SESSION_INTERVAL);
        }
    }

    /// Checks that of the sessions opened from now on the running server gets all.
    fn assert_gets_no_session(&self, server: &RunningServer, time: Duration) {
        let before = (self.running.session_count(), server.session_count());
        self.open_sessions(time);
        assert!(self.running.session_count() > before.0, "no session at all");
        assert_eq!(
            server.session_count(),
            before.1,
            "sessions at a server that is not listed"
        );
    }
}

/// What discovery sends about a server that the proxy must not use any more.
#[derive(Clone, Copy)]
enum Delisting {
    LeftOut,
    Draining,
    Gone,
}

impl Delisting {
    fn send(self, started: &StartedProxy, revision: u32) {
        let running = started.entry(RUNNING, "ready");
        match self {
            Delisting::LeftOut => started.send_list(revision, true, &[running]),
            Delisting::Draining => {
                let draining = started.entry(STOPPED, "draining");
                started.send_list(revision, true, &[running, draining]);
            }
            Delisting::Gone => {
                started.send_list(revision, false, &[started.entry(STOPPED, "gone")]);
            }
        }
    }
}

/// A server that the first list of discovery takes out got sessions for good once it answered a probe, since the list
/// came after the end of the warm start.
#[test_case(Delisting::LeftOut; "left out")]
#[test_case(Delisting::Draining; "draining")]
#[test_case(Delisting::Gone; "gone")]
fn a_server_that_is_delisted_after_the_start_and_then_answers_gets_no_session(
    delisting: Delisting,
) {
    let started = StartedProxy::new(Duration::from_millis(300), &[]);
    started.wait_for_stage("normal");
    delisting.send(&started, CONFIGURED_REVISION + 1);
    sleep(DRAIN_GRACE);
    let late = started.start_stopped_server();
    started.assert_gets_no_session(&late, OBSERVATION_TIME);
}

/// The other order of the two events: the server answers before the list takes it out.
#[test_case(Delisting::LeftOut; "left out")]
#[test_case(Delisting::Draining; "draining")]
#[test_case(Delisting::Gone; "gone")]
fn a_server_that_answers_and_is_then_delisted_after_the_start_gets_no_session(
    delisting: Delisting,
) {
    let started = StartedProxy::new(Duration::from_millis(300), &[]);
    let late = started.start_stopped_server();
    started.wait_for_stage("normal");
    wait_until("the server gets a session", || {
        started.open_sessions(SESSION_INTERVAL);
        late.session_count() > 0
    });
    delisting.send(&started, CONFIGURED_REVISION + 1);
    sleep(DRAIN_GRACE);
    started.assert_gets_no_session(&late, Duration::from_secs(1));
}

/// A peer's answer that came after discovery's list brought back a server that the list does not contain.
#[test]
fn a_server_that_only_a_late_peer_names_gets_no_session() {
    let unlisted = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpListener::bind("127.0.0.1:0").unwrap();
    let started = StartedProxy::new(Duration::from_secs(2), &[peer.local_addr().unwrap()]);
    let (query, _) = peer.accept().unwrap();
    let boot_ms = format!("\"boot_ms\":{}", unix_ms());
    let cold = started
        .entry(RUNNING, "ready")
        .replace("\"boot_ms\":0", &boot_ms);
    started.send_list(CONFIGURED_REVISION + 1, true, &[cold]);
    started.wait_for_stage("admitting");
    answer_peer_query(query, unlisted.local_addr().unwrap());
    let unlisted = RunningServer::start(unlisted);
    started.assert_gets_no_session(&unlisted, Duration::from_secs(3));
}

/// A remembered server that had never answered was told to peers as known.
#[test]
fn peers_are_told_only_servers_that_have_answered_or_are_listed() {
    let started = StartedProxy::new(Duration::from_millis(300), &[]);
    started.wait_for_stage("normal");
    assert_eq!(started.servers_told_to_peers(), ["s-0"]);
    let both = [RUNNING, STOPPED].map(|server| started.entry(server, "ready"));
    started.send_list(CONFIGURED_REVISION + 1, true, &both);
    wait_until("the listed servers are told", || {
        started.servers_told_to_peers() == ["s-0", "s-1"]
    });
}

/// A list whose revisions had begun anew was never applied, since it had come before the end of the warm start.
#[test]
fn a_list_with_revisions_begun_anew_is_applied_when_the_start_is_over() {
    let started = StartedProxy::new(Duration::from_secs(1), &[]);
    let late = started.start_stopped_server();
    started.wait_for_stage("admitting");
    let running = [started.entry(RUNNING, "ready")];
    started.send_list(1, true, &running);
    started.wait_for_stage("normal");
    let watch = started.proxy.accept_watch();
    assert!(watch.request.contains("index=0 "), "{}", watch.request);
    watch.lists.send(list_line(1, true, &running)).unwrap();
    sleep(DRAIN_GRACE);
    started.assert_gets_no_session(&late, Duration::from_secs(1));
}

/// A process that replaced one with such a list asked for changes to it, and never had the complete list.
#[test]
fn the_successor_of_a_process_with_an_outdated_list_asks_for_the_complete_one() {
    let started = StartedProxy::new(Duration::from_secs(60), &[]);
    started.wait_for_stage("admitting");
    started.send_list(1, true, &[started.entry(RUNNING, "ready")]);
    wait_until("the list is read", || {
        let (_, body) = http_call(started.proxy.admin_http, "GET /ops/known");
        body.contains("\"rev\":1,")
    });
    let _successor = started.proxy.start_second_process();
    let watch = started.proxy.accept_watch();
    assert!(watch.request.contains("index=0 "), "{}", watch.request);
}

fn unix_ms() -> u128 {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed();
    since_epoch.unwrap().as_millis()
}

/// Answers a query between proxies with one server, `s-9`.
fn answer_peer_query(mut query: TcpStream, server: SocketAddr) {
    let host = format!(
        r#"{{"uid":"s-9","endpoint":"{server}","zone":"a","cell":0,"weight":1.0,"started_ms":null,"age_ms":10,"unit":0.02}}"#
    );
    let body = format!(
        r#"{{"v":1,"fleet":"lake","stage":"normal","rev":30,"told_ms":null,"pending":0,"hosts":[{host}]}}"#
    );
    write!(query, "HTTP/1.1 200 OK\r\n\r\n{body}").unwrap();
}
