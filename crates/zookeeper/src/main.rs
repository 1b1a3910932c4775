//! The stand-in store on sockets, for tests: several listening members of one store, and its faults by lines of standard input.
//!
//! `mute` and `speak`: no member answers, and again; `refuse` and `accept`: connections are closed as they come; `expire`: all
//! sessions end; `drop`: all connections break. It ends with its standard input.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_zookeeper::frame::FrameReader;
use asterramp_zookeeper::store::{ConnectionId, StoreEffect, StubStore};
use std::collections::HashMap;
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(20);
/// What a client may ask for as its timeout.
const LEAST: Duration = Duration::from_millis(300);
const MOST: Duration = Duration::from_secs(60);
/// Connections there may be at once.
const CONNS: usize = 1_000;

struct Desk {
    store: StubStore,
    conns: HashMap<ConnectionId, TcpStream>,
    next: ConnectionId,
    mute: bool,
    refuse: bool,
}

struct Shared {
    desk: Mutex<Desk>,
    began: Instant,
}

impl Shared {
    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

impl Desk {
    /// What the store wants done. A client that does not read is not waited for.
    fn carry_out(&mut self, effects: Vec<StoreEffect>) {
        for effect in effects {
            match effect {
                StoreEffect::Send(conn, frame) if !self.mute => {
                    let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
                    bytes.extend(frame);
                    let written = self
                        .conns
                        .get(&conn)
                        .map(|mut stream| stream.write_all(&bytes));
                    if matches!(written, Some(Err(_))) {
                        self.close(conn);
                    }
                }
                StoreEffect::Send(..) => {}
                StoreEffect::CloseConnection(conn) => self.close(conn),
            }
        }
    }

    fn close(&mut self, conn: ConnectionId) {
        if let Some(stream) = self.conns.remove(&conn) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.store.connection_closed(conn);
    }
}

fn serve(shared: &Shared, conn: ConnectionId, mut stream: TcpStream) {
    let (mut frames, mut bytes) = (FrameReader::default(), [0; 4096]);
    while let Ok(n) = stream.read(&mut bytes) {
        if n == 0 {
            break;
        }
        frames.append(&bytes[..n]);
        let mut desk = shared.desk();
        if desk.mute {
            // What comes meanwhile is lost, as at a store that hangs and is then restarted.
            frames = FrameReader::default();
            continue;
        }
        loop {
            let frame = match frames.next_frame() {
                Ok(Some(frame)) => frame.to_vec(),
                Ok(None) => break,
                Err(_) => return desk.close(conn),
            };
            let (now, mut out) = (shared.began.elapsed(), Vec::new());
            let read = desk.store.receive_frame(now, conn, &frame, &mut out);
            desk.carry_out(out);
            if read.is_err() {
                return desk.close(conn);
            }
        }
    }
    shared.desk().close(conn);
}

fn listen(shared: Arc<Shared>, door: TcpListener) {
    for stream in door.incoming().flatten() {
        let mut desk = shared.desk();
        if desk.refuse || desk.conns.len() >= CONNS {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
        let Ok(own) = stream.try_clone() else {
            continue;
        };
        desk.next += 1;
        let conn = desk.next;
        desk.conns.insert(conn, own);
        drop(desk);
        let shared = shared.clone();
        std::thread::spawn(move || serve(&shared, conn, stream));
    }
}

fn main() {
    let addresses: Vec<String> = std::env::args().skip(1).collect();
    if addresses.is_empty() {
        eprintln!("asterramp-store: wants addresses to listen at, as in 127.0.0.1:2181");
        std::process::exit(2);
    }
    let store = StubStore::new(LEAST, MOST);
    let desk = Desk {
        store,
        conns: HashMap::new(),
        next: 0,
        mute: false,
        refuse: false,
    };
    let shared = Arc::new(Shared {
        desk: Mutex::new(desk),
        began: Instant::now(),
    });
    for address in addresses {
        let door = match TcpListener::bind(&address) {
            Ok(door) => door,
            Err(e) => {
                eprintln!("asterramp-store: {address}: {e}");
                std::process::exit(1);
            }
        };
        println!(
            "{}",
            door.local_addr()
                .map(|at| at.to_string())
                .unwrap_or_default()
        );
        let shared = shared.clone();
        std::thread::spawn(move || listen(shared, door));
    }
    let ticking = shared.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(TICK);
            let (now, mut out, mut desk) = (ticking.began.elapsed(), Vec::new(), ticking.desk());
            desk.store.tick(now, &mut out);
            desk.carry_out(out);
        }
    });
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let mut desk = shared.desk();
        match line.trim() {
            "mute" => desk.mute = true,
            "speak" => desk.mute = false,
            "refuse" => desk.refuse = true,
            "accept" => desk.refuse = false,
            "expire" => {
                let (sessions, mut out) = (desk.store.sessions().collect::<Vec<_>>(), Vec::new());
                sessions
                    .into_iter()
                    .for_each(|id| desk.store.end_session(id, &mut out));
                desk.carry_out(out);
            }
            "drop" => desk
                .conns
                .keys()
                .copied()
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|conn| desk.close(conn)),
            other => eprintln!("asterramp-store: {other:?} is no fault"),
        }
        println!("done {}", line.trim());
    }
}
