//! A server sends its last lines and ends the connection in good order while the client's machine is cut off for three
//! seconds.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Lines of some 4 KiB that the server sends before `BYE`.
const LINES: u64 = 120;
const PADDING: usize = 4_000;
/// How long the client's machine is cut off.
const CUT: Duration = Duration::from_secs(3);
/// The client sends a line this often, also while it is cut off; the line then waits in its machine.
const BEAT: Duration = Duration::from_secs(2);
/// Time that the network takes for each 8 KiB: some 60 Mbit/s.
const TIME_FOR_8_KIB: Duration = Duration::from_millis(1);

/// The network between the client and what it connects to. While it is cut nothing passes, and connections stay open.
struct Network {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Network {
    fn start(to: SocketAddr) -> Network {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let network = Network { address: listener.local_addr().unwrap(), cut: Arc::default() };
        let cut = network.cut.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let _ = (client.set_nodelay(true), far.set_nodelay(true));
                let (from, into) = (client.try_clone().unwrap(), far.try_clone().unwrap());
                let (forth, back) = (cut.clone(), cut.clone());
                std::thread::spawn(move || pass(from, into, &forth));
                std::thread::spawn(move || pass(far, client, &back));
            }
        });
        network
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 8192];
    loop {
        wait_while(cut);
        match from.read(&mut bytes) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                std::thread::sleep(TIME_FOR_8_KIB);
                wait_while(cut);
                if to.write_all(&bytes[..count]).is_err() {
                    return;
                }
            }
            Err(_) => {
                // A reset is passed on as the end of both directions.
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// A server that answers the client's lines. On `go` it sends its last lines, `BYE` and the end of its direction, and
/// goes on reading until the other side ends too.
fn start_server(record: &Record, go: &Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (record, go) = (record.clone(), go.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, go) = (record.clone(), go.clone());
            std::thread::spawn(move || serve(stream, &record, &go));
        }
    });
    address
}

fn serve(stream: TcpStream, record: &Record, go: &Arc<AtomicBool>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let writer = Arc::new(Mutex::new(stream));
    while let Some(line) = read_line(&mut reader) {
        let answer = if line == "STATS" || line == "PING" {
            "PONG x0=0.1,throughput=0.5,errors_per_s=0,outstanding=1".to_string()
        } else if line.starts_with("OPEN ") {
            record.line("server", &format!("<- {line}"));
            let (writer, go, record) = (writer.clone(), go.clone(), record.clone());
            std::thread::spawn(move || send_last_lines(&writer, &go, &record));
            "UP r-1".to_string()
        } else {
            format!("ACK {line}")
        };
        let _ = writer.lock().unwrap().write_all(format!("{answer}\r\n").as_bytes());
    }
    record.line("server", "the other side has ended");
}

fn send_last_lines(writer: &Mutex<TcpStream>, go: &AtomicBool, record: &Record) {
    while !go.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(2));
    }
    let mut stream = writer.lock().unwrap();
    for number in 1..=LINES {
        let line = format!("DATA {number} {}\r\n", "x".repeat(PADDING));
        if stream.write_all(line.as_bytes()).is_err() {
            return record.line("server", &format!("cannot send line {number}"));
        }
    }
    let _ = stream.write_all(b"BYE\r\n");
    let _ = stream.shutdown(Shutdown::Write);
    record.line("server", &format!("-> {LINES} lines, BYE, end of its direction"));
}

/// What a client received after `UP`: how many lines, and how it ended.
struct Received {
    lines: u64,
    end: String,
}

