//! Operators at a proxy's admin HTTP address: they ask for its metrics again and again, and record what they heard and how
//! long it took.

use crate::context::RunContext;
use crate::event_log::Event;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// How long a caller waits for a complete answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest answer that it reads, in bytes.
const LONGEST_ANSWER: u64 = 64 * 1024;
/// Pause between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(400);
/// How long a caller that sends half a request stays.
const STALL: Duration = Duration::from_secs(4);
const METRICS_REQUEST: &str = "GET /ops/stats";
const HALF_A_REQUEST: &str = "GET /ops/sta";
const OK: u16 = 200;

/// Where the process that serves has its admin HTTP address; none while there is no such process.
#[derive(Clone, Debug, Default)]
pub struct SharedAddress(Arc<Mutex<Option<SocketAddr>>>);

impl SharedAddress {
    /// Sets it for all who share it.
    pub fn set(&self, address: Option<SocketAddr>) {
        *self.lock() = address;
    }

    /// What it is now.
    pub fn get(&self) -> Option<SocketAddr> {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

/// A complete HTTP answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Its status code.
    pub status: u16,
    /// Its body.
    pub body: String,
}

impl HttpResponse {
    /// Reads status and body of an answer, if it is complete.
    fn parse(text: &str) -> Option<HttpResponse> {
        let (head, body) = text.split_once("\r\n\r\n")?;
        let status = head.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
        let length: Option<usize> = head.lines().find_map(|line| {
            let line = line.to_ascii_lowercase();
            line.strip_prefix("content-length:")?.trim().parse().ok()
        });
        length
            .is_none_or(|length| length == body.len())
            .then(|| HttpResponse {
                status,
                body: body.to_string(),
            })
    }

    /// The sum of all metrics of a name whose labels hold `label`.
    fn metric(&self, name: &str, label: &str) -> Option<u64> {
        let values = self.body.lines().filter_map(|line| {
            let (series, value) = line.rsplit_once(' ')?;
            let labels = series.strip_prefix(name)?;
            (labels.is_empty() || labels.starts_with('{') && labels.contains(label))
                .then(|| value.parse::<u64>().ok())
        });
        values
            .collect::<Option<Vec<u64>>>()
            .filter(|values| !values.is_empty())
            .map(|values| values.iter().sum())
    }

    /// Sessions brought up so far, and those in flight, if it tells both.
    fn session_counts(&self) -> Option<(u64, u64)> {
        let up = self.metric("svc_calls_total", "code=\"success\"")?;
        Some((up, self.metric("svc_inflight", "")?))
    }
}

/// Makes one call, whose request begins with `request_line`; nothing where no complete answer came.
pub async fn send_request(address: SocketAddr, request_line: &str) -> Option<HttpResponse> {
    let answer = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream
            .write_all(format!("{request_line} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())
            .await
            .ok()?;
        let mut text = String::new();
        let mut stream = stream.take(LONGEST_ANSWER);
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    HttpResponse::parse(&timeout(CALL_TIMEOUT, answer).await.ok()??)
}

/// Asks a proxy for its metrics until the run ends.
pub async fn poll_metrics(context: Arc<RunContext>, proxy: u16, shared: SharedAddress) {
    loop {
        sleep(CALL_INTERVAL).await;
        let Some(address) = shared.get() else {
            continue;
        };
        let since = Instant::now();
        let answer = send_request(address, METRICS_REQUEST).await;
        // One that was replaced meanwhile may be gone; so may one that is being killed.
        if answer.is_none() && shared.get() != Some(address) {
            continue;
        }
        let figures = answer
            .filter(|answer| answer.status == OK)
            .and_then(|answer| answer.session_counts());
        context.event_log.record(Event::Called {
            proxy,
            took: since.elapsed(),
            figures,
        });
    }
}

/// Sends half a request, stays, and comes again.
pub async fn stall_requests(shared: SharedAddress) {
    loop {
        if let Some(address) = shared.get()
            && let Ok(mut stream) = TcpStream::connect(address).await
        {
            let _ = stream.write_all(HALF_A_REQUEST.as_bytes()).await;
            sleep(STALL).await;
        }
        sleep(CALL_INTERVAL).await;
    }
}
