//! Warm starts played by the build of commit 17cc2a9, kept as test data: the present code answers the same inputs with
//! the same effects, stages, deadlines and texts. The traces under `golden/` never change.

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
const HOSTS: EndpointId = 6;

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
fn the_trust_in_each_source_by_age_is_as_before() {
    let mut table = String::new();
    for source in SOURCES {
        for age in AGES {
            let worth = match candidate_policy(source, age) {
                CandidatePolicy::Use => "usable".into(),
                CandidatePolicy::Probe {
                    forget_after: Some(span),
                } => format!("probed for {} s", span.as_secs()),
                CandidatePolicy::Probe { forget_after: None } => "probed without end".into(),
                CandidatePolicy::Ignore => "ignored".into(),
            };
            writeln!(table, "{} {}: {worth}", source_name(source), age_name(age)).unwrap();
        }
    }
    assert_golden("trust.txt", &table);
}

#[test]
fn ages_are_judged_as_before() {
    let now = Duration::from_secs(1_700_000_000);
    let mut table = format!("no time: {}\n", age_name(information_age(now, None)));
    let ahead = [86_400_000, 5_001, 5_000, 1];
    let behind = [
        0, 299_999, 300_000, 300_001, 86_399_999, 86_400_000, 86_400_001,
    ];
    for span in ahead {
        writeln!(
            table,
            "{span} ms ahead: {}",
            age_name(information_age(now, Some(now + ms(span))))
        )
        .unwrap();
    }
    for span in behind {
        writeln!(
            table,
            "{span} ms ago: {}",
            age_name(information_age(now, Some(now - ms(span))))
        )
        .unwrap();
    }
    assert_golden("ages.txt", &table);
}

#[test]
fn the_defaults_and_stage_names_are_as_before() {
    let terms = WarmStartSettings::default();
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
        (terms.discovery_timeout, terms.peer_timeout),
        (ms(500), ms(500))
    );
    assert_eq!(
        (terms.probe_timeout, terms.limited_admission_duration),
        (ms(2_000), ms(9_000))
    );
    assert_eq!((terms.has_peers, terms.max_probes), (false, 32));
}

#[test]
fn the_rate_of_admission_is_bit_for_bit_as_before() {
    let cold = SlowStartProfile {
        initial_capacity: 0.31,
        warm_after: ms(8_900),
        overload_factor: 4.0,
    };
    let zero = SlowStartProfile {
        initial_capacity: 0.0,
        warm_after: Duration::ZERO,
        overload_factor: 1.5,
    };
    let mut table = format!(
        "connections that tell a share: {:016x}\n",
        MIN_CONNECTIONS_FOR_LOAD.to_bits()
    );
    for cold in [cold, zero] {
        for hosts in [0, 1, 7] {
            for unit in [
                None,
                Some(0.03),
                Some(0.0),
                Some(f64::NAN),
                Some(9.0),
                Some(1e-9),
            ] {
                for (proxies, up) in [(0, ms(0)), (1, ms(100)), (6, ms(4_450)), (100, ms(60_000))] {
                    let pace = admission_rate(cold, hosts, unit, proxies, up);
                    writeln!(
                        table,
                        "{hosts} {unit:?} {proxies} {up:?}: {:016x}",
                        pace.to_bits()
                    )
                    .unwrap();
                }
            }
        }
    }
    assert_golden("admission_rate.txt", &table);
}

/// A fixed sequence of pseudo-random numbers (Knuth's MMIX constants), so that a trace can be played again.
struct Sequence(u64);

impl Sequence {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Hosts 4 and 5 share the addresses of hosts 0 and 1.
fn address(id: EndpointId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 4000 + (id % 4) as u16))
}

struct Trace {
    now: Duration,
    start: WarmStart,
    probed: Vec<EndpointId>,
    text: String,
}

impl Trace {
    fn new(others: bool) -> Trace {
        let terms = WarmStartSettings {
            has_peers: others,
            max_probes: 2,
            ..WarmStartSettings::default()
        };
        let now = ms(1_000);
        let start = WarmStart::new(now, terms);
        let mut trace = Trace {
            now,
            start,
            probed: Vec::new(),
            text: String::new(),
        };
        trace.note("begun");
        trace
    }

