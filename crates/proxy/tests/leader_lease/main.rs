//! Guarded rolls, which one leader at a time performs, with three supervised proxies, a store, and leaders that are killed,
//! or stopped and continued late. At most one proxy is out of service at a time, each is replaced once, and orders of a
//! former leader have no effect.

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

/// Number of proxies in the fleet.
const PROXY_COUNT: usize = 3;
/// Timeout of a roll's session with the store.
const SESSION_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for a roll of three proxies, with all changes of leader.
const ROLL_TIMEOUT: Duration = Duration::from_secs(90);

/// How a leader is interrupted.
#[derive(Clone, Copy, PartialEq)]
enum Interruption {
    /// `SIGSTOP`, and `SIGCONT` later.
    Stop,
    /// `SIGKILL`.
    Kill,
}

impl Interruption {
    /// Stops or kills the leader.
    fn begin(self, process: &Child) {
        match self {
            Interruption::Stop => send_signal(process, "STOP"),
            Interruption::Kill => send_signal(process, "KILL"),
        }
    }

    /// Continues a stopped leader, which then has to find the roll done; waits for the exit of either.
    fn end(self, process: &mut Child) {
        match self {
            Interruption::Stop => {
                send_signal(process, "CONT");
                assert_eq!(
                    exit_code(process),
                    Some(0),
                    "the former leader has to find the roll done"
                );
            }
            Interruption::Kill => {
                exit_code(process);
            }
        }
    }
}

