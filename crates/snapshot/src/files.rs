//! Disk access of the snapshot store, by file name within one directory.
//!
//! [`SnapshotFiles`] has all the disk operations that the store uses. Tests implement it by a simulated disk that loses
//! power between any two calls.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// File whose lock keeps a second process from writing to the directory.
const LOCK_FILE: &str = "lock";
/// Permissions of the files. They contain internal addresses, so only their owner may read them.
const FILE_MODE: u32 = 0o600;

/// The disk operations of a snapshot store, each with the durability that POSIX guarantees for it.
pub trait SnapshotFiles {
    /// Reads a complete file of at most `max_len` bytes.
    ///
    /// # Errors
    ///
    /// `NotFound` if the file does not exist; any other error if it is longer, not a regular file, or cannot be read.
    fn read(&mut self, name: &str, max_len: usize) -> io::Result<Vec<u8>>;

    /// Creates a file or replaces its bytes. The bytes are durable only after [`sync`](Self::sync).
    ///
    /// # Errors
    ///
    /// Any error of the disk; the file may then contain only some of the bytes.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the bytes of a file durable.
    ///
    /// # Errors
    ///
    /// Any error of the disk.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file over another one. The change is durable only after [`sync_directory`](Self::sync_directory).
    ///
    /// # Errors
    ///
    /// Any error of the disk; both files are then unchanged.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. The change is durable only after [`sync_directory`](Self::sync_directory).
    ///
    /// # Errors
    ///
    /// `NotFound` if the file does not exist, or any error of the disk.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes renames and removals durable.
    ///
    /// # Errors
    ///
    /// Any error of the disk.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// The directory on the file system that holds one proxy's snapshots.
#[derive(Clone, Debug)]
pub struct SnapshotDirectory(PathBuf);

impl SnapshotDirectory {
    /// Opens the directory at `path`, creating it if it is missing; its parent must exist.
    ///
    /// # Errors
    ///
    /// If it cannot be created, or `path` is not a directory.
    pub fn open(path: &Path) -> io::Result<SnapshotDirectory> {
        match std::fs::create_dir(path) {
            Err(error) if error.kind() != io::ErrorKind::AlreadyExists => return Err(error),
            _ => {}
        }
        if path.is_dir() {
            Ok(SnapshotDirectory(path.to_path_buf()))
        } else {
            Err(io::ErrorKind::NotADirectory.into())
        }
    }

    /// Locks the directory against other processes for as long as the returned file is open. Returns `None` at once if
    /// another process holds the lock.
    ///
    /// # Errors
    ///
    /// If the lock file cannot be opened, or locking fails for another reason than a lock of another process.
    pub fn lock(&self) -> io::Result<Option<File>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(FILE_MODE)
            .open(self.0.join(LOCK_FILE))?;
        match rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Some(file)),
            Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

impl SnapshotFiles for SnapshotDirectory {
    fn read(&mut self, name: &str, max_len: usize) -> io::Result<Vec<u8>> {
        let file = File::open(self.0.join(name))?;
        if !file.metadata()?.is_file() {
            return Err(io::Error::other("not a file"));
        }
        let mut bytes = Vec::new();
        // One byte more than allowed shows that a file is too long, without reading all of it.
        file.take(max_len as u64 + 1).read_to_end(&mut bytes)?;
        if bytes.len() > max_len {
            return Err(io::Error::other(format!("longer than {max_len} bytes")));
        }
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .mode(FILE_MODE)
            .open(self.0.join(name))?;
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

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
