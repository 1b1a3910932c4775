//! Drains played step by step against views that they change.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_drain::{Drain, DrainError, DrainExit, DrainSettings, DrainState, DrainView, STEP};
use std::time::Duration;
use test_case::test_case;

const START: Duration = Duration::from_secs(1_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Played {
    drain: Drain,
    now: Duration,
    open: usize,
    room: Option<f64>,
    /// Moves of each step.
    moves: Vec<usize>,
    states: Vec<DrainState>,
}

impl Played {
    fn new(open: usize, room: Option<f64>) -> Played {
        let drain = Drain::new(DrainSettings::default());
        Played {
            drain,
            now: START,
            open,
            room,
            moves: Vec::new(),
            states: Vec::new(),
        }
    }

    fn view(&self) -> DrainView {
        DrainView {
            open: self.open,
            clients: self.open,
            room: self.room,
            ..DrainView::default()
        }
    }

    fn play(&mut self, span: Duration) -> &mut Played {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let view = self.view();
            let advice = self.drain.advise(self.now, &view);
            self.open -= advice.move_now;
            self.moves.push(advice.move_now);
            if self.states.last() != Some(&self.drain.state()) {
                self.states.push(self.drain.state());
            }
        }
        self
    }
}

#[test_case(300, Some(1_000.0), None, 60_000, &[DrainState::Closing, DrainState::Moving, DrainState::Empty], 200; "room enough: the most that is set")]
#[test_case(300, Some(100.0), None, 60_000, &[DrainState::Closing, DrainState::Moving, DrainState::Empty], 20; "by what the hosts absorb")]
#[test_case(300, Some(0.0), None, 10_000, &[DrainState::Closing, DrainState::Late, DrainState::Empty], 33; "no room and a deadline: late, and faster")]
#[test_case(300, None, None, 60_000, &[DrainState::Closing, DrainState::Moving, DrainState::Empty], 50; "hosts that tell nothing")]
#[test_case(300, Some(1_000.0), Some(10.0), 60_000, &[DrainState::Closing, DrainState::Moving, DrainState::Empty], 10; "the operator's pace")]
#[test_case(0, None, None, 60_000, &[DrainState::Closing, DrainState::Empty], 0; "nobody there")]
fn a_drain_goes_through_its_states_at_its_pace(
    open: usize,
    room: Option<f64>,
    pace: Option<f64>,
    deadline: u64,
    states: &[DrainState],
    most: usize,
) {
    let mut played = Played::new(open, room);
    played.drain.drain(START, ms(deadline), pace).unwrap();
    played.play(ms(deadline + 1_000));
    assert_eq!((played.open, played.states.as_slice()), (0, states));
    assert_eq!(played.drain.moved(), open as u64);
    let second = 1_000 / STEP.as_millis() as usize;
    let worst = played
        .moves
        .windows(second)
        .map(|w| w.iter().sum::<usize>())
        .max()
        .unwrap();
    assert!(
        worst <= most + most / 8 + 1 && worst + 2 >= most.min(open),
        "{worst} in a second"
    );
    let last = played
        .moves
        .iter()
        .rposition(|n| *n > 0)
        .map_or(0, |at| at + 1);
    assert!(STEP * last as u32 <= ms(deadline), "past its deadline");
}

#[test]
fn the_front_is_given_its_time_to_stop_sending() {
    let mut played = Played::new(10, None);
    played.drain.drain(START, ms(60_000), None).unwrap();
    assert!(!played.drain.answers_pings());
    // Somebody still comes for two seconds: a second of quiet after that.
    let mut at = Vec::new();
    for step in 1..200 {
        let now = START + STEP * step;
        let last_came = now.min(START + ms(1_500));
        let view = DrainView {
            open: 10,
            clients: 10,
            last_came,
            ..DrainView::default()
        };
        let _ = played.drain.advise(now, &view);
        at.extend((played.drain.state() != DrainState::Closing).then_some(now));
    }
    assert!(
        (at[0] - START).abs_diff(ms(2_500)) <= STEP,
        "{:?}",
        at[0] - START
    );
}

