//! The loop.

use super::clock::Clock;
use super::config::Source;
use super::counters::Counters;
use super::log::Log;
use super::signals::Signals;
use crate::log_line;
use crate::routing::Router;
use crate::routing::peers::Others;
use crate::routing::report::{Code, Report};
use crate::routing::warm_start::{Anew, Keeping};
use asterramp_drain::Terms;
use asterramp_operator_config::{Operator, Recovery, Site, State, Takes};
use asterramp_placement::settings::Setup;
use asterramp_snapshot::{Folder, Snapshot, Store, Writer};

/// Serves until told to leave.
pub fn run(config: Option<&str>, operator: Option<&str>) -> Result<(), String> {
    let clock = Clock::start();
    let (signals, wakes) = Signals::heed()?;
    let (source, mut start) = Source::open(config)?;
    let mut wishes = operator.map(read).transpose()?.unwrap_or_default();
    let owner = start.listen.to_string();
    let (saved, mut troubles) =
        (wishes.state.as_ref()).map_or_else(Default::default, |state| load(state, &owner));
    let term = saved.as_ref().map_or(0, |saved| saved.term);
    start.anew = wishes.recovery.stages.then(|| Anew {
        terms: stages(&wishes, &start.setup),
        others: others(&wishes),
        saved,
    });
    let mut router = Router::new(start, clock.now()).map_err(|e| e.to_string())?;
    router.wake_by(wakes).map_err(|e| format!("signals: {e}"))?;
    if let Some(state) = &wishes.state {
        match Folder::open(&state.folder).and_then(|folder| Writer::start(folder, owner.clone())) {
            Ok(writer) => router.keep_state(Keeping::new(writer, state.every, owner, term)),
            Err(e) => troubles.push(format!("folder={} why=\"{e}\"", state.folder.display())),
        }
    }
    router.reports.extend(
        troubles
            .into_iter()
            .map(|why| Report::Line(Code::StateBad, why)),
    );
    router.gate_by(wishes.site.pace, wishes.site.by_worth);
    router.fence_from(term);
    router.drain_by(terms(&wishes));
    router.sites_by(wishes.site.watch.then(|| sites(&wishes)));
    if let Some(control) = &wishes.control {
        let opened = router.open_control(&control.socket, control.peers, wishes.drain.deadline);
        opened.map_err(|e| format!("control.socket: {}: {e}", control.socket.display()))?;
    }
    let (mut log, mut counters) = (Log::default(), Counters::default());
    while !router.is_done() {
        router
            .wait(clock.now())
            .map_err(|e| format!("waiting: {e}"))?;
        let now = clock.now();
        router.run(now);
        if signals.reloads() {
            match source.again() {
                Ok((start, kept)) => {
                    for key in kept {
                        router
                            .reports
                            .push(Report::Line(Code::ReloadKept, format!("key={key}")));
                    }
                    router.reload(now, start.discovery);
                }
                Err(why) => router
                    .reports
                    .push(Report::Line(Code::ReloadBad, format!("why={why:?}"))),
            }
            if let Some(path) = operator {
                wishes = again(&mut router, path, wishes);
            }
        }
        if signals.leaves() {
            router.leave(now);
        }
        for report in router.reports.drain(..) {
            counters.take(&report);
            if let Report::Line(code, about) = report {
                log_line!(log, now, "{} {about}", code.name());
            }
        }
        if signals.prints() {
            let dropped = log.dropped;
            log_line!(log, now, "{counters} log-dropped={dropped}");
        }
    }
    router.close_all();
    router.close_control();
    router.shut_kin();
    router.close_state();
    for report in router.reports.drain(..) {
        counters.take(&report);
        if let Report::Line(code, about) = report {
            log_line!(log, clock.now(), "{} {about}", code.name());
        }
    }
    let dropped = log.dropped;
    log_line!(log, clock.now(), "{counters} log-dropped={dropped}");
    Ok(())
}

/// The operator's file, or all that is wrong with it in one line.
fn read(path: &str) -> Result<Operator, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let told = |problems: Vec<asterramp_operator_config::Problem>| {
        let all: Vec<String> = problems.iter().map(ToString::to_string).collect();
        format!("{path}: {}", all.join("; "))
    };
    Operator::read(&text).map_err(told)
}

fn terms(wishes: &Operator) -> Terms {
    let drain = &wishes.drain;
    Terms {
        closing: drain.closing,
        quiet: drain.quiet,
        pace: drain.pace,
        back: drain.back,
    }
}

/// The newest snapshot of this proxy's, and a line for all that was wrong on the way to it.
fn load(state: &State, owner: &str) -> (Option<Snapshot>, Vec<String>) {
    let found = match Folder::open(&state.folder) {
        Ok(folder) => Store::new(folder).load(Some(owner)),
        // The same is said when it is opened for writing.
        Err(_) => return (None, Vec::new()),
    };
    let told = |trouble: asterramp_snapshot::Trouble| {
        format!(
            "file={}/{} why={:?}",
            state.folder.display(),
            trouble.file,
            trouble.why
        )
    };
    (
        found.snapshot,
        found.troubles.into_iter().map(told).collect(),
    )
}

fn others(wishes: &Operator) -> Others {
    let Recovery { fleet, others, .. } = &wishes.recovery;
    Others {
        fleet: fleet.clone(),
        doors: others.clone(),
    }
}

fn stages(wishes: &Operator, setup: &Setup) -> asterramp_warm_start::Terms {
    let (wish, warm) = (&wishes.recovery, setup.deployment.cold.warm_after);
    asterramp_warm_start::Terms {
        look: wish.look,
        probe: wish.probe,
        warm,
        ..Default::default()
    }
}

fn sites(wishes: &Operator) -> asterramp_zone_failover::Terms {
    let Site {
        look,
        hold,
        hold_most,
        settle,
        ..
    } = wishes.site;
    asterramp_zone_failover::Terms {
        look,
        hold,
        hold_most,
        settle,
        ..Default::default()
    }
}

/// Reads the operator's file again. What takes a restart keeps its value; a bad file changes nothing.
fn again(router: &mut Router, path: &str, before: Operator) -> Operator {
    let after = match read(path) {
        Ok(after) => after,
        Err(why) => {
            router
                .reports
                .push(Report::Line(Code::ReloadBad, format!("why={why:?}")));
            return before;
        }
    };
    for (key, takes) in before.changes(&after) {
        let code = if takes == Takes::AtOnce {
            Code::Reloaded
        } else {
            Code::ReloadKept
        };
        router
            .reports
            .push(Report::Line(code, format!("key={key}")));
    }
    router.drain_by(terms(&after));
    router.control_deadline(after.drain.deadline);
    let site = Site {
        watch: before.site.watch,
        by_worth: before.site.by_worth,
        ..after.site
    };
    let (control, state, recovery) = (before.control, before.state, before.recovery);
    let after = Operator {
        control,
        state,
        recovery,
        site,
        ..after
    };
    router.gate_by(after.site.pace, after.site.by_worth);
    router.sites_by(after.site.watch.then(|| sites(&after)));
    after
}
