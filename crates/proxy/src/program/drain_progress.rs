//! A proxy's status as a line for people, and the wait until a proxy that drains is empty.

use asterramp_admin_protocol::{
    AdminClient, AdminClientError, AdminCommand, AdminRequest, AdmissionStatus, ProxyStatus,
    WarmStartStatus,
};
use std::time::{Duration, Instant};

/// How often progress is shown.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// How much longer than its deadline a drain may take: what comes up at the last moment is still migrated.
const DEADLINE_TOLERANCE: Duration = Duration::from_secs(5);

/// Why a drained proxy did not become empty.
#[derive(Debug, thiserror::Error)]
pub(super) enum DrainProgressError {
    /// Its status could not be had.
    #[error(transparent)]
    Status(#[from] AdminClientError),
    /// It serves again.
    #[error("the drain was taken back")]
    Undrained,
    /// The deadline is over.
    #[error("{open} are still open")]
    DeadlineExceeded {
        /// Sessions that are still open.
        open: usize,
    },
}

/// Shows progress until a proxy is empty, for its drain's deadline and [`DEADLINE_TOLERANCE`] at most.
pub(super) fn wait_until_empty(
    client: &mut AdminClient,
    deadline: Duration,
) -> Result<(), DrainProgressError> {
    let give_up_at = Instant::now() + deadline + DEADLINE_TOLERANCE;
    loop {
        std::thread::sleep(PROGRESS_INTERVAL);
        let status = client.send(&AdminRequest::new(AdminCommand::Status))?;
        println!("{}", status_line(&status));
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

/// A status as a line for people.
pub(super) fn status_line(status: &ProxyStatus) -> String {
    let mut line = sessions_part(status);
    line += &discovery_part(status);
    if let Some(start) = &status.warm_start {
        line += &warm_start_part(start);
    }
    for admission in &status.admission {
        line += &admission_part(admission);
    }
    for zone in &status.zones {
        if zone.state != "whole" {
            let since = seconds(zone.since_ms);
            line += &format!("; {} {} for {since:.1} s", zone.name, zone.state);
        }
    }
    line
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1e3
}

fn sessions_part(status: &ProxyStatus) -> String {
    let mut part = format!(
        "{}  {} open, {} pending, {} moved",
        status.state, status.open_sessions, status.pending_sessions, status.migrated_sessions
    );
    if let Some(deadline) = status.deadline_in_ms {
        part += &format!(", {:.1} s left", seconds(deadline));
    }
    if let Some(expected) = status.expected_empty_in_ms {
        let pace = status.migrations_per_second;
        part += &format!(", empty in {:.1} s at {pace:.0}/s", seconds(expected));
    }
    let remaining: Vec<String> = status
        .remaining_sessions
        .iter()
        .map(|left| format!("{} {}", left.sessions, left.listener))
        .collect();
    if !remaining.is_empty() {
        part += &format!(" ({})", remaining.join(", "));
    }
    part
}

fn discovery_part(status: &ProxyStatus) -> String {
    let age = match status.discovery_age_ms {
        None => "never heard".to_string(),
        Some(ms) => format!("heard {:.1} s ago", seconds(ms)),
    };
    let next_drain = if status.allows_next_drain {
        "another may be drained"
    } else {
        "no other should be drained"
    };
    let (ready, listed) = (status.ready_endpoints, status.listed_endpoints);
    format!("; {ready} of {listed} hosts ready, discovery {age}; {next_drain}")
}

/// Nothing once the warm start is over.
fn warm_start_part(start: &WarmStartStatus) -> String {
    if start.stage == "normal" {
        return String::new();
    }
    let mut part = format!(
        "; start {} for {:.1} s",
        start.stage,
        seconds(start.since_ms)
    );
    for count in &start.sources {
        part += &format!(
            ", {} {} of {} answer",
            count.source, count.confirmed, count.reported
        );
    }
    part
}

/// Nothing where no session was rejected.
fn admission_part(admission: &AdmissionStatus) -> String {
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
