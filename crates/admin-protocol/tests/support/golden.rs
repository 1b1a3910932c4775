//! Comparison with golden files, which an earlier build wrote and which never change.
//!
//! Tests of several packages include this file; each package has its own golden files.

use std::path::Path;

/// The text of a golden file in the package's directory `tests/golden`.
pub(crate) fn golden(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Asserts that a text equals a golden file. Lines are compared first, so that a failure shows the line.
pub(crate) fn assert_golden(name: &str, actual: &str) {
    let expected = golden(name);
    for (index, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, expected, "{name}, line {}", index + 1);
    }
    assert_eq!(
        actual, expected,
        "{name}: the number of lines or the last line feed differs"
    );
}
