//! Faults of individual proxies, as commands to their tasks.

use crate::plan::PlannedFault;
use crate::proxy_process::ProxyCommand;
use crate::scenario::FaultKind;
use tokio::sync::mpsc;

/// Begins or ends a fault at its target proxies.
pub(super) async fn apply(
    commands: &[mpsc::Sender<ProxyCommand>],
    fault: &PlannedFault,
    begins: bool,
) {
    let Some(command) = command(fault, begins) else {
        return;
    };
    for proxy in &fault.targets {
        let _ = commands[usize::from(*proxy)].send(command).await;
    }
}

/// The command to a proxy when a fault begins or ends; `None` where the end of a fault changes nothing.
fn command(fault: &PlannedFault, begins: bool) -> Option<ProxyCommand> {
    let command = match (fault.kind, begins) {
        (FaultKind::ProxyKilled, true) => ProxyCommand::Kill,
        (FaultKind::ProxyStalls, true) => ProxyCommand::Suspend,
        (FaultKind::ProxyStalls, false) => ProxyCommand::Resume,
        (FaultKind::ProxyLeaves, true) => ProxyCommand::ShutDown,
        (FaultKind::ProxyReloads, true) => ProxyCommand::Reload,
        (FaultKind::ProxyReplaced, true) => ProxyCommand::HotRestart { killed_after: None },
        (FaultKind::ProxyReplacedBadly, true) => ProxyCommand::HotRestart {
            killed_after: Some(fault.span),
        },
        (FaultKind::ProxyDrains, true) => ProxyCommand::Drain {
            deadline: fault.span,
        },
        (FaultKind::ProxyDrains, false) => ProxyCommand::Undrain,
        (FaultKind::DiskSpoilt, true) => ProxyCommand::CorruptSnapshots,
        (
            FaultKind::DiskSpoilt
            | FaultKind::ProxyReloads
            | FaultKind::ProxyReplaced
            | FaultKind::ProxyReplacedBadly,
            false,
        ) => return None,
        _ => ProxyCommand::Start,
    };
    Some(command)
}
