//! What may happen to the proxies and endpoints of a warm start.

use asterramp_warm_start::EndpointId;
use std::fmt;

/// Something that may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmStartAction {
    /// A proxy starts with this disk; one that runs dies.
    TogglePower {
        /// The proxy.
        proxy: usize,
        /// What its disk holds.
        disk: DiskState,
    },
    /// A probe in flight is answered if the endpoint is up, and fails otherwise.
    FinishProbe {
        /// The proxy that probes.
        proxy: usize,
        /// The endpoint that it probes.
        endpoint: EndpointId,
    },
    /// A peer that a proxy has asked answers, or is found not to run.
    AnswerPeer {
        /// The proxy that asked.
        asking: usize,
        /// The peer.
        answering: usize,
    },
    /// An endpoint dies, or comes up.
    ToggleEndpoint(EndpointId),
    /// Discovery sends a proxy a complete list.
    SendList {
        /// The proxy.
        proxy: usize,
        /// The list.
        list: DiscoveryList,
    },
    /// Discovery tells a proxy that an endpoint is gone, before any complete list.
    Delist {
        /// The proxy.
        proxy: usize,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Discovery tells a proxy of the endpoint that has the address of another now.
    ListReplacement {
        /// The proxy.
        proxy: usize,
    },
    /// The clock goes on by one tick of the model.
    TimePasses,
}

/// What the disk of a proxy that starts holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    /// A snapshot that was saved a moment ago.
    FreshSnapshot,
    /// A snapshot from the future: the clock has gone back since.
    FutureSnapshot,
    /// Nothing.
    Empty,
}

impl DiskState {
    /// The name in counterexamples.
    fn name(self) -> &'static str {
        match self {
            DiskState::FreshSnapshot => "Saved",
            DiskState::FutureSnapshot => "FromTheFuture",
            DiskState::Empty => "Empty",
        }
    }
}

/// A complete list of discovery.
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
    /// The name in counterexamples.
    fn name(self) -> &'static str {
        match self {
            DiscoveryList::Warm => "Warm",
            DiscoveryList::Cold => "Cold",
            DiscoveryList::Empty => "Nobody",
        }
    }
}

impl fmt::Display for WarmStartAction {
    /// The action as counterexamples name it.
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
            Delist { proxy, endpoint } => write!(formatter, "Gone({proxy}, {endpoint})"),
            ListReplacement { proxy } => write!(formatter, "New({proxy})"),
            TimePasses => formatter.write_str("Passes"),
        }
    }
}

/// Ticks after which the report of an endpoint in a snapshot from the future has expired: half a minute and some more.
const TICKS_UNTIL_FUTURE_REPORT_EXPIRES: usize = 66;

/// What has happened before an exploration begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmStartSituation {
    /// Nothing: no proxy runs.
    PowerLoss,
    /// Two proxies have started; their wait for discovery is over, and the first asks its peers.
    AskingPeers,
    /// One proxy has probed the first of its endpoints, which has answered.
    EndpointResponsive,
    /// Half a minute has passed over a snapshot from the future.
    FutureReportExpired,
}

impl WarmStartSituation {
    /// All situations.
    pub const ALL: [WarmStartSituation; 4] = [
        WarmStartSituation::PowerLoss,
        WarmStartSituation::AskingPeers,
        WarmStartSituation::EndpointResponsive,
        WarmStartSituation::FutureReportExpired,
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
        }
    }
}

fn start(proxy: usize, disk: DiskState) -> WarmStartAction {
    WarmStartAction::TogglePower { proxy, disk }
}

fn finish_probe(proxy: usize, endpoint: EndpointId) -> WarmStartAction {
    WarmStartAction::FinishProbe { proxy, endpoint }
}
