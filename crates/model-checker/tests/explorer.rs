//! The explorer sees every state within its limits, and its counterexamples are shortest ones.

use asterramp_model_checker::explorer::{Exploration, Limits, explore, explore_after};
use asterramp_model_checker::model::Model;
use std::fmt;
use std::time::Duration;

/// A robot on a square board that starts at (0, 0), so that its distance from the start in steps is the sum of its
/// coordinates.
#[derive(Clone, Debug)]
struct Robot {
    x: u32,
    y: u32,
    board: Board,
}

#[derive(Clone, Copy, Debug)]
struct Board {
    /// Number of fields along each side.
    size: u32,
    /// A field whose state violates a property.
    trap: Option<(u32, u32)>,
    /// A field from which the action back to the origin violates a property.
    forbidden_return: Option<(u32, u32)>,
    /// A field at which the state is finished.
    goal: Option<(u32, u32)>,
}

const BOARD: Board = Board {
    size: 10,
    trap: None,
    forbidden_return: None,
    goal: None,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Right,
    Up,
    BackToOrigin,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum RuleViolation {
    Trapped,
    ReturnForbidden,
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

impl fmt::Display for RuleViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

impl Robot {
    fn on(board: Board) -> Robot {
        Robot { x: 0, y: 0, board }
    }

    fn position(&self) -> Option<(u32, u32)> {
        Some((self.x, self.y))
    }
}

impl Model for Robot {
    type Action = Step;
    type Violation = RuleViolation;
    type Fingerprint = (u32, u32);

    fn fingerprint(&self) -> (u32, u32) {
        (self.x, self.y)
    }

    fn is_finished(&self) -> bool {
        self.position() == self.board.goal
    }

    fn actions(&self) -> Vec<Step> {
        let mut actions = vec![Step::BackToOrigin];
        actions.extend((self.x + 1 < self.board.size).then_some(Step::Right));
        actions.extend((self.y + 1 < self.board.size).then_some(Step::Up));
        actions
    }

    fn apply(&mut self, action: Step) -> Result<(), RuleViolation> {
        match action {
            Step::Right => self.x += 1,
            Step::Up => self.y += 1,
            Step::BackToOrigin if self.position() == self.board.forbidden_return => {
                return Err(RuleViolation::ReturnForbidden);
            }
            Step::BackToOrigin => (self.x, self.y) = (0, 0),
        }
        Ok(())
    }

    fn check(&self) -> Result<(), RuleViolation> {
        if self.position() == self.board.trap {
            return Err(RuleViolation::Trapped);
        }
        Ok(())
    }
}

fn assert_complete(exploration: &Exploration<Step, RuleViolation>) {
    assert_eq!(exploration.counterexample, None);
    assert!(!exploration.is_truncated, "{exploration:?}");
    assert_eq!(exploration.unexpanded, 0);
}

#[test]
fn every_state_is_seen_once_and_every_action_is_counted() {
    let exploration = explore(Robot::on(BOARD), Limits::NONE);
    assert_complete(&exploration);
    assert_eq!(exploration.states, 100);
    // Back to the origin from each of 100 fields; right and up from each but the 10 at the respective edge.
    assert_eq!(exploration.steps, 100 + 90 + 90);
    assert_eq!(exploration.depth, 18);
}

#[test]
fn a_level_of_several_batches_is_expanded_completely() {
    let board = Board {
        size: 2_500,
        ..BOARD
    };
    let exploration = explore(Robot::on(board), Limits::to_depth(2_499));
    assert_eq!(exploration.counterexample, None);
    assert_eq!(exploration.states, 2_500 * 2_501 / 2);
    assert_eq!(exploration.unexpanded, 2_500);
    assert_eq!(exploration.depth, 2_499);
}

#[test]
fn a_counterexample_is_a_shortest_one() {
    let trap = Some((3, 2));
    let exploration = explore(Robot::on(Board { trap, ..BOARD }), Limits::NONE);
    let found = exploration.counterexample.expect("the trap is reached");
    assert_eq!(found.violation, RuleViolation::Trapped);
    assert_eq!(found.actions.len(), 5);
    let mut robot = Robot::on(BOARD);
    for action in found.actions {
        robot.apply(action).expect("no other action is forbidden");
    }
    assert_eq!(robot.position(), trap);
}

#[test]
fn a_forbidden_action_to_a_known_state_is_found() {
    let forbidden_return = Some((1, 1));
    let board = Board {
        forbidden_return,
        ..BOARD
    };
    let found = explore(Robot::on(board), Limits::NONE).counterexample;
    let found = found.expect("the way back is tried");
    assert_eq!(found.violation, RuleViolation::ReturnForbidden);
    assert_eq!(found.actions.len(), 3);
    assert_eq!(found.actions.last(), Some(&Step::BackToOrigin));
}

#[test]
fn two_explorations_give_the_same_counterexample() {
    let trap = Some((7, 7));
    let find = || explore(Robot::on(Board { trap, ..BOARD }), Limits::NONE).counterexample;
    assert!(find().is_some());
    assert_eq!(find(), find());
}

#[test]
fn nothing_is_explored_beyond_a_finished_state() {
    let goal = Some((0, 0));
    let exploration = explore(Robot::on(Board { goal, ..BOARD }), Limits::NONE);
    assert_complete(&exploration);
    assert_eq!((exploration.states, exploration.steps), (1, 0));
}

#[test]
fn the_number_of_states_is_limited() {
    let limits = Limits {
        max_states: 10,
        ..Limits::NONE
    };
    let exploration = explore(Robot::on(BOARD), limits);
    assert!(exploration.is_truncated);
    assert_eq!((exploration.states, exploration.depth), (10, 3));
    assert_eq!(exploration.unexpanded, 4);
}

#[test]
fn the_size_of_a_level_is_limited() {
    let limits = Limits {
        max_level_size: 3,
        ..Limits::NONE
    };
    let exploration = explore(Robot::on(BOARD), limits);
    assert!(exploration.is_truncated);
    assert_eq!((exploration.states, exploration.depth), (6, 2));
    assert_eq!(exploration.unexpanded, 3);
}

#[test]
fn the_depth_is_limited() {
    let exploration = explore(Robot::on(BOARD), Limits::to_depth(2));
    assert!(exploration.is_truncated);
    assert_eq!((exploration.states, exploration.depth), (6, 2));
    assert_eq!(exploration.unexpanded, 3);
}

#[test]
fn the_time_is_limited() {
    let limits = Limits {
        max_time: Duration::ZERO,
        ..Limits::NONE
    };
    let exploration = explore(Robot::on(BOARD), limits);
    assert!(exploration.is_truncated);
    assert_eq!((exploration.states, exploration.depth), (1, 0));
    assert_eq!(exploration.unexpanded, 1);
}

#[test]
fn a_prefix_begins_the_counterexample_and_does_not_count_as_depth() {
    let trap = Some((3, 0));
    let prefix = [Step::Right, Step::Right];
    let robot = Robot::on(Board { trap, ..BOARD });
    let exploration = explore_after(robot, &prefix, Limits::to_depth(1));
    let found = exploration.counterexample.expect("the trap is next");
    assert_eq!(found.actions, [Step::Right; 3]);
}

#[test]
fn a_violation_at_the_end_of_a_prefix_is_found() {
    let trap = Some((2, 0));
    let prefix = [Step::Right, Step::Right];
    let robot = Robot::on(Board { trap, ..BOARD });
    let exploration = explore_after(robot, &prefix, Limits::to_depth(0));
    let found = exploration.counterexample.expect("the trap is reached");
    assert_eq!(found.actions, prefix);
    assert_eq!(exploration.steps, 0);
}

#[test]
fn a_violation_within_a_prefix_ends_the_counterexample() {
    let forbidden_return = Some((1, 0));
    let prefix = [Step::Right, Step::BackToOrigin, Step::Up];
    let robot = Robot::on(Board {
        forbidden_return,
        ..BOARD
    });
    let found = explore_after(robot, &prefix, Limits::NONE).counterexample;
    let found = found.expect("the way back is forbidden");
    assert_eq!(found.violation, RuleViolation::ReturnForbidden);
    assert_eq!(found.actions, prefix[..2]);
}
