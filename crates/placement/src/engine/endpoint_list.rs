//! Updates of the endpoint list.

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
            EndpointUpdate::Failed => self.retry_poll_later(),
            EndpointUpdate::Changes(changes) => {
                // Changes of nothing only say that the poll waits.
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

    fn retry_poll_later(&mut self) {
        let proxy_count = self.deployment.proxy_count;
        let part = self
            .poll_backoff
            .record_failure(proxy_count, &mut self.random);
        let wait = poll_wait(self.deployment.max_endpoint_list_age, part);
        self.timers
            .reschedule(self.now + wait, Timer::PollEndpoints);
    }

    /// What the list doesn't name is gone.
    fn replace_endpoints(&mut self, list: Vec<Endpoint>, inherited: bool) {
        self.poll_backoff.record_success();
        for server in &mut self.servers {
            server.endpoint.state = EndpointState::Gone;
        }
        self.apply_endpoints(list, inherited);
    }

    fn apply_endpoints(&mut self, endpoints: Vec<Endpoint>, inherited: bool) {
        let now = self.now;
        // A new server starts at the others' means.
        let completion_rate = self
            .mean_over_ready(|server| Some(server.load.completion_rate()))
            .unwrap_or(0.0);
        let score = self
            .mean_over_ready(|server| Some(server.load.aged_score(now)))
            .unwrap_or(0.0);
        for endpoint in endpoints {
            grow_to_hold(&mut self.servers, endpoint.server as usize);
            let allowance = self.first_allowance(&endpoint, inherited);
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

    /// A proxy that can't use all cold servers yet uses those that rank highest by its number and theirs. What
    /// another process of this proxy had of an allowance may be spent this moment.
    fn first_allowance(&self, endpoint: &Endpoint, inherited: bool) -> DialAllowance {
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
