//! Leaving in good order: serve on while clients still come, then move all, spread, and go.

use super::{Code, Due, Input, Role, Router, Stage};
use crate::protocol::client::FAILED;
use crate::transport::Key;
use std::time::Duration;

/// The front goes on sending clients for this long.
const SERVE_ON: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(25);
/// Who does not go by itself is killed, though not before the longest wait of a client, or this, and some
/// tenths of a second more have passed.
const LONGEST: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_millis(500);
/// Parts of that time between which all that were open are moved: as late as it may be, since the other
/// proxies, which are to take them, may have been restarted just before, and the front is slow to see them.
const MOVING: (f64, f64) = (0.7, 1.05);

#[derive(Debug)]
pub struct Leave {
    /// When moving begins, when all are to be moved, what waits is answered, and the rest is dropped.
    moving: Duration,
    moved: Duration,
    answered: Duration,
    ends: Duration,
    pub done: bool,
}

impl Router {
    pub fn leave(&mut self, now: Duration) {
        if self.leaving.is_some() {
            return;
        }
        self.now = now;
        let told = Some(self.setup.longest_wait).filter(|wait| !wait.is_zero());
        let answered = now + told.unwrap_or(LONGEST).min(LONGEST);
        let part = |part| now + (answered - now).mul_f64(part);
        let (moving, moved) = (part(MOVING.0), part(MOVING.1));
        let leave = Leave { moving, moved, answered, ends: answered + AFTER, done: false };
        self.deadlines.set(Due::Leave, (now + SERVE_ON).min(leave.moving));
        self.leaving = Some(leave);
    }

    pub(super) fn leave_on(&mut self) {
        let Some(leave) = &self.leaving else { return };
        let Leave { moving, moved, answered, ends, .. } = *leave;
        // Who waits at the door has been let in by the front, and would be lost with it.
        self.accept();
        self.door.take().into_iter().for_each(|door| drop(self.close(door)));
        self.deadlines.clear(Due::Door);
        let of = |stage: fn(Stage) -> bool| -> Vec<Key> {
            let sessions = self.exchange.sessions.iter();
            let those = sessions.filter(|(_, held)| stage(held.life.stage) && !held.life.left);
            those.map(|(key, _)| key).collect()
        };
        let open = of(|stage| stage == Stage::Open);
        let pending = of(|stage| stage != Stage::Open);
        let steps = moved.saturating_sub(self.now).as_millis() / STEP.as_millis() + 1;
        let share = open.len().div_ceil(steps as usize);
        let share = if self.now < moving { 0 } else { share };
        open.into_iter().take(share).for_each(|sess| self.move_away(sess, Code::Leaving));
        if self.now >= answered {
            pending.into_iter().for_each(|sess| self.input(sess, Input::GoingDown));
            let greeting = |role| matches!(role, Role::Greeting);
            let late: Vec<Key> =
                self.conns.iter().filter(|(_, conn)| greeting(conn.role)).map(|(key, _)| key).collect();
            late.into_iter().for_each(|key| self.dismiss(key, &[FAILED]));
        }
        let client = |role| matches!(role, Role::Greeting | Role::Client(_) | Role::Lingering { .. });
        let waits = self.conns.iter().any(|(_, conn)| client(conn.role));
        let done = self.now >= ends || !waits;
        self.leaving.iter_mut().for_each(|leave| leave.done = done);
        self.deadlines.set(Due::Leave, self.now + STEP);
    }
}
