//! Violations of the properties of warm start.

use asterramp_warm_start::EndpointId;
use std::collections::BTreeSet;
use thiserror::Error;

/// A violated property of warm start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WarmStartViolation {
    /// Sessions may be placed on an endpoint that neither answered this process nor was listed.
    #[error("proxy {proxy} uses host {endpoint}, which has not answered it")]
    UnverifiedEndpointUsed {
        /// The proxy.
        proxy: usize,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// All clients are admitted before the endpoints have had time to warm up.
    #[error("proxy {proxy} lets all in at once")]
    AdmissionUnlimited {
        /// The proxy.
        proxy: usize,
    },
    /// A deadline is still due after it was handled.
    #[error("proxy {proxy} is due at once, for ever")]
    DeadlineStaysDue {
        /// The proxy.
        proxy: usize,
    },
    /// Clients are admitted, but there is no endpoint to place their sessions on.
    #[error("proxy {proxy} lets clients in, and has no host")]
    AdmissionWithoutEndpoint {
        /// The proxy.
        proxy: usize,
    },
    /// All clients are admitted before the warm start is over.
    #[error("proxy {proxy} is open while it is {stage}")]
    OpenDuringWarmStart {
        /// The proxy.
        proxy: usize,
        /// Its stage.
        stage: &'static str,
    },
    /// Sessions may be placed on both endpoints that are listed with the same address, of which at most one is up.
    #[error("proxy {proxy} uses two hosts at one address")]
    TwoEndpointsAtOneAddress {
        /// The proxy.
        proxy: usize,
    },
    /// An endpoint report with a time in the future does not expire.
    #[error("proxy {proxy} still asks for a host that a wrong clock told of")]
    FutureReportNeverExpires {
        /// The proxy.
        proxy: usize,
    },
    /// The start is over, and a list that was outdated during it has neither been replaced nor requested again.
    #[error("proxy {proxy} keeps a list that was older than its own")]
    OutdatedListKept {
        /// The proxy.
        proxy: usize,
    },
    /// A start that knows an endpoint does not end in normal service.
    #[error("proxy {proxy} stays {stage}")]
    NeverNormal {
        /// The proxy.
        proxy: usize,
        /// The stage in which it stays.
        stage: &'static str,
    },
    /// The endpoints that sessions may be placed on differ from those that discovery lists.
    #[error("proxy {proxy} uses {used:?} where discovery tells 0 and 1")]
    ListNotFollowed {
        /// The proxy.
        proxy: usize,
        /// The endpoints that sessions may be placed on.
        used: BTreeSet<EndpointId>,
    },
}
