//! State and safety properties of the zone-failover model: the servers of three zones, and one proxy's observations of
//! them.

use super::action::ZoneAction;
use super::settings::{
    SERVER_COUNT, SETTINGS, START_TIME, TICK, ZONE_COUNT, ZONE_OF_SERVER, servers_in_zone,
};
use super::violation::ZoneViolation;
#[cfg(feature = "injected-faults")]
use asterramp_zone_failover::InjectedFault;
use asterramp_zone_failover::{ServerId, ServerState, ZoneEffect, ZoneFailover, ZoneId, ZoneState};
use std::time::Duration;

/// Servers that must have failed since their zone's last response before the zone may be closed; all of its servers if
/// it has fewer.
const MIN_FAILED_SERVERS: u8 = 3;
/// A zone that is closed again within this time after its previous closing must be held down before it is reopened.
const REPEATED_LOSS_WINDOW: Duration = Duration::from_secs(20);
/// Most probes that may follow from one action. More of them are reported as an endless loop of probes.
const MAX_PROBES_PER_ACTION: usize = 4 * ZONE_COUNT;
/// A recovering zone's share, as a fraction of its regular traffic, must not rise from below `RAMP_LOW_SHARE` to above
/// `RAMP_HIGH_SHARE` in one change.
const RAMP_LOW_SHARE: f64 = 0.2;
const RAMP_HIGH_SHARE: f64 = 0.4;

/// A server of the model.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneServer {
    /// Whether the server is up and answers requests and probes.
    pub(super) responds: bool,
    /// Whether the server is counted in its zone's `failed_servers`.
    has_failed: bool,
}

/// The proxy's observations of one zone, and the decisions made about it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedZone {
    pub(super) is_listed: bool,
    /// Servers of the zone that failed since its last response.
    failed_servers: u8,
    /// When a server of the zone last responded.
    last_response: Duration,
    /// When the first failure in `failed_servers` was observed.
    first_failure: Duration,
    /// The fraction of its regular traffic that the zone gets, from 0 (closed) to 1.
    share: f64,
    /// When the zone was last closed; `None` if it never was.
    closed_at: Option<Duration>,
    /// Closings in a row, each within `REPEATED_LOSS_WINDOW` of the one before.
    consecutive_losses: u32,
}

/// State of the model: one proxy with eight servers in three zones.
#[derive(Clone, Debug)]
pub struct ZoneFailoverModel {
    failover: ZoneFailover,
    now: Duration,
    pub(super) servers: [ZoneServer; SERVER_COUNT],
    pub(super) zones: [ObservedZone; ZONE_COUNT],
    /// Probes that the current action has caused.
    probes: usize,
    /// The first violation by the current action.
    violation: Option<ZoneViolation>,
}

impl Default for ZoneFailoverModel {
    fn default() -> Self {
        ZoneFailoverModel::new()
    }
}

impl ZoneFailoverModel {
    /// The initial state: all servers are listed and have responded.
    pub fn new() -> ZoneFailoverModel {
        ZoneFailoverModel::with_failover(ZoneFailover::new(SETTINGS, ZONE_COUNT))
    }

    /// As [`ZoneFailoverModel::new`], with a fault injected into the production code.
    #[cfg(feature = "injected-faults")]
    pub fn with_fault(injected_fault: InjectedFault) -> ZoneFailoverModel {
        let mut failover = ZoneFailover::new(SETTINGS, ZONE_COUNT);
        failover.injected_fault = Some(injected_fault);
        ZoneFailoverModel::with_failover(failover)
    }

    fn with_failover(mut failover: ZoneFailover) -> ZoneFailoverModel {
        for (server, zone) in (0..).zip(ZONE_OF_SERVER) {
            failover.server_listed(START_TIME, server, zone, ServerState::Ready, None);
            failover.server_responded(START_TIME, server);
        }
        failover.drain_effects();
        let server = ZoneServer {
            responds: true,
            has_failed: false,
        };
        let zone = ObservedZone {
            is_listed: true,
            failed_servers: 0,
            last_response: START_TIME,
            first_failure: START_TIME,
            share: 1.0,
            closed_at: None,
            consecutive_losses: 0,
        };
        ZoneFailoverModel {
            failover,
            now: START_TIME,
            servers: [server; SERVER_COUNT],
            zones: [zone; ZONE_COUNT],
            probes: 0,
            violation: None,
        }
    }

