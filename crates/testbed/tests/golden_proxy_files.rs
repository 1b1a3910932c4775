//! The files that a run writes for a proxy, the platform's configuration and the operator's file, stay as earlier builds
//! wrote them. The files under `golden/proxy_files/` were written by such a build and never change.
//! Ports, the process id and the folder differ between runs and are replaced by placeholders.

use std::path::Path;
use std::process::Command;

fn golden(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/proxy_files");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

/// Replaces the port of each quoted loopback address by `PORT`, except 9000, the fixed port at which proxies reach each other.
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
fn the_files_of_a_proxy_are_unchanged() {
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
    let read_run_file = |name: &str| std::fs::read_to_string(folder.join(name)).unwrap();
    let configuration = without_ports(&read_run_file("proxy-1.json"));
    let socket_prefix = std::env::temp_dir().join(format!("asterramp-rig-{process}-"));
    let operator_file = read_run_file("proxy-1.toml")
        .replace(
            &socket_prefix.display().to_string(),
            "TEMP/asterramp-rig-PROCESS-",
        )
        .replace(&folder.display().to_string(), "FOLDER");
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(configuration + "\n", golden("proxy-1.json"));
    assert_eq!(operator_file, golden("proxy-1.toml"));
}
