//! Compares warm starts with traces that the build of commit 17cc2a9 recorded: the same inputs must have the same effects,
//! stages, deadlines and texts. The files in `golden/` never change, so their wording is that of the former build.

use asterramp_warm_start::{
    CandidatePolicy, CandidateState, ClientAdmission, EndpointId, EndpointReport, EndpointSource,
    InformationAge, MIN_CONNECTIONS_FOR_LOAD, SlowStartProfile, SourceCounts, WarmStart,
    WarmStartEffect, WarmStartSettings, WarmStartStage, admission_rate, candidate_policy,
    information_age,
};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use test_case::test_case;

const SOURCES: [EndpointSource; 4] = [
    EndpointSource::Peer,
    EndpointSource::Configuration,
    EndpointSource::Snapshot,
    EndpointSource::Discovery,
];
const AGES: [InformationAge; 3] = [
    InformationAge::Fresh,
    InformationAge::Old,
    InformationAge::Unknown,
];
/// Endpoints in each trace, with the indices below this number.
const ENDPOINT_COUNT: EndpointId = 6;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn assert_golden(name: &str, trace: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    assert_eq!(trace, std::fs::read_to_string(path).unwrap());
}

fn source_name(source: EndpointSource) -> &'static str {
    match source {
        EndpointSource::Peer => "peer",
        EndpointSource::Configuration => "configuration",
        EndpointSource::Snapshot => "snapshot",
        EndpointSource::Discovery => "discovery",
    }
}

fn age_name(age: InformationAge) -> &'static str {
    match age {
        InformationAge::Fresh => "fresh",
        InformationAge::Old => "old",
        InformationAge::Unknown => "unknown",
    }
}

fn state_name(state: CandidateState) -> &'static str {
    match state {
        CandidateState::Unknown => "unknown",
        CandidateState::AwaitingProbe => "waiting",
        CandidateState::Probing => "probing",
        CandidateState::Unresponsive => "silent",
        CandidateState::Responsive => "answers",
        CandidateState::Listed => "listed",
    }
}

fn counts_text(counts: SourceCounts) -> String {
    format!("({}, {})", counts.reported, counts.usable)
}

fn effect_line(effect: &WarmStartEffect) -> String {
    match effect {
        WarmStartEffect::AskPeers => "ask peers".into(),
        WarmStartEffect::Probe(id) => format!("probe {id}"),
        WarmStartEffect::Use(id) => format!("use {id}"),
        WarmStartEffect::Drop(id, reason) => format!("drop {id}: {}", reason.text()),
        WarmStartEffect::Admit(ClientAdmission::Queued) => "clients wait".into(),
        WarmStartEffect::Admit(ClientAdmission::Rejected) => "clients rejected".into(),
        WarmStartEffect::Admit(ClientAdmission::Limited) => "clients limited".into(),
        WarmStartEffect::Admit(ClientAdmission::Open) => "clients admitted".into(),
        WarmStartEffect::StageChanged(stage, reason) => {
            format!("stage {}: {}", stage.name(), reason.text())
        }
    }
}

#[test]
fn policy_for_each_source_and_age_matches_golden_file() {
    let mut table = String::new();
    for source in SOURCES {
        for age in AGES {
            let policy = match candidate_policy(source, age) {
                CandidatePolicy::Use => "usable".into(),
                CandidatePolicy::Probe {
                    forget_after: Some(timeout),
                } => format!("probed for {} s", timeout.as_secs()),
                CandidatePolicy::Probe { forget_after: None } => "probed without end".into(),
                CandidatePolicy::Ignore => "ignored".into(),
            };
            writeln!(table, "{} {}: {policy}", source_name(source), age_name(age)).unwrap();
        }
    }
    assert_golden("trust.txt", &table);
}

#[test]
fn ages_match_golden_file() {
    let now = Duration::from_secs(1_700_000_000);
    let mut table = format!("no time: {}\n", age_name(information_age(now, None)));
    let ahead_ms = [86_400_000, 5_001, 5_000, 1];
    let behind_ms = [
        0, 299_999, 300_000, 300_001, 86_399_999, 86_400_000, 86_400_001,
    ];
    for offset in ahead_ms {
        writeln!(
            table,
            "{offset} ms ahead: {}",
            age_name(information_age(now, Some(now + ms(offset))))
        )
        .unwrap();
    }
    for offset in behind_ms {
        writeln!(
            table,
            "{offset} ms ago: {}",
            age_name(information_age(now, Some(now - ms(offset))))
        )
        .unwrap();
    }
    assert_golden("ages.txt", &table);
}

