//! Stand-in hosts: the server's side of the protocol over a load model, with faults.

use crate::discovery::reopened;
use crate::event_log::{Event, HostReply, HostState};
use crate::line_reader::{Line, LineReader};
use crate::link::is_linked;
use crate::load_model::{LoadModel, LoadModelSettings, SetUpOutcome};
use crate::plan::{HostPlan, Plan};
use crate::scenario::{FaultKind, Scenario};
use crate::testbed::Testbed;
use rustix::net::sockopt;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// What faults make of a host now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostFaults {
    down: bool,
    silent: bool,
    vanished: bool,
    erring: bool,
    mute: bool,
    late: Duration,
    resets: bool,
    draining: bool,
    /// Its process's number: connections of an earlier one are gone.
    life: u32,
}

impl HostFaults {
    fn frozen(&self) -> bool {
        self.silent || self.vanished
    }
}

pub struct Host {
    pub number: u16,
    pub address: SocketAddr,
    fields: Vec<String>,
    room: u32,
    sockets: AtomicU32,
    model: Mutex<LoadModel>,
    effects: Mutex<Vec<(usize, FaultKind, Duration, f64)>>,
    mood: watch::Sender<HostFaults>,
}

/// What is asked of a host by a session's line.
struct Open {
    id: u64,
    group: Option<u64>,
    work: f64,
    inherited: bool,
}

/// Longest that a peer's closing is waited for, or a write.
const CLOSING: Duration = Duration::from_secs(1);
const WRITE: Duration = Duration::from_secs(10);
/// Over how long a draining host sends its connections away.
const SENDS_AWAY: u64 = 1_500;

