//! What a host can do: speed shared among its connections, groups whose cost counts once, slow start, and a collapse when
//! it is overloaded while it warms up. No I/O and no clock: callers tell the time.

use crate::event_log::SessionId;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// What a host is able to do.
#[derive(Clone, Debug)]
pub struct LoadModelSettings {
    /// Its speed as a multiple of a standard host's.
    pub speed: f64,
    /// The most sessions that it has at once.
    pub max_sessions: u32,
    /// Load of each group that has a session here, as a share of what a standard host can do.
    pub group_cost: f64,
    /// The share of its speed that it has when its process has just started.
    pub cold_share: f64,
    /// How long after its start it has all of its speed.
    pub warm_up_time: Duration,
    /// It collapses at so many times the work that it can do while it warms up.
    pub overload_factor: f64,
    /// Over how long that work is summed.
    pub overload_window: Duration,
    /// What setting a session up takes of a standard host.
    pub set_up_work: Duration,
    /// What a message takes of an idle host.
    pub message_time: Duration,
    /// How old the figures of a load report are.
    pub report_age: Duration,
    /// By how much its load is off at most, as a share of it.
    pub report_noise: f64,
}

/// What becomes of a session that reaches a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SetUpOutcome {
    /// Up after so long.
    UpAfter(Duration),
    /// It has no room for another one.
    Full,
    /// Too much work came while it warmed up: it is down, and this was the last of it.
    Collapsed,
}

/// What a load report tells.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load over what it can do.
    pub utilization: f64,
    /// Open sessions.
    pub outstanding: u32,
}

/// The highest utilization that lengthens a message's time; above it work queues up.
const HIGHEST_UTILIZATION: f64 = 0.98;
/// The longest queue, and the longest that a message waits, in seconds.
const LONGEST_DELAY: f64 = 20.0;
/// The least that a host can do, so that nothing is divided by zero.
const LEAST_CAPACITY: f64 = 1e-6;
const LEAST_SPEED_FACTOR: f64 = 1e-3;
/// The shortest warm-up, in seconds.
const SHORTEST_WARM_UP: f64 = 1e-9;
/// One sample of the load in this time tells as much as all.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Random bits that a float of the range from 0 to 1 holds.
const FLOAT_BITS: u32 = 53;

/// A session that was to be set up of late.
#[derive(Clone, Copy, Debug)]
struct RecentSetUp {
    at: Duration,
    /// In seconds of a standard host.
    work: f64,
    session: SessionId,
}

/// The load at a time.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: Duration,
    report: LoadReport,
}

/// The load of one host.
#[derive(Debug)]
pub struct LoadModel {
    settings: LoadModelSettings,
    /// When its process started; `None`: long ago.
    started: Option<Duration>,
    /// The share of its speed that faults leave it.
    pub speed_factor: f64,
    open: u32,
    setting_up: u32,
    /// Work of its open sessions, as a share of what a standard host can do.
    work: f64,
    /// How many open sessions each group has.
    groups: HashMap<u64, u32>,
    /// Seconds of its own work that are queued, as of `updated`.
    queued: f64,
    updated: Duration,
    recent_set_ups: VecDeque<RecentSetUp>,
    /// The newest sample that is old enough to be reported, and those after it.
    samples: VecDeque<LoadSample>,
    random_state: u64,
}

impl LoadModel {
    /// A host that has been running for long; `seed` is for the noise of its reports.
    pub fn new(settings: LoadModelSettings, seed: u64) -> LoadModel {
        LoadModel {
            settings,
            started: None,
            speed_factor: 1.0,
            open: 0,
            setting_up: 0,
            work: 0.0,
            groups: HashMap::new(),
            queued: 0.0,
            updated: Duration::ZERO,
            recent_set_ups: VecDeque::new(),
            samples: VecDeque::new(),
            // A state of zero would stay zero.
            random_state: seed | 1,
        }
    }

    /// Its process starts anew: nothing is open, and it warms up.
    pub fn restart(&mut self, now: Duration) {
        let speed_factor = self.speed_factor;
        *self = LoadModel::new(self.settings.clone(), self.random_state);
        self.started = Some(now);
        self.updated = now;
        self.speed_factor = speed_factor;
    }

    /// Open sessions.
    pub fn open_sessions(&self) -> u32 {
        self.open
    }