#[test]
fn a_drain_can_be_taken_back_at_any_time_and_begun_again() {
    for halfway in [0, 500, 2_000, 9_950] {
        let mut played = Played::new(500, Some(200.0));
        played.drain.drain(START, ms(10_000), None).unwrap();
        played.play(ms(halfway));
        let now = played.now;
        played.drain.undrain(now).unwrap();
        let left = played.open;
        played.play(ms(3_000));
        assert_eq!(
            (played.open, played.drain.state()),
            (left, DrainState::Serving),
            "nothing moves any more"
        );
        assert!(played.drain.answers_pings() && !played.drain.carries(played.now));
        played.play(ms(7_100));
        assert!(
            played.drain.carries(played.now),
            "long enough for the next one"
        );
        let now = played.now;
        played.drain.drain(now, ms(8_000), None).unwrap();
        played.play(ms(8_000));
        assert_eq!((played.open, played.drain.state()), (0, DrainState::Empty));
    }
}

#[test]
fn a_second_order_changes_the_deadline_and_the_front_is_not_waited_for_again() {
    let mut played = Played::new(400, Some(50.0));
    played.drain.drain(START, ms(600_000), None).unwrap();
    played.play(ms(5_000));
    let left = played.open;
    assert!(left > 300 && played.drain.state() == DrainState::Moving);
    let now = played.now;
    played.drain.drain(now, ms(4_000), None).unwrap();
    played.play(ms(100));
    assert!(
        played.open < left && played.drain.state() == DrainState::Late,
        "at once, and late"
    );
    played.play(ms(3_900));
    assert_eq!(played.open, 0);
}

#[test]
fn whoever_comes_while_it_is_empty_is_moved_too() {
    let mut played = Played::new(0, None);
    played.drain.drain(START, ms(60_000), None).unwrap();
    played.play(ms(2_000));
    assert_eq!(played.drain.state(), DrainState::Empty);
    played.open = 3;
    played.play(ms(500));
    assert_eq!((played.open, played.drain.state()), (0, DrainState::Empty));
}

fn exit(from: Duration) -> DrainExit {
    let after = |n| from + ms(n);
    DrainExit {
        serve_on: after(500),
        door: after(3_000),
        moving: after(2_100),
        moved: after(3_150),
        answered: after(3_000),
        ends: after(3_500),
    }
}

#[test]
fn leaving_for_good_is_the_same_machine_with_no_way_back() {
    let mut played = Played::new(100, Some(0.0));
    played.drain.drain(START, ms(60_000), None).unwrap();
    played.play(ms(1_500));
    let from = played.now;
    played.drain.exit(exit(from));
    assert_eq!(played.drain.undrain(from), Err(DrainError::Exiting));
    assert_eq!(
        played.drain.drain(from, ms(1), None),
        Err(DrainError::Exiting)
    );
    let open = played.open;
    played.play(ms(2_000));
    assert_eq!(played.open, open, "the others may not be back yet");
    let moves = played.moves.len();
    played.play(ms(1_200));
    assert_eq!(played.open, 0);
    let steps = &played.moves[moves..];
    assert!(steps.iter().max() < Some(&9), "in even steps: {steps:?}");
}

#[test_case(499, 0, (false, false, false); "the front still sends")]
#[test_case(500, 5, (false, false, false); "whoever comes late is served")]
#[test_case(2_999, 5, (false, false, false); "still")]
#[test_case(3_000, 5, (true, true, false); "the door closes, whoever waits is answered")]
#[test_case(3_500, 5, (true, true, true); "the rest is dropped")]
#[test_case(600, 0, (false, false, true); "nobody is left")]
fn an_exit_keeps_its_times(after: u64, clients: usize, does: (bool, bool, bool)) {
    let mut drain = Drain::new(DrainSettings::default());
    drain.exit(exit(START));
    let shuts = drain.shuts_door(START + ms(after));
    let advice = drain.advise(
        START + ms(after),
        &DrainView {
            clients,
            ..DrainView::default()
        },
    );
    assert_eq!((shuts, advice.answer, advice.exit), does);
}

#[test]
fn taking_back_what_does_not_drain_is_refused() {
    assert_eq!(
        Drain::new(DrainSettings::default()).undrain(START),
        Err(DrainError::NotDraining)
    );
}