impl Host {
    /// All hosts of a plan, each with its listener.
    pub async fn all(
        plan: &Plan,
        scenario: &Scenario,
    ) -> std::io::Result<Vec<(Arc<Host>, TcpListener)>> {
        // Runs side by side have addresses apart: a port that one gives up must not become another's host.
        static RUNS: AtomicU8 = AtomicU8::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed) % 28;
        let mut hosts = Vec::new();
        for (nth, host) in plan.hosts.iter().enumerate() {
            let at = SocketAddr::from((
                [127, 10, run * 9 + (nth / 250) as u8, 1 + (nth % 250) as u8],
                0,
            ));
            let door = TcpListener::bind(at).await?;
            let address = door.local_addr()?;
            hosts.push((
                Arc::new(Host::new(nth as u16, address, host, scenario)),
                door,
            ));
        }
        Ok(hosts)
    }

    fn new(number: u16, address: SocketAddr, plan: &HostPlan, scenario: &Scenario) -> Host {
        let fleet = &scenario.fleet;
        let nature = LoadModelSettings {
            speed: plan.speed,
            places: plan.places,
            group_cost: fleet.group_cost,
            cold_share: fleet.cold_share,
            warm_after: fleet.warm_after,
            tip_multiple: fleet.tip_multiple,
            overload_for: fleet.overload_for,
            set_up_work: fleet.set_up_work,
            message_time: fleet.message_time,
            report_age: fleet.report_age,
            report_noise: fleet.report_noise,
        };
        Host {
            number,
            address,
            fields: fleet.report_fields.clone(),
            room: plan.room,
            sockets: AtomicU32::new(0),
            model: Mutex::new(LoadModel::new(nature, u64::from(number) * 7919 + 1)),
            effects: Mutex::default(),
            mood: watch::channel(HostFaults::default()).0,
        }
    }

    pub fn model(&self) -> MutexGuard<'_, LoadModel> {
        self.model
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// A fault, known by its number, begins or ends here.
    pub fn strike(&self, testbed: &Arc<Testbed>, fault: usize, begins: bool) {
        let now = testbed.event_log.now();
        let struck = &testbed.plan.faults[fault];
        let kind = struck.kind;
        let mut effects = self
            .effects
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        if begins {
            effects.push((fault, kind, struck.span, struck.much));
        } else {
            effects.retain(|effect| effect.0 != fault);
        }
        let has = |kind| effects.iter().any(|effect| effect.1 == kind);
        let before = *self.mood.borrow();
        let dead = [
            FaultKind::HostRestarts,
            FaultKind::HostGone,
            FaultKind::PlaceLost,
            FaultKind::PowerCut,
        ];
        let down = dead.into_iter().any(has);
        let late = effects
            .iter()
            .filter(|e| e.1 == FaultKind::HostLate)
            .map(|e| e.2)
            .max();
        let mood = HostFaults {
            down,
            silent: has(FaultKind::HostSilent),
            vanished: has(FaultKind::HostVanished) || has(FaultKind::PlaceSilent),
            erring: has(FaultKind::HostErring),
            mute: has(FaultKind::HostMute),
            late: late.unwrap_or_default(),
            resets: has(FaultKind::HostResets),
            draining: has(FaultKind::HostDraining),
            life: before.life + u32::from(down && !before.down),
        };
        let slow = effects
            .iter()
            .filter(|e| e.1 == FaultKind::HostSlow)
            .map(|e| e.3);
        self.model().factor = slow.fold(1.0, f64::min);
        drop(effects);
        if before.down && !down {
            self.model().restart(now);
            testbed.event_log.put(Event::HostUp { host: self.number });
        } else if down && !before.down {
            testbed.event_log.put(Event::HostDown { host: self.number });
        }
        let standing = if has_gone(down, kind, begins) {
            HostState::Gone
        } else if mood.draining {
            HostState::Draining
        } else {
            HostState::Ready
        };
        if before.down && !down {
            testbed.discovery.change(self.number, standing, Some(now));
        } else if before.draining != mood.draining || standing == HostState::Gone {
            testbed.discovery.change(self.number, standing, None);
        }
        self.mood.send_replace(mood);
    }

    pub fn is_down(&self) -> bool {
        self.mood.borrow().down
    }

    /// Speed on and off.
    pub fn starve(&self, much: Option<f64>) {
        self.model().factor = much.unwrap_or(1.0);
    }

    /// Pushed over: it stays down.
    fn collapse(&self, testbed: &Testbed) {
        testbed.event_log.put(Event::HostDown { host: self.number });
        self.mood
            .send_modify(|mood| (mood.down, mood.life) = (true, mood.life + 1));
    }

    /// Takes connections in for as long as the run lasts.
    pub async fn serve(self: Arc<Self>, testbed: Arc<Testbed>, door: TcpListener) {
        let mut door = Some(door);
        let mut mood = self.mood.subscribe();
        loop {
            let now = *mood.borrow_and_update();
            if now.down {
                door = None;
                let _ = mood.changed().await;
                continue;
            }
            let Some(open) = &door else {
                door = reopened(self.address);
                if door.is_none() {
                    sleep(Duration::from_millis(20)).await;
                }
                continue;
            };
            if now.vanished {
                // A full queue drops what else comes, as a machine that is cut off does.
                let _ = rustix::net::listen(open, 0);
                let fill = || timeout(Duration::from_millis(20), TcpStream::connect(self.address));
                let _full = (fill().await, fill().await);
                let _ = mood.wait_for(|mood| !mood.vanished || mood.down).await;
                let _ = rustix::net::listen(open, 1024);
                continue;
            }
            tokio::select! {
                _ = mood.changed() => {}
                taken = open.accept() => if let Ok((stream, _)) = taken
                    && self.sockets.load(Ordering::Relaxed) < self.room
                {
                    tokio::spawn(self.clone().connection(testbed.clone(), stream, now.life));
                }
            }
        }
    }

    async fn connection(self: Arc<Self>, testbed: Arc<Testbed>, stream: TcpStream, life: u32) {
        self.sockets.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        let mut dial = None;
        let far = stream.peer_addr().ok().filter(|peer| is_linked(*peer));
        let (read, write) = stream.into_split();
        let mut peer = Peer {
            lines: LineReader::new(read),
            write: Some(write),
            far,
        };
        let mut mood = self.mood.subscribe();
        let died = mood.wait_for(|mood| mood.life != life);
        let served = tokio::select! {
            _ = died => false,
            _ = self.talk(&testbed, &mut peer, &mut dial) => true,
        };
        if let Some(mut dial) = dial.take() {
            dial.end(&self, &testbed, !served);
        }
        if !served {
            peer.reset();
        }
        self.sockets.fetch_sub(1, Ordering::Relaxed);
    }

    async fn talk(&self, testbed: &Arc<Testbed>, peer: &mut Peer, slot: &mut Option<Dial>) {
        let mut mood = self.mood.subscribe();
        loop {
            let line = match peer.lines.next().await {
                Line::Text(line) => line,
                Line::Bad => {
                    testbed.event_log.put(Event::Unread {
                        host: self.number,
                        line: "no text".into(),
                    });
                    return peer.part("SYNTAX\r\n").await;
                }
                Line::Fin | Line::Reset => return,
            };
            match line.as_str() {
                "PING" | "STATS" => {
                    let took = self.model().message(testbed.event_log.now());
                    sleep(took.min(Duration::from_secs(5))).await;
                    if !thawed(&mut mood, &mut peer.lines).await {
                        return;
                    }
                    let report = if line == "STATS" {
                        self.report(testbed)
                    } else {
                        String::new()
                    };
                    peer.say(&format!("PONG{report}\r\n")).await;
                }
                _ => match open(&line, &testbed.scenario) {
                    Some(open) => return self.session(testbed, peer, slot, open).await,
                    None => {
                        let line = line.chars().take(160).collect();
                        testbed.event_log.put(Event::Unread {
                            host: self.number,
                            line,
                        });
                        return peer.part("SYNTAX\r\n").await;
                    }
                },
            }
        }
    }

    /// A load report, with a blank before it.
    fn report(&self, testbed: &Testbed) -> String {
        let figures = self.model().report(testbed.event_log.now());
        let field = |name: &String| match name.as_str() {
            "x0" => format!("x0={:.4}", figures.asked),
            _ => format!("outstanding={}", figures.outstanding),
        };
        let fields: Vec<String> = self.fields.iter().map(field).collect();
        if fields.is_empty() {
            String::new()
        } else {
            format!(" {}", fields.join(","))
        }
    }

    async fn session(
        &self,
        testbed: &Arc<Testbed>,
        peer: &mut Peer,
        slot: &mut Option<Dial>,
        open: Open,
    ) {
        let event_log = &testbed.event_log;
        let (id, host, inherited) = (open.id, self.number, open.inherited);
        let number = testbed.new_dial();
        let dial = slot.insert(Dial {
            id,
            number,
            settling: false,
            up: None,
            over: false,
        });
        event_log.put(Event::Dialled {
            id,
            host,
            dial: number,
            inherited,
        });
        // Behind a stand-in an end may come later than what was sent after it.
        let handle = peer.far.map_or_else(|| peer.lines.handle(), |_| None);
        peer.far
            .into_iter()
            .for_each(|far| testbed.links.named.put(far, id, number));
        for earlier in testbed.out.begin(id, number, handle) {
            event_log.put(Event::StillOut {
                id,
                host,
                dial: number,
                earlier,
            });
        }
        let mut mood = self.mood.subscribe();
        if !thawed(&mut mood, &mut peer.lines).await {
            return;
        }
        let now = *mood.borrow_and_update();
        if now.mute && !inherited {
            peer.lines.end().await;
            return;
        }
        if now.resets && !inherited {
            dial.end(self, testbed, true);
            return peer.reset();
        }
        if now.erring && !inherited {
            let text = format!("ERR{}\r\n", self.report(testbed));
            return dial
                .turn_away(self, testbed, peer, HostReply::Err, &text)
                .await;
        }
        if !inherited {
            let taken = if now.draining {
                SetUpOutcome::Full
            } else {
                self.model().arrive(event_log.now(), id)
            };
            match taken {
                SetUpOutcome::Full => {
                    let text = format!("BUSY{}\r\n", self.report(testbed));
                    return dial
                        .turn_away(self, testbed, peer, HostReply::Busy, &text)
                        .await;
                }
                SetUpOutcome::Collapsed => {
                    let (by, started) = (self.model().pressers(), testbed.discovery.started(host));
                    event_log.put(Event::Collapsed { host, started, by });
                    return self.collapse(testbed);
                }
                SetUpOutcome::After(took) => {
                    dial.settling = true;
                    let up_at = Instant::now() + took + now.late;
                    tokio::select! {
                        _ = sleep_until(up_at) => {}
                        _ = peer.lines.end() => return,
                    }
                    if !thawed(&mut mood, &mut peer.lines).await {
                        return;
                    }
                }
            }
        }
        dial.connected(self, testbed, &open);
        testbed.out.end(id, number);
        event_log.put(Event::Replied {
            id,
            dial: number,
            reply: HostReply::Up,
        });
        peer.say(&format!("UP r-{number}\r\nLOAD {:.1}\r\n", open.work * 1e6))
            .await;
        self.serve_open(testbed, peer, dial).await;
    }

    /// Answers an open connection's lines until it ends.
    async fn serve_open(&self, testbed: &Arc<Testbed>, peer: &mut Peer, dial: &mut Dial) {
        let mut mood = self.mood.subscribe();
        let mut answers: VecDeque<(Instant, String)> = VecDeque::new();
        let mut sends_away: Option<Instant> = None;
        loop {
            let now = *mood.borrow_and_update();
            if now.draining && sends_away.is_none() {
                let wait = u64::from(dial.number) * 131 % SENDS_AWAY;
                sends_away = Some(Instant::now() + Duration::from_millis(wait));
            }
            let next = answers
                .front()
                .map(|answer| answer.0)
                .filter(|_| !now.frozen());
            let away = sends_away.filter(|_| now.draining && !now.frozen());
            tokio::select! {
                _ = mood.changed() => {}
                _ = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    if let Some((_, text)) = answers.pop_front() {
                        peer.say(&text).await;
                    }
                }
                _ = sleep_until(away.unwrap_or_else(Instant::now)), if away.is_some() => {
                    return dial.turn_away(self, testbed, peer, HostReply::Move, "MOVE\r\n").await;
                }
                line = peer.lines.next() => match line {
                    Line::Text(line) if line == "END" => {
                        let text = format!("BYE{}\r\n", self.report(testbed));
                        return dial.turn_away(self, testbed, peer, HostReply::Bye, &text).await;
                    }
                    Line::Text(line) => {
                        let at = testbed.event_log.now();
                        let Some((nth, sent)) = message(&line) else {
                            testbed.event_log.put(Event::Unread { host: self.number, line });
                            return peer.part("SYNTAX\r\n").await;
                        };
                        let span = at.saturating_sub(sent);
                        if span > Duration::from_secs(1) {
                            testbed.event_log.put(Event::Held { id: dial.id, span });
                        }
                        let took = self.model().message(at);
                        answers.push_back((Instant::now() + took, format!("ACK {nth}\r\n")));
                    }
                    _ => return,
                }
            }
        }
    }
}

