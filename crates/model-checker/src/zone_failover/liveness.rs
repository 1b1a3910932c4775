//! What must come of every state if it is left alone.

use super::action::ZoneAction;
use super::model::ZoneFailoverModel;
use super::settings::{ZONE_COUNT, ZONE_OF_SERVER};
use super::violation::ZoneViolation;
use asterramp_zone_failover::{ServerId, ZoneId, ZoneState};

/// Ticks until all is as before, once every server responds: the longest hold-down, probes, and a recovery ramp.
const TICKS_TO_RECOVER: u32 = 24;
/// The zone that is cut off to see whether this is noticed.
const ZONE_CUT_OFF: ZoneId = 0;
/// The servers that the proxy contacts then: those of that zone, and one that responds.
const CONTACTED_SERVERS: [ServerId; 4] = [0, 1, 2, 3];

/// If all servers are up and nothing else happens, every zone becomes healthy.
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

/// If a zone is cut off for good while the others respond, it is closed, by one contact of each server and by probes.
pub(super) fn check_loss_detected(state: &ZoneFailoverModel) -> Result<(), ZoneViolation> {
    let mut model = state.clone();
    list_all_zones(&mut model);
    for (server, zone) in ZONE_OF_SERVER.into_iter().enumerate() {
        model.servers[server].responds = zone != ZONE_CUT_OFF;
    }
    // The zone may be held down, or just be opened again.
    let_time_pass(&mut model);
    for server in CONTACTED_SERVERS {
        model.contact(server);
    }
    let state = model.zone_state(usize::from(ZONE_CUT_OFF));
    if state.is_closed() {
        return Ok(());
    }
    Err(ZoneViolation::LossUndetected {
        zone: ZONE_CUT_OFF,
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
