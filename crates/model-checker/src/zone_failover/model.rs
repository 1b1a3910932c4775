//! The servers of three zones, and what a proxy has observed of them.

use super::action::ZoneAction;
use super::settings::{
    SERVER_COUNT, SETTINGS, START_TIME, TICK, ZONE_COUNT, ZONE_OF_SERVER, servers_in_zone,
};
use super::violation::ZoneViolation;
#[cfg(feature = "injected-faults")]
use asterramp_zone_failover::InjectedFault;
use asterramp_zone_failover::{ServerId, ServerState, ZoneEffect, ZoneFailover, ZoneId, ZoneState};
use std::time::Duration;

/// Servers that must have failed before their zone is closed, or all of them if it has fewer.
const MIN_FAILURE_SIGNS: u8 = 3;
/// A zone that is lost within this time of an earlier loss must be held down.
const LOST_AGAIN_WITHIN: Duration = Duration::from_secs(20);
/// More probes than this in one action suggest that they never end.
const MAX_PROBES_PER_ACTION: usize = 4 * ZONE_COUNT;
/// A recovering zone whose share is below `LOW_SHARE` may not come above `HIGH_SHARE` at once.
const LOW_SHARE: f64 = 0.2;
const HIGH_SHARE: f64 = 0.4;

/// One server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneServer {
    pub(super) responds: bool,
    /// Whether it is one of its zone's failure signs.
    has_failed: bool,
}

/// What the proxy has observed of one zone, and what was decided of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedZone {
    pub(super) is_listed: bool,
    /// Servers that failed since its last response.
    failure_signs: u8,
    last_response: Duration,
    /// When the first of `failure_signs` came.
    first_failure: Duration,
    /// The share of its traffic that it gets.
    share: f64,
    closed_at: Option<Duration>,
    /// Losses in a row, each soon after the one before.
    losses: u32,
}

/// Zone failover of one proxy with eight servers.
#[derive(Clone, Debug)]
pub struct ZoneFailoverModel {
    failover: ZoneFailover,
    now: Duration,
    pub(super) servers: [ZoneServer; SERVER_COUNT],
    pub(super) zones: [ObservedZone; ZONE_COUNT],
    /// Probes that the present action has led to.
    probes: usize,
    /// The first violation of the present action.
    violation: Option<ZoneViolation>,
}

impl Default for ZoneFailoverModel {
    fn default() -> Self {
        ZoneFailoverModel::new()
    }
}

impl ZoneFailoverModel {
    /// All servers are listed and have responded.
    pub fn new() -> ZoneFailoverModel {
        ZoneFailoverModel::with_failover(ZoneFailover::new(SETTINGS, ZONE_COUNT))
    }

    /// The same with a fault in the code that decides.
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
            failure_signs: 0,
            last_response: START_TIME,
            first_failure: START_TIME,
            share: 1.0,
            closed_at: None,
            losses: 0,
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

    /// Lets an action happen, without any check but those of the effects.
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

