//! `injected-faults`: injects each known fault and checks that the exploration finds it.

#[cfg(feature = "injected-faults")]
pub(super) use with_feature::{find_faults, inject_by_name};
#[cfg(not(feature = "injected-faults"))]
pub(super) use without_feature::{find_faults, inject_by_name};

#[cfg(not(feature = "injected-faults"))]
mod without_feature {
    use crate::commands::error::CommandError;
    use crate::report::Verdict;

    pub(in crate::commands) fn find_faults(_: Option<&str>) -> Result<Verdict, CommandError> {
        Err(CommandError::FaultsNotCompiledIn)
    }

    pub(in crate::commands) fn inject_by_name(name: &str) -> Result<(), CommandError> {
        Err(CommandError::FaultNotCompiledIn {
            name: name.to_owned(),
        })
    }
}

#[cfg(feature = "injected-faults")]
mod with_feature {
    use crate::commands::error::CommandError;
    use crate::report::Verdict;
    use asterramp_model_checker::explorer::Limits;
    use asterramp_model_checker::placement_model::{PlacementCounterexample, explore};
    use asterramp_model_checker::shape::{SHAPES, Shape};
    use asterramp_model_checker::trace::Trace;
    use asterramp_proxy::injected_fault::{InjectedFault, inject};
    use std::time::Duration;

    /// Number of states of one shape after which a fault counts as not found in that shape.
    const MAX_STATES: u64 = 2_000_000;
    /// Time for one shape after which a fault counts as not found in that shape.
    const MAX_TIME: Duration = Duration::from_secs(60);

    /// The result of the search for one fault in the quick shapes.
    #[derive(Default)]
    struct FaultSearch {
        /// Distinct states of all shapes explored.
        states: u64,
        /// Duration of all explorations.
        elapsed: Duration,
        /// The shape that showed the fault, and how; `None` if none did.
        found: Option<(&'static Shape, PlacementCounterexample)>,
    }

    /// Searches for all faults, or only for the one called `name`, and prints how each was found. If no fault has that name,
    /// none is searched for.
    pub(in crate::commands) fn find_faults(name: Option<&str>) -> Result<Verdict, CommandError> {
        let named = name.and_then(InjectedFault::from_name);
        let mut verdict = Verdict::Holds;
        for fault in InjectedFault::ALL {
            if name.is_some() && named != Some(fault) {
                continue;
            }
            inject(Some(fault));
            let search = FaultSearch::in_quick_shapes();
            search.print(fault, name.is_some());
            if search.found.is_none() {
                verdict = Verdict::Broken;
            }
        }
        inject(None);
        Ok(verdict)
    }

    /// Injects the fault called `name` into this process.
    pub(in crate::commands) fn inject_by_name(name: &str) -> Result<(), CommandError> {
        let fault = InjectedFault::from_name(name).ok_or_else(|| CommandError::UnknownFault {
            name: name.to_owned(),
        })?;
        inject(Some(fault));
        Ok(())
    }

    impl FaultSearch {
        /// Explores the quick shapes in order until a property does not hold in one of them.
        fn in_quick_shapes() -> FaultSearch {
            let limits = Limits {
                max_states: MAX_STATES,
                max_time: MAX_TIME,
                ..Limits::default()
            };
            let mut search = FaultSearch::default();
            for shape in SHAPES.iter().filter(|shape| shape.is_quick) {
                let exploration = explore(shape, limits);
                search.elapsed += exploration.elapsed;
                search.states += exploration.states;
                if let Some(counterexample) = exploration.counterexample {
                    search.found = Some((shape, counterexample));
                    break;
                }
            }
            search
        }

        fn print(&self, fault: InjectedFault, with_trace: bool) {
            let name = format!("{fault:?}");
            let seconds = self.elapsed.as_secs_f64();
            let cost = format!("{:>8} states, {seconds:>5.1} s", self.states);
            let Some((shape, found)) = &self.found else {
                println!("{name:<22} MISSED, {cost}");
                return;
            };
            let steps = found.actions.len();
            let violation = &found.violation;
            println!(
                "{name:<22} {steps:>2} steps, {cost}, {}: {violation}",
                shape.name
            );
            if with_trace {
                println!(
                    "{}",
                    Trace::new(shape, Some(name), violation, &found.actions)
                );
            }
        }
    }
}
