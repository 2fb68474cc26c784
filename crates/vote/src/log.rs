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

/// Entries after a base position.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    entry_bytes: usize,
    /// Every change of the members that is not out of date yet.
    groups: BTreeMap<Index, Group>,
}

impl Log {
    pub(crate) fn base(&self) -> Position {
        self.base
    }

    /// Roughly the size of all entries in bytes.
    pub(crate) fn entry_bytes(&self) -> usize {
        self.entry_bytes
    }

    pub(crate) fn last_position(&self) -> Position {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// The term of the entry at an index, none if it is not known.
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
        let at = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(at as usize)
    }

    /// Entries from an index on, at least one and no more than fit.
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

    /// The first index of the run of entries that have the same term.
    pub(crate) fn first_index_of_term(&self, index: Index) -> Index {
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

    /// Removes the entry at an index and all after it.
    pub(crate) fn truncate(&mut self, index: Index) {
        let keep = self
            .entry_count_up_to(index.before())
            .min(self.entries.len());
        for entry in self.entries.drain(keep..) {
            self.entry_bytes -= entry.bytes();
        }
        self.groups.split_off(&index);
    }

    /// The members in force, and since which entry.
    pub(crate) fn latest_group(&self) -> Option<(Index, &Group)> {
        let (index, group) = self.groups.last_key_value()?;
        Some((*index, group))
    }

    pub(crate) fn group_at(&self, index: Index) -> Option<&Group> {
        self.groups.range(..=index).next_back().map(|(_, g)| g)
    }

    /// Starts over after a snapshot. Entries after it stay if the log contains
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

    /// Drops entries up to an index, but for the last ones of these that fit.
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

    /// How many entries there are up to an index.
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
