//! A slot map with generations: an event that arrives late for a removed item does not reach the slot's next item.

use crate::injected_fault::{InjectedFault, is_injected};

/// Key of one item of a [`SlotMap`]. It is invalid once the item is removed, even if its slot is used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey {
    /// The slot's index, which is used again for later items.
    pub slot: u32,
    /// How many items were removed from the slot before this one, modulo 2^32.
    generation: u32,
}

impl SlotKey {
    /// The key as the number that epoll stores with a registered socket.
    pub fn to_bits(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.slot)
    }

    /// The key that [`to_bits`](SlotKey::to_bits) encoded as this number.
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

/// Items under keys that are not used twice, with access in constant time.
#[derive(Clone, Debug)]
pub struct SlotMap<T> {
    slots: Vec<Slot<T>>,
    /// Indices of the slots without an item.
    free_slots: Vec<u32>,
}

impl<T> Default for SlotMap<T> {
    fn default() -> Self {
        SlotMap {
            slots: Vec::new(),
            free_slots: Vec::new(),
        }
    }
}

impl<T> SlotMap<T> {
    /// Inserts an item into a free slot, or into a new one, and returns its key.
    pub fn insert(&mut self, item: T) -> SlotKey {
        let index = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(Slot {
                generation: 0,
                item: None,
            });
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[index as usize];
        slot.item = Some(item);
        SlotKey {
            slot: index,
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

    /// The item under a key, mutable, if it is still there.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut T> {
        self.slot_mut(key)?.item.as_mut()
    }

    /// Removes the item under a key and frees its slot. Returns `None` if the item was removed before.
    pub fn remove(&mut self, key: SlotKey) -> Option<T> {
        let slot = self.slot_mut(key)?;
        let item = slot.item.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free_slots.push(key.slot);
        Some(item)
    }

    fn slot_mut(&mut self, key: SlotKey) -> Option<&mut Slot<T>> {
        self.slots
            .get_mut(key.slot as usize)
            .filter(|slot| slot.generation == key.generation)
    }

    /// The key of the present item of the slot with this index; `None` if the slot has no item.
    pub fn key_at(&self, index: u32) -> Option<SlotKey> {
        let slot = self.slots.get(index as usize)?;
        slot.item.as_ref()?;
        Some(SlotKey {
            slot: index,
            generation: slot.generation,
        })
    }

    /// All items with their keys, in the order of their slot indices.
    pub fn iter(&self) -> impl Iterator<Item = (SlotKey, &T)> {
        (0..).zip(&self.slots).filter_map(|(index, slot)| {
            let key = SlotKey {
                slot: index,
                generation: slot.generation,
            };
            slot.item.as_ref().map(|item| (key, item))
        })
    }

    /// How many items there are.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
