//! The lines of counterexamples keep their wording, so that searches find them in earlier reports too.

use asterramp_leader_lease::OrderPurpose;
use asterramp_model_checker::hot_restart::{HotRestartAction, HotRestartViolation};
use asterramp_model_checker::leader_lease::{LeaseAction, LeaseViolation, Link};
use asterramp_model_checker::warm_start::{
    DiscoveryList, DiskState, WarmStartAction, WarmStartViolation,
};
use asterramp_model_checker::zone_failover::{ZoneAction, ZoneViolation};
use std::collections::BTreeSet;
use std::fmt::Display;
use test_case::test_case;

fn zone_actions() -> Vec<String> {
    let actions = [
        ZoneAction::Contact(3),
        ZoneAction::ToggleZone(1),
        ZoneAction::ToggleServer(0),
        ZoneAction::ToggleListing(2),
        ZoneAction::TimePasses,
    ];
    actions.map(|action| action.to_string()).to_vec()
}

fn warm_start_actions() -> Vec<String> {
    use WarmStartAction::*;
    let start = |disk| TogglePower { proxy: 1, disk };
    let list = |list| SendList { proxy: 2, list };
    let actions = [
        start(DiskState::FreshSnapshot),
        start(DiskState::FutureSnapshot),
        start(DiskState::Empty),
        FinishProbe {
            proxy: 0,
            endpoint: 2,
        },
        AnswerPeer {
            asking: 1,
            answering: 2,
        },
        ToggleEndpoint(1),
        list(DiscoveryList::Warm),
        list(DiscoveryList::Cold),
        list(DiscoveryList::Empty),
        Delist {
            proxy: 0,
            endpoint: 1,
        },
        ListReplacement { proxy: 2 },
        TimePasses,
    ];
    actions.map(|action| action.to_string()).to_vec()
}

fn lease_actions() -> Vec<String> {
    use LeaseAction::*;
    let link = |contender, receiver| Link {
        contender,
        receiver,
    };
    let restart = |receiver, has_disk| RestartReceiver { receiver, has_disk };
    let actions = [
        JoinQueue(1),
        SendStoreRequest(0),
        HandleStoreRequest(1),
        ReceiveStoreAnswer(0),
        BreakStoreConnection(1),
        ExpireSession(0),
        LoseAllSessions,
        LearnOfExpiry(1),
        Resign(0),
        RestartContender(1),
        RequestClock(link(0, 1)),
        ReadClock(link(1, 0)),
        ReceiveClock(link(0, 1)),
        CreateOrder(link(1, 0), OrderPurpose::AnnounceTerm),
        CreateOrder(link(0, 1), OrderPurpose::Command),
        SendOrder(link(1, 0)),
        DeliverOrder(2),
        restart(0, true),
        restart(1, false),
        TimePasses,
    ];
    actions.map(|action| action.to_string()).to_vec()
}

fn hot_restart_actions() -> Vec<String> {
    let actions = HotRestartAction::ALL;
    actions.map(|action| action.to_string()).to_vec()
}

#[test]
fn every_action_is_printed_as_before() {
    let printed = [
        zone_actions(),
        warm_start_actions(),
        lease_actions(),
        hot_restart_actions(),
    ]
    .concat();
    // Printed by the model checker at commit d50355b.
    let recorded = include_str!("golden/counterexample-actions.txt");
    assert_eq!(printed, recorded.lines().collect::<Vec<_>>());
}

