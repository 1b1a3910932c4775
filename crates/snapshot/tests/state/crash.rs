//! Power fails at every step of a save, with every lawful fate of what was not synced; what is read then is the state
//! before or the new one, whole, and the new one once the save has returned.

use crate::help::{Disk, TORN, snapshot};
use asterramp_snapshot::SnapshotStore;
use test_case::test_case;

/// All disks that there may be after power failed at `steps` of a save of `rev`, and whether the save had returned.
fn cut(disk: &Disk, rev: u64, steps: usize) -> (bool, Vec<Disk>) {
    let mut store = SnapshotStore::new(disk.that_stops(steps));
    store.load(None);
    let saved = store.save(&mut snapshot(rev)).is_ok();
    let left = store.files().clone();
    let fates = (0..1 << left.open()).flat_map(|kept| TORN.map(|torn| left.after(kept, torn)));
    (saved, fates.collect())
}

fn rev(disk: &Disk) -> Option<u64> {
    SnapshotStore::new(disk.clone())
        .load(None)
        .snapshot
        .map(|found| found.rev)
}

/// Saves of 1, 2, 3 ... one after the other, each cut at every step; what is left of the cut is where the next begins. What is
/// wrong, and how many disks were read.
fn play(disk: &Disk, before: Option<u64>, deep: u64) -> Result<usize, String> {
    let mut read = 0;
    let next = before.unwrap_or(0) + 1;
    for steps in 0..=4 {
        let (saved, fates) = cut(disk, next, steps);
        for left in fates {
            read += 1;
            let found = rev(&left);
            if found != Some(next) && (saved || found != before) {
                return Err(format!(
                    "cut at step {steps} of {next}: {found:?} was read, {before:?} stood before"
                ));
            }
            if deep > 1 {
                read += play(&left, found, deep - 1)?;
            }
        }
    }
    Ok(read)
}

#[test]
fn a_save_is_there_whole_or_not_at_all_also_when_power_fails_again() {
    let read = play(&Disk::default(), None, 3).unwrap();
    assert!(read > 10_000, "{read} disks were read");
}

#[test_case(&["sync"]; "the part is not synced")]
#[test_case(&["sync_folder"]; "the folder is not synced")]
#[test_case(&["rename"]; "nothing takes the older one's place")]
fn a_step_left_out_is_found(forgets: &'static [&'static str]) {
    let mut disk = Disk::default();
    disk.forgets = forgets;
    assert!(play(&disk, None, 2).is_err());
}

#[test]
fn without_the_second_file_a_bad_block_takes_all() {
    let mut store = SnapshotStore::new(Disk::default());
    store.save(&mut snapshot(1)).unwrap();
    store.save(&mut snapshot(2)).unwrap();
    let mut disk = store.files().clone();
    disk.put("state.1", b"rubbish");
    assert_eq!(rev(&disk), Some(1));
    disk.put("state.0", b"rubbish");
    assert_eq!(rev(&disk), None);
}
