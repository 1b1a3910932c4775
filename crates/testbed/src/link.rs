//! Stand-ins for the ways between processes: each takes connections at an address of its own and passes their bytes on,
//! until a fault drops, resets, refuses, delays or slows them. A way stands between one proxy and one host, or between
//! the clients of one place and one proxy; who dials it thinks that it has the other side before it.

use crate::event_log::Event;
use crate::scenario::FaultKind;
use crate::testbed::{Testbed, ended};
use rustix::net::sockopt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Which two a way lies between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LinkEnds {
    /// A proxy and a host.
    Proxy(u16, u16),
    /// The clients and the front of a place, and a proxy.
    Clients(u8, u16),
}

/// What faults make of a way now. `there` is the direction of whoever dials.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    pub drops_there: bool,
    pub drops_back: bool,
    pub refuses: bool,
    /// Everything that is sent on it is answered by a reset.
    pub resets: bool,
    pub delay: Duration,
    /// Bytes a second.
    pub pace: Option<f64>,
}

impl LinkFaults {
    fn drops(&self, there: bool) -> bool {
        if there {
            self.drops_there
        } else {
            self.drops_back
        }
    }

    fn is_cut(&self) -> bool {
        self.drops_there || self.drops_back
    }
}

/// One fault's part in a mood.
#[derive(Clone, Copy, Debug)]
struct Effect {
    fault: usize,
    mood: LinkFaults,
    /// Connections that were open when it began are reset once it is over: the other side has forgotten them.
    half_open: bool,
}

pub struct Link {
    pub ends: LinkEnds,
    pub address: SocketAddr,
    target: SocketAddr,
    effects: Mutex<Vec<Effect>>,
    mood: watch::Sender<LinkFaults>,
    /// Counts half-open ends: connections from before one are dead.
    broken: watch::Sender<u32>,
}

/// Connections by the address that the far side sees: session and dial, once a host has read its line.
#[derive(Debug, Default)]
pub struct ConnectionNames(Mutex<HashMap<SocketAddr, (u64, u32)>>);

impl ConnectionNames {
    fn all(&self) -> MutexGuard<'_, HashMap<SocketAddr, (u64, u32)>> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn put(&self, peer: SocketAddr, id: u64, dial: u32) {
        self.all().insert(peer, (id, dial));
    }

    fn take(&self, peer: SocketAddr) -> Option<(u64, u32)> {
        self.all().remove(&peer)
    }
}

/// All ways of a run that go through a stand-in.
#[derive(Default)]
pub struct Links {
    all: Vec<Arc<Link>>,
    by_ends: HashMap<LinkEnds, usize>,
    pub named: ConnectionNames,
}

/// Where stand-ins are reached, and whence they dial: a peer that is dialled knows by it that its clock and the
/// dialler's are a way apart.
const NETWORK: [u8; 2] = [127, 40];
const CONNECT: Duration = Duration::from_secs(2);
/// How often a way that drops looks whether a side has ended.
const LOOK: Duration = Duration::from_millis(20);

/// Whether a connection came through a stand-in.
pub fn is_linked(peer: SocketAddr) -> bool {
    matches!(peer.ip(), std::net::IpAddr::V4(ip) if ip.octets()[..2] == NETWORK)
}

impl Links {
    /// Opens a way for each pair of ends and what it leads to. They serve once `serve` is called.
    pub async fn open(
        pairs: Vec<(LinkEnds, SocketAddr)>,
    ) -> std::io::Result<(Links, Vec<TcpListener>)> {
        // Runs side by side have addresses apart: a proxy of one must not reach a port that another has given up.
        static RUNS: AtomicU8 = AtomicU8::new(0);
        let run = 2 + RUNS.fetch_add(1, Ordering::Relaxed) % 250;
        let (mut links, mut doors) = (Links::default(), Vec::new());
        for (ends, target) in pairs {
            let door =
                TcpListener::bind(SocketAddr::from(([NETWORK[0], NETWORK[1], run, 1], 0))).await?;
            let link = Link {
                ends,
                address: door.local_addr()?,
                target,
                effects: Mutex::default(),
                mood: watch::channel(LinkFaults::default()).0,
                broken: watch::channel(0).0,
            };
            links.by_ends.insert(ends, links.all.len());
            links.all.push(Arc::new(link));
            doors.push(door);
        }
        Ok((links, doors))
    }

    /// Where a way is dialled, if it goes through a stand-in.
    pub fn address(&self, ends: LinkEnds) -> Option<SocketAddr> {
        self.by_ends.get(&ends).map(|nth| self.all[*nth].address)
    }

