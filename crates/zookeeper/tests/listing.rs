//! What vanished, returned, changed and unreadable nodes mean for their servers.

use asterramp_zookeeper::listing::{
    ListedChange, ListedNode, ListedState, ListingSettings, ListingWarning, NodeListing,
};
use std::time::Duration;
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
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

struct ListingHarness {
    listing: NodeListing,
    changes: Vec<ListedChange>,
    remarks: Vec<ListingWarning>,
}

impl ListingHarness {
    /// With servers a, b and c, which were reported.
    fn new() -> ListingHarness {
        let mut harness = ListingHarness {
            listing: NodeListing::new(ListingSettings::default()),
            changes: Vec::new(),
            remarks: Vec::new(),
        };
        harness.whole(0, &["a", "b", "c"].map(|uid| (uid, Some(node(uid)))));
        assert_eq!(harness.take_reports(), ["a ready", "b ready", "c ready"]);
        harness
    }

    fn whole(&mut self, at: u64, children: &[(&str, Option<ListedNode>)]) {
        let children: Vec<(String, Option<ListedNode>)> = children
            .iter()
            .map(|(name, node)| (name.to_string(), node.clone()))
            .collect();
        self.listing
            .replace_all(ms(at), &children, &mut self.changes, &mut self.remarks);
    }

    fn changed(&mut self, at: u64, name: &str, node: Option<ListedNode>) {
        self.listing
            .node_changed(ms(at), name, node, &mut self.changes, &mut self.remarks);
    }

    fn deleted(&mut self, at: u64, name: &str) {
        self.listing
            .node_deleted(ms(at), name, &mut self.changes, &mut self.remarks);
    }

    fn tick(&mut self, at: u64) {
        self.listing
            .tick(ms(at), &mut self.changes, &mut self.remarks);
    }

    fn take_reports(&mut self) -> Vec<String> {
        let changes = std::mem::take(&mut self.changes);
        let word = |standing| match standing {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        };
        changes
            .iter()
            .map(|t| format!("{} {}", t.uid, word(t.state)))
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
    assert!(harness.take_reports().is_empty(), "an outage moves nobody");
    assert_eq!(harness.listing.age(ms(61_000)), Some(ms(60_000)));
    // It comes back with half its nodes gone: those are gone, since it said so.
    harness.whole(61_000, &[("a", Some(node("a")))]);
    assert_eq!(
        (harness.take_reports(), harness.listing.age(ms(61_000))),
        (vec!["b gone".into(), "c gone".into()], Some(ms(0)))
    );
}

#[test]
fn a_deleted_node_is_gone_at_once_and_the_loss_of_all_is_remarked() {
    let mut harness = ListingHarness::new();
    harness.deleted(100, "b");
    assert_eq!(harness.take_reports(), ["b gone"]);
    harness.deleted(100, "b");
    assert!(harness.take_reports().is_empty());
    harness.whole(200, &[]);
    assert_eq!(
        (harness.take_reports(), harness.remarks),
        (
            vec!["a gone".into(), "c gone".into()],
            vec![ListingWarning::AllGone]
        )
    );
}

#[test_case(Some(ms(5)), false, "b ready"; "the same process")]
#[test_case(Some(ms(900)), false, "b ready"; "a newer one, which is warming up")]
#[test_case(Some(ms(5)), true, "b draining"; "draining")]
fn a_node_back_within_a_second_is_reported_gone_and_then_back(
    boot: Option<Duration>,
    draining: bool,
    back: &str,
) {
    let mut harness = ListingHarness::new();
    harness.deleted(100, "b");
    harness.changed(
        700,
        "b2",
        Some(ListedNode {
            started_at: boot,
            draining,
            ..node("b")
        }),
    );
    assert_eq!(harness.take_reports(), ["b gone", back]);
    let boots: Vec<Option<Duration>> = harness
        .changes
        .iter()
        .filter_map(|t| t.node.as_ref())
        .map(|n| n.started_at)
        .collect();
    assert!(boots.iter().all(|b| *b == boot));
}

#[test]
fn unreadable_data_leaves_a_server_as_it_was_and_names_no_new_one() {
    let mut harness = ListingHarness::new();
    harness.changed(100, "b", None);
    harness.changed(200, "b", None);
    harness.whole(
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
        harness.remarks,
        [
            ListingWarning::Unreadable("b".into()),
            ListingWarning::Unreadable("odd".into())
        ]
    );
    harness.deleted(400, "b");
    assert_eq!(
        harness.take_reports(),
        ["b gone"],
        "its node went, read or not"
    );
}

#[test]
fn of_two_nodes_of_one_server_the_newer_counts_and_it_stays_while_one_is_there() {
    let mut harness = ListingHarness::new();
    let newer = ListedNode {
        started_at: Some(ms(900)),
        address: "127.0.0.1:10".into(),
        ..node("b")
    };
    harness.changed(1_000, "b-2", Some(newer.clone()));
    assert_eq!(
        harness.changes,
        [ListedChange {
            uid: "b".into(),
            state: ListedState::Ready,
            node: Some(newer)
        }]
    );
    assert_eq!(
        (harness.take_reports().len(), &harness.remarks[..]),
        (1, &[ListingWarning::DuplicateUid("b".into())][..])
    );
    harness.deleted(2_000, "b");
    assert!(
        harness.take_reports().is_empty(),
        "the old process's node lapses late"
    );
    harness.deleted(3_000, "b-2");
    assert_eq!(harness.take_reports(), ["b gone"]);
}

#[test]
fn a_flapping_server_is_reported_gone_until_it_stays() {
    let mut harness = ListingHarness::new();
    for round in 1..=3 {
        harness.deleted(round * 1_000, "b");
        harness.changed(round * 1_000 + 500, "b", Some(node("b")));
    }
    assert_eq!(
        harness.take_reports(),
        ["b gone", "b ready", "b gone", "b ready", "b gone"]
    );
    assert_eq!(harness.remarks, [ListingWarning::Flapping("b".into())]);
    harness.tick(8_000);
    assert!(harness.take_reports().is_empty());
    harness.tick(8_600);
    assert_eq!(
        harness.take_reports(),
        ["b ready"],
        "it stayed for five seconds"
    );
}

#[test]
fn a_change_of_a_nodes_data_is_reported_once() {
    let mut harness = ListingHarness::new();
    for _ in 0..2 {
        harness.changed(
            100,
            "a",
            Some(ListedNode {
                weight: 2.0,
                ..node("a")
            }),
        );
    }
    assert_eq!(harness.take_reports(), ["a ready"]);
    harness.changed(
        200,
        "a",
        Some(ListedNode {
            draining: true,
            ..node("a")
        }),
    );
    harness.changed(300, "a", Some(node("a")));
    assert_eq!(harness.take_reports(), ["a draining", "a ready"]);
}
