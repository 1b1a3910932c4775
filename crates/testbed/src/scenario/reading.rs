//! Reads a scenario file into a checked [`Scenario`].

use super::checks::check;
use super::definition::Scenario;
use super::error::{ScenarioError, ScenarioFileError};
use std::path::Path;

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn open(path: &Path) -> Result<Scenario, ScenarioFileError> {
        let text =
            std::fs::read_to_string(path).map_err(|source| ScenarioFileError::Unreadable {
                path: path.to_owned(),
                source,
            })?;
        Scenario::read(&text).map_err(|source| ScenarioFileError::Invalid {
            path: path.to_owned(),
            source,
        })
    }

    /// Parses a scenario from TOML text and checks it.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|error| ScenarioError::Syntax(Box::new(error)))?;
        check(&scenario)?;
        Ok(scenario)
    }
}
