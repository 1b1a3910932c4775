//! The load model of an emulated host: its speed is shared among its sessions, the cost of a group counts once, it
//! warms up after a start, and it collapses if it is overloaded meanwhile. It does no I/O and has no clock: callers
//! pass the time.

use crate::event_log::SessionId;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The properties of a host. Speeds and loads are relative to a standard host, whose speed is 1.
#[derive(Clone, Debug)]
pub struct LoadModelSettings {
    /// Its speed, as a multiple of a standard host's.
    pub speed: f64,
    /// The most sessions that it has at once, including those being set up.
    pub max_sessions: u32,
    /// The load that each group with an open session here adds once, as a share of a standard host's capacity.
    pub group_cost: f64,
    /// The share of its speed that it has right after a start.
    pub cold_share: f64,
    /// How long after a start it reaches its full speed; the speed grows linearly until then.
    pub warm_up_time: Duration,
    /// While it warms up, it collapses when the set-up work of the last `overload_window` exceeds this multiple of what
    /// its present capacity can do in that time.
    pub overload_factor: f64,
    /// The time over which set-up work is summed for `overload_factor`.
    pub overload_window: Duration,
    /// How long a standard host without other load works to set a session up.
    pub set_up_work: Duration,
    /// How long an idle host takes to answer a message.
    pub message_time: Duration,
    /// How old the values in a load report are.
    pub report_age: Duration,
    /// The greatest random error of the utilization in a load report, as a share of it.
    pub report_noise: f64,
}

/// The result of a request to set a session up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SetUpOutcome {
    /// The session will be up after this time.
    UpAfter(Duration),
    /// The host has its most sessions already.
    Full,
    /// The host was overloaded while it warmed up, and collapses with this request.
    Collapsed,
}

/// The values of a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load over capacity; above 1 the host is overloaded.
    pub utilization: f64,
    /// The number of open sessions.
    pub outstanding: u32,
}

/// The greatest utilization in the formula for the time of a message, which has a pole at 1; overload is modelled by
/// the queue instead.
const MAX_FORMULA_UTILIZATION: f64 = 0.98;
/// The longest queue and the longest delay of a message, in seconds.
const MAX_DELAY_SECONDS: f64 = 20.0;
/// The smallest capacity, as a multiple of a standard host's; prevents division by zero.
const MIN_CAPACITY: f64 = 1e-6;
/// The smallest speed factor in the formula for the time of a message; prevents division by zero.
const MIN_SPEED_FACTOR: f64 = 1e-3;
/// The shortest warm-up, in seconds; prevents division by zero.
const MIN_WARM_UP_SECONDS: f64 = 1e-9;
/// The shortest time between two samples of the load; bounds their number.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// The precision of an `f64`, in bits: how many random bits a number from 0 to 1 has.
const FLOAT_BITS: u32 = 53;

/// A request to set a session up, kept for the overload window.
#[derive(Clone, Copy, Debug)]
struct RecentSetUp {
    at: Duration,
    /// In seconds of a standard host's work.
    work: f64,
    session: SessionId,
}

/// The load at one time.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: Duration,
    report: LoadReport,
}

/// The load model of one host. Times are on one monotonic clock of the caller.
#[derive(Debug)]
pub struct LoadModel {
    settings: LoadModelSettings,
    /// When its process started; `None`: long ago, so that it is warm.
    started: Option<Duration>,
    /// The share of its speed that injected faults leave it; 1: all.
    pub speed_factor: f64,
    open_sessions: u32,
    /// Sessions that are being set up.
    pending_set_ups: u32,
    /// The summed load of its open sessions, as a share of a standard host's capacity.
    session_load: f64,
    /// The number of open sessions of each group that has any.
    sessions_by_group: HashMap<u64, u32>,
    /// How long the host needs for the work in its queue, in seconds, as of `updated_at`.
    queue_seconds: f64,
    updated_at: Duration,
    recent_set_ups: VecDeque<RecentSetUp>,
    /// The newest sample that is old enough to be reported, and those after it.
    samples: VecDeque<LoadSample>,
    random_state: u64,
}

