//! The command line of the checker.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_model_checker::explorer::{Exploration, Limits};
use asterramp_model_checker::hot_restart;
use asterramp_model_checker::leader_lease::{self, LeaseSituation};
use asterramp_model_checker::placement_model::{PlacementExploration, explore};
use asterramp_model_checker::shape::{SHAPES, Shape, WALK};
use asterramp_model_checker::trace::Trace;
use asterramp_model_checker::walk::walks;
use asterramp_model_checker::warm_start::{self, WarmStartSituation};
use asterramp_model_checker::zone_failover::{self, ZoneSituation};
use clap::{Parser, Subcommand};
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Explores every order of events in the life of sessions at small size, on the code that serves.
///
/// Exit codes: 0 all properties hold, 1 a counterexample, 2 bad input, 4 stopped at a limit before all was seen.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Explores the shapes.
    Run {
        /// Only the small ones.
        #[arg(long)]
        quick: bool,
        /// Only this one.
        #[arg(long)]
        shape: Option<String>,
        /// States after which to stop; each takes some 3 KiB while it is at the front, and 50 bytes behind it.
        #[arg(long, default_value_t = 8_000_000)]
        states: u64,
        /// Seconds for each shape.
        #[arg(long, default_value_t = 240)]
        seconds: u64,
        /// Where a counterexample is written.
        #[arg(long, default_value = "counterexample.txt")]
        save: PathBuf,
    },
    /// Injects each known fault and looks for it; needs the feature `injected-faults`.
    Plants {
        /// Only this one.
        #[arg(long)]
        plant: Option<String>,
    },
    /// Plays two processes of which one replaces the other, and their deaths, in every order.
    Handover,
    /// Plays what a proxy may meet of three places, and what it makes of them, in every order up to a depth.
    Site {
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u8).range(1..=12))]
        depth: u8,
    },
    /// Plays starts of three proxies after a power loss in every order up to a depth.
    Recovery {
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=12))]
        depth: u8,
    },
    /// Plays two candidates for the work of a fleet, their store and two receivers in every order up to a depth.
    Owner {
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=12))]
        depth: u8,
    },
    /// Random walks with twenty sessions and ten hosts.
    Walk {
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "counterexample.txt")]
        save: PathBuf,
    },
    /// Plays a trace's file step by step.
    Replay {
        file: PathBuf,
        /// Prints it as a test instead.
        #[arg(long)]
        as_test: bool,
    },
}

/// Prints what an exploration has seen; the exit code.
fn report<A: Display, V: Display>(exploration: &Exploration<A, V>, all_hold: &str) -> u8 {
    let Exploration {
        states,
        steps,
        depth,
        counterexample,
        ..
    } = exploration;
    println!("{states} states, {steps} steps, depth {depth}");
    let Some(counterexample) = counterexample else {
        println!("{all_hold}");
        return 0;
    };
    println!("BROKEN: {}", counterexample.violation);
    for (number, action) in (1..).zip(&counterexample.actions) {
        println!("{number:>3}. {action}");
    }
    1
}

const ALL_HOLD: &str = "all seen, all hold";
const ALL_HOLD_TO_DEPTH: &str = "all seen to that depth, all hold";

fn main() -> ExitCode {
    match perform(Cli::parse().what) {
        Ok(code) => ExitCode::from(code),
        Err(what) => {
            eprintln!("asterramp-model-checker: {what}");
            ExitCode::from(2)
        }
    }
}

fn perform(what: What) -> Result<u8, String> {
    match what {
        What::Run {
            quick,
            shape,
            states,
            seconds,
            save,
        } => {
            let named = shape
                .map(|name| Shape::find(&name).ok_or(format!("--shape: {name:?} is not known")));
            let named = named.transpose()?;
            let limits = Limits {
                states,
                time: Duration::from_secs(seconds),
                ..Limits::default()
            };
            let wanted = |s: &&Shape| named.map_or(!quick || s.quick, |named| named.name == s.name);
            let mut stopped = false;
            for shape in SHAPES.iter().filter(wanted) {
                let explored = explore(shape, limits);
                println!("{}", row(shape, &explored));
                if let Some(found) = &explored.counterexample {
                    return counterexample(Trace::of(shape, None, found), &save);
                }
                stopped |= explored.is_truncated;
            }
            Ok(if stopped { 4 } else { 0 })
        }
        What::Handover => Ok(report(&hot_restart::explore(), ALL_HOLD)),
        What::Site { depth } => {
            let exploration = zone_failover::explore(ZoneSituation::AllHealthy, depth.into());
            Ok(report(&exploration, ALL_HOLD_TO_DEPTH))
        }
        What::Recovery { depth } => {
            let exploration = warm_start::explore(WarmStartSituation::PowerLoss, depth.into());
            Ok(report(&exploration, ALL_HOLD_TO_DEPTH))
        }
        What::Owner { depth } => {
            let codes = LeaseSituation::ALL.map(|situation| {
                let exploration = leader_lease::explore(situation, depth.into());
                report(&exploration, ALL_HOLD_TO_DEPTH)
            });
            Ok(codes.into_iter().max().unwrap_or_default())
        }
        What::Plants { plant } => plants(plant),
        What::Walk {
            seconds,
            seed,
            save,
        } => {
            let walked = walks(&WALK, seed, Duration::from_secs(seconds));
            let (walks, steps, whole) = (walked.walks, walked.steps, walked.whole);
            println!(
                "{walks} walks from seed {seed}, {steps} steps, {whole} to the end of every session"
            );
            match walked.found {
                Some((seed, found)) => {
                    println!("seed {seed}");
                    counterexample(Trace::of(&WALK, None, &found), &save)
                }
                None => Ok(0),
            }
        }
        What::Replay { file, as_test } => {
            let name = file.display();
            let text = std::fs::read_to_string(&file).map_err(|e| format!("{name}: {e}"))?;
            let trace = Trace::read(&text).map_err(|e| format!("{name}: {e}"))?;
            if as_test {
                print!("{}", trace.as_test());
                return Ok(0);
            }
            inject_by_name(trace.plant.as_deref())?;
            let played = trace.play(|line| println!("{line}"));
            println!(
                "{}",
                played
                    .as_ref()
                    .map_or_else(ToString::to_string, |()| "all properties hold".into())
            );
            Ok(u8::from(played.is_err()))
        }
    }
}

