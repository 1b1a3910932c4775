//! Draws faults from a seed, on top of a scenario's own.

use super::SeededRng;
use crate::scenario::{FaultKind, LinkKind, RecoveredPart, Scenario, ScenarioFault};
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Sets the random numbers of chaos apart from all other ones.
const CHAOS_SEED: u64 = 0xc4a0;
/// So many faults, and one more for each of so many seconds.
const LEAST_FAULTS: usize = 4;
const SECONDS_PER_FAULT: f64 = 5.0;
/// How many of each sort of misbehaving clients come.
const MISBEHAVING_CLIENTS: f64 = 3.0;
/// Which share of all clients reconnects.
const RECONNECTING_SHARE: f64 = 0.5;
/// How often connections are half open after a fault of a link.
const HALF_OPEN_SHARE: f64 = 0.5;
/// A link's delay is this part of what other kinds have for a span.
const DELAY_PART: u32 = 10;

/// Kinds that chaos draws from. With all of them a proxy can keep the rules.
const KINDS: [FaultKind; 27] = [
    FaultKind::PlaceLost,
    FaultKind::PlaceSilent,
    FaultKind::PlaceCut,
    FaultKind::LinkDropped,
    FaultKind::LinkReset,
    FaultKind::LinkDelayed,
    FaultKind::ProxyStalls,
    FaultKind::HostSilent,
    FaultKind::HostVanished,
    FaultKind::HostSlow,
    FaultKind::HostStarved,
    FaultKind::HostErring,
    FaultKind::HostMute,
    FaultKind::HostLate,
    FaultKind::HostResets,
    FaultKind::HostDraining,
    FaultKind::HostRestarts,
    FaultKind::ProxyKilled,
    FaultKind::ProxyLeaves,
    FaultKind::ProxyReloads,
    FaultKind::ProxyReplaced,
    FaultKind::ProxyReplacedBadly,
    FaultKind::ProxyDrains,
    FaultKind::DiscoverySilent,
    FaultKind::DiscoveryBabbles,
    FaultKind::ClientsReconnect,
    FaultKind::ClientsBad,
];

/// Draws the faults of a seed.
pub(super) fn draw_faults(scenario: &Scenario, seed: u64) -> Vec<ScenarioFault> {
    let mut random = SeededRng::seed_from_u64(seed ^ CHAOS_SEED);
    let length = scenario.length.as_secs_f64();
    let count = LEAST_FAULTS + (length / SECONDS_PER_FAULT) as usize;
    (0..count)
        .map(|_| draw_fault(scenario, length, &mut random))
        .collect()
}

/// Draws one fault. The order of the draws is part of what a seed means.
fn draw_fault(scenario: &Scenario, length: f64, random: &mut SeededRng) -> ScenarioFault {
    let kind = KINDS[random.random_range(0..KINDS.len())];
    let at = length * (0.1 + 0.6 * random.random::<f64>());
    let lasts = length * (0.1 + 0.2 * random.random::<f64>());
    let much = match kind {
        FaultKind::ClientsBad => MISBEHAVING_CLIENTS,
        FaultKind::ClientsReconnect => RECONNECTING_SHARE,
        _ => 0.05 + 0.3 * random.random::<f64>(),
    };
    let count = random.random_range(1..=(scenario.hosts() / 4).max(1));
    let span = Duration::from_secs_f64(0.2 + random.random::<f64>());
    let half_open = kind.targets_links() && random.random::<f64>() < HALF_OPEN_SHARE;
    ScenarioFault {
        at: Duration::from_secs_f64(at),
        duration: Some(Duration::from_secs_f64(lasts)),
        kind,
        targets: None,
        count: if kind.targets_hosts() { count } else { 1 },
        magnitude: much,
        span: if kind == FaultKind::LinkDelayed {
            span / DELAY_PART
        } else {
            span
        },
        link_kind: LinkKind::default(),
        to_hosts: None,
        half_open,
        recovered_part: RecoveredPart::default(),
    }
}
