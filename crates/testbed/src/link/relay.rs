//! The relay of a link: accepts connections, connects to the link's target, and forwards bytes in both directions as
//! the link's faults allow.

use super::address;
use super::faults::{Direction, LinkFaults};
use super::path::Link;
use super::relayed_dials::DialId;
use crate::context::RunContext;
use crate::event_log::{ConnectionEnd, Event};
use crate::sockets::{
    self, accept_new_connections, drop_new_connections, listen_again, peer_has_ended,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long the target may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a relay checks, while it drops bytes, whether a side has closed; also the pause between attempts to listen
/// again and the time for an attempt to fill a listener's queue.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The most bytes that are read and forwarded at once.
const CHUNK_BYTES: usize = 4096;

/// Accepts connections until the run ends, as the link's faults allow.
pub(super) async fn serve(link: Arc<Link>, context: Arc<RunContext>, listener: TcpListener) {
    let mut listener = Some(listener);
    let mut faults = link.subscribe_faults();
    loop {
        let now = *faults.borrow_and_update();
        if now.refuses {
            listener = None;
            let _ = faults.changed().await;
            continue;
        }
        let Some(bound) = &listener else {
            listener = listen_again(link.address);
            if listener.is_none() {
                sleep(CHECK_INTERVAL).await;
            }
            continue;
        };
        if now.is_cut() {
            let _filled = drop_new_connections(bound, link.address, CHECK_INTERVAL).await;
            let _ = faults.wait_for(|faults| !faults.is_cut()).await;
            accept_new_connections(bound);
            continue;
        }
        tokio::select! {
            _ = faults.changed() => {}
            accepted = bound.accept() => if let Ok((dialler, _)) = accepted {
                let (link, context) = (link.clone(), context.clone());
                tokio::spawn(async move { relay_connection(&link, &context, dialler).await });
            }
        }
    }
}

/// One side of a relayed connection.
struct Side {
    read_half: OwnedReadHalf,
    /// `None` once this side was reset.
    write_half: Option<OwnedWriteHalf>,
}

impl Side {
    fn new(stream: TcpStream) -> Side {
        let (read_half, write_half) = stream.into_split();
        Side {
            read_half,
            write_half: Some(write_half),
        }
    }

    /// Ends this side in the way in which the other one has ended.
    async fn end(&mut self, end: ConnectionEnd) {
        match &mut self.write_half {
            Some(write_half) if end == ConnectionEnd::Fin => drop(write_half.shutdown().await),
            _ => self.reset(),
        }
    }

    fn reset(&mut self) {
        if let Some(write_half) = self.write_half.take() {
            sockets::reset(write_half);
        }
    }
}

/// What ended the forwarding on a relayed connection.
enum RelayEnd {
    /// The dialling side closed or reset its connection.
    Dialler(ConnectionEnd),
    /// The target closed or reset its connection.
    Target(ConnectionEnd),
    /// A fault of the link resets both sides.
    LinkFault,
}

/// Relays one connection until both sides have ended.
async fn relay_connection(link: &Link, context: &RunContext, dialler: TcpStream) {
    let mut half_open_ends = link.subscribe_half_open_ends();
    let mut dialler = Side::new(dialler);
    let Some((target, relay_address)) = connect_to_target(link.target).await else {
        record_unreachable(link, context);
        return dialler.reset();
    };
    if peer_has_ended(dialler.read_half.as_ref()) {
        // The dialling side gave up while the target could not be reached: nothing that it sent may still arrive.
        return;
    }
    let mut target = Side::new(target);
    let mut faults = link.subscribe_faults();
    let Some(end) =
        forward_both_ways(&mut dialler, &mut target, &mut faults, &mut half_open_ends).await
    else {
        return;
    };
    let dial = link.relayed_dials.take(relay_address);
    match end {
        // What the side that ended had sent before has been forwarded, or is lost with the link.
        RelayEnd::Dialler(end) => {
            record_dial_over(context, dial, false);
            let _ = faults.wait_for(|faults| !faults.drops_forward).await;
            target.end(end).await;
            forward_remaining(&faults, &mut target, &mut dialler).await;
        }
        RelayEnd::Target(end) => {
            let _ = faults.wait_for(|faults| !faults.drops_backward).await;
            dialler.end(end).await;
            forward_remaining(&faults, &mut dialler, &mut target).await;
        }
        RelayEnd::LinkFault => {
            record_dial_over(context, dial, true);
            dialler.reset();
            target.reset();
        }
    }
}

/// Records that the target could not be reached although the relay had accepted the connection: a fault of the link
/// that begins and ends at once, since without the relay the dialling side would have been refused.
fn record_unreachable(link: &Link, context: &RunContext) {
    for fails in [true, link.fails()] {
        let ends = link.ends;
        context.event_log.record(Event::WayFails { ends, fails });
    }
}

/// Records the end of a relayed dial, if a host has read its request.
fn record_dial_over(context: &RunContext, dial: Option<DialId>, by_host: bool) {
    if let Some(dial) = dial {
        context.event_log.record(Event::DialOver {
            id: dial.session,
            dial: dial.dial,
            by_host,
        });
    }
}

/// Connects to the target from an address that identifies a relay; returns that local address, too.
async fn connect_to_target(target: SocketAddr) -> Option<(TcpStream, SocketAddr)> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(address::dial_address()).ok()?;
    let connected = timeout(CONNECT_TIMEOUT, socket.connect(target)).await;
    let stream = connected.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let relay_address = stream.local_addr().ok()?;
    Some((stream, relay_address))
}

