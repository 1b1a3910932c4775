//! Building a router: from nothing, from what was saved before a power loss, or from the process that it replaces.

use super::events::ReasonCode;
use super::hot_restart::InheritedState;
use super::metrics::Metrics;
use super::peers::Peers;
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

/// How long discovery is waited for before clients are served by the list of the last run.
const LISTENER_DELAY: Duration = Duration::from_millis(500);

/// What a proxy starts from.
#[derive(Debug)]
pub struct RouterOptions {
    /// The deployment's settings.
    pub settings: ProxySettings,
    /// Seeds the placement engine's and admission control's draws.
    pub seed: u64,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where discovery answers.
    pub discovery_address: SocketAddr,
    /// Where operators' HTTP calls connect, if they do.
    pub admin_http_address: Option<SocketAddr>,
    /// The Unix socket at which the process that replaces this one finds it; `None` where none may.
    pub hot_restart_socket: Option<PathBuf>,
    /// The endpoint list of the last run.
    pub initial_endpoints: EndpointList,
    /// How a start goes on from what was saved; `None` where discovery and `initial_endpoints` are believed.
    pub warm_start: Option<WarmStartPlan>,
    /// Most descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Most memory that the process may take, in bytes.
    pub max_memory_bytes: usize,
}

/// Whose the listener's descriptor is, and what came with it.
struct Listener {
    fd: OwnedFd,
    /// The connection to the process that handed it over.
    predecessor: Option<OwnedFd>,
    /// The endpoint list of that process.
    list: Option<EndpointList>,
}

impl Router {
    /// Builds a router and opens its listeners; a process of the same proxy that runs already is asked for its own.
    ///
    /// # Errors
    ///
    /// If an address cannot be listened at (the error names its key), or epoll cannot be opened.
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
        let (inherited, failure) = ask_predecessor(hot_restart_socket.as_deref(), listen_address);
        let revision = inherited
            .as_ref()
            .map_or(initial_endpoints.revision, |inherited| {
                inherited.list.revision
            });
        let budget = ResourceBudget::new(max_descriptors, max_memory_bytes);
        let watch = DiscoveryWatch::new(discovery_address, revision, &settings);
        let mut router = Router::without_connections(settings, seed, budget, watch, now)?;
        if let Some(why) = failure {
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
        router.learn_endpoints(
            listener.list,
            warm_start,
            initial_endpoints,
            discovery_address,
        );
        router.run_tasks();
        Ok(router)
    }

    /// Begins with the endpoint list of the predecessor, with what was saved before a power loss, or with the list of the
    /// last run; `discovery` tells more in each case.
    fn learn_endpoints(
        &mut self,
        inherited: Option<EndpointList>,
        warm_start: Option<WarmStartPlan>,
        known: EndpointList,
        discovery: SocketAddr,
    ) {
        match (inherited, warm_start) {
            (Some(list), _) => {
                self.set_listener_delay();
                self.apply_inherited_list(list);
            }
            (None, Some(plan)) => {
                // The complete list is asked for: changes since an earlier revision mean nothing to a discovery that has
                // started anew.
                self.discovery_watch = DiscoveryWatch::new(discovery, 0, &self.settings);
                self.begin_warm_start(plan, &known);
                self.connect_watch();
            }
            (None, None) => {
                self.set_listener_delay();
                self.apply_initial_list(known);
            }
        }
    }

    /// A router that watches nothing yet.
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

    /// Clients are let in once discovery has answered, or after so long by the list of the last run.
    fn set_listener_delay(&mut self) {
        self.deadlines
            .set(TimerKey::Listener, self.now + LISTENER_DELAY);
    }
}

impl Listener {
    fn inherited(inherited: InheritedState) -> Listener {
        Listener {
            fd: inherited.listener,
            predecessor: Some(inherited.link),
            list: Some(inherited.list),
        }
    }

    /// Listens at an address; `shared` lets another process of this proxy listen there too.
    fn bind(address: SocketAddr, shared: bool) -> io::Result<Listener> {
        let fd = socket::listen(address, shared)
            .map_err(|errno| listen_error("listen", address, errno.into()))?;
        Ok(Listener {
            fd,
            predecessor: None,
            list: None,
        })
    }
}

/// Asks the process of this proxy that may run already for its listener and list; the second is why that failed.
fn ask_predecessor(
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

/// An error that names the key of the address that cannot be listened at.
fn listen_error(key: &str, address: SocketAddr, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{key}: {address}: {error}"))
}
