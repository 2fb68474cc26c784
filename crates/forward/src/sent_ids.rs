//! Which ids of requests were sent to which upstream processes.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::IdUse;

/// How many sent requests are remembered: more than an entry host sends while an upstream keeps a
/// connection.
const MAX_REMEMBERED: usize = 16 * 1024;

/// Remembers the ids of the last requests by the processes that they were sent to. Two that share
/// a digest count as one, which only makes answers count for less.
#[derive(Clone, Debug, Default)]
pub struct SentIds {
    digests: BTreeSet<u64>,
    in_order: VecDeque<u64>,
}

impl SentIds {
    /// How often the id will have been sent to the process if a request with it is sent now.
    pub fn next_use(&self, process: &impl Hash, id: &[u8]) -> IdUse {
        match self.digests.contains(&digest(process, id)) {
            true => IdUse::Again,
            false => IdUse::First,
        }
    }

    /// Records that a request with this id is sent to the process.
    pub fn record(&mut self, process: &impl Hash, id: &[u8]) {
        let digest = digest(process, id);
        if !self.digests.insert(digest) {
            return;
        }
        self.in_order.push_back(digest);
        if MAX_REMEMBERED < self.in_order.len()
            && let Some(oldest) = self.in_order.pop_front()
        {
            self.digests.remove(&oldest);
        }
    }
}

fn digest(process: &impl Hash, id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    process.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}
