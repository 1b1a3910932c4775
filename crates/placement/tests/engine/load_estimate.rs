//! The load estimate of a server: dials, completions and reports.

use crate::support::{IDEMPOTENT, Proxy, deployment, dialed_server, ms, outcome_letter};
use asterramp_placement::event::Outcome;
use test_case::test_case;

#[test]
fn a_dial_raises_the_score_and_a_cancelled_one_lowers_it_again() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    for server in 0..2 {
        proxy.report_load(server, 10.0, 0.2);
    }
    let (session, actions) = proxy.request_session(None);
    let first = dialed_server(&actions).unwrap();
    let second = dialed_server(&proxy.request_session(None).1).unwrap();
    assert_ne!(
        first, second,
        "the first dial makes the other server's load the lower one"
    );
    proxy.end_attempt(session, 0, Outcome::Cancelled, true);
    assert_eq!(dialed_server(&proxy.request_session(None).1), Some(first));
}

#[test]
fn scores_age_by_completions_and_are_reset_by_reports() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    let sessions = proxy.open_sessions(20);
    for server in 0..2 {
        proxy.report_load(server, 10.0, 0.2);
    }
    for (session, _) in sessions.iter().filter(|(_, server)| *server == 1) {
        proxy.end_attempt(*session, 0, Outcome::Ok, true);
    }
    proxy.now += ms(1_400);
    assert_eq!(
        dialed_server(&proxy.request_session(None).1),
        Some(1),
        "connections end at server 1 but not at server 0"
    );
    proxy.report_load(1, 30.0, 0.6);
    assert_eq!(
        dialed_server(&proxy.request_session(None).1),
        Some(0),
        "the reported connections replace the aged score"
    );
}

// Until the mean load per connection is known, a report of few connections leaves the estimate unchanged rather than
// lowering it.
#[test]
fn load_per_connection_is_kept_until_the_mean_is_known() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 1);
    proxy.report_load(0, 20.0, 2.4);
    for _ in 0..4 {
        proxy.report_load(0, 7.0, 0.4);
    }
    assert_eq!(
        outcome_letter(&proxy.request_session(None).1),
        'R',
        "seven connections that each take 0.12 of the server"
    );
}

// Reports are late: a server that was just filled still looks empty, and the other proxies send it sessions as well.
// Proxies whose connections have moved to this one are not counted.
#[test_case(1, 0, false => 'D'; "alone")]
#[test_case(8, 0, false => 'R'; "eight proxies")]
#[test_case(8, 50, false => 'D'; "seven of them without connections")]
#[test_case(8, 0, true => 'D'; "reconnecting clients")]
fn recent_dials_count_for_every_active_proxy(
    proxy_count: u32,
    open: usize,
    reconnecting: bool,
) -> char {
    let mut config = deployment(IDEMPOTENT);
    config.proxy_count = proxy_count;
    let mut proxy = Proxy::with_servers(config, 1);
    proxy.open_sessions(open);
    proxy.wait(ms(2_000));
    proxy.report_load(0, 50.0, 0.5);
    proxy.reconnecting = reconnecting;
    for _ in 0..12 {
        proxy.request_session(None);
    }
    proxy.report_load(0, 50.0, 0.5);
    outcome_letter(&proxy.request_session(None).1)
}

// The first few connections at a server bear the cost of their groups. When the load per connection was computed from
// them, a proxy that had just started rejected all sessions.
#[test_case(3.0 => 'D'; "few connections")]
#[test_case(8.0 => 'R'; "enough connections")]
fn load_per_connection_is_not_computed_from_few_connections(connections: f64) -> char {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    for server in 0..2 {
        proxy.report_load(server, connections, connections * 0.08);
    }
    for _ in 0..30 {
        proxy.request_session(None);
    }
    outcome_letter(&proxy.request_session(None).1)
}

// A server so slow that one more session would overload it reports no load once it has lost all its sessions.
#[test_case(0 => 'R'; "still slow")]
#[test_case(12 => 'D'; "empty for a while")]
fn a_slow_server_that_emptied_is_not_filled_again(reports: usize) -> char {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 2);
    for _ in 0..8 {
        proxy.report_load(1, 60.0, 0.9);
    }
    for _ in 0..8 {
        proxy.report_load(0, 1.0, 1.5);
    }
    proxy.wait(ms(1_100));
    for _ in 0..=reports {
        proxy.report_load(0, 0.0, 0.0);
    }
    proxy.report_load(1, 60.0, 0.9);
    outcome_letter(&proxy.request_session(None).1)
}
