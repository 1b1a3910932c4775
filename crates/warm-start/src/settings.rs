//! Settings of a warm start.

use std::time::Duration;

/// Timeouts and limits of a warm start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmStartSettings {
    /// How long discovery is waited for at first.
    pub discovery_timeout: Duration,
    /// How long the answers of peers are waited for.
    pub peer_timeout: Duration,
    /// How long the first endpoint is waited for before peers are asked again; repeated until one answers.
    pub probe_timeout: Duration,
    /// How long clients are admitted at a limited rate: as long as an endpoint that just started warms up.
    pub limited_admission_duration: Duration,
    /// Whether there are peers to ask.
    pub has_peers: bool,
    /// Most probes in flight at once; at least 1.
    pub max_probes: usize,
}

impl Default for WarmStartSettings {
    fn default() -> Self {
        WarmStartSettings {
            discovery_timeout: Duration::from_millis(500),
            peer_timeout: Duration::from_millis(500),
            probe_timeout: Duration::from_secs(2),
            limited_admission_duration: Duration::from_secs(9),
            has_peers: false,
            max_probes: 32,
        }
    }
}
