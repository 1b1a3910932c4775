//! The command `asterramp validate`: checks both files without serving.

use super::error::CommandError;
use super::serve::StartFiles;
use crate::program::config::ConfigFile;
use asterramp_operator_config::OperatorConfig;

/// Prints `good` if both files are valid. Otherwise fails with the first error in the platform's configuration and all
/// errors in the operator's file.
pub(super) fn validate(files: &StartFiles) -> Result<(), CommandError> {
    let mut problems = Vec::new();
    match files.config_path() {
        Some(path) => {
            if let Err(error) = ConfigFile::open(Some(&path)) {
                problems.push(error.to_string());
            }
        }
        None => problems.push("--config: neither it nor LB_CONFIG names a file".to_string()),
    }
    if let Some(path) = files.operator_path() {
        problems.extend(operator_file_problems(&path));
    }
    if !problems.is_empty() {
        return Err(CommandError::InvalidFiles(problems));
    }
    println!("good");
    Ok(())
}

/// One line for each error in the operator's file.
fn operator_file_problems(path: &str) -> Vec<String> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return vec![format!("{path}: {error}")],
    };
    let problems = OperatorConfig::parse(&text).err().unwrap_or_default();
    problems
        .iter()
        .map(|problem| format!("{path}: {problem}"))
        .collect()
}
