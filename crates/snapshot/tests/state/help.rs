//! A disk in memory that loses power, and snapshots to write.

use asterramp_snapshot::{SavedEndpoint, SavedEndpointState, Snapshot, SnapshotFiles};
use std::collections::BTreeMap;
use std::io;

/// What a file's bytes may be after a loss of power, if they were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Torn {
    Whole,
    Half,
    Empty,
    Zeros,
}

pub const TORN: [Torn; 4] = [Torn::Whole, Torn::Half, Torn::Empty, Torn::Zeros];

#[derive(Clone, Debug, Default)]
struct Inode {
    bytes: Vec<u8>,
    synced: bool,
}

/// A change of the folder that is not on disk yet.
#[derive(Clone, Debug)]
enum Pending {
    Set(String, usize),
    Rename(String, String, usize),
    Remove(String),
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    inodes: Vec<Inode>,
    /// As processes see it, and as it is on disk.
    names: BTreeMap<String, usize>,
    durable: BTreeMap<String, usize>,
    pending: Vec<Pending>,
    /// Steps until power fails; `None` for never.
    steps: Option<usize>,
    taken: usize,
    /// Steps that are left out, to see that the test would find it.
    pub forgets: &'static [&'static str],
}

impl Disk {
    fn step(&mut self, what: &'static str) -> io::Result<bool> {
        if self.steps == Some(self.taken) {
            return Err(io::Error::other("the power is gone"));
        }
        self.taken += 1;
        Ok(!self.forgets.contains(&what))
    }

    /// The same, losing its power after so many steps more.
    pub fn that_stops(&self, steps: usize) -> Disk {
        Disk {
            steps: Some(steps),
            taken: 0,
            ..self.clone()
        }
    }

    /// How many changes of the folder are not on disk.
    pub fn open(&self) -> usize {
        self.pending.len()
    }

    /// The disk as it may be after a loss of power: of the changes that were not synced, those in `kept` (a bit each);
    /// of bytes that were not, what `torn` says.
    pub fn after(&self, kept: usize, torn: Torn) -> Disk {
        let mut names = self.durable.clone();
        for (_, change) in self
            .pending
            .iter()
            .enumerate()
            .filter(|(nth, _)| kept & (1 << nth) != 0)
        {
            match change {
                Pending::Set(name, inode) => drop(names.insert(name.clone(), *inode)),
                Pending::Rename(from, to, inode) => {
                    names.remove(from);
                    names.insert(to.clone(), *inode);
                }
                Pending::Remove(name) => drop(names.remove(name)),
            }
        }
        let lost = |inode: &Inode| {
            let bytes = match torn {
                _ if inode.synced => inode.bytes.clone(),
                Torn::Whole => inode.bytes.clone(),
                Torn::Half => inode.bytes[..inode.bytes.len() / 2].to_vec(),
                Torn::Empty => Vec::new(),
                Torn::Zeros => vec![0; inode.bytes.len()],
            };
            Inode {
                bytes,
                synced: true,
            }
        };
        let inodes = self.inodes.iter().map(lost).collect();
        Disk {
            inodes,
            durable: names.clone(),
            names,
            forgets: self.forgets,
            ..Disk::default()
        }
    }

    pub fn put(&mut self, name: &str, bytes: &[u8]) {
        self.inodes.push(Inode {
            bytes: bytes.to_vec(),
            synced: true,
        });
        self.names.insert(name.into(), self.inodes.len() - 1);
        self.durable = self.names.clone();
    }

    fn at(&self, name: &str) -> io::Result<usize> {
        self.names
            .get(name)
            .copied()
            .ok_or(io::ErrorKind::NotFound.into())
    }
}

impl SnapshotFiles for Disk {
    fn read(&mut self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let bytes = self.inodes[self.at(name)?].bytes.clone();
        if bytes.len() > most {
            Err(io::Error::other("too long"))
        } else {
            Ok(bytes)
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.step("write")? {
            // Truncating one that is there changes its bytes, not the folder.
            let inode = match self.at(name) {
                Ok(inode) => inode,
                Err(_) => {
                    self.inodes.push(Inode::default());
                    let inode = self.inodes.len() - 1;
                    self.names.insert(name.into(), inode);
                    self.pending.push(Pending::Set(name.into(), inode));
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
        if self.step("sync")? {
            let inode = self.at(name)?;
            self.inodes[inode].synced = true;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.step("rename")? {
            let inode = self.at(from)?;
            self.names.remove(from);
            self.names.insert(to.into(), inode);
            self.pending
                .push(Pending::Rename(from.into(), to.into(), inode));
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.step("remove")? {
            self.at(name)?;
            self.names.remove(name);
            self.pending.push(Pending::Remove(name.into()));
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if self.step("sync_folder")? {
            self.durable = self.names.clone();
            self.pending.clear();
        }
        Ok(())
    }
}

/// One with something in each field, told from others by `rev`.
pub fn snapshot(rev: u64) -> Snapshot {
    let host = |n: u64| SavedEndpoint {
        uid: format!("s-{n}"),
        endpoint: std::net::SocketAddr::from(([127, 0, 0, 1], 4000 + n as u16)),
        zone: "a".into(),
        cell: 1,
        standing: SavedEndpointState::Ready,
        weight: 1.0,
        started_ms: Some(1_000 + n),
        heard_ms: None,
        unit: Some(0.03),
    };
    Snapshot {
        owner: "127.0.0.1:7000".into(),
        rev,
        saved_ms: 1_700_000_000_000,
        term: 3,
        hosts: (0..3).map(host).collect(),
        ..Snapshot::default()
    }
}
