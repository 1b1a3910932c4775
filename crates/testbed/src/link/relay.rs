//! The relay of a link: accepts connections, connects on to the link's target, and forwards bytes both ways.

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

/// Longest that the target may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a relay that drops looks whether a side has ended, or its address is free again.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The most bytes that are forwarded at once.
const CHUNK_BYTES: usize = 4096;

/// Takes connections for as long as the run lasts.
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
        let Some(open) = &listener else {
            listener = listen_again(link.address);
            if listener.is_none() {
                sleep(CHECK_INTERVAL).await;
            }
            continue;
        };
        if now.is_cut() {
            let _filled = drop_new_connections(open, link.address, CHECK_INTERVAL).await;
            let _ = faults.wait_for(|faults| !faults.is_cut()).await;
            accept_new_connections(open);
            continue;
        }
        tokio::select! {
            _ = faults.changed() => {}
            accepted = open.accept() => if let Ok((near, _)) = accepted {
                let (link, context) = (link.clone(), context.clone());
                tokio::spawn(async move { relay_connection(&link, &context, near).await });
            }
        }
    }
}

/// One side of a relayed connection.
struct Side {
    read: OwnedReadHalf,
    /// `None` once it was reset.
    write: Option<OwnedWriteHalf>,
}

impl Side {
    fn new(stream: TcpStream) -> Side {
        let (read, write) = stream.into_split();
        Side {
            read,
            write: Some(write),
        }
    }

    /// Ends this side as the other one has ended.
    async fn end(&mut self, how: ConnectionEnd) {
        match &mut self.write {
            Some(write) if how == ConnectionEnd::Fin => drop(write.shutdown().await),
            _ => self.reset(),
        }
    }

    fn reset(&mut self) {
        if let Some(write) = self.write.take() {
            sockets::reset(write);
        }
    }
}

/// How a relayed connection came to its end.
enum RelayEnd {
    /// The dialling side has ended.
    Near(ConnectionEnd),
    /// The target has ended.
    Far(ConnectionEnd),
    /// A fault of the link ended it.
    Broken,
}

/// Relays one connection until both sides have ended.
async fn relay_connection(link: &Link, context: &RunContext, near: TcpStream) {
    let mut half_open_ends = link.subscribe_half_open_ends();
    let mut near = Side::new(near);
    let Some((far, relay_address)) = connect_on(link.target).await else {
        record_unreachable(link, context);
        return near.reset();
    };
    if peer_has_ended(near.read.as_ref()) {
        // It gave up while the other side could not be reached: nothing of it arrives there any more.
        return;
    }
    let mut far = Side::new(far);
    let mut faults = link.subscribe_faults();
    let Some(end) = forward_both_ways(&mut near, &mut far, &mut faults, &mut half_open_ends).await
    else {
        return;
    };
    let dial = link.connections.take(relay_address);
    match end {
        // The one side has gone; what it had said before has been passed on, or is lost with the link.
        RelayEnd::Near(how) => {
            record_dial_over(context, dial, false);
            let _ = faults.wait_for(|faults| !faults.drops_forward).await;
            far.end(how).await;
            forward_the_rest(&faults, &mut far, &mut near).await;
        }
        RelayEnd::Far(how) => {
            let _ = faults.wait_for(|faults| !faults.drops_backward).await;
            near.end(how).await;
            forward_the_rest(&faults, &mut near, &mut far).await;
        }
        RelayEnd::Broken => {
            record_dial_over(context, dial, true);
            near.reset();
            far.reset();
        }
    }
}

/// The dialling side was accepted by the relay alone, where the target would have refused it: recorded as a short fault.
fn record_unreachable(link: &Link, context: &RunContext) {
    for fails in [true, link.fails()] {
        let ends = link.ends;
        context.event_log.record(Event::WayFails { ends, fails });
    }
}

fn record_dial_over(context: &RunContext, dial: Option<DialId>, by_host: bool) {
    if let Some(name) = dial {
        context.event_log.record(Event::DialOver {
            id: name.session,
            dial: name.dial,
            by_host,
        });
    }
}

/// Connects to the target, from an address by which it knows a relay; returns that address, too.
async fn connect_on(target: SocketAddr) -> Option<(TcpStream, SocketAddr)> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(address::dial_address()).ok()?;
    let connected = timeout(CONNECT_TIMEOUT, socket.connect(target)).await;
    let far = connected.ok()?.ok()?;
    let _ = far.set_nodelay(true);
    let relay_address = far.local_addr().ok()?;
    Some((far, relay_address))
}

/// Forwards bytes both ways until one side ends or a fault ends both; `None` if a side cannot be written to.
async fn forward_both_ways(
    near: &mut Side,
    far: &mut Side,
    faults: &mut watch::Receiver<LinkFaults>,
    half_open_ends: &mut watch::Receiver<u32>,
) -> Option<RelayEnd> {
    let (to_near, to_far) = (near.write.as_mut()?, far.write.as_mut()?);
    let (forward_faults, backward_faults) = (faults.clone(), faults.clone());
    let end = tokio::select! {
        how = forward(Direction::Forward, forward_faults, &mut near.read, to_far) => RelayEnd::Near(how),
        how = forward(Direction::Backward, backward_faults, &mut far.read, to_near) => RelayEnd::Far(how),
        _ = faults.wait_for(|faults| faults.resets) => RelayEnd::Broken,
        _ = half_open_ends.changed() => RelayEnd::Broken,
    };
    Some(end)
}

/// After one side ended in good order the other may speak for a while yet.
async fn forward_the_rest(faults: &watch::Receiver<LinkFaults>, from: &mut Side, to: &mut Side) {
    let Some(write) = &mut to.write else { return };
    if from.write.is_some() {
        let _ = forward(Direction::Backward, faults.clone(), &mut from.read, write).await;
    }
}

/// Forwards bytes one way until their source ends, and returns how it did.
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
            // Nothing is read, as nothing may arrive; that the source has gone is seen all the same.
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
        sleep_if(now.transfer_time(count)).await;
        let dropped = faults.borrow().drops(direction);
        let _ = faults.wait_for(|faults| !faults.drops(direction)).await;
        // What waited for the link is lost with a source that has gone meanwhile.
        if dropped && peer_has_ended(from.as_ref()) {
            return ConnectionEnd::Reset;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return ConnectionEnd::Reset;
        }
    }
}

/// Waits until a source has closed its side, without reading what it sent.
async fn wait_for_close(from: &OwnedReadHalf) {
    loop {
        let ready = from.ready(Interest::READABLE).await;
        if ready.is_ok_and(|ready| ready.is_read_closed()) {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn sleep_if(span: Duration) {
    if !span.is_zero() {
        sleep(span).await;
    }
}
