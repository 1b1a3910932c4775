//! A start after a power loss, and what is kept for the next one: carries out what `asterramp_warm_start` wants, and hands
//! snapshots to the thread that writes them.

use super::peers::Others;
use super::{Code, Due, Router};
use crate::protocol::discovery::{List, Listed};
use asterramp_placement::Event;
use asterramp_placement::event::{Entry, Outcome, Roster, ServerId, Standing};
use asterramp_snapshot::{Host, Snapshot, Told, Writer};
use asterramp_warm_start::{
    Age, Effect, Entry as Way, HostId, Recovery, Source, Stage, Terms, age, fill,
};
use std::time::Duration;

/// How many times its least time a snapshot's age may be though nothing is told: what hosts take is learned all the time.
const AGES: u32 = 10;

/// A start that is under way, or over.
#[derive(Debug)]
pub struct Starting {
    pub(super) recovery: Recovery,
    /// Of the newest list that we had; an older one of discovery's is not taken at its word.
    had: u64,
    /// When discovery told that.
    told: Option<Duration>,
    /// What a connection took of each server before, by its index.
    units: Vec<Option<f64>>,
    way: Way,
}

/// What is kept for the next start.
pub struct Keeping {
    pub writer: Writer,
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

impl Keeping {
    pub fn new(writer: Writer, every: Duration, owner: String, term: u64) -> Keeping {
        Keeping {
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
pub struct Anew {
    pub terms: Terms,
    pub others: Others,
    pub saved: Option<Snapshot>,
}

fn unix(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ms(at: Duration) -> u64 {
    at.as_millis() as u64
}

/// A saved host as discovery would tell it.
fn listed(host: &Host) -> Listed {
    Listed {
        uid: host.uid.clone(),
        endpoint: host.endpoint,
        zone: host.zone.clone(),
        cell: host.cell,
        standing: Standing::Ready,
        weight: host.weight,
        started: host.started_ms.map(unix),
    }
}

impl Router {
    /// Begins by what is known from before: nobody is placed on before it answers, or discovery tells of it.
    pub(super) fn begin_anew(&mut self, anew: Anew, known: &List) {
        let (now, rev) = (self.now, known.rev);
        let others = !anew.others.doors.is_empty();
        self.budget = self.budget.without(anew.others.doors.len().min(8));
        self.others_by(anew.others);
        let terms = Terms {
            others,
            probes: self.budget.probes.min(anew.terms.probes).max(1),
            ..anew.terms
        };
        let saved = anew.saved.unwrap_or_default();
        let mut starting = Starting {
            recovery: Recovery::new(now, terms),
            had: rev.max(saved.rev),
            told: saved.told_ms.map(unix),
            units: Vec::new(),
            way: Way::Shut,
        };
        // When it was told counts, not when it was written again.
        let told = saved.told_ms.map(unix);
        let old = if age(now, Some(unix(saved.saved_ms))) == Age::Unknown {
            Age::Unknown
        } else {
            age(now, told)
        };
        let hosts = saved
            .hosts
            .iter()
            .filter(|host| host.standing == asterramp_snapshot::Standing::Ready);
        let own = hosts.map(|host| (listed(host), Source::Saved, old, saved.rev, host.unit));
        let configured = known
            .lines
            .iter()
            .filter(|line| line.standing == Standing::Ready);
        let configured =
            configured.map(|line| (line.clone(), Source::Configured, Age::Unknown, rev, None));
        // The newer list is taken in last: where the two differ in an address, its word stands.
        let mut words: Vec<_> = own.chain(configured).collect();
        words.sort_by_key(|word| word.3);
        for (line, source, old, rev, unit) in words {
            let at = line.endpoint;
            let Some((entry, _)) = self.roster.take(line) else {
                continue;
            };
            starting.remember(entry.server, unit);
            starting
                .recovery
                .word(now, entry.server, at, source, old, rev);
        }
        self.starting = Some(starting);
        self.heed_start();
    }

    /// Whether the list that discovery tells is older than one that we had, while that may matter.
    pub(super) fn is_older(&self, rev: u64) -> bool {
        let starting = self
            .starting
            .as_ref()
            .filter(|s| s.recovery.stage() != Stage::Normal);
        starting.is_some_and(|starting| rev < starting.had)
    }

    /// Of an older list only what keeps sessions away counts at once; whom it calls ready has to answer first.
    pub(super) fn told_older(&mut self, rev: u64, entries: Vec<Entry>) {
        let (now, mut away) = (self.now, Vec::new());
        for entry in entries {
            let at = self.roster.address(entry.server);
            let Some((starting, at)) = self.starting.as_mut().zip(at) else {
                return;
            };
            match entry.standing {
                Standing::Ready => {
                    starting
                        .recovery
                        .word(now, entry.server, at, Source::Told, Age::Old, rev);
                }
                _ => {
                    starting.recovery.told(now, entry.server, at, false);
                    away.push(entry);
                }
            }
        }
        self.line(
            Code::RosterOld,
            format!(
                "rev={rev} had={}",
                self.starting.as_ref().map_or(0, |s| s.had)
            ),
        );
        self.event(Event::Roster(Roster::Changes(away)));
        self.heed_start();
    }

    /// Discovery has told these, `whole` or changes; the module hears it by itself.
    pub(super) fn told_start(&mut self, entries: &mut [Entry], whole: bool) {
        let (now, cold) = (self.now, self.setup.deployment.cold.warm_after);
        let Some(starting) = &mut self.starting else {
            return;
        };
        entries
            .iter_mut()
            .for_each(|entry| entry.unit = starting.unit(entry.server));
        if starting.recovery.stage() == Stage::Normal {
            return;
        }
        for entry in entries.iter() {
            if let Some(at) = self.roster.address(entry.server) {
                starting
                    .recovery
                    .told(now, entry.server, at, entry.standing == Standing::Ready);
            }
        }
        if whole {
            let ready = entries
                .iter()
                .filter(|entry| entry.standing == Standing::Ready);
            let new = |entry: &&Entry| {
                entry
                    .started
                    .is_some_and(|at| now.saturating_sub(at) < cold)
            };
            let (all, young) = (ready.clone().count(), ready.clone().filter(new).count());
            let listed: Vec<HostId> = entries.iter().map(|entry| entry.server).collect();
            starting.recovery.told_whole(now, &listed, young * 2 > all);
        }
        self.heed_start();
    }

    /// A probe has ended that the start may have wanted.
    pub(super) fn probed_at_start(&mut self, server: ServerId, outcome: Outcome) {
        let now = self.now;
        let Some(starting) = &mut self.starting else {
            return;
        };
        starting.recovery.answered(
            now,
            server,
            matches!(outcome, Outcome::Ok | Outcome::Full | Outcome::Erred),
        );
        self.heed_start();
    }

    pub(super) fn start_due(&mut self) {
        let now = self.now;
        let Some(starting) = &mut self.starting else {
            return;
        };
        starting.recovery.tick(now);
        self.heed_start();
    }

    /// Carries out what the start wants, until there is no more.
    pub(super) fn heed_start(&mut self) {
        loop {
            let Some(starting) = &mut self.starting else {
                return;
            };
            let effects: Vec<Effect> = starting.recovery.effects().collect();
            if effects.is_empty() {
                break;
            }
            effects
                .into_iter()
                .for_each(|effect| self.start_effect(effect));
        }
        let Some(starting) = &self.starting else {
            return;
        };
        match starting.recovery.due() {
            Some(due) => self.deadlines.set(Due::Start, due),
            None => self.deadlines.clear(Due::Start),
        }
    }

    fn start_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Ask => self.ask_others(),
            // Where probes are not allowed, the first dial is the question.
            Effect::Probe(id) if !self.setup.deployment.may_probe => {
                let now = self.now;
                self.starting
                    .iter_mut()
                    .for_each(|s| s.recovery.answered(now, id, true));
            }
            Effect::Probe(id) => self.probe(id),
            Effect::Use(id) => {
                let started = Some(self.now);
                self.roster.stands(id, Standing::Ready);
                let unit = self.starting.as_ref().and_then(|s| s.unit(id));
                self.place_on(id, Standing::Ready, started, unit);
            }
            Effect::Drop(id, why) => {
                self.line(
                    Code::HostDropped,
                    format!("server={} why={why:?}", self.roster.name(id)),
                );
                self.roster.stands(id, Standing::Gone);
                self.place_on(id, Standing::Gone, None, None);
            }
            Effect::Door(way) => {
                self.starting.iter_mut().for_each(|s| s.way = way);
                if way != Way::Shut && !self.serving {
                    self.serve("recovery");
                }
                self.weigh_room();
            }
            Effect::Turned(stage, why) => {
                self.line(Code::Stage, format!("stage={} why={why:?}", stage.name()))
            }
        }
    }

    fn place_on(
        &mut self,
        id: HostId,
        standing: Standing,
        started: Option<Duration>,
        unit: Option<f64>,
    ) {
        if let Some(entry) = self.roster.entry(id) {
            let entry = Entry {
                standing,
                started,
                unit,
                ..entry
            };
            self.event(Event::Roster(Roster::Changes(vec![entry])));
        }
    }

    /// Set-ups a second that a start lets in; `None` where it lets in all.
    pub(super) fn start_pace(&self) -> Option<f64> {
        let starting = self.starting.as_ref()?;
        let cold = self.setup.deployment.cold;
        match starting.way {
            Way::Open => None,
            Way::Shut | Way::Refused => Some(0.0),
            Way::ByDegrees => {
                let up = self.now.saturating_sub(starting.recovery.since());
                let unit = starting.units.iter().flatten();
                let (sum, n) = unit.fold((0.0, 0.0), |(sum, n), unit| (sum + unit, n + 1.0));
                let told = self
                    .roster
                    .hosts()
                    .filter_map(|host| Some((host.load.asked?, host.load.connections?)));
                let (asked, held) =
                    told.fold((0.0, 0.0), |sum, load| (sum.0 + load.0, sum.1 + load.1));
                // What hosts say now goes before what they took before.
                let unit = if held >= fill::FEW {
                    Some(asked / held)
                } else {
                    (n > 0.0).then(|| sum / n)
                };
                let cold = fill::Cold {
                    share: cold.share,
                    warm_after: cold.warm_after,
                    multiple: cold.multiple,
                };
                Some(fill::pace(
                    cold,
                    starting.recovery.hosts().usable(),
                    unit,
                    self.setup.deployment.proxies,
                    up,
                ))
            }
        }
    }

    /// Whether it says so when it is asked whether it serves.
    pub(super) fn start_serves(&self) -> bool {
        self.starting
            .as_ref()
            .is_none_or(|s| !matches!(s.way, Way::Shut | Way::Refused))
    }

    pub(super) fn starting(&self) -> Option<&Recovery> {
        self.starting.as_ref().map(|starting| &starting.recovery)
    }

    /// Keeps what is known for the next start from now on.
    pub fn keep_state(&mut self, keeping: Keeping) {
        self.keeping = Some(keeping);
    }

    /// An owner's term was heard that is higher than any before; it is kept.
    pub(super) fn heard_term(&mut self, term: u64) {
        self.keeping
            .iter_mut()
            .for_each(|keeping| keeping.term = term);
        self.state_changed();
    }

    pub(super) fn state_changed(&mut self) {
        self.keeping
            .iter_mut()
            .for_each(|keeping| keeping.changed = true);
    }

    /// Hands a snapshot over, if one is due, and tells how the last ones fared.
    pub(super) fn keep_on(&mut self) {
        let now = self.now;
        let Some(keeping) = &mut self.keeping else {
            return;
        };
        let told = keeping.writer.told();
        let since = now.saturating_sub(keeping.saved);
        let due = keeping.changed && since >= keeping.every || since >= keeping.every * AGES;
        self.told_of_state(told);
        if due {
            let snapshot = self.snapshot(false);
            let Some(keeping) = &mut self.keeping else {
                return;
            };
            (keeping.saved, keeping.changed) = (now, false);
            keeping.writer.save(snapshot);
        }
    }

    fn told_of_state(&mut self, told: Vec<Told>) {
        for told in told {
            let (wrote, failed) = (
                matches!(told, Told::Saved { .. }),
                matches!(told, Told::Failed(_)),
            );
            self.keeping.iter_mut().for_each(|keeping| {
                keeping.written.0 += u64::from(wrote);
                keeping.written.1 += u64::from(failed);
            });
            match told {
                Told::Saved { .. } => self.count(Code::StateSaved),
                Told::Failed(why) => self.line(Code::StateBad, format!("save why={why:?}")),
                Told::Held => self.line(Code::StateBad, "another process holds the folder"),
                Told::Taken => self.line(Code::StateTaken, "the other process has let go"),
            }
        }
    }

    /// The last snapshot, of a proxy that leaves in good order.
    pub fn close_state(&mut self) {
        let snapshot = self.snapshot(true);
        if let Some(keeping) = self.keeping.take() {
            keeping.writer.save(snapshot);
            let told = keeping.writer.close();
            self.told_of_state(told);
        }
    }

    fn snapshot(&self, clean: bool) -> Snapshot {
        let loads = || {
            self.roster
                .hosts()
                .filter_map(|host| host.load.asked.zip(host.load.connections))
        };
        let all = loads().fold((0.0, 0.0), |sum, load| (sum.0 + load.0, sum.1 + load.1));
        // One that holds few stands for what all take.
        let told = |load: &(f64, f64)| load.1 >= fill::FEW;
        let host = |(line, host): (Listed, &super::endpoints::Host)| {
            let own = host.load.asked.zip(host.load.connections).filter(told);
            let unit = own.or(Some(all).filter(told)).map(|load| load.0 / load.1);
            Host {
                uid: line.uid,
                endpoint: line.endpoint,
                zone: line.zone,
                cell: line.cell,
                standing: match line.standing {
                    Standing::Draining => asterramp_snapshot::Standing::Draining,
                    _ => asterramp_snapshot::Standing::Ready,
                },
                weight: if line.weight.is_finite() {
                    line.weight
                } else {
                    1.0
                },
                started_ms: line.started.map(ms),
                heard_ms: (!host.told.is_zero()).then(|| ms(host.told)),
                unit: unit.filter(|unit| unit.is_finite()),
            }
        };
        let lines = self.roster.lines().zip(self.roster.hosts());
        let keeping = self.keeping.as_ref();
        // What was known before stays so until discovery has told more.
        let before = self
            .starting
            .as_ref()
            .filter(|s| s.recovery.stage() != Stage::Normal || self.watch.rev() == 0);
        let had = before.map_or(0, |s| s.had);
        let told = self
            .watch
            .heard()
            .or(self.starting.as_ref().and_then(|s| s.told));
        Snapshot {
            owner: keeping
                .map(|keeping| keeping.owner.clone())
                .unwrap_or_default(),
            seq: 0,
            saved_ms: ms(self.now),
            rev: self.watch.rev().max(had),
            told_ms: told.map(ms),
            term: keeping.map_or(0, |keeping| keeping.term),
            clean,
            hosts: lines
                .filter(|(line, _)| line.standing != Standing::Gone)
                .map(host)
                .collect(),
        }
    }

    /// Snapshots written and failed, if any are kept.
    pub(super) fn kept(&self) -> Option<(u64, u64)> {
        self.keeping.as_ref().map(|keeping| keeping.written)
    }
}

impl Starting {
    pub(super) fn remember(&mut self, server: ServerId, unit: Option<f64>) {
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
