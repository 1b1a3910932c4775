//! State machine of one zone: states, inputs, actions and the table of transitions between them.

/// State of a zone, as this proxy sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ZoneState {
    /// In use; too few servers have failed to suspect it.
    #[default]
    Healthy,
    /// Several servers do not respond; servers of the zone are probed. Still in use.
    Suspected,
    /// Enough servers do not respond, or discovery lists all of them as gone. Closed.
    Lost,
    /// Lost, but discovery still lists servers as ready: they run, but this proxy cannot reach them. Closed.
    Partitioned,
    /// Servers respond again; the zone's share of traffic grows step by step.
    Recovering,
}

impl ZoneState {
    /// All states.
    pub const ALL: [ZoneState; 5] = [
        ZoneState::Healthy,
        ZoneState::Suspected,
        ZoneState::Lost,
        ZoneState::Partitioned,
        ZoneState::Recovering,
    ];

    /// Name in logs, metrics and the admin socket's status. Operators' tools read these names, so they stay as they are.
    pub fn name(self) -> &'static str {
        match self {
            ZoneState::Healthy => "whole",
            ZoneState::Suspected => "doubtful",
            ZoneState::Lost => "lost",
            ZoneState::Partitioned => "cut-off",
            ZoneState::Recovering => "returning",
        }
    }

    /// Whether the zone gets probes only, and no traffic.
    pub fn is_closed(self) -> bool {
        matches!(self, ZoneState::Lost | ZoneState::Partitioned)
    }
}

/// Input of a zone's state machine; also the reason given for a change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneInput {
    /// Enough servers have failed since the zone's last response to suspect the zone.
    ServersUnresponsive,
    /// Enough servers have failed to declare the zone lost, while another zone responds.
    LossConfirmed,
    /// A server of the zone responded.
    Response,
    /// A probe is due but probing is not allowed, so the zone gets a small share of traffic instead.
    TrialDue,
    /// Discovery lists all servers of the zone as gone.
    AllServersGone,
    /// Discovery still lists servers as ready after the discovery delay since the first failure.
    ServersStillListed,
    /// Discovery lists a server as ready that was not ready before, or that was restarted.
    ServerListedAgain,
    /// All zones that have servers are closed.
    NoZoneLeft,
    /// The zone's timer has expired: the end of a suspicion or of the recovery ramp, or a probe that is due.
    TimerExpired,
}

impl ZoneInput {
    /// Reason for a change of state, as in log lines. Operators' tools match these texts, so they stay as they are.
    pub fn reason(self) -> &'static str {
        match self {
            ZoneInput::ServersUnresponsive => "servers say nothing",
            ZoneInput::LossConfirmed => "nobody answers",
            ZoneInput::Response => "it answers",
            ZoneInput::TrialDue => "it is tried",
            ZoneInput::AllServersGone => "discovery calls its servers gone",
            ZoneInput::ServersStillListed => "discovery calls its servers ready",
            ZoneInput::ServerListedAgain => "discovery tells servers again",
            ZoneInput::NoZoneLeft => "no other place is left",
            ZoneInput::TimerExpired => "its time is over",
        }
    }
}

/// What a transition does besides changing the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneAction {
    /// Nothing.
    Nothing,
    /// Probe further servers of the zone and start the suspicion timer.
    StartSuspicion,
    /// Drop the suspicion: it was not confirmed.
    DropSuspicion,
    /// Set the share of traffic to zero and start the hold-down.
    Close,
    /// Start the hold-down only. Discovery lists no servers, so there is no traffic to move.
    StartHoldDown,
    /// Probe one server.
    Probe,
    /// Use the zone again with the first share of the recovery ramp.
    StartRamp,
    /// Use the zone in full at once: its servers were restarted, and slow start limits the sessions of each of them.
    OpenFully,
    /// Give the zone its full share.
    FinishRamp,
    /// Use the zone in full although it does not respond: no other zone is left.
    UseAsLastResort,
}

/// One row of the transition table: state, input, next state, action.
type Transition = (ZoneState, ZoneInput, ZoneState, ZoneAction);

/// All transitions; an input that is missing for a state changes nothing in that state.
const TRANSITIONS: &[Transition] = {
    use ZoneAction::*;
    use ZoneInput::*;
    use ZoneState::*;
    &[
        (Healthy, ServersUnresponsive, Suspected, StartSuspicion),
        (Healthy, AllServersGone, Lost, StartHoldDown),
        (Suspected, Response, Healthy, DropSuspicion),
        (Suspected, TimerExpired, Healthy, DropSuspicion),
        (Suspected, LossConfirmed, Lost, Close),
        (Suspected, AllServersGone, Lost, StartHoldDown),
        (Lost, TimerExpired, Lost, Probe),
        (Lost, Response, Recovering, StartRamp),
        (Lost, TrialDue, Recovering, StartRamp),
        (Lost, ServerListedAgain, Recovering, OpenFully),
        (Lost, ServersStillListed, Partitioned, Nothing),
        (Lost, NoZoneLeft, Suspected, UseAsLastResort),
        (Partitioned, TimerExpired, Partitioned, Probe),
        (Partitioned, Response, Recovering, StartRamp),
        (Partitioned, TrialDue, Recovering, StartRamp),
        (Partitioned, ServerListedAgain, Recovering, OpenFully),
        (Partitioned, AllServersGone, Lost, Nothing),
        (Partitioned, NoZoneLeft, Suspected, UseAsLastResort),
        (Recovering, TimerExpired, Healthy, FinishRamp),
        (Recovering, LossConfirmed, Lost, Close),
        (Recovering, AllServersGone, Lost, StartHoldDown),
    ]
};

/// The next state and action; `None` where the input changes nothing in this state.
pub(crate) fn transition(state: ZoneState, input: ZoneInput) -> Option<(ZoneState, ZoneAction)> {
    let row = TRANSITIONS
        .iter()
        .find(|(from, on, _, _)| *from == state && *on == input)?;
    let (_, _, next_state, action) = *row;
    Some((next_state, action))
}
