//! The scenario of one drain.

use super::result::DrainMethod;

/// Seconds after the run's begin at which the drain begins.
pub(super) const DRAIN_AT: u64 = 5;

/// Seconds after the run's begin at which the drain is over and the proxy serves again.
pub(super) const DRAIN_ENDS_AT: u64 = 18;

/// Deadline of the drain, in seconds.
const DEADLINE: u64 = 10;

/// Number of hosts.
const HOSTS: u32 = 12;

/// Share of what the hosts can do that the standing sessions ask for.
const UTILIZATION: f64 = 0.4;

/// Standing sessions above which each sends its lines less often, so that the testbed keeps up.
const MANY_SESSIONS: u32 = 4_000;

/// The scenario in which a proxy with so many sessions is drained.
pub(super) fn scenario_text(method: DrainMethod, sessions: u32) -> String {
    let rolls = method == DrainMethod::Roll;
    let proxies = if rolls { 5 } else { 4 };
    let length = if rolls { 60 } else { 25 };
    let roll = if rolls { "roll_at = \"5s\"" } else { "" };
    let fault = fault_text(method);
    let standing = sessions * proxies;
    let work = UTILIZATION * f64::from(HOSTS) / f64::from(standing);
    let every = if standing > MANY_SESSIONS {
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
message_every = "{every}ms"
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
    let lasts = DRAIN_ENDS_AT - DRAIN_AT;
    match method {
        DrainMethod::Drain => format!(
            "[[faults]]\nat = \"{DRAIN_AT}s\"\nfor = \"{lasts}s\"\nkind = \"proxy-drains\"\non = [0]\n\
             span = \"{DEADLINE}s\""
        ),
        DrainMethod::Sigterm => format!(
            "[[faults]]\nat = \"{DRAIN_AT}s\"\nfor = \"{lasts}s\"\nkind = \"proxy-leaves\"\non = [0]"
        ),
        DrainMethod::Roll => {
            "[[faults]]\nat = \"20s\"\nfor = \"8s\"\nkind = \"host-silent\"\non = [3]".into()
        }
    }
}
