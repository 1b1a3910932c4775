//! The sizes that are measured, and the scenario of one.

/// What a series of set-ups is called.
pub(super) const SET_UPS: &str = "set-ups";
/// Standing connections that say next to nothing.
pub(super) const IDLE: &str = "idle";
/// Standing connections that send lines.
pub(super) const LINES: &str = "lines";
/// Set-ups beside operators who read a proxy's status again and again.
const WATCHED: &str = "watched";
/// The same without operators.
const UNWATCHED: &str = "unwatched";
/// Several proxies.
const FLEET: &str = "fleet";

/// Numbers of hosts that are compared.
pub(super) const HOST_COUNTS: [u32; 3] = [10, 50, 200];

/// How often an idle connection sends a line.
const IDLE_MESSAGE_MS: u64 = 60_000;

/// How long a session lasts where none stands throughout the run.
const SHORT_SESSION_MS: u64 = 250;

/// One size: what is varied from point to point.
#[derive(Clone, Copy, Debug)]
pub struct ScaleSize {
    /// Name of the series that the size belongs to.
    pub series: &'static str,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of proxies.
    pub proxies: u32,
    /// Connections that stand before the run begins.
    pub idle_connections: u32,
    /// New sessions a second.
    pub set_ups_per_second: f64,
    /// How often each connection sends a line, in milliseconds.
    pub message_every_ms: u64,
    /// Whether proxies may send health checks.
    pub probes: bool,
    /// Operators at each proxy's admin socket.
    pub status_pollers: u32,
}

const BASE: ScaleSize = ScaleSize {
    series: "",
    hosts: 10,
    proxies: 1,
    idle_connections: 0,
    set_ups_per_second: 0.0,
    message_every_ms: IDLE_MESSAGE_MS,
    probes: true,
    status_pollers: 0,
};

/// The sizes of the standing table; `quick` takes a few.
pub fn sizes(quick: bool) -> Vec<ScaleSize> {
    let mut all = set_up_sizes(quick);
    all.extend(standing_sizes(quick));
    all.extend(watched_sizes());
    all.extend(fleet_sizes());
    all
}

/// What one proxy carries: ever more sessions a second, on few hosts and on many.
fn set_up_sizes(quick: bool) -> Vec<ScaleSize> {
    let rates: &[f64] = if quick {
        &[200.0, 800.0]
    } else {
        &[200.0, 400.0, 800.0, 1_600.0, 3_200.0]
    };
    let of_hosts = |hosts: u32| {
        rates.iter().map(move |rate| ScaleSize {
            series: SET_UPS,
            hosts,
            set_ups_per_second: *rate,
            ..BASE
        })
    };
    HOST_COUNTS.into_iter().flat_map(of_hosts).collect()
}

/// What standing connections cost, idle ones and ones that send lines.
fn standing_sizes(quick: bool) -> Vec<ScaleSize> {
    let counts: &[u32] = if quick {
        &[500, 2_000]
    } else {
        &[500, 1_000, 2_000, 4_000, 8_000]
    };
    let of_series = |(series, message_every_ms): (&'static str, u64)| {
        counts.iter().map(move |standing| ScaleSize {
            series,
            idle_connections: *standing,
            message_every_ms,
            ..BASE
        })
    };
    [(IDLE, IDLE_MESSAGE_MS), (LINES, 250)]
        .into_iter()
        .flat_map(of_series)
        .collect()
}

/// What operators at the admin socket cost, in alternation with none.
fn watched_sizes() -> Vec<ScaleSize> {
    [0, 16, 0, 16, 0, 16]
        .into_iter()
        .map(|watchers| ScaleSize {
            series: if watchers > 0 { WATCHED } else { UNWATCHED },
            set_ups_per_second: 400.0,
            status_pollers: watchers,
            ..BASE
        })
        .collect()
}

/// What a proxy costs in a fleet.
fn fleet_sizes() -> Vec<ScaleSize> {
    let of_proxies = |proxies: u32| {
        HOST_COUNTS.into_iter().map(move |hosts| ScaleSize {
            series: FLEET,
            hosts,
            proxies,
            idle_connections: 2_000,
            set_ups_per_second: 50.0,
            message_every_ms: 2_000,
            ..BASE
        })
    };
    [1, 5, 20].into_iter().flat_map(of_proxies).collect()
}

/// A scenario with hosts so fast that they add next to nothing of their own.
pub(super) fn scenario_text(size: &ScaleSize, seconds: u32) -> String {
    let sockets = (f64::from(size.idle_connections) * 2.2 / f64::from(size.proxies)) as u32 + 2_048;
    let memory = 256 + sockets / 16;
    // Those that were connected before stay to the end; new ones pass by.
    let lasts_ms = if size.idle_connections > 0 {
        u64::from(seconds) * 1000
    } else {
        SHORT_SESSION_MS
    };
    let ScaleSize {
        hosts,
        set_ups_per_second: rate,
        message_every_ms,
        idle_connections: standing,
        proxies,
        status_pollers: watchers,
        probes,
        ..
    } = size;
    format!(
        r#"
name = "scale"
length = "{seconds}s"
places = ["a"]
[fleet]
set_up_work = "0ms"
message_time = "0ms"
told_within = "50ms"
[[fleet.hosts]]
count = {hosts}
places = 100000
room = 100000
[[listeners]]
name = "feed"
kind = "repeatable"
handshake_target = "800ms"
dial_timeout = "3s"
message_target = "500ms"
work = 0.0
[[members]]
name = "acme"
[traffic]
rate = {rate:.1}
life = {{ median = "{lasts_ms}ms", sigma = 0.0 }}
message_every = "{message_every_ms}ms"
inherited = {standing}
[proxies]
count = {proxies}
sockets = {sockets}
memory_mb = {memory}
watchers = {watchers}
[platform]
may_probe = {probes}
answer_slack = "1s"
void_above = "60s"
"#
    )
}
