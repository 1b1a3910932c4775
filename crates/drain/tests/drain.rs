//! Drains simulation step by step: each step migrates as many sessions as were advised.

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
    open: usize,
    spare_capacity: Option<f64>,
    /// Sessions migrated in each step.
    migrations: Vec<usize>,
    states: Vec<DrainState>,
}

impl Simulation {
    fn new(open: usize, spare_capacity: Option<f64>) -> Simulation {
        let drain = Drain::new(DrainSettings::default());
        Simulation {
            drain,
            now: START,
            open,
            spare_capacity,
            migrations: Vec::new(),
            states: Vec::new(),
        }
    }

    fn view(&self) -> DrainView {
        DrainView {
            open_sessions: self.open,
            client_connections: self.open,
            spare_capacity: self.spare_capacity,
            ..DrainView::default()
        }
    }

    fn run_for(&mut self, span: Duration) -> &mut Simulation {
        let end = self.now + span;
        while self.now < end {
            self.now += ADVICE_INTERVAL;
            let view = self.view();
            let advice = self.drain.advise(self.now, &view);
            self.open -= advice.sessions_to_migrate;
            self.migrations.push(advice.sessions_to_migrate);
            if self.states.last() != Some(&self.drain.state()) {
                self.states.push(self.drain.state());
            }
        }
        self
    }
}

#[test_case(300, Some(1_000.0), None, 60_000, &[DrainState::Closing, DrainState::Migrating, DrainState::Empty], 200; "enough capacity: the maximum that is set")]
#[test_case(300, Some(100.0), None, 60_000, &[DrainState::Closing, DrainState::Migrating, DrainState::Empty], 20; "by what endpoints can absorb")]
#[test_case(300, Some(0.0), None, 10_000, &[DrainState::Closing, DrainState::Late, DrainState::Empty], 33; "no capacity and a deadline: late, and faster")]
#[test_case(300, None, None, 60_000, &[DrainState::Closing, DrainState::Migrating, DrainState::Empty], 50; "endpoints that report nothing")]
#[test_case(300, Some(1_000.0), Some(10.0), 60_000, &[DrainState::Closing, DrainState::Migrating, DrainState::Empty], 10; "the operator's rate")]
#[test_case(0, None, None, 60_000, &[DrainState::Closing, DrainState::Empty], 0; "no sessions")]
fn a_drain_goes_through_its_states_at_its_rate(
    open: usize,
    spare_capacity: Option<f64>,
    rate: Option<f64>,
    deadline: u64,
    states: &[DrainState],
    most: usize,
) {
    let mut simulation = Simulation::new(open, spare_capacity);
    simulation.drain.start(START, ms(deadline), rate).unwrap();
    simulation.run_for(ms(deadline + 1_000));
    assert_eq!((simulation.open, simulation.states.as_slice()), (0, states));
    assert_eq!(simulation.drain.migrated_sessions(), open as u64);
    let second = 1_000 / ADVICE_INTERVAL.as_millis() as usize;
    let worst = simulation
        .migrations
        .windows(second)
        .map(|w| w.iter().sum::<usize>())
        .max()
        .unwrap();
    assert!(
        worst <= most + most / 8 + 1 && worst + 2 >= most.min(open),
        "{worst} in a second"
    );
    let last = simulation
        .migrations
        .iter()
        .rposition(|n| *n > 0)
        .map_or(0, |at| at + 1);
    assert!(
        ADVICE_INTERVAL * last as u32 <= ms(deadline),
        "past its deadline"
    );
}

#[test]
fn the_front_is_given_time_to_stop_sending() {
    let mut simulation = Simulation::new(10, None);
    simulation.drain.start(START, ms(60_000), None).unwrap();
    assert!(!simulation.drain.answers_pings());
    // Somebody still comes for two seconds: a second of quiet after that.
    let mut at = Vec::new();
    for step in 1..200 {
        let now = START + ADVICE_INTERVAL * step;
        let last_came = now.min(START + ms(1_500));
        let view = DrainView {
            open_sessions: 10,
            client_connections: 10,
            last_session_arrival: last_came,
            ..DrainView::default()
        };
        let _ = simulation.drain.advise(now, &view);
        at.extend((simulation.drain.state() != DrainState::Closing).then_some(now));
    }
    assert!(
        (at[0] - START).abs_diff(ms(2_500)) <= ADVICE_INTERVAL,
        "{:?}",
        at[0] - START
    );
}