#[test_case(ZoneViolation::TooManyProbes { probes: 15 }, "15 looks in one step")]
#[test_case(ZoneViolation::ClosedTooEarly { zone: 1, failed_servers: 2 }, "place 1 is given up at 2 signs")]
#[test_case(ZoneViolation::ClosedWhileDisconnected { zone: 0 }, "place 0 is given up though nobody answers anywhere")]
#[test_case(ZoneViolation::OpenedDuringHoldDown { zone: 0 }, "place 0 fell again and is opened at once")]
#[test_case(ZoneViolation::ShareRampTooSteep { zone: 0, before: 1.0 / 6.0, after: 1.0 }, "place 0 goes from 0.17 to 1.00")]
#[test_case(ZoneViolation::AllZonesClosed, "all places are shut")]
#[test_case(ZoneViolation::HealthyWithoutShare { zone: 2, share: 0.5 }, "place 2 is whole and open for 0.50")]
#[test_case(ZoneViolation::LossUndetected { zone: 0, state: "doubtful" }, "place 0 stays doubtful though nobody there answers")]
#[test_case(ZoneViolation::NeverHealthy { zone: 0, state: "lost" }, "place 0 stays lost though all answer")]
#[test_case(WarmStartViolation::UnverifiedEndpointUsed { proxy: 0, endpoint: 1 }, "proxy 0 uses host 1, which has not answered it")]
#[test_case(WarmStartViolation::AdmissionUnlimited { proxy: 0 }, "proxy 0 lets all in at once")]
#[test_case(WarmStartViolation::DeadlineStaysDue { proxy: 0 }, "proxy 0 is due at once, for ever")]
#[test_case(WarmStartViolation::AdmissionWithoutEndpoint { proxy: 0 }, "proxy 0 lets clients in, and has no host")]
#[test_case(WarmStartViolation::OpenDuringWarmStart { proxy: 0, stage: "probing" }, "proxy 0 is open while it is probing")]
#[test_case(WarmStartViolation::TwoEndpointsAtOneAddress { proxy: 0 }, "proxy 0 uses two hosts at one address")]
#[test_case(WarmStartViolation::FutureReportNeverExpires { proxy: 0 }, "proxy 0 still asks for a host that a wrong clock told of")]
#[test_case(WarmStartViolation::NeverNormal { proxy: 0, stage: "asking" }, "proxy 0 stays asking")]
#[test_case(WarmStartViolation::ListNotFollowed { proxy: 0, used: BTreeSet::from([0, 2]) }, "proxy 0 uses {0, 2} where discovery tells 0 and 1")]
#[test_case(LeaseViolation::OrderWithoutSession { contender: 1 }, "candidate 1 orders, and the store has ended its session")]
#[test_case(LeaseViolation::OrderOutlivesSession { contender: 0 }, "an order of candidate 0 outlives its session")]
#[test_case(LeaseViolation::OrderWithoutLead { contender: 1 }, "candidate 1 orders, and is not first")]
#[test_case(LeaseViolation::ExpiryIgnored { contender: 1 }, "candidate 1 goes on though its session has lapsed")]
#[test_case(LeaseViolation::OtherIncarnationAccepted { receiver: 0 }, "receiver 0 takes an order for the process before it")]
#[test_case(LeaseViolation::ExpiredOrderAccepted { receiver: 0 }, "receiver 0 takes an order after its end")]
#[test_case(LeaseViolation::StaleTermAccepted { receiver: 0, term: 11, accepted: 13 }, "receiver 0 takes one of 11 after one of 13")]
#[test_case(LeaseViolation::FormerLeaderAccepted { receiver: 0, term: 11, later: 12 }, "receiver 0 takes one of 11, and 12 has begun")]
#[test_case(LeaseViolation::TermForgotten { receiver: 0 }, "receiver 0 forgets the term that it heard")]
#[test_case(
    HotRestartViolation::ServedTwice(0b101),
    "both touch connections 0b101"
)]
#[test_case(
    HotRestartViolation::ServedWithoutDescriptor(0b1),
    "connections 0b1 are touched and not held"
)]
#[test_case(
    HotRestartViolation::ConnectionsLost(0b10),
    "connections 0b10 are nobody's"
)]
fn every_violation_is_printed_as_before(violation: impl Display, text: &str) {
    assert_eq!(violation.to_string(), text);
}
