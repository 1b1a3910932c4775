//! What the peers of a run share: the ledger, the roster, the front, and how well clients were served.

use crate::discovery::EndpointRegistry;
use crate::event_log::{EventLog, SessionId};
use crate::front::Front;
use crate::host::Host;
use crate::link::Links;
use crate::plan::Plan;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// A call to a share of all clients: the how manieth, and whom it reaches.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientSignal {
    pub nth: u32,
    pub share: f64,
    pub span: Duration,
}

pub struct Testbed {
    pub scenario: Scenario,
    pub plan: Plan,
    pub event_log: EventLog,
    pub discovery: EndpointRegistry,
    pub front: Front,
    pub links: Arc<Links>,
    /// By proxy, how many faults keep its agent from hearing anything.
    pub apart: watch::Sender<Vec<u32>>,
    pub hosts: Vec<Arc<Host>>,
    pub score: ServiceScore,
    /// When the plan's clock began, on the ledger's.
    pub begin: watch::Sender<Option<Duration>>,
    pub reconnect: watch::Sender<ClientSignal>,
    pub deafen: watch::Sender<ClientSignal>,
    /// Which run of this process it is: tests play several at once.
    pub run: u32,
    /// Dials that no host has answered yet.
    pub out: PendingDials,
    ids: AtomicU64,
    dials: AtomicU32,
    /// The latest that the rig did anything, in microseconds.
    late: AtomicU64,
}

static RUNS: AtomicU32 = AtomicU32::new(0);

impl Testbed {
    pub fn new(
        scenario: Scenario,
        plan: Plan,
        hosts: Vec<Arc<Host>>,
        front: Front,
        links: Arc<Links>,
    ) -> Testbed {
        Testbed {
            discovery: EndpointRegistry::new(&plan, &hosts, &scenario),
            score: ServiceScore::new(scenario.listeners.len(), scenario.members.len()),
            plan,
            event_log: EventLog::default(),
            front,
            links,
            apart: watch::channel(vec![0; scenario.proxies.count as usize]).0,
            hosts,
            begin: watch::channel(None).0,
            reconnect: watch::channel(ClientSignal::default()).0,
            deafen: watch::channel(ClientSignal::default()).0,
            run: RUNS.fetch_add(1, Ordering::Relaxed),
            out: PendingDials::default(),
            scenario,
            ids: AtomicU64::new(1),
            dials: AtomicU32::new(1),
            late: AtomicU64::new(0),
        }
    }

    pub fn new_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    pub fn new_dial(&self) -> u32 {
        self.dials.fetch_add(1, Ordering::Relaxed)
    }

    /// The plan's time now; zero before it begins.
    pub fn now(&self) -> Duration {
        let begin = *self.begin.borrow();
        begin.map_or(Duration::ZERO, |begin| {
            self.event_log.now().saturating_sub(begin)
        })
    }

    /// Sleeps until a time of the plan; not at all where that has come, since even the shortest sleep takes a
    /// millisecond, and a rig behind its plan would fall ever further behind.
    pub async fn until(&self, at: Duration) {
        let left = at.saturating_sub(self.now());
        if !left.is_zero() {
            tokio::time::sleep(left).await;
        }
    }

    /// Something due by the plan is done now: keeps how late that is, if it is the latest yet.
    pub fn done(&self, due: Duration) {
        self.late.fetch_max(
            self.now().saturating_sub(due).as_micros() as u64,
            Ordering::Relaxed,
        );
    }

    pub fn late(&self) -> Duration {
        Duration::from_micros(self.late.load(Ordering::Relaxed))
    }
}

/// Dials that no host has answered yet, by session, each with a second handle of its connection.
#[derive(Debug, Default)]
pub struct PendingDials(Mutex<HashMap<SessionId, Vec<(u32, OwnedFd)>>>);

