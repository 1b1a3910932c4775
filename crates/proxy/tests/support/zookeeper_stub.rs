//! The ZooKeeper stub as a process of its own.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A store that ends with the test.
pub(crate) struct ZooKeeperStub {
    process: Child,
    /// Where it listens.
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
        // It is built with the workspace, beside this program.
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

    /// Has it fail in the way that this line of its standard input names.
    pub(crate) fn inject_fault(&mut self, name: &str) {
        writeln!(self.process.stdin.as_mut().unwrap(), "{name}").unwrap();
    }
}
