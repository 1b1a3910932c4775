//! The scenario of one measurement, as TOML.

use super::result::DrainMethod;

/// When the drain begins, in seconds since the plan's start.
pub(super) const DRAIN_AT_SECONDS: u64 = 5;

/// When the drain is cancelled, or the proxy that was shut down is started again, in seconds since the plan's start.
pub(super) const DRAIN_END_SECONDS: u64 = 18;

/// Time that the drain may take, in seconds.
const DEADLINE_SECONDS: u64 = 10;

/// Number of hosts.
const HOSTS: u32 = 12;

/// Load of all standing sessions as a share of the hosts' total capacity.
const UTILIZATION: f64 = 0.4;

/// Number of standing sessions above which each sends its lines less often, so that the testbed is not late.
const MANY_SESSIONS: u32 = 4_000;

/// The scenario of one measurement, in which each proxy begins with `sessions` standing sessions.
pub(super) fn scenario_text(method: DrainMethod, sessions: u32) -> String {
    let is_roll = method == DrainMethod::Roll;
    let proxies = if is_roll { 5 } else { 4 };
    let length = if is_roll { 60 } else { 25 };
    let roll = if is_roll { "roll_at = \"5s\"" } else { "" };
    let fault = fault_text(method);
    let standing = sessions * proxies;
    let work = UTILIZATION * f64::from(HOSTS) / f64::from(standing);
    let message_every_ms = if standing > MANY_SESSIONS {
        4_000
    } else {
        1_000
    };
    let sockets = sessions * 5 + 2_048;
    let rate = f64::from(standing) / 40.0;
    format!(
        r#"
name = "emptied"
length = "{length}s"
places = ["a"]
[fleet]
told_within = "100ms"
[[fleet.hosts]]
count = {HOSTS}
places = 20000
room = 20000
[[listeners]]
name = "feed"
kind = "repeatable"
handshake_target = "800ms"
dial_timeout = "3s"
message_target = "250ms"
work = {work:.6}
[[members]]
name = "acme"
[traffic]
rate = {rate:.2}
life = {{ median = "40s", sigma = 0.5 }}
message_every = "{message_every_ms}ms"
inherited = {standing}
[proxies]
count = {proxies}
sockets = {sockets}
memory_mb = 512
{roll}
[platform]
answer_slack = "1s"
void_above = "1s"
{fault}
"#
    )
}

fn fault_text(method: DrainMethod) -> String {
    let drain_seconds = DRAIN_END_SECONDS - DRAIN_AT_SECONDS;
    match method {
        DrainMethod::Drain => format!(
            "[[faults]]\nat = \"{DRAIN_AT_SECONDS}s\"\nfor = \"{drain_seconds}s\"\nkind = \"proxy-drains\"\non = [0]\n\
             span = \"{DEADLINE_SECONDS}s\""
        ),
        DrainMethod::Sigterm => format!(
            "[[faults]]\nat = \"{DRAIN_AT_SECONDS}s\"\nfor = \"{drain_seconds}s\"\nkind = \"proxy-leaves\"\non = [0]"
        ),
        DrainMethod::Roll => {
            "[[faults]]\nat = \"20s\"\nfor = \"8s\"\nkind = \"host-silent\"\non = [3]".into()
        }
    }
}
