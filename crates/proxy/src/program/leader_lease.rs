//! The leader lease of a roll, held at a ZooKeeper store.
//!
//! [`LeaderLease`] is the handle that a roll uses. The thread in [`session_thread`] keeps the session with the store
//! and renews the lease, also while the roll waits for something else. [`LeaseContender`] makes all decisions about the
//! lease.

mod session_thread;

use asterramp_admin_protocol::{
    AdminClient, AdminClientError, AdminCommand, AdminRequest, LeaderToken, ProxyStatus,
};
use asterramp_leader_lease::{
    LeaseContender, LeaseSettings, LeaseState, OrderPurpose, ReceiverClock, Term,
};
use asterramp_zookeeper::record::{StoreError, StoreRequest};
use asterramp_zookeeper::session::StoreResponse;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Node below which this program keeps all its data at the store.
const ROOT_PATH: &str = "/asterramp";
/// Node of the queue of contenders, in which each contender has an ephemeral node.
const QUEUE_PATH: &str = "/asterramp/owner";
/// Longest wait for a response of the store, which bounds how long the caller blocks while the store is unreachable.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two requests of [`LeaderLease::wait_until_reachable`].
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time that [`LeaderLease::resign`] gives the thread to close the session. If that fails, the session expires at the
/// store after its timeout.
const RESIGN_WAIT: Duration = Duration::from_millis(100);
/// The clock margin of a lease is the session timeout divided by this number. By at most that margin the clocks of this
/// process and the store may drift apart in one session timeout.
const CLOCK_MARGIN_DIVISOR: u32 = 6;

/// Why a request to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum StoreRequestError {
    /// The store rejected it.
    #[error("the store rejected the request: {0:?}")]
    Rejected(StoreError),
    /// There was no session, the connection failed before the response, or the response did not arrive in time. The
    /// store may or may not have carried the request out.
    #[error("the store cannot be heard")]
    Unreachable,
}

/// A contender's state and term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseStatus {
    /// Whether it is queued, waits for its predecessor's orders to expire, or leads.
    pub(super) state: LeaseState,
    /// The term of its node in the queue.
    pub(super) term: Term,
}

/// A node in the queue of contenders. They are ordered by term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuedContender {
    /// The term of its node. The contender with the lowest one is the leader, or the next leader.
    pub(super) term: Term,
    /// The node's name.
    pub(super) node: String,
}

/// A request of the caller, with the channel for its response.
#[derive(Debug)]
struct PendingRequest {
    request: StoreRequest,
    response_sender: Sender<Result<StoreResponse, StoreRequestError>>,
}

/// The state that the handle and the thread share.
#[derive(Debug)]
struct SharedState {
    contender: LeaseContender,
    /// Requests that the thread has not sent yet.
    pending_requests: Vec<PendingRequest>,
    /// Whether the thread is to close the session and to end.
    resigned: bool,
}

/// A session with the store, and the leader lease that depends on it. Clones share the session.
#[derive(Clone, Debug)]
pub(super) struct LeaderLease {
    shared: Arc<Mutex<SharedState>>,
    /// Origin of the times that [`LeaseContender`] is given.
    started_at: Instant,
}

impl LeaderLease {
    /// Opens a session with one of the store's members and joins the queue of contenders. Does not wait for either.
    pub(super) fn contend(
        store_addresses: Vec<SocketAddr>,
        session_timeout: Duration,
    ) -> LeaderLease {
        LeaderLease::open(store_addresses, session_timeout, true)
    }

    /// Opens a session that does not contend for the lease, only for requests to the store. Does not wait for it.
    pub(super) fn observe(
        store_addresses: Vec<SocketAddr>,
        session_timeout: Duration,
    ) -> LeaderLease {
        LeaderLease::open(store_addresses, session_timeout, false)
    }

    fn open(
        store_addresses: Vec<SocketAddr>,
        session_timeout: Duration,
        contends: bool,
    ) -> LeaderLease {
        let contender = LeaseContender::new(LeaseSettings {
            session_timeout,
            clock_margin: session_timeout / CLOCK_MARGIN_DIVISOR,
        });
        let shared = SharedState {
            contender,
            pending_requests: Vec::new(),
            resigned: false,
        };
        let lease = LeaderLease {
            shared: Arc::new(Mutex::new(shared)),
            started_at: Instant::now(),
        };
        session_thread::spawn(lease.clone(), store_addresses, session_timeout, contends);
        lease
    }

