//! Hundreds of connections that send slowly, stop half way, or send very many short fields.

use crate::process_memory::assert_within_limit;
use crate::steady_client::{SteadyClient, request_line};
use crate::stub_server::{ServerBehaviour, serve};
use crate::support::{
    LineConnection, ProxyOptions, TIMEOUT, http_call, list_line, settings_with_health_checks,
    temporary_path,
};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// `limits.memory_mb` of the proxies. It leaves memory for 307 sessions.
const MEMORY_MB: usize = 48;
/// Sessions that the proxy can hold at most with [`MEMORY_MB`].
const MAX_SESSIONS: usize = 307;
/// Longest line of the protocol, in bytes.
const MAX_LINE_BYTES: usize = 4096;

/// A request line of greatest length with as many short fields as fit, without its end.
fn unfinished_request() -> String {
    let line = request_line();
    let start = line.trim_end();
    let fields = ",a=".repeat((MAX_LINE_BYTES - 2 - start.len()) / 3);
    format!("{start}{fields}")
}

/// Raises this process's limit on descriptors to what it may have.
fn raise_descriptor_limit() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit {
        current: maximum,
        maximum,
    };
    setrlimit(Resource::Nofile, limit).unwrap();
}

fn options<'a>() -> ProxyOptions<'a> {
    raise_descriptor_limit();
    ProxyOptions::new(1)
        .memory_mb(MEMORY_MB)
        .descriptors(4096, 8192)
}

