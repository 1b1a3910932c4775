//! One step of a roll: drains a proxy, has it restarted and waits until it carries its share of the sessions again.

use super::{RollError, RollOptions};
use crate::program::drain_progress::{format_status, wait_until_empty};
use crate::program::leader_lease::LeaderLease;
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest, ProxyStatus};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// Interval of polls of a proxy's status, and of a paused roll's plan.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The replacement of one proxy.
pub(super) struct Replacement<'a> {
    /// The options of the roll.
    pub(super) options: &'a RollOptions,
    /// The proxy that is replaced.
    pub(super) admin_socket: &'a Path,
    /// The leader lease of a guarded roll; `None` if the roll is not guarded.
    pub(super) lease: Option<&'a LeaderLease>,
    /// Process id of the proxy by the plan of a guarded roll; `None` if the roll is not guarded.
    pub(super) planned_pid: Option<u32>,
}

impl Replacement<'_> {
    /// Replaces the proxy and waits until it carries its share.
    pub(super) fn run(&self) -> Result<(), RollError> {
        self.wait_for_peers()?;
        let mut client = match AdminClient::connect(self.admin_socket) {
            Ok(client) => client,
            // Not reachable because an earlier leader has ordered it to shut down.
            Err(_) if self.planned_pid.is_some() => {
                return self.wait_for_restart(self.planned_pid);
            }
            Err(error) => return Err(RollError::Admin(error)),
        };
        let before = client
            .send(&AdminRequest::new(AdminCommand::Status))
            .map_err(RollError::Admin)?;
        self.drain(&mut client, &before)?;
        self.shut_down(&mut client)?;
        println!(
            "{}: empty; waiting for its restart",
            self.admin_socket.display()
        );
        self.wait_for_restart(Some(before.pid))
    }

    /// Waits until each of the other proxies carries its share, so that the front proxy never loses two at once.
    fn wait_for_peers(&self) -> Result<(), RollError> {
        for peer in self.options.peers_of(self.admin_socket) {
            let ready_status = || {
                proxy_status(peer)
                    .ok()
                    .filter(|status| status.allows_next_drain)
            };
            poll(self.options.step_timeout, ready_status).ok_or_else(|| {
                RollError::PeerNotReady {
                    admin_socket: peer.into(),
                }
            })?;
        }
        Ok(())
    }

    /// Drains the proxy and waits until it is empty.
    fn drain(&self, client: &mut AdminClient, before: &ProxyStatus) -> Result<(), RollError> {
        println!(
            "{}: draining, {} open",
            self.admin_socket.display(),
            before.open_sessions
        );
        let request = AdminRequest {
            deadline_ms: Some(self.options.drain_deadline.as_millis() as u64),
            ..AdminRequest::new(AdminCommand::Drain)
        };
        self.send_order(client, request)?;
        wait_until_empty(client, self.options.drain_deadline)?;
        Ok(())
    }

    /// Has the empty proxy restarted: by the restart command or, without one, by an order to shut down in a guarded
    /// roll. In an unguarded roll without a command, the proxy has to be restarted from outside.
    fn shut_down(&self, client: &mut AdminClient) -> Result<(), RollError> {
        let Some(command) = &self.options.restart_command else {
            return match self.lease {
                Some(_) => self.send_order(client, AdminRequest::new(AdminCommand::Shutdown)),
                None => Ok(()),
            };
        };
        // The command is not fenced: a leader that is suspended after this check may still run it, too late.
        if self.lease.is_some_and(|lease| !lease.is_leader()) {
            return Err(RollError::LeaseLost);
        }
        let status = Command::new("/bin/sh")
            .args(["-c", command])
            .env("ASTERRAMP_CONTROL", self.admin_socket)
            .status()
            .map_err(RollError::RestartNotRun)?;
        if status.success() {
            Ok(())
        } else {
            Err(RollError::RestartFailed(status))
        }
    }

    /// Sends an order to the proxy: as the leader in a guarded roll, otherwise as an operator.
    fn send_order(&self, client: &mut AdminClient, request: AdminRequest) -> Result<(), RollError> {
        let Some(lease) = self.lease else {
            client.send(&request).map_err(RollError::Admin)?;
            return Ok(());
        };
        match lease
            .send_as_leader(client, request)
            .map_err(RollError::Admin)?
        {
            Some(_) => Ok(()),
            None => Err(RollError::LeaseLost),
        }
    }

    /// Waits until a process with another id than `replaced_pid` serves, and then until it carries its share.
    fn wait_for_restart(&self, replaced_pid: Option<u32>) -> Result<(), RollError> {
        let restarted = || {
            let status = proxy_status(self.admin_socket).ok()?;
            let serves = status.state == "serving" && Some(status.pid) != replaced_pid;
            serves.then_some(status)
        };
        poll(self.options.step_timeout, restarted).ok_or(RollError::NotRestarted)?;
        println!(
            "{}: back; waiting until it carries its share",
            self.admin_socket.display()
        );
        let status = poll(self.options.step_timeout, || self.status_with_share())
            .ok_or(RollError::ShareNotReached)?;
        println!(
            "{}: {}",
            self.admin_socket.display(),
            format_status(&status)
        );
        Ok(())
    }

    /// The proxy's status, if it allows the next drain and the proxy holds at least
    /// [`min_session_share`](RollOptions::min_session_share) of the other proxies' mean number of sessions.
    fn status_with_share(&self) -> Option<ProxyStatus> {
        let own = proxy_status(self.admin_socket).ok()?;
        let peer_sessions: Vec<usize> = self
            .options
            .peers_of(self.admin_socket)
            .filter_map(|peer| Some(proxy_status(peer).ok()?.open_sessions))
            .collect();
        let mean = peer_sessions.iter().sum::<usize>() as f64 / peer_sessions.len().max(1) as f64;
        let has_share = own.allows_next_drain
            && own.open_sessions as f64 >= mean * self.options.min_session_share;
        has_share.then_some(own)
    }
}

/// The status of the proxy behind an admin socket.
pub(super) fn proxy_status(admin_socket: &Path) -> Result<ProxyStatus, RollError> {
    AdminClient::connect(admin_socket)
        .and_then(|mut client| client.send(&AdminRequest::new(AdminCommand::Status)))
        .map_err(RollError::Admin)
}

/// Calls `check`, at least once, until it returns a value; `None` if it returns none within `timeout`.
fn poll<T>(timeout: Duration, mut check: impl FnMut() -> Option<T>) -> Option<T> {
    let give_up_at = Instant::now() + timeout;
    loop {
        let value = check();
        if value.is_some() || Instant::now() > give_up_at {
            return value;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
