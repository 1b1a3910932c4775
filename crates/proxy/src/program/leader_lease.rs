//! A candidate for the work of the fleet, on sockets: a thread keeps its session with the store, so that the lease is renewed
//! whatever the work waits for. Everything that it decides is `asterramp_leader_lease::Owner`'s.

use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest, LeaderToken, ProxyStatus};
use asterramp_leader_lease::{
    FencingTicket, LeaseCandidate, LeaseSettings as OwnerTerms, LeaseState, Term,
};
use asterramp_zookeeper::record::{StoreError, StoreRequest as Ask};
use asterramp_zookeeper::session::{
    ClientSession, ClientSessionEffect, ClientSessionSettings, StoreResponse,
};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const ROOT: &str = "/asterramp";
const QUEUE: &str = "/asterramp/owner";
/// How long a read may take, which is how late a question of the work may be.
const TURN: Duration = Duration::from_millis(20);
/// How long the work waits for an answer of the store's.
const PATIENCE: Duration = Duration::from_secs(3);
/// Part of the session's time by which clocks may run apart, and how often in that time the queue is looked at.
const MARGIN: u32 = 6;
const LOOKS: u32 = 8;

type Reply = Result<StoreResponse, Option<StoreError>>;

struct Desk {
    owner: LeaseCandidate,
    /// What the work asks, and where the answer goes.
    asks: Vec<(Ask, Sender<Reply>)>,
    over: bool,
}

#[derive(Clone)]
pub struct LeaderLease {
    desk: Arc<Mutex<Desk>>,
    began: Instant,
}

impl LeaderLease {
    pub fn start(stores: Vec<SocketAddr>, session: Duration) -> LeaderLease {
        LeaderLease::begin(stores, session, true)
    }

    /// A session that only looks and writes: it queues for nothing.
    pub fn look(stores: Vec<SocketAddr>, session: Duration) -> LeaderLease {
        LeaderLease::begin(stores, session, false)
    }

    fn begin(stores: Vec<SocketAddr>, session: Duration, joins: bool) -> LeaderLease {
        let owner = LeaseCandidate::new(OwnerTerms {
            timeout: session,
            margin: session / MARGIN,
        });
        let desk = Arc::new(Mutex::new(Desk {
            owner,
            asks: Vec::new(),
            over: false,
        }));
        let claim = LeaderLease {
            desk,
            began: Instant::now(),
        };
        let own = claim.clone();
        std::thread::spawn(move || {
            Seat {
                joins,
                ..Seat::new(own, stores, session)
            }
            .run()
        });
        claim
    }

    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Where it stands, and by which term.
    pub fn state(&self) -> (LeaseState, Term) {
        let now = self.now();
        let mut desk = self.desk();
        desk.owner.tick(now);
        (desk.owner.state(), desk.owner.term())
    }

    /// Whether it may act now: one that was stopped for long finds here that it may not, before it has heard why.
    pub fn acts(&self) -> bool {
        let now = self.now();
        self.desk().owner.acts(now)
    }

    pub fn all_heard(&self, term: Term) {
        let mut desk = self.desk();
        if desk.owner.term() == term {
            desk.owner.all_heard();
        }
    }

    /// Asks the store for the work's sake.
    pub fn ask(&self, ask: Ask) -> Result<StoreResponse, String> {
        let (send, answer) = channel();
        self.desk().asks.push((ask, send));
        match answer.recv_timeout(PATIENCE) {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(Some(refused))) => Err(format!("the store refuses: {refused:?}")),
            Ok(Err(None)) | Err(_) => Err("the store cannot be heard".into()),
        }
    }

    /// Orders a receiver something, if this may act now; `None` where it may not.
    pub fn order(
        &self,
        client: &mut AdminClient,
        request: AdminRequest,
    ) -> Result<Option<ProxyStatus>, String> {
        let told = client.ask(&AdminRequest::new(AdminCommand::Status))?;
        let came = self.now();
        let ticket = FencingTicket {
            boot: told.boot,
            clock: Duration::from_micros(told.clock_us),
        };
        let order =
            self.desk()
                .owner
                .order(self.now(), ticket, came, request.verb == AdminCommand::Hear);
        let Some(order) = order else { return Ok(None) };
        let owner = LeaderToken {
            term: order.term,
            boot: order.boot,
            until_us: order.until.as_micros() as u64,
        };
        client
            .ask(&AdminRequest {
                owner: Some(owner),
                ..request
            })
            .map(Some)
    }

    /// The queue for the work, who is first in front: each node's name and term.
    pub fn queue(&self) -> Result<Vec<(Term, String)>, String> {
        let names = match self.ask(Ask::GetChildren {
            path: QUEUE.into(),
            watch: false,
        })? {
            StoreResponse::Children(names, _) => names,
            _ => Vec::new(),
        };
        let mut queue = Vec::new();
        for name in names {
            let found = self.ask(Ask::Exists {
                path: format!("{QUEUE}/{name}"),
                watch: false,
            });
            if let Ok(StoreResponse::Stat(stat)) = found {
                queue.push((stat.created_zxid as Term, name));
            }
        }
        queue.sort_unstable();
        Ok(queue)
    }

    /// Waits until the store answers, for so long.
    pub fn reached(&self, patience: Duration) -> Result<(), String> {
        let until = Instant::now() + patience;
        let root = || Ask::Exists {
            path: "/".into(),
            watch: false,
        };
        while self.ask(root()).is_err() {
            if Instant::now() > until {
                return Err("the store cannot be heard".into());
            }
            std::thread::sleep(TURN);
        }
        Ok(())
    }

    /// Gives the place up.
    pub fn leave(&self) {
        self.desk().over = true;
        // The store hears of it; if it does not, the session lapses.
        std::thread::sleep(TURN * 5);
    }
}

