//! A snapshot as bytes: a line that says what follows, then JSON. Whatever else the bytes are, reading them says what is
//! wrong with them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Of the form below. Another is not read: one line says so.
pub const VERSION: u32 = 1;
/// Longest file that is read, in bytes; a snapshot of 4,096 hosts takes a third of it.
pub const LONGEST: usize = 4 << 20;
/// Longest first line.
const HEAD: usize = 96;
const MAGIC: &str = "asterramp-state";
/// Most hosts; the longest list that a proxy takes in.
const HOSTS: usize = 4096;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SavedEndpointState {
    #[default]
    Ready,
    Draining,
}

/// What was known of a host. Serde puts this name into error texts, which stay as they were; the package exports it as
/// `SavedEndpoint`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub cell: u16,
    pub standing: SavedEndpointState,
    pub weight: f64,
    /// When its process started, Unix time in milliseconds; `None` for long ago.
    pub started_ms: Option<u64>,
    /// When it last answered, Unix time in milliseconds; `None` if it never did.
    pub heard_ms: Option<u64>,
    /// Share of it that a connection took, by its reports.
    pub unit: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Whose it is: the address that the proxy listens at.
    pub owner: String,
    /// Counts snapshots; the higher of two is the newer, whatever the clock said.
    pub seq: u64,
    /// Unix time in milliseconds.
    pub saved_ms: u64,
    /// Of discovery's list, and when it last spoke, Unix time in milliseconds.
    pub rev: u64,
    pub told_ms: Option<u64>,
    /// The highest owner's term heard; 0 before any.
    pub term: u64,
    /// Written when the proxy left in good order.
    pub clean: bool,
    pub hosts: Vec<Host>,
}

/// The bytes of a file.
pub fn write(snapshot: &Snapshot) -> Vec<u8> {
    // A snapshot holds nothing that JSON cannot say but numbers that are none, which are left out before.
    let body = serde_json::to_vec(snapshot).unwrap_or_default();
    let crc = crc32fast::hash(&body);
    let mut bytes = format!("{MAGIC} v={VERSION} len={} crc={crc:08x}\n", body.len()).into_bytes();
    bytes.extend(body);
    bytes
}

/// A whole snapshot, or what is wrong with the bytes, in a few words.
pub fn read(bytes: &[u8]) -> Result<Snapshot, String> {
    if bytes.is_empty() {
        return Err("empty".into());
    }
    let end = bytes
        .iter()
        .take(HEAD)
        .position(|b| *b == b'\n')
        .ok_or("no snapshot: its first line is none")?;
    let head =
        std::str::from_utf8(&bytes[..end]).map_err(|_| "no snapshot: its first line is none")?;
    let mut words = head.split(' ');
    if words.next() != Some(MAGIC) {
        return Err("no snapshot: its first line is none".into());
    }
    let mut figure = |key: &str| {
        words
            .next()
            .and_then(|word| word.strip_prefix(key))
            .map(String::from)
    };
    let version = figure("v=")
        .and_then(|v| v.parse::<u32>().ok())
        .ok_or("its version cannot be read")?;
    match version {
        VERSION => {}
        newer if newer > VERSION => {
            return Err(format!("of version {newer}, newer than {VERSION}"));
        }
        older => return Err(format!("of version {older}, older than {VERSION}")),
    }
    let len = figure("len=")
        .and_then(|len| len.parse::<usize>().ok())
        .ok_or("its length cannot be read")?;
    let crc = figure("crc=").and_then(|crc| u32::from_str_radix(&crc, 16).ok());
    let crc = crc.ok_or("its checksum cannot be read")?;
    let body = &bytes[end + 1..];
    if body.len() != len {
        return Err(format!("{} bytes of {len}", body.len()));
    }
    if crc32fast::hash(body) != crc {
        return Err("its checksum is wrong".into());
    }
    let snapshot: Snapshot =
        serde_json::from_slice(body).map_err(|e| format!("not as this version writes it: {e}"))?;
    if snapshot.hosts.len() > HOSTS {
        return Err(format!(
            "{} hosts; {HOSTS} are the most",
            snapshot.hosts.len()
        ));
    }
    Ok(snapshot)
}
