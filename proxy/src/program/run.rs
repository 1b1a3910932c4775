//! The loop.

use super::clock::Clock;
use super::config::Source;
use super::counters::Counters;
use super::log::Log;
use crate::log_line;
use crate::routing::Router;
use crate::routing::report::{Code, Report};
use asterramp_drain::Terms;
use asterramp_operator::{Operator, Site, Takes};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::flag;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Serves until told to leave.
pub fn run(config: Option<&str>, operator: Option<&str>) -> Result<(), String> {
    let clock = Clock::start();
    let [leave, print, reload] = std::array::from_fn(|_| Arc::new(AtomicBool::new(false)));
    for (signal, flag) in [(SIGTERM, &leave), (SIGINT, &leave), (SIGUSR1, &print), (SIGHUP, &reload)] {
        flag::register(signal, flag.clone()).map_err(|e| format!("signals: {e}"))?;
    }
    let (source, start) = Source::open(config)?;
    let mut wishes = operator.map(read).transpose()?.unwrap_or_default();
    let mut router = Router::new(start, clock.now()).map_err(|e| e.to_string())?;
    router.drain_by(terms(&wishes));
    router.sites_by(wishes.site.watch.then(|| sites(&wishes)));
    if let Some(control) = &wishes.control {
        let opened = router.open_control(&control.socket, control.peers, wishes.drain.deadline);
        opened.map_err(|e| format!("control.socket: {}: {e}", control.socket.display()))?;
    }
    let (mut log, mut counters) = (Log::default(), Counters::default());
    while !router.is_done() {
        router.wait(clock.now()).map_err(|e| format!("waiting: {e}"))?;
        let now = clock.now();
        router.run(now);
        if reload.swap(false, Ordering::Relaxed) {
            match source.again() {
                Ok((start, kept)) => {
                    for key in kept {
                        router.reports.push(Report::Line(Code::ReloadKept, format!("key={key}")));
                    }
                    router.reload(now, start.discovery);
                }
                Err(why) => router.reports.push(Report::Line(Code::ReloadBad, format!("why={why:?}"))),
            }
            if let Some(path) = operator {
                wishes = again(&mut router, path, wishes);
            }
        }
        if leave.load(Ordering::Relaxed) {
            router.leave(now);
        }
        for report in router.reports.drain(..) {
            match report {
                Report::Count(code) => counters.add(code),
                Report::Line(code, about) => {
                    counters.add(code);
                    log_line!(log, now, "{} {about}", code.name());
                }
            }
        }
        if print.swap(false, Ordering::Relaxed) {
            let dropped = log.dropped;
            log_line!(log, now, "{counters} log-dropped={dropped}");
        }
    }
    router.close_control();
    router.shut_kin();
    let dropped = log.dropped;
    log_line!(log, clock.now(), "{counters} log-dropped={dropped}");
    Ok(())
}

/// The operator's file, or all that is wrong with it in one line.
fn read(path: &str) -> Result<Operator, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let told = |problems: Vec<asterramp_operator::Problem>| {
        let all: Vec<String> = problems.iter().map(ToString::to_string).collect();
        format!("{path}: {}", all.join("; "))
    };
    Operator::read(&text).map_err(told)
}

fn terms(wishes: &Operator) -> Terms {
    let drain = &wishes.drain;
    Terms { closing: drain.closing, quiet: drain.quiet, pace: drain.pace, back: drain.back }
}

fn sites(wishes: &Operator) -> asterramp_site::Terms {
    let Site { look, hold, hold_most, settle, .. } = wishes.site;
    asterramp_site::Terms { look, hold, hold_most, settle, ..Default::default() }
}

/// Reads the operator's file again. What takes a restart keeps its value; a bad file changes nothing.
fn again(router: &mut Router, path: &str, before: Operator) -> Operator {
    let after = match read(path) {
        Ok(after) => after,
        Err(why) => {
            router.reports.push(Report::Line(Code::ReloadBad, format!("why={why:?}")));
            return before;
        }
    };
    for (key, takes) in before.changes(&after) {
        let code = if takes == Takes::AtOnce { Code::Reloaded } else { Code::ReloadKept };
        router.reports.push(Report::Line(code, format!("key={key}")));
    }
    router.drain_by(terms(&after));
    router.control_deadline(after.drain.deadline);
    let site = Site { watch: before.site.watch, ..after.site };
    let after = Operator { control: before.control, site, ..after };
    router.sites_by(after.site.watch.then(|| sites(&after)));
    after
}
