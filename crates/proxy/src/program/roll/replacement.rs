//! One step of a roll: a proxy is drained, restarted and waited for until it carries its share of the traffic again.

use super::{RollError, RollOptions};
use crate::program::drain_progress::{status_line, wait_until_empty};
use crate::program::leader_lease::LeaderLease;
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest, ProxyStatus};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// How often a proxy's status is looked at while something is waited for.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The replacement of one proxy.
pub(super) struct Replacement<'a> {
    /// How the roll is done.
    pub(super) options: &'a RollOptions,
    /// The proxy that is replaced.
    pub(super) admin_socket: &'a Path,
    /// The lead by which a guarded roll gives its orders.
    pub(super) lease: Option<&'a LeaderLease>,
    /// The process that is to be replaced, by a guarded roll's plan.
    pub(super) planned_pid: Option<u32>,
}

impl Replacement<'_> {
    /// Replaces the proxy and waits until it carries its share.
    pub(super) fn run(&self) -> Result<(), RollError> {
        self.wait_for_peers()?;
        let mut client = match AdminClient::connect(self.admin_socket) {
            Ok(client) => client,
            // An earlier leader has ordered it to shut down.
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

    /// Waits until each of the others carries its share: the front must not lose two at once.
    fn wait_for_peers(&self) -> Result<(), RollError> {
        for peer in self.options.peers_of(self.admin_socket) {
            let carrying = || {
                proxy_status(peer)
                    .ok()
                    .filter(|status| status.allows_next_drain)
            };
            poll(self.options.step_timeout, carrying).ok_or_else(|| RollError::PeerNotReady {
                admin_socket: peer.into(),
            })?;
        }
        Ok(())
    }

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
        self.order(client, request)?;
        wait_until_empty(client, self.options.drain_deadline)?;
        Ok(())
    }

    /// Has the empty proxy restarted: by the command, by an order to shut down where a leader may give it, or by somebody
    /// else.
    fn shut_down(&self, client: &mut AdminClient) -> Result<(), RollError> {
        let Some(command) = &self.options.restart_command else {
            return match self.lease {
                Some(_) => self.order(client, AdminRequest::new(AdminCommand::Shutdown)),
                None => Ok(()),
            };
        };
        // The command is not fenced: a leader that is stopped right here may run it late.
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

    /// Orders the proxy something: in the leader's name in a guarded roll, otherwise as an operator.
    fn order(&self, client: &mut AdminClient, request: AdminRequest) -> Result<(), RollError> {
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

    /// Waits until another process than `before` serves, and then until it carries its share.
    fn wait_for_restart(&self, before: Option<u32>) -> Result<(), RollError> {
        let restarted = || {
            let status = proxy_status(self.admin_socket).ok()?;
            let serves = status.state == "serving" && Some(status.pid) != before;
            serves.then_some(status)
        };
        poll(self.options.step_timeout, restarted).ok_or(RollError::NotRestarted)?;
        println!(
            "{}: back; waiting until it carries its share",
            self.admin_socket.display()
        );
        let status = poll(self.options.step_timeout, || self.status_if_carrying())
            .ok_or(RollError::ShareNotReached)?;
        println!("{}: {}", self.admin_socket.display(), status_line(&status));
        Ok(())
    }

    /// The proxy's status, if it says that it carries its share and holds enough sessions beside the others' mean.
    fn status_if_carrying(&self) -> Option<ProxyStatus> {
        let own = proxy_status(self.admin_socket).ok()?;
        let peers_open: Vec<usize> = self
            .options
            .peers_of(self.admin_socket)
            .filter_map(|peer| Some(proxy_status(peer).ok()?.open_sessions))
            .collect();
        let mean = peers_open.iter().sum::<usize>() as f64 / peers_open.len().max(1) as f64;
        let carries = own.allows_next_drain
            && own.open_sessions as f64 >= mean * self.options.min_session_share;
        carries.then_some(own)
    }
}

/// The status of the proxy behind an admin socket.
pub(super) fn proxy_status(admin_socket: &Path) -> Result<ProxyStatus, RollError> {
    AdminClient::connect(admin_socket)
        .and_then(|mut client| client.send(&AdminRequest::new(AdminCommand::Status)))
        .map_err(RollError::Admin)
}

/// Looks until there is something to see, at least once; `None` once `timeout` is over.
fn poll<T>(timeout: Duration, mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let give_up_at = Instant::now() + timeout;
    loop {
        let seen = look();
        if seen.is_some() || Instant::now() > give_up_at {
            return seen;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
