//! The thread that keeps a session with the store, contends for the lead by it and asks what the work wants to know.

use super::{LeaderLease, QUEUE_PATH, ROOT_PATH, StoreRequestError, exists, queue_node_path};
use asterramp_leader_lease::Term;
use asterramp_zookeeper::record::{StoreError, StoreRequest};
use asterramp_zookeeper::session::{
    StoreResponse, StoreSession, StoreSessionEffect, StoreSessionSettings as SessionSettings,
};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Longest wait of one read, and so the longest that a request of the work's waits to be sent.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest time for connecting to a member of the store, and for one write. A member on the same network takes far less.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the queue is read in one session timeout: a lease is renewed by each answer, so some may be lost.
const QUEUE_READS_PER_TIMEOUT: u32 = 8;
/// Bytes read at once; longer answers are put together by the session.
const READ_BUFFER_BYTES: usize = 8192;
/// Spreads process ids over 64 bits: the fraction of the golden ratio.
const PID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Keeps the seed of process 0 from being 0.
const SEED_MASK: u64 = 0x5ca1;

/// Starts the thread. It ends once the lease is resigned.
pub(super) fn spawn(
    lease: LeaderLease,
    stores: Vec<SocketAddr>,
    session_timeout: Duration,
    contends: bool,
) {
    std::thread::spawn(move || {
        SessionThread::new(lease, stores, session_timeout, contends).run();
    });
}

/// What a request to the store was for.
enum RequestPurpose {
    /// A folder that the contender's node needs; it may exist already.
    CreateFolder,
    /// The contender's own node.
    CreateOwnNode,
    /// The term of the own node, after it was created.
    ReadOwnTerm { sent_at: Duration },
    /// The names in the queue.
    ListQueue { sent_at: Duration },
    /// The term of one of these.
    ReadQueuedTerm {
        /// When the names were asked for.
        list_sent_at: Duration,
    },
    /// The work wants the answer.
    Work(Sender<Result<StoreResponse, StoreRequestError>>),
}

impl RequestPurpose {
    /// There will be no answer.
    fn fail(self) {
        if let RequestPurpose::Work(answer_to) = self {
            // The work may have stopped waiting.
            let _ = answer_to.send(Err(StoreRequestError::Unreachable));
        }
    }
}

/// The queue as far as it has been read.
#[derive(Default)]
struct QueueReading {
    /// Nodes whose term is still to be answered.
    unanswered: usize,
    lowest_term: Option<Term>,
}

struct SessionThread {
    lease: LeaderLease,
    contends: bool,
    stores: Vec<SocketAddr>,
    session: StoreSession,
    stream: Option<TcpStream>,
    /// The path of this contender's node.
    own_path: String,
    in_flight: BTreeMap<i32, RequestPurpose>,
    queue: QueueReading,
    /// The own node exists.
    has_own_node: bool,
    queue_read_at: Duration,
    queue_read_interval: Duration,
    /// What the session wants done.
    effects: Vec<StoreSessionEffect>,
}

impl SessionThread {
    fn new(
        lease: LeaderLease,
        stores: Vec<SocketAddr>,
        session_timeout: Duration,
        contends: bool,
    ) -> SessionThread {
        let pid = std::process::id();
        let seed = u64::from(pid).wrapping_mul(PID_MULTIPLIER) ^ SEED_MASK;
        let settings = SessionSettings {
            address_count: stores.len(),
            timeout: session_timeout,
            auth: None,
        };
        let mut effects = Vec::new();
        let now = lease.now();
        let session = StoreSession::new(now, settings, seed, &mut effects);
        SessionThread {
            lease,
            contends,
            stores,
            session,
            stream: None,
            own_path: queue_node_path(&format!("c-{pid}-{:08x}", seed as u32)),
            in_flight: BTreeMap::new(),
            queue: QueueReading::default(),
            has_own_node: false,
            queue_read_at: now,
            queue_read_interval: session_timeout / QUEUE_READS_PER_TIMEOUT,
            effects,
        }
    }

    fn run(mut self) {
        loop {
            self.perform_effects();
            let now = self.lease.now();
            if self.lease.shared().resigned {
                self.session.close(now, &mut self.effects);
                return self.perform_effects();
            }
            if self.session.next_tick_due() <= now {
                self.session.tick(now, &mut self.effects);
            }
            self.send_pending(now);
            self.read_queue_if_due(now);
            self.perform_effects();
            self.read();
        }
    }

    fn send(&mut self, now: Duration, request: StoreRequest, purpose: RequestPurpose) {
        match self.session.request(now, request, &mut self.effects) {
            Some(request_id) => {
                self.in_flight.insert(request_id, purpose);
            }
            None => purpose.fail(),
        }
    }

    /// Sends what the work has asked for.
    fn send_pending(&mut self, now: Duration) {
        let pending = std::mem::take(&mut self.lease.shared().pending);
        for request in pending {
            let purpose = RequestPurpose::Work(request.answer_to);
            self.send(now, request.request, purpose);
        }
    }

    fn read_queue_if_due(&mut self, now: Duration) {
        let is_due = now >= self.queue_read_at + self.queue_read_interval;
        if !self.has_own_node || !is_due || self.queue.unanswered > 0 {
            return;
        }
        self.queue_read_at = now;
        let request = StoreRequest::GetChildren {
            path: QUEUE_PATH.into(),
            watch: false,
        };
        self.send(now, request, RequestPurpose::ListQueue { sent_at: now });
    }