/// Waits until a roll's process has ended; returns its exit code, `None` after a signal.
fn exit_code(process: &mut Child) -> Option<i32> {
    let deadline = Instant::now() + ROLL_TIMEOUT;
    loop {
        if let Some(status) = process.try_wait().unwrap() {
            return status.code();
        }
        assert!(Instant::now() < deadline, "the roll does not end");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn of_two_rolls_one_leads_and_the_other_finds_the_roll_done() {
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
#[test_case(Interruption::Kill, 1, 400; "killed while the second proxy drains")]
fn a_new_leader_continues_the_roll_and_the_former_one_changes_nothing(
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
    // The former leader stays stopped until the new one has replaced proxies.
    fleet.wait_until_replaced((replaced + 2).min(PROXY_COUNT));
    interruption.end(&mut first);
    assert_eq!(exit_code(&mut second), Some(0));
    fleet.assert_replaced_one_by_one();
}

/// A leader sends an order to drain and is interrupted. The order is delayed, and arrives while the new leader has another
/// proxy out of service.
#[test_case(0, Interruption::Stop; "the first order, the leader is stopped")]
#[test_case(1, Interruption::Stop; "the second order, the leader is stopped")]
#[test_case(0, Interruption::Kill; "the first order, the leader is killed")]
fn an_order_that_arrives_late_has_no_effect(proxy: usize, interruption: Interruption) {
    let (fleet, store) = (SupervisedFleet::start(), ZooKeeperStub::start());
    let relay = &fleet.relays[proxy];
    relay.delay_next_drain();
    let mut first = fleet.start_roll(&store);
    let deadline = Instant::now() + ROLL_TIMEOUT;
    while !relay.is_delaying() {
        assert!(Instant::now() < deadline, "no drain was ordered");
        std::thread::sleep(Duration::from_millis(5));
    }
    interruption.begin(&first);
    let mut second = fleet.start_roll(&store);
    while status(&fleet.admin_sockets[proxy + 1]).is_none_or(|status| status.state == "serving") {
        assert!(
            Instant::now() < deadline,
            "the new leader does not continue the roll"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    relay.release();
    assert_eq!(exit_code(&mut second), Some(0));
    interruption.end(&mut first);
    fleet.assert_replaced_one_by_one();
}

#[test_case(&["expire"]; "the store expires all sessions")]
#[test_case(&["drop"]; "the store closes all connections")]
#[test_case(&["mute", "wait", "speak"]; "the store hangs for longer than a session lasts")]
#[test_case(&["refuse", "drop", "wait", "accept"]; "the store refuses connections for longer than a session lasts")]
fn store_failures_never_take_two_proxies_out_of_service(faults: &[&str]) {
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

/// A run of a command that has ended.
struct CommandResult {
    success: bool,
    /// Standard output, then standard error.
    text: String,
}

/// Runs a subcommand of `asterramp fleet` for the roll `patch`.
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
fn a_roll_is_paused_resumed_and_cancelled_through_the_store() {
    let (fleet, store) = (SupervisedFleet::start(), ZooKeeperStub::start());
    assert!(
        fleet_command(&store, "status")
            .text
            .contains("no roll is called patch")
    );
    let mut first = fleet.start_roll(&store);
    fleet.wait_until_replaced(1);
    assert!(fleet_command(&store, "pause").success);
    // The roll finishes the proxy that it is replacing, and begins with no other.
    std::thread::sleep(Duration::from_secs(3));
    let replaced = fleet.replaced();
    assert!(
        replaced < PROXY_COUNT,
        "the roll ended before it was paused"
    );
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(fleet.replaced(), replaced);
    let output = fleet_command(&store, "status").text;
    assert!(
        output.contains(&format!("{replaced} of 3 are replaced; it is paused"))
            && output.contains("owns, term"),
        "{output}"
    );
    // A new leader keeps to the pause.
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
        Some(i32::from(fleet.replaced() < PROXY_COUNT))
    );
    assert!(fleet.most_out_of_service() <= 1);
}

#[test]
fn without_the_store_no_roll_leads_or_sends_orders() {
    let (fleet, mut store) = (SupervisedFleet::start(), ZooKeeperStub::start());
    store.inject_fault("mute");
    let mut roll = fleet.start_roll(&store);
    std::thread::sleep(Duration::from_secs(4));
    assert!(roll.try_wait().unwrap().is_none());
    assert_eq!((fleet.replaced(), fleet.most_out_of_service()), (0, 0));
    roll.kill().unwrap();
    roll.wait().unwrap();
}

/// Sends one proxy orders as a leader does.
struct OrderSender<'a> {
    admin_socket: &'a Path,
    /// The incarnation of the process that the orders are for.
    incarnation: u64,
}

/// An order whose expiry is relative, before it is converted to the proxy's clock.
struct Order {
    command: AdminCommand,
    term: u64,
    incarnation: u64,
    /// Milliseconds until it expires; negative for an order that has expired.
    expires_in_ms: i64,
}

impl OrderSender<'_> {
    /// An order that expires 2 s after it is sent.
    fn order(&self, command: AdminCommand, term: u64) -> Order {
        Order {
            command,
            term,
            incarnation: self.incarnation,
            expires_in_ms: 2_000,
        }
    }

    /// Sends an order with the fencing token of its leader.
    fn send(&self, order: &Order) -> Result<ProxyStatus, AdminClientError> {
        let clock = status(self.admin_socket).unwrap().clock_us;
        let leader = Some(LeaderToken {
            term: order.term,
            incarnation: order.incarnation,
            expires_at_us: clock.saturating_add_signed(order.expires_in_ms * 1_000),
        });
        self.send_request(&AdminRequest {
            leader,
            ..AdminRequest::new(order.command)
        })
    }

    /// Sends a request as it is.
    fn send_request(&self, request: &AdminRequest) -> Result<ProxyStatus, AdminClientError> {
        AdminClient::connect(self.admin_socket)
            .unwrap()
            .send(request)
    }
}

fn assert_rejected(reply: Result<ProxyStatus, AdminClientError>, reason: &str) {
    let error = reply.unwrap_err().to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_proxy_rejects_orders_that_are_expired_stale_or_for_another_process() {
    let fleet = SupervisedFleet::start();
    let admin_socket = &fleet.admin_sockets[0];
    let before = status(admin_socket).unwrap();
    let orders = OrderSender {
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
    assert_rejected(orders.send_request(&without_leader), "owner is missing");
    assert_eq!(status(admin_socket).unwrap().state, "serving");
    let accepted = orders.send(&orders.order(AdminCommand::Shutdown, 8));
    assert!(accepted.is_ok());
    // The next process still knows the term, from the snapshot.
    fleet.wait_until_replaced(1);
    let deadline = Instant::now() + TIMEOUT;
    while status(admin_socket).is_none_or(|status| status.pid == before.pid) {
        assert!(Instant::now() < deadline);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        status(admin_socket).unwrap().highest_term,
        8,
        "the term is not kept across restarts"
    );
}
