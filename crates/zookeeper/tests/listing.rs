//! The reported state of servers whose nodes vanish, return, change or can't be read.

use asterramp_zookeeper::listing::{
    ListedChange, ListedNode, ListedState, ListingSettings, ListingWarning, NodeListing,
};
use std::time::Duration;
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn node(uid: &str) -> ListedNode {
    ListedNode {
        uid: uid.into(),
        address: "127.0.0.1:9".into(),
        zone: "a".into(),
        weight: 1.0,
        started_at: Some(ms(5)),
        draining: false,
    }
}

/// A listing, with the changes and warnings that it has reported.
struct ListingHarness {
    listing: NodeListing,
    changes: Vec<ListedChange>,
    warnings: Vec<ListingWarning>,
}

impl ListingHarness {
    /// A listing of servers a, b and c, which have been reported as ready.
    fn new() -> ListingHarness {
        let mut harness = ListingHarness {
            listing: NodeListing::new(ListingSettings::default()),
            changes: Vec::new(),
            warnings: Vec::new(),
        };
        harness.replace_all(0, &["a", "b", "c"].map(|uid| (uid, Some(node(uid)))));
        assert_eq!(harness.take_reports(), ["a ready", "b ready", "c ready"]);
        harness
    }

    fn replace_all(&mut self, at_ms: u64, children: &[(&str, Option<ListedNode>)]) {
        let children: Vec<(String, Option<ListedNode>)> = children
            .iter()
            .map(|(name, node)| (name.to_string(), node.clone()))
            .collect();
        self.listing
            .replace_all(ms(at_ms), &children, &mut self.changes, &mut self.warnings);
    }

    fn node_changed(&mut self, at_ms: u64, name: &str, node: Option<ListedNode>) {
        self.listing
            .node_changed(ms(at_ms), name, node, &mut self.changes, &mut self.warnings);
    }

    fn node_deleted(&mut self, at_ms: u64, name: &str) {
        self.listing
            .node_deleted(ms(at_ms), name, &mut self.changes, &mut self.warnings);
    }

    fn tick(&mut self, at_ms: u64) {
        self.listing
            .tick(ms(at_ms), &mut self.changes, &mut self.warnings);
    }

    /// The changes since the last call, each as the server's name and state.
    fn take_reports(&mut self) -> Vec<String> {
        let changes = std::mem::take(&mut self.changes);
        let state_name = |state| match state {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        };
        changes
            .iter()
            .map(|change| format!("{} {}", change.uid, state_name(change.state)))
            .collect()
    }
}

#[test]
fn an_unavailable_store_changes_nothing_and_the_lists_age_grows() {
    let mut harness = ListingHarness::new();
    assert_eq!(harness.listing.age(ms(900)), Some(ms(0)));
    harness.listing.store_unavailable(ms(1_000));
    harness.listing.store_unavailable(ms(1_500));
    harness.tick(60_000);
    assert!(
        harness.take_reports().is_empty(),
        "an outage changes no state"
    );
    assert_eq!(harness.listing.age(ms(61_000)), Some(ms(60_000)));
    // After the outage the store lists only one node: the other servers are reported gone.
    harness.replace_all(61_000, &[("a", Some(node("a")))]);
    assert_eq!(
        (harness.take_reports(), harness.listing.age(ms(61_000))),
        (vec!["b gone".into(), "c gone".into()], Some(ms(0)))
    );
}

#[test]
fn a_server_is_gone_once_its_node_is_deleted_and_the_loss_of_all_nodes_gives_a_warning() {
    let mut harness = ListingHarness::new();
    harness.node_deleted(100, "b");
    assert_eq!(harness.take_reports(), ["b gone"]);
    harness.node_deleted(100, "b");
    assert!(harness.take_reports().is_empty());
    harness.replace_all(200, &[]);
    assert_eq!(
        (harness.take_reports(), harness.warnings),
        (
            vec!["a gone".into(), "c gone".into()],
            vec![ListingWarning::AllGone]
        )
    );
}