impl LoadModel {
    /// Creates the model of a warm host without sessions; `seed` determines the errors of its load reports.
    pub fn new(settings: LoadModelSettings, seed: u64) -> LoadModel {
        LoadModel {
            settings,
            started: None,
            speed_factor: 1.0,
            open_sessions: 0,
            pending_set_ups: 0,
            session_load: 0.0,
            sessions_by_group: HashMap::new(),
            queue_seconds: 0.0,
            updated_at: Duration::ZERO,
            recent_set_ups: VecDeque::new(),
            samples: VecDeque::new(),
            // A xorshift generator never leaves the state 0.
            random_state: seed | 1,
        }
    }

    /// Restarts the host: it has no sessions and begins to warm up. Faults keep their effect.
    pub fn restart(&mut self, now: Duration) {
        let speed_factor = self.speed_factor;
        *self = LoadModel::new(self.settings.clone(), self.random_state);
        self.started = Some(now);
        self.updated_at = now;
        self.speed_factor = speed_factor;
    }

    /// The number of open sessions.
    pub fn open_sessions(&self) -> u32 {
        self.open_sessions
    }

    /// Whether the host is warming up.
    pub fn is_warming_up(&self, now: Duration) -> bool {
        self.warm_up_factor(now) < 1.0
    }

    /// The share of its speed that the host has so far after its start; 1 when it is warm.
    fn warm_up_factor(&self, now: Duration) -> f64 {
        let uptime = self
            .started
            .map_or(self.settings.warm_up_time, |at| now.saturating_sub(at));
        let progress = (uptime.as_secs_f64()
            / self
                .settings
                .warm_up_time
                .as_secs_f64()
                .max(MIN_WARM_UP_SECONDS))
        .min(1.0);
        self.settings.cold_share + (1.0 - self.settings.cold_share) * progress
    }

    /// The present capacity, as a multiple of a standard host's.
    pub fn capacity(&self, now: Duration) -> f64 {
        (self.settings.speed * self.speed_factor * self.warm_up_factor(now)).max(MIN_CAPACITY)
    }

    /// The present load over the present capacity.
    pub fn utilization(&self, now: Duration) -> f64 {
        let group_load = self.sessions_by_group.len() as f64 * self.settings.group_cost;
        (self.session_load + group_load) / self.capacity(now)
    }

    /// Updates the queue and the samples to the present time.
    fn update(&mut self, now: Duration) {
        let span = now.saturating_sub(self.updated_at).as_secs_f64();
        let queue_seconds = self.queue_seconds + (self.utilization(now) - 1.0) * span;
        self.queue_seconds = queue_seconds.clamp(0.0, MAX_DELAY_SECONDS);
        self.updated_at = self.updated_at.max(now);
        self.sample_load(now);
    }

