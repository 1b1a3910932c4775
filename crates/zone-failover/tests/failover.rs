//! Failures, responses and discovery entries in a deployment of three zones with four servers each. Servers 0 to 3 are in
//! zone 0, the zone under test; 4 to 7 are in zone 1 and 8 to 11 in zone 2.

use asterramp_zone_failover::{
    ServerId, ServerState, ZoneEffect, ZoneFailover, ZoneFailoverSettings, ZoneId, ZoneInput,
    ZoneState,
};
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const SETTINGS: ZoneFailoverSettings = ZoneFailoverSettings {
    suspicion_timeout: ms(3_000),
    probe_interval: ms(1_500),
    hold_down: ms(2_000),
    max_hold_down: ms(9_000),
    recovery_ramp: ms(3_000),
    discovery_delay: ms(6_000),
    in_flight_timeout: ms(500),
    probing_allowed: true,
};

/// An observation of the proxy, or a call of its timer.
#[derive(Clone, Copy, Debug)]
enum Observation {
    Failure(ServerId),
    Response(ServerId),
    Gone(ServerId),
    /// Listed as ready, with a start time in milliseconds.
    Ready(ServerId, u64),
    /// Discovery sent an update.
    Discovery,
    Tick,
}

use Observation::*;

/// The zone of a server; each zone has four.
fn zone_of(server: ServerId) -> ZoneId {
    (server / 4) as ZoneId
}

/// The effect that sets the share of the zone under test.
fn set_share(share: f64) -> ZoneEffect {
    ZoneEffect::SetShare { zone: 0, share }
}

/// Three healthy zones with all servers ready and responding.
fn healthy_failover(settings: ZoneFailoverSettings) -> ZoneFailover {
    let mut failover = ZoneFailover::new(settings, 3);
    for server in 0..12 {
        failover.server_listed(ms(0), server, zone_of(server), ServerState::Ready, None);
        failover.server_responded(ms(0), server);
    }
    failover.drain_effects();
    failover
}

/// Feeds in observations, each with its time in milliseconds, and returns all effects.
fn observe(failover: &mut ZoneFailover, observations: &[(u64, Observation)]) -> Vec<ZoneEffect> {
    let mut effects = Vec::new();
    for (at, observation) in observations {
        let now = ms(*at);
        match *observation {
            Failure(server) => failover.server_failed(now, server),
            Response(server) => failover.server_responded(now, server),
            Gone(server) => {
                failover.server_listed(now, server, zone_of(server), ServerState::Gone, None)
            }
            Ready(server, started_at) => failover.server_listed(
                now,
                server,
                zone_of(server),
                ServerState::Ready,
                Some(ms(started_at)),
            ),
            Discovery => failover.discovery_responded(now),
            Tick => failover.tick(now),
        }
        effects.extend(failover.drain_effects());
    }
    effects
}

/// Two failures make zone 0 suspected, and a third one makes it lost since another zone responds.
const ZONE_LOST: [(u64, Observation); 4] = [
    (1_000, Failure(0)),
    (1_100, Failure(1)),
    (1_200, Response(4)),
    (1_300, Failure(2)),
];

