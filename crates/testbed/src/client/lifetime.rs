//! Runs a client from its first attempt until its planned end, with the pauses between attempts.

use super::attempt::{AttemptOutcome, Client};
use crate::context::RunContext;
use crate::front_balancer::FrontBalancer;
use crate::plan::PlannedClient;
use crate::scenario::{IdempotencyScope, Listener, RetrySafety};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause of a client after its open connection was migrated or cut off, in milliseconds; drawn uniformly.
const RECONNECT_PAUSE_MS: std::ops::Range<u64> = 61..710;
/// Pause of a client that found no proxy, before jitter.
const NO_PROXY_PAUSE: Duration = Duration::from_millis(100);
/// Smallest jitter factor of a pause; factors are uniform from here up to 1 more.
const MIN_JITTER: f64 = 0.5;

/// Runs a client of the plan until its planned end, or until it leaves or gives up.
pub async fn run(context: Arc<RunContext>, front: Arc<FrontBalancer>, planned: PlannedClient) {
    context.record_lateness(planned.at);
    let until = planned.at + planned.session_length;
    let max_retries = context.scenario.traffic.retries.max_retries;
    let mut client = Client::new(&context, &front, &planned);
    let mut failed_attempts = 0;
    while context.now() < until {
        let unserved_since = client.unserved_since;
        let outcome = client.attempt(until).await;
        if client.unserved_since > unserved_since {
            failed_attempts = 0;
        }
        let Some(pause) = pause_after(&mut client, outcome) else {
            break;
        };
        match outcome {
            AttemptOutcome::Broken => failed_attempts = 0,
            AttemptOutcome::Unreachable => {}
            _ => failed_attempts += 1,
        }
        if failed_attempts > max_retries {
            context.service_score.measurements().given_up += 1;
            break;
        }
        sleep(pause).await;
    }
    let (listener, tenant) = (planned.listener, planned.tenant);
    let score = &context.service_score;
    score.add_wanted(listener, tenant, planned.at, until);
}

/// The pause before the client's next attempt; `None` if it makes no further one.
fn pause_after(client: &mut Client<'_>, outcome: AttemptOutcome) -> Option<Duration> {
    let retry_pause = client.context.scenario.traffic.retries.pause;
    let jitter = MIN_JITTER + client.random.random::<f64>();
    match outcome {
        AttemptOutcome::Done => None,
        AttemptOutcome::Broken => {
            (client.reconnects, client.unserved_since) = (true, client.context.now());
            let pause = client.random.random_range(RECONNECT_PAUSE_MS);
            Some(Duration::from_millis(pause))
        }
        AttemptOutcome::Unreachable => Some(NO_PROXY_PAUSE.mul_f64(jitter)),
        AttemptOutcome::Rejected { retry_after } => {
            Some(retry_after.unwrap_or(retry_pause).mul_f64(jitter))
        }
        AttemptOutcome::Failed => may_retry(client).then(|| retry_pause.mul_f64(jitter)),
    }
}

/// Whether the client may repeat a session that may have taken effect: it must be idempotent, or all hosts must still
/// know its idempotency key.
fn may_retry(client: &Client<'_>) -> bool {
    let listener: &Listener = client.listener();
    match (listener.retry_safety, listener.idempotency_scope) {
        (RetrySafety::Idempotent, _) => true,
        (RetrySafety::IdempotencyKey, IdempotencyScope::All) => {
            client.context.now() < client.unserved_since + listener.key_ttl
        }
        _ => false,
    }
}
