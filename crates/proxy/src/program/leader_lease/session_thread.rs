//! The thread that keeps a session with the store, contends for the leader lease and sends the handle's requests.

use super::{
    LeaderLease, QUEUE_PATH, ROOT_PATH, StoreRequestError, exists_request, queue_node_path,
};
use asterramp_leader_lease::Term;
use asterramp_zookeeper::record::{StoreError, StoreRequest};
use asterramp_zookeeper::session::{
    StoreResponse, StoreSession, StoreSessionEffect, StoreSessionSettings,
};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Longest wait of one read from the store, and so the longest delay before a caller's request is sent.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest time for connecting to a member of the store, and for one write. A member in the same network needs far
/// less.
const CONNECT_OR_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the queue is read in one session timeout. Each response renews the lease, so several may be lost before it
/// expires.
const QUEUE_READS_PER_TIMEOUT: u32 = 8;
/// Most bytes of one read; the session reassembles longer responses.
const READ_BUFFER_BYTES: usize = 8192;
/// Spreads process ids over 64 bits: the fractional part of the golden ratio, times 2^64.
const PID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Keeps the seed of process 0 from being 0.
const SEED_MASK: u64 = 0x5ca1;

/// Starts the thread, which ends once the lease is resigned.
pub(super) fn spawn(
    lease: LeaderLease,
    store_addresses: Vec<SocketAddr>,
    session_timeout: Duration,
    contends: bool,
) {
    std::thread::spawn(move || {
        SessionThread::new(lease, store_addresses, session_timeout, contends).run();
    });
}

/// Why a request was sent to the store, and so how its response is handled.
enum RequestPurpose {
    /// Create a parent of the contender's node, which may exist already.
    CreateParent,
    /// Create the contender's own node.
    CreateOwnNode,
    /// Read the term of the own node, after it was created.
    ReadOwnTerm { sent_at: Duration },
    /// Read the names of the nodes in the queue.
    ListQueue { sent_at: Duration },
    /// Read the term of a node in the queue.
    ReadQueuedTerm {
        /// When the request for the names in the queue was sent.
        list_sent_at: Duration,
    },
    /// A request of [`LeaderLease::send_request`], to which the response is passed.
    Caller(Sender<Result<StoreResponse, StoreRequestError>>),
}

impl RequestPurpose {
    /// Reports to a caller that there will be no response.
    fn fail(self) {
        if let RequestPurpose::Caller(response_sender) = self {
            // The caller may have stopped waiting.
            let _ = response_sender.send(Err(StoreRequestError::Unreachable));
        }
    }
}

/// A read of the queue that is under way: its names, and then the term of each node.
#[derive(Default)]
struct QueueScan {
    /// How many nodes' terms have not been received yet.
    pending_terms: usize,
    /// The lowest term received so far.
    lowest_term: Option<Term>,
}

struct SessionThread {
    lease: LeaderLease,
    /// Whether the thread contends for the lease; otherwise it only sends the handle's requests.
    contends: bool,
    store_addresses: Vec<SocketAddr>,
    session: StoreSession,
    /// The connection to a member of the store, if there is one.
    stream: Option<TcpStream>,
    /// Path of this contender's node.
    own_path: String,
    /// Requests without a response, by request number (xid).
    in_flight: BTreeMap<i32, RequestPurpose>,
    queue_scan: QueueScan,
    /// Whether the own node exists and its term is known.
    has_own_node: bool,
    /// When the last read of the queue was begun.
    queue_read_at: Duration,
    queue_read_interval: Duration,
    /// Effects of the session that are not performed yet.
    effects: Vec<StoreSessionEffect>,
}

impl SessionThread {
    fn new(
        lease: LeaderLease,
        store_addresses: Vec<SocketAddr>,
        session_timeout: Duration,
        contends: bool,
    ) -> SessionThread {
        let pid = std::process::id();
        let seed = u64::from(pid).wrapping_mul(PID_MULTIPLIER) ^ SEED_MASK;
        let settings = StoreSessionSettings {
            address_count: store_addresses.len(),
            timeout: session_timeout,
            auth: None,
        };
        let mut effects = Vec::new();
        let now = lease.now();
        let session = StoreSession::new(now, settings, seed, &mut effects);
        SessionThread {
            lease,
            contends,
            store_addresses,
            session,
            stream: None,
            own_path: queue_node_path(&format!("c-{pid}-{:08x}", seed as u32)),
            in_flight: BTreeMap::new(),
            queue_scan: QueueScan::default(),
            has_own_node: false,
            queue_read_at: now,
            queue_read_interval: session_timeout / QUEUE_READS_PER_TIMEOUT,
            effects,
        }
    }

