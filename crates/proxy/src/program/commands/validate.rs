//! `asterramp validate`: checks both files without serving.

use super::error::CommandError;
use super::serve::StartFiles;
use crate::program::config::ConfigFile;
use asterramp_operator_config::OperatorConfig;

pub(super) fn validate(files: &StartFiles) -> Result<(), CommandError> {
    let mut mistakes = Vec::new();
    match files.config_path() {
        Some(path) => {
            if let Err(error) = ConfigFile::open(Some(&path)) {
                mistakes.push(error.to_string());
            }
        }
        None => mistakes.push("--config: neither it nor LB_CONFIG names a file".to_string()),
    }
    if let Some(path) = files.operator_path() {
        mistakes.extend(operator_file_mistakes(&path));
    }
    if !mistakes.is_empty() {
        return Err(CommandError::InvalidFiles(mistakes));
    }
    println!("good");
    Ok(())
}

/// One line for each mistake in the operator's file.
fn operator_file_mistakes(path: &str) -> Vec<String> {
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
