//! Guarded rolls, with one leader at a time: three proxies that a supervisor restarts, a store, and leaders that are stopped,
//! killed and resumed late. No two proxies are ever out of service, each is replaced once, and a former leader does nothing.

#[path = "../support/mod.rs"]
mod support;

mod order_relay;
mod supervised_fleet;

use asterramp_admin_protocol::{
    AdminClient, AdminClientError, AdminCommand, AdminRequest, LeaderToken, ProxyStatus,
};
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use supervised_fleet::{SupervisedFleet, status};
use support::{TIMEOUT, ZooKeeperStub, output_text, send_signal};
use test_case::test_case;

const PROXIES: usize = 3;
/// The session's timeout at the store.
const SESSION_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest that a roll of three proxies may take with all its successors.
const ROLL_TIMEOUT: Duration = Duration::from_secs(90);

/// How a leader is interrupted.
#[derive(Clone, Copy, PartialEq)]
enum Interruption {
    /// It is stopped, and goes on later.
    Stop,
    Kill,
}

impl Interruption {
    fn begin(self, process: &Child) {
        match self {
            Interruption::Stop => send_signal(process, "STOP"),
            Interruption::Kill => send_signal(process, "KILL"),
        }
    }

    /// A roll that goes on finds the work done.
    fn end(self, process: &mut Child) {
        match self {
            Interruption::Stop => {
                send_signal(process, "CONT");
                assert_eq!(exit_code(process), Some(0), "it finds the work done");
            }
            Interruption::Kill => {
                exit_code(process);
            }
        }
    }
}

