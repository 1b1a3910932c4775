//! The options of the plain proxy on the command line.

use crate::proxy_process::Program;
use clap::ValueEnum;
use clap::builder::PossibleValue;
use std::path::Path;

/// How a host is chosen for a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A pseudo-random host.
    Random,
    /// The hosts in turn.
    RoundRobin,
    /// The host with the fewest open sessions of this proxy.
    LeastOpen,
}

// Not derived, as the derived implementation would print the variants' doc comments in the help.
impl ValueEnum for Policy {
    fn value_variants<'a>() -> &'a [Self] {
        &[Policy::Random, Policy::RoundRobin, Policy::LeastOpen]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOpen => "least-open",
        }))
    }
}

/// The rule that the plain proxy breaks on purpose. The doc comments of the variants are printed in the help.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum InjectedFault {
    /// Dials a second host while the first dial is out.
    DoubleDial,
    /// Says a second final answer behind the first.
    AnswerTwice,
    /// Says nothing to a session that it gives up.
    NoAnswer,
    /// Answers a session that it gives up long after its time.
    LateAnswer,
    /// Dials once more after the final answer.
    DialAfter,
    /// Dials more often than is allowed.
    ManyDials,
    /// Goes on sending to hosts that drain.
    IgnoreDrains,
    /// Sends once-only sessions again though they may have run.
    EffectTwice,
    /// Refuses once-only sessions that may have run.
    RefuseRun,
    /// Sends everything to the host that started last.
    FloodCold,
    /// Cuts open connections off.
    CutOff,
    /// Holds lines back for longer than a second.
    HoldLines,
    /// Tells clients what no host said.
    MakeUp,
    /// Sends on what it cannot read.
    SendOn,
    /// Refuses what is worth most first.
    RefuseWorth,
    /// Ends by itself.
    Crash,
}

/// The plain proxy as the program of a run's proxies; `testbed` is the path of the program `asterramp-testbed`.
pub fn program(testbed: &Path, policy: Policy, fault: Option<InjectedFault>) -> Program {
    let mut args = vec!["plain-proxy".to_owned(), value_name(&policy)];
    let mut name = args.join(" ");
    if let Some(fault) = fault {
        let fault = value_name(&fault);
        name += &format!(" breaking {fault}");
        args.extend(["--break".to_owned(), fault]);
    }
    Program {
        path: testbed.to_path_buf(),
        args,
        name,
    }
}

/// The name of a value on the command line.
fn value_name(value: &impl ValueEnum) -> String {
    value
        .to_possible_value()
        .map(|value| value.get_name().to_owned())
        .unwrap_or_default()
}
