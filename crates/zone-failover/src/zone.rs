//! What is known of one zone: its state, its timer, its hold-down and its recovery ramp.

use crate::{ZoneFailoverSettings, ZoneState};
use std::time::Duration;

/// Steps by which a recovering zone gets its share back, the first of them at once.
pub(crate) const RAMP_STEPS: u32 = 6;
/// How long a zone must have been in use until its earlier losses no longer lengthen the hold-down.
pub(crate) const LOSS_HISTORY_WINDOW: Duration = Duration::from_secs(60);
/// Losses in a row that lengthen the hold-down; the bound keeps the doubling within range.
const MAX_COUNTED_LOSSES: u32 = 16;
/// How long after a zone was closed, or its share grew, capacity counts as short: its clients go on coming elsewhere.
const SHORTAGE_TAIL: Duration = Duration::from_secs(8);

/// What is known of one zone.
#[derive(Clone, Debug, Default)]
pub struct Zone {
    /// State of the zone.
    pub state: ZoneState,
    /// When it came into that state; zero if it never changed.
    pub state_since: Duration,
    /// Suspicions that were dropped.
    pub dropped_suspicions: u64,
    /// Times that the zone was closed and responded to the first probe, while discovery listed its servers throughout.
    pub false_alarms: u64,
    /// When any of its servers last responded.
    pub(crate) last_response: Option<Duration>,
    /// The earliest failure sign of the present suspicion.
    pub(crate) first_failure: Duration,
    /// When the timer of the present state expires.
    pub(crate) timer: Option<Duration>,
    /// Until when no response opens it again.
    pub(crate) held_down_until: Duration,
    /// When it last came into use, in part or in full.
    pub(crate) in_use_since: Duration,
    /// When it was last closed or its share grew; `None` before the first time.
    pub(crate) share_changed_at: Option<Duration>,
    /// Steps of the recovery ramp taken so far, without the first.
    pub(crate) ramp_step: u32,
    /// Losses in a row, each soon after a recovery.
    pub(crate) recent_losses: u32,
    /// Whether discovery listed all of its servers as gone since it was last in use.
    pub(crate) was_unlisted: bool,
    /// Probes since it was closed.
    pub(crate) probes: u32,
}

impl Zone {
    /// Whether it is closed and no response may open it yet.
    pub(crate) fn is_held_down(&self, now: Duration) -> bool {
        self.state.is_closed() && now < self.held_down_until
    }

    /// Whether its clients may still be on their way to other zones.
    pub(crate) fn displaces_clients(&self, now: Duration) -> bool {
        let changed_lately = self
            .share_changed_at
            .is_some_and(|changed_at| now < changed_at + SHORTAGE_TAIL);
        self.state.is_closed() || self.state == ZoneState::Recovering || changed_lately
    }

    /// Ends a suspicion that was not confirmed.
    pub(crate) fn drop_suspicion(&mut self, now: Duration) {
        self.timer = None;
        self.in_use_since = now;
        self.dropped_suspicions += 1;
    }

    /// Starts the hold-down, which is longer for a zone that is lost again soon after its recovery.
    pub(crate) fn hold_down(&mut self, now: Duration, settings: &ZoneFailoverSettings) {
        self.share_changed_at = Some(now);
        let lost_again = now < self.in_use_since + LOSS_HISTORY_WINDOW;
        self.recent_losses = if lost_again {
            (self.recent_losses + 1).min(MAX_COUNTED_LOSSES)
        } else {
            1
        };
        let doublings = self.recent_losses - 1;
        let hold_down = (settings.hold_down * (1 << doublings) / 2).min(settings.max_hold_down);
        self.held_down_until = if self.recent_losses > 1 {
            now + hold_down
        } else {
            now
        };
        self.timer = Some(self.held_down_until.max(now + settings.probe_interval));
        self.probes = 0;
        self.ramp_step = 0;
    }

    /// Puts the zone into use again at `ramp_step`, with the next step due after `next_step`.
    pub(crate) fn reopen(&mut self, now: Duration, ramp_step: u32, next_step: Duration) {
        self.ramp_step = ramp_step;
        self.was_unlisted = false;
        self.in_use_since = now;
        self.share_changed_at = Some(now);
        self.timer = Some(now + next_step);
    }

    /// Whether all steps of the ramp but the last have been taken.
    pub(crate) fn is_ramp_complete(&self) -> bool {
        self.ramp_step + 1 >= RAMP_STEPS
    }
}