    pub fn all(&self) -> &[Arc<Link>] {
        &self.all
    }
}

impl Link {
    /// A fault, known by its number, begins on this way.
    pub fn begin(&self, fault: usize, mood: LinkFaults, half_open: bool) {
        self.effects().push(Effect {
            fault,
            mood,
            half_open,
        });
        self.settle();
    }

    /// Whether any fault strikes it now.
    pub fn fails(&self) -> bool {
        !self.effects().is_empty()
    }

    pub fn end(&self, fault: usize) {
        let mut over = Vec::new();
        self.effects().retain(|effect| {
            let ends = effect.fault == fault;
            over.extend(ends.then_some(effect.half_open));
            !ends
        });
        self.settle();
        if over.contains(&true) {
            self.broken.send_modify(|count| *count += 1);
        }
    }

    fn effects(&self) -> MutexGuard<'_, Vec<Effect>> {
        self.effects
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    fn settle(&self) {
        let mut now = LinkFaults::default();
        for Effect { mood, .. } in self.effects().iter() {
            now = LinkFaults {
                drops_there: now.drops_there || mood.drops_there,
                drops_back: now.drops_back || mood.drops_back,
                refuses: now.refuses || mood.refuses,
                resets: now.resets || mood.resets,
                delay: now.delay + mood.delay,
                pace: [now.pace, mood.pace].into_iter().flatten().reduce(f64::min),
            };
        }
        self.mood.send_replace(now);
    }

    /// Takes connections for as long as the run lasts.
    pub async fn serve(self: Arc<Self>, testbed: Arc<Testbed>, door: TcpListener) {
        let (mut door, mut mood) = (Some(door), self.mood.subscribe());
        loop {
            let now = *mood.borrow_and_update();
            if now.refuses {
                door = None;
                let _ = mood.changed().await;
                continue;
            }
            let Some(open) = &door else {
                door = crate::discovery::reopened(self.address);
                if door.is_none() {
                    sleep(LOOK).await;
                }
                continue;
            };
            if now.is_cut() {
                // A full queue drops what else comes, as a way that leads nowhere does.
                let _ = rustix::net::listen(open, 0);
                let fill = || timeout(LOOK, TcpStream::connect(self.address));
                let _full = (fill().await, fill().await);
                let _ = mood.wait_for(|mood| !mood.is_cut()).await;
                let _ = rustix::net::listen(open, 1024);
                continue;
            }
            tokio::select! {
                _ = mood.changed() => {}
                taken = open.accept() => if let Ok((near, _)) = taken {
                    let (link, testbed) = (self.clone(), testbed.clone());
                    tokio::spawn(async move { link.carry(&testbed, near).await });
                }
            }
        }
    }

    async fn carry(&self, testbed: &Testbed, near: TcpStream) {
        let mut broken = self.broken.subscribe();
        broken.mark_unchanged();
        let (from, to) = near.into_split();
        let mut near = Side {
            read: from,
            write: Some(to),
        };
        let Some((far, own)) = self.reach().await else {
            // Who dialled was taken in by the way alone, where the other side would have refused.
            for fails in [true, self.fails()] {
                testbed.event_log.put(Event::WayFails {
                    ends: self.ends,
                    fails,
                });
            }
            return near.reset();
        };
        if ended(near.read.as_ref()) {
            // It gave up while the other side could not be reached: nothing of it arrives there any more.
            return;
        }
        let (from, to) = far.into_split();
        let mut far = Side {
            read: from,
            write: Some(to),
        };
        let mut mood = self.mood.subscribe();
        let how = {
            let (Some(to_near), Some(to_far)) = (&mut near.write, &mut far.write) else {
                return;
            };
            tokio::select! {
                ended = self.pass(true, &mut near.read, to_far) => Over::Near(ended),
                ended = self.pass(false, &mut far.read, to_near) => Over::Far(ended),
                _ = mood.wait_for(|mood| mood.resets) => Over::Broken,
                _ = broken.changed() => Over::Broken,
            }
        };
        let name = testbed.links.named.take(own);
        let note = |by_host| {
            let seen = name.map(|(id, dial)| Event::DialOver { id, dial, by_host });
            seen.into_iter()
                .for_each(|seen| testbed.event_log.put(seen));
        };
        match how {
            // The one side has gone; what it had said before has been passed on, or is lost with the way.
            Over::Near(clean) => {
                note(false);
                let _ = mood.wait_for(|mood| !mood.drops_there).await;
                far.end(clean).await;
                self.drain(&mut far, &mut near).await;
            }
            Over::Far(clean) => {
                let _ = mood.wait_for(|mood| !mood.drops_back).await;
                near.end(clean).await;
                self.drain(&mut near, &mut far).await;
            }
            Over::Broken => {
                note(true);
                near.reset();
                far.reset();
            }
        }
    }

