//! Numbered slots with generations: a late event for a slot's old tenant does not reach the new one.

use crate::injected_fault::{InjectedFault, is_injected};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub slot: u32,
    generation: u32,
}

impl Key {
    pub fn bits(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.slot)
    }

    pub fn of_bits(bits: u64) -> Key {
        Key {
            slot: bits as u32,
            generation: (bits >> 32) as u32,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Slots<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slots<T> {
    pub fn insert(&mut self, item: T) -> Key {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            (self.slots.len() - 1) as u32
        });
        let place = &mut self.slots[slot as usize];
        place.1 = Some(item);
        Key {
            slot,
            generation: place.0,
        }
    }

    pub fn get(&self, key: Key) -> Option<&T> {
        let right = |place: &&(u32, Option<T>)| {
            place.0 == key.generation || is_injected(InjectedFault::StaleSlot)
        };
        self.slots.get(key.slot as usize).filter(right)?.1.as_ref()
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.slots
            .get_mut(key.slot as usize)
            .filter(|place| place.0 == key.generation)?
            .1
            .as_mut()
    }

    pub fn remove(&mut self, key: Key) -> Option<T> {
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
    pub fn at(&self, slot: u32) -> Option<Key> {
        let place = self.slots.get(slot as usize)?;
        place.1.as_ref().map(|_| Key {
            slot,
            generation: place.0,
        })
    }

    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        (0..)
            .zip(&self.slots)
            .filter_map(|(slot, (generation, item))| {
                item.as_ref().map(|item| {
                    (
                        Key {
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
