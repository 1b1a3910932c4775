//! What vanished, returned, changed and unreadable nodes come to.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_zookeeper::listing::{
    ListedChange, ListedNode, ListedState, ListingRemark, ListingSettings, NodeListing,
};
use std::time::Duration;
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn node(uid: &str) -> ListedNode {
    let (address, place) = ("127.0.0.1:9".into(), "a".into());
    ListedNode {
        uid: uid.into(),
        address,
        zone: place,
        weight: 1.0,
        started_at: Some(ms(5)),
        draining: false,
    }
}

struct Played {
    listing: NodeListing,
    told: Vec<ListedChange>,
    remarks: Vec<ListingRemark>,
}

impl Played {
    /// With hosts a, b and c, told.
    fn new() -> Played {
        let mut played = Played {
            listing: NodeListing::new(ListingSettings::default()),
            told: Vec::new(),
            remarks: Vec::new(),
        };
        played.whole(0, &["a", "b", "c"].map(|uid| (uid, Some(node(uid)))));
        assert_eq!(played.took(), ["a ready", "b ready", "c ready"]);
        played
    }

    fn whole(&mut self, at: u64, children: &[(&str, Option<ListedNode>)]) {
        let children: Vec<(String, Option<ListedNode>)> = children
            .iter()
            .map(|(name, node)| (name.to_string(), node.clone()))
            .collect();
        self.listing
            .replace_all(ms(at), &children, &mut self.told, &mut self.remarks);
    }

    fn changed(&mut self, at: u64, name: &str, node: Option<ListedNode>) {
        self.listing
            .node_changed(ms(at), name, node, &mut self.told, &mut self.remarks);
    }

    fn deleted(&mut self, at: u64, name: &str) {
        self.listing
            .node_deleted(ms(at), name, &mut self.told, &mut self.remarks);
    }

    fn tick(&mut self, at: u64) {
        self.listing.tick(ms(at), &mut self.told, &mut self.remarks);
    }

    fn took(&mut self) -> Vec<String> {
        let told = std::mem::take(&mut self.told);
        let word = |standing| match standing {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        };
        told.iter()
            .map(|t| format!("{} {}", t.uid, word(t.state)))
            .collect()
    }
}

#[test]
fn a_store_that_cannot_be_heard_changes_nothing_and_its_age_is_shown() {
    let mut played = Played::new();
    assert_eq!(played.listing.age(ms(900)), Some(ms(0)));
    played.listing.store_unavailable(ms(1_000));
    played.listing.store_unavailable(ms(1_500));
    played.tick(60_000);
    assert!(played.took().is_empty(), "an outage moves nobody");
    assert_eq!(played.listing.age(ms(61_000)), Some(ms(60_000)));
    // It comes back with half its nodes gone: those are gone, since it said so.
    played.whole(61_000, &[("a", Some(node("a")))]);
    assert_eq!(
        (played.took(), played.listing.age(ms(61_000))),
        (vec!["b gone".into(), "c gone".into()], Some(ms(0)))
    );
}

#[test]
fn a_deleted_node_is_gone_at_once_and_all_at_once_is_remarked() {
    let mut played = Played::new();
    played.deleted(100, "b");
    assert_eq!(played.took(), ["b gone"]);
    played.deleted(100, "b");
    assert!(played.took().is_empty());
    played.whole(200, &[]);
    assert_eq!(
        (played.took(), played.remarks),
        (
            vec!["a gone".into(), "c gone".into()],
            vec![ListingRemark::AllGone]
        )
    );
}

#[test_case(Some(ms(5)), false, "b ready"; "the same process")]
#[test_case(Some(ms(900)), false, "b ready"; "a newer one, which is cold")]
#[test_case(Some(ms(5)), true, "b draining"; "draining")]
fn a_node_back_within_a_second_is_told_as_gone_and_back(
    boot: Option<Duration>,
    draining: bool,
    back: &str,
) {
    let mut played = Played::new();
    played.deleted(100, "b");
    played.changed(
        700,
        "b2",
        Some(ListedNode {
            started_at: boot,
            draining,
            ..node("b")
        }),
    );
    assert_eq!(played.took(), ["b gone", back]);
    let boots: Vec<Option<Duration>> = played
        .told
        .iter()
        .filter_map(|t| t.node.as_ref())
        .map(|n| n.started_at)
        .collect();
    assert!(boots.iter().all(|b| *b == boot));
}

#[test]
fn data_that_cannot_be_read_leaves_a_host_as_it_was_and_names_nobody_new() {
    let mut played = Played::new();
    played.changed(100, "b", None);
    played.changed(200, "b", None);
    played.whole(
        300,
        &[
            ("a", Some(node("a"))),
            ("b", None),
            ("c", Some(node("c"))),
            ("odd", None),
        ],
    );
    assert!(played.took().is_empty());
    assert_eq!(
        played.remarks,
        [
            ListingRemark::Unreadable("b".into()),
            ListingRemark::Unreadable("odd".into())
        ]
    );
    played.deleted(400, "b");
    assert_eq!(played.took(), ["b gone"], "its node went, read or not");
}

#[test]
fn of_two_nodes_of_one_host_the_newer_process_speaks_and_it_stays_while_one_is_there() {
    let mut played = Played::new();
    let newer = ListedNode {
        started_at: Some(ms(900)),
        address: "127.0.0.1:10".into(),
        ..node("b")
    };
    played.changed(1_000, "b-2", Some(newer.clone()));
    assert_eq!(
        played.told,
        [ListedChange {
            uid: "b".into(),
            state: ListedState::Ready,
            node: Some(newer)
        }]
    );
    assert_eq!(
        (played.took().len(), &played.remarks[..]),
        (1, &[ListingRemark::DuplicateUid("b".into())][..])
    );
    played.deleted(2_000, "b");
    assert!(
        played.took().is_empty(),
        "the old process's node lapses late"
    );
    played.deleted(3_000, "b-2");
    assert_eq!(played.took(), ["b gone"]);
}

#[test]
fn a_host_that_flaps_is_held_as_gone_until_it_stays() {
    let mut played = Played::new();
    for round in 1..=3 {
        played.deleted(round * 1_000, "b");
        played.changed(round * 1_000 + 500, "b", Some(node("b")));
    }
    assert_eq!(
        played.took(),
        ["b gone", "b ready", "b gone", "b ready", "b gone"]
    );
    assert_eq!(played.remarks, [ListingRemark::Flapping("b".into())]);
    played.tick(8_000);
    assert!(played.took().is_empty());
    played.tick(8_600);
    assert_eq!(played.took(), ["b ready"], "it stayed for five seconds");
}

#[test]
fn a_change_of_what_a_node_says_is_told_once() {
    let mut played = Played::new();
    for _ in 0..2 {
        played.changed(
            100,
            "a",
            Some(ListedNode {
                weight: 2.0,
                ..node("a")
            }),
        );
    }
    assert_eq!(played.took(), ["a ready"]);
    played.changed(
        200,
        "a",
        Some(ListedNode {
            draining: true,
            ..node("a")
        }),
    );
    played.changed(300, "a", Some(node("a")));
    assert_eq!(played.took(), ["a draining", "a ready"]);
}
