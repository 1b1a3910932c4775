//! Simulates a loss of power at every step of a save, with every outcome that POSIX allows for unsynced data. A load
//! must then return the previous snapshot or the new one, complete, and the new one if the save had returned.

use crate::simulated_disk::{Disk, UNSYNCED_OUTCOMES, snapshot};
use asterramp_snapshot::SnapshotStore;
use test_case::test_case;

/// Disk operations of one save.
const STEPS_PER_SAVE: usize = 4;

/// Whether the save returned although power fails after `steps` disk operations, and all disks that may be left.
fn disks_after_power_loss(disk: &Disk, list_revision: u64, steps: usize) -> (bool, Vec<Disk>) {
    let mut store = SnapshotStore::new(disk.with_power_for(steps));
    store.load(None);
    let saved = store.save(&mut snapshot(list_revision)).is_ok();
    let failed_disk = store.files_mut().clone();
    let disks = (0..1 << failed_disk.pending_changes()).flat_map(|kept| {
        UNSYNCED_OUTCOMES.map(|outcome| failed_disk.after_power_loss(kept, outcome))
    });
    (saved, disks.collect())
}

fn list_revision(disk: &Disk) -> Option<u64> {
    let loaded = SnapshotStore::new(disk.clone()).load(None);
    loaded.snapshot.map(|snapshot| snapshot.list_revision)
}

/// A revision that must not be loaded after a loss of power.
#[derive(Debug)]
#[allow(dead_code)] // The fields are printed when a test fails.
struct WrongRevision {
    /// Disk operations until power was lost.
    steps: usize,
    /// Revision whose save was interrupted.
    saving: u64,
    /// Revision on disk before.
    before: Option<u64>,
    /// Revision that was loaded.
    loaded: Option<u64>,
}

/// Saves the revision after `before`, with a loss of power at every step, and checks every disk that may be left. Then
/// does the same for the next revision on each of these disks, for `saves` revisions in total. Returns the number of
/// disks checked.
fn explore(disk: &Disk, before: Option<u64>, saves: u64) -> Result<usize, WrongRevision> {
    let mut disks_checked = 0;
    let next = before.unwrap_or(0) + 1;
    for steps in 0..=STEPS_PER_SAVE {
        let (saved, disks) = disks_after_power_loss(disk, next, steps);
        for disk_left in disks {
            disks_checked += 1;
            let loaded = list_revision(&disk_left);
            if loaded != Some(next) && (saved || loaded != before) {
                return Err(WrongRevision {
                    steps,
                    saving: next,
                    before,
                    loaded,
                });
            }
            if saves > 1 {
                disks_checked += explore(&disk_left, loaded, saves - 1)?;
            }
        }
    }
    Ok(disks_checked)
}

#[test]
fn a_save_is_complete_or_absent_even_after_repeated_power_losses() {
    let disks_checked = explore(&Disk::default(), None, 3).unwrap();
    assert!(disks_checked > 10_000, "{disks_checked} disks were checked");
}

#[test_case(&["sync"]; "the temporary file is not synced")]
#[test_case(&["sync_directory"]; "the directory is not synced")]
#[test_case(&["rename"]; "the temporary file is not renamed")]
fn a_skipped_step_is_detected(skipped_steps: &'static [&'static str]) {
    let mut disk = Disk::default();
    disk.skipped_steps = skipped_steps;
    assert!(explore(&disk, None, 2).is_err());
}

#[test]
fn the_other_generation_is_loaded_if_the_newest_is_damaged() {
    let mut store = SnapshotStore::new(Disk::default());
    store.save(&mut snapshot(1)).unwrap();
    store.save(&mut snapshot(2)).unwrap();
    let mut disk = store.files_mut().clone();
    disk.put("state.1", b"damaged");
    assert_eq!(list_revision(&disk), Some(1));
    disk.put("state.0", b"damaged");
    assert_eq!(list_revision(&disk), None);
}
