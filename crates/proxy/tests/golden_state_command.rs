//! Compares what `asterramp state show`, `show --json`, `verify` and `clear` print and their exit codes with transcripts of
//! the build of commit 17cc2a9, made on snapshot folders that it wrote. The transcripts under `golden/state_command/` never
//! change.

use std::fmt::Write;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Command;
use test_case::test_case;

/// Arguments of `asterramp state` in the order of a transcript. `clear` is followed by commands on what it left.
const COMMANDS: [&[&str]; 6] = [
    &["show"],
    &["show", "--json"],
    &["verify"],
    &["clear"],
    &["show"],
    &["verify"],
];

/// Replaces the folder's path in a transcript.
const FOLDER_PLACEHOLDER: &str = "FOLDER";

/// The content of one of the snapshot package's golden files.
fn snapshot_file(name: &str) -> Vec<u8> {
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("../snapshot/tests/golden");
    std::fs::read(golden.join(name)).unwrap()
}

fn transcript_path(name: &str) -> PathBuf {
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/state_command");
    golden.join(format!("{name}.txt"))
}

/// A folder for snapshots, empty at first; dropping it removes it.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path =
            std::env::temp_dir().join(format!("asterramp-golden-{}-{name}", std::process::id()));
        remove(&path);
        std::fs::create_dir(&path).unwrap();
        TestFolder(path)
    }

    fn write_file(&self, name: &str, bytes: &[u8]) {
        std::fs::write(self.0.join(name), bytes).unwrap();
    }

    fn make_folder(&self, name: &str) {
        std::fs::create_dir(self.0.join(name)).unwrap();
    }

    /// The names of the folder's entries, sorted; none if the path is not a folder.
    fn entry_names(&self) -> Vec<String> {
        let Ok(entries) = std::fs::read_dir(&self.0) else {
            return Vec::new();
        };
        let mut names: Vec<String> = entries
            .map(|entry| entry.unwrap().file_name().into_string().unwrap())
            .collect();
        names.sort();
        names
    }

    /// Runs each of [`COMMANDS`] in turn; returns its exit code and output, and the files that it left in the folder.
    fn transcript(&self) -> String {
        let program = env!("CARGO_BIN_EXE_asterramp");
        let mut transcript = String::new();
        for arguments in COMMANDS {
            let output = Command::new(program)
                .arg("state")
                .args(arguments)
                .arg(&self.0)
                .output()
                .unwrap();
            writeln!(
                transcript,
                "$ asterramp state {} {FOLDER_PLACEHOLDER}",
                arguments.join(" ")
            )
            .unwrap();
            writeln!(transcript, "exit code: {}", output.status.code().unwrap()).unwrap();
            for (name, bytes) in [("stdout", output.stdout), ("stderr", output.stderr)] {
                let text = String::from_utf8(bytes).unwrap();
                let text = text.replace(self.0.to_str().unwrap(), FOLDER_PLACEHOLDER);
                writeln!(transcript, "{name}, {} lines:", text.lines().count()).unwrap();
                transcript += &text;
            }
            writeln!(transcript, "files: {}\n", self.entry_names().join(" ")).unwrap();
        }
        transcript
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        remove(&self.0);
    }
}

/// Removes a file or a folder, if it exists.
fn remove(path: &Path) {
    let _ = std::fs::remove_file(path);
    let _ = std::fs::remove_dir_all(path);
}

/// Compares the folder's transcript with the golden one of this name.
fn assert_transcript(name: &str, folder: &TestFolder) {
    let transcript = folder.transcript();
    assert_eq!(
        transcript,
        std::fs::read_to_string(transcript_path(name)).unwrap()
    );
}

#[test_case("one_generation", &[("state.0", "saves_1.state.0")])]
#[test_case("two_generations", &[("state.0", "saves_2.state.0"), ("state.1", "saves_2.state.1")])]
#[test_case("two_generations_after_three_saves", &[("state.0", "saves_3.state.0"), ("state.1", "saves_3.state.1")])]
#[test_case("part_left_behind", &[("state.1", "every_field_set.snapshot"), ("state.part", "saves_1.state.0")])]
#[test_case("every_field_set", &[("state.0", "every_field_set.snapshot")])]
#[test_case("every_field_unset", &[("state.0", "every_field_unset.snapshot")])]
#[test_case("ready_and_draining", &[("state.0", "ready_and_draining.snapshot")])]
#[test_case("no_hosts", &[("state.0", "no_hosts.snapshot")])]
#[test_case("greatest_figures", &[("state.0", "greatest_figures.snapshot")])]
#[test_case("two_owners", &[("state.0", "greatest_figures.snapshot"), ("state.1", "every_field_set.snapshot")])]
#[test_case("newest_spoilt", &[("state.0", "refused/wrong_checksum.bytes"), ("state.1", "saves_2.state.1")])]
#[test_case("both_spoilt", &[("state.0", "refused/a_byte_short.bytes"), ("state.1", "refused/empty.bytes")])]
#[test_case("newer_version", &[("state.0", "refused/newer_version.bytes")])]
#[test_case("older_version", &[("state.0", "saves_2.state.0"), ("state.1", "refused/older_version.bytes")])]
#[test_case("other_magic", &[("state.1", "refused/other_magic.bytes")])]
#[test_case("unknown_field", &[("state.1", "refused/unknown_field.bytes")])]
#[test_case("empty_folder", &[])]
fn state_commands_print_as_before(name: &str, files: &[(&str, &str)]) {
    let folder = TestFolder::new(name);
    for (file, golden_file) in files {
        folder.write_file(file, &snapshot_file(golden_file));
    }
    assert_transcript(name, &folder);
}

#[test]
fn a_missing_folder_is_rejected_as_before() {
    let folder = TestFolder::new("no_folder");
    remove(&folder.0);
    assert_transcript("no_folder", &folder);
}

#[test]
fn a_path_to_a_file_is_rejected_as_before() {
    let folder = TestFolder::new("a_file");
    remove(&folder.0);
    std::fs::write(&folder.0, "a file").unwrap();
    assert_transcript("a_file", &folder);
}

#[test]
fn a_generation_that_is_a_folder_is_reported_as_before() {
    let folder = TestFolder::new("generation_is_a_folder");
    folder.make_folder("state.0");
    folder.write_file("state.1", &snapshot_file("saves_2.state.1"));
    assert_transcript("generation_is_a_folder", &folder);
}

#[test]
fn a_generation_too_long_to_read_is_reported_as_before() {
    let folder = TestFolder::new("generation_too_long");
    folder.write_file("state.0", &vec![b'x'; (4 << 20) + 1]);
    folder.write_file("state.1", &snapshot_file("saves_2.state.1"));
    assert_transcript("generation_too_long", &folder);
}

#[test]
fn a_folder_whose_lock_cannot_be_opened_is_not_cleared() {
    let folder = TestFolder::new("lock_is_a_folder");
    folder.make_folder("lock");
    folder.write_file("state.0", &snapshot_file("saves_1.state.0"));
    assert_transcript("lock_is_a_folder", &folder);
}

#[test]
fn a_folder_that_another_process_has_locked_is_not_cleared() {
    let folder = TestFolder::new("held");
    folder.write_file("state.0", &snapshot_file("saves_1.state.0"));
    let lock = File::create(folder.0.join("lock")).unwrap();
    lock.lock().unwrap();
    assert_transcript("held", &folder);
}
