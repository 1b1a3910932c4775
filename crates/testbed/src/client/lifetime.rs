//! A client from its first attempt until it wants no more, with its pauses between attempts.

use super::attempt::{AttemptOutcome, Client};
use crate::context::RunContext;
use crate::front::Front;
use crate::plan::PlannedClient;
use crate::scenario::{IdempotencyScope, Listener, RetrySafety};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How long after it was moved or cut off a client comes again, in milliseconds.
const RECONNECT_PAUSE_MS: std::ops::Range<u64> = 61..710;
/// Pause of a client that found no proxy.
const NO_PROXY_PAUSE: Duration = Duration::from_millis(100);
/// The smallest factor by which a pause is spread; the largest is 1 more.
const LEAST_JITTER: f64 = 0.5;

/// Plays a client of the plan to its end.
pub async fn run(context: Arc<RunContext>, front: Arc<Front>, planned: PlannedClient) {
    context.record_lateness(planned.at);
    let ends = planned.at + planned.session_length;
    let most_attempts = context.scenario.traffic.retries.max_retries;
    let mut client = Client::new(&context, &front, &planned);
    let mut failed_attempts = 0;
    while context.now() < ends {
        let before = client.unserved_since;
        let outcome = client.connect(ends).await;
        if client.unserved_since > before {
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
        if failed_attempts > most_attempts {
            context.service_score.measurements().given_up += 1;
            break;
        }
        sleep(pause).await;
    }
    let (listener, member) = (planned.listener, planned.tenant);
    let score = &context.service_score;
    score.add_wanted(listener, member, planned.at, ends);
}

/// How long a client waits before its next attempt; `None` where it makes none.
fn pause_after(client: &mut Client<'_>, outcome: AttemptOutcome) -> Option<Duration> {
    let retry_pause = client.context.scenario.traffic.retries.pause;
    let jitter = LEAST_JITTER + client.random.random::<f64>();
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

/// Whether a client may send a session again that may have taken effect.
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
