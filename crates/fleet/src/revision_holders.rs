//! Which control hosts hold what the leader's roster says.
//!
//! A departure is acknowledged once so many control hosts hold it that the loss of as many as the
//! deployment has to bear leaves one that does. Followers show what they hold by the revision with
//! which they ask the leader for what is newer.

use std::collections::BTreeMap;

use crate::Revision;
use base::NodeId;

/// How many control hosts besides the leader have to hold a departure, if `max_losses` of
/// `members` control hosts may be lost at once. No more than are left after losses that leave a
/// majority, or the other one of two.
pub fn required_followers(max_losses: usize, members: usize) -> usize {
    max_losses.min(members / 2)
}

/// The revisions of the leader's roster that its followers hold.
#[derive(Clone, Debug, Default)]
pub struct RevisionHolders {
    followers: BTreeMap<NodeId, Revision>,
}

impl RevisionHolders {
    /// Records that a follower holds the roster up to this revision. One that has started again
    /// holds less than before. Returns whether the follower is a new one.
    pub fn record(&mut self, follower: NodeId, revision: Revision) -> bool {
        self.followers.insert(follower, revision).is_none()
    }

    /// Whether `required` followers hold a revision. The one that reported it holds what it
    /// reported.
    pub fn is_held(&self, revision: Revision, reporter: Option<NodeId>, required: usize) -> bool {
        let others = self.followers.iter();
        let others = others.filter(|(id, held)| reporter != Some(**id) && revision <= **held);
        required <= others.count() + usize::from(reporter.is_some())
    }
}
