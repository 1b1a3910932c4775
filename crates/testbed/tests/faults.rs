//! Each fault has its effect at the peers, told apart by a raw connection, and its end takes it back.

mod help;

use asterramp_testbed::context::RunContext;
use asterramp_testbed::discovery::DiscoveryAgent;
use asterramp_testbed::front_balancer::FrontBalancer;
use asterramp_testbed::host;
use asterramp_testbed::line_reader::{Line, LineReader};
use asterramp_testbed::plan::Plan;
use asterramp_testbed::proxy_process::addresses;
use asterramp_testbed::testbed::Testbed;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// How long a raw connection waits for what it wants to hear.
const PATIENCE: Duration = Duration::from_millis(250);
/// The session that the tests ask for.
const OPEN_LINE: &[u8] = b"OPEN 7 1 c=feed,t=acme,d=900\r\n";

/// Hosts without proxies, and the faults of these tables.
async fn testbed(faults: &str) -> Arc<Testbed> {
    let scenario = help::scenario(faults);
    let plan = Plan::new(&scenario, 1, None);
    let hosts = host::bind_all(&plan).await.unwrap();
    let proxies = addresses(&scenario);
    let front = FrontBalancer::new(proxies.iter().map(|proxy| (proxy.zone, proxy.listen)));
    let context = Arc::new(RunContext::new(scenario, plan));
    Arc::new(Testbed::start(context, hosts, front, Arc::default()))
}

/// The same with one fault, on host 0.
async fn testbed_with(kind: &str) -> Arc<Testbed> {
    let rest = "on = [0]\nspan = \"400ms\"\nmuch = 0.1";
    testbed(&help::fault("1s", None, kind, rest)).await
}

/// What a session hears of host 0: its first line, how the connection ended, or nothing in time.
async fn hears(testbed: &Testbed) -> String {
    let Ok(connected) = timeout(PATIENCE, TcpStream::connect(testbed.hosts[0].address)).await
    else {
        return "no connection".into();
    };
    let Ok(mut stream) = connected else {
        return "refused".into();
    };
    let line = format!(
        "OPEN {:x} 1 c=feed,t=acme,d=900,h=10\r\n",
        testbed.context.new_session_id()
    );
    stream.write_all(line.as_bytes()).await.unwrap();
    let (read, _write) = stream.into_split();
    match timeout(PATIENCE, LineReader::new(read).next()).await {
        Ok(Line::Text(line)) => line.split(' ').next().unwrap_or_default().to_string(),
        Ok(end) => format!("{end:?}"),
        Err(_) => "nothing".into(),
    }
}

#[test_case("host-silent", "nothing", "UP")]
#[test_case("host-vanished", "no connection", "UP")]
#[test_case("host-mute", "nothing", "UP")]
#[test_case("host-late", "nothing", "UP")]
#[test_case("host-slow", "nothing", "UP")]
#[test_case("host-erring", "ERR", "UP")]
#[test_case("host-resets", "Reset", "UP")]
#[test_case("host-draining", "BUSY", "UP")]
#[test_case("host-restarts", "refused", "UP")]
#[test_case("host-gone", "refused", "UP")]
fn a_host_shows_its_fault_and_recovers(kind: &str, during: &str, after: &str) {
    help::runtime().block_on(async {
        let testbed = testbed_with(kind).await;
        assert_eq!(hears(&testbed).await, "UP", "before");
        testbed.hosts[0].apply_fault(0, true);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(hears(&testbed).await, during, "during");
        testbed.hosts[0].apply_fault(0, false);
        sleep(Duration::from_millis(150)).await;
        assert_eq!(hears(&testbed).await, after, "after");
    });
}

#[test_case("host-restarts", &["Reset"]; "a process that dies resets its connections")]
#[test_case("host-draining", &["MOVE", "Fin"]; "one that drains sends them away")]
fn a_fault_ends_open_connections_as_a_host_would(kind: &str, hear: &[&str]) {
    help::runtime().block_on(async {
        let testbed = testbed_with(kind).await;
        let mut stream = TcpStream::connect(testbed.hosts[0].address).await.unwrap();
        stream.write_all(OPEN_LINE).await.unwrap();
        let (read, _write) = stream.into_split();
        let mut lines = LineReader::new(read);
        assert!(matches!(lines.next().await, Line::Text(up) if up.starts_with("UP ")));
        assert!(matches!(lines.next().await, Line::Text(load) if load.starts_with("LOAD ")));
        testbed.hosts[0].apply_fault(0, true);
        for hear in hear {
            let heard = match timeout(Duration::from_secs(3), lines.next()).await.unwrap() {
                Line::Text(line) => line,
                end => format!("{end:?}"),
            };
            assert_eq!(&heard, hear);
        }
    });
}