impl PendingDials {
    /// A host has read the line of a dial. Returns the earlier ones of its session whose connections have no end yet
    /// in this machine's kernel. Such a breach may last no longer than the next host's answer, far less than the
    /// times that peers note are apart; on loopback an end is there before whatever was sent after it.
    pub fn begin(&self, id: SessionId, dial: u32, handle: Option<OwnedFd>) -> Vec<u32> {
        let mut all = self.dials();
        let dials = all.entry(id).or_default();
        let out = dials
            .iter()
            .filter(|(_, handle)| !ended(handle))
            .map(|(dial, _)| *dial)
            .collect();
        dials.extend(handle.map(|handle| (dial, handle)));
        out
    }

    /// It was answered, or is over. Its handle must not outlive its connection, or that would not end.
    pub fn end(&self, id: SessionId, dial: u32) {
        let mut all = self.dials();
        if let Some(dials) = all.get_mut(&id) {
            dials.retain(|(out, _)| *out != dial);
            if dials.is_empty() {
                all.remove(&id);
            }
        }
    }

    fn dials(&self) -> MutexGuard<'_, HashMap<SessionId, Vec<(u32, OwnedFd)>>> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

/// Whether the other side has ended a connection, though nobody may have read that yet.
pub fn ended(handle: impl AsFd) -> bool {
    let mut ask = [PollFd::new(&handle, PollFlags::RDHUP)];
    let answered = rustix::event::poll(&mut ask, Some(&Timespec::default()));
    answered.is_ok() && !ask[0].revents().is_empty()
}

/// Seconds wanted and well served, by second, listener and member; and how long set-ups took.
pub struct ServiceScore {
    inner: Mutex<ServiceMarks>,
    members: usize,
}

pub struct ServiceMarks {
    /// By second; then by listener and member: wanted, well served.
    pub seconds: Vec<Vec<(f64, f64)>>,
    cells: usize,
    /// By listener, in microseconds from when a client wanted to be connected.
    pub set_ups: Vec<Histogram<u64>>,
    /// From the line's last byte to the answer `UP`, as a client sees it.
    pub answers: Histogram<u64>,
    /// From a client's line to its answer, over an open connection.
    pub messages: Histogram<u64>,
    pub unreachable: u64,
    pub given_up: u64,
}

fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, 600_000_000, 3);
    made.unwrap_or_else(|_| unreachable!("the bounds are in order"))
}

impl ServiceScore {
    fn new(listeners: usize, members: usize) -> ServiceScore {
        let marks = ServiceMarks {
            seconds: Vec::new(),
            cells: listeners * members,
            set_ups: (0..listeners).map(|_| histogram()).collect(),
            answers: histogram(),
            messages: histogram(),
            unreachable: 0,
            given_up: 0,
        };
        ServiceScore {
            inner: Mutex::new(marks),
            members,
        }
    }

    pub fn marks(&self) -> MutexGuard<'_, ServiceMarks> {
        self.inner
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn wanted(&self, listener: u8, member: u16, from: Duration, to: Duration) {
        self.spread(listener, member, from, to, |cell, part| cell.0 += part);
    }

    pub fn served(&self, listener: u8, member: u16, from: Duration, to: Duration) {
        self.spread(listener, member, from, to, |cell, part| cell.1 += part);
    }

    fn spread(
        &self,
        l: u8,
        m: u16,
        from: Duration,
        to: Duration,
        add: impl Fn(&mut (f64, f64), f64),
    ) {
        let (from, to) = (from.as_secs_f64(), to.as_secs_f64());
        let cell = usize::from(l) * self.members + usize::from(m);
        let mut marks = self.marks();
        let cells = marks.cells;
        let mut at = from;
        while at < to {
            let second = at as usize;
            let until = to.min((second + 1) as f64);
            if marks.seconds.len() <= second {
                marks.seconds.resize(second + 1, vec![(0.0, 0.0); cells]);
            }
            add(&mut marks.seconds[second][cell], until - at);
            at = until;
        }
    }
}
