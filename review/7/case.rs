//! Case 7: `POST /ops/drain/start` is answered with yes and does nothing where a slower drain is in progress.

#[path = "../stand-2/stand.rs"]
mod stand;

use stand::{
    BROKEN, Client, Discovery, Folder, HELD, Proxy, ProxyFiles, Received, Record, Server,
    record_path, free_address, settings, sleep_ms, stop, with_trouble,
};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: usize = 40;
/// The page's limit after the call, with the 50 ms that hold on sockets, and some time for the stand-in itself.
const LIMIT: Duration = Duration::from_millis(4_000 + 50 + 150);
/// How long before the platform's call the operator starts the drain.
const OPERATOR_AHEAD_MS: u64 = 2_000;
/// Clients send a line every 2 s.
const LINE_INTERVAL: Duration = Duration::from_secs(2);

fn main() {
    let trouble = with_trouble();
    let record = Record::create(&record_path());
    record.add(if trouble {
        "an operator's drain is in progress when the platform calls"
    } else {
        "TROUBLE=0: no other drain is in progress when the platform calls"
    });
    let servers: Vec<Server> = ["s-1", "s-2", "s-3", "s-4"]
        .iter()
        .zip(["duluth", "duluth", "sault", "thunder-bay"])
        .map(|(uid, zone)| Server::start(&record, uid, zone, Duration::from_millis(10)))
        .collect();
    let entries: Vec<_> = servers.iter().map(|server| server.listed("ready")).collect();
    let discovery = Discovery::start(&record, &entries);
    let folder = Folder::create("proxy");
    let socket = folder.0.join("control.sock");
    let files = ProxyFiles {
        folder: &folder,
        listen: free_address(),
        discovery: discovery.address,
        known: discovery.list(),
        settings: settings("read_like", "pushed", 1_000_000, ""),
        operator_file: Some(format!("[control]\nsocket = \"{}\"\n", socket.display())),
    };
    let proxy = Proxy::start(&record, "proxy", &files);
    proxy.wait_until_ready();
    // Which clients were moved or cut off.
    let over = Arc::new(Mutex::new(vec![false; CLIENTS]));
    let opened = Arc::new(AtomicUsize::new(0));
    for nth in 0..CLIENTS {
        let mut client = Client::open(&record, files.listen, &format!("c{nth}"), "waveform", 4_800);
        let (over, opened) = (over.clone(), opened.clone());
        std::thread::spawn(move || {
            if !matches!(client.receive(Duration::from_secs(5)), Received::Line(line) if line.starts_with("UP "))
            {
                return;
            }
            opened.fetch_add(1, Ordering::SeqCst);
            let mut next_line = Instant::now() + LINE_INTERVAL;
            loop {
                let left = next_line.saturating_duration_since(Instant::now());
                match client.receive(left.max(Duration::from_millis(1))) {
                    Received::Line(line) if line != "MOVE" => {}
                    Received::Line(_) | Received::End => break,
                    Received::Nothing => {
                        client.send("line");
                        next_line = Instant::now() + LINE_INTERVAL;
                    }
                }
            }
            over.lock().unwrap()[nth] = true;
        });
    }
    if !stand::wait_for(Duration::from_secs(6), || opened.load(Ordering::SeqCst) == CLIENTS) {
        stop("not all clients are served");
    }
    if trouble {
        record.add("operator: asterramp drain --deadline 60s --pace 2");
        let status = Command::new("target/release/asterramp")
            .args(["drain", "--deadline", "60s", "--pace", "2", "--control"])
            .arg(&socket)
            .stdout(std::process::Stdio::null())
            .status();
        if !status.is_ok_and(|status| status.success()) {
            stop("the operator's command failed");
        }
    }
    sleep_ms(OPERATOR_AHEAD_MS);
    let called_at = Instant::now();
    let status = proxy.call("POST", "/ops/drain/start");
    record.add(&format!("platform: POST /ops/drain/start is answered {status:?}"));
    if status != Some(200) {
        stop("the drain was not accepted");
    }
    std::thread::sleep(LIMIT.saturating_sub(called_at.elapsed()));
    let held = over.lock().unwrap().iter().filter(|over| !**over).count();
    let broken = held > 0;
    let text = format!(
        "{}: 4 s after POST /ops/drain/start, {held} of {CLIENTS} clients are held and were not moved",
        if broken { "BROKEN" } else { "held" }
    );
    record.add(&text);
    println!("{text}");
    drop((proxy, folder));
    std::process::exit(if broken { BROKEN } else { HELD });
}
