//! The proxy's slot map, deadlines and read buffer.

use asterramp_proxy::transport::{Deadlines, ReadBuffer, SlotMap};
use std::time::Duration;

#[test]
fn a_reused_slot_is_not_found_by_its_previous_key() {
    let mut slots = SlotMap::default();
    let first = slots.insert("first");
    slots.remove(first);
    let second = slots.insert("second");
    assert_eq!((first.slot, slots.get(first)), (second.slot, None));
    assert_eq!(slots.remove(first), None);
    assert_eq!(
        (slots.get(second), slots.key_at(second.slot), slots.len()),
        (Some(&"second"), Some(second), 1)
    );
}

#[test]
fn deadlines_expire_in_order_and_once_for_each_key() {
    let mut deadlines = Deadlines::default();
    let at = Duration::from_secs;
    for (key, seconds) in [('a', 3), ('b', 1), ('a', 2), ('c', 9)] {
        deadlines.set(key, at(seconds));
    }
    deadlines.clear('c');
    assert_eq!(
        (deadlines.next_due(), deadlines.pop_due(at(0))),
        (Some(at(1)), None)
    );
    assert_eq!(
        [
            deadlines.pop_due(at(5)),
            deadlines.pop_due(at(5)),
            deadlines.pop_due(at(5))
        ],
        [Some('b'), Some('a'), None]
    );
}

#[test]
fn a_read_buffer_keeps_the_order_of_bytes_and_reports_its_free_space() {
    let mut buffer = ReadBuffer::default();
    buffer.append(&[1; 8_000]);
    buffer.consume(7_999);
    buffer.append(&[2; 100]);
    assert_eq!(
        (buffer.bytes()[0], buffer.bytes()[1], buffer.free_space()),
        (1, 2, ReadBuffer::CAPACITY - 101)
    );
    buffer.consume(1_000_000);
    assert!(buffer.is_empty() && buffer.free_space() == ReadBuffer::CAPACITY);
}
