//! Carries out the effects of a warm start.

use crate::routing::{ReasonCode, Router, TimerKey};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Endpoint, EndpointState, EndpointUpdate};
use asterramp_warm_start::{ClientAdmission, EndpointId, WarmStartEffect};
use std::time::Duration;

/// Reason why the proxy begins to serve, as logged.
const SERVING_REASON: &str = "recovery";

impl Router {
    /// Carries out effects until there are none left, and sets the timer for the next deadline.
    pub(in crate::routing) fn apply_warm_start_effects(&mut self) {
        loop {
            let Some(progress) = &mut self.warm_start else {
                return;
            };
            let effects: Vec<WarmStartEffect> = progress.machine.drain_effects().collect();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.apply_warm_start_effect(effect);
            }
        }
        let deadline = self
            .warm_start
            .as_ref()
            .and_then(|progress| progress.machine.next_deadline());
        match deadline {
            Some(deadline) => self.deadlines.set(TimerKey::WarmStart, deadline),
            None => self.deadlines.clear(TimerKey::WarmStart),
        }
    }

    fn apply_warm_start_effect(&mut self, effect: WarmStartEffect) {
        match effect {
            WarmStartEffect::AskPeers => self.query_peers(),
            WarmStartEffect::Probe(id) => self.probe_candidate(id),
            WarmStartEffect::Use(id) => {
                // Its start time is unknown, so it counts as just started and slow start applies.
                let started_at = Some(self.now);
                let load = self
                    .warm_start
                    .as_ref()
                    .and_then(|progress| progress.load_per_connection(id));
                self.endpoints.set_state(id, EndpointState::Ready);
                self.update_endpoint(id, EndpointState::Ready, started_at, load);
            }
            WarmStartEffect::Drop(id, reason) => {
                let uid = self.endpoints.uid(id);
                let text = format!("server={uid} why={:?}", reason.text());
                self.log_event(ReasonCode::EndpointDropped, text);
                self.endpoints.set_state(id, EndpointState::Gone);
                self.update_endpoint(id, EndpointState::Gone, None, None);
            }
            WarmStartEffect::Admit(admission) => self.set_admission(admission),
            WarmStartEffect::StageChanged(stage, reason) => {
                let text = format!("stage={} why={:?}", stage.name(), reason.text());
                self.log_event(ReasonCode::WarmStartStageChanged, text);
            }
        }
    }

    /// Probes an endpoint. Where the deployment forbids probes, the endpoint counts as responsive, and the first
    /// session placed on it shows whether it is.
    fn probe_candidate(&mut self, id: EndpointId) {
        if self.settings.deployment.may_probe {
            self.start_probe(id);
            return;
        }
        let now = self.now;
        if let Some(progress) = &mut self.warm_start {
            progress.machine.probe_finished(now, id, true);
        }
    }

    /// Applies how clients are admitted. The proxy begins to serve as soon as clients are no longer queued at the
    /// listener.
    fn set_admission(&mut self, admission: ClientAdmission) {
        if let Some(progress) = &mut self.warm_start {
            progress.admission = admission;
        }
        if admission != ClientAdmission::Queued && !self.serving {
            self.start_serving(SERVING_REASON);
        }
        self.update_admission_rate();
    }

    /// Notifies the placement engine of an endpoint's new state, start time and utilization per connection.
    fn update_endpoint(
        &mut self,
        id: EndpointId,
        state: EndpointState,
        started_at: Option<Duration>,
        load_per_connection: Option<f64>,
    ) {
        if let Some(endpoint) = self.endpoints.endpoint(id) {
            let changed = Endpoint {
                state,
                started_at,
                load_per_connection,
                ..endpoint
            };
            self.handle_placement_event(PlacementEvent::EndpointsUpdated(EndpointUpdate::Changes(
                vec![changed],
            )));
        }
    }
}