/// What a question was for.
enum For {
    /// Made before the node; it may be there already.
    Folder,
    Node,
    /// Our own node's figures, after it was made.
    Own(Duration),
    /// Who is in the queue, and each of them.
    Queue(Duration),
    Child(Duration),
    Work(Sender<Reply>),
}

/// One candidate's place at the store.
struct Seat {
    claim: LeaderLease,
    /// Whether it queues for the work.
    joins: bool,
    stores: Vec<SocketAddr>,
    session: ClientSession,
    stream: Option<TcpStream>,
    node: String,
    questions: BTreeMap<i32, For>,
    /// The queue as it is being looked at: those still to be heard of, and the lowest so far.
    left: usize,
    lowest: Option<Term>,
    stands: bool,
    looked: Duration,
    every: Duration,
    out: Vec<ClientSessionEffect>,
}

impl Seat {
    fn new(claim: LeaderLease, stores: Vec<SocketAddr>, timeout: Duration) -> Seat {
        let seed = u64::from(std::process::id()).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5ca1;
        let (mut out, now) = (Vec::new(), claim.now());
        let session = ClientSession::new(
            now,
            ClientSessionSettings {
                address_count: stores.len(),
                timeout,
                auth: None,
            },
            seed,
            &mut out,
        );
        Seat {
            claim,
            joins: true,
            stores,
            session,
            stream: None,
            node: format!("{QUEUE}/c-{}-{:08x}", std::process::id(), seed as u32),
            questions: BTreeMap::new(),
            left: 0,
            lowest: None,
            stands: false,
            looked: now,
            every: timeout / LOOKS,
            out,
        }
    }

    fn run(mut self) {
        loop {
            self.carry_out();
            let (now, over) = (self.claim.now(), self.claim.desk().over);
            if over {
                self.session.close(now, &mut self.out);
                return self.carry_out();
            }
            if self.session.next_tick_due() <= now {
                self.session.tick(now, &mut self.out);
            }
            self.ask_for_work(now);
            if self.stands && now >= self.looked + self.every && self.left == 0 {
                self.looked = now;
                self.ask(
                    now,
                    Ask::GetChildren {
                        path: QUEUE.into(),
                        watch: false,
                    },
                    For::Queue(now),
                );
            }
            self.carry_out();
            self.read();
        }
    }

    fn ask(&mut self, now: Duration, ask: Ask, what: For) {
        match self.session.request(now, ask, &mut self.out) {
            Some(xid) => drop(self.questions.insert(xid, what)),
            None => lost(what),
        }
    }

    fn ask_for_work(&mut self, now: Duration) {
        let asks = std::mem::take(&mut self.claim.desk().asks);
        asks.into_iter()
            .for_each(|(ask, answer)| self.ask(now, ask, For::Work(answer)));
    }

    fn read(&mut self) {
        let Some(stream) = &mut self.stream else {
            return std::thread::sleep(TURN);
        };
        let mut bytes = [0; 8192];
        let read = stream.read(&mut bytes);
        let now = self.claim.now();
        match read {
            Ok(0) => self.session.connection_failed(now, &mut self.out),
            Ok(n) => self.session.receive(now, &bytes[..n], &mut self.out),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => self.session.connection_failed(now, &mut self.out),
        }
    }

