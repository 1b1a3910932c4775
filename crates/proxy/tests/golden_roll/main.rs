//! Compares the plan that a guarded roll writes at the store, the orders that it sends to proxies and its output with those
//! of the build at 17cc2a9, byte for byte.
//!
//! The files in `golden/roll` were written by that build and do not change, because a newer build may finish a roll that an
//! older one began, or the reverse. The proxies are scripted with fixed process ids, and the program runs in their
//! directory, so that paths and process ids in plans are the same in each run.

#[path = "../support/mod.rs"]
mod support;

mod fleet;
mod scripted_proxy;
mod store_client;
mod store_recorder;

use fleet::{Fleet, contender_node, lines_up_to, roll_arguments};
use scripted_proxy::{Restarts, ScriptedState};
use std::io::{BufReader, Read};
use std::net::SocketAddr;
use store_client::{StoreClient, store_with_plan, stored_plan};
use store_recorder::StoreRecorder;
use support::{ZooKeeperStub, assert_golden};
use test_case::test_case;

/// The store's node with the plan of the roll `patch`.
const PLAN_PATH: &str = "/asterramp/roll-patch";
/// The store's node whose children are the contenders' places in the queue.
const QUEUE_PATH: &str = "/asterramp/owner";
/// A plan as builds before 17cc2a9 wrote it, without the state (`wish`) that operators request.
const PLAN_WITHOUT_REQUEST: &str = r#"{"pids":{"a.sock":101,"b.sock":102},"done":false}"#;

#[test]
fn a_guarded_roll_replaces_all_proxies_as_before() {
    let (fleet, store) = (Fleet::start(Restarts::OnShutdown), ZooKeeperStub::start());
    let recorder = StoreRecorder::start(store.address);
    let address = recorder.address.to_string();
    let result = fleet.roll(&["--store", &address, "--name", "patch"]);
    assert_golden("roll/guarded.txt", &result.text);
    assert_golden(
        "roll/guarded-store-writes.txt",
        &recorder
            .writes()
            .replace(&contender_node(result.pid), "{contender}"),
    );
    assert_golden("roll/guarded-orders-a.txt", &fleet.proxies[0].orders());
    assert_golden("roll/guarded-orders-b.txt", &fleet.proxies[1].orders());
    assert_golden("roll/plan-done.json", &stored_plan(&store));
}

#[test]
fn a_new_plan_and_each_requested_state_are_written_as_before() {
    let (fleet, store) = (Fleet::start(Restarts::OnShutdown), ZooKeeperStub::start());
    assert_golden(
        "roll/fleet-status-no-roll.txt",
        &fleet.fleet_command("status", store.address),
    );
    assert_golden(
        "roll/fleet-pause-no-roll.txt",
        &fleet.fleet_command("pause", store.address),
    );
    fleet.proxies[0].set(|state| state.stays_draining = true);
    let address = store.address.to_string();
    let mut roll = fleet.start_roll(&["--store", &address, "--name", "patch"]);
    let mut output = BufReader::new(roll.stdout.take().unwrap());
    lines_up_to(&mut output, "a.sock: draining, 3 open");
    lines_up_to(&mut output, "no other should be drained");
    assert_golden("roll/plan-fresh.json", &stored_plan(&store));
    let node = contender_node(roll.id());
    let status = fleet
        .fleet_command("status", store.address)
        .replace(&node, "{contender}");
    assert_golden("roll/fleet-status-owned.txt", &status);
    roll.kill().unwrap();
    roll.wait().unwrap();
    for (request, plan) in [
        ("pause", "paused"),
        ("resume", "resumed"),
        ("cancel", "cancelled"),
    ] {
        let recorder = StoreRecorder::start(store.address);
        assert_golden(
            &format!("roll/fleet-{request}.txt"),
            &fleet.fleet_command(request, recorder.address),
        );
        assert_golden(
            &format!("roll/fleet-{request}-store-writes.txt"),
            &recorder.writes(),
        );
        assert_golden(&format!("roll/plan-{plan}.json"), &stored_plan(&store));
    }
}

#[test_case("without-request", PLAN_WITHOUT_REQUEST; "an old plan")]
#[test_case("fresh", include_str!("../golden/roll/plan-fresh.json"); "a fresh plan")]
#[test_case("paused", include_str!("../golden/roll/plan-paused.json"); "a paused plan")]
#[test_case("cancelled", include_str!("../golden/roll/plan-cancelled.json"); "a cancelled plan")]
#[test_case("done", include_str!("../golden/roll/plan-done.json"); "a plan that is done")]
#[test_case("unreadable", "{\"pids\":7}"; "a plan that cannot be read")]
fn fleet_commands_print_and_change_a_plan_in_the_same_way(golden_name: &str, plan: &str) {
    let fleet = Fleet::start(Restarts::Never);
    // The first proxy was replaced, the second cannot be reached.
    fleet.proxies[0].set(|state| state.status.pid = 201);
    std::fs::remove_file(fleet.directory.join("b.sock")).unwrap();
    let store = store_with_plan(plan);
    assert_golden(
        &format!("roll/fleet-status-of-{golden_name}.txt"),
        &fleet.fleet_command("status", store.address),
    );
    assert_golden(
        &format!("roll/fleet-pause-of-{golden_name}.txt"),
        &fleet.fleet_command("pause", store.address),
    );
    assert_golden(
        &format!("roll/fleet-pause-of-{golden_name}.json"),
        &stored_plan(&store),
    );
}

