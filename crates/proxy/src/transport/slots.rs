//! Numbered slots with generations: a late event for a slot's former item doesn't reach the present one.

use crate::injected_fault::{InjectedFault, is_injected};

/// Names one item of a [`SlotMap`], for as long as the item is there and never after.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey {
    /// The slot's number, used again for later items.
    pub slot: u32,
    /// How many items the slot had before, wrapping.
    generation: u32,
}

impl SlotKey {
    /// The key in the form that the kernel keeps with a registered socket.
    pub fn to_bits(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.slot)
    }

    /// The key from which [`to_bits`](SlotKey::to_bits) made this number.
    pub fn from_bits(bits: u64) -> SlotKey {
        SlotKey {
            slot: bits as u32,
            generation: (bits >> 32) as u32,
        }
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    item: Option<T>,
}

/// Items under keys of which none is used twice. Access by key takes constant time.
#[derive(Clone, Debug)]
pub struct SlotMap<T> {
    slots: Vec<Slot<T>>,
    /// Numbers of the slots without an item.
    free: Vec<u32>,
}

impl<T> Default for SlotMap<T> {
    fn default() -> Self {
        SlotMap {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> SlotMap<T> {
    /// Puts an item into a free slot, or into a new one.
    pub fn insert(&mut self, item: T) -> SlotKey {
        let number = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot {
                generation: 0,
                item: None,
            });
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[number as usize];
        slot.item = Some(item);
        SlotKey {
            slot: number,
            generation: slot.generation,
        }
    }

    /// The item under a key, if it is still there.
    pub fn get(&self, key: SlotKey) -> Option<&T> {
        let slot = self.slots.get(key.slot as usize)?;
        if slot.generation != key.generation && !is_injected(InjectedFault::StaleSlotKeyAccepted) {
            return None;
        }
        slot.item.as_ref()
    }

    /// The item under a key for change, if it is still there.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut T> {
        self.slot_mut(key)?.item.as_mut()
    }

    /// Takes the item under a key out and frees its slot.
    pub fn remove(&mut self, key: SlotKey) -> Option<T> {
        let slot = self.slot_mut(key)?;
        let item = slot.item.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.slot);
        Some(item)
    }

    fn slot_mut(&mut self, key: SlotKey) -> Option<&mut Slot<T>> {
        self.slots
            .get_mut(key.slot as usize)
            .filter(|slot| slot.generation == key.generation)
    }

    /// The key of the item that is in a slot now.
    pub fn key_at(&self, number: u32) -> Option<SlotKey> {
        let slot = self.slots.get(number as usize)?;
        slot.item.as_ref()?;
        Some(SlotKey {
            slot: number,
            generation: slot.generation,
        })
    }

    /// All items with their keys, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (SlotKey, &T)> {
        (0..).zip(&self.slots).filter_map(|(number, slot)| {
            let key = SlotKey {
                slot: number,
                generation: slot.generation,
            };
            slot.item.as_ref().map(|item| (key, item))
        })
    }

    /// How many items there are.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
