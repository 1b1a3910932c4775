//! The command `asterramp status`.

use super::error::CommandError;
use crate::program::drain_progress::format_status;
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest};
use std::path::Path;
use std::time::Duration;

/// Interval at which `--watch` prints the status.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Prints a proxy's status once or, with `watch`, every second.
pub(super) fn status(socket: &Path, json: bool, watch: bool) -> Result<(), CommandError> {
    let mut client = AdminClient::connect(socket)?;
    loop {
        let status = client.send(&AdminRequest::new(AdminCommand::Status))?;
        if json {
            println!("{}", serde_json::to_string(&status)?);
        } else {
            println!("{}", format_status(&status));
        }
        if !watch {
            return Ok(());
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}
