//! The lines of counterexamples keep their words: whoever searches earlier reports finds them.

use asterramp_leader_lease::OrderPurpose;
use asterramp_model_checker::hot_restart::HotRestartAction;
use asterramp_model_checker::leader_lease::{LeaseAction, Link};
use asterramp_model_checker::warm_start::{DiscoveryList, DiskState, WarmStartAction};
use asterramp_model_checker::zone_failover::ZoneAction;

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
    // Printed by the model checker of d50355b.
    let recorded = include_str!("golden/counterexample-actions.txt");
    assert_eq!(printed, recorded.lines().collect::<Vec<_>>());
}
