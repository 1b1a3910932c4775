//! Actions of the warm-start model, and the situations from which exploration starts.

use asterramp_warm_start::EndpointId;
use std::fmt;

/// An action of the model. Proxies are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmStartAction {
    /// A stopped proxy starts; a running proxy terminates.
    TogglePower {
        /// The proxy.
        proxy: usize,
        /// The content of its disk; ignored for a running proxy.
        disk: DiskState,
    },
    /// A probe in flight succeeds if the endpoint is up, and fails otherwise.
    FinishProbe {
        /// The proxy that probes.
        proxy: usize,
        /// The endpoint that it probes.
        endpoint: EndpointId,
    },
    /// A query from one proxy to a peer is answered; a peer that is not running counts as one that knows no endpoint.
    AnswerPeer {
        /// The proxy that sent the query.
        asking: usize,
        /// The peer that was queried.
        answering: usize,
    },
    /// An endpoint that is up goes down, or one that is down comes up.
    ToggleEndpoint(EndpointId),
    /// Discovery sends a proxy a complete endpoint list.
    SendList {
        /// The proxy.
        proxy: usize,
        /// The kind of list.
        list: DiscoveryList,
    },
    /// Discovery, whose revisions have begun anew, sends a proxy a complete list of all endpoints that are up.
    SendListBegunAnew {
        /// The proxy.
        proxy: usize,
    },
    /// Discovery reports to a proxy that an endpoint is gone, before any complete list.
    Delist {
        /// The proxy.
        proxy: usize,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Discovery reports to a proxy that the replacement endpoint is ready, before any complete list.
    ListReplacement {
        /// The proxy.
        proxy: usize,
    },
    /// The clock advances by `TICK`.
    TimePasses,
}

/// Content of the disk of a starting proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    /// A snapshot that was just saved.
    FreshSnapshot,
    /// A snapshot with a time in the future, because the wall clock was set back after it was saved.
    FutureSnapshot,
    /// No snapshot.
    Empty,
}

impl DiskState {
    /// The name that counterexamples print.
    fn name(self) -> &'static str {
        match self {
            DiskState::FreshSnapshot => "Saved",
            DiskState::FutureSnapshot => "FromTheFuture",
            DiskState::Empty => "Empty",
        }
    }
}

/// A kind of complete endpoint list from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryList {
    /// All endpoints that are up, most of them warm.
    Warm,
    /// All endpoints that are up, most of them just started.
    Cold,
    /// No endpoint.
    Empty,
}

impl DiscoveryList {
    /// The name that counterexamples print.
    fn name(self) -> &'static str {
        match self {
            DiscoveryList::Warm => "Warm",
            DiscoveryList::Cold => "Cold",
            DiscoveryList::Empty => "Nobody",
        }
    }
}

impl fmt::Display for WarmStartAction {
    /// Formats the action as counterexamples print it. These texts are stable, so they differ from the variants' names.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        use WarmStartAction::*;
        match self {
            TogglePower { proxy, disk } => write!(formatter, "Power({proxy}, {})", disk.name()),
            FinishProbe { proxy, endpoint } => write!(formatter, "Probe({proxy}, {endpoint})"),
            AnswerPeer { asking, answering } => {
                write!(formatter, "Reply {{ to: {asking}, from: {answering} }}")
            }
            ToggleEndpoint(endpoint) => write!(formatter, "Host({endpoint})"),
            SendList { proxy, list } => write!(formatter, "Told({proxy}, {})", list.name()),
            SendListBegunAnew { proxy } => write!(formatter, "Anew({proxy})"),
            Delist { proxy, endpoint } => write!(formatter, "Gone({proxy}, {endpoint})"),
            ListReplacement { proxy } => write!(formatter, "New({proxy})"),
            TimePasses => formatter.write_str("Passes"),
        }
    }
}

/// Ticks after which the endpoint reports of a snapshot with a time in the future have expired: 33 s, 2 s more than
/// `FUTURE_REPORT_EXPIRY`.
const TICKS_UNTIL_FUTURE_REPORT_EXPIRES: usize = 66;

/// Ticks for which clients are admitted at a limited rate: 1.5 s.
const TICKS_OF_LIMITED_ADMISSION: usize = 3;

/// A starting point of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmStartSituation {
    /// The initial state: no proxy is running.
    PowerLoss,
    /// Two proxies have started, one of them with a snapshot. Their discovery timeout is over, and the first queries
    /// its peers.
    AskingPeers,
    /// One proxy has started with a snapshot and has successfully probed endpoint 0.
    EndpointResponsive,
    /// One proxy has started with a snapshot whose time is in the future, and the snapshot's reports have expired.
    FutureReportExpired,
    /// One proxy has reached normal service without discovery, while endpoint 1 is being probed.
    NormalWithoutDiscovery,
    /// One proxy has started with a snapshot and has successfully probed endpoint 0; another one without a snapshot asks
    /// its peers.
    PeerKnowsEndpoint,
}

impl WarmStartSituation {
    /// All situations.
    pub const ALL: [WarmStartSituation; 6] = [
        WarmStartSituation::PowerLoss,
        WarmStartSituation::AskingPeers,
        WarmStartSituation::EndpointResponsive,
        WarmStartSituation::FutureReportExpired,
        WarmStartSituation::NormalWithoutDiscovery,
        WarmStartSituation::PeerKnowsEndpoint,
    ];

    /// The actions that lead to the situation.
    pub fn actions(self) -> Vec<WarmStartAction> {
        use WarmStartAction::TimePasses;
        match self {
            WarmStartSituation::PowerLoss => Vec::new(),
            WarmStartSituation::AskingPeers => vec![
                start(0, DiskState::FreshSnapshot),
                start(1, DiskState::Empty),
                TimePasses,
            ],
            WarmStartSituation::EndpointResponsive => vec![
                start(0, DiskState::FreshSnapshot),
                TimePasses,
                TimePasses,
                finish_probe(0, 0),
            ],
            WarmStartSituation::FutureReportExpired => {
                let mut actions = vec![start(0, DiskState::FutureSnapshot)];
                for _ in 0..TICKS_UNTIL_FUTURE_REPORT_EXPIRES {
                    actions.extend([TimePasses, finish_probe(0, 0), finish_probe(0, 1)]);
                }
                actions
            }
            WarmStartSituation::NormalWithoutDiscovery => {
                let mut actions = WarmStartSituation::EndpointResponsive.actions();
                actions.extend([TimePasses; TICKS_OF_LIMITED_ADMISSION]);
                actions
            }
            WarmStartSituation::PeerKnowsEndpoint => {
                let mut actions = WarmStartSituation::EndpointResponsive.actions();
                actions.extend([start(1, DiskState::Empty), TimePasses]);
                actions
            }
        }
    }
}

fn start(proxy: usize, disk: DiskState) -> WarmStartAction {
    WarmStartAction::TogglePower { proxy, disk }
}

fn finish_probe(proxy: usize, endpoint: EndpointId) -> WarmStartAction {
    WarmStartAction::FinishProbe { proxy, endpoint }
}
