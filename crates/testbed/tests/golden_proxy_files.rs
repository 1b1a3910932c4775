//! The files that a run writes for a proxy, as builds before the renames wrote them: the platform's configuration and the
//! operator's file. The files under `golden/proxy_files/` were written by such a build and never change; ports, the id of
//! the process and the folder are of each run alone.

use std::path::Path;
use std::process::Command;

fn golden(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/proxy_files");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

/// The text with `PORT` in place of each port of a loopback address in quotes, except the fixed one of operators' calls.
fn without_ports(text: &str) -> String {
    let mut parts = text.split('"').map(|part| match part.rsplit_once(':') {
        Some((address, port)) if address.starts_with("127.") && port != "9000" => {
            format!("{address}:PORT")
        }
        _ => part.to_owned(),
    });
    let first = parts.next().unwrap();
    parts.fold(first, |text, part| format!("{text}\"{part}"))
}

#[test]
fn a_proxy_gets_the_same_files_as_before() {
    let folder = std::env::temp_dir().join(format!("asterramp-files-{}", std::process::id()));
    let scenario =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/proxy_files/scenario.toml");
    let testbed = Command::new(env!("CARGO_BIN_EXE_asterramp-testbed"))
        .arg("run")
        .arg(scenario)
        .args(["--seed", "4", "--baseline", "round-robin", "--report"])
        .arg(&folder)
        .spawn()
        .unwrap();
    let process = testbed.id();
    let output = testbed.wait_with_output().unwrap();
    let written = |name: &str| std::fs::read_to_string(folder.join(name)).unwrap();
    let configuration = without_ports(&written("proxy-1.json"));
    let socket = std::env::temp_dir().join(format!("asterramp-rig-{process}-"));
    let operator_file = written("proxy-1.toml")
        .replace(&socket.display().to_string(), "TEMP/asterramp-rig-PROCESS-")
        .replace(&folder.display().to_string(), "FOLDER");
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(configuration + "\n", golden("proxy-1.json"));
    assert_eq!(operator_file, golden("proxy-1.toml"));
}
