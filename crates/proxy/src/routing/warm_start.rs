//! A start after a power loss, and what is kept for the next one: carries out what `asterramp_warm_start` wants, and hands
//! snapshots to the thread that writes them.

use super::peers::PeerSettings;
use super::{ReasonCode, Router, TimerKey};
use crate::protocol::discovery::{EndpointList, ListedEndpoint};
use asterramp_placement::Event;
use asterramp_placement::event::{Endpoint, EndpointState, EndpointUpdate, Outcome, ServerId};
use asterramp_snapshot::{SaveOutcome, SavedEndpoint, Snapshot, SnapshotWriter};
use asterramp_warm_start::{
    EndpointId, EndpointSource, InformationAge, StartMode as Way, WarmStart, WarmStartEffect,
    WarmStartSettings, WarmStartStage, age, fill,
};
use std::time::Duration;

/// How many times its least time a snapshot's age may be though nothing is told: what hosts take is learned all the time.
const AGES: u32 = 10;

/// A start that is under way, or over.
#[derive(Debug)]
pub struct WarmStartProgress {
    pub(super) recovery: WarmStart,
    /// Of the newest list that we had; an older one of discovery's is not taken at its word.
    had: u64,
    /// When discovery told that.
    told: Option<Duration>,
    /// What a connection took of each server before, by its index.
    units: Vec<Option<f64>>,
    way: Way,
}

/// What is kept for the next start.
pub struct SnapshotSchedule {
    pub writer: SnapshotWriter,
    /// Least time between two snapshots.
    pub every: Duration,
    pub owner: String,
    /// The highest owner's term heard.
    pub term: u64,
    saved: Duration,
    changed: bool,
    /// Snapshots written, and those that failed.
    written: (u64, u64),
}

impl SnapshotSchedule {
    pub fn new(
        writer: SnapshotWriter,
        every: Duration,
        owner: String,
        term: u64,
    ) -> SnapshotSchedule {
        SnapshotSchedule {
            writer,
            every,
            owner,
            term,
            saved: Duration::ZERO,
            changed: false,
            written: (0, 0),
        }
    }
}

/// How a start goes on from what was saved.
#[derive(Clone, Debug)]
pub struct WarmStartPlan {
    pub terms: WarmStartSettings,
    pub others: PeerSettings,
    pub saved: Option<Snapshot>,
}