    /// Runs until the lease is resigned.
    fn run(mut self) {
        loop {
            self.perform_effects();
            let now = self.lease.now();
            if self.lease.lock_shared().resigned {
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

    /// Sends a request, or reports its failure at once if there is no session.
    fn send(&mut self, now: Duration, request: StoreRequest, purpose: RequestPurpose) {
        match self.session.request(now, request, &mut self.effects) {
            Some(request_id) => {
                self.in_flight.insert(request_id, purpose);
            }
            None => purpose.fail(),
        }
    }

    /// Sends the callers' requests.
    fn send_pending(&mut self, now: Duration) {
        let pending_requests = std::mem::take(&mut self.lease.lock_shared().pending_requests);
        for pending in pending_requests {
            let purpose = RequestPurpose::Caller(pending.response_sender);
            self.send(now, pending.request, purpose);
        }
    }

    /// Starts to read the queue, if the interval has passed and no earlier read is under way.
    fn read_queue_if_due(&mut self, now: Duration) {
        let is_due = now >= self.queue_read_at + self.queue_read_interval;
        if !self.has_own_node || !is_due || self.queue_scan.pending_terms > 0 {
            return;
        }
        self.queue_read_at = now;
        let request = StoreRequest::GetChildren {
            path: QUEUE_PATH.into(),
            watch: false,
        };
        self.send(now, request, RequestPurpose::ListQueue { sent_at: now });
    }

    /// Reads from the store and passes the bytes to the session; waits at most [`READ_TIMEOUT`].
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
            StoreSessionEffect::Connect(index) => self.connect(index),
            StoreSessionEffect::Send(bytes) => self.write(&bytes),
            StoreSessionEffect::CloseConnection => self.stream = None,
            StoreSessionEffect::Established { new: true } => {
                if self.contends {
                    self.create_nodes();
                }
            }
            StoreSessionEffect::Established { new: false } => self.queue_read_at = Duration::ZERO,
            // The lease is not renewed until the session is established again, and may expire before.
            StoreSessionEffect::ConnectionLost => self.queue_scan = QueueScan::default(),
            StoreSessionEffect::Expired => {
                self.lease.lock_shared().contender.session_expired();
                self.has_own_node = false;
                self.queue_scan.pending_terms = 0;
            }
            StoreSessionEffect::ResponseReceived { xid, response } => {
                if let Some(purpose) = self.in_flight.remove(&xid) {
                    self.handle_response(purpose, response);
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

    fn connect(&mut self, index: usize) {
        let result = connect(&self.store_addresses[index % self.store_addresses.len()]);
        let now = self.lease.now();
        match result {
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

    /// Creates the contender's node in the queue, and its parents.
    fn create_nodes(&mut self) {
        let now = self.lease.now();
        for path in [ROOT_PATH, QUEUE_PATH] {
            let request = StoreRequest::Create {
                path: path.into(),
                data: Vec::new(),
                ephemeral: false,
            };
            self.send(now, request, RequestPurpose::CreateParent);
        }
        let request = StoreRequest::Create {
            path: self.own_path.clone(),
            data: Vec::new(),
            ephemeral: true,
        };
        self.send(now, request, RequestPurpose::CreateOwnNode);
    }

    fn handle_response(
        &mut self,
        purpose: RequestPurpose,
        response: Result<StoreResponse, StoreError>,
    ) {
        let now = self.lease.now();
        match (purpose, response) {
            (RequestPurpose::Caller(response_sender), response) => {
                // The caller may have stopped waiting.
                let _ = response_sender.send(response.map_err(StoreRequestError::Rejected));
            }
            (RequestPurpose::CreateOwnNode, Ok(_) | Err(StoreError::NodeExists)) => {
                let request = exists_request(self.own_path.clone());
                self.send(now, request, RequestPurpose::ReadOwnTerm { sent_at: now });
            }
            (RequestPurpose::ReadOwnTerm { sent_at }, Ok(StoreResponse::Stat(stat))) => {
                let term = stat.created_zxid as Term;
                let mut shared = self.lease.lock_shared();
                shared.contender.joined_queue(now, sent_at, term);
                self.has_own_node = true;
            }
            (RequestPurpose::ListQueue { sent_at }, Ok(StoreResponse::Children(nodes, _))) => {
                self.read_queued_terms(now, sent_at, &nodes);
            }
            (RequestPurpose::ReadQueuedTerm { list_sent_at }, response) => {
                self.handle_queued_term(now, list_sent_at, response);
            }
            (
                RequestPurpose::CreateParent
                | RequestPurpose::CreateOwnNode
                | RequestPurpose::ReadOwnTerm { .. }
                | RequestPurpose::ListQueue { .. },
                _,
            ) => {}
        }
    }

    /// Requests the terms of the nodes in the queue.
    fn read_queued_terms(&mut self, now: Duration, list_sent_at: Duration, nodes: &[String]) {
        self.queue_scan = QueueScan {
            pending_terms: nodes.len(),
            lowest_term: None,
        };
        for node in nodes {
            let purpose = RequestPurpose::ReadQueuedTerm { list_sent_at };
            self.send(now, exists_request(queue_node_path(node)), purpose);
        }
    }

    /// Records the term of a node in the queue, and reports the lowest to the contender once all are received. A node
    /// that was removed meanwhile is ignored.
    fn handle_queued_term(
        &mut self,
        now: Duration,
        list_sent_at: Duration,
        response: Result<StoreResponse, StoreError>,
    ) {
        if let Ok(StoreResponse::Stat(stat)) = response {
            let term = stat.created_zxid as Term;
            let lowest = self
                .queue_scan
                .lowest_term
                .map_or(term, |lowest| lowest.min(term));
            self.queue_scan.lowest_term = Some(lowest);
        }
        self.queue_scan.pending_terms = self.queue_scan.pending_terms.saturating_sub(1);
        if self.queue_scan.pending_terms > 0 {
            return;
        }
        if let Some(head) = self.queue_scan.lowest_term {
            let mut shared = self.lease.lock_shared();
            shared.contender.store_answered(now, list_sent_at);
            shared.contender.queue_head_read(now, head);
        }
    }
}

fn connect(address: &SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(address, CONNECT_OR_WRITE_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_write_timeout(Some(CONNECT_OR_WRITE_TIMEOUT))?;
    Ok(stream)
}

/// Whether a read failed only because no data arrived in time.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
