//! The properties of warm starts that may not hold.

use asterramp_warm_start::EndpointId;
use std::collections::BTreeSet;
use thiserror::Error;

/// A property of warm starts that does not hold.
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
    /// A deadline that was handled is due still.
    #[error("proxy {proxy} is due at once, for ever")]
    DeadlineStaysDue {
        /// The proxy.
        proxy: usize,
    },
    /// Clients are admitted, but there is nowhere to place them.
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
    /// Both endpoints that are said to have one address are used.
    #[error("proxy {proxy} uses two hosts at one address")]
    TwoEndpointsAtOneAddress {
        /// The proxy.
        proxy: usize,
    },
    /// A report with a wrong time does not expire.
    #[error("proxy {proxy} still asks for a host that a wrong clock told of")]
    FutureReportNeverExpires {
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
    /// Other endpoints are used than those that discovery lists.
    #[error("proxy {proxy} uses {used:?} where discovery tells 0 and 1")]
    ListNotFollowed {
        /// The proxy.
        proxy: usize,
        /// The endpoints that are used.
        used: BTreeSet<EndpointId>,
    },
}