#[test]
fn defaults_and_stage_names_are_unchanged() {
    let settings = WarmStartSettings::default();
    let stages: Vec<&str> = WarmStartStage::ALL
        .iter()
        .map(|stage| stage.name())
        .collect();
    assert_eq!(
        stages,
        [
            "dark",
            "looking",
            "asking",
            "probing",
            "admitting",
            "normal"
        ]
    );
    assert_eq!(
        (settings.discovery_timeout, settings.peer_timeout),
        (ms(500), ms(500))
    );
    assert_eq!(
        (settings.probe_timeout, settings.limited_admission_duration),
        (ms(2_000), ms(9_000))
    );
    assert_eq!((settings.has_peers, settings.max_probes), (false, 32));
}

#[test]
fn admission_rate_is_bitwise_equal_to_golden_file() {
    let common_profile = SlowStartProfile {
        initial_capacity: 0.31,
        warm_after: ms(8_900),
        overload_factor: 4.0,
    };
    let immediate_profile = SlowStartProfile {
        initial_capacity: 0.0,
        warm_after: Duration::ZERO,
        overload_factor: 1.5,
    };
    let mut table = format!(
        "connections that tell a share: {:016x}\n",
        MIN_CONNECTIONS_FOR_LOAD.to_bits()
    );
    for profile in [common_profile, immediate_profile] {
        for endpoints in [0, 1, 7] {
            for load_per_connection in [
                None,
                Some(0.03),
                Some(0.0),
                Some(f64::NAN),
                Some(9.0),
                Some(1e-9),
            ] {
                for (proxies, uptime) in
                    [(0, ms(0)), (1, ms(100)), (6, ms(4_450)), (100, ms(60_000))]
                {
                    let rate =
                        admission_rate(profile, endpoints, load_per_connection, proxies, uptime);
                    writeln!(
                        table,
                        "{endpoints} {load_per_connection:?} {proxies} {uptime:?}: {:016x}",
                        rate.to_bits()
                    )
                    .unwrap();
                }
            }
        }
    }
    assert_golden("admission_rate.txt", &table);
}

/// A generator of pseudo-random numbers (Knuth's MMIX constants) whose sequence is the same in every run.
struct PseudoRandom(u64);

impl PseudoRandom {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Endpoints 4 and 5 have the addresses of endpoints 0 and 1.
fn address(id: EndpointId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 4000 + (id % 4) as u16))
}

/// A warm start with pseudo-random inputs, and its trace so far.
struct Trace {
    now: Duration,
    warm_start: WarmStart,
    /// Endpoints with a probe in flight.
    probed: Vec<EndpointId>,
    text: String,
}

impl Trace {
    fn new(has_peers: bool) -> Trace {
        let settings = WarmStartSettings {
            has_peers,
            max_probes: 2,
            ..WarmStartSettings::default()
        };
        let now = ms(1_000);
        let warm_start = WarmStart::new(now, settings);
        let mut trace = Trace {
            now,
            warm_start,
            probed: Vec::new(),
            text: String::new(),
        };
        trace.record("begun");
        trace
    }

