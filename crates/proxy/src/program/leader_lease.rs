//! The lead over the fleet's work, held at the store: a thread keeps the session, so that the lease is renewed whatever the
//! work waits for.
//!
//! [`LeaderLease`] is the work's handle; the thread is in [`session_thread`]. Everything that is decided about the lease is
//! [`LeaseContender`]'s.

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

/// Everything this program keeps at the store is below this node.
const ROOT_PATH: &str = "/asterramp";
/// The queue of contenders: an ephemeral node each.
const QUEUE_PATH: &str = "/asterramp/owner";
/// Longest wait for an answer of the store's. It bounds how long the work hangs while the store does.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two attempts to reach the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the thread to tell the store that the lead is given up. If that fails the session expires by itself.
const RESIGN_TIME: Duration = Duration::from_millis(100);
/// Clocks of this process and the store may drift apart by this part of a session's timeout.
const CLOCK_MARGIN_DIVISOR: u32 = 6;

/// Why the store did not do what it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum StoreRequestError {
    /// It answered that it does not.
    #[error("the store refuses: {0:?}")]
    Refused(StoreError),
    /// There was no session, the connection broke before the answer, or the answer did not come in time: it may have been
    /// done or not.
    #[error("the store cannot be heard")]
    Unreachable,
}

/// Where a contender stands, and with which term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseStatus {
    /// Its state.
    pub(super) state: LeaseState,
    /// The term of its node in the queue.
    pub(super) term: Term,
}

/// A node in the queue of contenders. They are ordered by term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuedContender {
    /// The lowest in the queue is the leader's, or that of whoever is about to lead.
    pub(super) term: Term,
    /// The node's name.
    pub(super) node: String,
}

/// A request of the work's, and where its answer goes.
#[derive(Debug)]
struct PendingRequest {
    request: StoreRequest,
    answer_to: Sender<Result<StoreResponse, StoreRequestError>>,
}

/// What the handle and the thread share.
#[derive(Debug)]
struct Shared {
    contender: LeaseContender,
    /// Requests that the thread has not taken yet.
    pending: Vec<PendingRequest>,
    /// The session is to be closed.
    resigned: bool,
}

/// A session with the store, and the lease that is held by it. Clones share the session.
#[derive(Clone, Debug)]
pub(super) struct LeaderLease {
    shared: Arc<Mutex<Shared>>,
    started_at: Instant,
}

impl LeaderLease {
    /// Opens a session at one of the store's members and queues for the lead. Returns at once.
    pub(super) fn contend(stores: Vec<SocketAddr>, session_timeout: Duration) -> LeaderLease {
        LeaderLease::open(stores, session_timeout, true)
    }

    /// Opens a session that only reads and writes, and never leads. Returns at once.
    pub(super) fn observe(stores: Vec<SocketAddr>, session_timeout: Duration) -> LeaderLease {
        LeaderLease::open(stores, session_timeout, false)
    }

    fn open(stores: Vec<SocketAddr>, session_timeout: Duration, contends: bool) -> LeaderLease {
        let contender = LeaseContender::new(LeaseSettings {
            session_timeout,
            clock_margin: session_timeout / CLOCK_MARGIN_DIVISOR,
        });
        let shared = Shared {
            contender,
            pending: Vec::new(),
            resigned: false,
        };
        let lease = LeaderLease {
            shared: Arc::new(Mutex::new(shared)),
            started_at: Instant::now(),
        };
        session_thread::spawn(lease.clone(), stores, session_timeout, contends);
        lease
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Where this contender stands now.
    pub(super) fn status(&self) -> LeaseStatus {
        let now = self.now();
        let mut shared = self.shared();
        shared.contender.tick(now);
        LeaseStatus {
            state: shared.contender.state(),
            term: shared.contender.term(),
        }
    }

    /// Whether it leads now. A process that was stopped for long finds here that it does not, before it has heard why.
    pub(super) fn is_leader(&self) -> bool {
        let now = self.now();
        self.shared().contender.holds_valid_lease(now)
    }

    /// Every receiver has accepted this term.
    pub(super) fn all_receivers_know_term(&self, term: Term) {
        let mut shared = self.shared();
        if shared.contender.term() == term {
            shared.contender.all_receivers_accepted_term();
        }
    }

    /// Asks the store and waits for its answer, [`ANSWER_TIMEOUT`] at most.
    pub(super) fn send_request(
        &self,
        request: StoreRequest,
    ) -> Result<StoreResponse, StoreRequestError> {
        let (answer_to, answer) = channel();
        self.shared()
            .pending
            .push(PendingRequest { request, answer_to });
        answer
            .recv_timeout(ANSWER_TIMEOUT)
            .unwrap_or(Err(StoreRequestError::Unreachable))
    }

    /// Orders a receiver something in this leader's name. `None` if it may not give the order now.
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
            .shared()
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
            // A node that has been removed meanwhile is left out.
            if let Ok(StoreResponse::Stat(stat)) = self.send_request(exists(queue_node_path(&node)))
            {
                let term = stat.created_zxid as Term;
                queue.push(QueuedContender { term, node });
            }
        }
        queue.sort_unstable();
        Ok(queue)
    }

    /// Waits until the store answers, for about so long at most.
    pub(super) fn wait_until_reachable(&self, timeout: Duration) -> Result<(), StoreRequestError> {
        let give_up_at = Instant::now() + timeout;
        while self.send_request(exists("/".into())).is_err() {
            if Instant::now() > give_up_at {
                return Err(StoreRequestError::Unreachable);
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        Ok(())
    }

    /// Closes the session, which gives up the lead and the place in the queue at once.
    pub(super) fn resign(&self) {
        self.shared().resigned = true;
        std::thread::sleep(RESIGN_TIME);
    }
}

fn exists(path: String) -> StoreRequest {
    StoreRequest::Exists { path, watch: false }
}

fn queue_node_path(node: &str) -> String {
    format!("{QUEUE_PATH}/{node}")
}
