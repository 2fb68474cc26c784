//! Nodes outside the group that offer themselves to it.
//!
//! A node without a group, a voter that was replaced while it was away, and a learner that was
//! removed say hello until the leader adds them. Each says it to the members that it knows, to the
//! configured voters and to nodes that wrote to it, as some of these may be gone.

use std::collections::BTreeSet;

use crate::Standing;
use crate::Trust;
use crate::Voter;
use crate::form::SLOW_HELLO_FACTOR;
use base::NodeId;

/// The most nodes outside the settings that a node says hello to.
const MAX_CONTACTS: usize = 16;

impl Voter {
    /// Whether this node's disk belongs to a group of which the node is no longer a
    /// member. It could be one again, as its disk has lost nothing.
    pub(crate) fn is_spare(&self) -> bool {
        self.group_id.is_some()
            && self.trust == Trust::Trusted
            && self.standing() == Standing::NotMember
    }

    /// Offers this node to the group as a node with an empty disk does.
    pub(crate) fn offer_as_spare(&mut self) {
        self.forming.next_hello_at = self.now + SLOW_HELLO_FACTOR * self.cfg.timing.hello_interval;
        if !self.forming.is_stopping {
            self.send_hello_to_all();
        }
    }

    /// Says hello to this node as well while this one is no member. It may know the
    /// group when none of the configured voters is left.
    pub fn add_contact(&mut self, node: NodeId) {
        if self.forming.contacts.len() < MAX_CONTACTS {
            self.forming.contacts.insert(node);
        }
    }

    /// Offers this node to the group no more, because its process is about to end.
    pub fn stop_offering(&mut self) {
        self.forming.is_stopping = true;
    }

    /// A leader sends entries to this node, which knows no group: it is a member, or was one with a
    /// disk that was lost. It takes part once it is invited.
    pub(crate) fn ask_for_invitation(&mut self, leader: NodeId) {
        self.add_contact(leader);
        let earliest = self.forming.asked_at + self.cfg.timing.hello_interval;
        if earliest <= self.now {
            self.forming.asked_at = self.now;
            self.send_hello(leader);
        }
    }

    pub(crate) fn send_hello_to_all(&mut self) {
        let members = self.group().into_iter().flat_map(|g| g.members.keys());
        let mut nodes: BTreeSet<NodeId> = members.copied().collect();
        nodes.extend(&self.cfg.voters);
        nodes.extend(&self.forming.contacts);
        for node in nodes {
            self.send_hello(node);
        }
    }
}
