//! The operator file of a proxy, as TOML.

use crate::plan::Plan;
use crate::scenario::Proxies;
use std::net::SocketAddr;
use std::path::Path;

/// The inputs of a proxy's operator file.
pub(super) struct OperatorFile<'a> {
    /// The plan of the run, whose drains need the admin socket.
    pub(super) plan: &'a Plan,
    /// The scenario's settings of all proxies.
    pub(super) proxies: &'a Proxies,
    /// The path of the proxy's admin socket.
    pub(super) admin_socket: &'a Path,
    /// The folder of the proxy's snapshots.
    pub(super) snapshot_folder: &'a Path,
    /// The admin HTTP addresses of the other proxies.
    pub(super) peers: Vec<SocketAddr>,
}

impl OperatorFile<'_> {
    /// The text of the file; empty if the proxy needs none.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        if self.needs_admin_socket() {
            let socket = self.admin_socket.display().to_string();
            text += &format!("[control]\nsocket = {socket:?}\n");
            text += "[drain]\nclosing = \"2s\"\nquiet = \"600ms\"\nback = \"2s\"\n";
        }
        if self.proxies.saves_snapshots {
            let folder = self.snapshot_folder.display().to_string();
            text += &format!("[state]\nfolder = {folder:?}\nevery = \"200ms\"\n");
        }
        if self.proxies.starts_by_stages {
            text += "[recovery]\nstages = true\n";
            if self.proxies.asks_peers {
                text += &self.peers_text();
            }
        }
        if self.proxies.rejects_by_priority {
            text += "[site]\nby_worth = true\n";
        }
        text
    }

    fn needs_admin_socket(&self) -> bool {
        let proxies = self.proxies;
        self.plan.drains_proxies() || proxies.roll_at.is_some() || proxies.status_pollers > 0
    }

    fn peers_text(&self) -> String {
        let peers = self.peers.iter().map(|peer| format!("\"{peer}\""));
        let peers: Vec<String> = peers.collect();
        format!("fleet = \"rig\"\nothers = [{}]\n", peers.join(", "))
    }
}