/// Forwards bytes in both directions until one side ends or a fault resets both; `None` if a side was reset before.
async fn forward_both_ways(
    dialler: &mut Side,
    target: &mut Side,
    faults: &mut watch::Receiver<LinkFaults>,
    half_open_ends: &mut watch::Receiver<u32>,
) -> Option<RelayEnd> {
    let (to_dialler, to_target) = (dialler.write_half.as_mut()?, target.write_half.as_mut()?);
    let (forward_faults, backward_faults) = (faults.clone(), faults.clone());
    let end = tokio::select! {
        end = forward(Direction::Forward, forward_faults, &mut dialler.read_half, to_target) => RelayEnd::Dialler(end),
        end = forward(Direction::Backward, backward_faults, &mut target.read_half, to_dialler) => RelayEnd::Target(end),
        _ = faults.wait_for(|faults| faults.resets) => RelayEnd::LinkFault,
        _ = half_open_ends.changed() => RelayEnd::LinkFault,
    };
    Some(end)
}

/// After one side closed (FIN), forwards what the other side, `from`, still sends.
async fn forward_remaining(faults: &watch::Receiver<LinkFaults>, from: &mut Side, to: &mut Side) {
    let Some(write_half) = &mut to.write_half else {
        return;
    };
    if from.write_half.is_some() {
        let _ = forward(
            Direction::Backward,
            faults.clone(),
            &mut from.read_half,
            write_half,
        )
        .await;
    }
}

/// Forwards bytes in one direction until their source ends, and returns how it ended.
async fn forward(
    direction: Direction,
    mut faults: watch::Receiver<LinkFaults>,
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
) -> ConnectionEnd {
    let mut bytes = [0; CHUNK_BYTES];
    loop {
        let now = *faults.borrow_and_update();
        if now.drops(direction) {
            // Nothing is read, since nothing may arrive; the end of the source is detected without reading.
            tokio::select! {
                _ = wait_for_close(from) => return ConnectionEnd::Reset,
                _ = faults.changed() => continue,
            }
        }
        let read = tokio::select! {
            biased;
            _ = faults.changed() => continue,
            read = from.read(&mut bytes) => read,
        };
        let count = match read {
            Ok(0) => return ConnectionEnd::Fin,
            Ok(count) => count,
            Err(_) => return ConnectionEnd::Reset,
        };
        sleep_unless_zero(now.transfer_time(count)).await;
        let was_dropping = faults.borrow().drops(direction);
        let _ = faults.wait_for(|faults| !faults.drops(direction)).await;
        // Bytes that waited for the link are lost if their source has ended meanwhile.
        if was_dropping && peer_has_ended(from.as_ref()) {
            return ConnectionEnd::Reset;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return ConnectionEnd::Reset;
        }
    }
}

/// Waits until a source has closed its side, without reading the bytes that it sent before.
async fn wait_for_close(from: &OwnedReadHalf) {
    loop {
        let ready = from.ready(Interest::READABLE).await;
        if ready.is_ok_and(|ready| ready.is_read_closed()) {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn sleep_unless_zero(span: Duration) {
    if !span.is_zero() {
        sleep(span).await;
    }
}