/// Waits until a roll has ended; its exit code.
fn exit_code(process: &mut Child) -> Option<i32> {
    let give_up_at = Instant::now() + ROLL_TIMEOUT;
    loop {
        if let Some(status) = process.try_wait().unwrap() {
            return status.code();
        }
        assert!(Instant::now() < give_up_at, "the roll does not end");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_roll_has_one_leader_and_the_second_finds_it_done() {
    let (fleet, store) = (SupervisedFleet::start(), ZooKeeperStub::start());
    let mut rolls = [fleet.start_roll(&store), fleet.start_roll(&store)];
    assert_eq!(
        [exit_code(&mut rolls[0]), exit_code(&mut rolls[1])],
        [Some(0), Some(0)]
    );
    fleet.assert_replaced_one_by_one();
}

#[test_case(Interruption::Stop, 0, 150; "stopped before its first order")]
#[test_case(Interruption::Stop, 0, 2_600; "stopped while the first proxy drains")]
#[test_case(Interruption::Stop, 1, 60; "stopped between two proxies")]
#[test_case(Interruption::Kill, 1, 400; "killed while the second drains")]
fn a_successor_goes_on_and_a_former_leader_does_no_harm_when_it_wakes(
    interruption: Interruption,
    replaced: usize,
    delay_ms: u64,
) {
    let (fleet, store) = (SupervisedFleet::start(), ZooKeeperStub::start());
    let mut first = fleet.start_roll(&store);
    std::thread::sleep(Duration::from_millis(300));
    let mut second = fleet.start_roll(&store);
    fleet.wait_until_replaced(replaced);
    std::thread::sleep(Duration::from_millis(delay_ms));
    interruption.begin(&first);
    // It sleeps until its successor is at work.
    fleet.wait_until_replaced((replaced + 2).min(PROXIES));
    interruption.end(&mut first);
    assert_eq!(exit_code(&mut second), Some(0));
    fleet.assert_replaced_one_by_one();
}

/// The leader has sent the order and is interrupted; the order arrives while its successor has another proxy out of service.
#[test_case(0, Interruption::Stop; "the first order, of a leader that is stopped")]
#[test_case(1, Interruption::Stop; "the second, of one that is stopped")]
#[test_case(0, Interruption::Kill; "the first, of one that was killed")]
fn an_order_that_arrives_late_has_no_effect(nth: usize, interruption: Interruption) {
    let (fleet, store) = (SupervisedFleet::start(), ZooKeeperStub::start());
    let relay = &fleet.relays[nth];
    relay.delay_next_drain();
    let mut first = fleet.start_roll(&store);
    let give_up_at = Instant::now() + ROLL_TIMEOUT;
    while !relay.is_delaying() {
        assert!(Instant::now() < give_up_at, "nothing was ordered");
        std::thread::sleep(Duration::from_millis(5));
    }
    interruption.begin(&first);
    let mut second = fleet.start_roll(&store);
    while status(&fleet.admin_sockets[nth + 1]).is_none_or(|s| s.state == "serving") {
        assert!(Instant::now() < give_up_at, "the successor does not go on");
        std::thread::sleep(Duration::from_millis(5));
    }
    relay.release();
    assert_eq!(exit_code(&mut second), Some(0));
    interruption.end(&mut first);
    fleet.assert_replaced_one_by_one();
}

#[test_case(&["expire"]; "the store forgets all sessions")]
#[test_case(&["drop"]; "all connections break")]
#[test_case(&["mute", "wait", "speak"]; "the store hangs for longer than a session lasts")]
#[test_case(&["refuse", "drop", "wait", "accept"]; "nobody reaches the store for a while")]
fn whatever_fails_at_the_store_no_two_proxies_are_out_of_service(faults: &[&str]) {
    let (fleet, mut store) = (SupervisedFleet::start(), ZooKeeperStub::start());
    let mut rolls = [fleet.start_roll(&store), fleet.start_roll(&store)];
    fleet.wait_until_replaced(1);
    for fault in faults {
        match *fault {
            "wait" => std::thread::sleep(SESSION_TIMEOUT + SESSION_TIMEOUT / 2),
            fault => store.inject_fault(fault),
        }
    }
    assert_eq!(
        [exit_code(&mut rolls[0]), exit_code(&mut rolls[1])],
        [Some(0), Some(0)]
    );
    fleet.assert_replaced_one_by_one();
}

struct CommandResult {
    success: bool,
    /// Standard output and error.
    text: String,
}

/// Runs `asterramp fleet` about the roll.
fn fleet_command(store: &ZooKeeperStub, subcommand: &str) -> CommandResult {
    let output = Command::new(env!("CARGO_BIN_EXE_asterramp"))
        .args(["fleet", subcommand, "--name", "patch"])
        .args(["--store", &store.address.to_string()])
        .output()
        .unwrap();
    CommandResult {
        success: output.status.success(),
        text: output_text(&output),
    }
}

#[test]
fn a_roll_is_paused_resumed_and_cancelled_from_anywhere() {
    let (fleet, store) = (SupervisedFleet::start(), ZooKeeperStub::start());
    assert!(
        fleet_command(&store, "status")
            .text
            .contains("no roll is called patch")
    );
    let mut first = fleet.start_roll(&store);
    fleet.wait_until_replaced(1);
    assert!(fleet_command(&store, "pause").success);
    // The one that was begun is finished; no other is.
    std::thread::sleep(Duration::from_secs(3));
    let replaced = fleet.replaced();
    assert!(replaced < PROXIES, "it was too fast to be paused");
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(fleet.replaced(), replaced);
    let output = fleet_command(&store, "status").text;
    assert!(
        output.contains(&format!("{replaced} of 3 are replaced; it is paused"))
            && output.contains("owns, term"),
        "{output}"
    );
    // A successor stays paused too.
    let mut second = fleet.start_roll(&store);
    send_signal(&first, "KILL");
    exit_code(&mut first);
    std::thread::sleep(SESSION_TIMEOUT * 2);
    assert_eq!(fleet.replaced(), replaced);
    assert!(fleet_command(&store, "resume").success);
    fleet.wait_until_replaced(replaced + 1);
    let cancelled = fleet_command(&store, "cancel");
    assert!(
        cancelled.success || cancelled.text.contains("is done"),
        "{}",
        cancelled.text
    );
    assert_eq!(
        exit_code(&mut second),
        Some(i32::from(fleet.replaced() < PROXIES))
    );
    assert!(fleet.most_out_of_service() <= 1);
}

#[test]
fn without_the_store_nobody_leads_and_nothing_is_ordered() {
    let (fleet, mut store) = (SupervisedFleet::start(), ZooKeeperStub::start());
    store.inject_fault("mute");
    let mut roll = fleet.start_roll(&store);
    std::thread::sleep(Duration::from_secs(4));
    assert!(roll.try_wait().unwrap().is_none());
    assert_eq!((fleet.replaced(), fleet.most_out_of_service()), (0, 0));
    roll.kill().unwrap();
    roll.wait().unwrap();
}

/// Sends one proxy orders of a leader.
struct Orders<'a> {
    admin_socket: &'a Path,
    /// Of the process that the orders are for.
    incarnation: u64,
}

/// An order before its expiry is read off the proxy's clock.
struct Order {
    command: AdminCommand,
    term: u64,
    incarnation: u64,
    /// Time until it expires.
    expires_in_ms: i64,
}

impl Orders<'_> {
    /// An order that is still good for a while.
    fn order(&self, command: AdminCommand, term: u64) -> Order {
        Order {
            command,
            term,
            incarnation: self.incarnation,
            expires_in_ms: 2_000,
        }
    }

    fn send(&self, order: &Order) -> Result<ProxyStatus, AdminClientError> {
        let clock = status(self.admin_socket).unwrap().clock_us;
        let leader = Some(LeaderToken {
            term: order.term,
            incarnation: order.incarnation,
            expires_at_us: clock.saturating_add_signed(order.expires_in_ms * 1_000),
        });
        self.request(&AdminRequest {
            leader,
            ..AdminRequest::new(order.command)
        })
    }

    fn request(&self, request: &AdminRequest) -> Result<ProxyStatus, AdminClientError> {
        AdminClient::connect(self.admin_socket)
            .unwrap()
            .send(request)
    }
}

