//! One organisation's records, in parts that a snapshot can share.
//!
//! Copying the records takes no longer than counting the parts. A part that is
//! shared is copied when it is next changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use base::OrderKey;

/// Parts of one organisation's records.
const PARTS: usize = 64;

type Part = BTreeMap<OrderKey, Entry>;

/// One organisation's records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Records {
    parts: Vec<Arc<Part>>,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            parts: vec![Arc::default(); PARTS],
        }
    }
}

impl Records {
    pub(crate) fn get(&self, key: &OrderKey) -> Option<&Entry> {
        self.parts.get(part_of(key))?.get(key)
    }

    pub(crate) fn insert(&mut self, key: OrderKey, entry: Entry) {
        let part = &mut self.parts[part_of(&key)];
        Arc::make_mut(part).insert(key, entry);
    }

    pub(crate) fn remove(&mut self, key: &OrderKey) -> Option<Entry> {
        let part = &mut self.parts[part_of(key)];
        if !part.contains_key(key) {
            return None;
        }
        Arc::make_mut(part).remove(key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.parts.iter().all(|part| part.is_empty())
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&OrderKey, &mut Entry)> {
        let parts = self.parts.iter_mut().map(Arc::make_mut);
        parts.flat_map(|part| part.iter_mut())
    }

    /// Whether the parts are as this release makes them.
    pub(crate) fn is_sound(&self) -> bool {
        let parts = self.parts.iter().enumerate();
        let mut keys = parts.flat_map(|(at, part)| part.keys().map(move |key| (at, key)));
        self.parts.len() == PARTS && keys.all(|(at, key)| part_of(key) == at)
    }
}

/// The part of a key, the same on every voter.
fn part_of(key: &OrderKey) -> usize {
    const FACTOR: u32 = 16_777_619;
    let bytes = key.as_str().bytes();
    let hash = bytes.fold(0, |hash: u32, b| (hash ^ u32::from(b)).wrapping_mul(FACTOR));
    (hash >> 16) as usize % PARTS
}
