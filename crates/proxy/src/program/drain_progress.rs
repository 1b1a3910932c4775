//! A proxy's status as a human-readable line, and the wait until a draining proxy is empty.

use asterramp_admin_protocol::{
    AdminClient, AdminClientError, AdminCommand, AdminRequest, AdmissionStatus, ProxyStatus,
    WarmStartStatus,
};
use std::time::{Duration, Instant};

/// How often the status is polled and printed.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// How much longer than its deadline a drain may take, because sessions that open at the last moment are still
/// migrated.
const DEADLINE_TOLERANCE: Duration = Duration::from_secs(5);

/// Why a drained proxy did not become empty.
#[derive(Debug, thiserror::Error)]
pub(super) enum DrainProgressError {
    /// A request for its status failed.
    #[error(transparent)]
    Status(#[from] AdminClientError),
    /// The drain was cancelled: the proxy serves again.
    #[error("the drain was taken back")]
    Undrained,
    /// The deadline and [`DEADLINE_TOLERANCE`] are over.
    #[error("{open} are still open")]
    DeadlineExceeded {
        /// Sessions that are still open.
        open: usize,
    },
}

/// Polls and prints a draining proxy's status until it is empty, for at most `deadline` and [`DEADLINE_TOLERANCE`].
pub(super) fn wait_until_empty(
    client: &mut AdminClient,
    deadline: Duration,
) -> Result<(), DrainProgressError> {
    let give_up_at = Instant::now() + deadline + DEADLINE_TOLERANCE;
    loop {
        std::thread::sleep(PROGRESS_INTERVAL);
        let status = client.send(&AdminRequest::new(AdminCommand::Status))?;
        println!("{}", format_status(&status));
        match status.state.as_str() {
            "empty" => return Ok(()),
            "serving" => return Err(DrainProgressError::Undrained),
            _ if Instant::now() > give_up_at => {
                return Err(DrainProgressError::DeadlineExceeded {
                    open: status.open_sessions,
                });
            }
            _ => {}
        }
    }
}

/// A status as a human-readable line.
pub(super) fn format_status(status: &ProxyStatus) -> String {
    let mut line = format_sessions(status);
    line += &format_discovery(status);
    if let Some(start) = &status.warm_start {
        line += &format_warm_start(start);
    }
    for admission in &status.admission {
        line += &format_admission(admission);
    }
    for zone in &status.zones {
        if zone.state != "whole" {
            let since = to_seconds(zone.since_ms);
            line += &format!("; {} {} for {since:.1} s", zone.name, zone.state);
        }
    }
    line
}

fn to_seconds(ms: u64) -> f64 {
    ms as f64 / 1e3
}

fn format_sessions(status: &ProxyStatus) -> String {
    let mut text = format!(
        "{}  {} open, {} pending, {} moved",
        status.state, status.open_sessions, status.pending_sessions, status.migrated_sessions
    );
    if let Some(deadline_ms) = status.deadline_in_ms {
        text += &format!(", {:.1} s left", to_seconds(deadline_ms));
    }
    if let Some(expected_ms) = status.expected_empty_in_ms {
        let pace = status.migrations_per_second;
        text += &format!(", empty in {:.1} s at {pace:.0}/s", to_seconds(expected_ms));
    }
    let remaining: Vec<String> = status
        .remaining_sessions
        .iter()
        .map(|count| format!("{} {}", count.sessions, count.listener))
        .collect();
    if !remaining.is_empty() {
        text += &format!(" ({})", remaining.join(", "));
    }
    text
}

fn format_discovery(status: &ProxyStatus) -> String {
    let age = match status.discovery_age_ms {
        None => "never heard".to_string(),
        Some(ms) => format!("heard {:.1} s ago", to_seconds(ms)),
    };
    let next_drain = if status.allows_next_drain {
        "another may be drained"
    } else {
        "no other should be drained"
    };
    let (ready, listed) = (status.ready_endpoints, status.listed_endpoints);
    format!("; {ready} of {listed} hosts ready, discovery {age}; {next_drain}")
}

/// The stage of a warm start; empty once it is over.
fn format_warm_start(start: &WarmStartStatus) -> String {
    if start.stage == "normal" {
        return String::new();
    }
    let mut text = format!(
        "; start {} for {:.1} s",
        start.stage,
        to_seconds(start.since_ms)
    );
    for count in &start.sources {
        text += &format!(
            ", {} {} of {} answer",
            count.source, count.confirmed, count.reported
        );
    }
    text
}

/// A listener's sessions that admission rejected, by reason; empty if there are none.
fn format_admission(admission: &AdmissionStatus) -> String {
    let reasons: Vec<String> = admission
        .rejected
        .iter()
        .map(|count| format!("{} {}", count.sessions, count.reason))
        .collect();
    if reasons.is_empty() {
        return String::new();
    }
    format!(
        "; {} refused for room: {}",
        admission.listener,
        reasons.join(", ")
    )
}
