//! Draws the random faults of a chaos run, which are added to those of the scenario.

use super::SeededRng;
use crate::scenario::{FaultKind, LinkKind, RecoveredPart, Scenario, ScenarioFault};
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// XORed into the chaos seed, so that its draws are independent of all other ones.
const CHAOS_SEED: u64 = 0xc4a0;
/// The number of faults in any run; longer runs have one more for every [`SECONDS_PER_FAULT`].
const MIN_FAULTS: usize = 4;
/// Run time for which one more fault than [`MIN_FAULTS`] is drawn, in seconds.
const SECONDS_PER_FAULT: f64 = 5.0;
/// How many misbehaving clients of each kind a `clients-bad` fault starts.
const MISBEHAVING_CLIENTS: f64 = 3.0;
/// The share of connected clients that a `clients-reconnect` fault makes reconnect.
const RECONNECTING_SHARE: f64 = 0.5;
/// The probability that a fault of a link leaves connections half open.
const HALF_OPEN_SHARE: f64 = 0.5;
/// The span of `link-delayed` is drawn like that of other kinds, and divided by this: the span is its added delay.
const LINK_DELAY_DIVISOR: u32 = 10;

/// The kinds that chaos draws from. A proxy can keep all rules under each of them.
const CHAOS_KINDS: [FaultKind; 27] = [
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

/// Draws the faults of a chaos seed.
pub(super) fn draw_faults(scenario: &Scenario, seed: u64) -> Vec<ScenarioFault> {
    let mut random = SeededRng::seed_from_u64(seed ^ CHAOS_SEED);
    let length = scenario.length.as_secs_f64();
    let count = MIN_FAULTS + (length / SECONDS_PER_FAULT) as usize;
    (0..count)
        .map(|_| draw_fault(scenario, length, &mut random))
        .collect()
}

/// Draws one fault that begins after 10 % to 70 % of the run and lasts 10 % to 30 % of it. The order of the draws must
/// not change: a seed has to keep its plan.
fn draw_fault(scenario: &Scenario, length: f64, random: &mut SeededRng) -> ScenarioFault {
    let kind = CHAOS_KINDS[random.random_range(0..CHAOS_KINDS.len())];
    let at = length * (0.1 + 0.6 * random.random::<f64>());
    let duration = length * (0.1 + 0.2 * random.random::<f64>());
    let magnitude = match kind {
        FaultKind::ClientsBad => MISBEHAVING_CLIENTS,
        FaultKind::ClientsReconnect => RECONNECTING_SHARE,
        _ => 0.05 + 0.3 * random.random::<f64>(),
    };
    let count = random.random_range(1..=(scenario.hosts() / 4).max(1));
    let span = Duration::from_secs_f64(0.2 + random.random::<f64>());
    let half_open = kind.targets_links() && random.random::<f64>() < HALF_OPEN_SHARE;
    ScenarioFault {
        at: Duration::from_secs_f64(at),
        duration: Some(Duration::from_secs_f64(duration)),
        kind,
        targets: None,
        count: if kind.targets_hosts() { count } else { 1 },
        magnitude,
        span: if kind == FaultKind::LinkDelayed {
            span / LINK_DELAY_DIVISOR
        } else {
            span
        },
        link_kind: LinkKind::default(),
        to_hosts: None,
        half_open,
        recovered_part: RecoveredPart::default(),
    }
}