    /// Lets a pseudo-random time pass and feeds in one pseudo-random input.
    fn step(&mut self, random: &mut PseudoRandom) {
        let elapsed = ms([0, 0, 1, 50, 250, 900][random.below(6) as usize]);
        self.advance_time(elapsed);
        let id = random.below(u64::from(ENDPOINT_COUNT)) as EndpointId;
        match random.below(16) {
            0..=4 => {
                let source = SOURCES[random.below(4) as usize];
                let age = AGES[random.below(3) as usize];
                let list_revision = random.below(3);
                self.warm_start.report(
                    self.now,
                    EndpointReport {
                        id,
                        address: address(id),
                        source,
                        age,
                        list_revision,
                    },
                );
                self.record(&format!(
                    "word {id} {} {} rev {list_revision}",
                    source_name(source),
                    age_name(age)
                ));
            }
            5..=9 => self.end_probe(random),
            10 => {
                let ready = random.below(2) == 0;
                self.warm_start
                    .endpoint_listed(self.now, id, address(id), ready);
                self.record(&format!("discovery {id} ready={ready}"));
            }
            11 => {
                let listed: Vec<EndpointId> = (0..ENDPOINT_COUNT)
                    .filter(|_| random.below(2) == 0)
                    .collect();
                let is_cold = random.below(4) != 0;
                self.warm_start.list_completed(self.now, &listed, is_cold);
                self.record(&format!("discovery's list {listed:?} cold={is_cold}"));
            }
            12 => {
                self.warm_start.peer_queries_finished(self.now);
                self.record("peers asked");
            }
            _ => self.advance_time(ms(100 * random.below(40))),
        }
    }

    /// Ends one of the probes in flight, with or without an answer.
    fn end_probe(&mut self, random: &mut PseudoRandom) {
        if self.probed.is_empty() {
            return;
        }
        let index = random.below(self.probed.len() as u64) as usize;
        let id = self.probed.remove(index);
        let answered = random.below(3) == 0;
        self.warm_start.probe_finished(self.now, id, answered);
        self.record(&format!("answer {id} well={answered}"));
    }

    /// Advances the time, and handles each deadline that passes.
    fn advance_time(&mut self, elapsed: Duration) {
        let end = self.now + elapsed;
        while let Some(due) = self.warm_start.next_deadline().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.warm_start.handle_deadline(self.now);
            self.record("due");
        }
        self.now = end;
    }

    /// Adds an input to the trace, with its effects and the visible state after it.
    fn record(&mut self, input: &str) {
        writeln!(self.text, "{} ms {input}", self.now.as_millis()).unwrap();
        let effects: Vec<WarmStartEffect> = self.warm_start.drain_effects().collect();
        for effect in &effects {
            writeln!(self.text, "  {}", effect_line(effect)).unwrap();
            if let WarmStartEffect::Probe(id) = effect {
                self.probed.push(*id);
            }
        }
        let candidates = self.warm_start.candidates();
        let states: Vec<&str> = (0..ENDPOINT_COUNT)
            .map(|id| state_name(candidates.state(id)))
            .collect();
        let sources: Vec<String> = SOURCES
            .iter()
            .map(|source| counts_text(candidates.source_counts(*source)))
            .collect();
        let stage = self.warm_start.stage().name();
        let since = self.warm_start.stage_since().as_millis();
        let due = self.warm_start.next_deadline().map(|due| due.as_millis());
        let (usable, dropped) = (candidates.usable_count(), candidates.dropped_count());
        let (states, sources) = (states.join(","), sources.join(""));
        writeln!(self.text, "  {stage} since {since} due {due:?}; {states}; {sources}; {usable} usable, {dropped} dropped").unwrap();
    }
}

#[test_case("starts_alone.txt", false)]
#[test_case("starts_with_peers.txt", true)]
fn warm_starts_match_golden_traces(name: &str, has_peers: bool) {
    let mut text = String::new();
    for seed in 0..6 {
        let mut random = PseudoRandom(seed);
        let mut trace = Trace::new(has_peers);
        for _ in 0..40 {
            trace.step(&mut random);
        }
        writeln!(text, "seed {seed}\n{}", trace.text).unwrap();
    }
    assert_golden(name, &text);
}

/// Only the checksum of these longer traces of many seeds is kept.
#[test]
fn many_warm_starts_match_golden_checksum() {
    let mut checksum: u64 = 0xcbf2_9ce4_8422_2325;
    let mut lines = 0;
    for seed in 0..400 {
        let mut random = PseudoRandom(1_000 + seed);
        let mut trace = Trace::new(seed % 2 == 0);
        for _ in 0..120 {
            trace.step(&mut random);
        }
        lines += trace.text.lines().count();
        // FNV-1a.
        for byte in trace.text.bytes() {
            checksum = (checksum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    assert_eq!(
        format!("{lines} lines, {checksum:016x}"),
        "90100 lines, faf5bdbfdf1c67f9"
    );
}
