//! Emulated operators of a proxy's admin HTTP address: one kind requests metrics at intervals and records the answer
//! and its latency, another kind leaves requests incomplete.

use crate::context::RunContext;
use crate::event_log::Event;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// How long an operator waits for a complete response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest response that is read, in bytes; the rest of a longer one is ignored.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;
/// Pause between two requests of one operator.
const CALL_PAUSE: Duration = Duration::from_millis(400);
/// How long an operator keeps a connection open after an incomplete request.
const STALL_DURATION: Duration = Duration::from_secs(4);
/// Begin of the request line for metrics, without the HTTP version.
const METRICS_REQUEST: &str = "GET /ops/stats";
/// The incomplete request of a stalling operator.
const PARTIAL_REQUEST: &str = "GET /ops/sta";
const STATUS_OK: u16 = 200;

/// The admin HTTP address of a proxy's serving process, shared between the tasks that start the process and those that
/// call it; `None` while no process serves.
#[derive(Clone, Debug, Default)]
pub struct SharedAddress(Arc<Mutex<Option<SocketAddr>>>);

impl SharedAddress {
    /// Changes the address for all holders of a clone.
    pub fn set(&self, address: Option<SocketAddr>) {
        *self.lock() = address;
    }

    /// The current address.
    pub fn get(&self) -> Option<SocketAddr> {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The body, undecoded.
    pub body: String,
}

impl HttpResponse {
    /// Parses a response; `None` if its status cannot be read, or its body differs in length from `Content-Length`.
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

    /// The sum of all series of metric `name` that have no labels or whose labels contain `label`; `None` if there is
    /// no such series, or a value is not a whole number.
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

    /// Sessions brought up so far and sessions in flight; `None` unless the response has both metrics.
    fn session_counts(&self) -> Option<(u64, u64)> {
        let brought_up = self.metric("svc_calls_total", "code=\"success\"")?;
        Some((brought_up, self.metric("svc_inflight", "")?))
    }
}

/// Sends one HTTP request and reads the response. `request_line` is the method and the path. `None` if no complete
/// response came in time.
pub async fn send_request(address: SocketAddr, request_line: &str) -> Option<HttpResponse> {
    let response = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream
            .write_all(format!("{request_line} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())
            .await
            .ok()?;
        let mut text = String::new();
        let mut stream = stream.take(MAX_RESPONSE_BYTES);
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    HttpResponse::parse(&timeout(CALL_TIMEOUT, response).await.ok()??)
}

/// Requests a proxy's metrics at intervals and records each answer, until the task is aborted.
pub async fn poll_metrics(context: Arc<RunContext>, proxy: u16, shared_address: SharedAddress) {
    loop {
        sleep(CALL_PAUSE).await;
        let Some(address) = shared_address.get() else {
            continue;
        };
        let sent_at = Instant::now();
        let response = send_request(address, METRICS_REQUEST).await;
        // A process that was replaced or is being killed need not answer.
        if response.is_none() && shared_address.get() != Some(address) {
            continue;
        }
        let figures = response
            .filter(|response| response.status == STATUS_OK)
            .and_then(|response| response.session_counts());
        context.event_log.record(Event::Called {
            proxy,
            took: sent_at.elapsed(),
            figures,
        });
    }
}

/// Sends an incomplete request, keeps the connection open for a while and starts over, until the task is aborted.
pub async fn stall_requests(shared_address: SharedAddress) {
    loop {
        if let Some(address) = shared_address.get()
            && let Ok(mut stream) = TcpStream::connect(address).await
        {
            let _ = stream.write_all(PARTIAL_REQUEST.as_bytes()).await;
            sleep(STALL_DURATION).await;
        }
        sleep(CALL_PAUSE).await;
    }
}