fn unix(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ms(at: Duration) -> u64 {
    at.as_millis() as u64
}

/// A saved host as discovery would tell it.
fn listed(host: &SavedEndpoint) -> ListedEndpoint {
    ListedEndpoint {
        uid: host.uid.clone(),
        address: host.endpoint,
        zone: host.zone.clone(),
        cell: host.cell,
        state: EndpointState::Ready,
        weight: host.weight,
        started_at: host.started_ms.map(unix),
    }
}

impl Router {
    /// Begins by what is known from before: nobody is placed on before it answers, or discovery tells of it.
    pub(super) fn begin_warm_start(&mut self, anew: WarmStartPlan, known: &EndpointList) {
        let (now, rev) = (self.now, known.revision);
        let others = !anew.others.addresses.is_empty();
        self.resource_budget = self
            .resource_budget
            .without(anew.others.addresses.len().min(8));
        self.configure_peers(anew.others);
        let terms = WarmStartSettings {
            others,
            probes: self.resource_budget.probes.min(anew.terms.probes).max(1),
            ..anew.terms
        };
        let saved = anew.saved.unwrap_or_default();
        let mut starting = WarmStartProgress {
            recovery: WarmStart::new(now, terms),
            had: rev.max(saved.rev),
            told: saved.told_ms.map(unix),
            units: Vec::new(),
            way: Way::Shut,
        };
        // When it was told counts, not when it was written again.
        let told = saved.told_ms.map(unix);
        let old = if age(now, Some(unix(saved.saved_ms))) == InformationAge::Unknown {
            InformationAge::Unknown
        } else {
            age(now, told)
        };
        let hosts = saved
            .hosts
            .iter()
            .filter(|host| host.standing == asterramp_snapshot::SavedEndpointState::Ready);
        let own = hosts.map(|host| {
            (
                listed(host),
                EndpointSource::Saved,
                old,
                saved.rev,
                host.unit,
            )
        });
        let configured = known
            .endpoints
            .iter()
            .filter(|line| line.state == EndpointState::Ready);
        let configured = configured.map(|line| {
            (
                line.clone(),
                EndpointSource::Configured,
                InformationAge::Unknown,
                rev,
                None,
            )
        });
        // The newer list is taken in last: where the two differ in an address, its word stands.
        let mut words: Vec<_> = own.chain(configured).collect();
        words.sort_by_key(|word| word.3);
        for (line, source, old, rev, unit) in words {
            let at = line.address;
            let Some(entry) = self.endpoints.update(line).map(|change| change.endpoint) else {
                continue;
            };
            starting.restore_load_per_connection(entry.server, unit);
            starting
                .recovery
                .word(now, entry.server, at, source, old, rev);
        }
        self.warm_start = Some(starting);
        self.apply_warm_start_effects();
    }

    /// Whether the list that discovery tells is older than one that we had, while that may matter.
    pub(super) fn is_older(&self, rev: u64) -> bool {
        let starting = self
            .warm_start
            .as_ref()
            .filter(|s| s.recovery.stage() != WarmStartStage::Normal);
        starting.is_some_and(|starting| rev < starting.had)
    }

    /// Of an older list only what keeps sessions away counts at once; whom it calls ready has to answer first.
    pub(super) fn apply_older_list(&mut self, rev: u64, entries: Vec<Endpoint>) {
        let (now, mut away) = (self.now, Vec::new());
        for entry in entries {
            let at = self.endpoints.address(entry.server);
            let Some((starting, at)) = self.warm_start.as_mut().zip(at) else {
                return;
            };
            match entry.state {
                EndpointState::Ready => {
                    starting.recovery.word(
                        now,
                        entry.server,
                        at,
                        EndpointSource::Told,
                        InformationAge::Old,
                        rev,
                    );
                }
                _ => {
                    starting.recovery.told(now, entry.server, at, false);
                    away.push(entry);
                }
            }
        }
        self.log_event(
            ReasonCode::EndpointListOutdated,
            format!(
                "rev={rev} had={}",
                self.warm_start.as_ref().map_or(0, |s| s.had)
            ),
        );
        self.event(Event::Endpoints(EndpointUpdate::Changes(away)));
        self.apply_warm_start_effects();
    }

    /// Discovery has told these, `whole` or changes; the module hears it by itself.
    pub(super) fn note_listed_endpoints(&mut self, entries: &mut [Endpoint], whole: bool) {
        let (now, cold) = (self.now, self.settings.deployment.slow_start.warm_after);
        let Some(starting) = &mut self.warm_start else {
            return;
        };
        entries
            .iter_mut()
            .for_each(|entry| entry.load_per_connection = starting.unit(entry.server));
        if starting.recovery.stage() == WarmStartStage::Normal {
            return;
        }
        for entry in entries.iter() {
            if let Some(at) = self.endpoints.address(entry.server) {
                starting
                    .recovery
                    .told(now, entry.server, at, entry.state == EndpointState::Ready);
            }
        }
        if whole {
            let ready = entries
                .iter()
                .filter(|entry| entry.state == EndpointState::Ready);
            let new = |entry: &&Endpoint| {
                entry
                    .started_at
                    .is_some_and(|at| now.saturating_sub(at) < cold)
            };
            let (all, young) = (ready.clone().count(), ready.clone().filter(new).count());
            let listed: Vec<EndpointId> = entries.iter().map(|entry| entry.server).collect();
            starting.recovery.told_whole(now, &listed, young * 2 > all);
        }
        self.apply_warm_start_effects();
    }

    /// A probe has ended that the start may have wanted.
    pub(super) fn note_warm_start_probe(&mut self, server: ServerId, outcome: Outcome) {
        let now = self.now;
        let Some(starting) = &mut self.warm_start else {
            return;
        };
        starting.recovery.answered(
            now,
            server,
            matches!(outcome, Outcome::Ok | Outcome::Full | Outcome::Erred),
        );
        self.apply_warm_start_effects();
    }

    pub(super) fn warm_start_deadline(&mut self) {
        let now = self.now;
        let Some(starting) = &mut self.warm_start else {
            return;
        };
        starting.recovery.tick(now);
        self.apply_warm_start_effects();
    }

    /// Carries out what the start wants, until there is no more.
    pub(super) fn apply_warm_start_effects(&mut self) {
        loop {
            let Some(starting) = &mut self.warm_start else {
                return;
            };
            let effects: Vec<WarmStartEffect> = starting.recovery.effects().collect();
            if effects.is_empty() {
                break;
            }
            effects
                .into_iter()
                .for_each(|effect| self.start_effect(effect));
        }
        let Some(starting) = &self.warm_start else {
            return;
        };
        match starting.recovery.due() {
            Some(due) => self.deadlines.set(TimerKey::WarmStart, due),
            None => self.deadlines.clear(TimerKey::WarmStart),
        }
    }

    fn start_effect(&mut self, effect: WarmStartEffect) {
        match effect {
            WarmStartEffect::Ask => self.query_peers(),
            // Where probes are not allowed, the first dial is the question.
            WarmStartEffect::Probe(id) if !self.settings.deployment.may_probe => {
                let now = self.now;
                self.warm_start
                    .iter_mut()
                    .for_each(|s| s.recovery.answered(now, id, true));
            }
            WarmStartEffect::Probe(id) => self.probe(id),
            WarmStartEffect::Use(id) => {
                let started = Some(self.now);
                self.endpoints.set_state(id, EndpointState::Ready);
                let unit = self.warm_start.as_ref().and_then(|s| s.unit(id));
                self.place_on(id, EndpointState::Ready, started, unit);
            }
            WarmStartEffect::Drop(id, why) => {
                self.log_event(
                    ReasonCode::EndpointDropped,
                    format!("server={} why={why:?}", self.endpoints.uid(id)),
                );
                self.endpoints.set_state(id, EndpointState::Gone);
                self.place_on(id, EndpointState::Gone, None, None);
            }
            WarmStartEffect::Door(way) => {
                self.warm_start.iter_mut().for_each(|s| s.way = way);
                if way != Way::Shut && !self.serving {
                    self.start_serving("recovery");
                }
                self.update_admission_rate();
            }
            WarmStartEffect::Turned(stage, why) => self.log_event(
                ReasonCode::WarmStartStageChanged,
                format!("stage={} why={why:?}", stage.name()),
            ),
        }
    }

    fn place_on(
        &mut self,
        id: EndpointId,
        standing: EndpointState,
        started: Option<Duration>,
        unit: Option<f64>,
    ) {
        if let Some(entry) = self.endpoints.endpoint(id) {
            let entry = Endpoint {
                state: standing,
                started_at: started,
                load_per_connection: unit,
                ..entry
            };
            self.event(Event::Endpoints(EndpointUpdate::Changes(vec![entry])));
        }
    }

    /// Set-ups a second that a start lets in; `None` where it lets in all.
    pub(super) fn warm_start_pace(&self) -> Option<f64> {
        let starting = self.warm_start.as_ref()?;
        let cold = self.settings.deployment.slow_start;
        match starting.way {
            Way::Open => None,
            Way::Shut | Way::Refused => Some(0.0),
            Way::ByDegrees => {
                let up = self.now.saturating_sub(starting.recovery.since());
                let unit = starting.units.iter().flatten();
                let (sum, n) = unit.fold((0.0, 0.0), |(sum, n), unit| (sum + unit, n + 1.0));
                let told = self
                    .endpoints
                    .known_endpoints()
                    .filter_map(|host| Some((host.load.utilization?, host.load.connections?)));
                let (asked, held) =
                    told.fold((0.0, 0.0), |sum, load| (sum.0 + load.0, sum.1 + load.1));
                // What hosts say now goes before what they took before.
                let unit = if held >= fill::FEW {
                    Some(asked / held)
                } else {
                    (n > 0.0).then(|| sum / n)
                };
                let cold = fill::SlowStartFigures {
                    share: cold.initial_capacity,
                    warm_after: cold.warm_after,
                    multiple: cold.max_multiple,
                };
                Some(fill::pace(
                    cold,
                    starting.recovery.hosts().usable(),
                    unit,
                    self.settings.deployment.proxy_count,
                    up,
                ))
            }
        }
    }

    /// Whether it says so when it is asked whether it serves.
    pub(super) fn warm_start_serves(&self) -> bool {
        self.warm_start
            .as_ref()
            .is_none_or(|s| !matches!(s.way, Way::Shut | Way::Refused))
    }

    pub(super) fn warm_start_state(&self) -> Option<&WarmStart> {
        self.warm_start.as_ref().map(|starting| &starting.recovery)
    }

    /// Keeps what is known for the next start from now on.
    pub fn enable_snapshots(&mut self, keeping: SnapshotSchedule) {
        self.snapshots = Some(keeping);
    }

    /// An owner's term was heard that is higher than any before; it is kept.
    pub(super) fn record_term(&mut self, term: u64) {
        self.snapshots
            .iter_mut()
            .for_each(|keeping| keeping.term = term);
        self.mark_snapshot_outdated();
    }

    pub(super) fn mark_snapshot_outdated(&mut self) {
        self.snapshots
            .iter_mut()
            .for_each(|keeping| keeping.changed = true);
    }

    /// Hands a snapshot over, if one is due, and tells how the last ones fared.
    pub(super) fn save_snapshot_if_due(&mut self) {
        let now = self.now;
        let Some(keeping) = &mut self.snapshots else {
            return;
        };
        let told = keeping.writer.told();
        let since = now.saturating_sub(keeping.saved);
        let due = keeping.changed && since >= keeping.every || since >= keeping.every * AGES;
        self.told_of_state(told);
        if due {
            let snapshot = self.snapshot(false);
            let Some(keeping) = &mut self.snapshots else {
                return;
            };
            (keeping.saved, keeping.changed) = (now, false);
            keeping.writer.save(snapshot);
        }
    }

    fn told_of_state(&mut self, told: Vec<SaveOutcome>) {
        for told in told {
            let (wrote, failed) = (
                matches!(told, SaveOutcome::Saved { .. }),
                matches!(told, SaveOutcome::Failed(_)),
            );
            self.snapshots.iter_mut().for_each(|keeping| {
                keeping.written.0 += u64::from(wrote);
                keeping.written.1 += u64::from(failed);
            });
            match told {
                SaveOutcome::Saved { .. } => self.count_event(ReasonCode::SnapshotSaved),
                SaveOutcome::Failed(why) => {
                    self.log_event(ReasonCode::SnapshotFailed, format!("save why={why:?}"))
                }
                SaveOutcome::Held => self.log_event(
                    ReasonCode::SnapshotFailed,
                    "another process holds the folder",
                ),
                SaveOutcome::Taken => self.log_event(
                    ReasonCode::SnapshotLockAcquired,
                    "the other process has let go",
                ),
            }
        }
    }

    /// The last snapshot, of a proxy that leaves in good order.
    pub fn close_snapshots(&mut self) {
        let snapshot = self.snapshot(true);
        if let Some(keeping) = self.snapshots.take() {
            keeping.writer.save(snapshot);
            let told = keeping.writer.close();
            self.told_of_state(told);
        }
    }

    fn snapshot(&self, clean: bool) -> Snapshot {
        let loads = || {
            self.endpoints
                .known_endpoints()
                .filter_map(|host| host.load.utilization.zip(host.load.connections))
        };
        let all = loads().fold((0.0, 0.0), |sum, load| (sum.0 + load.0, sum.1 + load.1));
        // One that holds few stands for what all take.
        let told = |load: &(f64, f64)| load.1 >= fill::FEW;
        let host = |(line, host): (ListedEndpoint, &super::endpoints::KnownEndpoint)| {
            let own = host
                .load
                .utilization
                .zip(host.load.connections)
                .filter(told);
            let unit = own.or(Some(all).filter(told)).map(|load| load.0 / load.1);
            SavedEndpoint {
                uid: line.uid,
                endpoint: line.address,
                zone: line.zone,
                cell: line.cell,
                standing: match line.state {
                    EndpointState::Draining => asterramp_snapshot::SavedEndpointState::Draining,
                    _ => asterramp_snapshot::SavedEndpointState::Ready,
                },
                weight: if line.weight.is_finite() {
                    line.weight
                } else {
                    1.0
                },
                started_ms: line.started_at.map(ms),
                heard_ms: (!host.reported_at.is_zero()).then(|| ms(host.reported_at)),
                unit: unit.filter(|unit| unit.is_finite()),
            }
        };
        let lines = self
            .endpoints
            .listed_endpoints()
            .zip(self.endpoints.known_endpoints());
        let keeping = self.snapshots.as_ref();
        // What was known before stays so until discovery has told more.
        let before = self.warm_start.as_ref().filter(|s| {
            s.recovery.stage() != WarmStartStage::Normal || self.discovery_watch.rev() == 0
        });
        let had = before.map_or(0, |s| s.had);
        let told = self
            .discovery_watch
            .last_heard()
            .or(self.warm_start.as_ref().and_then(|s| s.told));
        Snapshot {
            owner: keeping
                .map(|keeping| keeping.owner.clone())
                .unwrap_or_default(),
            seq: 0,
            saved_ms: ms(self.now),
            rev: self.discovery_watch.rev().max(had),
            told_ms: told.map(ms),
            term: keeping.map_or(0, |keeping| keeping.term),
            clean,
            hosts: lines
                .filter(|(line, _)| line.state != EndpointState::Gone)
                .map(host)
                .collect(),
        }
    }

    /// Snapshots written and failed, if any are kept.
    pub(super) fn snapshot_counts(&self) -> Option<(u64, u64)> {
        self.snapshots.as_ref().map(|keeping| keeping.written)
    }
}

impl WarmStartProgress {
    pub(super) fn restore_load_per_connection(&mut self, server: ServerId, unit: Option<f64>) {
        if self.units.len() <= server as usize {
            self.units.resize(server as usize + 1, None);
        }
        let known = &mut self.units[server as usize];
        *known = unit.or(*known);
    }

    fn unit(&self, server: ServerId) -> Option<f64> {
        self.units.get(server as usize).copied().flatten()
    }
}
