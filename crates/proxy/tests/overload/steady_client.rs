//! A client that sends a line at a time, and one that opens a session at a time, whose answers are timed.

use crate::support::{LineConnection, OPEN_LINE, ProxyHarness};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest that a line may be held back, by the protocol.
pub(crate) const MAX_LINE_DELAY: Duration = Duration::from_secs(1);
/// Longest that an answer to a request may take: the handshake target of the settings.
pub(crate) const MAX_SET_UP_TIME: Duration = Duration::from_millis(800);
/// Time between two lines, and between two sessions.
const INTERVAL: Duration = Duration::from_millis(20);

/// The longest times that answers took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorstTimes {
    pub(crate) line: Duration,
    pub(crate) set_up: Duration,
    pub(crate) lines: u32,
    pub(crate) sessions: u32,
}

/// Two threads that time a proxy's answers until they are stopped.
pub(crate) struct SteadyClient {
    stop: Arc<AtomicBool>,
    lines: JoinHandle<(Duration, u32)>,
    sessions: JoinHandle<(Duration, u32)>,
}

impl SteadyClient {
    /// Starts both; the servers of the proxy must send lines back.
    pub(crate) fn start(proxy: &ProxyHarness) -> SteadyClient {
        let stop = Arc::new(AtomicBool::new(false));
        let mut client = proxy.connect(OPEN_LINE);
        assert_eq!(client.read_line(), "UP r1");
        let address = proxy.listen_address;
        let stopped = stop.clone();
        let lines = std::thread::spawn(move || {
            time_repeatedly(&stopped, || {
                client.send("tick\r\n");
                assert_eq!(client.read_line(), "tick");
            })
        });
        let stopped = stop.clone();
        let sessions = std::thread::spawn(move || {
            time_repeatedly(&stopped, || {
                let mut client = LineConnection::from_stream(TcpStream::connect(address).unwrap());
                client.send(&request_line());
                let answer = client.read_line();
                assert!(answer == "UP r1" || answer.starts_with("BUSY"), "{answer}");
            })
        });
        SteadyClient {
            stop,
            lines,
            sessions,
        }
    }

    /// Stops both; returns the longest times.
    pub(crate) fn stop(self) -> WorstTimes {
        self.stop.store(true, Ordering::Relaxed);
        let (line, lines) = self.lines.join().unwrap();
        let (set_up, sessions) = self.sessions.join().unwrap();
        WorstTimes {
            line,
            set_up,
            lines,
            sessions,
        }
    }

    /// Stops both, prints the longest times and checks them.
    pub(crate) fn assert_in_time(self, what: &str) {
        let worst = self.stop();
        println!("{what}: {worst:?}");
        assert!(worst.lines > 0 && worst.sessions > 0, "{what}: {worst:?}");
        assert!(worst.line < MAX_LINE_DELAY, "{what}: {worst:?}");
        assert!(worst.set_up < MAX_SET_UP_TIME, "{what}: {worst:?}");
    }
}

/// A request line with an id that no other line of this program has.
pub(crate) fn request_line() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let id = format!("f{:015x}", NEXT.fetch_add(1, Ordering::Relaxed));
    OPEN_LINE.replace(crate::support::OPEN_LINE_SESSION_ID, &id)
}

/// The longest time that an exchange took, and how many there were.
fn time_repeatedly(stop: &AtomicBool, mut exchange: impl FnMut()) -> (Duration, u32) {
    let mut longest = Duration::ZERO;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let started_at = Instant::now();
        exchange();
        longest = longest.max(started_at.elapsed());
        count += 1;
        std::thread::sleep(INTERVAL);
    }
    (longest, count)
}