    fn carry_out(&mut self) {
        while !self.out.is_empty() {
            for effect in std::mem::take(&mut self.out) {
                self.effect(effect);
            }
        }
    }

    fn effect(&mut self, effect: ClientSessionEffect) {
        let now = self.claim.now();
        match effect {
            ClientSessionEffect::Connect(nth) => {
                let stream =
                    TcpStream::connect_timeout(&self.stores[nth % self.stores.len()], TURN * 25);
                let ready = stream.and_then(|stream| {
                    stream.set_nodelay(true)?;
                    stream.set_read_timeout(Some(TURN))?;
                    stream.set_write_timeout(Some(TURN * 25))?;
                    Ok(stream)
                });
                let now = self.claim.now();
                match ready {
                    Ok(stream) => {
                        self.stream = Some(stream);
                        self.session.connection_opened(now, &mut self.out);
                    }
                    Err(_) => self.session.connection_failed(now, &mut self.out),
                }
            }
            ClientSessionEffect::Send(bytes) => {
                let written = self.stream.as_mut().map(|stream| stream.write_all(&bytes));
                if matches!(written, Some(Err(_))) {
                    self.session
                        .connection_failed(self.claim.now(), &mut self.out);
                }
            }
            ClientSessionEffect::CloseConnection => self.stream = None,
            ClientSessionEffect::Established { new: true } if !self.joins => {}
            ClientSessionEffect::Established { new: true } => {
                for path in [ROOT, QUEUE] {
                    let make = Ask::Create {
                        path: path.into(),
                        data: Vec::new(),
                        ephemeral: false,
                    };
                    self.ask(now, make, For::Folder);
                }
                let make = Ask::Create {
                    path: self.node.clone(),
                    data: Vec::new(),
                    ephemeral: true,
                };
                self.ask(now, make, For::Node);
            }
            ClientSessionEffect::Established { new: false } => self.looked = Duration::ZERO,
            // The lease goes on to its end by itself, and no further.
            ClientSessionEffect::ConnectionLost => (self.left, self.lowest) = (0, None),
            ClientSessionEffect::Expired => {
                self.claim.desk().owner.expired();
                (self.stands, self.left) = (false, 0);
            }
            ClientSessionEffect::Responded {
                xid,
                response: answer,
            } => {
                let what = self.questions.remove(&xid);
                what.into_iter()
                    .for_each(|what| self.answered(now, what, answer.clone()));
            }
            ClientSessionEffect::ResponseLost { xid } => {
                self.questions.remove(&xid).into_iter().for_each(lost)
            }
            ClientSessionEffect::WatchFired(_) | ClientSessionEffect::ProtocolError(_) => {}
        }
    }

    fn answered(&mut self, now: Duration, what: For, answer: Result<StoreResponse, StoreError>) {
        match (what, answer) {
            (For::Work(to), answer) => drop(to.send(answer.map_err(Some))),
            (For::Folder, _) => {}
            (For::Node, Ok(_)) | (For::Node, Err(StoreError::NodeExists)) => {
                let path = self.node.clone();
                self.ask(now, Ask::Exists { path, watch: false }, For::Own(now));
            }
            (For::Node, Err(_)) => {}
            (For::Own(asked), Ok(StoreResponse::Stat(stat))) => {
                self.claim
                    .desk()
                    .owner
                    .joined(now, asked, stat.created_zxid as Term);
                self.stands = true;
            }
            (For::Queue(asked), Ok(StoreResponse::Children(names, _))) => {
                (self.left, self.lowest) = (names.len(), None);
                for name in names {
                    let path = format!("{QUEUE}/{name}");
                    self.ask(now, Ask::Exists { path, watch: false }, For::Child(asked));
                }
            }
            (For::Child(asked), answer) => {
                if let Ok(StoreResponse::Stat(stat)) = answer {
                    let created = stat.created_zxid as Term;
                    self.lowest = Some(self.lowest.map_or(created, |lowest| lowest.min(created)));
                }
                self.left = self.left.saturating_sub(1);
                if let Some(first) = self.lowest.filter(|_| self.left == 0) {
                    let mut desk = self.claim.desk();
                    desk.owner.heard(now, asked);
                    desk.owner.first(now, first);
                }
            }
            (For::Own(_) | For::Queue(_), _) => {}
        }
    }
}

/// Whoever waits for an answer hears that there is none.
fn lost(what: For) {
    if let For::Work(to) = what {
        let _ = to.send(Err(None));
    }
}
