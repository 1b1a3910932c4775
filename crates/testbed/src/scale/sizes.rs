//! The sizes that are measured, by series, and the scenario of one size.

/// Name of the series with new sessions at rising rates, and no standing connections.
pub(super) const SET_UPS: &str = "set-ups";
/// Name of the series with rising numbers of standing connections that hardly ever send lines.
pub(super) const IDLE: &str = "idle";
/// Name of the series with rising numbers of standing connections that send lines often.
pub(super) const LINES: &str = "lines";
/// Name of the series with new sessions while operators request the proxy's status all the time.
const WATCHED: &str = "watched";
/// Name of the series with new sessions at the same rate as [`WATCHED`], without operators.
const UNWATCHED: &str = "unwatched";
/// Name of the series with rising numbers of proxies.
const FLEET: &str = "fleet";

/// Numbers of hosts at which the series [`SET_UPS`] and [`FLEET`] are measured.
pub(super) const HOST_COUNTS: [u32; 3] = [10, 50, 200];

/// Time between two lines of an idle connection, in milliseconds.
const IDLE_MESSAGE_MS: u64 = 60_000;

/// Duration of a session, in milliseconds, at sizes without standing connections.
const SHORT_SESSION_MS: u64 = 250;

/// One size: the inputs that vary from point to point.
#[derive(Clone, Copy, Debug)]
pub struct ScaleSize {
    /// Name of the series that the size belongs to.
    pub series: &'static str,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of proxies.
    pub proxies: u32,
    /// Connections that are open from before the run begins until its end, over all proxies.
    pub standing_connections: u32,
    /// New sessions a second, over all proxies.
    pub set_ups_per_second: f64,
    /// Time between two lines of each connection, in milliseconds.
    pub message_every_ms: u64,
    /// Whether proxies may send health checks.
    pub probes: bool,
    /// Number of operators that request the status at each proxy's admin socket.
    pub status_pollers: u32,
}

/// The values of a size that its series does not vary.
const BASE: ScaleSize = ScaleSize {
    series: "",
    hosts: 10,
    proxies: 1,
    standing_connections: 0,
    set_ups_per_second: 0.0,
    message_every_ms: IDLE_MESSAGE_MS,
    probes: true,
    status_pollers: 0,
};

/// All sizes in the order of the table; with `quick`, fewer of the series that vary rates and standing connections.
pub fn sizes(quick: bool) -> Vec<ScaleSize> {
    let mut all = set_up_sizes(quick);
    all.extend(standing_sizes(quick));
    all.extend(watched_sizes());
    all.extend(fleet_sizes());
    all
}

/// Sizes for the cost of new sessions at one proxy: several rates, each at all numbers of hosts.
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

/// Sizes for the cost of standing connections at one proxy: several numbers, idle and with lines.
fn standing_sizes(quick: bool) -> Vec<ScaleSize> {
    let counts: &[u32] = if quick {
        &[500, 2_000]
    } else {
        &[500, 1_000, 2_000, 4_000, 8_000]
    };
    let of_series = |(series, message_every_ms): (&'static str, u64)| {
        counts.iter().map(move |count| ScaleSize {
            series,
            standing_connections: *count,
            message_every_ms,
            ..BASE
        })
    };
    [(IDLE, IDLE_MESSAGE_MS), (LINES, 250)]
        .into_iter()
        .flat_map(of_series)
        .collect()
}

/// Sizes for the cost of status requests: runs with and without operators in alternation, so that a slow period of the
/// machine affects both.
fn watched_sizes() -> Vec<ScaleSize> {
    [0, 16, 0, 16, 0, 16]
        .into_iter()
        .map(|status_pollers| ScaleSize {
            series: if status_pollers > 0 {
                WATCHED
            } else {
                UNWATCHED
            },
            set_ups_per_second: 400.0,
            status_pollers,
            ..BASE
        })
        .collect()
}

/// Sizes for the cost of a proxy in fleets of several sizes, at the same total load.
fn fleet_sizes() -> Vec<ScaleSize> {
    let of_proxies = |proxies: u32| {
        HOST_COUNTS.into_iter().map(move |hosts| ScaleSize {
            series: FLEET,
            hosts,
            proxies,
            standing_connections: 2_000,
            set_ups_per_second: 50.0,
            message_every_ms: 2_000,
            ..BASE
        })
    };
    [1, 5, 20].into_iter().flat_map(of_proxies).collect()
}

/// The scenario of a size, as TOML. Its hosts have almost no delay and a capacity far above the load, so that only the
/// proxies limit the results.
pub(super) fn scenario_text(size: &ScaleSize, seconds: u32) -> String {
    let sockets =
        (f64::from(size.standing_connections) * 2.2 / f64::from(size.proxies)) as u32 + 2_048;
    let memory = 256 + sockets / 16;
    // Standing connections stay until the end of the run, as do new sessions beside them.
    let session_ms = if size.standing_connections > 0 {
        u64::from(seconds) * 1000
    } else {
        SHORT_SESSION_MS
    };
    let ScaleSize {
        hosts,
        set_ups_per_second: rate,
        message_every_ms,
        standing_connections,
        proxies,
        status_pollers,
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
life = {{ median = "{session_ms}ms", sigma = 0.0 }}
message_every = "{message_every_ms}ms"
inherited = {standing_connections}
[proxies]
count = {proxies}
sockets = {sockets}
memory_mb = {memory}
watchers = {status_pollers}
[platform]
may_probe = {probes}
answer_slack = "1s"
void_above = "60s"
"#
    )
}
