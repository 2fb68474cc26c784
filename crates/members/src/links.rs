//! Which members carry the exchange between two data centres.
//!
//! Each pair of data centres has contacts on both sides. A data centre's links
//! are dealt out to its members in turn, so that each carries as many as any
//! other. All nodes with the same view choose alike; what comes by way of one
//! with another view is used all the same.

use std::collections::BTreeMap;

use crate::Peer;
use crate::Standing;
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

/// The contacts of a data centre towards another, the first one first.
fn contacts(roster: &Roster, of: CentreId, towards: CentreId) -> Vec<NodeId> {
    let members = roster.of_centre(of);
    let present = members.filter(|(_, member)| member.record.standing < Standing::Dead);
    let mut present: Vec<NodeId> = present.map(|(node, _)| node).collect();
    if present.is_empty() {
        let any = roster.of_centre(of).map(|(node, _)| node);
        present = any.collect();
    }
    let centres = roster.centres().filter(|centre| *centre != of);
    let turn = centres.take_while(|centre| *centre != towards).count();
    let count = present.len();
    let apart = (count / CONTACTS).max(1);
    let places = (0..CONTACTS.min(count)).map(|rank| (turn + rank * apart) % count);
    places.map(|place| present[place]).collect()
}
