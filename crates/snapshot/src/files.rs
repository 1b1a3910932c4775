//! All that is done to the disk, by name within one folder. A test puts a disk in its place that loses power.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

pub trait SnapshotFiles {
    /// At most `most` bytes of a file; longer ones are an error.
    fn read(&mut self, name: &str, most: usize) -> io::Result<Vec<u8>>;
    /// A file with these bytes, in place of what it held. Not on disk before `sync`.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Not on disk before `sync_folder`.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the system's.
#[derive(Clone, Debug)]
pub struct SnapshotDirectory(PathBuf);

impl SnapshotDirectory {
    /// The folder itself is made if it is not there; its parent is not.
    pub fn open(path: &Path) -> io::Result<SnapshotDirectory> {
        match std::fs::create_dir(path) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
            _ => {}
        }
        if path.is_dir() {
            Ok(SnapshotDirectory(path.to_path_buf()))
        } else {
            Err(io::ErrorKind::NotADirectory.into())
        }
    }

    /// Keeps others out for as long as the file is held; `None` while somebody else does.
    pub fn lock(&self) -> io::Result<Option<File>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(0o600)
            .open(self.0.join("lock"))?;
        match rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Some(file)),
            Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
            Err(e) => Err(e.into()),
        }
    }
}

impl SnapshotFiles for SnapshotDirectory {
    fn read(&mut self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let file = File::open(self.0.join(name))?;
        if !file.metadata()?.is_file() {
            return Err(io::Error::other("not a file"));
        }
        let mut bytes = Vec::new();
        file.take(most as u64 + 1).read_to_end(&mut bytes)?;
        if bytes.len() > most {
            Err(io::Error::other(format!("longer than {most} bytes")))
        } else {
            Ok(bytes)
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.0.join(name);
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .mode(0o600)
            .open(path)?;
        file.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        File::open(self.0.join(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