/// Whether a host is told as gone: only what never comes back is.
fn has_gone(down: bool, kind: FaultKind, begins: bool) -> bool {
    down && kind == FaultKind::HostGone && begins
}

/// Waits until the host speaks again; false if the peer ended the connection meanwhile.
async fn thawed(mood: &mut watch::Receiver<HostFaults>, lines: &mut LineReader) -> bool {
    tokio::select! {
        biased;
        _ = mood.wait_for(|mood| !mood.frozen()) => true,
        _ = lines.end() => false,
    }
}

/// A client's message: its number, and when it was sent by the run's clock.
pub fn message(line: &str) -> Option<(u64, Duration)> {
    let (nth, sent) = line.strip_prefix("MSG ")?.split_once(' ')?;
    Some((nth.parse().ok()?, Duration::from_micros(sent.parse().ok()?)))
}

fn open(line: &str, scenario: &Scenario) -> Option<Open> {
    let mut words = line.strip_prefix("OPEN ")?.split(' ');
    let (id, item, list) = (words.next()?, words.next()?, words.next()?);
    let id = u64::from_str_radix(id, 16).ok()?;
    u64::from_str_radix(item, 16).ok()?;
    let mut open = Open {
        id,
        group: None,
        work: 0.0,
        inherited: false,
    };
    let (mut known, mut waits) = (false, false);
    for pair in list.split(',') {
        let (name, value) = pair.split_once('=')?;
        match name {
            "c" => known = scenario.listeners.iter().any(|l| l.name == value),
            "g" => open.group = Some(u64::from_str_radix(value, 16).ok()?),
            "h" => open.work = value.parse::<f64>().ok()? / 1e6,
            "d" => waits = value.parse::<u64>().is_ok(),
            "at" => open.inherited = true,
            _ => {}
        }
    }
    (known && (waits || open.inherited) && words.next().is_none()).then_some(open)
}

