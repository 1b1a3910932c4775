//! What is known of one zone: its state, its timer, its hold-down and its recovery ramp.

use crate::{ZoneFailoverSettings, ZoneState};
use std::time::Duration;

/// Steps by which a recovering zone gets its share of traffic back, the first of them at once.
pub(crate) const RAMP_STEPS: u32 = 6;
/// How long a zone must have been in use for its earlier losses to no longer lengthen the hold-down.
pub(crate) const LOSS_HISTORY_WINDOW: Duration = Duration::from_secs(60);
/// Most consecutive losses that lengthen the hold-down; bounded so that the doubling does not overflow.
const MAX_COUNTED_LOSSES: u32 = 16;
/// How long capacity counts as short after a zone was closed or its share grew: for that long, clients that the zone
/// displaced still reconnect to other zones.
const DISPLACEMENT_DURATION: Duration = Duration::from_secs(8);

/// What is known of one zone.
#[derive(Clone, Debug, Default)]
pub struct Zone {
    /// State of the zone.
    pub state: ZoneState,
    /// When it entered that state; zero if the state never changed.
    pub state_since: Duration,
    /// Number of suspicions that were dropped because they were not confirmed.
    pub dropped_suspicions: u64,
    /// How many times the zone was closed and opened again by a response after at most one probe, while discovery listed
    /// servers of it throughout.
    pub false_alarms: u64,
    /// When any of its servers last responded; `None` if none ever has.
    pub(crate) last_response: Option<Duration>,
    /// The earliest failure that led to the present suspicion or loss.
    pub(crate) first_failure: Duration,
    /// When the timer of the present state expires; `None` while no timer runs.
    pub(crate) timer: Option<Duration>,
    /// Until when a response does not open the zone again.
    pub(crate) held_down_until: Duration,
    /// When it last came into use, in part or in full, or a suspicion of it was last dropped.
    pub(crate) in_use_since: Duration,
    /// When it was last closed or its share grew; `None` before the first time.
    pub(crate) share_changed_at: Option<Duration>,
    /// Steps of the recovery ramp taken so far, not counting the first.
    pub(crate) ramp_step: u32,
    /// Consecutive losses, each after the first within [`LOSS_HISTORY_WINDOW`] of coming into use; at most
    /// [`MAX_COUNTED_LOSSES`].
    pub(crate) recent_losses: u32,
    /// Whether discovery listed all of its servers as gone since it was last in use.
    pub(crate) was_unlisted: bool,
    /// Number of probes since it was closed.
    pub(crate) probes: u32,
}

impl Zone {
    /// Whether it is closed and a response may not open it yet.
    pub(crate) fn is_held_down(&self, now: Duration) -> bool {
        self.state.is_closed() && now < self.held_down_until
    }

    /// Whether clients of this zone may be reconnecting to other zones.
    pub(crate) fn displaces_clients(&self, now: Duration) -> bool {
        let changed_recently = self
            .share_changed_at
            .is_some_and(|changed_at| now < changed_at + DISPLACEMENT_DURATION);
        self.state.is_closed() || self.state == ZoneState::Recovering || changed_recently
    }

    /// Ends a suspicion that was not confirmed.
    pub(crate) fn drop_suspicion(&mut self, now: Duration) {
        self.timer = None;
        self.in_use_since = now;
        self.dropped_suspicions += 1;
    }

    /// Starts the hold-down. It has no length for the first loss, and doubles with each loss soon after a recovery.
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

    /// Puts the zone into use again at `ramp_step`, with the next step due after `step_interval`.
    pub(crate) fn reopen(&mut self, now: Duration, ramp_step: u32, step_interval: Duration) {
        self.ramp_step = ramp_step;
        self.was_unlisted = false;
        self.in_use_since = now;
        self.share_changed_at = Some(now);
        self.timer = Some(now + step_interval);
    }

    /// Whether all steps of the ramp but the last have been taken.
    pub(crate) fn is_ramp_complete(&self) -> bool {
        self.ramp_step + 1 >= RAMP_STEPS
    }
}