    /// Whether it is warming up.
    pub fn is_warming_up(&self, now: Duration) -> bool {
        self.warmth(now) < 1.0
    }

    /// The share of its speed that it has after its start.
    fn warmth(&self, now: Duration) -> f64 {
        let up = self
            .started
            .map_or(self.settings.warm_up_time, |at| now.saturating_sub(at));
        let part = (up.as_secs_f64()
            / self
                .settings
                .warm_up_time
                .as_secs_f64()
                .max(SHORTEST_WARM_UP))
        .min(1.0);
        self.settings.cold_share + (1.0 - self.settings.cold_share) * part
    }

    /// What it can do now, as a multiple of a standard host.
    pub fn capacity(&self, now: Duration) -> f64 {
        (self.settings.speed * self.speed_factor * self.warmth(now)).max(LEAST_CAPACITY)
    }

    /// Load over what it can do.
    pub fn utilization(&self, now: Duration) -> f64 {
        let groups = self.groups.len() as f64 * self.settings.group_cost;
        (self.work + groups) / self.capacity(now)
    }

    /// Brings the queue and the samples up to date.
    fn update(&mut self, now: Duration) {
        let span = now.saturating_sub(self.updated).as_secs_f64();
        let queued = self.queued + (self.utilization(now) - 1.0) * span;
        self.queued = queued.clamp(0.0, LONGEST_DELAY);
        self.updated = self.updated.max(now);
        self.sample(now);
    }

    fn sample(&mut self, now: Duration) {
        let report = LoadReport {
            utilization: self.utilization(now),
            outstanding: self.open,
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

    /// A session's complete line has come.
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
        if self.open + self.setting_up >= self.settings.max_sessions {
            return SetUpOutcome::Full;
        }
        self.setting_up += 1;
        // Set-ups queue with the messages, and take their own work.
        let own = Duration::from_secs_f64(work / self.capacity(now));
        SetUpOutcome::UpAfter(self.delay(now) + own)
    }

    /// Whether too much work has come of late for a host that warms up.
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

    /// The sessions that reached it of late.
    pub fn recent_sessions(&self) -> Vec<SessionId> {
        self.recent_set_ups
            .iter()
            .map(|set_up| set_up.session)
            .collect()
    }

    /// A set-up that `begin_set_up` took has ended, well or not.
    pub fn finish_set_up(&mut self) {
        self.setting_up = self.setting_up.saturating_sub(1);
    }

    /// A session is up from now on.
    pub fn connect(&mut self, now: Duration, group: Option<u64>, work: f64) {
        self.update(now);
        self.open += 1;
        self.work += work;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
    }

    /// A session that was up is over.
    pub fn disconnect(&mut self, now: Duration, group: Option<u64>, work: f64) {
        self.update(now);
        self.open = self.open.saturating_sub(1);
        self.work = (self.work - work).max(0.0);
        if let Some(group) = group
            && let Some(held) = self.groups.get_mut(&group)
        {
            *held -= 1;
            if *held == 0 {
                self.groups.remove(&group);
            }
        }
    }

    /// How long a message takes now.
    pub fn message_time(&mut self, now: Duration) -> Duration {
        self.update(now);
        self.delay(now)
    }

    fn delay(&self, now: Duration) -> Duration {
        let busy = self.utilization(now).min(HIGHEST_UTILIZATION);
        let own = self.settings.message_time.as_secs_f64()
            / (1.0 - busy)
            / self.speed_factor.max(LEAST_SPEED_FACTOR);
        Duration::from_secs_f64((own + self.queued).min(LONGEST_DELAY))
    }

    /// A report as a proxy gets it: of a while ago, and somewhat off.
    pub fn report(&mut self, now: Duration) -> LoadReport {
        self.update(now);
        let old = self.samples.front();
        let old = old.map(|sample| sample.report).unwrap_or_default();
        let error = 1.0 + self.settings.report_noise * (self.draw() * 2.0 - 1.0);
        LoadReport {
            utilization: old.utilization * error,
            outstanding: old.outstanding,
        }
    }

    /// A number from 0 to 1, by a xorshift generator.
    fn draw(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> (u64::BITS - FLOAT_BITS)) as f64 / (1u64 << FLOAT_BITS) as f64
    }
}
