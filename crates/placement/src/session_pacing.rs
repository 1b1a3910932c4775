//! Pauses between new sessions, once sessions fail wherever they go.
//!
//! What the servers depend on is then taken to be overloaded, and dials of all proxies would keep it so. Sessions
//! are dialed one at a time, with a pause between them, and the others are rejected at once, until some open.

use crate::outlier_ejection::BASE_EJECTION;
use crate::random::RandomSource;
use crate::session::Session;
use std::time::Duration;

/// First pause: about what a first dial and its answer take.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause: each proxy tries at least once in 4 s, and n proxies try n / 3 times a second.
const MAX_PAUSE: Duration = Duration::from_millis(3_000);
/// First pause of a process at which nothing ever opened, as it knows of no better time. Above it, a session
/// gets no retry.
const LONG_PAUSE: Duration = Duration::from_millis(1_000);

#[derive(Clone, Debug, Default)]
pub(crate) struct SessionPacing {
    /// Zero while sessions aren't paced.
    pause: Duration,
    next_session_at: Duration,
    lengthened_at: Duration,
    /// When a session last opened at any server; zero for never.
    last_opened_at: Duration,
    /// Key of the client whose session failed last since then.
    failed_client: Option<u64>,
}

impl SessionPacing {
    pub(crate) fn is_active(&self) -> bool {
        !self.pause.is_zero()
    }

    pub(crate) fn no_session_opened_yet(&self) -> bool {
        self.last_opened_at.is_zero()
    }

    /// Whether sessions get no retry for now.
    pub(crate) fn forbids_retries(&self) -> bool {
        self.pause > LONG_PAUSE
    }

    /// Whether an attempt may take all the time that its session has left.
    pub(crate) fn allows_long_attempts(&self) -> bool {
        self.pause > MIN_PAUSE
    }

    /// Whether an attempt of the session failed that may have been executed, and no session opened anywhere
    /// since.
    pub(crate) fn no_session_opened_since_failure(&self, session: &Session) -> bool {
        session
            .first_execution
            .is_some_and(|first| self.last_opened_at <= first.dialed_at)
    }

    /// Whether the session must wait for its turn. The client that failed last lets others go first.
    pub(crate) fn must_wait(&self, session: &Session, now: Duration) -> bool {
        let failed_last = self.failed_client == Some(session.request.hash_key);
        let waits_longer = failed_last && now < self.next_session_at + self.pause;
        let is_early = now < self.next_session_at || waits_longer;
        session.attempts == 0 && self.is_active() && is_early
    }

    /// A session was dialed for the first time.
    pub(crate) fn record_first_dial(&mut self, now: Duration, jittered_pause: Duration) {
        self.next_session_at = now + jittered_pause;
    }

    /// The present pause, give or take a tenth by chance.
    pub(crate) fn jittered_pause(&self, random: &mut RandomSource) -> Duration {
        self.pause.mul_f64(0.9 + 0.2 * random.next_unit())
    }

    /// A session failed. The pause grows if a second client did too and nothing opened for a while.
    pub(crate) fn record_failure(
        &mut self,
        session: &Session,
        now: Duration,
        random: &mut RandomSource,
    ) {
        let nothing_opens = self.last_opened_at + BASE_EJECTION <= now;
        // An attempt from before the pause last grew says nothing of whether that was enough.
        let dialed_since = session
            .first_execution
            .is_some_and(|first| self.lengthened_at <= first.dialed_at);
        let is_evidence =
            nothing_opens && dialed_since && self.no_session_opened_since_failure(session);
        let client = session.request.hash_key;
        // A bad client fails again and again, alone.
        if !is_evidence || self.failed_client == Some(client) {
            return;
        }
        let other_client_failed = self.failed_client.replace(client).is_some();
        if other_client_failed || self.no_session_opened_yet() {
            self.lengthen(now);
            self.next_session_at = now + self.jittered_pause(random);
        }
    }

    fn lengthen(&mut self, now: Duration) {
        self.pause = if self.is_active() {
            MAX_PAUSE
        } else if self.no_session_opened_yet() {
            LONG_PAUSE
        } else {
            MIN_PAUSE
        };
        self.lengthened_at = now;
    }

    /// A session opened. One that took long shows that others wait there too, and that more would only wait
    /// longer.
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
        self.failed_client = None;
    }
}
