//! The load estimate of a server, and what changes it.

use crate::support::{IDEMPOTENT, Proxy, deployment, dialed_server, ms, outcome_letter};
use asterramp_placement::event::Outcome;
use test_case::test_case;

#[test]
fn a_dial_raises_the_score_and_a_cancelled_one_lowers_it_again() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    for server in 0..2 {
        proxy.report_load(server, 10.0, 0.2);
    }
    let (session, actions) = proxy.request_session(None);
    let first = dialed_server(&actions).unwrap();
    let second = dialed_server(&proxy.request_session(None).1).unwrap();
    assert_ne!(first, second, "the bump of the first makes the other lower");
    proxy.end_attempt(session, 0, Outcome::Cancelled, true);
    assert_eq!(dialed_server(&proxy.request_session(None).1), Some(first));
}

#[test]
fn scores_age_by_completions_and_are_reset_by_reports() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    let held = proxy.open_sessions(20);
    for server in 0..2 {
        proxy.report_load(server, 10.0, 0.2);
    }
    for (session, _) in held.iter().filter(|(_, server)| *server == 1) {
        proxy.end_attempt(*session, 0, Outcome::Ok, true);
    }
    proxy.now += ms(1_400);
    assert_eq!(
        dialed_server(&proxy.request_session(None).1),
        Some(1),
        "connections of 1 end, those of 0 do not"
    );
    proxy.report_load(1, 30.0, 0.6);
    assert_eq!(
        dialed_server(&proxy.request_session(None).1),
        Some(0),
        "the count stands above the aged score"
    );
}

// Until the others' mean is known, few connections tell nothing, rather than that they take nothing.
#[test]
fn the_share_of_few_connections_is_not_forgotten_before_the_first_survey() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 1);
    proxy.report_load(0, 20.0, 2.4);
    for _ in 0..4 {
        proxy.report_load(0, 7.0, 0.4);
    }
    assert_eq!(
        outcome_letter(&proxy.request_session(None).1),
        'R',
        "seven of an eighth each"
    );
}

// A server just filled still looks empty in its late reports, and the other proxies fill it as well.
// Those whose connections have come here are not among them.
#[test_case(1, 0, false => 'D'; "alone")]
#[test_case(8, 0, false => 'R'; "eight proxies")]
#[test_case(8, 50, false => 'D'; "seven of them without connections")]
#[test_case(8, 0, true => 'D'; "clients that the others sent away")]
fn young_sends_count_for_every_proxy(proxies: u32, held: usize, again: bool) -> char {
    let mut facts = deployment(IDEMPOTENT);
    facts.proxy_count = proxies;
    let mut proxy = Proxy::with(facts, 1);
    proxy.open_sessions(held);
    proxy.wait(ms(2_000));
    proxy.report_load(0, 50.0, 0.5);
    proxy.reconnecting = again;
    for _ in 0..12 {
        proxy.request_session(None);
    }
    proxy.report_load(0, 50.0, 0.5);
    outcome_letter(&proxy.request_session(None).1)
}

// What the first few connections pay for their groups made a proxy that had just started reject everybody.
#[test_case(3.0 => 'D'; "few connections")]
#[test_case(8.0 => 'R'; "enough to tell")]
fn a_few_connections_do_not_tell_what_one_takes(counted: f64) -> char {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
    for s in 0..2 {
        proxy.report_load(s, counted, counted * 0.08);
    }
    for _ in 0..30 {
        proxy.request_session(None);
    }
    outcome_letter(&proxy.request_session(None).1)
}

// A server so slow that one session more is too much looks empty once it has lost them all.
#[test_case(0 => 'R'; "still slow")]
#[test_case(12 => 'D'; "empty for a while")]
fn a_slow_server_that_emptied_is_not_filled_again(reports: usize) -> char {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 2);
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
