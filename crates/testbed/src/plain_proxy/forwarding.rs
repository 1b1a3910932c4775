//! Lines between a client and the host of its session.

use super::connection::LineConnection;
use super::options::InjectedFault;
use super::state::ProxyState;
use crate::line_reader::Line;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How often a quiet session looks whether the proxy shuts down.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a line may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// When [`InjectedFault::CutOff`] cuts a session off.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_200);
/// How long [`InjectedFault::HoldLines`] holds a line back.
const HOLDS_LINES: Duration = Duration::from_millis(1_600);

/// Which way a line goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToHost,
    ToClient,
}

/// Forwards lines, both ways, until one side ends or this proxy shuts down.
pub(super) async fn forward(
    state: &ProxyState,
    client: &mut LineConnection,
    mut host: LineConnection,
) {
    let cut_off_at = Instant::now() + CUT_OFF_AFTER;
    loop {
        if state.is_migrating.load(Ordering::Relaxed) {
            drop(host);
            return client.close_with("MOVE").await;
        }
        let (line, direction) = tokio::select! {
            line = client.lines.next() => (line, Direction::ToHost),
            line = host.lines.next() => (line, Direction::ToClient),
            () = sleep(POLL_INTERVAL) => {
                if state.injects(InjectedFault::CutOff) && Instant::now() > cut_off_at {
                    return;
                }
                continue;
            }
        };
        let Line::Text(line) = line else { return };
        let receiver = match direction {
            Direction::ToHost => &mut host,
            Direction::ToClient => &mut *client,
        };
        if !send_on(state, receiver, direction, &line).await {
            return;
        }
    }
}

/// Writes a line to the other side; says whether that took it.
async fn send_on(
    state: &ProxyState,
    receiver: &mut LineConnection,
    direction: Direction,
    line: &str,
) -> bool {
    match direction {
        Direction::ToHost if state.injects(InjectedFault::HoldLines) => sleep(HOLDS_LINES).await,
        Direction::ToClient if state.injects(InjectedFault::MakeUp) => {
            let _ = receiver.send("NEWS of mine").await;
        }
        _ => {}
    }
    let sent = timeout(WRITE_TIMEOUT, receiver.send(line)).await;
    matches!(sent, Ok(Ok(())))
}
