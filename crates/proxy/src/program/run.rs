//! The loop.

use super::clock::Clock;
use super::config::ConfigFile;
use super::counters::Counters;
use super::log::Log;
use super::signals::Signals;
use crate::log_line;
use crate::routing::Router;
use crate::routing::peers::PeerSettings;
use crate::routing::report::{ReasonCode, RouterEvent};
use crate::routing::warm_start::{SnapshotSchedule, WarmStartPlan};
use asterramp_drain::DrainSettings;
use asterramp_operator_config::{
    OperatorConfig, SnapshotConfig, TakesEffect, WarmStartConfig, ZoneFailoverConfig,
};
use asterramp_placement::settings::Settings;
use asterramp_snapshot::{Snapshot, SnapshotDirectory, SnapshotStore, SnapshotWriter};

/// Serves until told to leave.
pub fn run(config: Option<&str>, operator: Option<&str>) -> Result<(), String> {
    let clock = Clock::start();
    let (signals, wakes) = Signals::heed()?;
    let (source, mut start) = ConfigFile::open(config)?;
    let mut wishes = operator.map(read).transpose()?.unwrap_or_default();
    let owner = start.listen.to_string();
    let (saved, mut troubles) =
        (wishes.state.as_ref()).map_or_else(Default::default, |state| load(state, &owner));
    let term = saved.as_ref().map_or(0, |saved| saved.lease_term);
    start.warm_start = wishes.recovery.stages.then(|| WarmStartPlan {
        settings: stages(&wishes, &start.settings),
        peers: others(&wishes),
        snapshot: saved,
    });
    let mut router = Router::new(start, clock.now()).map_err(|e| e.to_string())?;
    router
        .add_wake_source(wakes)
        .map_err(|e| format!("signals: {e}"))?;
    if let Some(state) = &wishes.state {
        match SnapshotDirectory::open(&state.folder)
            .and_then(|folder| SnapshotWriter::start(folder, owner.clone()))
        {
            Ok(writer) => {
                router.enable_snapshots(SnapshotSchedule::new(writer, state.every, owner, term))
            }
            Err(e) => troubles.push(format!("folder={} why=\"{e}\"", state.folder.display())),
        }
    }
    router.log_events.extend(
        troubles
            .into_iter()
            .map(|why| RouterEvent::Log(ReasonCode::SnapshotFailed, why)),
    );
    router.configure_admission(wishes.site.pace, wishes.site.by_worth);
    router.restore_highest_term(term);
    router.set_drain_settings(terms(&wishes));
    router.configure_zone_failover(wishes.site.watch.then(|| sites(&wishes)));
    if let Some(control) = &wishes.control {
        let opened =
            router.open_admin_socket(&control.socket, control.peers, wishes.drain.deadline);
        opened.map_err(|e| format!("control.socket: {}: {e}", control.socket.display()))?;
    }
    let (mut log, mut counters) = (Log::default(), Counters::default());
    while !router.is_done() {
        router
            .wait(clock.now())
            .map_err(|e| format!("waiting: {e}"))?;
        let now = clock.now();
        router.process(now);
        if signals.reloads() {
            match source.again() {
                Ok((start, kept)) => {
                    for key in kept {
                        router.log_events.push(RouterEvent::Log(
                            ReasonCode::ConfigUnchanged,
                            format!("key={key}"),
                        ));
                    }
                    router.reload(now, start.discovery);
                }
                Err(why) => router.log_events.push(RouterEvent::Log(
                    ReasonCode::ConfigReloadFailed,
                    format!("why={why:?}"),
                )),
            }
            if let Some(path) = operator {
                wishes = again(&mut router, path, wishes);
            }
        }
        if signals.leaves() {
            router.begin_shutdown(now);
        }
        for report in router.log_events.drain(..) {
            counters.take(&report);
            if let RouterEvent::Log(code, about) = report {
                log_line!(log, now, "{} {about}", code.name());
            }
        }
        if signals.prints() {
            let dropped = log.dropped;
            log_line!(log, now, "{counters} log-dropped={dropped}");
        }
    }
    router.close_all();
    router.close_admin_socket();
    router.close_hot_restart();
    router.close_snapshots();
    for report in router.log_events.drain(..) {
        counters.take(&report);
        if let RouterEvent::Log(code, about) = report {
            log_line!(log, clock.now(), "{} {about}", code.name());
        }
    }
    let dropped = log.dropped;
    log_line!(log, clock.now(), "{counters} log-dropped={dropped}");
    Ok(())
}

