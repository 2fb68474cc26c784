//! Chooses the members that carry the gossip between two data centres.
//!
//! Each pair of data centres has contacts on both sides. A data centre's links
//! are assigned to its members round-robin, so that each carries as many as any
//! other. Nodes with the same view choose alike; what arrives from a node with
//! another view is used as well.

use std::collections::BTreeMap;

use crate::Peer;
use crate::Standing;
use crate::roster::Roster;
use base::CentreId;
use base::NodeId;

/// The most contacts on each side of a link.
const CONTACTS_PER_SIDE: usize = 2;

/// The contacts of the link to another data centre, in order of preference.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    /// This node's position among the contacts of its own data centre.
    pub own_rank: Option<usize>,
    /// The contacts on the other side.
    pub remote_contacts: Vec<NodeId>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Links {
    /// The roster's change count when the links were last computed.
    roster_changes: u64,
    links: BTreeMap<CentreId, Link>,
}

impl Links {
    /// Computes the links anew if the roster has changed.
    pub fn update(&mut self, roster: &Roster, me: Peer) {
        if self.roster_changes == roster.change_count {
            return;
        }
        self.roster_changes = roster.change_count;
        let links = roster.other_centres().map(|other| {
            let own_contacts = contacts(roster, me.centre, other);
            let link = Link {
                own_rank: own_contacts.iter().position(|node| *node == me.node),
                remote_contacts: contacts(roster, other, me.centre),
            };
            (other, link)
        });
        self.links = links.collect();
    }

    /// The links by data centre.
    pub fn iter(&self) -> impl Iterator<Item = (CentreId, &Link)> {
        self.links.iter().map(|(centre, link)| (*centre, link))
    }
}

/// The contacts of a data centre for its link to another, in order of preference.
fn contacts(roster: &Roster, of: CentreId, towards: CentreId) -> Vec<NodeId> {
    let members = roster.members_in(of);
    let present = members.filter(|(_, member)| member.record.standing < Standing::Dead);
    let mut present: Vec<NodeId> = present.map(|(node, _)| node).collect();
    if present.is_empty() {
        let any = roster.members_in(of).map(|(node, _)| node);
        present = any.collect();
    }
    let centres = roster.centres().filter(|centre| *centre != of);
    let turn = centres.take_while(|centre| *centre != towards).count();
    let count = present.len();
    let spacing = (count / CONTACTS_PER_SIDE).max(1);
    let indexes = (0..CONTACTS_PER_SIDE.min(count)).map(|rank| (turn + rank * spacing) % count);
    indexes.map(|index| present[index]).collect()
}
