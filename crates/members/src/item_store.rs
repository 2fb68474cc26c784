//! The items that this node has published or received.
//!
//! The latest stamp wins. A stamp is kept after its item expired, so that a
//! delayed copy does not bring the item back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Item;
use crate::MAX_ITEM_BODY_BYTES;
use crate::Scope;
use crate::hash;
use crate::item::ItemId;
use crate::item::ItemMessage;
use crate::item::Stamp;
use base::Time;

/// The most items kept for one publisher, expired ones included.
const MAX_ITEMS_PER_ORIGIN: usize = 64;

/// Time for which the stamp of an expired item is kept.
const STAMP_RETENTION: Duration = Duration::from_secs(600);

/// The longest time to live of an item.
const MAX_TTL: Duration = Duration::from_secs(3_600);

#[derive(Clone, Debug)]
struct Entry {
    stamp: Stamp,
    scope: Scope,
    expires_at: Time,
    body: Vec<u8>,
}

/// What the store did with a received item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    /// The item was known, older than the stored one, too long or one too many.
    Ignored,
    /// The stamp is newer and the body the same.
    Refreshed,
    /// The item is new, had expired, or has another body.
    Changed,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ItemStore {
    entries: BTreeMap<ItemId, Entry>,
}

impl ItemStore {
    /// Stores an item received from another node if it is newer.
    pub fn insert_received(&mut self, message: &ItemMessage, now: Time) -> StoreOutcome {
        if MAX_ITEM_BODY_BYTES < message.body.len() {
            return StoreOutcome::Ignored;
        }
        let ttl = Duration::from_millis(message.left_ms.into()).min(MAX_TTL);
        let entry = Entry {
            stamp: message.stamp,
            scope: message.scope,
            expires_at: now + ttl,
            body: message.body.clone(),
        };
        let Some(stored) = self.entries.get_mut(&message.id) else {
            if !self.make_room(message.id, now) {
                return StoreOutcome::Ignored;
            }
            self.entries.insert(message.id, entry);
            return StoreOutcome::Changed;
        };
        if message.stamp <= stored.stamp {
            return StoreOutcome::Ignored;
        }
        let is_same = stored.body == entry.body && now < stored.expires_at;
        *stored = entry;
        match is_same {
            true => StoreOutcome::Refreshed,
            false => StoreOutcome::Changed,
        }
    }

    /// Stores an item of this node. False if it is too long or one too many.
    pub fn publish(&mut self, id: ItemId, stamp: Stamp, item: Item, now: Time) -> bool {
        let is_new = !self.entries.contains_key(&id);
        if MAX_ITEM_BODY_BYTES < item.body.len() || is_new && !self.make_room(id, now) {
            return false;
        }
        let entry = Entry {
            stamp,
            scope: item.scope,
            expires_at: now + item.ttl.min(MAX_TTL),
            body: item.body,
        };
        self.entries.insert(id, entry);
        true
    }

    /// Makes room for one more item of a publisher, if necessary by removing the
    /// one that expired first. False if none has expired.
    fn make_room(&mut self, id: ItemId, now: Time) -> bool {
        let items = self
            .entries
            .iter()
            .filter(|(other, _)| other.origin == id.origin);
        let mut items: Vec<(Time, ItemId)> =
            items.map(|(other, e)| (e.expires_at, *other)).collect();
        if items.len() < MAX_ITEMS_PER_ORIGIN {
            return true;
        }
        items.sort_unstable();
        let oldest = items.first().filter(|(expires_at, _)| *expires_at <= now);
        let Some((_, expired)) = oldest else {
            return false;
        };
        self.entries.remove(expired);
        true
    }

    /// An item as it is sent to other nodes, unless it has expired.
    pub fn message(&self, id: ItemId, now: Time) -> Option<ItemMessage> {
        let entry = self
            .entries
            .get(&id)
            .filter(|entry| now < entry.expires_at)?;
        Some(ItemMessage {
            id,
            stamp: entry.stamp,
            scope: entry.scope,
            left_ms: entry.expires_at.since(now).as_millis() as u32,
            body: entry.body.clone(),
        })
    }

    /// An item with its remaining time to live, unless it has expired.
    pub fn item(&self, id: ItemId, now: Time) -> Option<Item> {
        let entry = self
            .entries
            .get(&id)
            .filter(|entry| now < entry.expires_at)?;
        Some(Item {
            kind: id.kind,
            key: id.key,
            body: entry.body.clone(),
            scope: entry.scope,
            ttl: entry.expires_at.since(now),
        })
    }

    /// Ids and scopes of the items that have not expired.
    pub fn live_ids(&self, now: Time) -> impl Iterator<Item = (ItemId, Scope)> {
        let live = self.entries.iter().filter(move |(_, e)| now < e.expires_at);
        live.map(|(id, entry)| (*id, entry.scope))
    }

    /// Hashes of the live items that members compare to find what they missed.
    pub fn hashes(&self, now: Time) -> impl Iterator<Item = (ItemId, Scope, u64)> {
        let live = self.entries.iter().filter(move |(_, e)| now < e.expires_at);
        let synced = live.filter(|(id, _)| id.kind.is_synced());
        synced.map(|(id, entry)| {
            let stamp = entry.stamp;
            let parts = [
                u64::from(id.origin.0),
                id.kind as u64,
                id.key,
                stamp.incarnation.0,
                stamp.sequence,
            ];
            (*id, entry.scope, hash::hash(&parts))
        })
    }

    /// Removes stamps that need not be kept any longer.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| now < entry.expires_at + STAMP_RETENTION);
    }

    /// Estimated memory use in bytes.
    pub fn memory_bytes(&self) -> usize {
        let bodies: usize = self.entries.values().map(|e| e.body.capacity()).sum();
        self.entries.len() * (size_of::<ItemId>() + size_of::<Entry>()) * 3 / 2 + bodies
    }
}
