//! What may happen to a proxy and to the servers of its zones.

use asterramp_zone_failover::{ServerId, ZoneId};
use std::fmt;

/// Something that may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneAction {
    /// The proxy sends something to a server, which responds or not.
    Contact(ServerId),
    /// All servers of a zone stop responding, or respond again.
    ToggleZone(ZoneId),
    /// One server stops responding, or responds again.
    ToggleServer(ServerId),
    /// Discovery lists a zone's servers as gone, or as ready and just started.
    ToggleListing(ZoneId),
    /// The clock goes on by one tick of the model.
    TimePasses,
}

impl fmt::Display for ZoneAction {
    /// The action as counterexamples name it.
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

/// What has happened before an exploration begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneSituation {
    /// Nothing: all servers are listed and have responded.
    AllHealthy,
    /// Zone 0 was given up, has just been used again, and is lost once more.
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
