//! Case 6: while a proxy's process is replaced, the id of a request that is open at the old process runs a second time.

#[path = "../stand-2/stand.rs"]
mod stand;

use stand::{
    BROKEN, Client, Discovery, Folder, HELD, Proxy, ProxyFiles, Received, Record, Server,
    ServerEvent, record_path, free_address, settings, sleep_ms, stop, with_trouble,
};
use std::time::Duration;

/// How long a server takes to set a session up; the settings want it within 800 ms.
const SET_UP_TIME: Duration = Duration::from_millis(300);
/// Time between two clients: 12.5 a second, as in a small deployment.
const CLIENT_INTERVAL_MS: u64 = 80;
/// Most clients that come before the new process is ready.
const MAX_CLIENTS: usize = 75;
/// How many bad clients send the id of another client's open request.
const BAD_CLIENTS: usize = 3;
const WAIT_MS: u32 = 4_800;

fn main() {
    let trouble = with_trouble();
    let record = Record::create(&record_path());
    record.add(if trouble {
        "the process is replaced"
    } else {
        "TROUBLE=0: the process is not replaced"
    });
    let servers: Vec<Server> = ["s-1", "s-2", "s-3", "s-4"]
        .iter()
        .zip(["duluth", "duluth", "sault", "thunder-bay"])
        .map(|(uid, zone)| Server::start(&record, uid, zone, SET_UP_TIME))
        .collect();
    let entries: Vec<_> = servers.iter().map(|server| server.listed("ready")).collect();
    let discovery = Discovery::start(&record, &entries);
    let folder = Folder::create("proxy");
    let files = ProxyFiles {
        folder: &folder,
        listen: free_address(),
        discovery: discovery.address,
        known: discovery.list(),
        settings: settings("non_idempotent", "pushed", 1_000_000, ""),
        operator_file: None,
    };
    let old = Proxy::start(&record, "old", &files);
    old.wait_until_ready();
    let mut first = Client::open(&record, files.listen, "c0", "waveform", WAIT_MS);
    if !matches!(first.receive(Duration::from_secs(5)), Received::Line(line) if line.starts_with("UP "))
    {
        stop("a client is not served before the replacement");
    }
    // Clients come all the time; the bad clients take the ids of the last of them, which are being set up.
    let (clients, new) = if trouble {
        let new = Proxy::start(&record, "new", &files);
        let clients = clients_until(&record, &files, |_| {
            new.call("GET", "/ops/readiness") == Some(200)
        });
        record.add("platform: process new says that it is ready");
        old.signal("TERM");
        (clients, Some(new))
    } else {
        (clients_until(&record, &files, |count| count >= 6), None)
    };
    if clients.len() < BAD_CLIENTS {
        stop("too few clients came before the new process was ready");
    }
    let open_ids: Vec<String> = clients
        .iter()
        .rev()
        .take(BAD_CLIENTS)
        .map(|client| client.id.clone())
        .collect();
    let mut bad_clients: Vec<Client> = open_ids
        .iter()
        .map(|id| {
            record.add(&format!("a bad client sends the id {id} of another client's open request"));
            Client::open(&record, files.listen, id, "waveform", WAIT_MS)
        })
        .collect();
    let mut served = 0;
    for client in &mut bad_clients {
        if matches!(client.receive(Duration::from_secs(6)), Received::Line(line) if line.starts_with("UP "))
        {
            record.add(&format!("the bad client with the id {} is served", client.id));
            served += 1;
        }
    }
    let mut answered = 0;
    for mut client in clients {
        if matches!(client.receive(Duration::from_secs(6)), Received::Line(_)) {
            answered += 1;
        }
    }
    record.add(&format!("{answered} usual clients got an answer"));
    sleep_ms(200);
    let mut run_twice = 0;
    for id in &open_ids {
        let runs: usize = servers
            .iter()
            .map(|server| {
                let events = server.events.lock().unwrap();
                let ran = |event: &&ServerEvent| matches!(event, ServerEvent::Up { id: ran, .. } if ran == id);
                events.iter().filter(ran).count()
            })
            .sum();
        record.add(&format!("the once-only request {id} ran {runs} times"));
        run_twice += usize::from(runs > 1);
    }
    let broken = served > 0 || run_twice > 0;
    let text = format!(
        "{}: {served} of {BAD_CLIENTS} bad clients served, {run_twice} once-only requests ran twice",
        if broken { "BROKEN" } else { "held" }
    );
    record.add(&text);
    println!("{text}");
    drop((old, new, folder));
    std::process::exit(if broken { BROKEN } else { HELD });
}

/// Lets clients come until `is_over`, which is given their number; returns them.
fn clients_until(
    record: &Record,
    files: &ProxyFiles<'_>,
    mut is_over: impl FnMut(usize) -> bool,
) -> Vec<Client> {
    let mut clients: Vec<Client> = (1..=BAD_CLIENTS)
        .map(|nth| Client::open(record, files.listen, &format!("c{nth}"), "waveform", WAIT_MS))
        .collect();
    while !is_over(clients.len()) {
        if clients.len() >= MAX_CLIENTS {
            stop("the new process is not ready in time");
        }
        // The readiness is asked more often than clients come.
        for _ in 0..CLIENT_INTERVAL_MS / 10 {
            if is_over(clients.len()) {
                return clients;
            }
            sleep_ms(10);
        }
        let id = format!("c{}", clients.len() + 1);
        clients.push(Client::open(record, files.listen, &id, "waveform", WAIT_MS));
    }
    clients
}