    /// Applies an action. Of the properties, only those of its effects are checked.
    pub(super) fn perform(&mut self, action: ZoneAction) {
        self.probes = 0;
        match action {
            ZoneAction::Contact(server) => self.contact(server),
            ZoneAction::ToggleZone(zone) => self.toggle_zone(zone),
            ZoneAction::ToggleServer(server) => self.servers[server as usize].responds ^= true,
            ZoneAction::ToggleListing(zone) => self.toggle_listing(zone),
            ZoneAction::TimePasses => {
                self.now += TICK;
                self.failover.tick(self.now);
                self.carry_out_effects();
            }
        }
    }

    fn toggle_zone(&mut self, zone: ZoneId) {
        let any_responds = servers_in_zone(zone).any(|server| self.servers[server].responds);
        servers_in_zone(zone).for_each(|server| self.servers[server].responds = !any_responds);
    }

    fn toggle_listing(&mut self, zone: ZoneId) {
        let is_listed = !self.zones[usize::from(zone)].is_listed;
        self.zones[usize::from(zone)].is_listed = is_listed;
        let (state, started_at) = if is_listed {
            (ServerState::Ready, Some(self.now))
        } else {
            (ServerState::Gone, None)
        };
        for server in servers_in_zone(zone) {
            self.servers[server].has_failed = false;
            self.failover
                .server_listed(self.now, server as ServerId, zone, state, started_at);
        }
        self.failover.discovery_responded(self.now);
        self.carry_out_effects();
    }

    /// The proxy sends a request to a server and observes whether it responds.
    pub(super) fn contact(&mut self, server: ServerId) {
        if self.servers[server as usize].responds {
            self.observe_response(server as usize);
            self.failover.server_responded(self.now, server);
        } else {
            self.observe_failure(server as usize);
            self.failover.server_failed(self.now, server);
        }
        self.carry_out_effects();
    }

    fn observe_response(&mut self, server: usize) {
        self.servers[server].has_failed = false;
        let zone = &mut self.zones[usize::from(ZONE_OF_SERVER[server])];
        zone.failed_servers = 0;
        zone.last_response = self.now;
    }

    fn observe_failure(&mut self, server: usize) {
        let zone_id = ZONE_OF_SERVER[server];
        let zone = &mut self.zones[usize::from(zone_id)];
        if zone.failed_servers == 0 {
            // Failures before the zone's last response are no longer counted.
            zone.first_failure = self.now;
            servers_in_zone(zone_id).for_each(|other| self.servers[other].has_failed = false);
        }
        zone.failed_servers += u8::from(!self.servers[server].has_failed);
        self.servers[server].has_failed = true;
    }

    /// Carries out the effects that the production code has requested. Probes complete within the same action.
    fn carry_out_effects(&mut self) {
        let effects: Vec<ZoneEffect> = self.failover.drain_effects().collect();
        let mut probed = Vec::new();
        for effect in effects {
            match effect {
                ZoneEffect::SetShare { zone, share } => self.set_share(zone, share),
                ZoneEffect::Probe { server } => probed.push(server),
                ZoneEffect::StateChanged { .. } => {}
            }
        }
        self.probes += probed.len();
        if self.probes > MAX_PROBES_PER_ACTION {
            let probes = self.probes;
            return self.record_violation(ZoneViolation::TooManyProbes { probes });
        }
        probed.into_iter().for_each(|server| self.contact(server));
    }

    fn set_share(&mut self, zone_id: ZoneId, share: f64) {
        let zone = &mut self.zones[usize::from(zone_id)];
        let before = std::mem::replace(&mut zone.share, share);
        let state = self.zone_state(usize::from(zone_id));
        if share <= 0.0 {
            self.record_closing(zone_id);
        } else if before <= 0.0 {
            self.check_hold_down(zone_id);
        } else if before < RAMP_LOW_SHARE && share > RAMP_HIGH_SHARE && state == ZoneState::Healthy
        {
            self.record_violation(ZoneViolation::ShareRampTooSteep {
                zone: zone_id,
                before,
                after: share,
            });
        }
    }

    /// Checks the evidence on which a zone is closed, and records the closing.
    fn record_closing(&mut self, zone_id: ZoneId) {
        let zone = self.zones[usize::from(zone_id)];
        let servers = servers_in_zone(zone_id).count() as u8;
        if zone.failed_servers < servers.min(MIN_FAILED_SERVERS) {
            self.record_violation(ZoneViolation::ClosedTooEarly {
                zone: zone_id,
                failed_servers: zone.failed_servers,
            });
        }
        let no_other_responded = self
            .other_zones(zone_id)
            .all(|other| other.last_response < zone.first_failure);
        if no_other_responded {
            self.record_violation(ZoneViolation::ClosedWhileDisconnected { zone: zone_id });
        }
        let is_lost_again = zone
            .closed_at
            .is_some_and(|closed_at| self.now < closed_at + REPEATED_LOSS_WINDOW);
        let zone = &mut self.zones[usize::from(zone_id)];
        zone.consecutive_losses = if is_lost_again {
            zone.consecutive_losses + 1
        } else {
            1
        };
        zone.closed_at = Some(self.now);
    }

