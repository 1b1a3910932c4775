//! Simulates drains and shutdowns step by step: each step migrates as many sessions as [`Drain::advise`] returned.

use asterramp_drain::{
    ADVICE_INTERVAL, Drain, DrainError, DrainInput, DrainSettings, DrainState, DrainView,
    ShutdownSchedule, TRANSITIONS, Transition,
};
use std::time::Duration;
use test_case::test_case;

const START: Duration = Duration::from_secs(1_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Simulation {
    drain: Drain,
    now: Duration,
    open_sessions: usize,
    spare_capacity: Option<f64>,
    /// Sessions migrated in each step.
    migrations: Vec<usize>,
    /// States in the order in which they were entered, each once per visit.
    states: Vec<DrainState>,
}

impl Simulation {
    fn new(open_sessions: usize, spare_capacity: Option<f64>) -> Simulation {
        let drain = Drain::new(DrainSettings::default());
        Simulation {
            drain,
            now: START,
            open_sessions,
            spare_capacity,
            migrations: Vec::new(),
            states: Vec::new(),
        }
    }

    fn view(&self) -> DrainView {
        DrainView {
            open_sessions: self.open_sessions,
            client_connections: self.open_sessions,
            spare_capacity: self.spare_capacity,
            ..DrainView::default()
        }
    }

    fn run_for(&mut self, duration: Duration) -> &mut Simulation {
        let end = self.now + duration;
        while self.now < end {
            self.now += ADVICE_INTERVAL;
            let view = self.view();
            let advice = self.drain.advise(self.now, &view);
            self.open_sessions -= advice.sessions_to_migrate;
            self.migrations.push(advice.sessions_to_migrate);
            if self.states.last() != Some(&self.drain.state()) {
                self.states.push(self.drain.state());
            }
        }
        self
    }
}

#[test_case(300, Some(1_000.0), None, 60_000, &[DrainState::Closing, DrainState::Migrating, DrainState::Empty], 200; "enough capacity: the configured maximum")]
#[test_case(300, Some(100.0), None, 60_000, &[DrainState::Closing, DrainState::Migrating, DrainState::Empty], 20; "the rate that endpoints can absorb")]
#[test_case(300, Some(0.0), None, 10_000, &[DrainState::Closing, DrainState::Late, DrainState::Empty], 33; "no capacity and a short deadline: late, at a higher rate")]
#[test_case(300, None, None, 60_000, &[DrainState::Closing, DrainState::Migrating, DrainState::Empty], 50; "no load reports")]
#[test_case(300, Some(1_000.0), Some(10.0), 60_000, &[DrainState::Closing, DrainState::Migrating, DrainState::Empty], 10; "the requested rate")]
#[test_case(0, None, None, 60_000, &[DrainState::Closing, DrainState::Empty], 0; "no sessions")]
fn a_drain_goes_through_its_states_at_its_rate(
    open_sessions: usize,
    spare_capacity: Option<f64>,
    requested_rate: Option<f64>,
    deadline_ms: u64,
    states: &[DrainState],
    max_per_second: usize,
) {
    let mut simulation = Simulation::new(open_sessions, spare_capacity);
    simulation
        .drain
        .start(START, ms(deadline_ms), requested_rate)
        .unwrap();
    simulation.run_for(ms(deadline_ms + 1_000));
    assert_eq!(
        (simulation.open_sessions, simulation.states.as_slice()),
        (0, states)
    );
    assert_eq!(simulation.drain.migrated_sessions(), open_sessions as u64);
    let steps_per_second = 1_000 / ADVICE_INTERVAL.as_millis() as usize;
    let highest_rate = simulation
        .migrations
        .windows(steps_per_second)
        .map(|window| window.iter().sum::<usize>())
        .max()
        .unwrap();
    assert!(
        highest_rate <= max_per_second + max_per_second / 8 + 1
            && highest_rate + 2 >= max_per_second.min(open_sessions),
        "{highest_rate} sessions migrated in one second"
    );
    let steps = simulation
        .migrations
        .iter()
        .rposition(|migrated| *migrated > 0)
        .map_or(0, |last| last + 1);
    assert!(
        ADVICE_INTERVAL * steps as u32 <= ms(deadline_ms),
        "the drain missed its deadline"
    );
}

#[test]
fn the_front_is_given_time_to_stop_sending() {
    let mut simulation = Simulation::new(10, None);
    simulation.drain.start(START, ms(60_000), None).unwrap();
    assert!(!simulation.drain.answers_pings());
    // Sessions arrive for 1.5 s; the quiet period of one second follows.
    let mut times_after_closing = Vec::new();
    for step in 1..200 {
        let now = START + ADVICE_INTERVAL * step;
        let last_session_arrival = now.min(START + ms(1_500));
        let view = DrainView {
            open_sessions: 10,
            client_connections: 10,
            last_session_arrival,
            ..DrainView::default()
        };
        let _ = simulation.drain.advise(now, &view);
        if simulation.drain.state() != DrainState::Closing {
            times_after_closing.push(now);
        }
    }
    let closing_time = times_after_closing[0] - START;
    assert!(
        closing_time.abs_diff(ms(2_500)) <= ADVICE_INTERVAL,
        "{closing_time:?}"
    );
}

#[test]
fn a_drain_can_be_cancelled_at_any_time_and_started_again() {
    for cancelled_after_ms in [0, 500, 2_000, 9_950] {
        let mut simulation = Simulation::new(500, Some(200.0));
        simulation.drain.start(START, ms(10_000), None).unwrap();
        simulation.run_for(ms(cancelled_after_ms));
        let now = simulation.now;
        simulation.drain.cancel(now).unwrap();
        let remaining = simulation.open_sessions;
        simulation.run_for(ms(3_000));
        assert_eq!(
            (simulation.open_sessions, simulation.drain.state()),
            (remaining, DrainState::Serving),
            "no session is migrated after the drain was cancelled"
        );
        assert!(
            simulation.drain.answers_pings() && !simulation.drain.allows_next_drain(simulation.now)
        );
        simulation.run_for(ms(7_100));
        assert!(
            simulation.drain.allows_next_drain(simulation.now),
            "another proxy may be drained 10 s after the cancellation"
        );
        let now = simulation.now;
        simulation.drain.start(now, ms(8_000), None).unwrap();
        simulation.run_for(ms(8_000));
        assert_eq!(
            (simulation.open_sessions, simulation.drain.state()),
            (0, DrainState::Empty)
        );
    }
}

#[test]
fn a_second_request_changes_the_deadline_and_does_not_close_again() {
    let mut simulation = Simulation::new(400, Some(50.0));
    simulation.drain.start(START, ms(600_000), None).unwrap();
    simulation.run_for(ms(5_000));
    let remaining = simulation.open_sessions;
    assert!(remaining > 300 && simulation.drain.state() == DrainState::Migrating);
    let now = simulation.now;
    simulation.drain.start(now, ms(4_000), None).unwrap();
    simulation.run_for(ms(100));
    assert!(
        simulation.open_sessions < remaining && simulation.drain.state() == DrainState::Late,
        "sessions are migrated at once, in state late"
    );
    simulation.run_for(ms(3_900));
    assert_eq!(simulation.open_sessions, 0);
}

/// A request that comes before or after the one with a binding deadline.
#[derive(Clone, Copy)]
enum Request {
    /// An operator's, with its time in milliseconds.
    Drain(u64),
    /// One with a binding deadline, with its time in milliseconds.
    BindingDrain(u64),
}

impl Request {
    fn send(self, simulation: &mut Simulation) {
        let drain = &mut simulation.drain;
        match self {
            Request::Drain(within_ms) => drain.start(simulation.now, ms(within_ms), Some(1.0)),
            Request::BindingDrain(within_ms) => drain.start_binding(simulation.now, ms(within_ms)),
        }
        .unwrap();
    }
}

/// The requests come a second apart; the time is from the first one to the deadline.
#[test_case(&[Request::BindingDrain(3_000)], 3_000; "alone")]
#[test_case(&[Request::Drain(60_000), Request::BindingDrain(3_000)], 4_000; "a later deadline is brought forward")]
#[test_case(&[Request::BindingDrain(3_000), Request::Drain(60_000)], 3_000; "no later request puts it off")]
#[test_case(&[Request::Drain(2_500), Request::BindingDrain(3_000)], 2_500; "an earlier deadline is kept")]
#[test_case(&[Request::Drain(2_500), Request::BindingDrain(3_000), Request::Drain(60_000)], 4_000; "an earlier deadline is put off to the binding one at most")]
#[test_case(&[Request::BindingDrain(3_000), Request::Drain(1_000)], 2_000; "a later request sets an earlier one")]
#[test_case(&[Request::BindingDrain(3_000), Request::BindingDrain(3_000)], 3_000; "a second one does not put it off")]
fn a_binding_deadline_is_kept_whatever_else_is_requested(requests: &[Request], deadline_ms: u64) {
    let mut simulation = Simulation::new(300, Some(0.0));
    for (index, request) in requests.iter().enumerate() {
        if index > 0 {
            simulation.run_for(ms(1_000));
        }
        request.send(&mut simulation);
    }
    let deadline = START + ms(deadline_ms);
    let time_left = deadline - simulation.now;
    assert_eq!(simulation.drain.time_left(simulation.now), Some(time_left));
    simulation.run_for(time_left - 4 * ADVICE_INTERVAL);
    assert_ne!(
        simulation.open_sessions, 0,
        "sessions are migrated in steps"
    );
    simulation.run_for(4 * ADVICE_INTERVAL);
    assert_eq!(simulation.open_sessions, 0);
}

#[test]
fn a_drain_after_a_cancelled_one_may_have_any_deadline() {
    let mut simulation = Simulation::new(300, Some(0.0));
    Request::BindingDrain(3_000).send(&mut simulation);
    simulation.drain.cancel(START).unwrap();
    Request::Drain(60_000).send(&mut simulation);
    assert_eq!(simulation.drain.time_left(START), Some(ms(60_000)));
}

/// Pending sessions are rejected at the deadline of each request, also where sessions are migrated at once because a binding
/// deadline has passed.
#[test]
fn a_request_after_a_binding_deadline_rejects_pending_sessions_once_more() {
    let mut simulation = Simulation::new(0, None);
    Request::BindingDrain(3_000).send(&mut simulation);
    let mut rejected_after = Vec::new();
    for step in 1..400 {
        if step == 200 {
            Request::BindingDrain(3_000).send(&mut simulation);
        }
        simulation.now += ADVICE_INTERVAL;
        let view = DrainView {
            pending_sessions: 1,
            client_connections: 1,
            ..simulation.view()
        };
        if simulation
            .drain
            .advise(simulation.now, &view)
            .reject_pending
        {
            rejected_after.push(simulation.now - START);
        }
    }
    let second_request = ADVICE_INTERVAL * 199;
    let expected = [ms(3_000), second_request + ms(3_000)].map(|at| at - ADVICE_INTERVAL);
    assert_eq!(rejected_after, expected);
}

#[test]
fn sessions_that_arrive_at_an_empty_proxy_are_migrated_too() {
    let mut simulation = Simulation::new(0, None);
    simulation.drain.start(START, ms(60_000), None).unwrap();
    simulation.run_for(ms(2_000));
    assert_eq!(simulation.drain.state(), DrainState::Empty);
    simulation.open_sessions = 3;
    simulation.run_for(ms(500));
    assert_eq!(
        (simulation.open_sessions, simulation.drain.state()),
        (0, DrainState::Empty)
    );
}

fn shutdown_schedule(from: Duration) -> ShutdownSchedule {
    let after = |delay_ms| from + ms(delay_ms);
    ShutdownSchedule {
        serve_until: after(500),
        close_listener_at: after(3_000),
        migrate_from: after(2_100),
        migrate_until: after(3_150),
        reject_pending_at: after(3_000),
        exit_at: after(3_500),
    }
}

#[test]
fn a_shutdown_cannot_be_cancelled() {
    let mut simulation = Simulation::new(100, Some(0.0));
    simulation.drain.start(START, ms(60_000), None).unwrap();
    simulation.run_for(ms(1_500));
    let from = simulation.now;
    simulation.drain.begin_shutdown(shutdown_schedule(from));
    assert_eq!(simulation.drain.cancel(from), Err(DrainError::Exiting));
    assert_eq!(
        simulation.drain.start(from, ms(1), None),
        Err(DrainError::Exiting)
    );
    let open_sessions = simulation.open_sessions;
    simulation.run_for(ms(2_000));
    assert_eq!(
        simulation.open_sessions, open_sessions,
        "no session is migrated before the schedule says so"
    );
    let steps_before = simulation.migrations.len();
    simulation.run_for(ms(1_200));
    assert_eq!(simulation.open_sessions, 0);
    let steps = &simulation.migrations[steps_before..];
    assert!(
        steps.iter().max() < Some(&9),
        "steps of equal size: {steps:?}"
    );
}

/// A shutdown keeps the deadline of a drain in progress, and is as fast as always if that is later.
#[test_case(1_000, 1_000; "the drain has to be finished first")]
#[test_case(60_000, 3_150; "the shutdown has to be finished first")]
fn a_shutdown_during_a_drain_migrates_by_the_earlier_deadline(drain_ms: u64, finished_ms: u64) {
    let mut simulation = Simulation::new(100, Some(0.0));
    Request::Drain(drain_ms).send(&mut simulation);
    simulation.drain.begin_shutdown(shutdown_schedule(START));
    simulation.run_for(ms(finished_ms) - 4 * ADVICE_INTERVAL);
    assert_ne!(
        simulation.open_sessions, 0,
        "sessions are migrated in steps"
    );
    simulation.run_for(4 * ADVICE_INTERVAL);
    assert_eq!(simulation.open_sessions, 0);
    let steps = &simulation.migrations;
    assert!(
        steps.iter().max() < Some(&9),
        "steps of equal size: {steps:?}"
    );
}

/// Pending sessions are rejected by a shutdown when the drain would have rejected them. Those that arrive after that wait as
/// long as in any shutdown.
#[test_case(0, 1_000; "not rejected yet")]
#[test_case(1_200, 1_200 + 3_000; "rejected by the drain")]
fn a_shutdown_during_a_drain_rejects_pending_sessions_in_time(
    shutdown_after_ms: u64,
    rejected_after_ms: u64,
) {
    let mut simulation = Simulation::new(1, None);
    Request::Drain(1_000).send(&mut simulation);
    simulation.run_for(ms(shutdown_after_ms));
    let schedule = shutdown_schedule(simulation.now);
    simulation.drain.begin_shutdown(schedule);
    let pending = DrainView {
        pending_sessions: 1,
        client_connections: 1,
        ..DrainView::default()
    };
    let rejected_at = START + ms(rejected_after_ms);
    let before = simulation
        .drain
        .advise(rejected_at - ADVICE_INTERVAL, &pending);
    let at_time = simulation.drain.advise(rejected_at, &pending);
    assert_eq!(
        (before.reject_pending, at_time.reject_pending),
        (false, true)
    );
}

#[test_case(499, 0, (false, false, false); "the front still sends")]
#[test_case(500, 5, (false, false, false); "sessions that arrive late are served")]
#[test_case(2_999, 5, (false, false, false); "the last moment before the listener closes")]
#[test_case(3_000, 5, (true, true, false); "the listener closes, pending sessions are rejected")]
#[test_case(3_500, 5, (true, true, true); "the remaining clients are dropped")]
#[test_case(600, 0, (false, false, true); "no client is left")]
fn a_shutdown_follows_its_schedule(
    after_ms: u64,
    client_connections: usize,
    expected: (bool, bool, bool),
) {
    let mut drain = Drain::new(DrainSettings::default());
    drain.begin_shutdown(shutdown_schedule(START));
    let closes_listener = drain.closes_listener(START + ms(after_ms));
    let advice = drain.advise(
        START + ms(after_ms),
        &DrainView {
            client_connections,
            ..DrainView::default()
        },
    );
    assert_eq!(
        (closes_listener, advice.reject_pending, advice.exit),
        expected
    );
}

#[test]
fn cancelling_without_a_drain_is_rejected() {
    assert_eq!(
        Drain::new(DrainSettings::default()).cancel(START),
        Err(DrainError::NotDraining)
    );
}

#[test]
fn the_table_has_at_most_one_row_for_each_state_and_input() {
    for (index, transition) in TRANSITIONS.iter().enumerate() {
        let is_duplicate =
            |other: &&Transition| other.from == transition.from && other.input == transition.input;
        assert_eq!(TRANSITIONS[index + 1..].iter().find(is_duplicate), None);
    }
}

#[test]
fn every_state_has_a_row_for_every_request_of_an_operator() {
    for state in [
        DrainState::Serving,
        DrainState::Closing,
        DrainState::Migrating,
        DrainState::Late,
        DrainState::Empty,
        DrainState::Exiting,
    ] {
        for input in [DrainInput::DrainRequested, DrainInput::UndrainRequested] {
            assert!(
                Transition::find(state, input).is_some(),
                "{state:?} {input:?}"
            );
        }
    }
}