    /// Connects on, from an address by which the far side knows a way.
    async fn reach(&self) -> Option<(TcpStream, SocketAddr)> {
        let socket = TcpSocket::new_v4().ok()?;
        socket
            .bind(SocketAddr::from(([NETWORK[0], NETWORK[1], 1, 1], 0)))
            .ok()?;
        let far = timeout(CONNECT, socket.connect(self.target))
            .await
            .ok()?
            .ok()?;
        let _ = far.set_nodelay(true);
        let own = far.local_addr().ok()?;
        Some((far, own))
    }

    /// After one side ended in good order the other may speak for a while yet.
    async fn drain(&self, from: &mut Side, to: &mut Side) {
        let Some(write) = &mut to.write else { return };
        if from.write.is_some() {
            let _ = self.pass(false, &mut from.read, write).await;
        }
    }

    /// Passes bytes one way until their source ends; whether that was in good order.
    async fn pass(&self, there: bool, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) -> bool {
        let (mut mood, mut bytes) = (self.mood.subscribe(), [0; 4096]);
        loop {
            let now = *mood.borrow_and_update();
            if now.drops(there) {
                // Nothing is read, as nothing may arrive; that the source has gone is seen all the same.
                let gone = async {
                    while !from
                        .ready(Interest::READABLE)
                        .await
                        .is_ok_and(|ready| ready.is_read_closed())
                    {
                        sleep(LOOK).await;
                    }
                };
                tokio::select! {
                    _ = gone => return false,
                    _ = mood.changed() => continue,
                }
            }
            let n = tokio::select! {
                biased;
                _ = mood.changed() => continue,
                n = from.read(&mut bytes) => n,
            };
            let Ok(n) = n else { return false };
            if n == 0 {
                return true;
            }
            let slow = now.pace.map_or(0.0, |pace| n as f64 / pace);
            sleep_if(now.delay + Duration::from_secs_f64(slow)).await;
            let dropped = mood.borrow().drops(there);
            let _ = mood.wait_for(|mood| !mood.drops(there)).await;
            // What waited for the way is lost with a source that has gone meanwhile.
            if dropped && ended(from.as_ref()) {
                return false;
            }
            if to.write_all(&bytes[..n]).await.is_err() {
                return false;
            }
        }
    }
}

async fn sleep_if(span: Duration) {
    if !span.is_zero() {
        sleep(span).await;
    }
}

enum Over {
    Near(bool),
    Far(bool),
    Broken,
}

/// One connection's two halves.
struct Side {
    read: OwnedReadHalf,
    write: Option<OwnedWriteHalf>,
}

impl Side {
    async fn end(&mut self, clean: bool) {
        match &mut self.write {
            Some(write) if clean => drop(write.shutdown().await),
            _ => self.reset(),
        }
    }

    fn reset(&mut self) {
        if let Some(write) = self.write.take() {
            let _ = sockopt::set_socket_linger(write.as_ref(), Some(Duration::ZERO));
            // Dropped, it would end its side in good order first.
            write.forget();
        }
    }
}

/// What a fault of a way makes of it; `much` is a pace in bytes a second, `span` a delay.
pub fn mood(kind: FaultKind, much: f64, span: Duration) -> LinkFaults {
    let whole = LinkFaults::default();
    match kind {
        FaultKind::LinkDropped | FaultKind::PlaceCut | FaultKind::PlaceFlaps => LinkFaults {
            drops_there: true,
            drops_back: true,
            ..whole
        },
        FaultKind::LinkDroppedThere => LinkFaults {
            drops_there: true,
            ..whole
        },
        FaultKind::LinkDroppedBack => LinkFaults {
            drops_back: true,
            ..whole
        },
        FaultKind::LinkRefused => LinkFaults {
            refuses: true,
            ..whole
        },
        FaultKind::LinkReset => LinkFaults {
            resets: true,
            ..whole
        },
        FaultKind::LinkDelayed => LinkFaults {
            delay: span,
            ..whole
        },
        FaultKind::LinkSlowed => LinkFaults {
            pace: Some(much),
            ..whole
        },
        _ => whole,
    }
}