/// The operator's file, or all that is wrong with it in one line.
fn read(path: &str) -> Result<OperatorConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let told = |problems: Vec<asterramp_operator_config::ConfigProblem>| {
        let all: Vec<String> = problems.iter().map(ToString::to_string).collect();
        format!("{path}: {}", all.join("; "))
    };
    OperatorConfig::read(&text).map_err(told)
}

fn terms(wishes: &OperatorConfig) -> DrainSettings {
    let drain = &wishes.drain;
    DrainSettings {
        closing: drain.closing,
        quiet: drain.quiet,
        pace: drain.pace,
        back: drain.back,
    }
}

/// The newest snapshot of this proxy's, and a line for all that was wrong on the way to it.
fn load(state: &SnapshotConfig, owner: &str) -> (Option<Snapshot>, Vec<String>) {
    let found = match SnapshotDirectory::open(&state.folder) {
        Ok(folder) => SnapshotStore::new(folder).load(Some(owner)),
        // The same is said when it is opened for writing.
        Err(_) => return (None, Vec::new()),
    };
    let told = |problem: asterramp_snapshot::FileProblem| {
        format!(
            "file={}/{} why={:?}",
            state.folder.display(),
            problem.file,
            problem.error.to_string()
        )
    };
    (
        found.snapshot,
        found.problems.into_iter().map(told).collect(),
    )
}

fn others(wishes: &OperatorConfig) -> PeerSettings {
    let WarmStartConfig { fleet, others, .. } = &wishes.recovery;
    PeerSettings {
        fleet: fleet.clone(),
        addresses: others.clone(),
    }
}

fn stages(wishes: &OperatorConfig, setup: &Settings) -> asterramp_warm_start::WarmStartSettings {
    let (wish, warm) = (&wishes.recovery, setup.deployment.slow_start.warm_after);
    asterramp_warm_start::WarmStartSettings {
        discovery_timeout: wish.look,
        probe_timeout: wish.probe,
        limited_admission: warm,
        ..Default::default()
    }
}

fn sites(wishes: &OperatorConfig) -> asterramp_zone_failover::ZoneFailoverSettings {
    let ZoneFailoverConfig {
        look,
        hold,
        hold_most,
        settle,
        ..
    } = wishes.site;
    asterramp_zone_failover::ZoneFailoverSettings {
        probe_interval: look,
        hold_down: hold,
        hold_down_max: hold_most,
        recovery_ramp: settle,
        ..Default::default()
    }
}

/// Reads the operator's file again. What takes a restart keeps its value; a bad file changes nothing.
fn again(router: &mut Router, path: &str, before: OperatorConfig) -> OperatorConfig {
    let after = match read(path) {
        Ok(after) => after,
        Err(why) => {
            router.log_events.push(RouterEvent::Log(
                ReasonCode::ConfigReloadFailed,
                format!("why={why:?}"),
            ));
            return before;
        }
    };
    for (key, takes) in before.changes(&after) {
        let code = if takes == TakesEffect::AtOnce {
            ReasonCode::ConfigReloaded
        } else {
            ReasonCode::ConfigUnchanged
        };
        router
            .log_events
            .push(RouterEvent::Log(code, format!("key={key}")));
    }
    router.set_drain_settings(terms(&after));
    router.set_default_drain_deadline(after.drain.deadline);
    let site = ZoneFailoverConfig {
        watch: before.site.watch,
        by_worth: before.site.by_worth,
        ..after.site
    };
    let (control, state, recovery) = (before.control, before.state, before.recovery);
    let after = OperatorConfig {
        control,
        state,
        recovery,
        site,
        ..after
    };
    router.configure_admission(after.site.pace, after.site.by_worth);
    router.configure_zone_failover(after.site.watch.then(|| sites(&after)));
    after
}
