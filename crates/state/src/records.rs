//! The records of one organisation, in parts that a snapshot can share.
//!
//! Cloning the records clones only one pointer for each part. A shared part is copied
//! when it is next changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::key_record::KeyRecord;
use base::OrderKey;

/// The number of parts of an organisation's records.
const PARTS_PER_ORG: usize = 64;

type Part = BTreeMap<OrderKey, KeyRecord>;

/// The records of one organisation, by key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Records {
    parts: Vec<Arc<Part>>,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            parts: vec![Arc::default(); PARTS_PER_ORG],
        }
    }
}

impl Records {
    pub(crate) fn get(&self, key: &OrderKey) -> Option<&KeyRecord> {
        self.parts.get(part_index(key))?.get(key)
    }

    pub(crate) fn insert(&mut self, key: OrderKey, record: KeyRecord) {
        let part = &mut self.parts[part_index(&key)];
        Arc::make_mut(part).insert(key, record);
    }

    pub(crate) fn remove(&mut self, key: &OrderKey) -> Option<KeyRecord> {
        let part = &mut self.parts[part_index(key)];
        if !part.contains_key(key) {
            return None;
        }
        Arc::make_mut(part).remove(key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.parts.iter().all(|part| part.is_empty())
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&OrderKey, &mut KeyRecord)> {
        let parts = self.parts.iter_mut().map(Arc::make_mut);
        parts.flat_map(|part| part.iter_mut())
    }

    /// Whether every key is in the part where this release looks for it.
    pub(crate) fn has_valid_parts(&self) -> bool {
        let parts = self.parts.iter().enumerate();
        let mut keys = parts.flat_map(|(at, part)| part.keys().map(move |key| (at, key)));
        self.parts.len() == PARTS_PER_ORG && keys.all(|(at, key)| part_index(key) == at)
    }
}

/// The part that a key belongs to, the same on every voter.
fn part_index(key: &OrderKey) -> usize {
    const FACTOR: u32 = 16_777_619;
    let bytes = key.as_str().bytes();
    let hash = bytes.fold(0, |hash: u32, b| (hash ^ u32::from(b)).wrapping_mul(FACTOR));
    (hash >> 16) as usize % PARTS_PER_ORG
}