fn row(shape: &Shape, explored: &PlacementExploration) -> String {
    let seconds = explored.elapsed.as_secs_f64();
    let rate = explored.steps as f64 / seconds.max(1e-3) / 1e3;
    let end = match (&explored.counterexample, explored.is_truncated) {
        (Some(found), _) => format!("BROKEN after {} steps", found.actions.len()),
        (None, true) => format!("stopped; {} states not gone on from", explored.unexpanded),
        (None, false) => "all seen, all hold".into(),
    };
    let (states, depth) = (explored.states, explored.depth);
    let name = shape.name;
    format!(
        "{name:<18} {states:>9} states, depth {depth:>3}, {seconds:>6.1} s, {rate:>6.0}k steps/s  {end}"
    )
}

fn counterexample(trace: Trace, save: &PathBuf) -> Result<u8, String> {
    println!("{}", trace.text());
    std::fs::write(save, trace.text()).map_err(|e| format!("{}: {e}", save.display()))?;
    println!("saved as {}", save.display());
    Ok(1)
}

#[cfg(not(feature = "injected-faults"))]
fn plants(_: Option<String>) -> Result<u8, String> {
    Err("this build has no injected faults; build it with --features injected-faults".into())
}

#[cfg(not(feature = "injected-faults"))]
fn inject_by_name(which: Option<&str>) -> Result<(), String> {
    which.map_or(Ok(()), |which| {
        Err(format!(
            "plant {which}: build with --features injected-faults"
        ))
    })
}

#[cfg(feature = "injected-faults")]
fn inject_by_name(which: Option<&str>) -> Result<(), String> {
    use asterramp_proxy::injected_fault::{InjectedFault, inject};
    let found = which.map(|name| {
        InjectedFault::from_name(name).ok_or_else(|| format!("plant {name:?} is not known"))
    });
    inject(found.transpose()?);
    Ok(())
}

#[cfg(feature = "injected-faults")]
fn plants(only: Option<String>) -> Result<u8, String> {
    use asterramp_proxy::injected_fault::InjectedFault;
    let mut missed = 0;
    let only_fault = only.as_deref().and_then(InjectedFault::from_name);
    for fault in InjectedFault::ALL {
        if only.is_some() && only_fault != Some(fault) {
            continue;
        }
        let which = format!("{fault:?}");
        inject_by_name(Some(&which))?;
        let limits = Limits {
            states: 2_000_000,
            time: Duration::from_secs(60),
            ..Limits::default()
        };
        let (mut found, mut took, mut states) = (None, Duration::ZERO, 0);
        for shape in SHAPES.iter().filter(|shape| shape.quick) {
            let explored = explore(shape, limits);
            (took, states) = (took + explored.elapsed, states + explored.states);
            if let Some(one) = explored.counterexample {
                found = Some((shape, one));
                break;
            }
        }
        let cost = format!("{states:>8} states, {:>5.1} s", took.as_secs_f64());
        match found {
            Some((shape, one)) => {
                let (steps, breach) = (one.actions.len(), &one.violation);
                println!(
                    "{which:<22} {steps:>2} steps, {cost}, {}: {breach}",
                    shape.name
                );
                if only.is_some() {
                    println!("{}", Trace::of(shape, Some(which), &one).text());
                }
            }
            None => {
                missed += 1;
                println!("{which:<22} MISSED, {cost}");
            }
        }
    }
    inject_by_name(None)?;
    Ok(u8::from(missed > 0))
}
