//! What a host can do: speed shared among its connections, groups that pay once, cold starts, and a collapse
//! when it is pushed over while cold. No I/O; time comes in.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The figures of one host.
#[derive(Clone, Debug)]
pub struct LoadModelSettings {
    /// As a multiple of a standard host.
    pub speed: f64,
    pub places: u32,
    pub group_cost: f64,
    pub cold_share: f64,
    pub warm_after: Duration,
    pub tip_multiple: f64,
    pub overload_for: Duration,
    pub set_up_work: Duration,
    pub message_time: Duration,
    pub report_age: Duration,
    pub report_noise: f64,
}

/// What becomes of a session that reaches a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SetUpOutcome {
    /// Up after so long.
    After(Duration),
    Full,
    /// Too much work came while it was cold: it is down, and this was the last of it.
    Collapsed,
}

/// What a report tells.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub asked: f64,
    pub outstanding: u32,
}

/// Load from which a host piles up work, and the longest that a message then waits.
const BUSY: f64 = 0.98;
const LONGEST: f64 = 20.0;

#[derive(Debug)]
pub struct LoadModel {
    nature: LoadModelSettings,
    /// `None`: long ago.
    started: Option<Duration>,
    /// Share of its speed that a fault leaves it.
    pub factor: f64,
    open: u32,
    setting_up: u32,
    work: f64,
    groups: HashMap<u64, u32>,
    /// Seconds of its own work that wait, and when that was worked out.
    backlog: f64,
    at: Duration,
    /// Work of sessions and messages that came of late, in seconds of a standard host, and from whom.
    pressed: VecDeque<(Duration, f64, u64)>,
    told: VecDeque<(Duration, LoadReport)>,
    chance: u64,
}

impl LoadModel {
    pub fn new(nature: LoadModelSettings, chance: u64) -> LoadModel {
        LoadModel {
            nature,
            started: None,
            factor: 1.0,
            open: 0,
            setting_up: 0,
            work: 0.0,
            groups: HashMap::new(),
            backlog: 0.0,
            at: Duration::ZERO,
            pressed: VecDeque::new(),
            told: VecDeque::new(),
            chance: chance | 1,
        }
    }

    /// Its process starts anew: nothing is open, and it is cold.
    pub fn restart(&mut self, now: Duration) {
        let factor = self.factor;
        *self = LoadModel::new(self.nature.clone(), self.chance);
        (self.started, self.at, self.factor) = (Some(now), now, factor);
    }

    pub fn open(&self) -> u32 {
        self.open
    }

    pub fn is_cold(&self, now: Duration) -> bool {
        self.warmth(now) < 1.0
    }

    fn warmth(&self, now: Duration) -> f64 {
        let up = self
            .started
            .map_or(self.nature.warm_after, |at| now.saturating_sub(at));
        let part = (up.as_secs_f64() / self.nature.warm_after.as_secs_f64().max(1e-9)).min(1.0);
        self.nature.cold_share + (1.0 - self.nature.cold_share) * part
    }

    /// Standard hosts' work a second that it can do now.
    pub fn capacity(&self, now: Duration) -> f64 {
        (self.nature.speed * self.factor * self.warmth(now)).max(1e-6)
    }

    /// Load asked over what it can do.
    pub fn asked(&self, now: Duration) -> f64 {
        let groups = self.groups.len() as f64 * self.nature.group_cost;
        (self.work + groups) / self.capacity(now)
    }

    fn pass(&mut self, now: Duration) {
        let span = now.saturating_sub(self.at).as_secs_f64();
        self.backlog = (self.backlog + (self.asked(now) - 1.0) * span).clamp(0.0, LONGEST);
        self.at = self.at.max(now);
        let figures = LoadReport {
            asked: self.asked(now),
            outstanding: self.open,
        };
        // One sample in twenty milliseconds tells as much as all.
        if self
            .told
            .back()
            .is_none_or(|last| now.saturating_sub(last.0) >= Duration::from_millis(20))
        {
            self.told.push_back((now, figures));
        }
        while self
            .told
            .get(1)
            .is_some_and(|next| now.saturating_sub(next.0) >= self.nature.report_age)
        {
            self.told.pop_front();
        }
    }

    /// A session's whole line has come, from whom it names.
    pub fn arrive(&mut self, now: Duration, from: u64) -> SetUpOutcome {
        self.pass(now);
        let work = self.nature.set_up_work.as_secs_f64();
        let window = self.nature.overload_for;
        self.pressed.push_back((now, work, from));
        while self
            .pressed
            .front()
            .is_some_and(|p| now.saturating_sub(p.0) > window)
        {
            self.pressed.pop_front();
        }
        if self.is_cold(now) {
            let pressed: f64 = self.pressed.iter().map(|p| p.1).sum();
            if pressed > self.nature.tip_multiple * self.capacity(now) * window.as_secs_f64() {
                return SetUpOutcome::Collapsed;
            }
        }
        if self.open + self.setting_up >= self.nature.places {
            return SetUpOutcome::Full;
        }
        self.setting_up += 1;
        // Set-ups queue with the messages, and pay their own work.
        SetUpOutcome::After(self.delay(now) + Duration::from_secs_f64(work / self.capacity(now)))
    }

    /// Who sent it what it had to take of late.
    pub fn pressers(&self) -> Vec<u64> {
        self.pressed.iter().map(|p| p.2).collect()
    }

    /// A set-up that `arrive` took has ended, well or not.
    pub fn set_up_over(&mut self) {
        self.setting_up = self.setting_up.saturating_sub(1);
    }

    pub fn connect(&mut self, now: Duration, group: Option<u64>, work: f64) {
        self.pass(now);
        self.open += 1;
        self.work += work;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
    }

    pub fn disconnect(&mut self, now: Duration, group: Option<u64>, work: f64) {
        self.pass(now);
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

    /// What a message takes now.
    pub fn message(&mut self, now: Duration) -> Duration {
        self.pass(now);
        self.delay(now)
    }

    fn delay(&self, now: Duration) -> Duration {
        let busy = self.asked(now).min(BUSY);
        let own = self.nature.message_time.as_secs_f64() / (1.0 - busy) / self.factor.max(1e-3);
        Duration::from_secs_f64((own + self.backlog).min(LONGEST))
    }

    /// A report as a proxy gets it: of a while ago, and somewhat off.
    pub fn report(&mut self, now: Duration) -> LoadReport {
        self.pass(now);
        let old = self.told.front().map(|told| told.1).unwrap_or_default();
        let off = 1.0 + self.nature.report_noise * (self.draw() * 2.0 - 1.0);
        LoadReport {
            asked: old.asked * off,
            outstanding: old.outstanding,
        }
    }

    fn draw(&mut self) -> f64 {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        (self.chance >> 11) as f64 / (1u64 << 53) as f64
    }
}
