//! Traces as files: a shape, a planted bug if any, what was broken, and the steps, a numbered line each.

use crate::placement_model::PlacementCounterexample;
use crate::properties::Breach;
use crate::shape::Shape;
use crate::step::Move;
use crate::world::{START, World};
use std::fmt::Write;

#[derive(Clone, Debug)]
pub struct Trace {
    pub shape: &'static Shape,
    pub plant: Option<String>,
    pub breach: String,
    pub moves: Vec<Move>,
}

impl Trace {
    pub fn of(
        shape: &'static Shape,
        plant: Option<String>,
        found: &PlacementCounterexample,
    ) -> Trace {
        Trace {
            shape,
            plant,
            breach: found.violation.to_string(),
            moves: found.actions.clone(),
        }
    }

    pub fn text(&self) -> String {
        let mut text = format!("shape {}\n", self.shape.name);
        if let Some(plant) = &self.plant {
            let _ = writeln!(text, "plant {plant}");
        }
        let _ = writeln!(text, "breaks {}", self.breach);
        for (nth, step) in (1..).zip(&self.moves) {
            let _ = writeln!(text, "{nth:>3}. {step}");
        }
        text
    }

    /// Reads a file; an error names the line.
    pub fn read(text: &str) -> Result<Trace, String> {
        let (mut shape, mut plant, mut breach, mut moves) = (None, None, String::new(), Vec::new());
        for (nth, line) in (1..)
            .zip(text.lines())
            .filter(|(_, line)| !line.trim().is_empty())
        {
            let wrong = |what: String| format!("line {nth}: {what}");
            let line = line.trim();
            if let Some(name) = line.strip_prefix("shape ") {
                let known = Shape::find(name);
                shape = Some(known.ok_or_else(|| wrong(format!("shape {name:?} is not known")))?);
            } else if let Some(name) = line.strip_prefix("plant ") {
                plant = Some(name.to_string());
            } else if let Some(what) = line.strip_prefix("breaks ") {
                breach = what.to_string();
            } else {
                let step = line
                    .split_once(". ")
                    .ok_or_else(|| wrong("no numbered step".into()))?
                    .1;
                moves.push(step.parse().map_err(wrong)?);
            }
        }
        let shape = shape.ok_or("no line `shape NAME`")?;
        Ok(Trace {
            shape,
            plant,
            breach,
            moves,
        })
    }

    /// Plays the steps; tells each with what the code did, and the breach, if there is one.
    pub fn play(&self, mut tell: impl FnMut(&str)) -> Result<(), Breach> {
        let mut world = World::new(self.shape);
        for (nth, step) in (1..).zip(&self.moves) {
            let made = world.make(self.shape, *step);
            let ms = (world.now - START).as_millis();
            tell(&format!("{nth:>3}. at {ms:>5} ms  {step}"));
            world
                .done
                .iter()
                .for_each(|done| tell(&format!("                   {done}")));
            made?;
        }
        Ok(())
    }

    /// The trace as a test of the code.
    pub fn as_test(&self) -> String {
        let mut text = String::from("#[test]\nfn a_trace_that_once_broke_a_property() {\n");
        let _ = writeln!(text, "    // {}", self.breach);
        let _ = writeln!(text, "    let trace = \"shape {}\\", self.shape.name);
        for (nth, step) in (1..).zip(&self.moves) {
            let _ = writeln!(text, "        \\n{nth}. {step}\\");
        }
        text += "        \";\n    asterramp_model_checker::trace::Trace::read(trace).unwrap().play(|_| ()).unwrap();\n}\n";
        text
    }
}