#[test_case("without-request", PLAN_WITHOUT_REQUEST; "an old plan")]
#[test_case("resumed", include_str!("../golden/roll/plan-resumed.json"); "a resumed plan")]
#[test_case("cancelled", include_str!("../golden/roll/plan-cancelled.json"); "a cancelled plan")]
#[test_case("done", include_str!("../golden/roll/plan-done.json"); "a plan that is done")]
#[test_case("unreadable", "{\"pids\":7}"; "a plan that cannot be read")]
#[test_case("of-others", r#"{"pids":{"a.sock":101,"c.sock":103},"done":false,"wish":"go-on"}"#; "a plan of other proxies")]
fn a_roll_continues_a_plan_with_the_proxies_not_replaced_yet(golden_name: &str, plan: &str) {
    let fleet = Fleet::start(Restarts::OnShutdown);
    fleet.proxies[0].set(|state| state.status.pid = 201);
    let store = store_with_plan(plan);
    let address = store.address.to_string();
    assert_golden(
        &format!("roll/takes-up-{golden_name}.txt"),
        &fleet.roll(&["--store", &address, "--name", "patch"]).text,
    );
    assert_golden(
        &format!("roll/takes-up-{golden_name}.json"),
        &stored_plan(&store),
    );
    assert_eq!(
        fleet.proxies[0].orders().matches("drain").count(),
        0,
        "a proxy that was replaced already was drained"
    );
}

#[test]
fn a_paused_roll_continues_when_it_is_resumed() {
    let fleet = Fleet::start(Restarts::OnShutdown);
    let store = store_with_plan(include_str!("../golden/roll/plan-paused.json"));
    let address = store.address.to_string();
    let mut roll = fleet.start_roll(&["--store", &address, "--name", "patch"]);
    let mut output = BufReader::new(roll.stdout.take().unwrap());
    let mut printed = lines_up_to(&mut output, "patch is paused");
    fleet.fleet_command("resume", store.address);
    output.read_to_string(&mut printed).unwrap();
    assert_eq!(roll.wait().unwrap().code(), Some(0));
    assert_golden("roll/paused-and-resumed.txt", &printed);
}

#[test]
fn contenders_queue_by_nodes_in_the_store() {
    let (fleet, store) = (
        Fleet::start(Restarts::Never),
        store_with_plan(include_str!("../golden/roll/plan-paused.json")),
    );
    let address = store.address.to_string();
    let arguments = ["--store", &address, "--name", "patch"];
    let mut first = fleet.start_roll(&arguments);
    let mut first_output = BufReader::new(first.stdout.take().unwrap());
    let mut printed = lines_up_to(&mut first_output, "patch is paused");
    let mut second = fleet.start_roll(&arguments);
    let mut second_output = BufReader::new(second.stdout.take().unwrap());
    printed += "--- second\n";
    printed += &lines_up_to(&mut second_output, "queued, term 5");
    assert_golden("roll/contenders.txt", &printed);

    let nodes = [contender_node(first.id()), contender_node(second.id())];
    let with_placeholders = |text: String| {
        text.replace(&nodes[0], "{first}")
            .replace(&nodes[1], "{second}")
    };
    let mut client = StoreClient::connect(store.address);
    let mut children = client.children(QUEUE_PATH);
    children.sort_by_key(|child| nodes.iter().position(|node| node == child));
    let mut paths = vec!["/asterramp".to_string(), QUEUE_PATH.to_string()];
    paths.extend(children.iter().map(|child| format!("{QUEUE_PATH}/{child}")));
    let mut description = String::new();
    for path in paths {
        let (data, stat) = client.data(&path);
        let ephemeral = stat.ephemeral_owner != 0;
        description += &format!(
            "{path} created={} ephemeral={ephemeral} data={data}\n",
            stat.created_zxid
        );
    }
    assert_golden("roll/contender-nodes.txt", &with_placeholders(description));
    assert_golden(
        "roll/fleet-status-two-contenders.txt",
        &with_placeholders(fleet.fleet_command("status", store.address)),
    );
    for process in [&mut first, &mut second] {
        process.kill().unwrap();
        process.wait().unwrap();
    }
}