/// Picture (a), clients and servers: as many sessions as the memory allows, each with full buffers both ways and a line cut off
/// half way, and beside them clients that stop half way through a request of very many short fields or write it slowly.
#[test]
fn clients_and_servers_that_stop_half_way_stay_within_the_memory_limit() {
    let proxy = options().start();
    serve(&proxy.servers[0], ServerBehaviour::SendAndStop);
    let mut sessions = Vec::new();
    let mut rejected = 0;
    for _ in 0..MAX_SESSIONS + 100 {
        let mut client = proxy.connect(&format!("{}\r\n", unfinished_request()));
        let answer = client.read_line_within(TIMEOUT);
        if answer.as_deref() == Some("UP r1") {
            fill(&mut client);
            sessions.push(client);
        } else {
            rejected += 1;
        }
    }
    assert!(
        sessions.len() <= MAX_SESSIONS && rejected >= 100,
        "{rejected}"
    );
    assert!(sessions.len() > MAX_SESSIONS / 2, "{}", sessions.len());
    let mut slow: Vec<LineConnection> = (0..400)
        .map(|_| proxy.connect(&unfinished_request()))
        .collect();
    for _ in 0..20 {
        for client in &mut slow {
            let _ = client.0.get_mut().write_all(b"a");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_within_limit(&proxy.process, MEMORY_MB, "clients and servers");
}

/// Sends complete lines and one cut off half way until nothing more is taken.
fn fill(client: &mut LineConnection) {
    let stream = client.0.get_mut();
    stream.set_nonblocking(true).unwrap();
    let lines = "line\r\n".repeat(4_000) + &"x".repeat(4_000);
    let _ = stream.write_all(lines.as_bytes());
}

/// Picture (a), the steady client: clients that stop half way or write slowly, by hundreds, do not delay it.
#[test]
fn clients_that_stop_half_way_do_not_delay_others() {
    let proxy = options().start();
    serve(&proxy.servers[0], ServerBehaviour::Echo);
    let steady = SteadyClient::start(&proxy);
    let mut slow: Vec<LineConnection> = (0..400)
        .map(|_| proxy.connect(&unfinished_request()[..4_000]))
        .collect();
    for _ in 0..40 {
        for client in &mut slow {
            let _ = client.0.get_mut().write_all(b"a");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    steady.assert_in_time("slow clients");
    assert_within_limit(&proxy.process, MEMORY_MB, "slow clients");
}

/// Picture (a), admin HTTP: callers that stop half way through a head of very many short fields.
#[test]
fn admin_http_callers_that_stop_half_way_stay_within_the_memory_limit() {
    let proxy = options().admin_http().start();
    let head = format!(
        "GET /ops/stats HTTP/1.1\r\nHost: x\r\n{}",
        "a:\r\n".repeat(1_000)
    );
    let mut callers = Vec::new();
    for _ in 0..400 {
        let mut caller = TcpStream::connect(proxy.admin_http).unwrap();
        caller.write_all(&head.as_bytes()[..4_000]).unwrap();
        callers.push(caller);
    }
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(http_call(proxy.admin_http, "GET /ops/readiness").0, 200);
    assert_within_limit(&proxy.process, MEMORY_MB, "admin HTTP");
}

/// Picture (a), admin socket: tools that stop half way through a request.
#[test]
fn admin_socket_tools_that_stop_half_way_stay_within_the_memory_limit() {
    let socket = temporary_path("sock");
    let file = temporary_path("toml");
    let text = format!("[control]\nsocket = {socket:?}\npeers = 24\n");
    std::fs::write(&file, text).unwrap();
    let proxy = options().operator_file(&file).start();
    let mut tools: Vec<UnixStream> = (0..200)
        .filter_map(|_| {
            let mut tool = UnixStream::connect(&socket).ok()?;
            tool.write_all("{".repeat(1_000).as_bytes()).ok()?;
            Some(tool)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    assert!(tools.len() >= 24);
    let mut reply = [0; 64];
    tools[0].write_all(b"\n").unwrap();
    assert!(
        tools[0].read(&mut reply).unwrap() > 0,
        "the tool was not read"
    );
    assert_within_limit(&proxy.process, MEMORY_MB, "admin socket");
    std::fs::remove_file(file).unwrap();
}

/// Picture (a), discovery: a list of very many short fields, and one that never ends.
#[test]
fn a_list_of_very_many_short_fields_stays_within_the_memory_limit() {
    const LIST_BYTES: usize = 4_000_000;
    for field in [
        "1,",
        "{},",
        "[],",
        "\"\",",
        "{\"a\":1},",
        "{\"uid\":\"\",\"az\":\"\"},",
    ] {
        let proxy = options().start();
        let fields = field.repeat(LIST_BYTES / field.len());
        let list = list_line(9, true, &[fields.trim_end_matches(',').to_string()]);
        proxy.watch.send(list).unwrap();
        let watch = proxy.accept_watch().lists;
        watch.send("x".repeat(LIST_BYTES)).unwrap();
        std::thread::sleep(Duration::from_millis(300));
        assert_within_limit(&proxy.process, MEMORY_MB, &format!("discovery {field}"));
    }
}

/// Picture (a), peers: answers of very many short fields, and answers that stop half way.
#[test]
fn answers_of_peers_with_very_many_short_fields_stay_within_the_memory_limit() {
    let peers: Vec<TcpListener> = (0..8)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let names: Vec<String> = peers
        .iter()
        .map(|peer| format!("\"{}\"", peer.local_addr().unwrap()))
        .collect();
    let queries = Arc::new(AtomicU32::new(0));
    for (nth, peer) in peers.into_iter().enumerate() {
        let queries = queries.clone();
        std::thread::spawn(move || answer_peer_queries(&peer, nth % 2 == 0, &queries));
    }
    let file = temporary_path("toml");
    let text = format!(
        "[recovery]\nstages = true\nfleet = \"lake\"\nothers = [{}]\n",
        names.join(", ")
    );
    std::fs::write(&file, text).unwrap();
    let settings = settings_with_health_checks();
    let proxy = options()
        .settings(&settings)
        .operator_file(&file)
        .start_without_list();
    std::thread::sleep(Duration::from_secs(3));
    assert!(
        queries.load(Ordering::Relaxed) >= 8,
        "not all peers were asked"
    );
    assert_within_limit(&proxy.process, MEMORY_MB, "peers");
    std::fs::remove_file(file).unwrap();
}

/// Answers each query with 120 KB of short fields, to their end or half way.
fn answer_peer_queries(listener: &TcpListener, completely: bool, queries: &AtomicU32) {
    let mut open = Vec::new();
    for mut stream in listener.incoming().flatten() {
        let _ = stream.read(&mut [0; 512]);
        queries.fetch_add(1, Ordering::Relaxed);
        let fields = "{},".repeat(40_000);
        let body = format!("{{\"v\":1,\"fleet\":\"lake\",\"hosts\":[{fields}{{}}]}}");
        let _ = write!(stream, "HTTP/1.1 200 OK\r\n\r\n{body}");
        if !completely {
            open.push(stream);
        }
    }
}
