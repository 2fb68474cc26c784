//! Which members carry the exchange between two data centres.
//!
//! Each pair of data centres has contacts on both sides, chosen by a hash of
//! the member and the other data centre. All nodes with the same view choose
//! alike, and the work is spread over all members of a data centre.

use std::collections::BTreeMap;

use crate::Peer;
use crate::Standing;
use crate::hash;
use crate::roster::Roster;
use base::CentreId;
use base::NodeId;

/// Contacts on each side of a link.
const CONTACTS: usize = 2;

/// The two ends of a link, best contacts first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    /// This node's place among the contacts of its own data centre.
    pub rank: Option<usize>,
    /// The contacts on the other side.
    pub others: Vec<NodeId>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Links {
    changes: u64,
    links: BTreeMap<CentreId, Link>,
}

impl Links {
    /// Follows the roster.
    pub fn update(&mut self, roster: &Roster, me: Peer) {
        if self.changes == roster.changes {
            return;
        }
        self.changes = roster.changes;
        let links = roster.other_centres().map(|other| {
            let mine = contacts(roster, me.centre, other);
            let link = Link {
                rank: mine.iter().position(|node| *node == me.node),
                others: contacts(roster, other, me.centre),
            };
            (other, link)
        });
        self.links = links.collect();
    }

    /// The links, those first of which this node is a contact.
    pub fn iter(&self) -> impl Iterator<Item = (CentreId, &Link)> {
        self.links.iter().map(|(centre, link)| (*centre, link))
    }
}

fn contacts(roster: &Roster, of: CentreId, towards: CentreId) -> Vec<NodeId> {
    let present = roster.of_centre(of).filter_map(|(node, member)| {
        let weight = hash::hash(&[u64::from(node.0), u64::from(towards.0)]);
        let standing = member.record.standing;
        (standing < Standing::Left).then_some((standing, weight, node))
    });
    let mut present: Vec<_> = present.collect();
    present.sort_unstable();
    let nodes = present.into_iter().map(|(_, _, node)| node);
    nodes.take(CONTACTS).collect()
}
