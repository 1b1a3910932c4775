//! Builds a router: from a known endpoint list, from a snapshot (warm start), or from the state of its predecessor (hot
//! restart).

use super::events::ReasonCode;
use super::hot_restart::InheritedState;
use super::metrics::Metrics;
use super::peers::Peers;
use super::recent_session_ids::RecentSessionIds;
use super::resource_budget::{ConnectionCounts, ResourceBudget};
use super::types::{ConnectionRole, TimerKey};
use super::warm_start::WarmStartPlan;
use super::zones::ZoneTracker;
use super::{
    DiscoveryWatch, EndpointTable, Router, SessionTable, admission_settings, zone_failover_settings,
};
use crate::protocol::discovery::EndpointList;
use crate::transport::poller::Interest;
use crate::transport::{Deadlines, Poller, SlotMap, socket};
use asterramp_admission::AdmissionControl;
use asterramp_drain::{Drain, DrainSettings, DrainState};
use asterramp_leader_lease::FencingGuard;
use asterramp_placement::settings::ProxySettings;
use rustix::fd::OwnedFd;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long the proxy waits for discovery before it accepts clients by the endpoint list of the last run or of the
/// predecessor.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_millis(500);

/// What a proxy starts from.
#[derive(Debug)]
pub struct RouterOptions {
    /// The deployment's settings.
    pub settings: ProxySettings,
    /// Seed of the random numbers of the placement engine and of admission control.
    pub seed: u64,
    /// Address of the listener for clients.
    pub listen_address: SocketAddr,
    /// Address of the discovery service.
    pub discovery_address: SocketAddr,
    /// Address of the listener for operators' HTTP calls; `None` for no such listener.
    pub admin_http_address: Option<SocketAddr>,
    /// Path of the Unix socket at which a predecessor listens and later a successor connects; `None` disables hot
    /// restart.
    pub hot_restart_socket: Option<PathBuf>,
    /// The endpoint list of the last run.
    pub initial_endpoints: EndpointList,
    /// What a warm start begins from; `None` where discovery and `initial_endpoints` are trusted without a probe.
    pub warm_start: Option<WarmStartPlan>,
    /// Most file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Most memory that the process may use, in bytes.
    pub max_memory_bytes: usize,
}

/// The listener for clients, bound by this process or inherited from its predecessor.
struct Listener {
    fd: OwnedFd,
    /// Connection to the predecessor that passed the listener on; `None` if this process has bound it.
    predecessor: Option<OwnedFd>,
    /// The predecessor's endpoint list.
    inherited_list: Option<EndpointList>,
}

impl Router {
    /// Builds a router and opens its listeners. The one for clients is inherited if a predecessor is running.
    ///
    /// # Errors
    ///
    /// If a listener cannot be opened (the error names the address and its key), or epoll cannot.
    pub fn new(options: RouterOptions, now: Duration) -> io::Result<Router> {
        let RouterOptions {
            settings,
            seed,
            listen_address,
            discovery_address,
            admin_http_address,
            hot_restart_socket,
            initial_endpoints,
            warm_start,
            max_descriptors,
            max_memory_bytes,
        } = options;
        let (inherited, inherit_error) =
            request_inherited_state(hot_restart_socket.as_deref(), listen_address);
        let revision = inherited
            .as_ref()
            .map_or(initial_endpoints.revision, |inherited| {
                inherited.list.revision
            });
        let budget = ResourceBudget::new(max_descriptors, max_memory_bytes);
        let recent_ids = RecentSessionIds::new(max_memory_bytes);
        let watch = DiscoveryWatch::new(discovery_address, revision, &settings);
        let mut router = Router::without_connections(settings, seed, budget, watch, now)?;
        router.recent_session_ids = recent_ids;
        if let Some(why) = inherit_error {
            router.log_event(ReasonCode::HotRestartFailed, format!("elder why={why:?}"));
        }
        let listener = match inherited {
            Some(inherited) => Listener::inherited(inherited),
            None => Listener::bind(listen_address, admin_http_address.is_some())?,
        };
        if let Some(path) = hot_restart_socket {
            router.open_hot_restart(path, listener.predecessor);
        }
        router.listener =
            router.register(listener.fd, ConnectionRole::Listener, Interest::default());
        if let Some(address) = admin_http_address {
            router
                .open_admin_http(address)
                .map_err(|error| listen_error("operator", address, error))?;
        }
        router.initialize_endpoints(
            listener.inherited_list,
            warm_start,
            initial_endpoints,
            discovery_address,
        );
        router.run_tasks();
        Ok(router)
    }