fn assert_rejected(answer: Result<ProxyStatus, AdminClientError>, reason: &str) {
    let error = answer.unwrap_err().to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_receiver_rejects_orders_that_are_expired_stale_or_for_another_process() {
    let fleet = SupervisedFleet::start();
    let admin_socket = &fleet.admin_sockets[0];
    let before = status(admin_socket).unwrap();
    let orders = Orders {
        admin_socket,
        incarnation: before.incarnation,
    };
    let announced = orders.send(&orders.order(AdminCommand::AnnounceTerm, 7));
    assert_eq!(announced.unwrap().highest_term, 7);
    let stale = orders.order(AdminCommand::Drain, 6);
    assert_rejected(orders.send(&stale), "a later owner has been heard");
    let expired = Order {
        expires_in_ms: -1,
        ..orders.order(AdminCommand::Drain, 8)
    };
    assert_rejected(orders.send(&expired), "time is over");
    let for_another_process = Order {
        incarnation: before.incarnation + 1,
        ..orders.order(AdminCommand::Shutdown, 8)
    };
    assert_rejected(orders.send(&for_another_process), "another process");
    let without_term = orders.order(AdminCommand::Drain, 0);
    assert_rejected(orders.send(&without_term), "no term");
    let without_leader = AdminRequest::new(AdminCommand::Shutdown);
    assert_rejected(orders.request(&without_leader), "owner is missing");
    assert_eq!(status(admin_socket).unwrap().state, "serving");
    let accepted = orders.send(&orders.order(AdminCommand::Shutdown, 8));
    assert!(accepted.is_ok());
    // The term outlives the process.
    fleet.wait_until_replaced(1);
    let give_up_at = Instant::now() + TIMEOUT;
    while status(admin_socket).is_none_or(|status| status.pid == before.pid) {
        assert!(Instant::now() < give_up_at);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        status(admin_socket).unwrap().highest_term,
        8,
        "the term is kept on disk"
    );
}