    /// Checks that a zone that has just been reopened was not in its hold-down.
    fn check_hold_down(&mut self, zone_id: ZoneId) {
        let zone = self.zones[usize::from(zone_id)];
        let hold_down = if zone.consecutive_losses > 1 {
            SETTINGS.hold_down
        } else {
            Duration::ZERO
        };
        let is_held_down = zone
            .closed_at
            .is_some_and(|closed_at| self.now < closed_at + hold_down);
        // If no other zone is open, the zone is reopened despite its hold-down.
        let is_last = self
            .other_zones(zone_id)
            .all(|other| !other.is_listed || other.share <= 0.0);
        if is_held_down && !is_last && zone.share < 1.0 {
            self.record_violation(ZoneViolation::OpenedDuringHoldDown { zone: zone_id });
        }
    }

    fn other_zones(&self, zone: ZoneId) -> impl Iterator<Item = &ObservedZone> {
        let zones = self.zones.iter().enumerate();
        let others = zones.filter(move |(other, _)| *other != usize::from(zone));
        others.map(|(_, zone)| zone)
    }

    fn record_violation(&mut self, violation: ZoneViolation) {
        self.violation.get_or_insert(violation);
    }

    pub(super) fn zone_state(&self, zone: usize) -> ZoneState {
        self.failover.zones()[zone].state
    }

    /// Checked after each action: not all listed zones are closed, and healthy zones get all of their traffic.
    fn check_zones(&self) -> Result<(), ZoneViolation> {
        let mut listed = (0..ZONE_COUNT).filter(|zone| self.zones[*zone].is_listed);
        let any_listed = self.zones.iter().any(|zone| zone.is_listed);
        if any_listed && listed.all(|zone| self.zone_state(zone).is_closed()) {
            return Err(ZoneViolation::AllZonesClosed);
        }
        for (zone, observed) in self.zones.iter().enumerate() {
            if self.zone_state(zone) == ZoneState::Healthy && observed.share < 1.0 {
                return Err(ZoneViolation::HealthyWithoutShare {
                    zone: zone as ZoneId,
                    share: observed.share,
                });
            }
        }
        Ok(())
    }

    /// Applies an action and checks the safety properties.
    pub(super) fn apply_and_check(&mut self, action: ZoneAction) -> Result<(), ZoneViolation> {
        self.perform(action);
        self.check_zones()?;
        self.violation.take().map_or(Ok(()), Err)
    }

    /// The actions that are possible in this state.
    pub(super) fn possible_actions(&self) -> Vec<ZoneAction> {
        let is_listed = |server: &usize| self.zones[usize::from(ZONE_OF_SERVER[*server])].is_listed;
        let listed_servers = (0..SERVER_COUNT).filter(is_listed);
        let contacts = listed_servers.map(|server| ZoneAction::Contact(server as ServerId));
        let zone_actions = (0..ZONE_COUNT as ZoneId).flat_map(|zone| {
            [
                ZoneAction::ToggleZone(zone),
                ZoneAction::ToggleListing(zone),
            ]
        });
        // Only server 0 fails alone: servers of a zone are alike, so it represents the others.
        let other_actions = [ZoneAction::ToggleServer(0), ZoneAction::TimePasses];
        contacts.chain(zone_actions).chain(other_actions).collect()
    }

    /// Text that is equal for states with the same future behaviour. Times are relative to now.
    pub(super) fn fingerprint_text(&self) -> String {
        let age = |at: Duration| (self.now - at).as_millis();
        let zones = self.zones.map(|zone| {
            let observed = (zone.is_listed, zone.failed_servers);
            let decided = (zone.share, zone.consecutive_losses, zone.closed_at.map(age));
            let ages = (age(zone.last_response), age(zone.first_failure));
            (observed, decided, ages)
        });
        let servers = self
            .servers
            .map(|server| (server.responds, server.has_failed));
        let decisions = self.failover.state_key(self.now);
        format!("{decisions}{zones:?}{servers:?}")
    }
}
