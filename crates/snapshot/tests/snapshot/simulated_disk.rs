//! A simulated disk that loses power, and snapshots to save on it.

use asterramp_snapshot::{SavedEndpoint, SavedEndpointState, Snapshot, SnapshotFiles};
use std::collections::BTreeMap;
use std::io;

/// Contents of a file after a loss of power if its bytes were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnsyncedOutcome {
    /// All bytes as written.
    Complete,
    /// The first half of the bytes.
    Half,
    /// No bytes.
    Empty,
    /// Zeros in the length of the bytes.
    Zeros,
}

pub(crate) const UNSYNCED_OUTCOMES: [UnsyncedOutcome; 4] = [
    UnsyncedOutcome::Complete,
    UnsyncedOutcome::Half,
    UnsyncedOutcome::Empty,
    UnsyncedOutcome::Zeros,
];

#[derive(Clone, Debug, Default)]
struct Inode {
    bytes: Vec<u8>,
    synced: bool,
}

impl Inode {
    /// The file as it may be after a loss of power.
    fn after_power_loss(&self, outcome: UnsyncedOutcome) -> Inode {
        let bytes = match outcome {
            _ if self.synced => self.bytes.clone(),
            UnsyncedOutcome::Complete => self.bytes.clone(),
            UnsyncedOutcome::Half => self.bytes[..self.bytes.len() / 2].to_vec(),
            UnsyncedOutcome::Empty => Vec::new(),
            UnsyncedOutcome::Zeros => vec![0; self.bytes.len()],
        };
        Inode {
            bytes,
            synced: true,
        }
    }
}

/// A change of the directory that is not durable yet.
#[derive(Clone, Debug)]
enum DirectoryChange {
    Create(String, usize),
    Rename(String, String, usize),
    Remove(String),
}

/// A disk with one directory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    inodes: Vec<Inode>,
    /// Inode of each file name, as running processes see the directory.
    names: BTreeMap<String, usize>,
    /// The same as after a loss of power without any of the pending changes.
    durable_names: BTreeMap<String, usize>,
    pending: Vec<DirectoryChange>,
    /// Number of steps after which power fails; `None` for never.
    steps_until_power_loss: Option<usize>,
    steps_taken: usize,
    /// Names of steps that are skipped, to check that the test detects it.
    pub(crate) skipped_steps: &'static [&'static str],
}

impl Disk {
    /// Counts a step and returns whether to carry it out.
    fn count_step(&mut self, name: &'static str) -> io::Result<bool> {
        if self.steps_until_power_loss == Some(self.steps_taken) {
            return Err(io::Error::other("power was lost"));
        }
        self.steps_taken += 1;
        Ok(!self.skipped_steps.contains(&name))
    }

    /// The same disk, which loses power after `steps` further steps.
    pub(crate) fn with_power_for(&self, steps: usize) -> Disk {
        Disk {
            steps_until_power_loss: Some(steps),
            steps_taken: 0,
            ..self.clone()
        }
    }

    /// Number of changes of the directory that are not durable.
    pub(crate) fn pending_changes(&self) -> usize {
        self.pending.len()
    }

    /// The disk as it may be after a loss of power. Of the pending changes of the directory, those whose bit is set in
    /// `kept` are applied; unsynced bytes become what `outcome` says.
    pub(crate) fn after_power_loss(&self, kept: usize, outcome: UnsyncedOutcome) -> Disk {
        let mut names = self.durable_names.clone();
        for (index, change) in self.pending.iter().enumerate() {
            if kept & (1 << index) == 0 {
                continue;
            }
            match change {
                DirectoryChange::Create(name, inode) => {
                    names.insert(name.clone(), *inode);
                }
                DirectoryChange::Rename(from, to, inode) => {
                    names.remove(from);
                    names.insert(to.clone(), *inode);
                }
                DirectoryChange::Remove(name) => {
                    names.remove(name);
                }
            }
        }
        let inodes = self
            .inodes
            .iter()
            .map(|inode| inode.after_power_loss(outcome));
        Disk {
            inodes: inodes.collect(),
            durable_names: names.clone(),
            names,
            skipped_steps: self.skipped_steps,
            ..Disk::default()
        }
    }

    /// Adds a file that is durable.
    pub(crate) fn put(&mut self, name: &str, bytes: &[u8]) {
        let inode = self.add_inode(Inode {
            bytes: bytes.to_vec(),
            synced: true,
        });
        self.names.insert(name.into(), inode);
        self.durable_names = self.names.clone();
    }

    fn add_inode(&mut self, inode: Inode) -> usize {
        self.inodes.push(inode);
        self.inodes.len() - 1
    }

    fn inode_of(&self, name: &str) -> io::Result<usize> {
        self.names
            .get(name)
            .copied()
            .ok_or(io::ErrorKind::NotFound.into())
    }
}

impl SnapshotFiles for Disk {
    fn read(&mut self, name: &str, max_len: usize) -> io::Result<Vec<u8>> {
        let bytes = self.inodes[self.inode_of(name)?].bytes.clone();
        if bytes.len() > max_len {
            return Err(io::Error::other("too long"));
        }
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.count_step("write")? {
            // Truncating a file that exists changes its bytes, not the directory.
            let inode = match self.inode_of(name) {
                Ok(inode) => inode,
                Err(_) => {
                    let inode = self.add_inode(Inode::default());
                    self.names.insert(name.into(), inode);
                    self.pending
                        .push(DirectoryChange::Create(name.into(), inode));
                    inode
                }
            };
            self.inodes[inode] = Inode {
                bytes: bytes.to_vec(),
                synced: false,
            };
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.count_step("sync")? {
            let inode = self.inode_of(name)?;
            self.inodes[inode].synced = true;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.count_step("rename")? {
            let inode = self.inode_of(from)?;
            self.names.remove(from);
            self.names.insert(to.into(), inode);
            self.pending
                .push(DirectoryChange::Rename(from.into(), to.into(), inode));
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.count_step("remove")? {
            self.inode_of(name)?;
            self.names.remove(name);
            self.pending.push(DirectoryChange::Remove(name.into()));
        }
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        if self.count_step("sync_directory")? {
            self.durable_names = self.names.clone();
            self.pending.clear();
        }
        Ok(())
    }
}

/// A snapshot with three endpoints, identified by its list revision.
pub(crate) fn snapshot(list_revision: u64) -> Snapshot {
    let endpoint = |number: u64| SavedEndpoint {
        uid: format!("s-{number}"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 4000 + number as u16)),
        zone: "a".into(),
        cell: 1,
        state: SavedEndpointState::Ready,
        weight: 1.0,
        started_at_ms: Some(1_000 + number),
        last_report_ms: None,
        load_per_connection: Some(0.03),
    };
    Snapshot {
        owner: "127.0.0.1:7000".into(),
        list_revision,
        saved_at_ms: 1_700_000_000_000,
        highest_term: 3,
        endpoints: (0..3).map(endpoint).collect(),
        ..Snapshot::default()
    }
}