#[test_case("plain", &[]; "without a restart command")]
#[test_case("restart", &["--restart", "echo restarting $ASTERRAMP_CONTROL"]; "with a restart command")]
#[test_case("restart-fails", &["--restart", "exit 3"]; "with a restart command that fails")]
fn an_unguarded_roll_orders_and_prints_as_before(golden_name: &str, extra_arguments: &[&str]) {
    let fleet = Fleet::start(Restarts::WhenEmpty);
    assert_golden(
        &format!("roll/unguarded-{golden_name}.txt"),
        &fleet.roll(extra_arguments).text,
    );
    assert_golden(
        &format!("roll/unguarded-{golden_name}-orders-a.txt"),
        &fleet.proxies[0].orders(),
    );
}

#[test]
fn a_guarded_roll_with_a_restart_command_orders_no_shutdown() {
    let (fleet, store) = (Fleet::start(Restarts::WhenEmpty), ZooKeeperStub::start());
    let address = store.address.to_string();
    let result = fleet.roll(&[
        "--store",
        &address,
        "--name",
        "patch",
        "--restart",
        "echo restarting $ASTERRAMP_CONTROL",
    ]);
    assert_golden("roll/guarded-restart.txt", &result.text);
    assert_golden(
        "roll/guarded-restart-orders-a.txt",
        &fleet.proxies[0].orders(),
    );
}

#[test_case("never-back", |state| state.restarts = Restarts::Never; "the proxy does not start again")]
#[test_case("idle", |state| state.blocks_next_drain = true; "the proxy does not carry its share after its restart")]
#[test_case("undrained", |state| state.drain_is_cancelled = true; "the drain is cancelled")]
#[test_case("refused", |state| state.drain_error = Some("the order's time is over"); "the proxy rejects the order")]
fn a_roll_stops_at_the_first_proxy_that_fails(golden_name: &str, change: fn(&mut ScriptedState)) {
    let (fleet, store) = (Fleet::start(Restarts::OnShutdown), ZooKeeperStub::start());
    fleet.proxies[0].set(change);
    let address = store.address.to_string();
    let result = fleet.roll(&["--store", &address, "--name", "patch"]);
    assert_golden(&format!("roll/stops-{golden_name}.txt"), &result.text);
    assert_golden(
        &format!("roll/stops-{golden_name}.json"),
        &stored_plan(&store),
    );
}

#[test]
fn another_proxy_that_does_not_carry_its_share_stops_a_roll() {
    let (fleet, store) = (Fleet::start(Restarts::OnShutdown), ZooKeeperStub::start());
    fleet.proxies[1].set(|state| {
        state.blocks_next_drain = true;
        state.status.allows_next_drain = false;
    });
    let address = store.address.to_string();
    assert_golden(
        "roll/stops-other.txt",
        &fleet.roll(&["--store", &address, "--name", "patch"]).text,
    );
}

#[test]
fn a_proxy_that_cannot_be_reached_stops_a_roll() {
    let fleet = Fleet::start(Restarts::OnShutdown);
    std::fs::remove_file(fleet.directory.join("a.sock")).unwrap();
    assert_golden("roll/unreachable-unguarded.txt", &fleet.roll(&[]).text);
    let store = ZooKeeperStub::start();
    let address = store.address.to_string();
    assert_golden(
        "roll/unreachable-guarded.txt",
        &fleet.roll(&["--store", &address, "--name", "patch"]).text,
    );
    let store = store_with_plan(PLAN_WITHOUT_REQUEST);
    let address = store.address.to_string();
    // The plan names the proxy, so an earlier roll may have shut it down; the roll waits for its restart.
    assert_golden(
        "roll/unreachable-begun.txt",
        &fleet.roll(&["--store", &address, "--name", "patch"]).text,
    );
}

#[test]
fn without_a_store_nothing_is_replaced() {
    let fleet = Fleet::start(Restarts::OnShutdown);
    // Nothing listens at this address.
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let result = fleet.run(&roll_arguments(&[
        "--store",
        &address.to_string(),
        "--name",
        "patch",
    ]));
    assert_golden("roll/no-store.txt", &result.text);
    assert_golden(
        "roll/no-store-fleet.txt",
        &fleet.fleet_command("status", address),
    );
    assert_eq!(fleet.proxies[0].orders(), "");
}

#[test]
fn a_missing_or_invalid_roll_name_is_an_error() {
    let fleet = Fleet::start(Restarts::OnShutdown);
    assert_golden(
        "roll/no-name.txt",
        &fleet.roll(&["--store", "127.0.0.1:9"]).text,
    );
    let bad = ["fleet", "status", "--store", "127.0.0.1:9", "--name", "a/b"];
    assert_golden("roll/bad-name.txt", &fleet.run(&bad).text);
}
