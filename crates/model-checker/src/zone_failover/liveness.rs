//! Liveness properties: what must follow from every state if no further faults occur.

use super::action::ZoneAction;
use super::model::ZoneFailoverModel;
use super::settings::{ZONE_COUNT, ZONE_OF_SERVER};
use super::violation::ZoneViolation;
use asterramp_zone_failover::{ServerId, ZoneId, ZoneState};

/// Ticks within which all zones must be healthy once every server responds. Covers the longest hold-down, the probes
/// and a recovery ramp.
const TICKS_TO_RECOVER: u32 = 24;
/// The zone whose servers stop responding in [`check_loss_detected`].
const DISCONNECTED_ZONE: ZoneId = 0;
/// Servers that the proxy contacts in [`check_loss_detected`]: all of `DISCONNECTED_ZONE`, and one of another zone,
/// whose response shows that the proxy itself is connected.
const CONTACTED_SERVERS: [ServerId; 4] = [0, 1, 2, 3];

/// Checks that every zone becomes healthy if all servers are listed and respond.
pub(super) fn check_recovery(state: &ZoneFailoverModel) -> Result<(), ZoneViolation> {
    let mut model = state.clone();
    for server in &mut model.servers {
        server.responds = true;
    }
    list_all_zones(&mut model);
    let_time_pass(&mut model);
    for zone in 0..ZONE_COUNT {
        let state = model.zone_state(zone);
        if state != ZoneState::Healthy {
            return Err(ZoneViolation::NeverHealthy {
                zone: zone as ZoneId,
                state: state.name(),
            });
        }
    }
    Ok(())
}

/// Checks that a zone whose servers never respond again, while those of other zones do, is closed after the proxy has
/// contacted each of its servers once; probes may contribute.
pub(super) fn check_loss_detected(state: &ZoneFailoverModel) -> Result<(), ZoneViolation> {
    let mut model = state.clone();
    list_all_zones(&mut model);
    for (server, zone) in ZONE_OF_SERVER.into_iter().enumerate() {
        model.servers[server].responds = zone != DISCONNECTED_ZONE;
    }
    // In `state`, the zone may be in hold-down or have just been reopened: wait until both are over.
    let_time_pass(&mut model);
    for server in CONTACTED_SERVERS {
        model.contact(server);
    }
    let state = model.zone_state(usize::from(DISCONNECTED_ZONE));
    if state.is_closed() {
        return Ok(());
    }
    Err(ZoneViolation::LossUndetected {
        zone: DISCONNECTED_ZONE,
        state: state.name(),
    })
}

fn list_all_zones(model: &mut ZoneFailoverModel) {
    for zone in 0..ZONE_COUNT {
        if !model.zones[zone].is_listed {
            model.perform(ZoneAction::ToggleListing(zone as ZoneId));
        }
    }
}

fn let_time_pass(model: &mut ZoneFailoverModel) {
    for _ in 0..TICKS_TO_RECOVER {
        model.perform(ZoneAction::TimePasses);
    }
}
