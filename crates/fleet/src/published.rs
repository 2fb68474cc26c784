//! Lists that the leading control host publishes and all others follow.

use serde::Deserialize;
use serde::Serialize;

use crate::Edition;

/// A list with its version. The lists of a later leader have a later edition than those of all
/// earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published<Item> {
    /// The version of this list.
    pub edition: Edition,
    /// The items in force.
    pub items: Vec<Item>,
}

impl<Item> Default for Published<Item> {
    fn default() -> Self {
        Self {
            edition: Edition::default(),
            items: Vec::new(),
        }
    }
}

impl<Item: PartialEq> Published<Item> {
    /// Takes over the list of the leader, if it is newer.
    pub fn follow(&mut self, list: Self) {
        if self.edition < list.edition {
            *self = list;
        }
    }

    /// Publishes a list as the leader of a term. Returns whether it differs from the one before,
    /// or is the first of the term.
    pub fn publish(&mut self, term: u64, items: Vec<Item>) -> bool {
        let is_own = self.edition.term == term;
        if is_own && items == self.items {
            return false;
        }
        let count = match is_own {
            true => self.edition.count + 1,
            false => 1,
        };
        self.edition = Edition { term, count };
        self.items = items;
        true
    }
}
