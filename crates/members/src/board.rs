//! The items that this node knows, its own and those of others.
//!
//! The latest stamp wins. A stamp is remembered after its item expired, so that
//! a delayed copy does not bring an item back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Item;
use crate::MAX_ITEM_BODY_BYTES;
use crate::Scope;
use crate::hash;
use crate::item::ItemId;
use crate::item::Parcel;
use crate::item::Stamp;
use base::Time;

/// Items remembered for one publisher, expired ones included.
const MAX_ITEMS_PER_ORIGIN: usize = 64;

/// Time for which the stamp of an expired item is remembered.
const STAMP_MEMORY: Duration = Duration::from_secs(600);

/// The longest time to live.
const MAX_TTL: Duration = Duration::from_secs(3_600);

#[derive(Clone, Debug)]
struct Entry {
    stamp: Stamp,
    scope: Scope,
    until: Time,
    body: Vec<u8>,
}

/// What became of a parcel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It was known, or older than what is known.
    Known,
    /// It is newer, but says the same.
    Refreshed,
    /// It says something new.
    Changed,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Board {
    entries: BTreeMap<ItemId, Entry>,
}

impl Board {
    pub fn take(&mut self, parcel: &Parcel, now: Time) -> Taken {
        if MAX_ITEM_BODY_BYTES < parcel.body.len() {
            return Taken::Known;
        }
        let left = Duration::from_millis(parcel.left_ms.into()).min(MAX_TTL);
        let entry = Entry {
            stamp: parcel.stamp,
            scope: parcel.scope,
            until: now + left,
            body: parcel.body.clone(),
        };
        let Some(known) = self.entries.get_mut(&parcel.id) else {
            if !self.has_room(parcel.id, now) {
                return Taken::Known;
            }
            self.entries.insert(parcel.id, entry);
            return Taken::Changed;
        };
        if parcel.stamp <= known.stamp {
            return Taken::Known;
        }
        let same = known.body == entry.body && now < known.until;
        *known = entry;
        match same {
            true => Taken::Refreshed,
            false => Taken::Changed,
        }
    }

    /// Takes in an item of this node. False if it is too long or one too many.
    pub fn publish(&mut self, id: ItemId, stamp: Stamp, item: Item, now: Time) -> bool {
        let is_new = !self.entries.contains_key(&id);
        if MAX_ITEM_BODY_BYTES < item.body.len() || is_new && !self.has_room(id, now) {
            return false;
        }
        let entry = Entry {
            stamp,
            scope: item.scope,
            until: now + item.ttl.min(MAX_TTL),
            body: item.body,
        };
        self.entries.insert(id, entry);
        true
    }

    /// Makes room for one more item of a publisher, if there can be.
    fn has_room(&mut self, id: ItemId, now: Time) -> bool {
        let of_origin = self.entries.iter().filter(|(at, _)| at.origin == id.origin);
        let mut of_origin: Vec<(Time, ItemId)> = of_origin.map(|(at, e)| (e.until, *at)).collect();
        if of_origin.len() < MAX_ITEMS_PER_ORIGIN {
            return true;
        }
        of_origin.sort_unstable();
        let oldest = of_origin.first().filter(|(until, _)| *until <= now);
        let Some((_, expired)) = oldest else {
            return false;
        };
        self.entries.remove(expired);
        true
    }

    /// An item as it is to be sent, unless it expired.
    pub fn parcel(&self, id: ItemId, now: Time) -> Option<Parcel> {
        let entry = self.entries.get(&id).filter(|entry| now < entry.until)?;
        Some(Parcel {
            id,
            stamp: entry.stamp,
            scope: entry.scope,
            left_ms: entry.until.since(now).as_millis() as u32,
            body: entry.body.clone(),
        })
    }

    /// An item as it was published, unless it expired.
    pub fn item(&self, id: ItemId, now: Time) -> Option<Item> {
        let entry = self.entries.get(&id).filter(|entry| now < entry.until)?;
        Some(Item {
            kind: id.kind,
            key: id.key,
            body: entry.body.clone(),
            scope: entry.scope,
            ttl: entry.until.since(now),
        })
    }

    /// The items that have not expired.
    pub fn ids(&self, now: Time) -> impl Iterator<Item = (ItemId, Scope)> {
        let live = self.entries.iter().filter(move |(_, e)| now < e.until);
        live.map(|(id, entry)| (*id, entry.scope))
    }

    /// Hashes of the items that members exchange when they missed some.
    pub fn hashes(&self, now: Time) -> impl Iterator<Item = (ItemId, Scope, u64)> {
        let live = self.entries.iter().filter(move |(_, e)| now < e.until);
        let kept = live.filter(|(id, _)| id.kind.is_kept());
        kept.map(|(id, entry)| {
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

    /// Forgets stamps that are old enough.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| now < entry.until + STAMP_MEMORY);
    }

    /// Bytes held, roughly.
    pub fn memory(&self) -> usize {
        let bodies: usize = self.entries.values().map(|e| e.body.capacity()).sum();
        self.entries.len() * (size_of::<ItemId>() + size_of::<Entry>()) * 3 / 2 + bodies
    }
}
