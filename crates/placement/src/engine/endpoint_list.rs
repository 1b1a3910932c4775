//! Applies updates of the endpoint list to the engine's servers, and schedules the next poll after a failed one.

use super::{PlacementEngine, grow_to_hold};
use crate::endpoint_polling::poll_wait;
use crate::event::{Endpoint, EndpointState, EndpointUpdate};
use crate::load_estimate::LoadEstimate;
use crate::random::hash_to_unit;
use crate::slow_start::DialAllowance;
use crate::timers::Timer;

impl PlacementEngine {
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Failed => self.schedule_poll_retry(),
            EndpointUpdate::Changes(changes) => {
                // An empty change only shows that discovery holds the poll open; it doesn't reset the backoff.
                if !changes.is_empty() {
                    self.poll_backoff.record_success();
                }
                self.apply_endpoints(changes, false);
            }
            EndpointUpdate::Complete(list) | EndpointUpdate::Stale(list) => {
                self.replace_endpoints(list, false);
            }
            EndpointUpdate::Inherited(list) => self.replace_endpoints(list, true),
        }
    }

    fn schedule_poll_retry(&mut self) {
        let proxy_count = self.deployment.proxy_count;
        let wait_fraction = self
            .poll_backoff
            .record_failure(proxy_count, &mut self.random);
        let wait = poll_wait(self.deployment.max_endpoint_list_age, wait_fraction);
        self.timers
            .reschedule(self.now + wait, Timer::PollEndpoints);
    }

    /// Applies a complete list. Servers that it doesn't name are gone.
    fn replace_endpoints(&mut self, list: Vec<Endpoint>, inherited: bool) {
        self.poll_backoff.record_success();
        for server in &mut self.servers {
            server.endpoint.state = EndpointState::Gone;
        }
        self.apply_endpoints(list, inherited);
    }

    /// Updates the servers that are named. A server that is new or has restarted starts with a fresh estimate.
    fn apply_endpoints(&mut self, endpoints: Vec<Endpoint>, inherited: bool) {
        let now = self.now;
        // A new server starts at the mean of the ready servers.
        let completion_rate = self
            .mean_over_ready(|server| Some(server.load.completion_rate()))
            .unwrap_or(0.0);
        let score = self
            .mean_over_ready(|server| Some(server.load.aged_score(now)))
            .unwrap_or(0.0);
        for endpoint in endpoints {
            grow_to_hold(&mut self.servers, endpoint.server as usize);
            let allowance = self.initial_allowance(&endpoint, inherited);
            let server = self.server_mut(endpoint.server);
            let restarted = server.endpoint.started_at != endpoint.started_at;
            if restarted || !server.ejection.was_listed() {
                let load_per_connection = endpoint.load_per_connection;
                let load =
                    LoadEstimate::starting_at(now, score, completion_rate, load_per_connection);
                server.restart(load, allowance);
            }
            server.endpoint = endpoint;
        }
    }

    /// Slow-start allowance of a server that was just listed or restarted: a fraction of one dial, hashed from the
    /// proxy's index and the server's key. A proxy that can't use all cold servers yet uses those that hash highest,
    /// which differ from proxy to proxy. An inherited server starts at zero, as the predecessor process may be
    /// spending its allowance now.
    fn initial_allowance(&self, endpoint: &Endpoint, inherited: bool) -> DialAllowance {
        let dials = if inherited {
            0.0
        } else {
            hash_to_unit(
                u64::from(self.deployment.proxy_index) + 1,
                endpoint.hash_key,
            )
        };
        DialAllowance::starting_at(self.now, dials)
    }
}
