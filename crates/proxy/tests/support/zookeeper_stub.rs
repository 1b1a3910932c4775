//! The ZooKeeper stub, run as a separate process.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A store in a process of its own; dropping it kills the process.
pub(crate) struct ZooKeeperStub {
    process: Child,
    /// The address that the store listens on.
    pub(crate) address: SocketAddr,
}

impl Drop for ZooKeeperStub {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl ZooKeeperStub {
    /// Starts an empty store.
    pub(crate) fn start() -> ZooKeeperStub {
        // The workspace's build puts the stub in the folder of the proxy's program.
        let program =
            Path::new(env!("CARGO_BIN_EXE_asterramp")).with_file_name("asterramp-zookeeper-stub");
        let mut process = Command::new(program)
            .arg("127.0.0.1:0")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("no asterramp-zookeeper-stub beside the proxy: build the workspace");
        let mut line = String::new();
        BufReader::new(process.stdout.as_mut().unwrap())
            .read_line(&mut line)
            .unwrap();
        ZooKeeperStub {
            process,
            address: line.trim().parse().unwrap(),
        }
    }

    /// Begins or ends a fault, which the stub reads by name from its standard input: `mute` and `speak`, `refuse` and
    /// `accept`, `expire` all sessions, `drop` all connections.
    pub(crate) fn inject_fault(&mut self, name: &str) {
        writeln!(self.process.stdin.as_mut().unwrap(), "{name}").unwrap();
    }
}