    /// The proxy sends something to a server, and observes whether it responds.
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
        zone.failure_signs = 0;
        zone.last_response = self.now;
    }

    fn observe_failure(&mut self, server: usize) {
        let zone_id = ZONE_OF_SERVER[server];
        let zone = &mut self.zones[usize::from(zone_id)];
        if zone.failure_signs == 0 {
            // Failures before the zone's last response do not count any more.
            zone.first_failure = self.now;
            servers_in_zone(zone_id).for_each(|other| self.servers[other].has_failed = false);
        }
        zone.failure_signs += u8::from(!self.servers[server].has_failed);
        self.servers[server].has_failed = true;
    }

    /// Does what was decided. Probes end within the action.
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
            return self.violate(ZoneViolation::TooManyProbes { probes });
        }
        probed.into_iter().for_each(|server| self.contact(server));
    }

    fn set_share(&mut self, zone_id: ZoneId, share: f64) {
        let zone = &mut self.zones[usize::from(zone_id)];
        let before = std::mem::replace(&mut zone.share, share);
        let state = self.zone_state(usize::from(zone_id));
        if share <= 0.0 {
            self.close(zone_id);
        } else if before <= 0.0 {
            self.check_hold_down(zone_id);
        } else if before < LOW_SHARE && share > HIGH_SHARE && state == ZoneState::Healthy {
            self.violate(ZoneViolation::ShareRampTooSteep {
                zone: zone_id,
                before,
                after: share,
            });
        }
    }

    fn close(&mut self, zone_id: ZoneId) {
        let zone = self.zones[usize::from(zone_id)];
        let servers = servers_in_zone(zone_id).count() as u8;
        if zone.failure_signs < servers.min(MIN_FAILURE_SIGNS) {
            self.violate(ZoneViolation::ClosedTooEarly {
                zone: zone_id,
                failure_signs: zone.failure_signs,
            });
        }
        let no_other_responded = self
            .other_zones(zone_id)
            .all(|other| other.last_response < zone.first_failure);
        if no_other_responded {
            self.violate(ZoneViolation::ClosedWhileDisconnected { zone: zone_id });
        }
        let is_lost_again = zone
            .closed_at
            .is_some_and(|closed_at| self.now < closed_at + LOST_AGAIN_WITHIN);
        let zone = &mut self.zones[usize::from(zone_id)];
        zone.losses = if is_lost_again { zone.losses + 1 } else { 1 };
        zone.closed_at = Some(self.now);
    }

    /// What must hold of a zone that has just been opened again.
    fn check_hold_down(&mut self, zone_id: ZoneId) {
        let zone = self.zones[usize::from(zone_id)];
        let hold_down = if zone.losses > 1 {
            SETTINGS.hold_down
        } else {
            Duration::ZERO
        };
        let is_held_down = zone
            .closed_at
            .is_some_and(|closed_at| self.now < closed_at + hold_down);
        // The last zone is opened in any case.
        let is_last = self
            .other_zones(zone_id)
            .all(|other| !other.is_listed || other.share <= 0.0);
        if is_held_down && !is_last && zone.share < 1.0 {
            self.violate(ZoneViolation::OpenedDuringHoldDown { zone: zone_id });
        }
    }

    fn other_zones(&self, zone: ZoneId) -> impl Iterator<Item = &ObservedZone> {
        let zones = self.zones.iter().enumerate();
        let others = zones.filter(move |(other, _)| *other != usize::from(zone));
        others.map(|(_, zone)| zone)
    }

    fn violate(&mut self, violation: ZoneViolation) {
        self.violation.get_or_insert(violation);
    }

    pub(super) fn zone_state(&self, zone: usize) -> ZoneState {
        self.failover.zones()[zone].state
    }

    /// What must hold after each action.
    fn check_zones(&self) -> Result<(), ZoneViolation> {
        let mut listed = (0..ZONE_COUNT).filter(|zone| self.zones[*zone].is_listed);
        let any_listed = self.zones.iter().any(|zone| zone.is_listed);
        if any_listed && listed.all(|zone| self.zone_state(zone).is_closed()) {
            return Err(ZoneViolation::AllZonesClosed);
        }
        for (zone, model) in self.zones.iter().enumerate() {
            if self.zone_state(zone) == ZoneState::Healthy && model.share < 1.0 {
                return Err(ZoneViolation::HealthyWithoutShare {
                    zone: zone as ZoneId,
                    share: model.share,
                });
            }
        }
        Ok(())
    }

    /// Lets an action happen, and checks what must hold then.
    pub(super) fn apply_and_check(&mut self, action: ZoneAction) -> Result<(), ZoneViolation> {
        self.perform(action);
        self.check_zones()?;
        self.violation.take().map_or(Ok(()), Err)
    }

    /// All that may happen next.
    pub(super) fn possible_actions(&self) -> Vec<ZoneAction> {
        let is_listed = |server: &usize| self.zones[usize::from(ZONE_OF_SERVER[*server])].is_listed;
        let listed_servers = (0..SERVER_COUNT).filter(is_listed);
        let contacts = listed_servers.map(|server| ZoneAction::Contact(server as ServerId));
        let of_zones = (0..ZONE_COUNT as ZoneId).flat_map(|zone| {
            [
                ZoneAction::ToggleZone(zone),
                ZoneAction::ToggleListing(zone),
            ]
        });
        // Only one server fails alone, which stands for the others of its zone.
        let others = [ZoneAction::ToggleServer(0), ZoneAction::TimePasses];
        contacts.chain(of_zones).chain(others).collect()
    }

    /// Equal for models that behave alike.
    pub(super) fn fingerprint_text(&self) -> String {
        let age = |at: Duration| (self.now - at).as_millis();
        let zones = self.zones.map(|zone| {
            let observed = (zone.is_listed, zone.failure_signs);
            let decided = (zone.share, zone.losses, zone.closed_at.map(age));
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