    /// Plays one pseudo-random input; deadlines are served as they come.
    fn step(&mut self, sequence: &mut Sequence) {
        let span = ms([0, 0, 1, 50, 250, 900][sequence.below(6) as usize]);
        self.pass(span);
        let id = sequence.below(u64::from(HOSTS)) as EndpointId;
        match sequence.below(16) {
            0..=4 => {
                let source = SOURCES[sequence.below(4) as usize];
                let age = AGES[sequence.below(3) as usize];
                let rev = sequence.below(3);
                self.start.report(
                    self.now,
                    EndpointReport {
                        id,
                        address: address(id),
                        source,
                        age,
                        list_revision: rev,
                    },
                );
                self.note(&format!(
                    "word {id} {} {} rev {rev}",
                    source_name(source),
                    age_name(age)
                ));
            }
            5..=9 => self.answer(sequence),
            10 => {
                let ready = sequence.below(2) == 0;
                self.start.endpoint_listed(self.now, id, address(id), ready);
                self.note(&format!("discovery {id} ready={ready}"));
            }
            11 => {
                let listed: Vec<EndpointId> =
                    (0..HOSTS).filter(|_| sequence.below(2) == 0).collect();
                let cold = sequence.below(4) != 0;
                self.start.list_completed(self.now, &listed, cold);
                self.note(&format!("discovery's list {listed:?} cold={cold}"));
            }
            12 => {
                self.start.peer_queries_finished(self.now);
                self.note("peers asked");
            }
            _ => self.pass(ms(100 * sequence.below(40))),
        }
    }

    fn answer(&mut self, sequence: &mut Sequence) {
        if self.probed.is_empty() {
            return;
        }
        let nth = sequence.below(self.probed.len() as u64) as usize;
        let id = self.probed.remove(nth);
        let well = sequence.below(3) == 0;
        self.start.probe_finished(self.now, id, well);
        self.note(&format!("answer {id} well={well}"));
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(due) = self.start.next_deadline().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.start.handle_deadline(self.now);
            self.note("due");
        }
        self.now = end;
    }

    /// Writes down an input, its effects, and what can be seen of the start after it.
    fn note(&mut self, input: &str) {
        writeln!(self.text, "{} ms {input}", self.now.as_millis()).unwrap();
        let effects: Vec<WarmStartEffect> = self.start.drain_effects().collect();
        for effect in &effects {
            writeln!(self.text, "  {}", effect_line(effect)).unwrap();
            if let WarmStartEffect::Probe(id) = effect {
                self.probed.push(*id);
            }
        }
        let hosts = self.start.candidates();
        let states: Vec<&str> = (0..HOSTS).map(|id| state_name(hosts.state(id))).collect();
        let sources: Vec<String> = SOURCES
            .iter()
            .map(|source| counts_text(hosts.source_counts(*source)))
            .collect();
        let stage = self.start.stage().name();
        let since = self.start.stage_since().as_millis();
        let due = self.start.next_deadline().map(|due| due.as_millis());
        let (usable, dropped) = (hosts.usable_count(), hosts.dropped_count());
        let (states, sources) = (states.join(","), sources.join(""));
        writeln!(self.text, "  {stage} since {since} due {due:?}; {states}; {sources}; {usable} usable, {dropped} dropped").unwrap();
    }
}

#[test_case("starts_alone.txt", false)]
#[test_case("starts_with_peers.txt", true)]
fn starts_go_as_before(name: &str, others: bool) {
    let mut text = String::new();
    for seed in 0..6 {
        let mut sequence = Sequence(seed);
        let mut trace = Trace::new(others);
        for _ in 0..40 {
            trace.step(&mut sequence);
        }
        writeln!(text, "seed {seed}\n{}", trace.text).unwrap();
    }
    assert_golden(name, &text);
}

/// A longer play of many seeds is kept by its checksum alone.
#[test]
fn many_starts_go_as_before() {
    let mut checksum: u64 = 0xcbf2_9ce4_8422_2325;
    let mut lines = 0;
    for seed in 0..400 {
        let mut sequence = Sequence(1_000 + seed);
        let mut trace = Trace::new(seed % 2 == 0);
        for _ in 0..120 {
            trace.step(&mut sequence);
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