#[test_case(&[(1_000, Failure(0))], ZoneState::Healthy; "one unresponsive server")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(0)), (1_200, Failure(0))], ZoneState::Healthy; "one server that fails over and over")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1))], ZoneState::Suspected; "two unresponsive servers")]
#[test_case(&[(1_000, Failure(0)), (1_050, Response(3)), (1_100, Failure(1))], ZoneState::Healthy; "two unresponsive servers with a response between")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (1_150, Response(3)), (1_200, Response(4)), (1_300, Failure(2))], ZoneState::Healthy; "three unresponsive servers beside one that responds")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (4_200, Tick)], ZoneState::Suspected; "a suspicion that is neither confirmed nor dropped")]
#[test_case(&[(1_000, Failure(0)), (1_000, Failure(1)), (1_000, Failure(2)), (1_000, Failure(4)), (1_000, Failure(5)), (1_000, Failure(8)), (1_000, Failure(9)), (3_000, Response(4)), (3_001, Response(8)), (3_300, Failure(0)), (3_300, Failure(1)), (3_300, Failure(2)), (3_400, Response(5))], ZoneState::Suspected; "this proxy was disconnected and is connected again")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (2_000, Gone(0)), (4_200, Tick)], ZoneState::Healthy; "a suspicion with one of its servers gone")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (1_300, Failure(2)), (1_400, Response(4))], ZoneState::Lost; "another zone responds after the last failure")]
#[test_case(&ZONE_LOST, ZoneState::Lost; "three unresponsive servers while another zone responds")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (1_300, Failure(2)), (1_400, Failure(3))], ZoneState::Suspected; "this proxy is disconnected itself")]
#[test_case(&[ZONE_LOST[0], ZONE_LOST[1], ZONE_LOST[2], ZONE_LOST[3], (5_000, Discovery)], ZoneState::Lost; "discovery may be late")]
#[test_case(&[ZONE_LOST[0], ZONE_LOST[1], ZONE_LOST[2], ZONE_LOST[3], (7_200, Discovery)], ZoneState::Partitioned; "discovery still lists unresponsive servers as ready after its delay")]
#[test_case(&[ZONE_LOST[0], ZONE_LOST[1], ZONE_LOST[2], ZONE_LOST[3], (7_200, Discovery), (8_000, Gone(0)), (8_000, Gone(1)), (8_000, Gone(2)), (8_000, Gone(3))], ZoneState::Lost; "discovery lists the servers as gone later than expected")]
#[test_case(&[(1_000, Gone(0)), (1_000, Gone(1)), (1_000, Gone(2))], ZoneState::Healthy; "one server is still listed")]
#[test_case(&[(1_000, Gone(0)), (1_000, Gone(1)), (1_000, Gone(2)), (1_000, Gone(3))], ZoneState::Lost; "no server is listed any more")]
#[test_case(&[ZONE_LOST[0], ZONE_LOST[1], ZONE_LOST[2], ZONE_LOST[3], (2_000, Response(3))], ZoneState::Recovering; "a server responds again")]
#[test_case(&[ZONE_LOST[0], ZONE_LOST[1], ZONE_LOST[2], ZONE_LOST[3], (5_000, Ready(3, 4_000))], ZoneState::Recovering; "a server was restarted")]
#[test_case(&[ZONE_LOST[0], ZONE_LOST[1], ZONE_LOST[2], ZONE_LOST[3], (5_000, Ready(3, 0))], ZoneState::Recovering; "a server is listed with another start time")]
fn zone_state_follows_from_evidence(observations: &[(u64, Observation)], state: ZoneState) {
    let mut failover = healthy_failover(SETTINGS);
    observe(&mut failover, observations);
    assert_eq!(failover.zones()[0].state, state);
    assert!(
        failover.zones()[1..]
            .iter()
            .all(|zone| zone.state == ZoneState::Healthy)
    );
}

#[test]
fn suspicion_probes_servers_without_a_failure_first() {
    let effects = observe(&mut healthy_failover(SETTINGS), &ZONE_LOST[..2]);
    let suspected = ZoneEffect::StateChanged {
        zone: 0,
        state: ZoneState::Suspected,
        cause: ZoneInput::ServersUnresponsive,
    };
    let probes = [2, 3, 0, 1].map(|server| ZoneEffect::Probe { server });
    assert_eq!(effects, [vec![suspected], probes.to_vec()].concat());
}

#[test]
fn lost_zone_is_closed_at_once_and_probed_at_each_interval() {
    let mut failover = healthy_failover(SETTINGS);
    let effects = observe(&mut failover, &ZONE_LOST);
    assert!(effects.contains(&set_share(0.0)));
    let ticks: Vec<(u64, Observation)> = (13..113).map(|n| (n * 100, Tick)).collect();
    let probes = observe(&mut failover, &ticks);
    assert!(
        probes
            .iter()
            .all(|effect| matches!(effect, ZoneEffect::Probe { server: 0..4 })),
        "{probes:?}"
    );
    assert_eq!(probes.len(), 6, "one probe every 1.5 s");
}

#[test]
fn zone_with_restarted_servers_gets_its_full_share_at_once() {
    let mut failover = healthy_failover(SETTINGS);
    observe(&mut failover, &ZONE_LOST);
    let effects = observe(&mut failover, &[(5_000, Ready(3, 4_000)), (8_100, Tick)]);
    assert!(effects.contains(&set_share(1.0)), "{effects:?}");
    assert_eq!(failover.zones()[0].state, ZoneState::Healthy);
}

#[test]
fn recovering_zone_gets_its_share_back_in_steps() {
    let mut failover = healthy_failover(SETTINGS);
    observe(&mut failover, &ZONE_LOST);
    let ticks: Vec<(u64, Observation)> = (20..60).map(|n| (n * 100, Tick)).collect();
    let effects = observe(&mut failover, &[vec![(2_000, Response(3))], ticks].concat());
    let shares = effects.iter().filter_map(|effect| match effect {
        ZoneEffect::SetShare { zone: 0, share } => Some((share * 6.0).round() as u32),
        _ => None,
    });
    assert_eq!(shares.collect::<Vec<_>>(), [1, 2, 3, 4, 5, 6, 6]);
    assert_eq!(failover.zones()[0].state, ZoneState::Healthy);
}

