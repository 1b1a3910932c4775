//! Numbered slots with generations: a late event for a slot's old tenant does not reach the new one.

use crate::injected_fault::{InjectedFault, is_injected};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey {
    pub slot: u32,
    generation: u32,
}

impl SlotKey {
    pub fn to_bits(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.slot)
    }

    pub fn from_bits(bits: u64) -> SlotKey {
        SlotKey {
            slot: bits as u32,
            generation: (bits >> 32) as u32,
        }
    }
}

#[derive(Clone, Debug)]
pub struct SlotMap<T> {
    slots: Vec<(u32, Option<T>)>,
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
    pub fn insert(&mut self, item: T) -> SlotKey {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            (self.slots.len() - 1) as u32
        });
        let place = &mut self.slots[slot as usize];
        place.1 = Some(item);
        SlotKey {
            slot,
            generation: place.0,
        }
    }

    pub fn get(&self, key: SlotKey) -> Option<&T> {
        let right = |place: &&(u32, Option<T>)| {
            place.0 == key.generation || is_injected(InjectedFault::StaleSlot)
        };
        self.slots.get(key.slot as usize).filter(right)?.1.as_ref()
    }

    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut T> {
        self.slots
            .get_mut(key.slot as usize)
            .filter(|place| place.0 == key.generation)?
            .1
            .as_mut()
    }

    pub fn remove(&mut self, key: SlotKey) -> Option<T> {
        let place = self
            .slots
            .get_mut(key.slot as usize)
            .filter(|place| place.0 == key.generation)?;
        let item = place.1.take()?;
        place.0 = place.0.wrapping_add(1);
        self.free.push(key.slot);
        Some(item)
    }

    /// Who holds a slot now.
    pub fn key_at(&self, slot: u32) -> Option<SlotKey> {
        let place = self.slots.get(slot as usize)?;
        place.1.as_ref().map(|_| SlotKey {
            slot,
            generation: place.0,
        })
    }

    pub fn iter(&self) -> impl Iterator<Item = (SlotKey, &T)> {
        (0..)
            .zip(&self.slots)
            .filter_map(|(slot, (generation, item))| {
                item.as_ref().map(|item| {
                    (
                        SlotKey {
                            slot,
                            generation: *generation,
                        },
                        item,
                    )
                })
            })
    }

    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
