//! Operators at a proxy's door: they ask for figures again and again, note what they heard and how long it took.

use crate::event_log::Event;
use crate::testbed::Testbed;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Where the process that serves is called; none while there is none.
pub type SharedAddress = Arc<Mutex<Option<SocketAddr>>>;

/// How long a caller waits, and the longest answer that it reads.
const PATIENCE: Duration = Duration::from_secs(3);
const LONGEST: u64 = 64 * 1024;
const EVERY: Duration = Duration::from_millis(400);

/// Makes one call: its status and body, or nothing where no whole answer came.
pub async fn call(at: SocketAddr, line: &str) -> Option<(u16, String)> {
    let answer = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream
            .write_all(format!("{line} HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes())
            .await
            .ok()?;
        let mut text = String::new();
        stream.take(LONGEST).read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    read(&timeout(PATIENCE, answer).await.ok()??)
}

/// Status and body of a whole answer.
pub fn read(text: &str) -> Option<(u16, String)> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        line.to_ascii_lowercase()
            .strip_prefix("content-length:")?
            .trim()
            .parse()
            .ok()
    });
    (length.is_none_or(|length: usize| length == body.len())).then(|| (status, body.to_string()))
}

/// The sum of all figures of a name whose labels hold `label`.
pub fn figure(body: &str, name: &str, label: &str) -> Option<u64> {
    let values = body.lines().filter_map(|line| {
        let (what, value) = line.rsplit_once(' ')?;
        let labels = what.strip_prefix(name)?;
        (labels.is_empty() || labels.starts_with('{') && labels.contains(label))
            .then(|| value.parse::<u64>().ok())
    });
    values
        .collect::<Option<Vec<u64>>>()
        .filter(|values| !values.is_empty())
        .map(|values| values.iter().sum())
}

pub fn set(door: &SharedAddress, at: Option<SocketAddr>) {
    *door.lock().unwrap_or_else(|broken| broken.into_inner()) = at;
}

fn at(door: &SharedAddress) -> Option<SocketAddr> {
    *door.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// Asks a proxy for its figures until the run ends.
pub async fn ask(testbed: Arc<Testbed>, proxy: u16, door: SharedAddress) {
    loop {
        sleep(EVERY).await;
        let Some(address) = at(&door) else { continue };
        let since = Instant::now();
        let heard = call(address, "GET /ops/stats").await;
        // One that was replaced meanwhile may be gone; so may one that is being killed.
        if heard.is_none() && at(&door) != Some(address) {
            continue;
        }
        let figures = heard.filter(|heard| heard.0 == 200).and_then(|(_, body)| {
            let up = figure(&body, "svc_calls_total", "code=\"success\"")?;
            Some((up, figure(&body, "svc_inflight", "")?))
        });
        testbed.event_log.put(Event::Called {
            proxy,
            took: since.elapsed(),
            figures,
        });
    }
}

/// Sends half a call, stays, and comes again.
pub async fn stall(door: SharedAddress) {
    loop {
        if let Some(address) = at(&door)
            && let Ok(mut stream) = TcpStream::connect(address).await
        {
            let _ = stream.write_all(b"GET /ops/sta").await;
            sleep(Duration::from_secs(4)).await;
        }
        sleep(EVERY).await;
    }
}