#[test]
fn two_faults_on_one_host_end_one_by_one() {
    help::runtime().block_on(async {
        let fault = |kind: &str| help::fault("1s", None, kind, "on = [0]");
        let faults = [fault("host-draining"), fault("host-erring")].concat();
        let testbed = testbed(&faults).await;
        let apply = |number, begins| testbed.hosts[0].apply_fault(number, begins);
        apply(0, true);
        apply(1, true);
        assert_eq!(hears(&testbed).await, "ERR");
        apply(1, false);
        assert_eq!(hears(&testbed).await, "BUSY");
        apply(0, false);
        assert_eq!(hears(&testbed).await, "UP");
    });
}

#[test_case("HELLO\r\n"; "an unknown word")]
#[test_case("OPEN 1 2 c=feed,t=acme\r\n"; "no time")]
#[test_case("OPEN 1 2 c=none,d=5\r\n"; "no such listener")]
#[test_case("OPEN xyz 2 c=feed,d=5\r\n"; "no id")]
#[test_case("OPEN 1 2 c=feed,d=5\n"; "a line feed alone")]
fn a_host_says_syntax_to_what_it_cannot_read(line: &str) {
    help::runtime().block_on(async {
        let testbed = testbed_with("host-silent").await;
        let mut stream = TcpStream::connect(testbed.hosts[0].address).await.unwrap();
        stream.write_all(line.as_bytes()).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        assert_eq!(text, "SYNTAX\r\n");
        assert_eq!(testbed.context.event_log.take().len(), 1);
    });
}

#[test]
fn a_load_report_has_the_load_and_the_sessions() {
    help::runtime().block_on(async {
        let testbed = testbed_with("host-silent").await;
        let mut stream = TcpStream::connect(testbed.hosts[0].address).await.unwrap();
        stream.write_all(b"PING\r\nSTATS\r\n").await.unwrap();
        let (read, _write) = stream.into_split();
        let mut lines = LineReader::new(read);
        assert_eq!(lines.next().await, Line::Text("PONG".into()));
        assert_eq!(
            lines.next().await,
            Line::Text("PONG x0=0.0000,outstanding=0".into())
        );
    });
}

/// What a watch says within a while, heads and chunk sizes left out.
async fn watch(agent: &DiscoveryAgent, index: u64) -> String {
    let Ok(mut stream) = TcpStream::connect(agent.address()).await else {
        return "refused".into();
    };
    let request = format!("GET /discovery/hosts?stream=1&index={index} HTTP/1.1\r\n\r\n");
    let _ = stream.write_all(request.as_bytes()).await;
    let (mut heard, until) = (Vec::new(), Instant::now() + Duration::from_millis(300));
    while let Ok(Ok(n)) = tokio::time::timeout_at(until, stream.read_buf(&mut heard)).await {
        if n == 0 {
            heard.extend(b"<end>");
            break;
        }
    }
    String::from_utf8(heard).unwrap()
}

#[test]
fn discovery_tells_changes_and_shows_its_faults() {
    help::runtime().block_on(async {
        let testbed = testbed_with("host-draining").await;
        let agent = DiscoveryAgent::start(&testbed.discovery, 0).await.unwrap();
        let whole = watch(&agent, 0).await;
        assert!(
            whole.contains("\"all\":true") && whole.matches("\"ready\"").count() == 4,
            "{whole}"
        );
        testbed.hosts[0].apply_fault(0, true);
        let changed = watch(&agent, 1).await;
        assert!(
            changed.contains("\"all\":false") && changed.matches("uid").count() == 1,
            "{changed}"
        );
        assert!(changed.contains("\"draining\""), "{changed}");
        testbed.discovery.faults.send_modify(|mood| mood.silent = 1);
        assert_eq!(watch(&agent, 1).await, "");
        testbed
            .discovery
            .faults
            .send_modify(|mood| (mood.silent, mood.sends_garbage) = (0, 1));
        let babble = watch(&agent, 1).await;
        assert!(
            babble.contains("chunked") && !babble.contains("uid"),
            "{babble}"
        );
        testbed
            .discovery
            .faults
            .send_modify(|mood| (mood.sends_garbage, mood.refuses) = (0, 1));
        sleep(Duration::from_millis(50)).await;
        assert_eq!(watch(&agent, 1).await, "refused");
        testbed
            .discovery
            .faults
            .send_modify(|mood| mood.refuses = 0);
        sleep(Duration::from_millis(100)).await;
        let old = agent.address();
        agent.change_address().await.unwrap();
        assert_ne!(agent.address(), old);
        assert!(watch(&agent, 1).await.contains("draining"));
        sleep(Duration::from_millis(50)).await;
        assert!(
            TcpStream::connect(old).await.is_err(),
            "the old address still listens"
        );
    });
}
