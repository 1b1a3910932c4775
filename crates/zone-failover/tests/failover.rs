//! Failures, responses and discovery entries in a deployment of three zones with four servers each. Servers 0 to 3 are in
//! zone 0, the one that is watched; 4 to 7 are in zone 1 and 8 to 11 in zone 2.

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

/// One thing that the proxy observes.
#[derive(Clone, Copy, Debug)]
enum Observed {
    Failure(ServerId),
    Response(ServerId),
    Gone(ServerId),
    /// Listed as ready, started at that time in milliseconds.
    Ready(ServerId, u64),
    Discovery,
    Tick,
}

use Observed::*;

/// Four servers in each zone.
fn zone_of(server: ServerId) -> ZoneId {
    (server / 4) as ZoneId
}

/// The share of the watched zone.
fn set_share(share: f64) -> ZoneEffect {
    ZoneEffect::SetShare { zone: 0, share }
}

fn failover(settings: ZoneFailoverSettings) -> ZoneFailover {
    let mut failover = ZoneFailover::new(settings, 3);
    for server in 0..12 {
        failover.server_listed(ms(0), server, zone_of(server), ServerState::Ready, None);
        failover.server_responded(ms(0), server);
    }
    failover.drain_effects();
    failover
}

fn play(failover: &mut ZoneFailover, observed: &[(u64, Observed)]) -> Vec<ZoneEffect> {
    let mut effects = Vec::new();
    for (at, what) in observed {
        let now = ms(*at);
        match *what {
            Failure(server) => failover.server_failed(now, server),
            Response(server) => failover.server_responded(now, server),
            Gone(server) => {
                failover.server_listed(now, server, zone_of(server), ServerState::Gone, None)
            }
            Ready(server, at) => failover.server_listed(
                now,
                server,
                zone_of(server),
                ServerState::Ready,
                Some(ms(at)),
            ),
            Discovery => failover.discovery_responded(now),
            Tick => failover.tick(now),
        }
        effects.extend(failover.drain_effects());
    }
    effects
}

/// Two failures make the zone suspected, a third one lost, while others respond.
const LOST: [(u64, Observed); 4] = [
    (1_000, Failure(0)),
    (1_100, Failure(1)),
    (1_200, Response(4)),
    (1_300, Failure(2)),
];

#[test_case(&[(1_000, Failure(0))], ZoneState::Healthy; "one silent server")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(0)), (1_200, Failure(0))], ZoneState::Healthy; "one server that fails over and over")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1))], ZoneState::Suspected; "two silent servers")]
#[test_case(&[(1_000, Failure(0)), (1_050, Response(3)), (1_100, Failure(1))], ZoneState::Healthy; "two silent servers with a response between")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (1_150, Response(3)), (1_200, Response(4)), (1_300, Failure(2))], ZoneState::Healthy; "three silent servers beside one that responds")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (4_200, Tick)], ZoneState::Suspected; "a suspicion that nothing confirms or drops")]
#[test_case(&[(1_000, Failure(0)), (1_000, Failure(1)), (1_000, Failure(2)), (1_000, Failure(4)), (1_000, Failure(5)), (1_000, Failure(8)), (1_000, Failure(9)), (3_000, Response(4)), (3_001, Response(8)), (3_300, Failure(0)), (3_300, Failure(1)), (3_300, Failure(2)), (3_400, Response(5))], ZoneState::Suspected; "this proxy was disconnected and is connected again")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (2_000, Gone(0)), (4_200, Tick)], ZoneState::Healthy; "a suspicion whose server is gone since")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (1_300, Failure(2)), (1_400, Response(4))], ZoneState::Lost; "another zone responds after the last failure")]
#[test_case(&LOST, ZoneState::Lost; "three silent servers while other zones respond")]
#[test_case(&[(1_000, Failure(0)), (1_100, Failure(1)), (1_300, Failure(2)), (1_400, Failure(3))], ZoneState::Suspected; "this proxy is disconnected itself")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (5_000, Discovery)], ZoneState::Lost; "discovery may be late")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (7_200, Discovery)], ZoneState::Partitioned; "discovery lists silent servers as ready for long")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (7_200, Discovery), (8_000, Gone(0)), (8_000, Gone(1)), (8_000, Gone(2)), (8_000, Gone(3))], ZoneState::Lost; "discovery lists the servers as gone later than expected")]
#[test_case(&[(1_000, Gone(0)), (1_000, Gone(1)), (1_000, Gone(2))], ZoneState::Healthy; "one server is still listed")]
#[test_case(&[(1_000, Gone(0)), (1_000, Gone(1)), (1_000, Gone(2)), (1_000, Gone(3))], ZoneState::Lost; "no server is listed any more")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (2_000, Response(3))], ZoneState::Recovering; "a server responds again")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (5_000, Ready(3, 4_000))], ZoneState::Recovering; "a server was restarted")]
#[test_case(&[LOST[0], LOST[1], LOST[2], LOST[3], (5_000, Ready(3, 0))], ZoneState::Recovering; "a server is listed with another start time")]
fn a_zone_is_in_the_state_that_its_evidence_shows(observed: &[(u64, Observed)], state: ZoneState) {
    let mut failover = failover(SETTINGS);
    play(&mut failover, observed);
    assert_eq!(failover.zones()[0].state, state);
    assert!(
        failover.zones()[1..]
            .iter()
            .all(|zone| zone.state == ZoneState::Healthy)
    );
}

