//! Forwards lines between a client and the host of its session.

use super::connection::LineConnection;
use super::options::InjectedFault;
use super::state::ProxyState;
use crate::line_reader::Line;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time without a line after which a session checks whether the proxy shuts down and whether it is to be cut off.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for writing a line; the session is closed after it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after its acceptance at which [`InjectedFault::CutOff`] closes a session.
const CUT_OFF_DELAY: Duration = Duration::from_millis(1_200);
/// Delay of each line to a host under [`InjectedFault::HoldLines`].
const LINE_DELAY: Duration = Duration::from_millis(1_600);

/// The direction of a line.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToHost,
    ToClient,
}

/// Forwards lines both ways until one side closes, or until this proxy shuts down and migrates the client by `MOVE`.
pub(super) async fn forward(
    state: &ProxyState,
    client: &mut LineConnection,
    mut host: LineConnection,
) {
    let cut_off_at = Instant::now() + CUT_OFF_DELAY;
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
        if !forward_line(state, receiver, direction, &line).await {
            return;
        }
    }
}

/// Writes a line to `receiver`, after the delay or the extra line of an injected fault; returns whether it was written.
async fn forward_line(
    state: &ProxyState,
    receiver: &mut LineConnection,
    direction: Direction,
    line: &str,
) -> bool {
    match direction {
        Direction::ToHost if state.injects(InjectedFault::HoldLines) => sleep(LINE_DELAY).await,
        Direction::ToClient if state.injects(InjectedFault::MakeUp) => {
            let _ = receiver.send("NEWS of mine").await;
        }
        _ => {}
    }
    let sent = timeout(WRITE_TIMEOUT, receiver.send(line)).await;
    matches!(sent, Ok(Ok(())))
}