    fn read(&mut self) {
        let Some(stream) = &mut self.stream else {
            return std::thread::sleep(READ_TIMEOUT);
        };
        let mut bytes = [0; READ_BUFFER_BYTES];
        let read = stream.read(&mut bytes);
        let now = self.lease.now();
        match read {
            Ok(0) => self.session.connection_failed(now, &mut self.effects),
            Ok(n) => self.session.receive(now, &bytes[..n], &mut self.effects),
            Err(error) if is_transient(error.kind()) => {}
            Err(_) => self.session.connection_failed(now, &mut self.effects),
        }
    }

    fn perform_effects(&mut self) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                self.perform(effect);
            }
        }
    }

    fn perform(&mut self, effect: StoreSessionEffect) {
        match effect {
            StoreSessionEffect::Connect(nth) => self.connect(nth),
            StoreSessionEffect::Send(bytes) => self.write(&bytes),
            StoreSessionEffect::CloseConnection => self.stream = None,
            StoreSessionEffect::Established { new: true } => {
                if self.contends {
                    self.create_nodes();
                }
            }
            StoreSessionEffect::Established { new: false } => self.queue_read_at = Duration::ZERO,
            // The lease goes on to its end by itself, and no further.
            StoreSessionEffect::ConnectionLost => self.queue = QueueReading::default(),
            StoreSessionEffect::Expired => {
                self.lease.shared().contender.session_expired();
                self.has_own_node = false;
                self.queue.unanswered = 0;
            }
            StoreSessionEffect::ResponseReceived {
                xid,
                response: answer,
            } => {
                if let Some(purpose) = self.in_flight.remove(&xid) {
                    self.answered(purpose, answer);
                }
            }
            StoreSessionEffect::ResponseLost { xid } => {
                if let Some(purpose) = self.in_flight.remove(&xid) {
                    purpose.fail();
                }
            }
            StoreSessionEffect::WatchTriggered(_) | StoreSessionEffect::ProtocolError(_) => {}
        }
    }

    fn connect(&mut self, nth: usize) {
        let connected = connect(&self.stores[nth % self.stores.len()]);
        let now = self.lease.now();
        match connected {
            Ok(stream) => {
                self.stream = Some(stream);
                self.session.connection_opened(now, &mut self.effects);
            }
            Err(_) => self.session.connection_failed(now, &mut self.effects),
        }
    }

    fn write(&mut self, bytes: &[u8]) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        if stream.write_all(bytes).is_err() {
            self.session
                .connection_failed(self.lease.now(), &mut self.effects);
        }
    }

    fn create_nodes(&mut self) {
        let now = self.lease.now();
        for path in [ROOT_PATH, QUEUE_PATH] {
            let request = StoreRequest::Create {
                path: path.into(),
                data: Vec::new(),
                ephemeral: false,
            };
            self.send(now, request, RequestPurpose::CreateFolder);
        }
        let request = StoreRequest::Create {
            path: self.own_path.clone(),
            data: Vec::new(),
            ephemeral: true,
        };
        self.send(now, request, RequestPurpose::CreateOwnNode);
    }

    fn answered(&mut self, purpose: RequestPurpose, answer: Result<StoreResponse, StoreError>) {
        let now = self.lease.now();
        match (purpose, answer) {
            (RequestPurpose::Work(answer_to), answer) => {
                // The work may have stopped waiting.
                let _ = answer_to.send(answer.map_err(StoreRequestError::Refused));
            }
            (RequestPurpose::CreateOwnNode, Ok(_) | Err(StoreError::NodeExists)) => {
                let request = exists(self.own_path.clone());
                self.send(now, request, RequestPurpose::ReadOwnTerm { sent_at: now });
            }
            (RequestPurpose::ReadOwnTerm { sent_at }, Ok(StoreResponse::Stat(stat))) => {
                let term = stat.created_zxid as Term;
                let mut shared = self.lease.shared();
                shared.contender.joined_queue(now, sent_at, term);
                self.has_own_node = true;
            }
            (RequestPurpose::ListQueue { sent_at }, Ok(StoreResponse::Children(nodes, _))) => {
                self.read_terms(now, sent_at, &nodes);
            }
            (RequestPurpose::ReadQueuedTerm { list_sent_at }, answer) => {
                self.queued_term_answered(now, list_sent_at, answer);
            }
            (
                RequestPurpose::CreateFolder
                | RequestPurpose::CreateOwnNode
                | RequestPurpose::ReadOwnTerm { .. }
                | RequestPurpose::ListQueue { .. },
                _,
            ) => {}
        }
    }

    fn read_terms(&mut self, now: Duration, list_sent_at: Duration, nodes: &[String]) {
        self.queue = QueueReading {
            unanswered: nodes.len(),
            lowest_term: None,
        };
        for node in nodes {
            let purpose = RequestPurpose::ReadQueuedTerm { list_sent_at };
            self.send(now, exists(queue_node_path(node)), purpose);
        }
    }

    /// The contender hears of the queue once all its terms are answered. A node that has been removed meanwhile counts no
    /// more.
    fn queued_term_answered(
        &mut self,
        now: Duration,
        list_sent_at: Duration,
        answer: Result<StoreResponse, StoreError>,
    ) {
        if let Ok(StoreResponse::Stat(stat)) = answer {
            let term = stat.created_zxid as Term;
            let lowest = self
                .queue
                .lowest_term
                .map_or(term, |lowest| lowest.min(term));
            self.queue.lowest_term = Some(lowest);
        }
        self.queue.unanswered = self.queue.unanswered.saturating_sub(1);
        if self.queue.unanswered > 0 {
            return;
        }
        if let Some(head) = self.queue.lowest_term {
            let mut shared = self.lease.shared();
            shared.contender.store_answered(now, list_sent_at);
            shared.contender.queue_head_read(now, head);
        }
    }
}

fn connect(address: &SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
    Ok(stream)
}

/// Whether a read failed only because nothing came in time.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