/// One connection's two halves.
struct Peer {
    lines: LineReader,
    /// `None` once it was reset.
    write: Option<OwnedWriteHalf>,
    /// The stand-in that it came through, if it did.
    far: Option<SocketAddr>,
}

impl Peer {
    async fn say(&mut self, text: &str) {
        // A peer that takes nothing is noticed by its end.
        if let Some(write) = &mut self.write {
            let _ = timeout(WRITE, write.write_all(text.as_bytes())).await;
        }
    }

    /// Says the last and waits a little for the other side to close.
    async fn part(&mut self, text: &str) {
        self.say(text).await;
        if let Some(write) = &mut self.write {
            let _ = write.shutdown().await;
        }
        let _ = timeout(CLOSING, self.lines.end()).await;
    }

    fn reset(&mut self) {
        if let Some(write) = self.write.take() {
            let _ = sockopt::set_socket_linger(write.as_ref(), Some(Duration::ZERO));
            // Dropped, it would end its side in good order first.
            write.forget();
        }
    }
}

/// A dial as its host sees it.
struct Dial {
    id: u64,
    number: u32,
    settling: bool,
    /// The group and work that it holds once up.
    up: Option<(Option<u64>, f64)>,
    over: bool,
}

impl Dial {
    fn connected(&mut self, host: &Host, testbed: &Testbed, open: &Open) {
        let mut model = host.model();
        if std::mem::take(&mut self.settling) {
            model.set_up_over();
        }
        model.connect(testbed.event_log.now(), open.group, open.work);
        self.up = Some((open.group, open.work));
    }

    async fn turn_away(
        &mut self,
        host: &Host,
        testbed: &Testbed,
        peer: &mut Peer,
        reply: HostReply,
        text: &str,
    ) {
        testbed.event_log.put(Event::Replied {
            id: self.id,
            dial: self.number,
            reply,
        });
        self.end(host, testbed, true);
        peer.part(text).await;
    }

    fn end(&mut self, host: &Host, testbed: &Testbed, by_host: bool) {
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        testbed.out.end(self.id, self.number);
        let mut model = host.model();
        if std::mem::take(&mut self.settling) {
            model.set_up_over();
        }
        if let Some((group, work)) = self.up.take() {
            model.disconnect(testbed.event_log.now(), group, work);
        }
        drop(model);
        testbed.event_log.put(Event::DialOver {
            id: self.id,
            dial: self.number,
            by_host,
        });
    }
}
