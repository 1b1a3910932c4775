//! Faults of hosts and of discovery take effect and are reverted at their end, as raw connections without a proxy see it.

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

/// How long a test waits for a connection to a host, and again for the first reply on it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// A session request with a client wait of 900 ms.
const SESSION_REQUEST: &[u8] = b"OPEN 7 1 c=feed,t=acme,d=900\r\n";

/// A testbed with hosts and no proxies; `faults` are the tables of its faults.
async fn testbed(faults: &str) -> Arc<Testbed> {
    let scenario = help::base_with_tables(faults);
    let plan = Plan::new(&scenario, 1, None);
    let hosts = host::bind_all(&plan).await.unwrap();
    let proxies = addresses(&scenario);
    let front = FrontBalancer::new(proxies.iter().map(|proxy| (proxy.zone, proxy.listen)));
    let context = Arc::new(RunContext::new(scenario, plan));
    Arc::new(Testbed::start(context, hosts, front, Arc::default()))
}

/// A testbed without proxies and with one fault, of host 0.
async fn testbed_with_host_fault(kind: &str) -> Arc<Testbed> {
    let other_keys = "on = [0]\nspan = \"400ms\"\nmuch = 0.1";
    testbed(&help::fault_table("1s", None, kind, other_keys)).await
}

/// The reply of host 0 to a session request: the first word of its first line, or how the connection ended; `nothing` if
/// there is no reply within the time-out.
async fn first_reply(testbed: &Testbed) -> String {
    let Ok(connected) = timeout(REPLY_TIMEOUT, TcpStream::connect(testbed.hosts[0].address)).await
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
    match timeout(REPLY_TIMEOUT, LineReader::new(read).next()).await {
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
fn a_host_fault_takes_effect_and_its_end_reverts_it(kind: &str, during: &str, after: &str) {
    help::runtime().block_on(async {
        let testbed = testbed_with_host_fault(kind).await;
        assert_eq!(first_reply(&testbed).await, "UP", "before");
        testbed.hosts[0].apply_fault(0, true);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(first_reply(&testbed).await, during, "during");
        testbed.hosts[0].apply_fault(0, false);
        sleep(Duration::from_millis(150)).await;
        assert_eq!(first_reply(&testbed).await, after, "after");
    });
}

#[test_case("host-restarts", &["Reset"]; "a process that ends resets its connections")]
#[test_case("host-draining", &["MOVE", "Fin"]; "a draining host moves its sessions")]
fn a_host_fault_ends_open_connections(kind: &str, expected: &[&str]) {
    help::runtime().block_on(async {
        let testbed = testbed_with_host_fault(kind).await;
        let mut stream = TcpStream::connect(testbed.hosts[0].address).await.unwrap();
        stream.write_all(SESSION_REQUEST).await.unwrap();
        let (read, _write) = stream.into_split();
        let mut lines = LineReader::new(read);
        assert!(matches!(lines.next().await, Line::Text(up) if up.starts_with("UP ")));
        assert!(matches!(lines.next().await, Line::Text(load) if load.starts_with("LOAD ")));
        testbed.hosts[0].apply_fault(0, true);
        for expected in expected {
            let received = match timeout(Duration::from_secs(3), lines.next()).await.unwrap() {
                Line::Text(line) => line,
                end => format!("{end:?}"),
            };
            assert_eq!(&received, expected);
        }
    });
}

#[test]
fn each_of_two_faults_of_a_host_ends_alone() {
    help::runtime().block_on(async {
        let fault = |kind: &str| help::fault_table("1s", None, kind, "on = [0]");
        let faults = [fault("host-draining"), fault("host-erring")].concat();
        let testbed = testbed(&faults).await;
        let apply = |number, begins| testbed.hosts[0].apply_fault(number, begins);
        apply(0, true);
        apply(1, true);
        assert_eq!(first_reply(&testbed).await, "ERR");
        apply(1, false);
        assert_eq!(first_reply(&testbed).await, "BUSY");
        apply(0, false);
        assert_eq!(first_reply(&testbed).await, "UP");
    });
}

#[test_case("HELLO\r\n"; "unknown command")]
#[test_case("OPEN 1 2 c=feed,t=acme\r\n"; "no client wait")]
#[test_case("OPEN 1 2 c=none,d=5\r\n"; "unknown listener")]
#[test_case("OPEN xyz 2 c=feed,d=5\r\n"; "invalid session id")]
#[test_case("OPEN 1 2 c=feed,d=5\n"; "line feed without carriage return")]
fn a_host_answers_syntax_to_an_invalid_line(line: &str) {
    help::runtime().block_on(async {
        let testbed = testbed_with_host_fault("host-silent").await;
        let mut stream = TcpStream::connect(testbed.hosts[0].address).await.unwrap();
        stream.write_all(line.as_bytes()).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        assert_eq!(text, "SYNTAX\r\n");
        assert_eq!(testbed.context.event_log.take().len(), 1);
    });
}

#[test]
fn a_load_report_has_the_load_and_the_number_of_sessions() {
    help::runtime().block_on(async {
        let testbed = testbed_with_host_fault("host-silent").await;
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

/// What the agent sends to a discovery watch within 300 ms, including the HTTP head and chunk sizes, or `refused` if it
/// accepts no connection. `<end>` marks the end of the connection.
async fn watch_response(agent: &DiscoveryAgent, index: u64) -> String {
    let Ok(mut stream) = TcpStream::connect(agent.address()).await else {
        return "refused".into();
    };
    let request = format!("GET /discovery/hosts?stream=1&index={index} HTTP/1.1\r\n\r\n");
    let _ = stream.write_all(request.as_bytes()).await;
    let (mut received, deadline) = (Vec::new(), Instant::now() + Duration::from_millis(300));
    while let Ok(Ok(n)) = tokio::time::timeout_at(deadline, stream.read_buf(&mut received)).await {
        if n == 0 {
            received.extend(b"<end>");
            break;
        }
    }
    String::from_utf8(received).unwrap()
}

#[test]
fn discovery_sends_changes_and_its_faults_take_effect() {
    help::runtime().block_on(async {
        let testbed = testbed_with_host_fault("host-draining").await;
        let agent = DiscoveryAgent::start(&testbed.discovery, 0).await.unwrap();
        let full_list = watch_response(&agent, 0).await;
        assert!(
            full_list.contains("\"all\":true") && full_list.matches("\"ready\"").count() == 4,
            "{full_list}"
        );
        testbed.hosts[0].apply_fault(0, true);
        let change = watch_response(&agent, 1).await;
        assert!(
            change.contains("\"all\":false") && change.matches("uid").count() == 1,
            "{change}"
        );
        assert!(change.contains("\"draining\""), "{change}");
        testbed
            .discovery
            .faults
            .send_modify(|faults| faults.silent = 1);
        assert_eq!(watch_response(&agent, 1).await, "");
        testbed
            .discovery
            .faults
            .send_modify(|faults| (faults.silent, faults.sends_garbage) = (0, 1));
        let garbage = watch_response(&agent, 1).await;
        assert!(
            garbage.contains("chunked") && !garbage.contains("uid"),
            "{garbage}"
        );
        testbed
            .discovery
            .faults
            .send_modify(|faults| (faults.sends_garbage, faults.refuses) = (0, 1));
        sleep(Duration::from_millis(50)).await;
        assert_eq!(watch_response(&agent, 1).await, "refused");
        testbed
            .discovery
            .faults
            .send_modify(|faults| faults.refuses = 0);
        sleep(Duration::from_millis(100)).await;
        let old_address = agent.address();
        agent.change_address().await.unwrap();
        assert_ne!(agent.address(), old_address);
        assert!(watch_response(&agent, 1).await.contains("draining"));
        sleep(Duration::from_millis(50)).await;
        assert!(
            TcpStream::connect(old_address).await.is_err(),
            "the old address still accepts connections"
        );
    });
}
