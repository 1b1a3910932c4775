//! All zones of a deployment: handles inputs and timers, and performs the actions of each zone's state machine.

use crate::evidence::{ListingChange, ServerTable, ZoneEvidence};
use crate::state::{ZoneAction, transition};
use crate::zone::{LOSS_HISTORY_WINDOW, RAMP_STEPS, Zone};
use crate::{ServerId, ServerState, ZoneFailoverSettings, ZoneId, ZoneInput, ZoneState};
use asterramp_injected_faults::is_injected;
use std::time::Duration;

/// Unresponsive servers from which a zone is suspected, or all of its servers if it has fewer.
const SUSPICION_THRESHOLD: usize = 2;
/// Fewest unresponsive servers from which a zone is declared lost, or all of its servers if it has fewer.
const MIN_LOSS_THRESHOLD: usize = 3;
/// A large zone is declared lost if one in this many of its ready servers is unresponsive.
const LOSS_THRESHOLD_DIVISOR: usize = 4;
/// Servers probed at once when a zone is suspected.
const SUSPICION_PROBES: usize = 4;
/// Most unresponsive servers that a loss requires: the probes of a suspicion show no more.
const MAX_LOSS_THRESHOLD: usize = SUSPICION_THRESHOLD + SUSPICION_PROBES;

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneEffect {
    /// Send the zone this share of its normal traffic.
    SetShare {
        /// The zone.
        zone: ZoneId,
        /// 0 while it is closed, 1 while it is in full use.
        share: f64,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Log that a zone's state changed.
    StateChanged {
        /// The zone.
        zone: ZoneId,
        /// Its new state.
        state: ZoneState,
        /// The input that caused the change.
        cause: ZoneInput,
    },
}

/// All zones of a deployment as one proxy sees them. Takes constant memory for each zone and server.
#[derive(Clone, Debug, Default)]
pub struct ZoneFailover {
    settings: ZoneFailoverSettings,
    zones: Vec<Zone>,
    servers: ServerTable,
    effects: Vec<ZoneEffect>,
    /// When this proxy last got the first response after it had been disconnected itself.
    reconnected_at: Option<Duration>,
    /// The fault that the model checker injects; `None` for none.
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<crate::InjectedFault>,
}

impl ZoneFailover {
    /// Starts with `zone_count` healthy zones and no known server.
    pub fn new(settings: ZoneFailoverSettings, zone_count: usize) -> ZoneFailover {
        ZoneFailover {
            settings,
            zones: vec![Zone::default(); zone_count],
            ..ZoneFailover::default()
        }
    }

    /// All zones, by index.
    pub fn zones(&self) -> &[Zone] {
        &self.zones
    }

    /// Whether clients of a closed or recovering zone may be reconnecting to other zones, so that capacity may be short.
    pub fn is_capacity_short(&self, now: Duration) -> bool {
        self.zones.iter().any(|zone| zone.displaces_clients(now))
    }

    /// Replaces the settings. Timers that are already running are not changed.
    pub fn set_settings(&mut self, settings: ZoneFailoverSettings) {
        self.settings = settings;
    }

    /// The whole state as text, with times relative to `now`: two values with equal keys make the same decisions from then
    /// on. The model checker uses it to recognise states that it has already explored.
    pub fn state_key(&self, now: Duration) -> String {
        let age = |at: Duration| now.saturating_sub(at).min(LOSS_HISTORY_WINDOW).as_millis();
        let remaining = |at: Duration| at.saturating_sub(now).as_millis();
        let mut key = format!("{:?}", self.reconnected_at.map(age));
        for zone in &self.zones {
            let last_response = zone.last_response.map(age);
            let timer = zone.timer.map(remaining);
            let spans = (
                age(zone.state_since),
                age(zone.first_failure),
                remaining(zone.held_down_until),
                age(zone.in_use_since),
            );
            let counts = (zone.ramp_step, zone.recent_losses, zone.was_unlisted);
            key += &format!(
                "{:?}{last_response:?}{timer:?}{spans:?}{counts:?}",
                zone.state
            );
        }
        for server in self.servers.records() {
            let first_failure = server.first_failure.map(age);
            let last_probe = age(server.last_probe);
            key += &format!(
                "{:?}{:?}{first_failure:?}{last_probe}",
                server.state, server.started_at
            );
        }
        key
    }

    /// Removes and returns the effects of the inputs so far, in order.
    pub fn drain_effects(&mut self) -> std::vec::Drain<'_, ZoneEffect> {
        self.effects.drain(..)
    }

    /// Discovery lists a server. A server that is ready again or was restarted may open its zone, as a response may. A
    /// server whose zone is not in the deployment is ignored. `started_at` is when the server's process started, if known.
    pub fn server_listed(
        &mut self,
        now: Duration,
        server: ServerId,
        zone: ZoneId,
        state: ServerState,
        started_at: Option<Duration>,
    ) {
        if usize::from(zone) >= self.zones.len() {
            return;
        }
        match self.servers.update(server, zone, state, started_at) {
            ListingChange::ReadyAgain => {
                self.apply_unless_held_down(now, zone, ZoneInput::ServerListedAgain);
            }
            ListingChange::Removed if self.servers.all_gone(zone) => {
                self.zone_mut(zone).was_unlisted = true;
                self.apply(now, zone, ZoneInput::AllServersGone);
            }
            ListingChange::Removed | ListingChange::Other => {}
        }
        self.ensure_zone_in_use(now);
    }

    /// Discovery sent an update, so its list is current. A zone that has been lost for the discovery delay and still has
    /// servers listed as ready becomes partitioned.
    pub fn discovery_responded(&mut self, now: Duration) {
        for id in self.zone_ids() {
            let zone = self.zone(id);
            let removal_is_overdue = zone.state == ZoneState::Lost
                && !zone.was_unlisted
                && now >= zone.first_failure + self.settings.discovery_delay;
            if removal_is_overdue && self.servers.any_ready(id) {
                self.apply(now, id, ZoneInput::ServersStillListed);
            }
        }
    }

    /// A server did not respond in time, or refused the connection.
    pub fn server_failed(&mut self, now: Duration, server: ServerId) {
        // A request that was in flight while this proxy was disconnected itself is no evidence against its server.
        let was_disconnected = self
            .reconnected_at
            .is_some_and(|at| now < at + self.settings.in_flight_timeout);
        if was_disconnected {
            return;
        }
        let zones = &self.zones;
        let last_response_of = |zone: ZoneId| zones[usize::from(zone)].last_response;
        if let Some(zone) = self.servers.record_failure(now, server, last_response_of) {
            self.evaluate_evidence(now, zone);
        }
    }

    /// A server sent a response of any kind.
    pub fn server_responded(&mut self, now: Duration, server: ServerId) {
        let Some(record) = self.servers.get_mut(server) else {
            return;
        };
        record.first_failure = None;
        let Some(id) = record.zone else {
            return;
        };
        let response_is_forgotten = is_injected!(self, ResponseForgotten);
        let zone = self.zone_mut(id);
        let was_suspected = zone.state == ZoneState::Suspected;
        if !response_is_forgotten {
            zone.last_response = Some(now);
        }
        let may_reopen = zone.state.is_closed() && !zone.is_held_down(now);
        if may_reopen && zone.probes <= 1 && !zone.was_unlisted {
            zone.false_alarms += 1;
        }
        self.apply_unless_held_down(now, id, ZoneInput::Response);
        if was_suspected {
            // No zone responded until now, so this proxy was disconnected and the failures that it saw are no evidence.
            self.reconnected_at = Some(now);
            self.servers.forget_failures_outside(id);
            return;
        }
        self.reevaluate_suspected_zones(now);
    }

    /// Evaluates the zones that may be lost again, after a response showed that this proxy is connected: without one, none
    /// of them could be declared lost.
    fn reevaluate_suspected_zones(&mut self, now: Duration) {
        for id in self.zone_ids() {
            let state = self.zone(id).state;
            let may_be_lost = matches!(state, ZoneState::Suspected | ZoneState::Recovering);
            if may_be_lost && !is_injected!(self, SuspectsNotWeighedAgain) {
                self.evaluate_evidence(now, id);
            }
        }
    }

    /// When [`ZoneFailover::tick`] is next due; `None` while no timer runs.
    pub fn next_timer(&self) -> Option<Duration> {
        self.zones.iter().filter_map(|zone| zone.timer).min()
    }

    /// Handles all timers that have expired.
    pub fn tick(&mut self, now: Duration) {
        for id in self.zone_ids() {
            let zone = self.zone_mut(id);
            if zone.timer.is_some_and(|timer| timer <= now) {
                zone.timer = None;
                self.timer_expired(now, id);
            }
        }
        self.ensure_zone_in_use(now);
    }

    fn timer_expired(&mut self, now: Duration, id: ZoneId) {
        let zone = self.zone(id);
        let has_more_steps = zone.state == ZoneState::Recovering && !zone.is_ramp_complete();
        if has_more_steps && !is_injected!(self, RampSkipped) {
            return self.raise_share(now, id);
        }
        let zone = self.zone(id);
        if zone.state == ZoneState::Suspected
            && self.evidence(id).unresponsive_servers >= SUSPICION_THRESHOLD
        {
            // Still no response, so the servers are probed again.
            let next_probes_at = now + self.settings.suspicion_timeout;
            self.zone_mut(id).timer = Some(next_probes_at);
            return self.probe_servers(now, id, SUSPICION_PROBES);
        }
        if zone.state.is_closed() && !self.settings.probing_allowed {
            return self.apply(now, id, ZoneInput::TrialDue);
        }
        self.apply(now, id, ZoneInput::TimerExpired);
        // Failures during the recovery count as evidence once the zone is healthy.
        self.evaluate_evidence(now, id);
    }

    /// Takes one step of the recovery ramp. The last one is [`ZoneAction::FinishRamp`].
    fn raise_share(&mut self, now: Duration, id: ZoneId) {
        let next_step_at = now + self.settings.recovery_ramp / RAMP_STEPS;
        let zone = self.zone_mut(id);
        zone.ramp_step += 1;
        zone.timer = Some(next_step_at);
        zone.share_changed_at = Some(now);
        let share = f64::from(zone.ramp_step + 1) / f64::from(RAMP_STEPS);
        self.set_share(id, share);
    }

    fn zone_ids(&self) -> std::ops::Range<ZoneId> {
        0..self.zones.len() as ZoneId
    }

    fn zone(&self, id: ZoneId) -> &Zone {
        &self.zones[usize::from(id)]
    }

    fn zone_mut(&mut self, id: ZoneId) -> &mut Zone {
        &mut self.zones[usize::from(id)]
    }

    fn evidence(&self, id: ZoneId) -> ZoneEvidence {
        let last_response = self
            .zone(id)
            .last_response
            .filter(|_| !is_injected!(self, OldFailuresCount));
        self.servers.evidence(id, last_response)
    }

    /// Suspects a zone, or declares it lost, if enough of its servers have failed.
    fn evaluate_evidence(&mut self, now: Duration, id: ZoneId) {
        let evidence = self.evidence(id);
        let Some(first_failure) = evidence.first_failure else {
            return;
        };
        let zone = self.zone_mut(id);
        if !zone.state.is_closed() {
            zone.first_failure = first_failure;
        }
        let suspicion_threshold = SUSPICION_THRESHOLD.min(evidence.ready_servers);
        if zone.state == ZoneState::Healthy && evidence.unresponsive_servers >= suspicion_threshold
        {
            self.apply(now, id, ZoneInput::ServersUnresponsive);
        }
        let loss_threshold = self.loss_threshold(evidence.ready_servers);
        // If no other zone responds either, this proxy itself is disconnected.
        let is_connected =
            self.another_zone_responded(id, first_failure) || is_injected!(self, GivenUpAlone);
        if evidence.unresponsive_servers >= loss_threshold && is_connected {
            self.apply(now, id, ZoneInput::LossConfirmed);
        }
    }

    /// Unresponsive servers from which a zone with `ready_servers` ready servers is declared lost.
    fn loss_threshold(&self, ready_servers: usize) -> usize {
        let threshold = if is_injected!(self, TwoServersSuffice) {
            SUSPICION_THRESHOLD
        } else {
            MIN_LOSS_THRESHOLD
                .max(ready_servers / LOSS_THRESHOLD_DIVISOR)
                .min(MAX_LOSS_THRESHOLD)
        };
        threshold.min(ready_servers)
    }

    /// Whether a zone other than `id` that is not closed has responded at `since` or later.
    fn another_zone_responded(&self, id: ZoneId, since: Duration) -> bool {
        let responded = |zone: &Zone| {
            !zone.state.is_closed() && zone.last_response.is_some_and(|response| response >= since)
        };
        (0..)
            .zip(&self.zones)
            .any(|(other, zone): (ZoneId, &Zone)| other != id && responded(zone))
    }

    /// If every zone that has ready servers is closed, uses all of them rather than none.
    fn ensure_zone_in_use(&mut self, now: Duration) {
        let any_closed = self.zones.iter().any(|zone| zone.state.is_closed());
        if !any_closed || is_injected!(self, AllLeftClosed) {
            return;
        }
        let with_servers: Vec<ZoneId> = self
            .zone_ids()
            .filter(|id| self.servers.any_ready(*id))
            .collect();
        let all_closed = with_servers
            .iter()
            .all(|id| self.zone(*id).state.is_closed());
        if all_closed {
            for id in with_servers {
                self.apply(now, id, ZoneInput::NoZoneLeft);
            }
        }
    }

    /// Applies an input that may open a zone, except during the zone's hold-down.
    fn apply_unless_held_down(&mut self, now: Duration, id: ZoneId, input: ZoneInput) {
        if !self.zone(id).is_held_down(now) || is_injected!(self, HoldDownSkipped) {
            self.apply(now, id, input);
        }
    }

    fn apply(&mut self, now: Duration, id: ZoneId, input: ZoneInput) {
        let zone = self.zone_mut(id);
        let Some((state, action)) = transition(zone.state, input) else {
            return;
        };
        if zone.state != state {
            zone.state = state;
            zone.state_since = now;
            self.effects.push(ZoneEffect::StateChanged {
                zone: id,
                state,
                cause: input,
            });
        }
        self.perform_action(now, id, action);
    }

    fn perform_action(&mut self, now: Duration, id: ZoneId, action: ZoneAction) {
        let settings = self.settings;
        match action {
            ZoneAction::Nothing => {}
            ZoneAction::StartSuspicion => {
                self.zone_mut(id).timer = Some(now + settings.suspicion_timeout);
                self.probe_servers(now, id, SUSPICION_PROBES);
            }
            ZoneAction::DropSuspicion => self.zone_mut(id).drop_suspicion(now),
            ZoneAction::Close => {
                self.zone_mut(id).hold_down(now, &settings);
                self.set_share(id, 0.0);
            }
            ZoneAction::StartHoldDown => self.zone_mut(id).hold_down(now, &settings),
            ZoneAction::Probe => self.probe_closed_zone(now, id),
            ZoneAction::StartRamp => {
                let step_interval = settings.recovery_ramp / RAMP_STEPS;
                self.zone_mut(id).reopen(now, 0, step_interval);
                self.set_share(id, 1.0 / f64::from(RAMP_STEPS));
            }
            ZoneAction::OpenFully => {
                let all_steps = RAMP_STEPS;
                self.zone_mut(id)
                    .reopen(now, all_steps, settings.recovery_ramp);
                // The recorded failures are from before the servers' restart.
                self.servers.forget_failures_in(id);
                self.set_share(id, 1.0);
            }
            ZoneAction::FinishRamp => {
                let zone = self.zone_mut(id);
                zone.timer = None;
                zone.in_use_since = now;
                self.set_share(id, 1.0);
            }
            ZoneAction::UseAsLastResort => {
                self.zone_mut(id).timer = Some(now + settings.suspicion_timeout);
                self.set_share(id, 1.0);
            }
        }
    }

    fn set_share(&mut self, zone: ZoneId, share: f64) {
        self.effects.push(ZoneEffect::SetShare { zone, share });
    }

    fn probe_closed_zone(&mut self, now: Duration, id: ZoneId) {
        if is_injected!(self, ClosedZoneNotProbed) {
            return;
        }
        let next_probe_at = now + self.settings.probe_interval;
        let zone = self.zone_mut(id);
        zone.timer = Some(next_probe_at);
        zone.probes += 1;
        self.probe_servers(now, id, 1);
    }

    fn probe_servers(&mut self, now: Duration, id: ZoneId, limit: usize) {
        for server in self.servers.probe_candidates(id, limit) {
            if let Some(record) = self.servers.get_mut(server) {
                record.last_probe = now;
            }
            self.effects.push(ZoneEffect::Probe { server });
        }
    }
}
