//! What a guarded roll keeps at the store, what it sends to proxies and what it prints, byte for byte as the build at 17cc2a9 did.
//!
//! The files in `golden/roll` were made by that build and do not change: a roll that an older build began is finished by a
//! newer one, and the other way round. The proxies here are scripted, with fixed process ids, and the program runs in
//! their directory, so that paths and ids in plans are the same in each run.

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

const PLAN_PATH: &str = "/asterramp/roll-patch";
const QUEUE_PATH: &str = "/asterramp/owner";
/// A plan as builds before 17cc2a9 wrote it, without what an operator requests.
const PLAN_WITHOUT_REQUEST: &str = r#"{"pids":{"a.sock":101,"b.sock":102},"done":false}"#;

#[test]
fn a_guarded_roll_from_its_start_to_its_end() {
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
fn a_plan_as_it_is_begun_and_with_each_requested_state() {
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
fn fleet_commands_print_and_change_a_plan_in_the_same_way(name: &str, plan: &str) {
    let fleet = Fleet::start(Restarts::Never);
    // One was replaced, one cannot be reached.
    fleet.proxies[0].set(|state| state.status.pid = 201);
    std::fs::remove_file(fleet.directory.join("b.sock")).unwrap();
    let store = store_with_plan(plan);
    assert_golden(
        &format!("roll/fleet-status-of-{name}.txt"),
        &fleet.fleet_command("status", store.address),
    );
    assert_golden(
        &format!("roll/fleet-pause-of-{name}.txt"),
        &fleet.fleet_command("pause", store.address),
    );
    assert_golden(
        &format!("roll/fleet-pause-of-{name}.json"),
        &stored_plan(&store),
    );
}

#[test_case("without-request", PLAN_WITHOUT_REQUEST; "an old plan")]
#[test_case("resumed", include_str!("../golden/roll/plan-resumed.json"); "a resumed plan")]
#[test_case("cancelled", include_str!("../golden/roll/plan-cancelled.json"); "a cancelled plan")]
#[test_case("done", include_str!("../golden/roll/plan-done.json"); "a plan that is done")]
#[test_case("unreadable", "{\"pids\":7}"; "a plan that cannot be read")]
#[test_case("of-others", r#"{"pids":{"a.sock":101,"c.sock":103},"done":false,"wish":"go-on"}"#; "a plan of other proxies")]
fn a_roll_continues_a_plan_where_it_stands(name: &str, plan: &str) {
    let fleet = Fleet::start(Restarts::OnShutdown);
    fleet.proxies[0].set(|state| state.status.pid = 201);
    let store = store_with_plan(plan);
    let address = store.address.to_string();
    assert_golden(
        &format!("roll/takes-up-{name}.txt"),
        &fleet.roll(&["--store", &address, "--name", "patch"]).text,
    );
    assert_golden(&format!("roll/takes-up-{name}.json"), &stored_plan(&store));
    assert_eq!(
        fleet.proxies[0].orders().matches("drain").count(),
        0,
        "it was replaced already"
    );
}

#[test]
fn a_paused_roll_goes_on_when_it_is_resumed() {
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
fn contenders_queue_by_their_nodes() {
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

    let names = [contender_node(first.id()), contender_node(second.id())];
    let anonymous = |text: String| {
        text.replace(&names[0], "{first}")
            .replace(&names[1], "{second}")
    };
    let mut client = StoreClient::connect(store.address);
    let mut children = client.children(QUEUE_PATH);
    children.sort_by_key(|name| names.iter().position(|known| known == name));
    let mut paths = vec!["/asterramp".to_string(), QUEUE_PATH.to_string()];
    paths.extend(children.iter().map(|name| format!("{QUEUE_PATH}/{name}")));
    let mut nodes = String::new();
    for path in paths {
        let (data, stat) = client.data(&path);
        let ephemeral = stat.ephemeral_owner != 0;
        nodes += &format!(
            "{path} created={} ephemeral={ephemeral} data={data}\n",
            stat.created_zxid
        );
    }
    assert_golden("roll/contender-nodes.txt", &anonymous(nodes));
    assert_golden(
        "roll/fleet-status-two-contenders.txt",
        &anonymous(fleet.fleet_command("status", store.address)),
    );
    for process in [&mut first, &mut second] {
        process.kill().unwrap();
        process.wait().unwrap();
    }
}

#[test_case("plain", &[]; "somebody else restarts")]
#[test_case("restart", &["--restart", "echo restarting $ASTERRAMP_CONTROL"]; "by a command")]
#[test_case("restart-fails", &["--restart", "exit 3"]; "by a command that fails")]
fn a_roll_that_is_not_guarded(name: &str, more: &[&str]) {
    let fleet = Fleet::start(Restarts::WhenEmpty);
    assert_golden(
        &format!("roll/unguarded-{name}.txt"),
        &fleet.roll(more).text,
    );
    assert_golden(
        &format!("roll/unguarded-{name}-orders-a.txt"),
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

#[test_case("never-back", |state| state.restarts = Restarts::Never; "it does not come back")]
#[test_case("idle", |state| state.idle = true; "it carries nothing after its restart")]
#[test_case("undrained", |state| state.undrained = true; "its drain is taken back")]
#[test_case("refused", |state| state.drain_error = Some("the order's time is over"); "it rejects the order")]
fn a_roll_stops_at_the_first_proxy_that_fails(name: &str, change: fn(&mut ScriptedState)) {
    let (fleet, store) = (Fleet::start(Restarts::OnShutdown), ZooKeeperStub::start());
    fleet.proxies[0].set(change);
    let address = store.address.to_string();
    let result = fleet.roll(&["--store", &address, "--name", "patch"]);
    assert_golden(&format!("roll/stops-{name}.txt"), &result.text);
    assert_golden(&format!("roll/stops-{name}.json"), &stored_plan(&store));
}

#[test]
fn another_proxy_that_does_not_carry_its_share_stops_a_roll() {
    let (fleet, store) = (Fleet::start(Restarts::OnShutdown), ZooKeeperStub::start());
    fleet.proxies[1].set(|state| {
        state.idle = true;
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
    // A proxy that an earlier roll has shut down is waited for.
    assert_golden(
        "roll/unreachable-begun.txt",
        &fleet.roll(&["--store", &address, "--name", "patch"]).text,
    );
}

#[test]
fn without_a_store_nothing_is_replaced() {
    let fleet = Fleet::start(Restarts::OnShutdown);
    // Nobody listens there.
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let roll = fleet.run(&roll_arguments(&[
        "--store",
        &address.to_string(),
        "--name",
        "patch",
    ]));
    assert_golden("roll/no-store.txt", &roll.text);
    assert_golden(
        "roll/no-store-fleet.txt",
        &fleet.fleet_command("status", address),
    );
    assert_eq!(fleet.proxies[0].orders(), "");
}

#[test]
fn a_store_without_a_name_is_an_error() {
    let fleet = Fleet::start(Restarts::OnShutdown);
    assert_golden(
        "roll/no-name.txt",
        &fleet.roll(&["--store", "127.0.0.1:9"]).text,
    );
    let bad = ["fleet", "status", "--store", "127.0.0.1:9", "--name", "a/b"];
    assert_golden("roll/bad-name.txt", &fleet.run(&bad).text);
}