/// Opens a connection through the network, lets the server send its last lines, with the cut if wanted, and returns
/// what the client received.
fn play(record: &Record, network: &Network, go: &AtomicBool, id: &str, with_cut: bool) -> Result<Received, &'static str> {
    let client = TcpStream::connect(network.address).map_err(|_| "no connection")?;
    let _ = client.set_nodelay(true);
    let mut sender = client.try_clone().unwrap();
    let line = open_line(id, "waveform", 4800);
    record.line("client", &format!("-> {line}"));
    sender.write_all(format!("{line}\r\n").as_bytes()).map_err(|_| "no request")?;
    let mut reader = BufReader::new(client);
    let answer = read_line(&mut reader);
    record.line("client", &format!("<- {answer:?}"));
    if !answer.is_some_and(|text| text.starts_with("UP ")) {
        return Err("the client is not up");
    }
    let over: Arc<AtomicBool> = Arc::default();
    let stop = over.clone();
    std::thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            if sender.write_all(format!("BEAT {number}\r\n").as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(BEAT);
        }
        let _ = sender.shutdown(Shutdown::Both);
    });
    let lines: Arc<AtomicU64> = Arc::default();
    let (counted, log) = (lines.clone(), record.clone());
    let reading = std::thread::spawn(move || read_all(&mut reader, &counted, &log));
    std::thread::sleep(Duration::from_secs(1));
    if with_cut {
        record.line("network", "the client's machine is cut off");
        network.cut.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(100));
    }
    go.store(true, Ordering::Relaxed);
    if with_cut {
        std::thread::sleep(CUT);
        network.cut.store(false, Ordering::Relaxed);
        record.line("network", "the client's machine is back");
    }
    let end = reading.join().map_err(|_| "the client failed")?;
    over.store(true, Ordering::Relaxed);
    go.store(false, Ordering::Relaxed);
    let received = Received { lines: lines.load(Ordering::Relaxed), end };
    record.line("client", &format!("received {} of {LINES} lines, then {}", received.lines, received.end));
    Ok(received)
}

/// Reads until the end; returns how it came.
fn read_all(reader: &mut BufReader<TcpStream>, lines: &AtomicU64, record: &Record) -> String {
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) => return "the end without BYE".into(),
            Ok(_) if line.starts_with("DATA ") && line.ends_with("\r\n") => {
                lines.fetch_add(1, Ordering::Relaxed);
            }
            Ok(_) if line == "BYE\r\n" => return "BYE".into(),
            Ok(_) if line == "MOVE\r\n" => return "MOVE".into(),
            Ok(_) if line.starts_with("ACK ") => {}
            Ok(_) => record.line("client", &format!("<- {} bytes of a line", line.len())),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return "a reset".into(),
            Err(error) => return format!("{error}"),
        }
    }
}

fn main() {
    run_case(run)
}

fn run(record: &Record) -> Result<Vec<String>, &'static str> {
    let folder = Folder::new();
    let go: Arc<AtomicBool> = Arc::default();
    let server = start_server(record, &go);
    record.line("case", "first without a proxy: the stand-ins by themselves lose nothing");
    let direct = play(record, &Network::start(server), &go, "a000000000000001", with_trouble())?;
    if direct.lines != LINES || direct.end != "BYE" {
        return Err("the stand-ins lose lines by themselves");
    }
    let hosts = list(41, &[target("s-0", server, "ready")]);
    let discovery = start_discovery(record, hosts.clone());
    let (listen, operator) = (free_address(), free_address());
    let config = folder.file("config.json");
    std::fs::write(&config, configuration("n0", listen, discovery, &hosts, 3)).unwrap();
    let variables = [("LB_OPERATOR", operator.to_string()), ("TMPDIR", folder.0.display().to_string())];
    let _proxy = start_proxy(&config, &variables, &folder.file("proxy.log"));
    if !wait_ready(operator, Duration::from_secs(6)) {
        return Err("the proxy is not ready");
    }
    record.line("case", "then through the proxy");
    let received = play(record, &Network::start(listen), &go, "a000000000000002", with_trouble())?;
    for line in std::fs::read_to_string(folder.file("proxy.log")).unwrap_or_default().lines() {
        record.line("proxy.log", line);
    }
    Ok(if received.lines == LINES && received.end == "BYE" {
        Vec::new()
    } else {
        let Received { lines, end } = received;
        vec![format!("the server sent {LINES} lines and BYE; the client received {lines} lines, then {end}")]
    })
}
