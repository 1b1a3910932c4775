//! Emulated operators that request the proxies' status and metrics during a run.

use crate::context::RunContext;
use crate::metrics_calls::{self, SharedAddress};
use crate::proxy_process;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The request for a proxy's status at its admin socket.
const STATUS_REQUEST: &[u8] = b"{\"v\":1,\"do\":\"status\"}\n";
/// Size of the buffer for replies, in bytes.
const REPLY_BUFFER_BYTES: usize = 4096;
/// Pause of an operator between a status reply and the next request.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the operators that request metrics; if the scenario has any, each proxy also gets one that stalls its requests.
pub(super) fn start_metrics_callers(
    context: &Arc<RunContext>,
    addresses: &[SharedAddress],
) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    let per_proxy = context.scenario.proxies.metrics_callers;
    if per_proxy == 0 {
        return callers;
    }
    for (proxy, address) in (0..).zip(addresses) {
        callers.spawn(metrics_calls::stall_requests(address.clone()));
        for _ in 0..per_proxy {
            let polling = metrics_calls::poll_metrics(context.clone(), proxy, address.clone());
            callers.spawn(polling);
        }
    }
    callers
}

/// Starts the operators that request the status, and for every four of them one more that never reads the replies.
pub(super) fn start_status_pollers(context: &RunContext) {
    let proxies = &context.scenario.proxies;
    for proxy in 0..proxies.count {
        for poller in 0..proxies.status_pollers * 5 / 4 {
            let reads_replies = poller < proxies.status_pollers;
            let socket = proxy_process::admin_socket(context.run_number, proxy as u16);
            tokio::spawn(poll_status(socket, reads_replies));
        }
    }
}

async fn poll_status(socket: PathBuf, reads_replies: bool) {
    let Ok(mut stream) = UnixStream::connect(socket).await else {
        return;
    };
    let mut reply = [0; REPLY_BUFFER_BYTES];
    while stream.write_all(STATUS_REQUEST).await.is_ok() {
        if reads_replies {
            if !matches!(stream.read(&mut reply).await, Ok(count) if count > 0) {
                return;
            }
            sleep(STATUS_INTERVAL).await;
        }
    }
}
