//! Actions of the zone-failover model, and the situations from which exploration starts.

use asterramp_zone_failover::{ServerId, ZoneId};
use std::fmt;

/// An action of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneAction {
    /// The proxy sends a request to a server, which responds if it is up.
    Contact(ServerId),
    /// All servers of a zone stop responding, or respond again.
    ToggleZone(ZoneId),
    /// One server stops responding, or responds again.
    ToggleServer(ServerId),
    /// Discovery lists a zone's servers as gone, or as ready and just started.
    ToggleListing(ZoneId),
    /// The clock advances by `TICK`.
    TimePasses,
}

impl fmt::Display for ZoneAction {
    /// Formats the action as counterexamples print it. These texts are stable, so they differ from the variants' names.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ZoneAction::Contact(server) => write!(formatter, "Meets({server})"),
            ZoneAction::ToggleZone(zone) => write!(formatter, "Cut({zone})"),
            ZoneAction::ToggleServer(server) => write!(formatter, "Fails({server})"),
            ZoneAction::ToggleListing(zone) => write!(formatter, "Told({zone})"),
            ZoneAction::TimePasses => formatter.write_str("Passes"),
        }
    }
}

/// A starting point of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneSituation {
    /// The initial state: all servers are listed and have responded.
    AllHealthy,
    /// Zone 0 was closed, has just been reopened, and its servers have stopped responding again.
    LostAfterRecovery,
}

impl ZoneSituation {
    /// All situations.
    pub const ALL: [ZoneSituation; 2] =
        [ZoneSituation::AllHealthy, ZoneSituation::LostAfterRecovery];

    /// The actions that lead to the situation.
    pub fn actions(self) -> Vec<ZoneAction> {
        match self {
            ZoneSituation::AllHealthy => Vec::new(),
            ZoneSituation::LostAfterRecovery => vec![
                ZoneAction::TimePasses,
                ZoneAction::ToggleZone(0),
                ZoneAction::Contact(0),
                ZoneAction::Contact(1),
                ZoneAction::Contact(3),
                ZoneAction::ToggleZone(0),
                ZoneAction::TimePasses,
                ZoneAction::TimePasses,
                ZoneAction::ToggleZone(0),
                ZoneAction::TimePasses,
            ],
        }
    }
}
