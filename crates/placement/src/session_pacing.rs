//! Pauses between new sessions while sessions fail at every server.
//!
//! A shared dependency of the servers is then assumed to be overloaded, and the dials of all proxies would keep it
//! overloaded. New sessions are dialed one at a time with a pause between them, and the others are rejected at once,
//! until sessions open again.

use crate::outlier_ejection::BASE_EJECTION;
use crate::random::RandomSource;
use crate::session::Session;
use std::time::Duration;

/// Initial pause, about as long as a first dial and its answer take. A session that opens while the pause is at most
/// this long ends the pacing.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause. With its jitter each proxy dials a session at least once in 4 s, and n proxies dial about n / 3 a
/// second.
const MAX_PAUSE: Duration = Duration::from_millis(3_000);
/// Initial pause of a process in which no session has opened yet, as nothing shows how long opening one takes. While
/// the pause is longer than this, sessions get no retries.
const STARTUP_PAUSE: Duration = Duration::from_millis(1_000);

/// Whether new sessions are paced, and when the next one may be dialed. Times are since the clock began.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionPacing {
    /// Pause between sessions; zero while they aren't paced.
    pause: Duration,
    /// Earliest time at which the next session may be dialed.
    next_session_at: Duration,
    /// When failures last lengthened the pause.
    lengthened_at: Duration,
    /// When a session last opened at any server; zero for never.
    last_opened_at: Duration,
    /// Hash key of the client whose session last failed, if one did since a session last opened.
    last_failed_client: Option<u64>,
}

impl SessionPacing {
    pub(crate) fn is_active(&self) -> bool {
        !self.pause.is_zero()
    }

    pub(crate) fn no_session_opened_yet(&self) -> bool {
        self.last_opened_at.is_zero()
    }

    /// Whether sessions currently get no retries.
    pub(crate) fn forbids_retries(&self) -> bool {
        self.pause > STARTUP_PAUSE
    }

    /// Whether an attempt may take all the time that its session has left.
    pub(crate) fn allows_long_attempts(&self) -> bool {
        self.pause > MIN_PAUSE
    }

    /// Whether the session had an attempt that failed and may have been executed, and no session has opened at any
    /// server since it was dialed.
    pub(crate) fn no_session_opened_since_failure(&self, session: &Session) -> bool {
        session
            .first_execution
            .is_some_and(|first| self.last_opened_at <= first.dialed_at)
    }

    /// Whether the session is too early to be dialed for the first time. The client that failed last has to wait one
    /// pause longer, so that others go first.
    pub(crate) fn must_wait(&self, session: &Session, now: Duration) -> bool {
        let failed_last = self.last_failed_client == Some(session.request.hash_key);
        let waits_longer = failed_last && now < self.next_session_at + self.pause;
        let is_early = now < self.next_session_at || waits_longer;
        session.attempts == 0 && self.is_active() && is_early
    }

    /// Records the first dial of a session: the next session may be dialed after `jittered_pause`.
    pub(crate) fn record_first_dial(&mut self, now: Duration, jittered_pause: Duration) {
        self.next_session_at = now + jittered_pause;
    }

    /// The current pause with random jitter of up to a tenth either way.
    pub(crate) fn jittered_pause(&self, random: &mut RandomSource) -> Duration {
        self.pause.mul_f64(0.9 + 0.2 * random.next_unit())
    }

    /// Records a failed session. The pause grows if nothing has opened for [`BASE_EJECTION`] and either a session of
    /// another client failed before or no session has opened yet.
    pub(crate) fn record_failure(
        &mut self,
        session: &Session,
        now: Duration,
        random: &mut RandomSource,
    ) {
        let none_opened_recently = self.last_opened_at + BASE_EJECTION <= now;
        // An attempt dialed before the pause last grew doesn't show whether that was enough.
        let dialed_after_lengthening = session
            .first_execution
            .is_some_and(|first| self.lengthened_at <= first.dialed_at);
        let is_evidence = none_opened_recently
            && dialed_after_lengthening
            && self.no_session_opened_since_failure(session);
        let client = session.request.hash_key;
        // A faulty client keeps failing while others succeed.
        if !is_evidence || self.last_failed_client == Some(client) {
            return;
        }
        let other_client_failed = self.last_failed_client.replace(client).is_some();
        if other_client_failed || self.no_session_opened_yet() {
            self.lengthen(now);
            self.next_session_at = now + self.jittered_pause(random);
        }
    }

    /// Starts pacing, or lengthens the pause to its maximum.
    fn lengthen(&mut self, now: Duration) {
        self.pause = if self.is_active() {
            MAX_PAUSE
        } else if self.no_session_opened_yet() {
            STARTUP_PAUSE
        } else {
            MIN_PAUSE
        };
        self.lengthened_at = now;
    }

    /// Records an opened session, which shortens the pause or ends it. One that was slow lengthens the pause: the
    /// servers have a queue of sessions to open, and more would only wait longer.
    pub(crate) fn record_opened(&mut self, now: Duration, was_slow: bool) {
        self.pause = if was_slow {
            (self.pause * 2).min(MAX_PAUSE)
        } else if self.pause > MIN_PAUSE {
            self.pause / 2
        } else {
            Duration::ZERO
        };
        self.next_session_at = self.next_session_at.min(now + self.pause);
        self.last_opened_at = now;
        self.last_failed_client = None;
    }
}
