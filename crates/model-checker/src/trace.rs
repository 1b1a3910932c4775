//! Trace files: the name of the shape, the injected fault if there was one, the violation, and the choices that led to it,
//! one numbered line each.

use crate::action::Choice;
use crate::action_text::ParseChoiceError;
use crate::properties::Violation;
use crate::shape::Shape;
use crate::system_state::SystemState;
use std::fmt;

/// Prefix of the line with the shape's name.
const SHAPE_PREFIX: &str = "shape ";
/// Prefix of the line with the injected fault's name; the word is the one that the first recorded traces have.
const INJECTED_FAULT_PREFIX: &str = "plant ";
/// Prefix of the line with the violation.
const VIOLATION_PREFIX: &str = "breaks ";
/// Separates the number of a line from its action.
const NUMBER_SEPARATOR: &str = ". ";

/// Why a text is not a valid trace.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TraceError {
    /// No shape has that name.
    #[error("line {line}: shape {name:?} is not known")]
    UnknownShape {
        /// Number of the line, from 1.
        line: usize,
        /// The name as read.
        name: String,
    },
    /// A line is neither numbered nor has a known prefix.
    #[error("line {line}: no numbered step")]
    NotNumbered {
        /// Number of the line, from 1.
        line: usize,
    },
    /// A numbered line has no valid action.
    #[error("line {line}: {source}")]
    NoAction {
        /// Number of the line, from 1.
        line: usize,
        /// The parse error.
        source: ParseChoiceError,
    },
    /// No line names a shape.
    #[error("no line `shape NAME`")]
    NoShape,
}

/// A counterexample as it is saved in a file. `Display` writes the file's text.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The shape whose initial state the trace starts from.
    pub shape: &'static Shape,
    /// Name of the injected fault as the file has it; `None` if there was none.
    pub injected_fault: Option<String>,
    /// Text of the violation; empty if the file has none.
    pub violation: String,
    /// The choices, in order.
    pub choices: Vec<Choice>,
}

impl Trace {
    /// Makes the trace of a counterexample.
    pub fn new(
        shape: &'static Shape,
        injected_fault: Option<String>,
        violation: &Violation,
        choices: &[Choice],
    ) -> Trace {
        Trace {
            shape,
            injected_fault,
            violation: violation.to_string(),
            choices: choices.to_vec(),
        }
    }

    /// Parses a file's text.
    ///
    /// # Errors
    ///
    /// The first invalid line, or [`TraceError::NoShape`].
    pub fn read(text: &str) -> Result<Trace, TraceError> {
        let mut shape = None;
        let mut injected_fault = None;
        let mut violation = String::new();
        let mut choices = Vec::new();
        for (line, text) in (1..).zip(text.lines().map(str::trim)) {
            if text.is_empty() {
                continue;
            }
            if let Some(name) = text.strip_prefix(SHAPE_PREFIX) {
                shape = Some(read_shape(line, name)?);
            } else if let Some(name) = text.strip_prefix(INJECTED_FAULT_PREFIX) {
                injected_fault = Some(name.to_owned());
            } else if let Some(description) = text.strip_prefix(VIOLATION_PREFIX) {
                violation = description.to_owned();
            } else {
                choices.push(read_choice(line, text)?);
            }
        }
        Ok(Trace {
            shape: shape.ok_or(TraceError::NoShape)?,
            injected_fault,
            violation,
            choices,
        })
    }

    /// Replays the choices on the present code and passes `report` a line for each action and for each of its effects. Does
    /// not inject [`Trace::injected_fault`].
    ///
    /// # Errors
    ///
    /// The first violation, which ends the replay.
    pub fn play(&self, mut report: impl FnMut(&str)) -> Result<(), Violation> {
        let mut state = SystemState::new(self.shape);
        for (number, choice) in (1..).zip(&self.choices) {
            let applied = state.apply(self.shape, *choice);
            let elapsed_ms = state.elapsed().as_millis();
            report(&format!("{number:>3}. at {elapsed_ms:>5} ms  {choice}"));
            for effect in state.last_effects() {
                report(&format!("                   {effect}"));
            }
            applied?;
        }
        Ok(())
    }

    /// The source code of a test that replays the trace.
    pub fn as_test(&self) -> String {
        let mut test = String::from("#[test]\nfn a_trace_that_once_broke_a_property() {\n");
        test += &format!("    // {}\n", self.violation);
        test += &format!("    let trace = \"shape {}\\\n", self.shape.name);
        for (number, choice) in (1..).zip(&self.choices) {
            test += &format!("        \\n{number}. {choice}\\\n");
        }
        test += "        \";\n";
        test += "    asterramp_model_checker::trace::Trace::read(trace).unwrap().play(|_| ()).unwrap();\n";
        test += "}\n";
        test
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{SHAPE_PREFIX}{}", self.shape.name)?;
        if let Some(fault) = &self.injected_fault {
            writeln!(f, "{INJECTED_FAULT_PREFIX}{fault}")?;
        }
        writeln!(f, "{VIOLATION_PREFIX}{}", self.violation)?;
        for (number, choice) in (1..).zip(&self.choices) {
            writeln!(f, "{number:>3}{NUMBER_SEPARATOR}{choice}")?;
        }
        Ok(())
    }
}

fn read_shape(line: usize, name: &str) -> Result<&'static Shape, TraceError> {
    Shape::find(name).ok_or_else(|| TraceError::UnknownShape {
        line,
        name: name.to_owned(),
    })
}

fn read_choice(line: usize, text: &str) -> Result<Choice, TraceError> {
    let (_, choice) = text
        .split_once(NUMBER_SEPARATOR)
        .ok_or(TraceError::NotNumbered { line })?;
    choice
        .parse()
        .map_err(|source| TraceError::NoAction { line, source })
}
