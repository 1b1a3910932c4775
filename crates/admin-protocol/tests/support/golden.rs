//! Comparison with golden files: what an earlier build wrote, which never changes.
//!
//! Tests of several packages include this file; each has golden files of its own.

use std::path::Path;

/// The text of a golden file below the package's `tests/golden`.
pub(crate) fn golden(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Compares a text with a golden file, line by line first, so that a failure shows the line.
pub(crate) fn assert_golden(name: &str, actual: &str) {
    let expected = golden(name);
    for (nth, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, expected, "{name}, line {}", nth + 1);
    }
    assert_eq!(actual, expected, "{name}: lengths");
}