#[test_case(Some(ms(5)), false, "b ready"; "the same process")]
#[test_case(Some(ms(900)), false, "b ready"; "a newer process, which is in slow start")]
#[test_case(Some(ms(5)), true, "b draining"; "draining")]
fn a_node_back_within_a_second_is_reported_gone_and_then_back(
    started_at: Option<Duration>,
    draining: bool,
    expected_report: &str,
) {
    let mut harness = ListingHarness::new();
    harness.node_deleted(100, "b");
    harness.node_changed(
        700,
        "b2",
        Some(ListedNode {
            started_at,
            draining,
            ..node("b")
        }),
    );
    assert_eq!(harness.take_reports(), ["b gone", expected_report]);
    let start_times: Vec<Option<Duration>> = harness
        .changes
        .iter()
        .filter_map(|change| change.node.as_ref())
        .map(|node| node.started_at)
        .collect();
    assert!(start_times.iter().all(|time| *time == started_at));
}

#[test]
fn unreadable_data_keeps_the_state_of_a_known_server_and_adds_no_new_one() {
    let mut harness = ListingHarness::new();
    harness.node_changed(100, "b", None);
    harness.node_changed(200, "b", None);
    harness.replace_all(
        300,
        &[
            ("a", Some(node("a"))),
            ("b", None),
            ("c", Some(node("c"))),
            ("odd", None),
        ],
    );
    assert!(harness.take_reports().is_empty());
    assert_eq!(
        harness.warnings,
        [
            ListingWarning::Unreadable("b".into()),
            ListingWarning::Unreadable("odd".into())
        ]
    );
    harness.node_deleted(400, "b");
    assert_eq!(
        harness.take_reports(),
        ["b gone"],
        "its node is deleted, though its data was unreadable"
    );
}

#[test]
fn the_newer_of_two_nodes_of_a_server_is_used_and_it_is_listed_until_both_are_deleted() {
    let mut harness = ListingHarness::new();
    let newer = ListedNode {
        started_at: Some(ms(900)),
        address: "127.0.0.1:10".into(),
        ..node("b")
    };
    harness.node_changed(1_000, "b-2", Some(newer.clone()));
    assert_eq!(
        harness.changes,
        [ListedChange {
            uid: "b".into(),
            state: ListedState::Ready,
            node: Some(newer)
        }]
    );
    assert_eq!(
        (harness.take_reports().len(), &harness.warnings[..]),
        (1, &[ListingWarning::DuplicateUid("b".into())][..])
    );
    harness.node_deleted(2_000, "b");
    assert!(
        harness.take_reports().is_empty(),
        "the old process's node expires late"
    );
    harness.node_deleted(3_000, "b-2");
    assert_eq!(harness.take_reports(), ["b gone"]);
}

#[test]
fn a_flapping_server_is_reported_gone_until_its_node_has_existed_for_the_suppression_time() {
    let mut harness = ListingHarness::new();
    for round in 1..=3 {
        harness.node_deleted(round * 1_000, "b");
        harness.node_changed(round * 1_000 + 500, "b", Some(node("b")));
    }
    assert_eq!(
        harness.take_reports(),
        ["b gone", "b ready", "b gone", "b ready", "b gone"]
    );
    assert_eq!(harness.warnings, [ListingWarning::Flapping("b".into())]);
    harness.tick(8_000);
    assert!(harness.take_reports().is_empty());
    harness.tick(8_600);
    assert_eq!(
        harness.take_reports(),
        ["b ready"],
        "its node has existed for five seconds"
    );
}

#[test]
fn a_change_of_a_nodes_data_is_reported_once() {
    let mut harness = ListingHarness::new();
    for _ in 0..2 {
        harness.node_changed(
            100,
            "a",
            Some(ListedNode {
                weight: 2.0,
                ..node("a")
            }),
        );
    }
    assert_eq!(harness.take_reports(), ["a ready"]);
    harness.node_changed(
        200,
        "a",
        Some(ListedNode {
            draining: true,
            ..node("a")
        }),
    );
    harness.node_changed(300, "a", Some(node("a")));
    assert_eq!(harness.take_reports(), ["a draining", "a ready"]);
}
