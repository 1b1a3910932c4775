//! Operators who ask the proxies for their status and their metrics while a run lasts.

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

/// The admin request for a proxy's status.
const STATUS_REQUEST: &[u8] = b"{\"v\":1,\"do\":\"status\"}\n";
/// Bytes of a reply that are read at once.
const READ_BYTES: usize = 4096;
/// How often a proxy is asked for its status.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the operators that ask for metrics; where there are any, one more stalls at each proxy.
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
            let asks = metrics_calls::poll_metrics(context.clone(), proxy, address.clone());
            callers.spawn(asks);
        }
    }
    callers
}

/// Starts the operators that ask for the status, and a quarter more that never read the replies.
pub(super) fn start_status_pollers(context: &RunContext) {
    let proxies = &context.scenario.proxies;
    for proxy in 0..proxies.count {
        for nth in 0..proxies.status_pollers * 5 / 4 {
            let reads_replies = nth < proxies.status_pollers;
            let socket = proxy_process::admin_socket(context.run_number, proxy as u16);
            tokio::spawn(poll_status(socket, reads_replies));
        }
    }
}

async fn poll_status(socket: PathBuf, reads_replies: bool) {
    let Ok(mut stream) = UnixStream::connect(socket).await else {
        return;
    };
    let mut reply = [0; READ_BYTES];
    while stream.write_all(STATUS_REQUEST).await.is_ok() {
        if reads_replies {
            if !matches!(stream.read(&mut reply).await, Ok(count) if count > 0) {
                return;
            }
            sleep(STATUS_INTERVAL).await;
        }
    }
}
