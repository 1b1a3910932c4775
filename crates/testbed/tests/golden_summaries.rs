//! The tables of journals and of logs equal those that the build 17cc2a9 printed for the same files, and errors name the
//! folder that cannot be read.

use asterramp_testbed::journal::Journal;
use asterramp_testbed::log_summary::LogSummary;
use std::path::{Path, PathBuf};

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

#[test]
fn the_table_of_a_journal_is_unchanged() {
    let journal = Journal::from_folder(&golden("journal"), "+mass").unwrap();
    assert_eq!(journal.table(), include_str!("golden/journal.txt"));
}

#[test]
fn the_table_of_logs_is_unchanged() {
    let summary = LogSummary::from_folder(&golden("logs"), 3).unwrap();
    assert_eq!(summary.table(), include_str!("golden/logs.txt"));
}

#[test]
fn errors_still_name_the_folder() {
    let absent = Path::new("/no-such-folder");
    let expected = "/no-such-folder: No such file or directory (os error 2)";
    let journal = Journal::from_folder(absent, "+mass").unwrap_err();
    let logs = LogSummary::from_folder(absent, 3).unwrap_err();
    assert_eq!(
        [journal.to_string(), logs.to_string()],
        [expected.to_string(), expected.to_string()]
    );
    let (journal, logs) = (golden("journal"), golden("logs"));
    assert_eq!(
        Journal::from_folder(&logs, "+mass")
            .unwrap_err()
            .to_string(),
        format!("{}: no record can be read", logs.display())
    );
    assert_eq!(
        LogSummary::from_folder(&journal, 3)
            .unwrap_err()
            .to_string(),
        format!("{}: no file ends in .log", journal.display())
    );
}