    fn lock_shared(&self) -> MutexGuard<'_, SharedState> {
        self.shared
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Time since the handle was opened, by the monotonic clock.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// This contender's present state and term.
    pub(super) fn status(&self) -> LeaseStatus {
        let now = self.now();
        let mut shared = self.lock_shared();
        shared.contender.tick(now);
        LeaseStatus {
            state: shared.contender.state(),
            term: shared.contender.term(),
        }
    }

    /// Whether it holds a valid lease now. A process that was suspended learns here that its lease has expired, before
    /// the store reports the end of its session.
    pub(super) fn is_leader(&self) -> bool {
        let now = self.now();
        self.lock_shared().contender.holds_valid_lease(now)
    }

    /// Records that every proxy has accepted `term`; ignored if that is not this contender's present term.
    pub(super) fn all_receivers_accepted_term(&self, term: Term) {
        let mut shared = self.lock_shared();
        if shared.contender.term() == term {
            shared.contender.all_receivers_accepted_term();
        }
    }

    /// Sends a request to the store and waits for the response, at most [`RESPONSE_TIMEOUT`].
    pub(super) fn send_request(
        &self,
        request: StoreRequest,
    ) -> Result<StoreResponse, StoreRequestError> {
        let (response_sender, response_receiver) = channel();
        self.lock_shared().pending_requests.push(PendingRequest {
            request,
            response_sender,
        });
        response_receiver
            .recv_timeout(RESPONSE_TIMEOUT)
            .unwrap_or(Err(StoreRequestError::Unreachable))
    }

    /// Sends a request to a proxy with this leader's fencing token. `None` if this contender may not give the order
    /// now.
    pub(super) fn send_as_leader(
        &self,
        client: &mut AdminClient,
        request: AdminRequest,
    ) -> Result<Option<ProxyStatus>, AdminClientError> {
        let status = client.send(&AdminRequest::new(AdminCommand::Status))?;
        let read_at = self.now();
        let receiver = ReceiverClock {
            incarnation: status.incarnation,
            now: Duration::from_micros(status.clock_us),
        };
        let purpose = match request.command {
            AdminCommand::AnnounceTerm => OrderPurpose::AnnounceTerm,
            _ => OrderPurpose::Command,
        };
        let token = self
            .lock_shared()
            .contender
            .order(self.now(), receiver, read_at, purpose);
        let Some(token) = token else { return Ok(None) };
        let request = AdminRequest {
            leader: Some(LeaderToken {
                term: token.term,
                incarnation: token.incarnation,
                expires_at_us: token.expires_at.as_micros() as u64,
            }),
            ..request
        };
        client.send(&request).map(Some)
    }

    /// The queue of contenders, the lowest term first.
    pub(super) fn queued_contenders(&self) -> Result<Vec<QueuedContender>, StoreRequestError> {
        let request = StoreRequest::GetChildren {
            path: QUEUE_PATH.into(),
            watch: false,
        };
        let nodes = match self.send_request(request)? {
            StoreResponse::Children(nodes, _) => nodes,
            _ => Vec::new(),
        };
        let mut queue = Vec::new();
        for node in nodes {
            // A node that was removed meanwhile is left out.
            if let Ok(StoreResponse::Stat(stat)) =
                self.send_request(exists_request(queue_node_path(&node)))
            {
                let term = stat.created_zxid as Term;
                queue.push(QueuedContender { term, node });
            }
        }
        queue.sort_unstable();
        Ok(queue)
    }

    /// Waits until the store responds, for at most about `timeout`.
    pub(super) fn wait_until_reachable(&self, timeout: Duration) -> Result<(), StoreRequestError> {
        let give_up_at = Instant::now() + timeout;
        while self.send_request(exists_request("/".into())).is_err() {
            if Instant::now() > give_up_at {
                return Err(StoreRequestError::Unreachable);
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        Ok(())
    }

    /// Closes the session, which gives up the lease and the position in the queue at once.
    pub(super) fn resign(&self) {
        self.lock_shared().resigned = true;
        std::thread::sleep(RESIGN_WAIT);
    }
}

fn exists_request(path: String) -> StoreRequest {
    StoreRequest::Exists { path, watch: false }
}

/// Path of a node in the queue.
fn queue_node_path(node: &str) -> String {
    format!("{QUEUE_PATH}/{node}")
}
