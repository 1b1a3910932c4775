//! The loop.

use super::clock::Clock;
use super::config::Source;
use super::counters::Counters;
use super::log::Log;
use crate::log_line;
use crate::routing::Router;
use crate::routing::report::{Code, Report};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::flag;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Serves until told to leave.
pub fn run(config: Option<&str>) -> Result<(), String> {
    let clock = Clock::start();
    let [leave, print, reload] = std::array::from_fn(|_| Arc::new(AtomicBool::new(false)));
    for (signal, flag) in [(SIGTERM, &leave), (SIGINT, &leave), (SIGUSR1, &print), (SIGHUP, &reload)] {
        flag::register(signal, flag.clone()).map_err(|e| format!("signals: {e}"))?;
    }
    let (source, start) = Source::open(config)?;
    let listen = start.listen;
    let mut router = Router::new(start, clock.now()).map_err(|e| format!("listen: {listen}: {e}"))?;
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
    let dropped = log.dropped;
    log_line!(log, clock.now(), "{counters} log-dropped={dropped}");
    Ok(())
}