#[test]
fn each_loss_soon_after_a_recovery_doubles_the_hold_down_up_to_its_bound() {
    let mut failover = healthy_failover(SETTINGS);
    let (mut now, mut closed_durations) = (1_000, Vec::new());
    for _ in 0..6 {
        observe(
            &mut failover,
            &[
                (now, Failure(0)),
                (now, Failure(1)),
                (now + 10, Response(4)),
                (now + 20, Failure(2)),
            ],
        );
        assert_eq!(failover.zones()[0].state, ZoneState::Lost, "at {now}");
        let lost_at = now;
        while failover.zones()[0].state != ZoneState::Recovering {
            now += 100;
            observe(
                &mut failover,
                &[(now, Tick), (now, Response(3)), (now, Response(0))],
            );
        }
        closed_durations.push(now - lost_at);
        observe(
            &mut failover,
            &[(now + 1, Response(1)), (now + 1, Response(2))],
        );
        now += 500;
    }
    assert_eq!(closed_durations, [100, 2_100, 4_100, 8_100, 9_100, 9_100]);
    // After a long time in use, earlier losses no longer count and the first response opens the zone.
    observe(
        &mut failover,
        &(0..700).map(|n| (now + n * 100, Tick)).collect::<Vec<_>>(),
    );
    now += 70_000;
    observe(
        &mut failover,
        &[
            (now, Response(0)),
            (now, Response(1)),
            (now, Response(2)),
            (now + 1, Failure(0)),
            (now + 1, Failure(1)),
            (now + 2, Response(4)),
            (now + 3, Failure(2)),
        ],
    );
    observe(&mut failover, &[(now + 100, Response(3))]);
    assert_eq!(failover.zones()[0].state, ZoneState::Recovering);
}

#[test]
fn closed_zones_are_used_if_no_other_zone_is_left() {
    let mut failover = healthy_failover(SETTINGS);
    observe(&mut failover, &ZONE_LOST);
    let gone: Vec<(u64, Observation)> = (4..12).map(|server| (2_000, Gone(server))).collect();
    let effects = observe(&mut failover, &gone);
    assert!(effects.contains(&set_share(1.0)), "{effects:?}");
    assert_eq!(failover.zones()[0].state, ZoneState::Suspected);
}

#[test]
fn closed_zone_gets_trial_traffic_if_probing_is_not_allowed() {
    let mut failover = healthy_failover(ZoneFailoverSettings {
        probing_allowed: false,
        ..SETTINGS
    });
    observe(&mut failover, &ZONE_LOST);
    let effects = observe(&mut failover, &[(2_900, Tick)]);
    assert!(effects.contains(&set_share(1.0 / 6.0)), "{effects:?}");
}

#[test]
fn false_alarms_and_dropped_suspicions_are_counted() {
    let mut failover = healthy_failover(SETTINGS);
    observe(&mut failover, &ZONE_LOST[..2]);
    observe(&mut failover, &[(1_500, Response(3))]);
    assert_eq!(
        (
            failover.zones()[0].dropped_suspicions,
            failover.zones()[0].false_alarms
        ),
        (1, 0)
    );
    observe(
        &mut failover,
        &[
            (1_900, Response(0)),
            (1_900, Response(1)),
            (2_000, Failure(0)),
            (2_000, Failure(1)),
            (2_100, Response(4)),
            (2_200, Failure(2)),
            (2_300, Response(3)),
        ],
    );
    assert_eq!(failover.zones()[0].false_alarms, 1);
}

#[test]
fn state_names_and_reasons_match_operators_tools() {
    let names = ZoneState::ALL.map(ZoneState::name);
    assert_eq!(names, ["whole", "doubtful", "lost", "cut-off", "returning"]);
    let reasons = [
        (ZoneInput::ServersUnresponsive, "servers say nothing"),
        (ZoneInput::LossConfirmed, "nobody answers"),
        (ZoneInput::Response, "it answers"),
        (ZoneInput::TrialDue, "it is tried"),
        (
            ZoneInput::AllServersGone,
            "discovery calls its servers gone",
        ),
        (
            ZoneInput::ServersStillListed,
            "discovery calls its servers ready",
        ),
        (
            ZoneInput::ServerListedAgain,
            "discovery tells servers again",
        ),
        (ZoneInput::NoZoneLeft, "no other place is left"),
        (ZoneInput::TimerExpired, "its time is over"),
    ];
    for (input, reason) in reasons {
        assert_eq!(input.reason(), reason);
    }
}