#[test]
fn a_drain_can_be_cancelled_at_any_time_and_started_again() {
    for halfway in [0, 500, 2_000, 9_950] {
        let mut simulation = Simulation::new(500, Some(200.0));
        simulation.drain.start(START, ms(10_000), None).unwrap();
        simulation.run_for(ms(halfway));
        let now = simulation.now;
        simulation.drain.cancel(now).unwrap();
        let left = simulation.open;
        simulation.run_for(ms(3_000));
        assert_eq!(
            (simulation.open, simulation.drain.state()),
            (left, DrainState::Serving),
            "nothing is migrated any more"
        );
        assert!(
            simulation.drain.answers_pings() && !simulation.drain.allows_next_drain(simulation.now)
        );
        simulation.run_for(ms(7_100));
        assert!(
            simulation.drain.allows_next_drain(simulation.now),
            "long enough for the next one"
        );
        let now = simulation.now;
        simulation.drain.start(now, ms(8_000), None).unwrap();
        simulation.run_for(ms(8_000));
        assert_eq!(
            (simulation.open, simulation.drain.state()),
            (0, DrainState::Empty)
        );
    }
}

#[test]
fn a_second_request_changes_the_deadline_and_does_not_close_again() {
    let mut simulation = Simulation::new(400, Some(50.0));
    simulation.drain.start(START, ms(600_000), None).unwrap();
    simulation.run_for(ms(5_000));
    let left = simulation.open;
    assert!(left > 300 && simulation.drain.state() == DrainState::Migrating);
    let now = simulation.now;
    simulation.drain.start(now, ms(4_000), None).unwrap();
    simulation.run_for(ms(100));
    assert!(
        simulation.open < left && simulation.drain.state() == DrainState::Late,
        "at once, and late"
    );
    simulation.run_for(ms(3_900));
    assert_eq!(simulation.open, 0);
}

#[test]
fn sessions_that_arrive_while_it_is_empty_are_migrated_too() {
    let mut simulation = Simulation::new(0, None);
    simulation.drain.start(START, ms(60_000), None).unwrap();
    simulation.run_for(ms(2_000));
    assert_eq!(simulation.drain.state(), DrainState::Empty);
    simulation.open = 3;
    simulation.run_for(ms(500));
    assert_eq!(
        (simulation.open, simulation.drain.state()),
        (0, DrainState::Empty)
    );
}

fn exit(from: Duration) -> ShutdownSchedule {
    let after = |n| from + ms(n);
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
fn a_shutdown_has_no_way_back() {
    let mut simulation = Simulation::new(100, Some(0.0));
    simulation.drain.start(START, ms(60_000), None).unwrap();
    simulation.run_for(ms(1_500));
    let from = simulation.now;
    simulation.drain.begin_shutdown(exit(from));
    assert_eq!(simulation.drain.cancel(from), Err(DrainError::Exiting));
    assert_eq!(
        simulation.drain.start(from, ms(1), None),
        Err(DrainError::Exiting)
    );
    let open = simulation.open;
    simulation.run_for(ms(2_000));
    assert_eq!(simulation.open, open, "the others may not be back yet");
    let moves = simulation.migrations.len();
    simulation.run_for(ms(1_200));
    assert_eq!(simulation.open, 0);
    let steps = &simulation.migrations[moves..];
    assert!(steps.iter().max() < Some(&9), "in even steps: {steps:?}");
}

#[test_case(499, 0, (false, false, false); "the front still sends")]
#[test_case(500, 5, (false, false, false); "late arrivals are served")]
#[test_case(2_999, 5, (false, false, false); "still")]
#[test_case(3_000, 5, (true, true, false); "the listener closes, pending sessions are rejected")]
#[test_case(3_500, 5, (true, true, true); "the rest is dropped")]
#[test_case(600, 0, (false, false, true); "no client is left")]
fn a_shutdown_keeps_its_schedule(after: u64, clients: usize, does: (bool, bool, bool)) {
    let mut drain = Drain::new(DrainSettings::default());
    drain.begin_shutdown(exit(START));
    let shuts = drain.closes_listener(START + ms(after));
    let advice = drain.advise(
        START + ms(after),
        &DrainView {
            client_connections: clients,
            ..DrainView::default()
        },
    );
    assert_eq!((shuts, advice.reject_pending, advice.exit), does);
}

#[test]
fn cancelling_without_a_drain_is_rejected() {
    assert_eq!(
        Drain::new(DrainSettings::default()).cancel(START),
        Err(DrainError::NotDraining)
    );
}

#[test]
fn the_table_has_one_row_at_most_for_each_state_and_input() {
    for (nth, transition) in TRANSITIONS.iter().enumerate() {
        let same =
            |other: &&Transition| other.from == transition.from && other.input == transition.input;
        assert_eq!(TRANSITIONS[nth + 1..].iter().find(same), None);
    }
}

#[test]
fn every_state_answers_every_request_of_an_operator() {
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
