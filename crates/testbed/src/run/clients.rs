//! Starts the clients of a run, each at its planned time, and waits for them.

use crate::client;
use crate::testbed::Testbed;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time that clients have to end after the latest time at which an answer can be due; those still running are dropped.
const CLIENT_END_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts each client at its planned time and waits until all have ended, or their time is over.
pub(super) async fn run_clients(testbed: &Testbed) {
    let context = &testbed.context;
    let scenario = &context.scenario;
    let mut clients = JoinSet::new();
    for planned in &context.plan.clients {
        context.sleep_until(planned.at).await;
        let (context, front) = (context.clone(), testbed.front.clone());
        clients.spawn(client::run(context, front, planned.clone()));
        while clients.try_join_next().is_some() {}
    }
    context.sleep_until(scenario.length).await;
    // By then each client that waits for an answer has it, or the answer is overdue.
    let answer_timeouts = scenario.listeners.iter().map(|l| l.answer_timeout);
    let longest_answer_timeout = answer_timeouts.max().unwrap_or_default();
    let end_timeout = longest_answer_timeout + scenario.platform.answer_slack + CLIENT_END_TIMEOUT;
    let _ = timeout(end_timeout, async {
        while clients.join_next().await.is_some() {}
    })
    .await;
}
