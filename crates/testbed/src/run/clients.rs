//! The clients of a run, each at its time.

use crate::client;
use crate::testbed::Testbed;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// How long clients may still take after their last answer was due.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Sends each client off at its time and waits for all.
pub(super) async fn play(testbed: &Testbed) {
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
    // Whoever still waits has its answer, or none in time, by then.
    let waits = scenario.listeners.iter().map(|l| l.answer_timeout);
    let longest_wait = waits.max().unwrap_or_default();
    let settles = longest_wait + scenario.platform.answer_slack + SETTLING_TIME;
    let _ = timeout(settles, async {
        while clients.join_next().await.is_some() {}
    })
    .await;
}