    fn sample_load(&mut self, now: Duration) {
        let report = LoadReport {
            utilization: self.utilization(now),
            outstanding: self.open_sessions,
        };
        let last = self.samples.back();
        if last.is_none_or(|last| now.saturating_sub(last.at) >= SAMPLE_INTERVAL) {
            self.samples.push_back(LoadSample { at: now, report });
        }
        let report_age = self.settings.report_age;
        let is_old = |sample: &LoadSample| now.saturating_sub(sample.at) >= report_age;
        while self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    /// Handles a request to set a session up. After [`SetUpOutcome::UpAfter`], the caller must call
    /// [`LoadModel::finish_set_up`] when the set-up has ended.
    pub fn begin_set_up(&mut self, now: Duration, session: SessionId) -> SetUpOutcome {
        self.update(now);
        let work = self.settings.set_up_work.as_secs_f64();
        self.recent_set_ups.push_back(RecentSetUp {
            at: now,
            work,
            session,
        });
        if self.is_overloaded(now) {
            return SetUpOutcome::Collapsed;
        }
        if self.open_sessions + self.pending_set_ups >= self.settings.max_sessions {
            return SetUpOutcome::Full;
        }
        self.pending_set_ups += 1;
        // A set-up waits in the same queue as messages before its own work is done.
        let own_work = Duration::from_secs_f64(work / self.capacity(now));
        SetUpOutcome::UpAfter(self.response_time(now) + own_work)
    }

    /// Whether the host is warming up and the set-up work of the last overload window is too much for it.
    fn is_overloaded(&mut self, now: Duration) -> bool {
        let window = self.settings.overload_window;
        let is_old = |set_up: &RecentSetUp| now.saturating_sub(set_up.at) > window;
        while self.recent_set_ups.front().is_some_and(is_old) {
            self.recent_set_ups.pop_front();
        }
        if !self.is_warming_up(now) {
            return false;
        }
        let work: f64 = self.recent_set_ups.iter().map(|set_up| set_up.work).sum();
        work > self.settings.overload_factor * self.capacity(now) * window.as_secs_f64()
    }

    /// The sessions whose set-up was requested within the last overload window.
    pub fn recent_sessions(&self) -> Vec<SessionId> {
        self.recent_set_ups
            .iter()
            .map(|set_up| set_up.session)
            .collect()
    }

    /// Ends a set-up that [`LoadModel::begin_set_up`] accepted, whether it succeeded or not.
    pub fn finish_set_up(&mut self) {
        self.pending_set_ups = self.pending_set_ups.saturating_sub(1);
    }

    /// Adds an open session with its load, as a share of a standard host's capacity.
    pub fn connect(&mut self, now: Duration, group: Option<u64>, load: f64) {
        self.update(now);
        self.open_sessions += 1;
        self.session_load += load;
        if let Some(group) = group {
            *self.sessions_by_group.entry(group).or_default() += 1;
        }
    }

    /// Removes an open session, with the same arguments as in [`LoadModel::connect`].
    pub fn disconnect(&mut self, now: Duration, group: Option<u64>, load: f64) {
        self.update(now);
        self.open_sessions = self.open_sessions.saturating_sub(1);
        self.session_load = (self.session_load - load).max(0.0);
        if let Some(group) = group
            && let Some(sessions) = self.sessions_by_group.get_mut(&group)
        {
            *sessions -= 1;
            if *sessions == 0 {
                self.sessions_by_group.remove(&group);
            }
        }
    }

    /// How long the host takes to answer a message that comes now.
    pub fn message_time(&mut self, now: Duration) -> Duration {
        self.update(now);
        self.response_time(now)
    }

    fn response_time(&self, now: Duration) -> Duration {
        let utilization = self.utilization(now).min(MAX_FORMULA_UTILIZATION);
        let own_time = self.settings.message_time.as_secs_f64()
            / (1.0 - utilization)
            / self.speed_factor.max(MIN_SPEED_FACTOR);
        Duration::from_secs_f64((own_time + self.queue_seconds).min(MAX_DELAY_SECONDS))
    }

    /// A load report as a proxy receives it: `report_age` old, with a random error of the utilization.
    pub fn report(&mut self, now: Duration) -> LoadReport {
        self.update(now);
        let sample = self.samples.front();
        let sampled = sample.map(|sample| sample.report).unwrap_or_default();
        let error = 1.0 + self.settings.report_noise * (self.draw_unit() * 2.0 - 1.0);
        LoadReport {
            utilization: sampled.utilization * error,
            outstanding: sampled.outstanding,
        }
    }

    /// Draws a number from 0 to 1 (exclusive) with a xorshift generator.
    fn draw_unit(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> (u64::BITS - FLOAT_BITS)) as f64 / (1u64 << FLOAT_BITS) as f64
    }
}
