//! Settings of a warm start.

use std::time::Duration;

/// Timeouts and limits of a warm start, from the operator's file and the proxy's resource limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmStartSettings {
    /// How long a warm start waits for discovery's list before it asks peers.
    pub discovery_timeout: Duration,
    /// How long it waits for the answers of peers before it probes endpoints.
    pub peer_timeout: Duration,
    /// How long it waits for the first endpoint to answer a probe before it asks peers again. This wait is repeated until
    /// an endpoint answers.
    pub probe_timeout: Duration,
    /// How long clients are admitted at a limited rate; should be the time that an endpoint takes to warm up.
    pub limited_admission_duration: Duration,
    /// Whether there are peers to ask; if not, the stage that asks them is skipped.
    pub has_peers: bool,
    /// Most probes in flight at once; must be at least 1.
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
