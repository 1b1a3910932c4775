//! The front: learns by `PING` which proxies live, deals clients out among those of a place, and forgets the
//! dead late.

use crate::line_reader::{Line, LineReader};
use crate::link::{LinkEnds, Links};
use crate::testbed::Testbed;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

#[derive(Clone, Copy, Debug)]
struct Seat {
    place: u8,
    /// Whose clients it is for, and over which way; all places', where ways are one.
    of: Option<u8>,
    proxy: u16,
    address: SocketAddr,
    /// When it last answered; `None` while it is not used.
    answered: Option<Instant>,
}

#[derive(Debug)]
pub struct Front {
    seats: Mutex<Vec<Seat>>,
}

const ANSWER: Duration = Duration::from_millis(500);

impl Front {
    pub fn new(proxies: impl Iterator<Item = (u8, SocketAddr)>) -> Front {
        Front::over(proxies, &Links::default(), 1)
    }

    /// The same, where the clients of each place have ways of their own.
    pub fn over(
        proxies: impl Iterator<Item = (u8, SocketAddr)>,
        links: &Links,
        places: u8,
    ) -> Front {
        let mut seats = Vec::new();
        for (proxy, (place, at)) in (0..).zip(proxies) {
            for of in 0..places {
                let way = links.address(LinkEnds::Clients(of, proxy));
                let seat = Seat {
                    place,
                    of: Some(of),
                    proxy,
                    address: at,
                    answered: None,
                };
                match way {
                    Some(address) => seats.push(Seat { address, ..seat }),
                    None if of == 0 => seats.push(Seat { of: None, ..seat }),
                    None => {}
                }
            }
        }
        Front {
            seats: Mutex::new(seats),
        }
    }

    fn seats(&self) -> std::sync::MutexGuard<'_, Vec<Seat>> {
        self.seats
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn all_up(&self) -> bool {
        self.seats().iter().all(|seat| seat.answered.is_some())
    }

    /// The first proxy that has not answered yet.
    pub fn waits_for(&self) -> Option<usize> {
        self.seats()
            .iter()
            .find(|seat| seat.answered.is_none())
            .map(|seat| usize::from(seat.proxy))
    }

    /// A proxy for a client of a place, by a number drawn; another place's where that has none.
    pub fn pick(&self, place: u8, chance: u64) -> Option<(u16, SocketAddr)> {
        let seats = self.seats();
        let of = |near: bool| {
            let up = seats
                .iter()
                .filter(|s| s.answered.is_some() && s.of.is_none_or(|of| of == place));
            up.filter(|s| !near || s.place == place).collect::<Vec<_>>()
        };
        let near = of(true);
        let among = if near.is_empty() { of(false) } else { near };
        let seat = among.get((chance % among.len().max(1) as u64) as usize)?;
        Some((seat.proxy, seat.address))
    }

    fn note(&self, nth: usize, lives: bool, forget: Duration) {
        let seat = &mut self.seats()[nth];
        if lives {
            seat.answered = Some(Instant::now());
        } else if seat.answered.is_some_and(|at| at.elapsed() > forget) {
            seat.answered = None;
        }
    }

    /// Asks each proxy whether it lives, for as long as the run lasts.
    pub fn watch(testbed: &Arc<Testbed>) {
        let count = testbed.front.seats().len();
        for nth in 0..count {
            let testbed = testbed.clone();
            tokio::spawn(async move {
                let front = &testbed.front;
                let (check, forget) = (testbed.scenario.front.check, testbed.scenario.front.forget);
                loop {
                    let address = front.seats()[nth].address;
                    let lives = timeout(ANSWER, asked(address)).await == Ok(true);
                    front.note(nth, lives, forget);
                    sleep(check).await;
                }
            });
        }
    }
}

async fn asked(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    if stream.write_all(b"PING\r\n").await.is_err() {
        return false;
    }
    let (read, _write) = stream.into_split();
    LineReader::new(read).next().await == Line::Text("PONG".into())
}
