//! What a voter knows of the silence of others when it becomes the leader.
//!
//! Followers don't hear each other, so a new leader can't tell by itself how long a member has
//! been silent. It knows when it last heard from the leader before it, and what that leader told
//! of the other members. Without this the count of the silence would begin anew at each election.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::SilentMember;
use base::NodeId;
use base::Time;

/// The latest signs of other nodes.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    /// The leader that this voter followed last, and when it was last heard.
    leader: Option<(NodeId, Time)>,
    /// The members that did not answer that leader, and since when.
    silent: BTreeMap<NodeId, Time>,
}

impl Contacts {
    /// Records that any message of a node arrived.
    pub(crate) fn record_message(&mut self, from: NodeId, now: Time) {
        self.silent.remove(&from);
        if let Some((leader, heard_at)) = &mut self.leader
            && *leader == from
        {
            *heard_at = now;
        }
    }

    /// Records that a leader was heard.
    pub(crate) fn record_leader(&mut self, leader: NodeId, now: Time) {
        self.leader = Some((leader, now));
    }

    /// Records which members the leader takes for silent.
    pub(crate) fn record_silent(&mut self, silent: &[SilentMember], now: Time) {
        let since = |member: &SilentMember| {
            let silence = Duration::from_millis(member.silent_ms);
            (member.node, now - silence)
        };
        self.silent = silent.iter().map(since).collect();
    }

    /// Since when a node has been silent, if that is known.
    pub(crate) fn silent_since(&self, node: NodeId) -> Option<Time> {
        let led = self.leader.filter(|(leader, _)| *leader == node);
        let led = led.map(|(_, heard_at)| heard_at);
        led.or(self.silent.get(&node).copied())
    }
}
