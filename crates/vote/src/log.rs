//! The part of the log that a voter holds in memory.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Entry;
use crate::Group;
use crate::Index;
use crate::Payload;
use crate::Position;
use crate::Snapshot;
use crate::Term;

/// The entries after a base position.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    entry_bytes: usize,
    /// The membership entries: those in the log, and the one in force at its base.
    groups: BTreeMap<Index, Group>,
}

impl Log {
    /// The position before the first entry.
    pub(crate) fn base(&self) -> Position {
        self.base
    }

    /// The approximate size of all entries in bytes.
    pub(crate) fn entry_bytes(&self) -> usize {
        self.entry_bytes
    }

    pub(crate) fn last_position(&self) -> Position {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// The term of the entry at an index, or `None` if it is not known.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn position_at(&self, index: Index) -> Option<Position> {
        self.term_at(index).map(|term| Position { term, index })
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from an index on: as many as fit into `max_bytes`, but at least one.
    pub(crate) fn entries_from(&self, index: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.entries_after(index.before()) {
            bytes += entry.bytes();
            if max_bytes < bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    pub(crate) fn entries_after(&self, index: Index) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(self.entry_count_up_to(index))
    }

    /// The first index of the run of entries that share the term of this one.
    pub(crate) fn first_index_of_same_term(&self, index: Index) -> Index {
        let mut first = index;
        let term = self.term_at(index);
        while self.base.index < first && self.term_at(first.before()) == term {
            first = first.before();
        }
        first
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_position().index.next());
        if let Payload::Group(group) = &entry.payload {
            self.groups.insert(entry.index, group.clone());
        }
        self.entry_bytes += entry.bytes();
        self.entries.push_back(entry);
    }

    /// Removes the entry at an index and all later ones.
    pub(crate) fn truncate(&mut self, index: Index) {
        let keep = self
            .entry_count_up_to(index.before())
            .min(self.entries.len());
        for entry in self.entries.drain(keep..) {
            self.entry_bytes -= entry.bytes();
        }
        self.groups.split_off(&index);
    }

    /// The current members, with the index of the entry that named them.
    pub(crate) fn latest_group(&self) -> Option<(Index, &Group)> {
        let (index, group) = self.groups.last_key_value()?;
        Some((*index, group))
    }

    pub(crate) fn group_at(&self, index: Index) -> Option<&Group> {
        self.groups.range(..=index).next_back().map(|(_, g)| g)
    }

    /// Makes a snapshot the base of the log. Later entries stay if the log contains
    /// the snapshot's last entry.
    pub(crate) fn reset_to_snapshot(&mut self, snapshot: &Snapshot) {
        if self.term_at(snapshot.last_included.index) == Some(snapshot.last_included.term) {
            self.compact(snapshot.last_included.index, 0);
            return;
        }
        self.base = snapshot.last_included;
        self.entries.clear();
        self.entry_bytes = 0;
        self.groups = BTreeMap::from([(snapshot.last_included.index, snapshot.group.clone())]);
    }

    /// Drops entries up to an index, except the last ones that fit into `kept_bytes`.
    pub(crate) fn compact(&mut self, index: Index, kept_bytes: usize) {
        let mut kept = self.first_kept_index(index, kept_bytes);
        while let Some(entry) = self.entries.front()
            && entry.index < kept
        {
            self.base = entry.position();
            self.entry_bytes -= entry.bytes();
            self.entries.pop_front();
        }
        kept = self.base.index;
        let Some(group) = self.group_at(kept).cloned() else {
            return;
        };
        self.groups = self.groups.split_off(&kept);
        self.groups.insert(kept, group);
    }

    fn entry_count_up_to(&self, index: Index) -> usize {
        index.0.saturating_sub(self.base.index.0) as usize
    }

    fn first_kept_index(&self, index: Index, kept_bytes: usize) -> Index {
        let mut first = index.next();
        let mut bytes = 0;
        while let Some(entry) = self.get(first.before()) {
            bytes += entry.bytes();
            if kept_bytes < bytes {
                break;
            }
            first = first.before();
        }
        first
    }
}