#[test]
fn a_suspicion_probes_servers_without_a_failure_first() {
    let effects = play(&mut failover(SETTINGS), &LOST[..2]);
    let suspected = ZoneEffect::StateChanged {
        zone: 0,
        state: ZoneState::Suspected,
        cause: ZoneInput::ServersUnresponsive,
    };
    let probes = [2, 3, 0, 1].map(|server| ZoneEffect::Probe { server });
    assert_eq!(effects, [vec![suspected], probes.to_vec()].concat());
}

#[test]
fn a_lost_zone_is_closed_at_once_and_probed_at_each_interval() {
    let mut failover = failover(SETTINGS);
    let effects = play(&mut failover, &LOST);
    assert!(effects.contains(&set_share(0.0)));
    let ticks: Vec<(u64, Observed)> = (13..113).map(|n| (n * 100, Tick)).collect();
    let probes = play(&mut failover, &ticks);
    assert!(
        probes
            .iter()
            .all(|effect| matches!(effect, ZoneEffect::Probe { server: 0..4 })),
        "{probes:?}"
    );
    assert_eq!(probes.len(), 6, "one probe each 1.5 s");
}

#[test]
fn a_zone_whose_servers_were_restarted_opens_in_full_at_once() {
    let mut failover = failover(SETTINGS);
    play(&mut failover, &LOST);
    let effects = play(&mut failover, &[(5_000, Ready(3, 4_000)), (8_100, Tick)]);
    assert!(effects.contains(&set_share(1.0)), "{effects:?}");
    assert_eq!(failover.zones()[0].state, ZoneState::Healthy);
}

#[test]
fn a_recovering_zone_gets_its_share_back_in_steps() {
    let mut failover = failover(SETTINGS);
    play(&mut failover, &LOST);
    let ticks: Vec<(u64, Observed)> = (20..60).map(|n| (n * 100, Tick)).collect();
    let effects = play(&mut failover, &[vec![(2_000, Response(3))], ticks].concat());
    let shares = effects.iter().filter_map(|effect| match effect {
        ZoneEffect::SetShare { zone: 0, share } => Some((share * 6.0).round() as u32),
        _ => None,
    });
    assert_eq!(shares.collect::<Vec<_>>(), [1, 2, 3, 4, 5, 6, 6]);
    assert_eq!(failover.zones()[0].state, ZoneState::Healthy);
}

#[test]
fn each_loss_soon_after_a_recovery_lengthens_the_hold_down_up_to_its_bound() {
    let mut failover = failover(SETTINGS);
    let (mut now, mut closed_for) = (1_000, Vec::new());
    for _ in 0..6 {
        play(
            &mut failover,
            &[
                (now, Failure(0)),
                (now, Failure(1)),
                (now + 10, Response(4)),
                (now + 20, Failure(2)),
            ],
        );
        assert_eq!(failover.zones()[0].state, ZoneState::Lost, "at {now}");
        let since = now;
        while failover.zones()[0].state != ZoneState::Recovering {
            now += 100;
            play(
                &mut failover,
                &[(now, Tick), (now, Response(3)), (now, Response(0))],
            );
        }
        closed_for.push(now - since);
        play(
            &mut failover,
            &[(now + 1, Response(1)), (now + 1, Response(2))],
        );
        now += 500;
    }
    assert_eq!(closed_for, [100, 2_100, 4_100, 8_100, 9_100, 9_100]);
    // After a long time in use, the hold-down begins anew.
    play(
        &mut failover,
        &(0..700).map(|n| (now + n * 100, Tick)).collect::<Vec<_>>(),
    );
    now += 70_000;
    play(
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
    play(&mut failover, &[(now + 100, Response(3))]);
    assert_eq!(failover.zones()[0].state, ZoneState::Recovering);
}

#[test]
fn closed_zones_are_used_where_no_other_is_left() {
    let mut failover = failover(SETTINGS);
    play(&mut failover, &LOST);
    let gone: Vec<(u64, Observed)> = (4..12).map(|server| (2_000, Gone(server))).collect();
    let effects = play(&mut failover, &gone);
    assert!(effects.contains(&set_share(1.0)), "{effects:?}");
    assert_eq!(failover.zones()[0].state, ZoneState::Suspected);
}

#[test]
fn a_closed_zone_is_tried_with_traffic_where_probing_is_not_allowed() {
    let mut failover = failover(ZoneFailoverSettings {
        probing_allowed: false,
        ..SETTINGS
    });
    play(&mut failover, &LOST);
    let effects = play(&mut failover, &[(2_900, Tick)]);
    assert!(effects.contains(&set_share(1.0 / 6.0)), "{effects:?}");
}

#[test]
fn false_alarms_and_dropped_suspicions_are_counted() {
    let mut failover = failover(SETTINGS);
    play(&mut failover, &LOST[..2]);
    play(&mut failover, &[(1_500, Response(3))]);
    assert_eq!(
        (
            failover.zones()[0].dropped_suspicions,
            failover.zones()[0].false_alarms
        ),
        (1, 0)
    );
    play(
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
fn names_and_reasons_read_as_operators_know_them() {
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