    /// Applies the predecessor's endpoint list, or begins a warm start, or applies the list of the last run, in this
    /// order of preference. Discovery, at address `discovery`, is asked for updates in each case.
    fn initialize_endpoints(
        &mut self,
        inherited: Option<EndpointList>,
        warm_start: Option<WarmStartPlan>,
        initial: EndpointList,
        discovery: SocketAddr,
    ) {
        match (inherited, warm_start) {
            (Some(list), _) => {
                self.set_discovery_wait_deadline();
                self.apply_inherited_list(list);
            }
            (None, Some(plan)) => {
                // Asks for the complete list: a discovery service that has restarted cannot give the changes since an
                // earlier revision.
                self.discovery_watch = DiscoveryWatch::new(discovery, 0, &self.settings);
                self.begin_warm_start(plan, &initial);
                self.connect_watch();
            }
            (None, None) => {
                self.set_discovery_wait_deadline();
                self.apply_initial_list(initial);
            }
        }
    }

    /// A router without connections and listeners.
    fn without_connections(
        settings: ProxySettings,
        seed: u64,
        resource_budget: ResourceBudget,
        discovery_watch: DiscoveryWatch,
        now: Duration,
    ) -> io::Result<Router> {
        let mut session_table =
            SessionTable::new(settings.deployment.clone(), seed, settings.connect_timeout);
        session_table.zones =
            ZoneTracker::new(settings.zones.len(), zone_failover_settings(&settings));
        Ok(Router {
            session_table,
            resource_budget,
            poller: Poller::new()?,
            ready: Vec::new(),
            connections: SlotMap::default(),
            session_ids: HashSet::new(),
            recent_session_ids: RecentSessionIds::default(),
            connection_counts: ConnectionCounts::default(),
            endpoints: EndpointTable::new(settings.zones.clone()),
            discovery_watch,
            listener: None,
            serving: false,
            deadlines: Deadlines::default(),
            pending_events: Vec::new(),
            now,
            drain: Drain::new(DrainSettings::default()),
            admission: AdmissionControl::new(admission_settings(&settings), seed),
            admission_enabled: true,
            logged_drain_state: DrainState::Serving,
            done: false,
            admin_socket: None,
            fencing_guard: FencingGuard::new(now.as_micros() as u64, 0),
            admin_http: None,
            hot_restart: None,
            warm_start: None,
            peers: Peers::default(),
            snapshots: None,
            metrics: Metrics::new(settings.listeners.len()),
            started_at: now,
            last_arrival: Duration::ZERO,
            sessions_accepted: 0,
            settings,
        })
    }

    /// Limits the wait for discovery, after which clients are accepted by the endpoint list known so far.
    fn set_discovery_wait_deadline(&mut self) {
        self.deadlines
            .set(TimerKey::Listener, self.now + MAX_DISCOVERY_WAIT);
    }
}

impl Listener {
    fn inherited(inherited: InheritedState) -> Listener {
        Listener {
            fd: inherited.listener,
            predecessor: Some(inherited.link),
            inherited_list: Some(inherited.list),
        }
    }

    /// Listens at an address; `shared` lets other processes of the same user listen there too.
    fn bind(address: SocketAddr, shared: bool) -> io::Result<Listener> {
        let fd = socket::listen(address, shared)
            .map_err(|errno| listen_error("listen", address, errno.into()))?;
        Ok(Listener {
            fd,
            predecessor: None,
            inherited_list: None,
        })
    }
}

/// Requests the state of a predecessor, if one is running. Returns the state, or the reason why a running predecessor
/// did not pass it on.
fn request_inherited_state(
    socket: Option<&Path>,
    listen_address: SocketAddr,
) -> (Option<InheritedState>, Option<String>) {
    let Some(socket) = socket else {
        return (None, None);
    };
    match InheritedState::request(socket, listen_address) {
        Ok(inherited) => (inherited, None),
        Err(why) => (None, Some(why.to_string())),
    }
}

/// Adds the address and its key to an error of opening a listener.
fn listen_error(key: &str, address: SocketAddr, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{key}: {address}: {error}"))
}
